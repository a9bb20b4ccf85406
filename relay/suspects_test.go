package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
			f.acceptStages(hops)
			return refusals
		}
		refusals++
		r.Exclude[last] = true
		f.refuseStage(now, last, 1e6)
	}
}

// A full engine is avoided for a moment only, and one that runs a stage again is trusted
// at once.
func TestRefusalsOfFullEnginesAreForgotten(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	f.startedAt = time.Now().Add(-settleTime)
	now := time.Now()
	f.setServers(now, map[string]Server{"a": testServer("a", 0, 8)})
	f.reserve(map[string]usage{"a": {requests: 1, layerTokens: 90}})
	refuse := func(capacity float64) time.Duration {
		avoided, used := f.refuseStage(now, "a", capacity)
		assert.Equal(t, used, 90.0)
		return avoided
	}
	assert.Equal(t, refuse(100), time.Duration(0))
	first := refuse(1000)
	assert.Assert(t, first > 0)
	assert.Equal(t, refuse(1000), first)
	now = now.Add(first)
	assert.Equal(t, refuse(1000), 2*first)
	assert.DeepEqual(t, f.localUsage(now)[serverHash("a")].slowdown, float64(refusedSlowdown))
	f.acceptStages([]pipeline.Hop{{Engine: "a"}})
	assert.Equal(t, f.localUsage(now)[serverHash("a")].slowdown, 0.0)
}

// deafEngines respond to no status query.
type deafEngines struct{ testEngines }

func (*deafEngines) Status(context.Context, string) (EngineStatus, error) {
	return EngineStatus{}, ErrNoResponse
}

// Guards against streams that stand still at an engine which another entry has found
// dead: the engine before it notices that only a moment later.
func TestSilentFirstEngineIsAnnounced(t *testing.T) {
	e := newTestEntry(t, streamRoute(true))
	e.fleet.setServers(time.Now(), map[string]Server{"a": testServer("a", 0, 8)})
	e.stallChecker.engines = &deafEngines{}
	a := &attempt{streamRequest: &streamRequest{request: &request{Entry: e.Entry, avoid: map[string]bool{}}}, hops: []pipeline.Hop{{Engine: "a", Address: "a:1"}}}
	assert.ErrorIs(t, a.markStalledEngines(t.Context()), errPathLost)
	assert.DeepEqual(t, e.fleet.suspectHashes(time.Now()), []uint64{serverHash("a")})
}
