package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// storeRetryBase and storeRetryLimit bound the backoff after a failed call to
	// the store. A change must be in force 2 s after it was accepted.
	storeRetryBase  = 50 * time.Millisecond
	storeRetryLimit = 400 * time.Millisecond
	// configurationWait is how long a read waits for a change. It is also the time
	// after which a dead connection is detected.
	configurationWait = 900 * time.Millisecond
	// relaxedConfigurationWait is the same while the messages of another entry
	// would announce a newer revision. The read is interrupted when they cease.
	relaxedConfigurationWait = 15 * time.Second
	// maxReadBehind is the number of unread records up to which a topic whose newest records
	// matter is read on.
	maxReadBehind = 1
	// relaxedRetryInterval is the time between two failed reads while the messages of
	// another entry tell this one all that it would read. relaxedRetryCheck is how
	// often that is checked meanwhile.
	relaxedRetryInterval = 2 * time.Second
	relaxedRetryCheck    = 200 * time.Millisecond
)

// followOptions configure how a topic is followed.
type followOptions struct {
	topic Topic
	// readWait returns how long a read waits for a change.
	readWait func() time.Duration
	// pause blocks until the next read is due; nil means immediately.
	pause func(context.Context)
	// wake interrupts a pending read, so that the topic is read again.
	wake <-chan struct{}
	// newestOnly is set if only the newest record of each key matters. After a
	// failure, the records in between are then not read: they may be too many for a
	// slow link.
	newestOnly bool
	// isToldByOthers reports whether another entry tells this one of all changes.
	// Failed reads are then repeated less often: during an outage, hundreds of
	// entries would otherwise call the store several times a second.
	isToldByOthers func() bool
	apply          func(update)
}

// update is what a read of a topic has returned.
type update struct {
	records []Record
	// complete is set if the records are the newest of each key; otherwise they are
	// those that have changed.
	complete bool
	// restored is set if the store has come back from an older copy since the last
	// update. Records that it had accepted may then be missing until their writers
	// write them again, and records that were deleted may be back.
	restored bool
	// afterOutage is set for the first answer after the store has not answered for so long
	// that records of servers that work may have lapsed.
	afterOutage bool
}

// minOutage is how long reads must have failed for that. A record lapses when its server
// has not renewed it for about three seconds; a read that follows may fail a second later.
const minOutage = time.Second

// outageWatch notices that the store has not answered for long. Its clock stands still while
// this process is suspended: the store may have answered others meanwhile.
type outageWatch struct{ failingSince time.Time }

// failed records that a read has failed that began at a time.
func (w *outageWatch) failed(began time.Time) {
	if w.failingSince.IsZero() {
		w.failingSince = began
	}
}

// answered records an answer at a time to a read, and reports whether an outage is over.
// The read itself may have waited for longer than it was to.
func (w *outageWatch) answered(now, began time.Time, readWait time.Duration) bool {
	w.failed(began.Add(readWait))
	over := now.Sub(w.failingSince) >= minOutage
	w.failingSince = time.Time{}
	return over
}

// follow keeps a topic's records up to date: it reads the newest record of
// each key, then the changes, and starts over when changes have expired.
func (e *Entry) follow(ctx context.Context, f followOptions) error {
	backoff := e.backoff()
	next, failures, interrupts := fromStart, 0, 0
	era, outage := eraWatch{}, outageWatch{}
	for ctx.Err() == nil {
		began, readWait := time.Now(), f.readWait()
		batch, err := e.readInterruptible(ctx, f, next, interrupts)
		if err != nil && f.newestOnly {
			next = fromStart
		}
		switch {
		case errors.Is(err, ErrExpired), errors.Is(err, ErrRestored):
			next = fromStart
			continue
		case errors.Is(err, ErrInterrupted):
			interrupts++
			logevent.Write(e.logger, logevent.StoreReadInterrupted).Int("topic", int(f.topic)).Int("in_a_row", interrupts).
				Dur("took_ms", time.Since(began)).Msg("")
			continue
		case err != nil:
			failures++
			outage.failed(began)
			e.logStoreFailure(f.topic, failures, err)
			f.awaitRetry(ctx, backoff.Delay(failures))
			continue
		}
		e.logStoreRecovery(f.topic, failures)
		failures, interrupts = 0, 0
		u := update{records: batch.Records, complete: next == fromStart, restored: era.advance(batch.Next.Era)}
		u.afterOutage = outage.answered(time.Now(), began, readWait)
		if u.restored {
			logevent.Write(e.logger, logevent.StoreRestored).Int("topic", int(f.topic)).Int64("era", batch.Next.Era).Msg("")
		}
		if u.complete || u.afterOutage || len(batch.Records) > 0 {
			f.apply(u)
		}
		next = batch.Next
		if f.newestOnly && batch.Left > maxReadBehind {
			// The records in between are superseded; reading them one after another may take
			// longer than new ones take to come.
			next = fromStart
		}
		if f.pause != nil {
			f.pause(ctx)
		}
	}
	return ctx.Err()
}

