package order

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// simulation carries out the steps of a rollout with a weight store.
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

func (s *simulation) whole() bool {
	return len(s.rollout.serving(s.fleet)) > 0
}

// step begins the loads of one step and returns it.
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

// wait passes time until the next load has ended.
func (s *simulation) wait() {
	_, at := s.store.NextCompletion()
	s.now = at
	for _, id := range s.store.Advance(s.now) {
		h := s.find(id)
		h.Version, h.Loading = h.Loading, ""
	}
}

// run goes on until the rollout is done or blocked and fails when no version is
// whole although one was before.
func (s *simulation) run(t rapid.TB, steps int) RolloutStep {
	for range steps {
		before := s.whole()
		step := s.step()
		if before && !s.whole() {
			t.Fatalf("step %+v leaves no version whole: %+v", step, s.fleet)
		}
		if step.Done || step.BlockedReason != "" {
			return step
		}
		s.wait()
	}
	return RolloutStep{}
}

func replicas(layers, width, copies int) []RolloutEngine {
	var fleet []RolloutEngine
	for first := 0; first < layers; first += width {
		for c := range copies {
			id := fmt.Sprintf("e%02d-%d", first, c)
			fleet = append(fleet, RolloutEngine{ID: id, Layers: LayerRange{first, min(layers, first+width)}, Version: "v1"})
		}
	}
	return fleet
}

// A rollout must load each engine once, keep a version whole all the time, and
// take as long as the weight store needs; the way back must do the same.
func TestRolloutThereAndBack(t *testing.T) {
	s := &simulation{fleet: replicas(16, 4, 3), now: time.Unix(1e9, 0), store: StoreModel{BytesPerSecond: 1e9},
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

// A rollout that would take the service down must not start and must say why.
func TestRolloutBlocked(t *testing.T) {
	r := Rollout{Layers: 8, BytesPerLayer: 1, Target: "v2", MaxConcurrentLoads: 4}
	fleet := append(replicas(8, 4, 1), RolloutEngine{ID: "spare", Layers: LayerRange{0, 4}, Version: "v1"})
	step := r.Next(fleet)
	assert.Equal(t, len(step.Loads), 0)
	assert.Equal(t, step.BlockedReason, "layer 4 is held by 1 engine(s); a rollout that keeps the old version whole needs 2")
	// While an engine of the only whole version is down, the others must keep their version.
	down := replicas(8, 4, 1)
	down[0].Down = true
	step = r.Next(down)
	assert.Equal(t, len(step.Loads), 0)
	assert.Equal(t, step.BlockedReason, "engine e00-0 does not answer")
}

// A first load, also one whose target changes half-way, has no old version to keep.
func TestRolloutOfEmptyEngines(t *testing.T) {
	s := &simulation{fleet: replicas(8, 4, 1), now: time.Unix(1e9, 0), store: StoreModel{BytesPerSecond: 1},
		rollout: Rollout{Layers: 8, BytesPerLayer: 1, Target: "v2", MaxConcurrentLoads: 4}}
	s.fleet[1].Version = ""
	assert.Assert(t, s.run(t, 10).Done)
}

// chainsOf lists all chains of the engines that are allowed, for comparison.
func chainsOf(fleet []RolloutEngine, layers int, allowed func(RolloutEngine) bool) [][]int {
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

// bestPair is the oracle of chainBeside: the lowest number of layers to load over all pairs of chains, or -1.
func bestPair(fleet []RolloutEngine, layers int) int {
	best := -1
	old := func(h RolloutEngine) bool { return h.Version == "v1" && h.Loading == "" }
	for _, keep := range chainsOf(fleet, layers, old) {
		for _, chain := range chainsOf(fleet, layers, func(RolloutEngine) bool { return true }) {
			if !disjoint(keep, chain) {
				continue
			}
			if cost := costOf(fleet, chain); best < 0 || cost < best {
				best = cost
			}
		}
	}
	return best
}

func costOf(fleet []RolloutEngine, chain []int) int {
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

// The search for two separate chains must find the cheapest pair whenever there is one.
func TestChainBesideAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 4
		fleet := drawFleet(t, 9, layers)
		want := bestPair(fleet, layers)
		chain := chainBeside(fleet, "v2", "v1", layers)
		if (chain != nil) != (want >= 0) {
			t.Fatalf("chain %v, oracle %d", chain, want)
		}
		if chain == nil {
			return
		}
		keep := chainsOf(fleet, layers, func(h RolloutEngine) bool { return h.Version == "v1" && h.Loading == "" })
		apart := slices.ContainsFunc(keep, func(k []int) bool { return disjoint(k, chain) })
		if !apart || costOf(fleet, chain) != want {
			t.Fatalf("chain %v costs %d, oracle %d, apart %t", chain, costOf(fleet, chain), want, apart)
		}
	})
}

// mostDisjoint is the oracle of Chains.
func mostDisjoint(chains [][]int) int {
	most := 0
	for i, chain := range chains {
		var rest [][]int
		for _, other := range chains[i+1:] {
			if disjoint(chain, other) {
				rest = append(rest, other)
			}
		}
		most = max(most, 1+mostDisjoint(rest))
	}
	return most
}

// The number of chains decides what may be loaded, so it must be exact.
func TestChainsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 4
		fleet := drawFleet(t, 10, layers)
		all := chainsOf(fleet, layers, func(h RolloutEngine) bool { return h.serves("v1") })
		if got, want := DisjointChains(fleet, "v1", layers), mostDisjoint(all); got != want {
			t.Fatalf("%d chains, oracle %d", got, want)
		}
	})
}

// The first chain that the search finds, 0-2-3-5, blocks both others, so it must be taken apart again.
func TestChainsTakeAChainApart(t *testing.T) {
	var fleet []RolloutEngine
	for i, r := range []LayerRange{{0, 2}, {2, 3}, {3, 5}, {0, 1}, {1, 3}, {2, 4}, {4, 5}} {
		fleet = append(fleet, RolloutEngine{ID: fmt.Sprint("e", i), Layers: r, Version: "v1"})
	}
	assert.Equal(t, DisjointChains(fleet, "v1", 5), 2)
}

// Whatever fails and whichever way the rollout goes, no step may take the last
// whole version away, and an undisturbed rollout that is not blocked must end.
func TestRolloutKeepsAVersionWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := 2 * rapid.IntRange(1, 4).Draw(t, "layers")
		fleet := append(replicas(layers, rapid.IntRange(1, 3).Draw(t, "width"), rapid.IntRange(1, 3).Draw(t, "copies")), drawFleet(t, 6, layers)...)
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
			t.Fatalf("the rollout does not end: %+v", s.fleet)
		}
	})
}

// BenchmarkNext plans for one of 9 models on 3,100 engines while both versions serve.
func BenchmarkNext(b *testing.B) {
	fleet := replicas(80, 10, 43)
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
