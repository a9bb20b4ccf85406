package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
)

// scriptedStore keeps topics in memory. Read blocks while silent is set.
type scriptedStore struct {
	mu      sync.Mutex
	topics  map[Topic][]Record
	blocked bool
	reads   int
	era     int64
	// notify is called when an era begins.
	notify func()
}

func newScriptedStore() *scriptedStore { return &scriptedStore{topics: map[Topic][]Record{}, era: 1} }

func (s *scriptedStore) add(topic Topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], Record{Key: key, Value: data})
}

// remove appends a record that ends a key.
func (s *scriptedStore) remove(topic Topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], Record{Key: key})
}

func (s *scriptedStore) ReadLatest(_ context.Context, topic Topic) (RecordBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return RecordBatch{Records: append([]Record(nil), s.topics[topic]...), Next: s.end(topic)}, nil
}

func (s *scriptedStore) Read(ctx context.Context, topic Topic, from Position, wait ReadWait) (RecordBatch, error) {
	s.mu.Lock()
	s.reads++
	blocked, restored, end := s.blocked, from.Era != s.era, s.end(topic)
	var rest []Record
	if !restored {
		rest = append(rest, s.topics[topic][from.Offset:]...)
	}
	s.mu.Unlock()
	switch {
	case blocked:
		select {
		case <-wait.Interrupt:
			return RecordBatch{}, ErrInterrupted
		case <-ctx.Done():
			return RecordBatch{}, ctx.Err()
		}
	case restored:
		return RecordBatch{}, ErrRestored
	}
	return RecordBatch{Records: rest, Next: end}, nil
}

func (s *scriptedStore) Append(_ context.Context, topic Topic, r Record, at Position) (Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at != AnyPosition && at.Offset != int64(len(s.topics[topic])) {
		return Position{}, ErrConflict
	}
	s.topics[topic] = append(s.topics[topic], r)
	if at != AnyPosition && at.Era != s.era {
		return Position{}, ErrRestored
	}
	return s.end(topic), nil
}

func (s *scriptedStore) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *scriptedStore) OnNewEra(notify func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify = notify
}

func (s *scriptedStore) end(topic Topic) Position {
	return Position{s.era, int64(len(s.topics[topic]))}
}

// restore replaces a topic by its first records and begins a new era.
func (s *scriptedStore) restore(topic Topic, records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append([]Record(nil), s.topics[topic][:records]...)
	s.era++
	if s.notify != nil {
		s.notify()
	}
}

func (s *scriptedStore) DecodeConfiguration(value []byte) (Configuration, error) {
	var revision int64
	err := json.Unmarshal(value, &revision)
	return Configuration{Revision: revision, Document: &config.Document{}}, err
}

func (s *scriptedStore) DecodeServer(id string, value []byte) (Server, error) {
	var server Server
	err := json.Unmarshal(value, &server)
	server.ID = id
	return server, err
}

func newStoreEntry(store Store) *Entry {
	return New(Options{
		Settings: Settings{Instance: "e", RetryWindow: 10 * time.Second}, Store: store, Engines: &testEngines{}, HeaderCodec: testCodec{},
		Logger: &log.Logger{Level: log.PanicLevel}, Random: rand.New(rand.NewPCG(1, 2)),
	})
}

func serverRecord(t *testing.T, s Server) Record {
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	return Record{Key: s.ID, Value: data}
}

// Guards against a server that one entry knows as leaving and the others as
// ready, and against an older record that replaces a newer one.
func TestPeerChangesAreApplied(t *testing.T) {
	watcher, other := newStoreEntry(newScriptedStore()), newStoreEntry(newScriptedStore())
	s := Server{Instance: membership.Instance{ID: "s", Service: "app", Address: "a:1"}, StartTimeMillis: 5, HeartbeatCount: 1}
	other.directory.apply(update{records: []Record{serverRecord(t, s)}, complete: true})
	s.Leaving, s.HeartbeatCount = true, 2
	watcher.directory.apply(update{records: []Record{serverRecord(t, s)}, complete: true})
	changes, _ := watcher.directory.nextChanges()
	assert.Equal(t, len(changes), 1)
	other.directory.applyPeerChanges(changes)
	assert.Assert(t, other.fleet.snapshot()["s"].Leaving)

	s.Leaving, s.HeartbeatCount = false, 1
	other.directory.applyPeerChanges([]Record{serverRecord(t, s)})
	assert.Assert(t, other.fleet.snapshot()["s"].Leaving)
	other.directory.applyPeerChanges([]Record{{Key: "s"}})
	assert.Equal(t, len(other.fleet.snapshot()), 0)
}

