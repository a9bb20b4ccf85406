package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/lease"
	"github.com/sapphirefield/sapphirefield/placement"
)

// loadingEngines are engines that start empty, load the layers that they are ordered to
// hold, and write a record after each heartbeat.
type loadingEngines struct {
	EngineClient
	mu       sync.Mutex
	byAddr   map[string]*loadingEngine
	loadTime time.Duration
}

type loadingEngine struct {
	record Server
	// ordered is the range of the last order, which is loaded at loadedAt.
	ordered       placement.Range
	loadedAt      time.Time
	orders, loads int64
}

// callTime is how long a call to an engine takes.
const callTime = 4 * time.Millisecond

// state returns the layers that an engine holds, and whether it is loading. The caller
// holds the lock.
func (e *loadingEngine) state(now time.Time) (placement.Range, bool) {
	if e.orders > 0 && !now.Before(e.loadedAt) {
		return e.ordered, false
	}
	return placement.Range{}, e.orders > 0
}

func (e *loadingEngines) Status(_ context.Context, address string) (EngineStatus, error) {
	time.Sleep(callTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	engine := e.byAddr[address]
	layers, busy := engine.state(time.Now())
	return EngineStatus{StartTimeMillis: 1, Layers: layers, Busy: busy, OrdersStarted: engine.orders}, nil
}

func (e *loadingEngines) AssignLayers(_ context.Context, s Server, r placement.Range, expected int64) (OrderOutcome, error) {
	time.Sleep(callTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	engine := e.byAddr[s.Address]
	if engine.orders != expected {
		return OrderConflict, nil
	}
	engine.orders++
	engine.loads++
	engine.ordered, engine.loadedAt = r, time.Now().Add(e.loadTime)
	return OrderStarted, nil
}

// arrivingFleet is a fleet whose engines' records reach the placing entry over a time.
type arrivingFleet struct {
	t         *testing.T
	rev       *revision
	engines   *loadingEngines
	startedAt time.Time
	// arrives is when each engine's first record arrives, and heartbeatAt when its
	// next one is due.
	arrives, heartbeatAt map[string]time.Time
	known                map[string]Server
}

func newArrivingFleet(t *testing.T, n int, over time.Duration, seed uint64) *arrivingFleet {
	rev, servers := largeFleet(t, n)
	f := &arrivingFleet{
		t: t, rev: rev, startedAt: time.Now(), arrives: map[string]time.Time{}, heartbeatAt: map[string]time.Time{}, known: map[string]Server{},
		engines: &loadingEngines{byAddr: map[string]*loadingEngine{}, loadTime: 2 * time.Second},
	}
	random := rand.New(rand.NewPCG(seed, 1))
	for id, s := range servers {
		s.Layers = placement.Range{}
		f.engines.byAddr[s.Address] = &loadingEngine{record: s}
		f.arrives[id] = f.startedAt.Add(time.Duration(random.Int64N(int64(over))))
		if random.IntN(20) == 0 {
			f.arrives[id] = f.arrives[id].Add(3 * time.Second) // late
		}
	}
	return f
}

// readRecords makes the records known that have arrived by now. Those of an engine that
// has loaded layers follow with its heartbeat.
func (f *arrivingFleet) readRecords(now time.Time, e *Entry) {
	f.engines.mu.Lock()
	for _, engine := range f.engines.byAddr {
		id := engine.record.ID
		if now.Before(f.arrives[id]) || now.Before(f.heartbeatAt[id]) {
			continue
		}
		f.heartbeatAt[id] = now.Add(1200 * time.Millisecond)
		engine.record.HeartbeatCount++
		engine.record.Layers, engine.record.Loading = engine.state(now)
		f.known[id] = engine.record
	}
	f.engines.mu.Unlock()
	servers := make(map[string]Server, len(f.known))
	for id, s := range f.known {
		servers[id] = s
	}
	e.fleet.setServers(now, servers)
}

// newHolder returns a placer that holds the lease and knows of no orders.
func (f *arrivingFleet) newHolder() *placer {
	e := newStoreEntry(newScriptedStore())
	e.settings.Heartbeat = 1200 * time.Millisecond
	e.engines = f.engines
	e.current.Store(f.rev)
	p := newPlacer(e)
	started := time.Now()
	p.now = func() time.Time { return started }
	p.lease.ObserveEra(started, e.store.Era())
	p.lease.AppendSucceeded(started, lease.Claim{Holder: "e", Term: 1, Era: e.store.Era()}, 1)
	return p
}

// loaded returns how many engines hold layers, and the layers that none holds.
func (f *arrivingFleet) loaded(now time.Time) (holding int, missing []placement.Range) {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	var engines []placement.RelayEngine
	for _, e := range f.engines.byAddr {
		if layers, loading := e.state(now); !loading && layers != (placement.Range{}) {
			engines = append(engines, placement.RelayEngine{Layers: layers})
		}
	}
	return len(engines), placement.Uncovered(engines, f.rev.models["m"].Layers)
}

// Guards against layers that are loaded again because the view of a large fleet is never
// complete at one moment: records arrive over many seconds and after the engines' state
// has changed, and a new holder of the lease does not know which orders are in progress.
func TestLayersOfArrivingFleetAreLoadedOnce(t *testing.T) {
	for _, c := range []struct {
		engines  int
		over     time.Duration
		takeover time.Duration
	}{
		{301, 4 * time.Second, 0}, {3000, 5 * time.Second, 0}, {3000, 10 * time.Second, 0}, {3000, 15 * time.Second, 0},
		{3000, 15 * time.Second, 7 * time.Second},
	} {
		name := fmt.Sprintf("%d engines over %s, takeover after %s", c.engines, c.over, c.takeover)
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playArrival(t, c.engines, c.over, c.takeover) })
		})
	}
}

