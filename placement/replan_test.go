package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestReplanKeepsLayersCovered guards against moves to a new plan that leave a layer
// without an engine at any time, when engines are added and removed.
func TestReplanKeepsLayersCovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		plan, err := MakePlan(f, testModel, testOptions)
		if err != nil {
			return
		}
		for round := range 3 {
			f = drawFleetChange(t, f, round)
			next, moves, err := Replan(plan, f, testModel, testOptions)
			if err != nil {
				return
			}
			replayMoves(t, plan, f, next, moves)
			plan = next
		}
	})
}

// drawFleetChange removes some engines from the fleet and adds others.
func drawFleetChange(t *rapid.T, f Fleet, round int) Fleet {
	lose := rapid.IntRange(0, 4).Draw(t, "lose")
	var engines []Engine
	for i, e := range f.Engines {
		if (i*7+round)%13 >= lose {
			engines = append(engines, e)
		}
	}
	added := randomFleet(rapid.Uint64().Draw(t, "fresh"), rapid.IntRange(0, 5).Draw(t, "join"), 4)
	for i, e := range added.Engines {
		e.Name = fmt.Sprintf("n%d-%d", round, i)
		engines = append(engines, e)
	}
	return Fleet{Engines: engines, Links: f.Links}
}

// replayMoves applies the moves to the old plan, checks that the layers stay covered,
// and compares the result with the new plan.
func replayMoves(t *rapid.T, old Plan, f Fleet, next Plan, moves []Move) {
	checkPlan(t, f, next)
	remaining := map[string]bool{}
	for _, e := range f.Engines {
		remaining[e.Name] = true
	}
	serving := map[string]Range{}
	for _, a := range old.Assignments {
		if remaining[a.Engine] {
			serving[a.Engine] = Range{First: a.First, Limit: a.Limit}
		}
	}
	final := map[string]Range{}
	for _, a := range next.Assignments {
		final[a.Engine] = Range{First: a.First, Limit: a.Limit}
	}
	covered := tiled(serving)
	check := func(phase string, m Move) {
		assert.Assert(t, tiled(serving) || !covered, "%s of %+v uncovers layers", phase, m)
		atFinal := map[string]Range{}
		for name, r := range serving {
			if r == final[name] {
				atFinal[name] = r
			}
		}
		covered = covered || tiled(atFinal)
	}
	for i, m := range moves {
		assert.Equal(t, serving[m.Engine], m.From)
		if !m.KeepsOld {
			delete(serving, m.Engine)
			check("start", m)
		}
		if i+1 < len(moves) && moves[i+1].Step == m.Step {
			continue
		}
		for _, done := range moves[:i+1] {
			if done.Step == m.Step {
				serving[done.Engine] = done.To
			}
		}
		check("end", m)
	}
	for name, r := range final {
		assert.Equal(t, serving[name], r, "engine %s", name)
	}
}

func tiled(serving map[string]Range) bool {
	var ranges []Range
	for _, r := range serving {
		ranges = append(ranges, r)
	}
	return checkTiling(ranges, testModel.Layers) == nil
}

// TestReplanAfterLoss guards against a low flow after the loss of an eighth of the
// engines. It logs the number of layers loaded.
func TestReplanAfterLoss(t *testing.T) {
	for seed := range uint64(10) {
		f := randomFleet(seed, 40, 3)
		plan, err := MakePlan(f, testModel, testOptions)
		assert.NilError(t, err)
		random := rand.New(rand.NewPCG(seed, 2))
		random.Shuffle(len(f.Engines), func(i, j int) { f.Engines[i], f.Engines[j] = f.Engines[j], f.Engines[i] })
		f.Engines = f.Engines[5:]
		next, moves, err := Replan(plan, f, testModel, testOptions)
		assert.NilError(t, err)
		fraction := next.Flow / FlowUpperBound(f, testModel, testOptions)
		var bytes int64
		for _, m := range moves {
			bytes += m.Bytes
		}
		t.Logf("seed %d: %.3f of the bound, %d moves, %d layers loaded", seed, fraction, len(moves), bytes/testModel.BytesPerLayer)
		assert.Assert(t, fraction >= 0.85, "seed %d: %.3f of the bound", seed, fraction)
	}
}

// TestUnchangedFleetMovesNothing guards against moves although the fleet is unchanged.
func TestUnchangedFleetMovesNothing(t *testing.T) {
	f := randomFleet(3, 40, 3)
	plan, err := MakePlan(f, testModel, testOptions)
	assert.NilError(t, err)
	next, moves, err := Replan(plan, f, testModel, testOptions)
	assert.NilError(t, err)
	assert.Equal(t, len(moves), 0)
	assert.DeepEqual(t, next, plan)
}

// TestLoadsRunSequentially guards against end times computed as if loads ran in
// parallel, although they share the rate of the weight store.
func TestLoadsRunSequentially(t *testing.T) {
	ends := LoadCompletionTimes([]Move{{Bytes: 100}, {Bytes: 0}, {Bytes: 300}}, 100)
	assert.DeepEqual(t, ends, []time.Duration{time.Second, time.Second, 4 * time.Second})
}

func BenchmarkReplan(b *testing.B) {
	for _, size := range []int{40, 400, 3100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := randomFleet(1, size, max(3, size*14/3100))
			plan, err := MakePlan(f, testModel, testOptions)
			assert.NilError(b, err)
			smaller := Fleet{Engines: slices.Clone(f.Engines[max(1, size/50):]), Links: f.Links}
			b.ReportAllocs()
			for b.Loop() {
				_, _, err := Replan(plan, smaller, testModel, testOptions)
				assert.NilError(b, err)
			}
		})
	}
}

// TestMovesOrderedByGainPerByte guards against loading weights with a small gain before
// weights of the same size with a large gain.
func TestMovesOrderedByGainPerByte(t *testing.T) {
	m := Model{Layers: 4, BytesPerLayer: 1}
	engine := func(name string, rate float64) Engine {
		return Engine{Name: name, Zone: "z", MemoryBytes: 4, LayerTokensPerSecond: rate}
	}
	old := Plan{
		Groups: []Group{{Zones: []string{"z"}, Boundaries: []int{0, 2, 4}}},
		Assignments: []Assignment{
			{Engine: "a", Zone: "z", First: 0, Limit: 2},
			{Engine: "b", Zone: "z", First: 2, Limit: 4},
			{Engine: "gone", Zone: "z", First: 2, Limit: 4},
		},
	}
	f := Fleet{Engines: []Engine{engine("a", 1000), engine("b", 100), engine("small", 200), engine("large", 700)}}
	next, moves, err := Replan(old, f, m, Options{})
	assert.NilError(t, err)
	assert.Equal(t, len(moves), 2)
	for i, name := range []string{"large", "small"} {
		assert.Equal(t, moves[i].Engine, name)
		assert.Equal(t, moves[i].From, Range{})
		assert.Equal(t, moves[i].To, Range{First: 2, Limit: 4})
		assert.Equal(t, moves[i].Bytes, int64(2))
	}
	assert.Equal(t, next.Flow, 500.0)
}
