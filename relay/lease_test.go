package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/lease"
	"github.com/sapphirefield/sapphirefield/membership"
)

const (
	// storeCallTimeout is how long a call to the store waits for an answer, in addition
	// to the time that a read waits for records.
	storeCallTimeout = 700 * time.Millisecond
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
}

func (s *linkedStore) is(state linkState) bool { return linkState(s.link.Load()) == state }

// awaitTimeout blocks as a call does that gets no answer.
func awaitTimeout(ctx context.Context, timeout time.Duration) error {
	sleep(ctx, timeout)
	return ErrUnavailable
}

func (s *linkedStore) ReadLatest(ctx context.Context, topic Topic) (RecordBatch, error) {
	if !s.is(linkWhole) {
		return RecordBatch{}, awaitTimeout(ctx, storeCallTimeout)
	}
	return s.scriptedStore.ReadLatest(ctx, topic)
}

func (s *linkedStore) Read(ctx context.Context, topic Topic, from Position, wait time.Duration) (RecordBatch, error) {
	started := time.Now()
	for s.is(linkWhole) && ctx.Err() == nil {
		batch, err := s.scriptedStore.Read(ctx, topic, from, 0)
		if err != nil || len(batch.Records) > 0 || time.Since(started) >= wait {
			return batch, err
		}
		sleep(ctx, readCheckInterval)
	}
	return RecordBatch{}, awaitTimeout(ctx, wait+storeCallTimeout-time.Since(started))
}

func (s *linkedStore) Append(ctx context.Context, topic Topic, r Record, at Position) (Position, error) {
	if s.is(requestsLost) {
		sleep(ctx, storeCallTimeout)
		return Position{}, ErrUnknownOutcome
	}
	end, err := s.scriptedStore.Append(ctx, topic, r, at)
	if s.is(answersLost) {
		sleep(ctx, storeCallTimeout)
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
		link := &linkedStore{scriptedStore: store}
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
			sleep(ctx, usageInterval)
		}
	})
	return group.Wait
}

func (c *candidates) exchange(sequence int64) {
	for _, from := range c.placers {
		m := message{sender: from.settings.Instance, startNanos: 1, sequence: sequence, term: from.leaseTerm.Load(), watchAge: notWatching}
		for _, to := range c.placers {
			if to != from {
				to.fleet.applyPeerMessage(time.Now(), m)
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
	for _, cut := range []linkState{requestsLost, answersLost} {
		for phase := time.Duration(0); phase < options.RenewInterval; phase += options.RenewInterval / 8 {
			synctest.Test(t, func(t *testing.T) {
				c := newCandidates(3, &testEngines{})
				ctx, cancel := context.WithCancel(t.Context())
				wait := c.run(ctx)
				first, _ := c.awaitHolder(-1)
				time.Sleep(5*time.Second + phase)
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
