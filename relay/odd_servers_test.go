package relay

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

// Guards against a server whose record states impossible figures and which ends the entry
// or keeps it from serving.
func TestImpossibleFiguresOfServersDoNoHarm(t *testing.T) {
	for name, odd := range map[string]Server{
		"layers too large": {Layers: placement.Range{First: 0, Limit: math.MaxInt}},
		"negative layer":   {Layers: placement.Range{First: math.MinInt, Limit: 8}},
		"slots too large":  {Layers: placement.Range{First: 0, Limit: 8}, Slots: math.MaxInt},
		"negative slots":   {Layers: placement.Range{First: 0, Limit: 8}, Slots: math.MinInt},
		"beats":            {Layers: placement.Range{First: 0, Limit: 8}, HeartbeatCount: math.MaxInt64, StartTimeMillis: math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, streamRoute(true))
			servers := map[string]Server{}
			for _, s := range []Server{testServer("a", 0, 4), testServer("b", 4, 8), testServer("empty", 0, 0)} {
				s.Slots = 10
				servers[s.ID] = s
			}
			odd.Instance = testServer("odd", 0, 8).Instance
			servers["odd"] = odd
			for id, s := range servers {
				s.Service, s.Accelerator = "llm", "gpu"
				servers[id] = s
			}
			e.fleet.setServers(time.Now(), servers)
			rev := e.current.Load()
			p := newPlacer(e.Entry)
			for range 3 {
				p.placeModel(t.Context(), rev, "llm", rev.models["llm"])
			}
			hops, reserved, err := e.fleet.choosePath(time.Now(), rev, "llm", "team", pipeline.RelayRequest{PromptTokens: 100, AnswerTokens: 100})
			assert.NilError(t, err)
			reserved.release()
			assert.Assert(t, len(hops) > 0)
		})
	}
}