// Guards against a change that is lost with a single datagram, and against
// changes that are sent forever.
func TestChangesAreRepeated(t *testing.T) {
	e := newStoreEntry(newScriptedStore())
	e.directory.apply(update{records: []Record{serverRecord(t, Server{Instance: membership.Instance{ID: "s"}, HeartbeatCount: 1})}, complete: true})
	for range changeSends {
		assert.Equal(t, changesSent(e), 1)
	}
	assert.Equal(t, changesSent(e), 0)
	e.directory.apply(update{records: []Record{serverRecord(t, Server{Instance: membership.Instance{ID: "s"}, HeartbeatCount: 2})}, complete: false})
	assert.Equal(t, changesSent(e), 0, "a heartbeat alone is not a change")
}

// Guards against an entry that relies on a watcher that has terminated or
// cannot reach the store.
func TestWatcherMustBeFresh(t *testing.T) {
	e, now := newStoreEntry(newScriptedStore()), time.Now()
	announce := func(sequence int64, age time.Duration) bool {
		e.fleet.applyPeerMessage(now, message{sender: "w", startNanos: 1, sequence: sequence, term: 1, watchAge: age})
		return e.hasFreshWatcher()
	}
	assert.Assert(t, !e.hasFreshWatcher())
	assert.Assert(t, announce(1, maxWatchAge))
	assert.Assert(t, !announce(2, maxWatchAge+time.Millisecond))
	assert.Assert(t, !announce(3, notWatching))
}

// Guards against an old configuration that stays in force for as long as a
// read hangs on a dead connection, while other entries have a newer one.
func TestNewerPeerRevisionInterruptsRead(t *testing.T) {
	store := newScriptedStore()
	store.add(TopicConfiguration, "c", 1)
	e := newStoreEntry(store)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.followConfiguration(ctx) }()
	<-e.Configured()
	store.mu.Lock()
	store.blocked = true
	store.mu.Unlock()
	for reading := false; !reading; {
		time.Sleep(time.Millisecond)
		store.mu.Lock()
		reading = store.reads > 0
		store.mu.Unlock()
	}
	store.add(TopicConfiguration, "c", 2)
	store.mu.Lock()
	store.blocked = false
	store.mu.Unlock()
	p := &peers{Entry: e, addresses: map[string]peerAddress{}}
	for sequence := int64(1); e.Revision() < 2; sequence++ {
		p.handleMessage(message{sender: "o", startNanos: 1, sequence: sequence, revision: 2, watchAge: notWatching}, netip.AddrPort{})
		time.Sleep(time.Millisecond)
	}
	store.add(TopicConfiguration, "c", 1)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	assert.Equal(t, e.Revision(), int64(2))
}

// Guards against a read that is interrupted by each announcement of a newer
// revision and so never returns that revision.
func TestReadReturnsWhilePeersAnnounceNewerRevision(t *testing.T) {
	wake, done := make(chan struct{}, 1), make(chan struct{})
	interrupted := make(chan bool, 1)
	go func() { interrupted <- awaitWake(wake, done, minReadTime) }()
	wake <- struct{}{}
	close(done)
	assert.Assert(t, !<-interrupted)
}

// slowStore answers reads of the configuration only after a time, as over a slow
// link, and counts the records that were read one after another.
type slowStore struct {
	*scriptedStore
	delay   time.Duration
	changes atomic.Int64
}

func (s *slowStore) ReadLatest(ctx context.Context, topic Topic) (RecordBatch, error) {
	if err := s.awaitResponse(ctx, nil); err != nil {
		return RecordBatch{}, err
	}
	return s.scriptedStore.ReadLatest(ctx, topic)
}

func (s *slowStore) Read(ctx context.Context, topic Topic, from Position, wait ReadWait) (RecordBatch, error) {
	if err := s.awaitResponse(ctx, wait.Interrupt); err != nil {
		return RecordBatch{}, err
	}
	batch, err := s.scriptedStore.Read(ctx, topic, from, wait)
	s.changes.Add(int64(len(batch.Records)))
	return batch, err
}

