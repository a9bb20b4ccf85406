package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const megabyte = 1_000_000

func relayTestModel() Model {
	return Model{Layers: 80, BytesPerLayer: 1750 * megabyte, ActivationBytes: 29500, KVBytesPerTokenLayer: 7375}
}

var relayTestOptions = RelayOptions{RequestTokens: 944}

// mixedFleet is a fleet of four kinds in three zones.
func mixedFleet() []RelayEngine {
	var engines []RelayEngine
	add := func(kind, zone string, n int, mb int64, factor float64) {
		for i := range n {
			engines = append(engines, RelayEngine{
				Name: fmt.Sprintf("%s-%s-%d", kind, zone, i), Zone: zone, MemoryBytes: mb * megabyte, StepFactor: factor,
			})
		}
	}
	add("large", "b", 1, 72000, 1.4)
	add("medium", "a", 2, 36000, 3.1)
	add("medium", "b", 1, 36000, 3.1)
	add("medium", "c", 1, 36000, 3.1)
	add("small", "a", 4, 21600, 16)
	add("small", "b", 5, 21600, 16)
	add("small", "c", 8, 21600, 16)
	add("tiny", "a", 7, 14400, 15)
	add("tiny", "b", 7, 14400, 15)
	add("tiny", "c", 3, 14400, 15)
	return engines
}

func applyPlan(t interface{ Fatalf(string, ...any) }, engines []RelayEngine, plan []RelayAssignment, m Model) []RelayEngine {
	held := append([]RelayEngine(nil), engines...)
	for _, a := range plan {
		found := false
		for i := range held {
			if held[i].Name == a.Engine {
				found = true
				held[i].Holds = a.Range
				if int64(a.Range.Limit-a.Range.First)*m.BytesPerLayer > held[i].MemoryBytes {
					t.Fatalf("%s is given %v, more than its memory", a.Engine, a.Range)
				}
			}
		}
		if !found {
			t.Fatalf("unknown engine %s", a.Engine)
		}
	}
	return held
}

// Guards against a plan that gives an engine more than its memory or leaves
// layers without an engine.
func TestRelayPlanFitsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := relayTestModel()
		var engines []RelayEngine
		for i := range rapid.IntRange(1, 60).Draw(t, "engines") {
			engines = append(engines, RelayEngine{
				Name: fmt.Sprint(i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
				MemoryBytes: rapid.Int64Range(1000, 80000).Draw(t, "mb") * megabyte,
				StepFactor:  rapid.Float64Range(1, 20).Draw(t, "factor"),
			})
		}
		plan, err := PlanRelay(engines, m, relayTestOptions)
		if err != nil {
			assert.Equal(t, err, ErrCannotHold)
			return
		}
		held := applyPlan(t, engines, plan, m)
		assert.Equal(t, len(Uncovered(held, m.Layers)), 0)
	})
}

// Guards against few fast engines that are spread over chains of slow ones,
// where their memory is held for as long as the slow ones take.
func TestRelayPlanKeepsFastEnginesTogether(t *testing.T) {
	m := relayTestModel()
	plan, err := PlanRelay(mixedFleet(), m, relayTestOptions)
	assert.NilError(t, err)
	held := applyPlan(t, mixedFleet(), plan, m)
	covered := 0
	for _, e := range held {
		assert.Assert(t, e.Holds != Range{}, "%s holds nothing", e.Name)
		tokens := TokenCapacity(e.MemoryBytes, e.Holds.Limit-e.Holds.First, m)
		assert.Check(t, tokens >= 40*relayTestOptions.RequestTokens, "%s holds %.0f tokens in %v", e.Name, tokens, e.Holds)
		if e.StepFactor < 4 {
			covered += e.Holds.Limit - e.Holds.First
		}
	}
	assert.Check(t, covered >= m.Layers, "fast engines cover %d layers", covered)
}

// Guards against a restarted engine that takes another range than the one that
// its loss left short.
func TestFillRelayRestoresLostRange(t *testing.T) {
	m := relayTestModel()
	plan, err := PlanRelay(mixedFleet(), m, relayTestOptions)
	assert.NilError(t, err)
	held := applyPlan(t, mixedFleet(), plan, m)
	for i, lost := range held {
		others := append(append([]RelayEngine(nil), held[:i]...), held[i+1:]...)
		empty := lost
		empty.Holds = Range{}
		r, ok := FillRelay(empty, others, m, relayTestOptions)
		assert.Assert(t, ok)
		overlap := min(r.Limit, lost.Holds.Limit) - max(r.First, lost.Holds.First)
		assert.Check(t, overlap >= (lost.Holds.Limit-lost.Holds.First)/2, "%s held %v and gets %v", lost.Name, lost.Holds, r)
	}
}

// Guards against a gap in the layers that is not found.
func TestUncovered(t *testing.T) {
	engines := []RelayEngine{{Holds: Range{10, 20}}, {Holds: Range{30, 80}}, {}}
	assert.DeepEqual(t, Uncovered(engines, 80), []Range{{0, 10}, {20, 30}})
}
