package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

// unevenServers are engines in two stages, of which the first leaving ones of the second
// stage have the fastest accelerator.
func unevenServers(perStage, leaving int) map[string]Server {
	servers := map[string]Server{}
	for i := range 2 * perStage {
		s := testServer(fmt.Sprintf("s%03d", i), 4*(i%2), 4*(i%2)+4)
		s.Service, s.Accelerator = "llm", "slow"
		if i%2 == 1 && i/2 < leaving {
			s.Accelerator = "gpu"
		}
		servers[s.ID] = s
	}
	return servers
}

// Guards against a retry budget that is used up while the store is away: the fastest
// engines leave, nobody is told, and 41 entries try them again and again. The bound is
// what all entries may retry in that time on a deployment with a ratio of 0.2 and 372
// extra retries in 10 s.
func TestLeavingEnginesAreFoundWithinTheRetryBudget(t *testing.T) {
	const (
		entries, perSecond, leaving = 41, 3.5, 5
		step                        = minMessageInterval
		span                        = 8 * time.Second
	)
	e := newTestEntry(t, streamRoute(true))
	rev := e.current.Load()
	slow := *rev.accelerators["gpu"]
	slow.Kind, slow.StepFactor = "slow", 5
	rev.accelerators["slow"] = &slow
	now := time.Now()
	servers := unevenServers(20, leaving)
	fleets, sequence := make([]*fleet, entries), int64(0)
	for i := range fleets {
		fleets[i] = newFleet(rand.New(rand.NewPCG(uint64(i), 2)))
		fleets[i].startedAt = now.Add(-settleTime)
		fleets[i].setServers(now, servers)
	}
	random := rand.New(rand.NewPCG(3, 4))
	refusals, requests := 0, 0
	for elapsed := time.Duration(0); elapsed < span; elapsed += step {
		now = now.Add(step)
		for i, f := range fleets {
			if random.Float64() < perSecond*step.Seconds() {
				requests++
				refusals += f.serveTestStream(t, now, rev)
			}
			sequence++
			m := message{sender: fmt.Sprint(i), sequence: sequence, servers: f.localUsage(now)}
			for j, other := range fleets {
				if j != i {
					other.applyPeerMessage(now, m)
				}
			}
		}
	}
	budget := budgetShare * (0.2*float64(requests) + 372*span.Seconds()/10)
	assert.Assert(t, float64(refusals) <= budget, "%d refusals of %d requests, the budget is %.0f", refusals, requests, budget)
}

// serveTestStream tries paths until one avoids the fast engines, which leave, and
// returns the number of refusals.
func (f *fleet) serveTestStream(t *testing.T, now time.Time, rev *revision) (refusals int) {
	r := pipeline.RelayRequest{PromptTokens: 100, AnswerTokens: 10, Exclude: map[string]bool{}}
	for {
		hops, reserved, err := f.choosePath(now, rev, "llm", "t", r)
		assert.NilError(t, err)
		reserved.release()
		last := hops[len(hops)-1].Engine
		if f.servers[last].Accelerator != "gpu" {
			f.acceptStages(hops, now)
			return refusals
		}
		refusals++
		r.Exclude[last] = true
		f.refuseStage(now, last, 1e6)
	}
}

// A full engine is avoided for a moment only, one that runs a stage again is trusted at
// once, and what it had accepted before tells nothing.
func TestRefusalsOfFullEnginesAreForgotten(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	now := time.Now()
	server := testServer("a", 0, 8)
	server.Slots = 100
	f.setServers(now, map[string]Server{"a": server})
	assert.Assert(t, !f.refuseStage(f.startedAt.Add(settleTime-1), "a", 1000), "right after the start")
	now = f.startedAt.Add(settleTime)
	held := f.reserve(map[string]usage{"a": {requests: 90, layerTokens: 90, usedSlots: 90}})
	assert.Assert(t, !f.refuseStage(now, "a", 1000), "no slot is free")
	held.release()
	f.reserve(map[string]usage{"a": {requests: 1, layerTokens: 90}})
	assert.Assert(t, !f.refuseStage(now, "a", 100), "no memory is free")
	slowdown := func() float64 { return f.localUsage(now)[serverHash("a")].slowdown }
	assert.Equal(t, slowdown(), 0.0)
	assert.Assert(t, f.refuseStage(now, "a", 1000))
	assert.Assert(t, !f.refuseStage(now, "a", 1000), "told already")
	hops := []pipeline.Hop{{Engine: "a"}}
	f.acceptStages(hops, now.Add(-1))
	assert.Equal(t, slowdown(), float64(refusedSlowdown))
	f.acceptStages(hops, now.Add(1))
	assert.Equal(t, slowdown(), 0.0)
	assert.Assert(t, f.refuseStage(now, "a", 1000))
	server.Layers.Limit = 4
	f.setServers(now, map[string]Server{"a": server})
	assert.Equal(t, slowdown(), 0.0)
}

// Guards against an engine that is shut out for seconds although it is the only one that
// holds some layers: others are preferred to it, but it stays usable.
func TestOnlyHolderOfLayersStaysUsable(t *testing.T) {
	e := newTestEntry(t, streamRoute(true))
	f, rev := e.fleet, e.current.Load()
	f.startedAt = time.Now().Add(-settleTime)
	now := time.Now()
	only := testServer("only", 0, 8)
	only.Service, only.Accelerator = "llm", "gpu"
	f.setServers(now, map[string]Server{"only": only})
	r := pipeline.RelayRequest{PromptTokens: 1, AnswerTokens: 1}
	for range 5 {
		f.refuseStage(now, "only", 1e6)
		now = now.Add(condition.AvoidDuration)
		_, reserved, err := f.choosePath(now, rev, "llm", "t", r)
		assert.NilError(t, err)
		reserved.release()
	}
	other := only
	other.ID = "other"
	f.setServers(now, map[string]Server{"only": only, "other": other})
	hops, _, err := f.choosePath(now, rev, "llm", "t", r)
	assert.NilError(t, err)
	assert.Equal(t, hops[0].Engine, "other")
}
