package order

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// simulation executes the steps of a rollout against a model of the weight store.
type simulation struct {
	rollout Rollout
	fleet   []RolloutEngine
	store   StoreModel
	now     time.Time
	loads   int
}

func (s *simulation) find(id string) *RolloutEngine {
	i := slices.IndexFunc(s.fleet, func(h RolloutEngine) bool { return h.ID == id })
	return &s.fleet[i]
}

func (s *simulation) hasServingVersion() bool {
	return len(s.rollout.servingVersions(s.fleet)) > 0
}

// step starts the loads of the next step and returns the step.
func (s *simulation) step() RolloutStep {
	step := s.rollout.Next(s.fleet)
	for _, l := range step.Loads {
		h := s.find(l.Engine)
		h.Version, h.Loading = "", l.Version
		s.store.Start(s.now, l.Engine, l.Bytes)
		s.loads++
	}
	return step
}

// waitForNextLoad advances the time until the next load has completed.
func (s *simulation) waitForNextLoad() {
	_, at := s.store.NextCompletion()
	s.now = at
	for _, id := range s.store.Advance(s.now) {
		h := s.find(id)
		h.Version, h.Loading = h.Loading, ""
	}
}

// run executes up to steps steps until the rollout is done or blocked. It fails the
// test if a step takes the last complete chain away.
func (s *simulation) run(t rapid.TB, steps int) RolloutStep {
	for range steps {
		before := s.hasServingVersion()
		step := s.step()
		if before && !s.hasServingVersion() {
			t.Fatalf("no version has a complete chain after step %+v: %+v", step, s.fleet)
		}
		if step.Done || step.BlockedReason != "" {
			return step
		}
		s.waitForNextLoad()
	}
	return RolloutStep{}
}

func replicatedFleet(layers, width, copies int) []RolloutEngine {
	var fleet []RolloutEngine
	for first := 0; first < layers; first += width {
		for c := range copies {
			id := fmt.Sprintf("e%02d-%d", first, c)
			fleet = append(fleet, RolloutEngine{ID: id, Layers: LayerRange{first, min(layers, first+width)}, Version: "v1"})
		}
	}
	return fleet
}

// A rollout must load each engine once, always keep a version serving, and take as
// long as the weight store needs. The same holds for the rollback.
func TestRolloutAndRollback(t *testing.T) {
	s := &simulation{fleet: replicatedFleet(16, 4, 3), now: time.Unix(1e9, 0), store: StoreModel{BytesPerSecond: 1e9},
		rollout: Rollout{Layers: 16, BytesPerLayer: 1e9, Target: "v2", MaxConcurrentLoads: 2}}
	start := s.now
	first := s.rollout.Next(s.fleet)
	assert.DeepEqual(t, first.Serving, []ServingVersion{{"v1", 3}})
	assert.DeepEqual(t, first.Loads, []LoadOrder{
		{Engine: "e00-1", Version: "v2", Layers: LayerRange{0, 4}, Bytes: 4e9},
		{Engine: "e04-1", Version: "v2", Layers: LayerRange{4, 8}, Bytes: 4e9},
	})
	assert.Assert(t, s.run(t, 100).Done)
	assert.Equal(t, s.loads, 12)
	// 12 engines load 4 GB each at 1 GB/s.
	assert.Equal(t, s.now.Sub(start), 48*time.Second)
	s.rollout.Target = "v1"
	assert.Assert(t, s.run(t, 100).Done)
	assert.Equal(t, s.loads, 24)
	assert.DeepEqual(t, s.rollout.Next(s.fleet).Serving, []ServingVersion{{"v1", 3}})
}

