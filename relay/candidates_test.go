package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against work for each request that grows with the fleet, against a sample
// without a path, and against entries that know nothing of each other's requests yet and
// prefer the same few engines.
func TestSampleOfLargeFleet(t *testing.T) {
	now := time.Now()
	f, rev := loadedFleet(t, now, 2998, 299)
	slots := f.servers["engine-0000"].Slots
	first := map[string]int{}
	const entries = 1000
	for entry := range entries {
		f.random = rand.New(rand.NewPCG(5, uint64(entry)))
		engines := f.sampleEngines(now, rev, "m", benchmarkRequest)
		assert.Assert(t, len(engines) >= sampledEngines && len(engines) <= 2*sampledEngines, "%d engines", len(engines))
		hops, _, err := rev.finders["m"].Find(engines, f.links(now, rev), benchmarkRequest)
		assert.NilError(t, err)
		first[hops[0].Engine]++
	}
	for id, n := range first {
		assert.Assert(t, n <= slots, "%d entries choose %s at once, which has %d slots", n, id, slots)
	}
}

// Guards against a fleet of which only few engines can take a request: a sample may
// miss them, and a search among all engines finds them.
func TestSearchFindsRareEngines(t *testing.T) {
	now := time.Now()
	f, rev := loadedFleet(t, now, 2998, 2)
	last := rev.models["m"].Layers
	kept := ""
	for _, id := range f.byService["m"] {
		switch {
		case f.servers[id].Layers.Limit != last:
		case kept == "":
			kept = id
		default:
			f.conditions.MarkLost(now, id)
		}
	}
	hops, _, err := f.choosePath(now, rev, "m", "team", benchmarkRequest)
	assert.NilError(t, err)
	assert.Equal(t, hops[len(hops)-1].Engine, kept)
}
