package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// storeRetryBase and storeRetryLimit bound the pause after a failed call to
	// the store. A change must be in force 2 s after it was accepted.
	storeRetryBase  = 50 * time.Millisecond
	storeRetryLimit = 400 * time.Millisecond
	// configurationWait is how long a read waits for a change. A connection that
	// went silent is found out this long after it did.
	configurationWait = 900 * time.Millisecond
	// relaxedWait is the same while another entry would name a newer revision.
	relaxedWait = 5 * time.Second
)

// following says how a topic is followed.
type following struct {
	topic Topic
	// wait returns how long a read waits for a change.
	wait func() time.Duration
	// pause returns when the next read is due; nil means at once.
	pause func(context.Context)
	// wake ends a read that waits, so that the topic is read anew.
	wake <-chan struct{}
	// apply takes all records at first and single ones afterwards.
	apply func(records []Record, all bool)
}

// follow keeps a topic's records up to date: it reads the newest record of each
// key, then the changes, and begins anew when changes have expired.
func (e *Entry) follow(ctx context.Context, f following) error {
	backoff := e.backoff()
	next, failures := int64(-1), 0
	for ctx.Err() == nil {
		changes, err := e.readUntilWoken(ctx, f, next)
		switch {
		case errors.Is(err, ErrExpired):
			next = -1
			continue
		case errors.Is(err, errWoken):
			continue
		case err != nil:
			failures++
			e.storeFailed(f.topic, failures, err)
			sleep(ctx, backoff.Delay(failures))
			continue
		}
		e.storeAnswered(f.topic, failures)
		failures = 0
		if next < 0 || len(changes.Records) > 0 {
			f.apply(changes.Records, next < 0)
		}
		next = changes.NextOffset
		if f.pause != nil {
			f.pause(ctx)
		}
	}
	return ctx.Err()
}

// errWoken means that a read was given up because another entry knows more.
var errWoken = errors.New("read anew")

// fairTime is what a read gets before it can be woken. All entries name a newer
// revision several times a second, and a read that is ended by each of them would
// never return.
const fairTime = 400 * time.Millisecond

// awaitWake waits for a wake-up that comes after the fair time, or for the end of the read.
func awaitWake(wake <-chan struct{}, done <-chan struct{}) bool {
	timer := time.NewTimer(fairTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
		return false
	}
	// What was said during the fair time may be what the read is about to return.
	select {
	case <-wake:
	default:
	}
	select {
	case <-wake:
		return true
	case <-done:
		return false
	}
}

// readUntilWoken reads a topic. A read that is woken was waiting on a connection
// that may have gone silent.
func (e *Entry) readUntilWoken(ctx context.Context, f following, next int64) (RecordBatch, error) {
	if f.wake == nil {
		return e.readTopic(ctx, f.topic, next, f.wait())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		if awaitWake(f.wake, done) {
			cancel(errWoken)
		}
	}()
	changes, err := e.readTopic(ctx, f.topic, next, f.wait())
	if err != nil && errors.Is(context.Cause(ctx), errWoken) {
		return changes, errWoken
	}
	return changes, err
}

func (e *Entry) readTopic(ctx context.Context, topic Topic, next int64, wait time.Duration) (RecordBatch, error) {
	if next < 0 {
		return e.store.ReadLatest(ctx, topic)
	}
	return e.store.Read(ctx, topic, next, wait)
}

// storeFailed logs the first failure of a series.
func (e *Entry) storeFailed(topic Topic, failures int, err error) {
	if failures == 1 {
		logevent.Write(e.logger, logevent.StoreUnavailable).Int("topic", int(topic)).Str("cause", err.Error()).Msg("")
	}
}

func (e *Entry) storeAnswered(topic Topic, failures int) {
	if failures > 0 {
		logevent.Write(e.logger, logevent.StoreAvailable).Int("topic", int(topic)).Int("failures", failures).Msg("")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (e *Entry) followConfiguration(ctx context.Context) error {
	return e.follow(ctx, following{
		topic: TopicConfiguration, wait: e.configurationWait, wake: e.newer,
		apply: func(records []Record, _ bool) {
			for _, r := range records {
				e.applyConfiguration(r)
			}
		},
	})
}

// configurationWait returns how long a read waits for a new configuration. A
// connection that went silent is found when the wait ends, or when another entry
// names a newer revision; only one that is heard of waits long.
func (e *Entry) configurationWait() time.Duration {
	if !e.watches() && e.hearsWatcher() {
		return relaxedWait
	}
	return configurationWait
}

// applyConfiguration puts a newer configuration in force; an older one never replaces it.
func (e *Entry) applyConfiguration(r Record) {
	if r.Value == nil {
		return
	}
	c, err := e.store.DecodeConfiguration(r.Value)
	if err != nil {
		logevent.Write(e.logger, logevent.ConfigurationUnreadable).Str("cause", err.Error()).Msg("")
		return
	}
	if c.Revision <= e.Revision() {
		return
	}
	e.current.Store(newRevision(c))
	e.inForceOnce.Do(func() { close(e.inForce) })
	logevent.Write(e.logger, logevent.RevisionActivated).Int64("revision", c.Revision).
		Int("routes", len(c.Document.Routes)).Int("teams", len(c.Document.Teams)).Msg("")
}

// followServers reads the servers' records often while this entry watches for
// the others, while it hears of no watcher, or while it waits for a lost engine
// to show life, and otherwise now and then.
func (e *Entry) followServers(ctx context.Context) error {
	return e.follow(ctx, following{
		topic: TopicServers, wait: func() time.Duration { return 0 },
		pause: func(ctx context.Context) {
			e.directory.answered(time.Now())
			for rested := watchInterval; rested < checkInterval && ctx.Err() == nil; rested += watchInterval {
				sleep(ctx, watchInterval)
				if e.watches() || !e.hearsWatcher() || e.awaitsLife(rested) {
					return
				}
			}
		},
		apply: e.directory.apply,
	})
}

// awaitsLife tells whether a read is due for the sake of an engine that is lost: its
// next record shows that it works.
func (e *Entry) awaitsLife(rested time.Duration) bool {
	return rested >= e.settings.Heartbeat && e.fleet.hasLost(time.Now())
}

// watches tells whether this entry reads the servers' records for the others.
func (e *Entry) watches() bool { return e.term.Load() > 0 }

// hearsWatcher tells whether another entry reads the servers' records often and
// tells of changes.
func (e *Entry) hearsWatcher() bool {
	for _, m := range e.fleet.heard(time.Now()) {
		if m.watchAge <= watchFresh {
			return true
		}
	}
	return false
}
