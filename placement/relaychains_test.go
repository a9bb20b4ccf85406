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
				held[i].Layers = a.Range
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
			assert.Equal(t, err, ErrInsufficientMemory)
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
		assert.Assert(t, e.Layers != Range{}, "%s holds nothing", e.Name)
		tokens := KVCacheTokens(e.MemoryBytes, e.Layers.Limit-e.Layers.First, m)
		assert.Check(t, tokens >= 40*relayTestOptions.RequestTokens, "%s holds %.0f tokens in %v", e.Name, tokens, e.Layers)
		if e.StepFactor < 4 {
			covered += e.Layers.Limit - e.Layers.First
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
		empty.Layers = Range{}
		r, ok := RangeForEmptyEngine(empty, others, m, relayTestOptions)
		assert.Assert(t, ok)
		overlap := min(r.Limit, lost.Layers.Limit) - max(r.First, lost.Layers.First)
		assert.Check(t, overlap >= (lost.Layers.Limit-lost.Layers.First)/2, "%s held %v and gets %v", lost.Name, lost.Layers, r)
	}
}

// Guards against a gap in the layers that is not found.
func TestUncovered(t *testing.T) {
	engines := []RelayEngine{{Layers: Range{10, 20}}, {Layers: Range{30, 80}}, {}}
	assert.DeepEqual(t, Uncovered(engines, 80), []Range{{0, 10}, {20, 30}})
}

// settle applies orders until there are none, as a fleet does that carries them out.
func settle(t *testing.T, engines []RelayEngine, m Model) ([]RelayEngine, int) {
	t.Helper()
	given := 0
	for range 50 {
		orders, err := RelayOrders(engines, RelayOrderPolicy{AllowMoves: true}, m, relayTestOptions)
		assert.NilError(t, err)
		if len(orders) == 0 {
			return engines, given
		}
		given += len(orders)
		engines = applyPlan(t, engines, orders, m)
	}
	t.Fatal("orders never end")
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

// Guards against layers that stay short after a release: each engine is replaced
// by a new one that starts before the old one leaves, and waits for that.
func TestReleaseLeavesNoLayerShort(t *testing.T) {
	m := relayTestModel()
	engines, _ := settle(t, mixedFleet(), m)
	for _, old := range mixedFleet() {
		fresh := old
		fresh.Name = "new-" + old.Name
		fresh.Layers = Range{}
		var given int
		engines, given = settle(t, append(without(engines, old.Name), fresh), m)
		assert.Equal(t, given, 1, "%s", old.Name)
		held := copies(engines, m, relayTestOptions)
		assert.Check(t, !isShort(held), "after %s: %v", old.Name, held)
	}
}

// Guards against a new engine that takes a range before the engine that it
// replaces has left, and has to load a second time.
func TestNewEngineWaitsWhileNothingIsShort(t *testing.T) {
	m := relayTestModel()
	engines, _ := settle(t, mixedFleet(), m)
	fresh := RelayEngine{Name: "new", Zone: "a", MemoryBytes: 14400 * megabyte, StepFactor: 15}
	orders, err := RelayOrders(append(engines, fresh), RelayOrderPolicy{MayStayEmpty: map[string]bool{"new": true}}, m, relayTestOptions)
	assert.NilError(t, err)
	assert.Equal(t, len(orders), 0)
	orders, err = RelayOrders(append(without(engines, "tiny-a-1"), fresh), RelayOrderPolicy{MayStayEmpty: map[string]bool{"new": true}}, m, relayTestOptions)
	assert.NilError(t, err)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Engine, "new")
}

// Guards against engines that move although their layers are merely short: a
// move takes an engine out of service for as long as its requests last.
func TestShortLayersMoveNoEngine(t *testing.T) {
	m := relayTestModel()
	engines, _ := settle(t, mixedFleet(), m)
	for _, lost := range mixedFleet() {
		rest := without(engines, lost.Name)
		orders, err := RelayOrders(rest, RelayOrderPolicy{AllowMoves: true}, m, relayTestOptions)
		assert.NilError(t, err)
		checkNothingGivenUp(t, rest, orders)
	}
}