// awaitRetry waits after a failed read: for a delay, or for relaxedRetryInterval as long
// as other entries tell this one of all changes.
func (f followOptions) awaitRetry(ctx context.Context, delay time.Duration) {
	sleep(ctx, delay)
	for waited := delay; waited < relaxedRetryInterval && f.isToldByOthers() && ctx.Err() == nil; waited += relaxedRetryCheck {
		sleep(ctx, relaxedRetryCheck)
	}
}

// fromStart stands for the position of a read that returns the newest record of
// each key.
var fromStart = Position{Offset: -1}

// eraWatch notices that the store begins a new era.
type eraWatch struct {
	era   int64
	known bool
}

// advance records the era of an answer and reports whether the era before is over.
func (w *eraWatch) advance(era int64) bool {
	restored := w.known && era > w.era
	w.era, w.known = max(w.era, era), true
	return restored
}

const (
	// minReadTime is how long after another entry has announced a newer revision a read is
	// interrupted whose response has not begun. All entries have their responses at about
	// the same time, and those on fast links announce theirs at once. The time doubles with
	// each interrupt in a row, up to maxReadTime: the store may be slow for this entry.
	minReadTime = 400 * time.Millisecond
	maxReadTime = 4 * time.Second
)

// readTime returns how long a response may take after an announcement, after a number of
// interrupts in a row.
func readTime(interrupts int) time.Duration {
	return min(minReadTime<<min(interrupts, 8), maxReadTime)
}

