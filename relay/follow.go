package relay

import (
	"context"
	"maps"
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
	// serversInterval is how often the servers' records are read. Each server
	// writes one about every second, so a read that waits for one would return at once.
	serversInterval = 400 * time.Millisecond
)

// follow keeps a topic's records up to date: it reads the newest record of each
// key, then the changes, and begins anew when changes have expired. apply takes
// all records at first and single ones afterwards.
func (e *Entry) follow(ctx context.Context, topic Topic, wait, pause time.Duration, apply func(records []Record, all bool)) error {
	backoff := e.backoff()
	next, failures := int64(-1), 0
	for ctx.Err() == nil {
		changes, err := e.readTopic(ctx, topic, next, wait)
		switch {
		case errors.Is(err, ErrExpired):
			next = -1
			continue
		case err != nil:
			failures++
			e.storeFailed(topic, failures, err)
			sleep(ctx, backoff.Delay(failures))
			continue
		}
		e.storeAnswered(topic, failures)
		failures = 0
		if next < 0 || len(changes.Records) > 0 {
			apply(changes.Records, next < 0)
		}
		next = changes.Next
		sleep(ctx, pause)
	}
	return ctx.Err()
}

func (e *Entry) readTopic(ctx context.Context, topic Topic, next int64, wait time.Duration) (Changes, error) {
	if next < 0 {
		return e.store.Newest(ctx, topic)
	}
	return e.store.Read(ctx, topic, next, wait)
}

// storeFailed logs the first failure of a series.
func (e *Entry) storeFailed(topic Topic, failures int, err error) {
	if failures == 1 {
		logevent.Write(e.logger, logevent.StoreLost).Int("topic", int(topic)).Str("cause", err.Error()).Msg("")
	}
}

func (e *Entry) storeAnswered(topic Topic, failures int) {
	if failures > 0 {
		logevent.Write(e.logger, logevent.StoreRegained).Int("topic", int(topic)).Int("failures", failures).Msg("")
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
	return e.follow(ctx, TopicConfiguration, configurationWait, 0, func(records []Record, _ bool) {
		for _, r := range records {
			e.applyConfiguration(r)
		}
	})
}

// applyConfiguration puts a newer configuration in force; an older one never replaces it.
func (e *Entry) applyConfiguration(r Record) {
	if r.Value == nil {
		return
	}
	c, err := e.store.Configuration(r.Value)
	if err != nil {
		logevent.Write(e.logger, logevent.ConfigurationUnreadable).Str("cause", err.Error()).Msg("")
		return
	}
	if c.Revision <= e.Revision() {
		return
	}
	e.current.Store(newRevision(c))
	e.inForceOnce.Do(func() { close(e.inForce) })
	logevent.Write(e.logger, logevent.RevisionInForce).Int64("revision", c.Revision).
		Int("routes", len(c.Document.Routes)).Int("teams", len(c.Document.Teams)).Msg("")
}

func (e *Entry) followServers(ctx context.Context) error {
	known := map[string]Server{}
	return e.follow(ctx, TopicServers, 0, serversInterval, func(records []Record, all bool) {
		if all {
			known = map[string]Server{}
		}
		for _, r := range records {
			e.applyServer(known, r)
		}
		e.fleet.replace(time.Now(), maps.Clone(known))
	})
}

// applyServer takes a server's record. A record that is older than the known
// one, or that cannot be read, changes nothing.
func (e *Entry) applyServer(known map[string]Server, r Record) {
	old, present := known[r.Key]
	if r.Value == nil {
		delete(known, r.Key)
		if present {
			logevent.Write(e.logger, logevent.ServerGone).Str("server", r.Key).Int64("beat", old.Beat).Msg("")
		}
		return
	}
	s, err := e.store.Server(r.Key, r.Value)
	if err != nil {
		logevent.Write(e.logger, logevent.ServerUnreadable).Str("server", r.Key).Str("cause", err.Error()).Msg("")
		return
	}
	if present && (s.Born < old.Born || s.Born == old.Born && s.Beat < old.Beat) {
		return
	}
	known[r.Key] = s
	if !present || s.Born != old.Born || s.Leaving != old.Leaving || s.Holds != old.Holds || s.Address != old.Address {
		logevent.Write(e.logger, logevent.ServerChanged).Str("server", s.ID).Str("service", s.Service).Str("zone", s.Zone).
			Str("address", s.Address).Bool("leaving", s.Leaving).Int("first", s.Holds.First).Int("limit", s.Holds.Limit).
			Int64("born", s.Born).Int64("beat", s.Beat).Msg("")
	}
}