// Guards against layers that no engine holds after many losses, and against
// moves to and fro.
func TestLossOfManyEnginesSettles(t *testing.T) {
	m := relayTestModel()
	rapid.Check(t, func(rt *rapid.T) {
		engines, _ := settle(t, mixedFleet(), m)
		lost := rapid.IntRange(1, 12).Draw(rt, "lost")
		for range lost {
			i := rapid.IntRange(0, len(engines)-1).Draw(rt, "i")
			engines = without(engines, engines[i].Name)
		}
		engines, _ = settle(t, engines, m)
		assert.Equal(t, len(Uncovered(engines, m.Layers)), 0)
	})
}

// Guards against a chain across zones whose links carry a small part of what its
// engines could serve, and that takes these engines from their zones.
func TestThinLinksKeepChainsInZones(t *testing.T) {
	m, opts := relayTestModel(), relayTestOptions
	opts.RequestSeconds = 0.146
	zonesOfChain := func(rate float64) int {
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
		fast := 0
		for _, e := range held {
			if e.StepFactor < 4 {
				fast += e.Layers.Limit - e.Layers.First
			}
		}
		assert.Equal(t, fast >= m.Layers, rate > 10)
		return complete
	}
	assert.Equal(t, zonesOfChain(40), 3)
	assert.Equal(t, zonesOfChain(8), 3)
}

// Guards against a zone that sends every request over thin links because one of
// its engines is gone, although its neighbours have room for the layers.
func TestNeighboursCompleteTheirZone(t *testing.T) {
	m := relayTestModel()
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
		checkNothingGivenUp(t, held, orders)
		after := applyPlan(t, held, orders, m)
		assert.Equal(t, len(Uncovered(after, m.Layers)), 0)
	}
}

// checkNothingGivenUp fails when an order takes layers from an engine that holds them.
func checkNothingGivenUp(t *testing.T, held []RelayEngine, orders []RelayAssignment) {
	t.Helper()
	for _, o := range orders {
		for _, e := range held {
			if e.Name == o.Engine {
				assert.Check(t, o.Range.First <= e.Layers.First && o.Range.Limit >= e.Layers.Limit, "%v gives up layers of %v", o, e.Layers)
			}
		}
	}
}

// thinLinkedFleet is a fleet of four zones whose memory holds nearly two copies
// of all layers each, and whose links carry little.
func thinLinkedFleet() ([]RelayEngine, Model, RelayOptions) {
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

// Guards against memory that lies idle beside one copy of each layer while the
// loss of one engine takes a whole zone out of use.
func TestPlanUsesSpareMemoryForSecondCopies(t *testing.T) {
	engines, m, opts := thinLinkedFleet()
	plan, err := PlanRelay(engines, m, opts)
	assert.NilError(t, err)
	held := applyPlan(t, engines, plan, m)
	for _, zone := range zonesOf(held) {
		local := inZone(held, zone)
		assert.Equal(t, len(Uncovered(local, m.Layers)), 0, "zone %s", zone)
		twice := 0
		for _, n := range copies(local, m, opts) {
			if n >= 2 {
				twice++
			}
		}
		assert.Check(t, twice >= m.Layers*2/5, "zone %s holds %d layers twice", zone, twice)
	}
	for _, e := range held {
		tokens := KVCacheTokens(e.MemoryBytes, e.Layers.Limit-e.Layers.First, m)
		assert.Check(t, tokens >= defaultMinRequests*opts.RequestTokens, "%s holds %.0f tokens in %v", e.Name, tokens, e.Layers)
	}
}

// Guards against a zone that stays without layers after the loss of an engine
// although it holds others twice.
func TestZoneCompletesItselfAfterALoss(t *testing.T) {
	engines, m, opts := thinLinkedFleet()
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
