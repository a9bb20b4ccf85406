package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const megabyte = 1_000_000

func relayModel() Model {
	return Model{Layers: 80, BytesPerLayer: 1750 * megabyte, ActivationBytes: 29500, KVBytesPerTokenLayer: 7375}
}

var relayTestOptions = RelayOptions{RequestTokens: 944}

// mixedFleet returns engines of four kinds in three zones.
func mixedFleet() []RelayEngine {
	var engines []RelayEngine
	add := func(kind, zone string, n int, mb int64, factor float64) {
		engines = append(engines, engineGroup(kind, zone, n, mb, factor)...)
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

// engineGroup returns engines of one kind in a zone.
func engineGroup(kind, zone string, n int, mb int64, factor float64) (engines []RelayEngine) {
	for i := range n {
		engines = append(engines, RelayEngine{
			Name: fmt.Sprintf("%s-%s-%d", kind, zone, i), Zone: zone, MemoryBytes: mb * megabyte, StepFactor: factor,
		})
	}
	return engines
}

// applyPlan returns the engines with the ranges of a plan. It fails if a range exceeds
// an engine's memory.
func applyPlan(t interface{ Fatalf(string, ...any) }, engines []RelayEngine, plan []RelayAssignment, m Model) []RelayEngine {
	held := append([]RelayEngine(nil), engines...)
	for _, a := range plan {
		found := false
		for i := range held {
			if held[i].Name == a.Engine {
				found = true
				held[i].Layers = a.Range
				if int64(a.Range.Limit-a.Range.First)*m.BytesPerLayer > held[i].MemoryBytes {
					t.Fatalf("%s is assigned %v, which exceeds its memory", a.Engine, a.Range)
				}
			}
		}
		if !found {
			t.Fatalf("unknown engine %s", a.Engine)
		}
	}
	return held
}

// TestRelayPlanFitsMemory guards against a plan that exceeds an engine's memory or
// leaves layers without an engine.
func TestRelayPlanFitsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := relayModel()
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
			assert.Equal(t, err, ErrInsufficientMemory)
			return
		}
		held := applyPlan(t, engines, plan, m)
		assert.Equal(t, len(Uncovered(held, m.Layers)), 0)
	})
}

// TestRelayPlanKeepsFastEnginesTogether guards against spreading a few fast engines over
// chains of slow ones, whose requests would occupy the memory of the fast engines longer.
func TestRelayPlanKeepsFastEnginesTogether(t *testing.T) {
	m := relayModel()
	plan, err := PlanRelay(mixedFleet(), m, relayTestOptions)
	assert.NilError(t, err)
	held := applyPlan(t, mixedFleet(), plan, m)
	covered := 0
	for _, e := range held {
		assert.Assert(t, e.Layers != Range{}, "%s holds nothing", e.Name)
		tokens := KVCacheTokens(e.MemoryBytes, e.Layers.Limit-e.Layers.First, m)
		assert.Check(t, tokens >= 40*relayTestOptions.RequestTokens, "%s holds %.0f tokens in %v", e.Name, tokens, e.Layers)
		if e.StepFactor < 4 {
			covered += e.Layers.Limit - e.Layers.First
		}
	}
	assert.Check(t, covered >= m.Layers, "fast engines cover %d layers", covered)
}

// TestRestartedEngineRegainsItsRange guards against a restarted engine that takes another
// range than the one whose copies its failure reduced.
func TestRestartedEngineRegainsItsRange(t *testing.T) {
	m := relayModel()
	plan, err := PlanRelay(mixedFleet(), m, relayTestOptions)
	assert.NilError(t, err)
	held := applyPlan(t, mixedFleet(), plan, m)
	for i, lost := range held {
		others := append(append([]RelayEngine(nil), held[:i]...), held[i+1:]...)
		empty := lost
		empty.Layers = Range{}
		r, ok := RangeForEmptyEngine(empty, others, m, relayTestOptions)
		assert.Assert(t, ok)
		overlap := min(r.Limit, lost.Layers.Limit) - max(r.First, lost.Layers.First)
		assert.Check(t, overlap >= (lost.Layers.Limit-lost.Layers.First)/2, "%s held %v and gets %v", lost.Name, lost.Layers, r)
	}
}

// TestUncovered guards against gaps in the layers that are not found.
func TestUncovered(t *testing.T) {
	engines := []RelayEngine{{Layers: Range{10, 20}}, {Layers: Range{30, 80}}, {}}
	assert.DeepEqual(t, Uncovered(engines, 80), []Range{{0, 10}, {20, 30}})
}

// applyUntilStable applies orders to the engines until there are no more, and returns
// the engines and the number of orders.
func applyUntilStable(t *testing.T, engines []RelayEngine, m Model) ([]RelayEngine, int) {
	t.Helper()
	orderCount := 0
	for range 50 {
		orders, err := RelayOrders(engines, RelayOrderPolicy{AllowMoves: true}, m, relayTestOptions)
		assert.NilError(t, err)
		if len(orders) == 0 {
			return engines, orderCount
		}
		orderCount += len(orders)
		engines = applyPlan(t, engines, orders, m)
	}
	t.Fatal("orders do not converge")
	return nil, 0
}

