package relay

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/lease"
	"github.com/sapphirefield/sapphirefield/membership"
)

const (
	// storeCallTimeout is how long a call to the store waits for an answer, in addition
	// to the time that a read waits for records. storeCallTime is how long one takes.
	storeCallTimeout = 700 * time.Millisecond
	storeCallTime    = 5 * time.Millisecond
	// readCheckInterval is how often a waiting read of a linkedStore looks for records.
	readCheckInterval = 10 * time.Millisecond
)

// linkState is what passes between an entry and the store.
type linkState int32

const (
	linkWhole linkState = iota
	requestsLost
	answersLost
)

// linkedStore is one entry's way to a store that all entries share.
type linkedStore struct {
	*scriptedStore
	link atomic.Int32
	// calls is the number of calls in progress, mostCalls its highest value.
	calls, mostCalls atomic.Int32
	// serversRead is when the servers' records were last read, in nanoseconds.
	serversRead atomic.Int64
	// appends counts the appends that the store has seen, and timeout is how long calls
	// without an answer take.
	appends atomic.Int32
	timeout time.Duration
}

// beginCall counts a call until the returned function is called.
func (s *linkedStore) beginCall(topic Topic) (end func()) {
	s.mostCalls.Store(max(s.mostCalls.Load(), s.calls.Add(1)))
	return func() {
		s.calls.Add(-1)
		if topic == TopicServers && s.is(linkWhole) {
			s.serversRead.Store(time.Now().UnixNano())
		}
	}
}

func (s *linkedStore) is(state linkState) bool { return linkState(s.link.Load()) == state }

// awaitTimeout blocks as a call does that gets no answer.
func awaitTimeout(ctx context.Context, timeout time.Duration) error {
	sleep(ctx, timeout)
	return ErrUnavailable
}

func (s *linkedStore) ReadLatest(ctx context.Context, topic Topic) (RecordBatch, error) {
	defer s.beginCall(topic)()
	if !s.is(linkWhole) {
		return RecordBatch{}, awaitTimeout(ctx, s.timeout)
	}
	return s.scriptedStore.ReadLatest(ctx, topic)
}

func (s *linkedStore) Read(ctx context.Context, topic Topic, from Position, wait ReadWait) (RecordBatch, error) {
	defer s.beginCall(topic)()
	started := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if wait.Interrupt != nil {
		go func() {
			select {
			case <-wait.Interrupt:
				cancel(ErrInterrupted)
			case <-ctx.Done():
			}
		}()
	}
	for s.is(linkWhole) && ctx.Err() == nil {
		batch, err := s.scriptedStore.Read(ctx, topic, from, ReadWait{})
		if err != nil || len(batch.Records) > 0 || time.Since(started) >= wait.Time {
			return batch, err
		}
		sleep(ctx, readCheckInterval)
	}
	err := awaitTimeout(ctx, wait.Time+s.timeout-time.Since(started))
	if errors.Is(context.Cause(ctx), ErrInterrupted) {
		err = ErrInterrupted
	}
	return RecordBatch{}, err
}

func (s *linkedStore) Append(ctx context.Context, topic Topic, r Record, at Position) (Position, error) {
	if s.is(requestsLost) {
		sleep(ctx, s.timeout)
		return Position{}, ErrUnknownOutcome
	}
	sleep(ctx, storeCallTime)
	s.appends.Add(1)
	end, err := s.scriptedStore.Append(ctx, topic, r, at)
	if s.is(answersLost) {
		sleep(ctx, s.timeout)
		return Position{}, ErrUnknownOutcome
	}
	return end, err
}

// candidates are entries that compete for the lease and hear each other.
type candidates struct {
	placers []*placer
	links   []*linkedStore
	// violation is set once two entries were allowed to act at the same time.
	violation atomic.Bool
}

func newCandidates(n int, engines EngineClient) *candidates {
	c := &candidates{}
	store := newScriptedStore()
	for i := range n {
		link := &linkedStore{scriptedStore: store, timeout: storeCallTimeout}
		e := newStoreEntry(link)
		e.settings.Instance, e.engines = fmt.Sprintf("e%d", i), engines
		p := newPlacer(e)
		p.now = time.Now
		c.placers, c.links = append(c.placers, p), append(c.links, link)
	}
	return c
}

// run lets the entries compete and exchange messages until ctx ends.
func (c *candidates) run(ctx context.Context) (wait func()) {
	var group sync.WaitGroup
	for _, p := range c.placers {
		group.Go(func() { _ = p.run(ctx) }) // ends with the context
	}
	group.Go(func() {
		for sequence := int64(1); ctx.Err() == nil; sequence++ {
			c.exchange(sequence)
			sleep(ctx, minMessageInterval)
		}
	})
	return group.Wait
}

