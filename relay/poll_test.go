package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
)

// unresponsiveEngines are engines some of which do not respond.
type unresponsiveEngines struct {
	testEngines
	unresponsive map[string]bool
}

func (e *unresponsiveEngines) Status(_ context.Context, address string) (EngineStatus, error) {
	if e.unresponsive[address] {
		return EngineStatus{}, errors.New("connection refused")
	}
	return EngineStatus{}, nil
}

// Guards against a terminated engine that is noticed only when its record
// expires, and against an entry that takes its own disconnection for the loss
// of all engines.
func TestPollTellsLostEnginesFromOwnDisconnection(t *testing.T) {
	for unresponsive, lost := range map[int]int{0: 0, 2: 2, 5: 0, 8: 0} {
		e := newStoreEntry(newScriptedStore())
		engines := &unresponsiveEngines{unresponsive: map[string]bool{}}
		e.engines = engines
		e.current.Store(newRevision(Configuration{Document: &config.Document{Models: []config.Model{{Name: "llm", Layers: 8}}}}))
		servers := map[string]Server{}
		for i := range 8 {
			id := fmt.Sprintf("s%d", i)
			servers[id] = Server{Instance: membership.Instance{ID: id, Service: "llm", Address: id}}
			engines.unresponsive[id] = i < unresponsive
		}
		e.fleet.setServers(time.Now(), servers)
		p := newPlacer(e)
		p.pollEngines(t.Context())
		found := 0
		for id := range servers {
			if e.fleet.conditions.IsLost(id) {
				found++
			}
		}
		assert.Equal(t, found, lost, "%d of 8 engines unresponsive", unresponsive)
	}
}

// Guards against engines in use whose slowdown is noticed late, and against idle ones
// that are never asked, when a fleet has more engines than are asked at a time.
func TestPollsGoByTurns(t *testing.T) {
	const engines, used, limit = 3000, 60, 160
	var ids []string
	for i := range engines {
		ids = append(ids, fmt.Sprintf("s%04d", i))
	}
	isWatched := func(id string) bool { return id < fmt.Sprintf("s%04d", used) }
	var turns pollTurns
	asked := map[string]int{}
	rounds := (engines - used + limit - used - 1) / (limit - used)
	for range rounds {
		polled := turns.next(slices.Clone(ids), isWatched, limit)
		assert.Equal(t, len(polled), limit)
		for _, id := range polled {
			asked[id]++
		}
	}
	for _, id := range ids {
		if isWatched(id) {
			assert.Equal(t, asked[id], rounds, id)
		} else {
			assert.Assert(t, asked[id] >= 1, id)
		}
	}
	assert.Equal(t, len(turns.next(ids[:limit], isWatched, limit)), limit)
}

// Guards against an engine that was slow for a moment and stays unused for a minute,
// because the idle engines of a large fleet are asked seldom.
func TestSlowEngineIsWatched(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	assert.Assert(t, !f.isWatched(time.Now(), "s"))
	f.setSlowdown("s", 3)
	assert.Assert(t, f.isWatched(time.Now(), "s"))
	f.setSlowdown("s", 1)
	assert.Assert(t, !f.isWatched(time.Now(), "s"))
}
