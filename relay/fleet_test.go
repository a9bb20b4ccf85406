package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

func testServer(id string, first, limit int) Server {
	return Server{
		Instance: membership.Instance{ID: id, Service: "model", Zone: "a", Address: id + ":1"}, StartTimeMillis: 1,
		Layers: placement.Range{First: first, Limit: limit},
	}
}

// Guards against streams that stay on an engine that drops their layers: the
// engine waits for them before it loads other layers.
func TestStreamsLeaveEngineThatDropsLayers(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	now := time.Now()
	f.setServers(now, map[string]Server{"x": testServer("x", 0, 10), "y": testServer("y", 10, 20)})
	hops := []pipeline.Hop{{Engine: "x", First: 0, Limit: 10}, {Engine: "y", First: 12, Limit: 20}}
	lost, leaving := f.unusable(hops)
	assert.Equal(t, len(lost)+len(leaving), 0)
	before := f.changes.Load()
	f.setServers(now, map[string]Server{"x": testServer("x", 0, 10), "y": testServer("y", 11, 20)})
	lost, leaving = f.unusable(hops)
	assert.Equal(t, len(lost)+len(leaving), 0)
	f.setServers(now, map[string]Server{"x": testServer("x", 0, 10), "y": testServer("y", 15, 20)})
	lost, leaving = f.unusable(hops)
	assert.Equal(t, len(lost), 0)
	assert.DeepEqual(t, leaving, []string{"y"})
	assert.Assert(t, f.changes.Load() > before)
}

// Guards against entries that poll the store at a high rate for as long as the
// record of a terminated engine exists.
func TestLostEngineIsAwaitedForLimitedTime(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	now := time.Now()
	f.setServers(now, map[string]Server{"x": testServer("x", 0, 10)})
	assert.Assert(t, !f.hasRecentlyLost(now))
	f.markLost(now, "x")
	assert.Assert(t, f.hasRecentlyLost(now.Add(time.Second)))
	assert.Assert(t, !f.hasRecentlyLost(now.Add(maxReturnWait)))
}