func (s *slowStore) awaitResponse(ctx context.Context, interrupt <-chan struct{}) error {
	select {
	case <-time.After(s.delay):
		return nil
	case <-interrupt:
		return ErrInterrupted
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against an entry on a slow link that keeps an old configuration for good:
// announcements interrupted each read before it returned.
func TestSlowReadEndsDespiteAnnouncements(t *testing.T) {
	store := &slowStore{scriptedStore: newScriptedStore()}
	store.add(TopicConfiguration, "c", 1)
	e := newStoreEntry(store)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store.delay = 3 * minReadTime
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		for e.Revision() < 2 && ctx.Err() == nil {
			select {
			case e.newerRevision <- struct{}{}:
			default:
			}
			time.Sleep(time.Millisecond)
		}
	}()
	go func() { _ = e.followConfiguration(ctx) }()
	<-e.Configured()
	for revision := 2; revision <= 50; revision++ {
		store.add(TopicConfiguration, "c", revision)
	}
	<-announced
	assert.Equal(t, e.Revision(), int64(50))
	assert.Equal(t, store.changes.Load(), int64(0))
	last := time.Duration(0)
	for interrupts := range 100 {
		assert.Assert(t, readTime(interrupts) >= last && readTime(interrupts) <= maxReadTime)
		last = readTime(interrupts)
	}
}

// countingStore counts the configurations that are decoded.
type countingStore struct {
	*scriptedStore
	decoded int
}

func (s *countingStore) DecodeConfiguration(value []byte) (Configuration, error) {
	s.decoded++
	return s.scriptedStore.DecodeConfiguration(value)
}

// Guards against an entry that decodes each of many revisions that have been
// replaced while the newest one waits.
func TestSupersededRevisionsAreNotDecoded(t *testing.T) {
	store := &countingStore{scriptedStore: newScriptedStore()}
	e := newStoreEntry(store)
	records := []Record{{Key: "c", Value: []byte("1")}, {Key: "c", Value: []byte("2")}, {Key: "c", Value: []byte("3")}}
	e.applyNewestConfiguration(records)
	assert.Equal(t, e.Revision(), int64(3))
	assert.Equal(t, store.decoded, 1)

	// An unreadable record does not hide the readable one before it.
	e.applyNewestConfiguration([]Record{{Key: "c", Value: []byte("4")}, {Key: "c", Value: []byte("x")}, {Key: "c"}})
	assert.Equal(t, e.Revision(), int64(4))
}

// Guards against two entries that place layers at the same time, and against
// none that does.
func TestOneEntryHoldsTheLease(t *testing.T) {
	store := newScriptedStore()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	entries := []*Entry{newStoreEntry(store), newStoreEntry(store)}
	entries[1].settings.Instance = "other"
	var group sync.WaitGroup
	for _, e := range entries {
		group.Go(func() { _ = e.runPlacer(ctx) })
	}
	for entries[0].leaseTerm.Load()+entries[1].leaseTerm.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	group.Wait()
	assert.Assert(t, !entries[0].isWatcher() || !entries[1].isWatcher())
}

// refusingStore turns all reads away while refuse is set.
type refusingStore struct {
	*scriptedStore
	refuse atomic.Bool
	calls  atomic.Int64
}

func (s *refusingStore) ReadLatest(ctx context.Context, topic Topic) (RecordBatch, error) {
	s.calls.Add(1)
	if s.refuse.Load() {
		return RecordBatch{}, ErrUnavailable
	}
	return s.scriptedStore.ReadLatest(ctx, topic)
}

func (s *refusingStore) Read(ctx context.Context, topic Topic, from Position, wait ReadWait) (RecordBatch, error) {
	s.calls.Add(1)
	if s.refuse.Load() {
		return RecordBatch{}, ErrUnavailable
	}
	batch, err := s.scriptedStore.Read(ctx, topic, from, wait)
	if err == nil && len(batch.Records) == 0 {
		sleep(ctx, wait.Time)
	}
	return batch, err
}

// Guards against hundreds of entries that call the store several times a second while it
// turns them away, although another entry watches it for them, and against an entry that
// learns late of what the other one announces.
func TestEntryThatIsToldRetriesSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &refusingStore{scriptedStore: newScriptedStore()}
		store.add(TopicConfiguration, "c", 1)
		store.add(TopicServers, "s", heartbeat("s", 1))
		e := newStoreEntry(store)
		ctx, cancel := context.WithCancel(t.Context())
		announced := atomic.Int64{}
		announced.Store(1)
		var followers errgroup.Group
		followers.Go(func() error { return e.followConfiguration(ctx) })
		followers.Go(func() error { return e.followServers(ctx) })
		followers.Go(func() error {
			for sequence := int64(1); ctx.Err() == nil; sequence++ {
				m := message{sender: "watcher", startNanos: 1, sequence: sequence, term: 1, revision: announced.Load()}
				e.fleet.applyPeerMessage(time.Now(), m)
				sleep(ctx, maxUsageInterval)
			}
			return ctx.Err()
		})
		time.Sleep(20 * time.Second)
		store.refuse.Store(true)
		time.Sleep(10 * time.Second)
		before := store.calls.Load()
		const outage = 20 * time.Second
		time.Sleep(outage)
		// Two topics are read.
		assert.Assert(t, store.calls.Load()-before <= 2*int64(outage/relaxedRetryInterval), "%d calls", store.calls.Load()-before)

		store.add(TopicConfiguration, "c", 2)
		announced.Store(2)
		store.refuse.Store(false)
		// A change must be in force 2 s after it was accepted.
		time.Sleep(2 * time.Second)
		assert.Equal(t, e.Revision(), int64(2))
		cancel()
		_ = followers.Wait() // they end with the context
	})
}