func (c *candidates) exchange(sequence int64) {
	for i, from := range c.placers {
		m := message{
			sender: from.settings.Instance, startNanos: 1, sequence: sequence, term: from.leaseTerm.Load(), watchAge: notWatching,
			revision: from.Revision(),
		}
		if from.isWatcher() {
			m.watchAge = time.Since(time.Unix(0, c.links[i].serversRead.Load()))
		}
		for _, to := range c.placers {
			if to != from {
				(&peers{Entry: to.Entry, addresses: map[string]peerAddress{from.settings.Instance: {}}}).handleMessage(m, netip.AddrPort{})
			}
		}
	}
}

// holder returns the entry that may act, or -1, and notes if there are two.
func (c *candidates) holder() int {
	found := -1
	for i, p := range c.placers {
		if p.holdsLease() {
			if found >= 0 {
				c.violation.Store(true)
			}
			found = i
		}
	}
	return found
}

// awaitHolder waits until an entry other than the given one may act, and returns the
// time that took.
func (c *candidates) awaitHolder(not int) (holder int, took time.Duration) {
	const limit = 30 * time.Second
	start := time.Now()
	for time.Since(start) < limit {
		if h := c.holder(); h >= 0 && h != not {
			return h, time.Since(start)
		}
		time.Sleep(readCheckInterval)
	}
	return -1, limit
}

// Guards against a holder that is cut off from the store in one direction and still acts,
// or still tells the others that it holds the lease while its calls wait for answers.
// Another entry must have taken over as soon as others may take a lease that nobody
// renews.
func TestLeaseMovesWhenHolderIsCutOffOneWay(t *testing.T) {
	options := lease.DefaultOptions()
	// With the long timeout, a renewal outlasts the permission unless it is limited.
	for _, timeout := range []time.Duration{storeCallTimeout, 5 * time.Second} {
		for _, cut := range []linkState{requestsLost, answersLost} {
			for phase := time.Duration(0); phase < options.RenewInterval; phase += options.RenewInterval / 8 {
				synctest.Test(t, func(t *testing.T) {
					c := newCandidates(3, &testEngines{})
					ctx, cancel := context.WithCancel(t.Context())
					wait := c.run(ctx)
					first, _ := c.awaitHolder(-1)
					time.Sleep(5*time.Second + phase)
					c.links[first].timeout = timeout
					c.links[first].link.Store(int32(cut))
					second, took := c.awaitHolder(first)
					assert.Check(t, took <= options.LeaseDuration, "cut %d, phase %s: taken over after %s", cut, phase, took)
					time.Sleep(5 * time.Second)
					assert.Check(t, c.holder() == second)
					c.links[first].link.Store(int32(linkWhole))
					time.Sleep(5 * time.Second)
					assert.Check(t, c.holder() == second)
					assert.Check(t, !c.violation.Load())
					cancel()
					wait()
				})
			}
		}
	}
}

// Guards against all entries that claim the lease at the moment at which they learn that it
// is free: at a takeover the store must not see more claims of many entries than of few.
func TestTakeoverNeedsFewClaims(t *testing.T) {
	options := lease.DefaultOptions()
	for _, entries := range []int{3, 30, 100} {
		synctest.Test(t, func(t *testing.T) {
			c := newCandidates(entries, &testEngines{})
			ctx, cancel := context.WithCancel(t.Context())
			wait := c.run(ctx)
			first, _ := c.awaitHolder(-1)
			time.Sleep(5 * time.Second)
			c.links[first].link.Store(int32(requestsLost))
			for _, link := range c.links {
				link.appends.Store(0)
			}
			_, took := c.awaitHolder(first)
			assert.Check(t, took <= options.LeaseDuration, "%d entries: %s", entries, took)
			appends := int32(0)
			for _, link := range c.links {
				appends += link.appends.Load()
			}
			// The claim that succeeds, and one that was on its way.
			assert.Check(t, appends <= 2, "%d entries: %d claims", entries, appends)
			cancel()
			wait()
		})
	}
}

// Guards against a store that accepts connections and answers nothing: calls must end, few
// at a time, and the lease, and with it layers, leaving servers and configurations, must
// be served again within two seconds of its return.
func TestChangesAfterSilentStore(t *testing.T) {
	const returnTime = 2 * time.Second
	for silence := 400 * time.Millisecond; silence < 7*time.Second; silence += 730 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := newCandidates(3, &testEngines{})
			c.links[0].add(TopicConfiguration, "c", 1)
			ctx, cancel := context.WithCancel(t.Context())
			wait := c.run(ctx)
			var followers sync.WaitGroup
			for _, p := range c.placers {
				followers.Go(func() { _ = p.followConfiguration(ctx) }) // end with the context
				followers.Go(func() { _ = p.followServers(ctx) })
				followers.Go(func() { _ = p.runMaintenance(ctx) })
			}
			time.Sleep(10 * time.Second)
			for _, link := range c.links {
				link.link.Store(int32(requestsLost))
			}
			time.Sleep(silence)
			c.links[0].add(TopicConfiguration, "c", 2)
			for _, link := range c.links {
				link.link.Store(int32(linkWhole))
			}
			time.Sleep(returnTime)
			assert.Check(t, c.holder() >= 0, "silent for %s", silence)
			for i, p := range c.placers {
				assert.Check(t, p.Revision() == 2, "silent for %s", silence)
				// One for each of the three topics that are followed.
				assert.Check(t, c.links[i].mostCalls.Load() <= 3)
			}
			cancel()
			wait()
			followers.Wait()
		})
	}
}

