package placement

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	"gonum.org/v1/gonum/graph/network"
	"gonum.org/v1/gonum/graph/simple"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "25")
	os.Exit(m.Run())
}

var testModel = Model{Layers: 24, BytesPerLayer: 1 << 30, ActivationBytes: 16 << 10, KVBytesPerTokenLayer: 4096}

var testOptions = Options{StreamTokens: 500}

// randomFleet returns three kinds of engines in a number of zones, with links whose
// rates differ by a factor of up to 100.
func randomFleet(seed uint64, engines, zones int) Fleet {
	random := rand.New(rand.NewPCG(seed, 1))
	var f Fleet
	for i := range engines {
		kind := random.IntN(3)
		f.Engines = append(f.Engines, Engine{
			Name: fmt.Sprintf("e%04d", i), Zone: fmt.Sprintf("z%d", random.IntN(zones)),
			MemoryBytes: int64(6+6*kind) << 30, LayerTokensPerSecond: float64(20000 + 25000*kind),
		})
	}
	for i := range zones {
		for j := range zones {
			if i != j {
				speed := 1e7 * math.Pow(100, random.Float64())
				f.Links = append(f.Links, Link{From: fmt.Sprintf("z%d", i), To: fmt.Sprintf("z%d", j), BytesPerSecond: speed})
			}
		}
	}
	return f
}

func drawFleet(t *rapid.T) Fleet {
	return randomFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 40).Draw(t, "engines"), rapid.IntRange(1, 4).Draw(t, "zones"))
}

// TestPlanTilesWithinBound guards against plans that leave layers uncovered, exceed an
// engine's memory, or claim more flow than the hardware allows.
func TestPlanTilesWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		plan, err := MakePlan(f, testModel, testOptions)
		if err != nil {
			return
		}
		checkPlan(t, f, plan)
	})
}

func checkPlan(t assert.TestingT, f Fleet, plan Plan) {
	assert.NilError(t, plan.CheckTiling(testModel.Layers))
	bound := FlowUpperBound(f, testModel, testOptions)
	assert.Assert(t, plan.Flow > 0 && plan.Flow <= bound*(1+1e-6), "flow %g, bound %g", plan.Flow, bound)
	engines := map[string]Engine{}
	for _, e := range f.Engines {
		engines[e.Name] = e
	}
	for _, a := range plan.Assignments {
		e, known := engines[a.Engine]
		assert.Assert(t, known && a.Limit-a.First <= maxLayers(e, testModel), "engine %s", a.Engine)
		assert.Assert(t, a.Weight <= a.Capacity*(1+1e-6), "engine %s", a.Engine)
	}
}

// TestPlanFlow guards against plans whose flow is far below the bound, on fixed fleets.
func TestPlanFlow(t *testing.T) {
	for seed := range uint64(10) {
		f := randomFleet(seed, 40, 3)
		plan, err := MakePlan(f, testModel, testOptions)
		assert.NilError(t, err)
		bound := FlowUpperBound(f, testModel, testOptions)
		t.Logf("seed %d: %.3f of the bound, groups %v", seed, plan.Flow/bound, plan.Groups)
		assert.Assert(t, plan.Flow >= 0.9*bound, "seed %d: %.3f of the bound", seed, plan.Flow/bound)
	}
}

// TestInsufficientMemory guards against a plan for engines whose memory is too small.
func TestInsufficientMemory(t *testing.T) {
	_, err := MakePlan(randomFleet(1, 1, 1), testModel, Options{})
	assert.ErrorIs(t, err, ErrInsufficientMemory)
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{40, 400, 3100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := randomFleet(1, size, max(3, size*14/3100))
			b.ReportAllocs()
			for b.Loop() {
				_, err := MakePlan(f, testModel, testOptions)
				assert.NilError(b, err)
			}
		})
	}
}

// TestBoundHolds guards against a bound below what some plan reaches. It tries every
// assignment of ranges to a few engines in one zone.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Model{Layers: rapid.IntRange(1, 4).Draw(t, "layers"), BytesPerLayer: 10, KVBytesPerTokenLayer: 1}
		opts := Options{StreamTokens: 0.1, StreamTokensPerSecond: 10}
		var f Fleet
		for i := range rapid.IntRange(1, 3).Draw(t, "engines") {
			f.Engines = append(f.Engines, Engine{
				Name: fmt.Sprint("e", i), Zone: "z", MemoryBytes: int64(rapid.IntRange(5, 50).Draw(t, "memory")),
				LayerTokensPerSecond: float64(rapid.IntRange(1, 1000).Draw(t, "rate")),
			})
		}
		best := bestFlow(f, m, opts, make([]Range, len(f.Engines)), 0)
		bound := FlowUpperBound(f, m, opts)
		assert.Assert(t, best <= bound*(1+1e-9), "an assignment reaches %g, bound %g", best, bound)
		plan, err := MakePlan(f, m, opts)
		if best <= 0 {
			assert.ErrorIs(t, err, ErrInsufficientMemory)
			return
		}
		assert.NilError(t, err)
		assert.Assert(t, plan.Flow > 0 && plan.Flow <= best*(1+1e-6), "plan %g, best %g", plan.Flow, best)
	})
}

// bestFlow returns the highest flow over all ranges of the engines from index i on.
func bestFlow(f Fleet, m Model, opts Options, ranges []Range, i int) float64 {
	if i == len(ranges) {
		return layerFlow(f, m, opts, ranges)
	}
	best := 0.0
	for first := range m.Layers {
		for limit := first + 1; limit <= m.Layers; limit++ {
			ranges[i] = Range{First: first, Limit: limit}
			best = max(best, bestFlow(f, m, opts, ranges, i+1))
		}
	}
	return best
}

// layerFlow returns the maximum flow from the first layer to the last through the engines.
func layerFlow(f Fleet, m Model, opts Options, ranges []Range) float64 {
	g := simple.NewWeightedDirectedGraph(0, 0)
	for layer := range m.Layers + 1 {
		g.AddNode(simple.Node(layer))
	}
	for i, r := range ranges {
		rate := Capacity(f.Engines[i], m, opts, r.layers())
		if existing, exists := g.Weight(int64(r.First), int64(r.Limit)); exists {
			rate += existing
		}
		if rate > 0 {
			g.SetWeightedEdge(simple.WeightedEdge{F: simple.Node(r.First), T: simple.Node(r.Limit), W: rate})
		}
	}
	return network.MaxFlowDinic(g, simple.Node(0), simple.Node(m.Layers), 1e-9)
}