// changesSent returns the number of changes in the next message.
func changesSent(e *Entry) int {
	changes, _ := e.directory.nextChanges()
	return len(changes)
}

// Guards against a message that no datagram can carry, and against entries that go on
// relying on the watcher although it could not tell them all changes, when thousands of
// servers start at once.
func TestTooManyChangesAreReadByEveryEntry(t *testing.T) {
	e := newStoreEntry(newScriptedStore())
	e.leaseTerm.Store(1)
	p := &peers{Entry: e}
	var records []Record
	for i := range 3000 {
		records = append(records, serverRecord(t, heartbeat(fmt.Sprintf("s%04d", i), 1)))
	}
	e.directory.apply(update{records: records, complete: true})
	e.directory.markRead(bootclock.Now())
	m := p.message(1)
	assert.Assert(t, len(m.encode(newestVersion)) <= maxDatagram)
	assert.Equal(t, m.watchAge, notWatching)
	assert.Equal(t, p.message(2).watchAge, notWatching, "a single lost message must not hide it")

	e.directory.tooManyChangesAt = bootclock.Now().Add(-selfReadTime)
	e.directory.apply(update{records: []Record{serverRecord(t, heartbeat("new", 1))}})
	m = p.message(3)
	assert.Equal(t, len(m.changes), 1)
	assert.Assert(t, m.watchAge <= maxWatchAge)
}

// busyStore answers a waiting read of the configuration a while after the record was
// written, because it answers many entries at once. It counts interrupted reads.
type busyStore struct {
	*scriptedStore
	written     chan struct{}
	delay       time.Duration
	interrupted int
}

func (s *busyStore) Read(ctx context.Context, topic Topic, from Position, wait ReadWait) (RecordBatch, error) {
	answer := time.After(wait.Time)
	for written := s.written; ; written = nil {
		select {
		case <-written:
			answer = time.After(s.delay)
		case <-answer:
			return s.scriptedStore.Read(ctx, topic, from, wait)
		case <-wait.Interrupt:
			s.interrupted++
			return RecordBatch{}, ErrInterrupted
		case <-ctx.Done():
			return RecordBatch{}, ctx.Err()
		}
	}
}

// Guards against a configuration that is thrown away as it arrives, and read again from
// the beginning, because entries on faster links announce it first.
func TestAnnouncementsSpareResponseThatIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &busyStore{scriptedStore: newScriptedStore(), written: make(chan struct{}), delay: minReadTime / 2}
		store.add(TopicConfiguration, "c", 1)
		e := newStoreEntry(store)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = e.followConfiguration(ctx) }()
		<-e.Configured()
		// The wait for the next revision has lasted for long when it comes.
		time.Sleep(2*minReadTime - time.Millisecond)
		store.add(TopicConfiguration, "c", 2)
		close(store.written)
		began := time.Now()
		for e.Revision() < 2 {
			select {
			case e.newerRevision <- struct{}{}:
			default:
			}
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, store.interrupted, 0)
		assert.Assert(t, time.Since(began) <= store.delay+time.Millisecond)
	})
}

// thinLinkStore delivers one record of the configuration at a time, each of which takes a
// while on the link.
type thinLinkStore struct {
	*scriptedStore
	transferTime time.Duration
}

func (s *thinLinkStore) ReadLatest(ctx context.Context, topic Topic) (RecordBatch, error) {
	batch, err := s.scriptedStore.ReadLatest(ctx, topic)
	batch.Records = batch.Records[max(len(batch.Records)-1, 0):]
	sleep(ctx, s.transferTime)
	return batch, err
}

func (s *thinLinkStore) Read(ctx context.Context, topic Topic, from Position, wait ReadWait) (RecordBatch, error) {
	batch, err := s.scriptedStore.Read(ctx, topic, from, wait)
	if err != nil || len(batch.Records) == 0 {
		sleep(ctx, readCheckInterval)
		return batch, err
	}
	batch.Left = int64(len(batch.Records) - 1)
	batch.Records, batch.Next.Offset = batch.Records[:1], from.Offset+1
	sleep(ctx, s.transferTime)
	return batch, nil
}

// Guards against an entry on a thin link that reads each of many large configurations one
// after another and falls behind.
func TestSeriesOfLargeConfigurationsIsNotReadOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			revisions = 13
			interval  = 330 * time.Millisecond
			inForce   = 3 * time.Second
		)
		store := &thinLinkStore{newScriptedStore(), time.Second}
		store.add(TopicConfiguration, "c", 1)
		e := newStoreEntry(store)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = e.followConfiguration(ctx) }()
		<-e.Configured()
		for revision := 2; revision <= revisions; revision++ {
			store.add(TopicConfiguration, "c", revision)
			time.Sleep(interval)
		}
		time.Sleep(inForce - interval)
		assert.Equal(t, e.Revision(), int64(revisions))
	})
}