func without(engines []RelayEngine, name string) []RelayEngine {
	var rest []RelayEngine
	for _, e := range engines {
		if e.Name != name {
			rest = append(rest, e)
		}
	}
	return rest
}

// TestReleaseLeavesNoLayerShort guards against layers that lack copies after a rolling
// release, in which each engine is replaced by a new one that starts before the old one
// leaves and gets its range afterwards.
func TestReleaseLeavesNoLayerShort(t *testing.T) {
	m := relayModel()
	engines, _ := applyUntilStable(t, mixedFleet(), m)
	for _, old := range mixedFleet() {
		fresh := old
		fresh.Name = "new-" + old.Name
		fresh.Layers = Range{}
		var orderCount int
		engines, orderCount = applyUntilStable(t, append(without(engines, old.Name), fresh), m)
		assert.Equal(t, orderCount, 1, "%s", old.Name)
		copies := copiesPerLayer(engines, m, relayTestOptions)
		assert.Check(t, !hasShortLayer(copies), "after %s: %v", old.Name, copies)
	}
}

// TestNewEngineWaitsWhileNothingIsShort guards against a new engine that takes a range
// before the engine that it replaces has left, and then has to load another one.
func TestNewEngineWaitsWhileNothingIsShort(t *testing.T) {
	m := relayModel()
	engines, _ := applyUntilStable(t, mixedFleet(), m)
	fresh := RelayEngine{Name: "new", Zone: "a", MemoryBytes: 14400 * megabyte, StepFactor: 15}
	orders, err := RelayOrders(append(engines, fresh), RelayOrderPolicy{MayStayEmpty: map[string]bool{"new": true}}, m, relayTestOptions)
	assert.NilError(t, err)
	assert.Equal(t, len(orders), 0)
	orders, err = RelayOrders(append(without(engines, "tiny-a-1"), fresh), RelayOrderPolicy{MayStayEmpty: map[string]bool{"new": true}}, m, relayTestOptions)
	assert.NilError(t, err)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Engine, "new")
}

// TestShortLayersMoveNoEngine guards against moving engines to layers that merely have too
// few copies. A move takes an engine out of service until its requests end.
func TestShortLayersMoveNoEngine(t *testing.T) {
	m := relayModel()
	engines, _ := applyUntilStable(t, mixedFleet(), m)
	for _, lost := range mixedFleet() {
		rest := without(engines, lost.Name)
		orders, err := RelayOrders(rest, RelayOrderPolicy{AllowMoves: true}, m, relayTestOptions)
		assert.NilError(t, err)
		checkNoLayersDropped(t, rest, orders)
	}
}

// TestOrdersConvergeAfterManyLosses guards against layers that stay uncovered after many
// losses, and against engines that move back and forth.
func TestOrdersConvergeAfterManyLosses(t *testing.T) {
	m := relayModel()
	rapid.Check(t, func(rt *rapid.T) {
		engines, _ := applyUntilStable(t, mixedFleet(), m)
		lost := rapid.IntRange(1, 12).Draw(rt, "lost")
		for range lost {
			i := rapid.IntRange(0, len(engines)-1).Draw(rt, "i")
			engines = without(engines, engines[i].Name)
		}
		engines, _ = applyUntilStable(t, engines, m)
		assert.Equal(t, len(Uncovered(engines, m.Layers)), 0)
	})
}

// TestSlowLinksKeepChainsInZones guards against a chain across zones whose links carry only
// a small part of what its engines could serve within their zones.
func TestSlowLinksKeepChainsInZones(t *testing.T) {
	m, opts := relayModel(), relayTestOptions
	opts.RequestSeconds = 0.146
	completeZones := func(rate float64) int {
		opts.LinkRequestsPerSecond = rate
		plan, err := PlanRelay(mixedFleet(), m, opts)
		assert.NilError(t, err)
		held := applyPlan(t, mixedFleet(), plan, m)
		assert.Equal(t, len(Uncovered(held, m.Layers)), 0)
		complete := 0
		for _, zone := range []string{"a", "b", "c"} {
			var local []RelayEngine
			for _, e := range held {
				if e.Zone == zone {
					local = append(local, e)
				}
			}
			if len(Uncovered(local, m.Layers)) == 0 {
				complete++
			}
		}
		fastLayers := 0
		for _, e := range held {
			if e.StepFactor < 4 {
				fastLayers += e.Layers.Limit - e.Layers.First
			}
		}
		assert.Equal(t, fastLayers >= m.Layers, rate > 10)
		return complete
	}
	assert.Equal(t, completeZones(40), 3)
	assert.Equal(t, completeZones(8), 3)
}