// awaitWake waits for a signal, and then a grace time for the end of the read that it is
// about. It reports whether the read did not end.
func awaitWake(wake <-chan struct{}, done <-chan struct{}, grace time.Duration) bool {
	select {
	case <-wake:
	case <-done:
		return false
	}
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

// readInterruptible reads a topic. A read is interrupted if no response begins although
// another entry has newer data: its connection may be dead.
func (e *Entry) readInterruptible(ctx context.Context, f followOptions, next Position, interrupts int) (RecordBatch, error) {
	if f.wake == nil || next == fromStart {
		return e.readTopic(ctx, f.topic, next, ReadWait{Time: f.readWait()})
	}
	// The store answers this read at once if a signal sent before now is about newer data.
	// If it is about the loss of the watcher, readWait is short from now on.
	select {
	case <-f.wake:
	default:
	}
	wait := ReadWait{Time: f.readWait()}
	interrupt, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	go func() {
		if awaitWake(f.wake, done, readTime(interrupts)) {
			close(interrupt)
		}
	}()
	wait.Interrupt = interrupt
	return e.readTopic(ctx, f.topic, next, wait)
}

func (e *Entry) readTopic(ctx context.Context, topic Topic, next Position, wait ReadWait) (RecordBatch, error) {
	if next == fromStart {
		return e.store.ReadLatest(ctx, topic)
	}
	return e.store.Read(ctx, topic, next, wait)
}

// logStoreFailure logs the first of a series of failures.
func (e *Entry) logStoreFailure(topic Topic, failures int, err error) {
	if failures == 1 {
		logevent.Write(e.logger, logevent.StoreUnavailable).Int("topic", int(topic)).Str("cause", err.Error()).Msg("")
	}
}

func (e *Entry) logStoreRecovery(topic Topic, failures int) {
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
	return e.follow(ctx, followOptions{
		topic: TopicConfiguration, readWait: e.configurationWait, wake: e.newerRevision, newestOnly: true, isToldByOthers: e.hasNewestRevision,
		apply: func(u update) { e.applyNewestConfiguration(u.records) },
	})
}

// configurationWait returns how long a read waits for a new configuration. A
// dead connection is detected when the wait ends or when another entry
// announces a newer revision. The wait is long only while such announcements
// arrive.
func (e *Entry) configurationWait() time.Duration {
	if !e.isWatcher() && e.hasFreshWatcher() {
		return relaxedConfigurationWait
	}
	return configurationWait
}

// hasNewestRevision reports whether another entry watches for newer revisions and none
// announces one.
func (e *Entry) hasNewestRevision() bool {
	if e.isWatcher() || !e.hasFreshWatcher() {
		return false
	}
	revision := e.Revision()
	return revision > 0 && !slices.ContainsFunc(e.fleet.freshMessages(time.Now()), func(m message) bool { return m.revision > revision })
}

// observeWatcher interrupts a pending read of the configuration when the watcher is
// lost: a newer revision may then not be announced.
func (e *Entry) observeWatcher(wasFresh bool) (isFresh bool) {
	isFresh = e.hasFreshWatcher()
	if wasFresh && !isFresh {
		select {
		case e.newerRevision <- struct{}{}:
		default:
		}
	}
	return isFresh
}

// applyNewestConfiguration applies the newest readable record. Those before it
// are superseded; decoding them would delay the newest one.
func (e *Entry) applyNewestConfiguration(records []Record) {
	for _, r := range slices.Backward(records) {
		if e.applyConfiguration(r) {
			return
		}
	}
}

// applyConfiguration applies a newer configuration; an older one never
// replaces it. It reports whether the record is a readable configuration.
func (e *Entry) applyConfiguration(r Record) bool {
	if r.Value == nil {
		return false
	}
	c, err := e.store.DecodeConfiguration(r.Value)
	if err != nil {
		logevent.Write(e.logger, logevent.ConfigurationUnreadable).Str("cause", err.Error()).Msg("")
		return false
	}
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	if c.Revision <= e.Revision() {
		return true
	}
	e.current.Store(newRevision(c))
	e.configuredOnce.Do(func() { close(e.configured) })
	logevent.Write(e.logger, logevent.RevisionActivated).Int64("revision", c.Revision).
		Int("routes", len(c.Document.Routes)).Int("teams", len(c.Document.Teams)).Msg("")
	return true
}

// followServers reads the servers' records often while this entry is the
// watcher, while there is no watcher, or while a lost engine is expected to
// return, and infrequently otherwise.
func (e *Entry) followServers(ctx context.Context) error {
	// watcher is the one at the last read.
	var watcher watcherTerm
	return e.follow(ctx, followOptions{
		topic: TopicServers, readWait: func() time.Duration { return 0 }, isToldByOthers: func() bool { return !e.readsItself(watcher) },
		pause: func(ctx context.Context) {
			e.directory.markRead(bootclock.Now())
			e.directory.expireUnconfirmed(bootclock.Now())
			watcher, _ = e.freshWatcher()
			for elapsed := watchInterval; elapsed < relaxedInterval && ctx.Err() == nil; elapsed += watchInterval {
				sleep(ctx, watchInterval)
				if e.readsItself(watcher) || e.awaitsLostEngine(elapsed) {
					return
				}
			}
		},
		apply: e.directory.apply,
	})
}

// awaitsLostEngine reports whether a read is due because an engine is lost:
// its next record shows that it works.
func (e *Entry) awaitsLostEngine(elapsed time.Duration) bool {
	return elapsed >= e.settings.Heartbeat && e.fleet.hasRecentlyLost(time.Now())
}

// isWatcher reports whether this entry reads the servers' records on behalf of
// the others.
func (e *Entry) isWatcher() bool { return e.leaseTerm.Load() > 0 }

// watcherTerm identifies the term of a watcher. A new term, or a new process, may not
// know of the changes that the one before has not announced yet.
type watcherTerm struct {
	sender           string
	startNanos, term int64
}

// freshWatcher returns the entry that reads the servers' records often and announces
// changes, if there is one other than this entry.
func (e *Entry) freshWatcher() (watcher watcherTerm, known bool) {
	for _, m := range e.fleet.freshMessages(time.Now()) {
		if m.watchAge <= maxWatchAge && (!known || m.term > watcher.term) {
			watcher, known = watcherTerm{m.sender, m.startNanos, m.term}, true
		}
	}
	return watcher, known
}

func (e *Entry) hasFreshWatcher() bool {
	_, known := e.freshWatcher()
	return known
}

// readsItself reports whether this entry must read the servers' records itself. last
// was the watcher at its last read: a later one has read the records before it was
// heard of, so one more read of this entry's own leaves no gap.
func (e *Entry) readsItself(last watcherTerm) bool {
	watcher, known := e.freshWatcher()
	return e.isWatcher() || !known || watcher != last || e.directory.hasMissedChange()
}