func playArrival(t *testing.T, engines int, over, takeover time.Duration) {
	f := newArrivingFleet(t, engines, over, 7)
	p := f.newHolder()
	served := false
	for elapsed := time.Duration(0); elapsed < over+12*time.Second; elapsed = time.Since(f.startedAt) {
		if takeover > 0 && elapsed >= takeover {
			p, takeover = f.newHolder(), 0
		}
		f.readRecords(time.Now(), p.Entry)
		p.placeModels(t.Context())
		holding, missing := f.loaded(time.Now())
		// The first plan serves while it is being completed: chains follow each other,
		// and none has more engines than there are layers.
		if holding >= f.rev.models["m"].Layers+concurrentOrders && !served {
			assert.Equal(t, len(missing), 0, "no engine holds layers %v after %s", missing, elapsed)
		}
		served = served || holding > 0 && len(missing) == 0
		time.Sleep(placeInterval)
	}
	holding, missing := f.loaded(time.Now())
	assert.Equal(t, len(missing), 0)
	assert.Equal(t, holding, engines)
	for _, e := range f.engines.byAddr {
		assert.Assert(t, e.loads <= 1, "%s has loaded layers %d times", e.record.ID, e.loads)
	}
}

// Guards against hundreds of engines that return under load and all load at once: each
// load takes as many times longer as there are more of them than the weights' store
// serves at full speed, so none of them would serve for minutes.
func TestReturningEnginesLoadInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newArrivingFleet(t, 3000, time.Second, 7)
		p := f.newHolder()
		f.play(p, 10*time.Second)
		inUse := message{sender: "other", startNanos: 1, servers: map[uint64]usage{}, watchAge: notWatching}
		for id := range f.known {
			inUse.servers[serverHash(id)] = usage{requests: 1}
		}
		f.engines.mu.Lock()
		returned := 0
		for _, e := range f.engines.byAddr {
			if returned++; returned > 300 {
				break
			}
			e.record.StartTimeMillis++
			e.orders, e.ordered = 0, placement.Range{}
		}
		f.engines.mu.Unlock()
		const limit = 2 * 9 // twice the loads that the weights' store serves at full speed
		for range 40 {
			inUse.sequence++
			p.fleet.applyPeerMessage(time.Now(), inUse)
			f.play(p, placeInterval)
			assert.Assert(t, f.loading(time.Now()) <= limit, "%d engines are loading", f.loading(time.Now()))
		}
		loadedAgain := 0
		for _, e := range f.engines.byAddr {
			loadedAgain += max(int(e.loads)-1, 0)
		}
		// A holder that takes over does not order as many again.
		p = f.newHolder()
		p.fleet.applyPeerMessage(time.Now(), inUse)
		f.play(p, placeInterval)
		assert.Assert(t, f.loading(time.Now()) <= limit, "%d engines are loading", f.loading(time.Now()))
		// Ten seconds are enough for two loads and the records that tell of them.
		assert.Assert(t, loadedAgain >= 2*limit, "%d engines have loaded layers again", loadedAgain)
	})
}

// loading returns how many engines are loading layers.
func (f *arrivingFleet) loading(now time.Time) (n int) {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	for _, e := range f.engines.byAddr {
		if _, loading := e.state(now); loading {
			n++
		}
	}
	return n
}

// play reads the records and places layers for a time.
func (f *arrivingFleet) play(p *placer, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(placeInterval) {
		f.readRecords(time.Now(), p.Entry)
		p.placeModels(f.t.Context())
	}
}

// Guards against a layer that is down to one copy for minutes, because one order or
// another is open as long as engines wait for their turn to load.
func TestMovesGoOnWhileEnginesLoadInTurn(t *testing.T) {
	p := &placer{pendingOrders: map[string]pendingOrder{}}
	assert.Assert(t, p.movesAllowed("m", false))
	p.pendingOrders["loading"] = pendingOrder{model: "m"}
	assert.Assert(t, !p.movesAllowed("m", false), "the load may make the move needless")
	assert.Assert(t, p.movesAllowed("m", true))
	assert.Assert(t, p.movesAllowed("other", false))
	p.pendingOrders["moving"] = pendingOrder{model: "m", isMove: true}
	assert.Assert(t, !p.movesAllowed("m", true), "one move is completed before the next")
}