// A rollout that would cause downtime must not start and must return the reason.
func TestRolloutBlocked(t *testing.T) {
	r := Rollout{Layers: 8, BytesPerLayer: 1, Target: "v2", MaxConcurrentLoads: 4}
	fleet := append(replicatedFleet(8, 4, 1), RolloutEngine{ID: "spare", Layers: LayerRange{0, 4}, Version: "v1"})
	step := r.Next(fleet)
	assert.Equal(t, len(step.Loads), 0)
	assert.Equal(t, step.BlockedReason, "layer 4 is held by 1 engine(s); a rollout without downtime needs 2")
	// While an engine of the only complete chain is down, the others must keep their version.
	down := replicatedFleet(8, 4, 1)
	down[0].Down = true
	step = r.Next(down)
	assert.Equal(t, len(step.Loads), 0)
	assert.Equal(t, step.BlockedReason, "engine e00-0 is unreachable")
}

// An initial load, also one whose target changes before it completes, has no old
// version to keep serving.
func TestRolloutOfEmptyEngines(t *testing.T) {
	s := &simulation{fleet: replicatedFleet(8, 4, 1), now: time.Unix(1e9, 0), store: StoreModel{BytesPerSecond: 1},
		rollout: Rollout{Layers: 8, BytesPerLayer: 1, Target: "v2", MaxConcurrentLoads: 4}}
	s.fleet[1].Version = ""
	assert.Assert(t, s.run(t, 10).Done)
}

// allChains enumerates the chains of the allowed engines, for the oracles.
func allChains(fleet []RolloutEngine, layers int, allowed func(RolloutEngine) bool) [][]int {
	var all [][]int
	var extend func(at int, chain []int)
	extend = func(at int, chain []int) {
		if at == layers {
			all = append(all, slices.Clone(chain))
		}
		for i, h := range fleet {
			if h.Layers.First == at && allowed(h) {
				extend(h.Layers.Limit, append(chain, i))
			}
		}
	}
	extend(0, nil)
	return all
}

func disjoint(a, b []int) bool {
	return !slices.ContainsFunc(a, func(i int) bool { return slices.Contains(b, i) })
}

// minChainCost is the oracle of cheapestDisjointChain: the lowest number of layers
// to load over all disjoint pairs of chains, or -1.
func minChainCost(fleet []RolloutEngine, layers int) int {
	best := -1
	old := func(h RolloutEngine) bool { return h.Version == "v1" && h.Loading == "" }
	for _, keep := range allChains(fleet, layers, old) {
		for _, chain := range allChains(fleet, layers, func(RolloutEngine) bool { return true }) {
			if !disjoint(keep, chain) {
				continue
			}
			if cost := chainCost(fleet, chain); best < 0 || cost < best {
				best = cost
			}
		}
	}
	return best
}

func chainCost(fleet []RolloutEngine, chain []int) int {
	cost := 0
	for _, i := range chain {
		if h := fleet[i]; h.Version == "v1" {
			cost += h.Layers.Limit - h.Layers.First
		}
	}
	return cost
}

func drawFleet(t *rapid.T, engines, layers int) []RolloutEngine {
	var fleet []RolloutEngine
	for i := range rapid.IntRange(1, engines).Draw(t, "engines") {
		first := rapid.IntRange(0, layers-1).Draw(t, "first")
		limit := rapid.IntRange(first+1, layers).Draw(t, "limit")
		h := RolloutEngine{ID: fmt.Sprint("e", i), Layers: LayerRange{first, limit}, Version: "v1"}
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			h.Version = "v2"
		case 1:
			h.Version, h.Loading = "", "v2"
		}
		fleet = append(fleet, h)
	}
	return fleet
}

// The search must find a disjoint pair of chains whenever one exists, and the cheapest one.
func TestCheapestDisjointChainAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 4
		fleet := drawFleet(t, 9, layers)
		want := minChainCost(fleet, layers)
		chain := cheapestDisjointChain(fleet, "v2", "v1", layers)
		if (chain != nil) != (want >= 0) {
			t.Fatalf("chain %v, oracle %d", chain, want)
		}
		if chain == nil {
			return
		}
		keep := allChains(fleet, layers, func(h RolloutEngine) bool { return h.Version == "v1" && h.Loading == "" })
		leavesOldChain := slices.ContainsFunc(keep, func(k []int) bool { return disjoint(k, chain) })
		if !leavesOldChain || chainCost(fleet, chain) != want {
			t.Fatalf("chain %v costs %d, oracle %d, disjoint from an old chain: %t", chain, chainCost(fleet, chain), want, leavesOldChain)
		}
	})
}

