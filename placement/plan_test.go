package placement

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"

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

// randomFleet has three kinds of engines in a number of zones on links whose
// speeds differ a hundredfold.
func randomFleet(seed uint64, engines, zones int) Fleet {
	r := rand.New(rand.NewPCG(seed, 1))
	var f Fleet
	for i := range engines {
		kind := r.IntN(3)
		f.Engines = append(f.Engines, Engine{
			Name: fmt.Sprintf("e%04d", i), Zone: fmt.Sprintf("z%d", r.IntN(zones)),
			MemoryBytes: int64(6+6*kind) << 30, LayerTokensPerSecond: float64(20000 + 25000*kind),
		})
	}
	for i := range zones {
		for j := range zones {
			if i != j {
				speed := 1e7 * math.Pow(100, r.Float64())
				f.Links = append(f.Links, Link{From: fmt.Sprintf("z%d", i), To: fmt.Sprintf("z%d", j), BytesPerSecond: speed})
			}
		}
	}
	return f
}

func drawFleet(t *rapid.T) Fleet {
	return randomFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 40).Draw(t, "engines"), rapid.IntRange(1, 4).Draw(t, "zones"))
}

// TestPlanTilesWithinBound guards against plans that leave layers uncovered,
// overfill an engine's memory, or claim more flow than the hardware has.
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
	bound := Bound(f, testModel, testOptions)
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

// TestPlanFlow guards against a fall of the planned flow below the target on fixed fleets.
func TestPlanFlow(t *testing.T) {
	for seed := range uint64(10) {
		f := randomFleet(seed, 40, 3)
		plan, err := MakePlan(f, testModel, testOptions)
		assert.NilError(t, err)
		bound := Bound(f, testModel, testOptions)
		t.Logf("seed %d: %.3f of the bound, groups %v", seed, plan.Flow/bound, plan.Groups)
		assert.Assert(t, plan.Flow >= 0.9*bound, "seed %d: %.3f of the bound", seed, plan.Flow/bound)
	}
}

// TestCannotHold guards against a plan for engines whose memory is too small.
func TestCannotHold(t *testing.T) {
	_, err := MakePlan(randomFleet(1, 1, 1), testModel, Options{})
	assert.ErrorIs(t, err, ErrCannotHold)
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