// Guards against entries all of which, by an order of names, wait for many that cannot
// reach the store either.
func TestTakeoverWithoutFirstEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCandidates(100, &testEngines{})
		ctx, cancel := context.WithCancel(t.Context())
		wait := c.run(ctx)
		first, _ := c.awaitHolder(-1)
		time.Sleep(5 * time.Second)
		for i, p := range c.placers {
			if i == first || p.settings.Instance < "e5" {
				c.links[i].link.Store(int32(requestsLost))
			}
		}
		_, took := c.awaitHolder(first)
		assert.Check(t, took <= lease.DefaultOptions().LeaseDuration, "taken over after %s", took)
		cancel()
		wait()
	})
}

// Guards against servers that are dropped because their records lapsed while the store did
// not answer, and against ones that are gone and stay because a read has failed once.
func TestFollowedServersAfterOutage(t *testing.T) {
	for _, c := range []struct {
		silence, removedAfter time.Duration
		want                  int
	}{{3 * time.Second, 0, 1}, {3 * time.Second, time.Second, 1}, {10 * time.Millisecond, 0, 0}} {
		synctest.Test(t, func(t *testing.T) {
			link := &linkedStore{scriptedStore: newScriptedStore(), timeout: 20 * time.Millisecond}
			e := newStoreEntry(link)
			link.add(TopicServers, "s", heartbeat("s", 1))
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			group.Go(func() { _ = e.followServers(ctx) }) // ends with the context
			time.Sleep(5 * time.Second)
			assert.Equal(t, len(e.fleet.snapshot()), 1)
			link.link.Store(int32(requestsLost))
			// Longer than the time between two reads.
			time.Sleep(watchInterval + c.silence)
			if c.removedAfter == 0 {
				link.remove(TopicServers, "s")
			}
			link.link.Store(int32(linkWhole))
			if c.removedAfter > 0 {
				time.Sleep(c.removedAfter)
				link.remove(TopicServers, "s")
			}
			time.Sleep(time.Second)
			assert.Equal(t, len(e.fleet.snapshot()), c.want, "%+v", c)
			e.directory.expireUnconfirmed(bootclock.Now().Add(2 * confirmTime))
			assert.Equal(t, len(e.fleet.snapshot()), 0)
			cancel()
			group.Wait()
		})
	}
}

// hungEngines never answer status queries. They count those in progress.
type hungEngines struct {
	testEngines
	current, highest atomic.Int64
}

func (e *hungEngines) Status(ctx context.Context, _ string) (EngineStatus, error) {
	e.highest.Store(max(e.highest.Load(), e.current.Add(1)))
	defer e.current.Add(-1)
	sleep(ctx, storeCallTimeout)
	return EngineStatus{}, ErrNoResponse
}

// Guards against a holder that loses its lease, and with it all others the placing of
// layers, because engines do not answer its status queries; and against queries that pile
// up.
func TestHungStatusQueriesDoNotCostTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &hungEngines{}
		c := newCandidates(2, engines)
		servers := map[string]Server{}
		for i := range 60 {
			id := fmt.Sprintf("s%d", i)
			servers[id] = Server{Instance: membership.Instance{ID: id, Service: "llm", Address: id}, Accelerator: "gpu"}
		}
		for _, p := range c.placers {
			p.current.Store(newRevision(Configuration{Document: &config.Document{
				Accelerators: []config.Accelerator{{Kind: "gpu", MemoryBytes: 20 << 30}},
				Models:       []config.Model{{Name: "llm", Layers: 80, BytesPerLayer: 1 << 30, KVBytesPerTokenLayer: 1 << 12}},
			}}))
			p.fleet.setServers(time.Now(), servers)
		}
		ctx, cancel := context.WithCancel(t.Context())
		wait := c.run(ctx)
		first, _ := c.awaitHolder(-1)
		term := c.placers[first].term()
		for range 1000 {
			time.Sleep(readCheckInterval)
			assert.Assert(t, c.holder() == first)
		}
		assert.Equal(t, c.placers[first].term(), term)
		assert.Assert(t, engines.highest.Load() <= concurrentPolls+concurrentOrders, "%d at once", engines.highest.Load())
		cancel()
		wait()
	})
}
