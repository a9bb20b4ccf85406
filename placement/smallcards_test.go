package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// smallCardFleet returns engines without a large card, in zones that are unlike.
func smallCardFleet() []RelayEngine {
	zones := map[string]struct{ medium, small, tiny int }{"a": {2, 5, 9}, "b": {1, 8, 13}, "c": {1, 13, 7}}
	var engines []RelayEngine
	for _, zone := range []string{"a", "b", "c"} {
		n := zones[zone]
		engines = append(engines, engineGroup("medium", zone, n.medium, 36000, 3.1)...)
		engines = append(engines, engineGroup("small", zone, n.small, 21600, 16)...)
		engines = append(engines, engineGroup("tiny", zone, n.tiny, 14400, 15)...)
	}
	return engines
}

// smallCardOptions are those of prompts of 760 and answers of 142 tokens, and of links of
// 2.5 Gbit/s.
var smallCardOptions = RelayOptions{RequestTokens: 902, RequestSeconds: 0.12, LinkRequestsPerSecond: 21}

// minRequestsPerEngine is the number of requests for which an engine must keep room beside
// the layers that it takes over.
const minRequestsPerEngine = 24

func smallCardModel() Model {
	m := relayModel()
	m.ActivationBytes, m.KVBytesPerTokenLayer = 16400, 4100
	return m
}

// settle applies orders until there are none, and fails if they do not end or leave a layer
// without an engine on the way.
func settle(t *testing.T, engines []RelayEngine, m Model) []RelayEngine {
	t.Helper()
	for range 20 {
		orders, err := RelayOrders(engines, RelayOrderPolicy{AllowMoves: true}, m, smallCardOptions)
		assert.NilError(t, err)
		if len(orders) == 0 {
			return engines
		}
		engines = applyPlan(t, engines, orders, m)
	}
	t.Fatal("orders do not end")
	return nil
}

// checkZones checks that each zone has all layers and each engine room for requests.
func checkZones(t *testing.T, what string, engines []RelayEngine, m Model) {
	t.Helper()
	for _, zone := range zonesOf(engines) {
		missing := Uncovered(inZone(engines, zone), m.Layers)
		assert.Check(t, len(missing) == 0, "%s: zone %s lacks %v", what, zone, missing)
	}
	for _, e := range engines {
		tokens := KVCacheTokens(e.MemoryBytes, e.Layers.Limit-e.Layers.First, m)
		assert.Check(t, e.Layers != Range{}, "%s: %s holds nothing", what, e.Name)
		assert.Check(t, tokens >= minRequestsPerEngine*smallCardOptions.RequestTokens, "%s: %s has room for %.0f tokens", what, e.Name, tokens)
	}
}

// Guards against a plan that needs a large card: each zone has all layers on its few medium
// and many small cards, and again after it has lost all of its medium ones.
func TestZonesOfSmallCardsStayComplete(t *testing.T) {
	m := smallCardModel()
	plan, err := PlanRelay(smallCardFleet(), m, smallCardOptions)
	assert.NilError(t, err)
	planned := applyPlan(t, smallCardFleet(), plan, m)
	checkZones(t, "plan", planned, m)
	for _, lost := range [][]string{{"a"}, {"b"}, {"c"}, {"a", "b", "c"}} {
		rest := planned
		for _, zone := range lost {
			for _, e := range engineGroup("medium", zone, 2, 0, 0) {
				rest = without(rest, e.Name)
			}
		}
		rest = settle(t, rest, m)
		checkZones(t, "medium cards lost in "+lost[0], rest, m)
	}
}