// TestNeighboursTakeOverLostRange guards against a zone that sends every request over slow
// links after the loss of an engine, although engines with adjacent layers have memory for
// its range.
func TestNeighboursTakeOverLostRange(t *testing.T) {
	m := relayModel()
	var engines []RelayEngine
	for i := range 16 {
		engines = append(engines, RelayEngine{
			Name: fmt.Sprintf("e%02d", i), Zone: "a", MemoryBytes: 18000 * megabyte, StepFactor: 15, Layers: Range{i * 5, i*5 + 5},
		})
	}
	for lost := 1; lost < len(engines)-1; lost++ {
		held := without(engines, engines[lost].Name)
		orders, err := RelayOrders(held, RelayOrderPolicy{}, m, relayTestOptions)
		assert.NilError(t, err)
		assert.Assert(t, len(orders) == 1 || len(orders) == 2, "%v", orders)
		checkNoLayersDropped(t, held, orders)
		after := applyPlan(t, held, orders, m)
		assert.Equal(t, len(Uncovered(after, m.Layers)), 0)
	}
}

// checkNoLayersDropped fails if an order makes an engine give up layers that it holds.
func checkNoLayersDropped(t *testing.T, held []RelayEngine, orders []RelayAssignment) {
	t.Helper()
	for _, o := range orders {
		for _, e := range held {
			if e.Name == o.Engine {
				assert.Check(t, o.Range.First <= e.Layers.First && o.Range.Limit >= e.Layers.Limit, "%v gives up layers of %v", o, e.Layers)
			}
		}
	}
}

// slowLinkFleet returns the engines of four zones with slow links between them. The memory
// of each zone holds nearly two copies of all layers.
func slowLinkFleet() ([]RelayEngine, Model, RelayOptions) {
	var engines []RelayEngine
	add := func(zone string, mb int64, factor float64, n int) {
		for i := range n {
			engines = append(engines, RelayEngine{
				Name: fmt.Sprintf("%s-%d-%02d", zone, mb, i), Zone: zone, MemoryBytes: mb * megabyte, StepFactor: factor,
			})
		}
	}
	for zone, n := range map[string][4]int{"a": {0, 2, 5, 8}, "b": {1, 0, 6, 7}, "c": {0, 1, 10, 4}, "d": {0, 2, 5, 7}} {
		add(zone, 72000, 1.4, n[0])
		add(zone, 36000, 3.1, n[1])
		add(zone, 21600, 16, n[2])
		add(zone, 14400, 15, n[3])
	}
	m := Model{Layers: 80, BytesPerLayer: 1750 * megabyte, ActivationBytes: 16400, KVBytesPerTokenLayer: 4100}
	return sortedBySpeed(engines), m, RelayOptions{RequestTokens: 900, RequestSeconds: 0.12, LinkRequestsPerSecond: 8}
}

// TestPlanUsesSpareMemoryForSecondCopies guards against a single copy of each layer in zones
// with memory for more, where the loss of one engine makes the whole zone unusable.
func TestPlanUsesSpareMemoryForSecondCopies(t *testing.T) {
	engines, m, opts := slowLinkFleet()
	plan, err := PlanRelay(engines, m, opts)
	assert.NilError(t, err)
	held := applyPlan(t, engines, plan, m)
	for _, zone := range zonesOf(held) {
		local := inZone(held, zone)
		assert.Equal(t, len(Uncovered(local, m.Layers)), 0, "zone %s", zone)
		replicated := 0
		for _, n := range copiesPerLayer(local, m, opts) {
			if n >= 2 {
				replicated++
			}
		}
		assert.Check(t, replicated >= m.Layers*2/5, "zone %s holds %d layers twice", zone, replicated)
	}
	for _, e := range held {
		tokens := KVCacheTokens(e.MemoryBytes, e.Layers.Limit-e.Layers.First, m)
		assert.Check(t, tokens >= defaultMinRequests*opts.RequestTokens, "%s holds %.0f tokens in %v", e.Name, tokens, e.Layers)
	}
}

// TestZoneRepairsItselfAfterLoss guards against a zone that stays without some layers after
// the loss of an engine although it holds others twice.
func TestZoneRepairsItselfAfterLoss(t *testing.T) {
	engines, m, opts := slowLinkFleet()
	plan, err := PlanRelay(engines, m, opts)
	assert.NilError(t, err)
	held := applyPlan(t, engines, plan, m)
	for _, lost := range held {
		rest := without(held, lost.Name)
		orders, err := RelayOrders(rest, RelayOrderPolicy{}, m, opts)
		assert.NilError(t, err)
		assert.Check(t, len(orders) <= 6, "after %s: %v", lost.Name, orders)
		after := applyPlan(t, rest, orders, m)
		for _, zone := range zonesOf(after) {
			assert.Check(t, len(Uncovered(inZone(after, zone), m.Layers)) == 0, "after %s in zone %s: %v", lost.Name, zone, orders)
		}
		for _, o := range orders {
			assert.Equal(t, zoneOf(after, o.Engine), lost.Zone)
		}
		again, err := RelayOrders(after, RelayOrderPolicy{}, m, opts)
		assert.NilError(t, err)
		assert.Equal(t, len(again), 0, "after %s and %v", lost.Name, orders)
	}
}

func zoneOf(engines []RelayEngine, name string) string {
	for _, e := range engines {
		if e.Name == name {
			return e.Zone
		}
	}
	return ""
}