// maxDisjoint is the oracle of Chains: the size of the largest set of disjoint chains.
func maxDisjoint(chains [][]int) int {
	most := 0
	for i, chain := range chains {
		var rest [][]int
		for _, other := range chains[i+1:] {
			if disjoint(chain, other) {
				rest = append(rest, other)
			}
		}
		most = max(most, 1+maxDisjoint(rest))
	}
	return most
}

// The number of chains decides which engines may load, so it must be exact.
func TestChainsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 4
		fleet := drawFleet(t, 10, layers)
		all := allChains(fleet, layers, func(h RolloutEngine) bool { return h.serves("v1") })
		if got, want := DisjointChains(fleet, "v1", layers), maxDisjoint(all); got != want {
			t.Fatalf("%d chains, oracle %d", got, want)
		}
	})
}

// The first path that the search finds, 0-2-3-5, blocks both others, so a later
// augmenting path must undo a part of it.
func TestChainsRerouteFirstPath(t *testing.T) {
	var fleet []RolloutEngine
	for i, r := range []LayerRange{{0, 2}, {2, 3}, {3, 5}, {0, 1}, {1, 3}, {2, 4}, {4, 5}} {
		fleet = append(fleet, RolloutEngine{ID: fmt.Sprint("e", i), Layers: r, Version: "v1"})
	}
	assert.Equal(t, DisjointChains(fleet, "v1", 5), 2)
}

// No step may take the last complete chain away, whatever fails and whichever
// version is the target, and a rollout without failures must end unless it is blocked.
func TestRolloutKeepsAVersionServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := 2 * rapid.IntRange(1, 4).Draw(t, "layers")
		fleet := append(replicatedFleet(layers, rapid.IntRange(1, 3).Draw(t, "width"), rapid.IntRange(1, 3).Draw(t, "copies")), drawFleet(t, 6, layers)...)
		s := &simulation{fleet: fleet, now: time.Unix(1e9, 0), store: StoreModel{BytesPerSecond: 2},
			rollout: Rollout{Layers: layers, BytesPerLayer: 1, Target: "v2", MaxConcurrentLoads: rapid.IntRange(1, 4).Draw(t, "loads")}}
		for _, h := range fleet {
			if h.Loading != "" {
				s.store.Start(s.now, h.ID, int64(h.Layers.Limit-h.Layers.First))
			}
		}
		for range rapid.IntRange(0, 5).Draw(t, "disturbances") {
			s.run(t, rapid.IntRange(0, 4).Draw(t, "steps"))
			s.rollout.Target = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "target")
			h := &s.fleet[rapid.IntRange(0, len(s.fleet)-1).Draw(t, "engine")]
			h.Down = !h.Down
		}
		for i := range s.fleet {
			s.fleet[i].Down = false
		}
		step := s.run(t, 10*len(s.fleet))
		if !step.Done && step.BlockedReason == "" {
			t.Fatalf("the rollout does not finish: %+v", s.fleet)
		}
	})
}

// BenchmarkNext plans for one of 9 models on 3,100 engines while both versions serve.
func BenchmarkNext(b *testing.B) {
	fleet := replicatedFleet(80, 10, 43)
	for i := range fleet {
		if i%43 < 21 {
			fleet[i].Version = "v2"
		}
	}
	r := Rollout{Layers: 80, BytesPerLayer: 1, Target: "v2", MaxConcurrentLoads: 4}
	for b.Loop() {
		r.Next(fleet)
	}
}
