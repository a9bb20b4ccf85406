package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/pipeline"
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
		engines := f.sampleEngines(now, rev, "m", sampledEngines, benchmarkRequest)
		assert.Assert(t, len(engines) >= sampledEngines && len(engines) <= maxSearchedEngines, "%d engines", len(engines))
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

// Guards against requests that are refused, although engines are free, after the loss of
// most engines that hold a layer: every sample holds some of those that are left.
func TestSampleHoldsRareLayers(t *testing.T) {
	now := time.Now()
	f, rev := loadedFleet(t, now, 2998, 2)
	last := rev.models["m"].Layers
	left := 10
	for _, id := range f.byService["m"] {
		if f.servers[id].Layers.Limit == last {
			if left--; left < 0 {
				f.conditions.MarkLost(now, id)
			}
		}
	}
	for range 100 {
		_, _, err := rev.finders["m"].Find(f.sampleEngines(now, rev, "m", sampledEngines, benchmarkRequest), f.links(now, rev), benchmarkRequest)
		assert.NilError(t, err)
	}
}

// Guards against engines that no request reaches, because the configuration did not know
// their kind of accelerator when they appeared.
func TestGroupsFollowTheConfiguration(t *testing.T) {
	now := time.Now()
	f, rev := loadedFleet(t, now, 998, 2)
	known := rev.accelerators["small"]
	delete(rev.accelerators, "small")
	before := len(f.engineGroups(rev, "m").sample(f.random, 10000))
	rev.accelerators["small"] = known
	assert.Assert(t, before < 998)
	assert.Equal(t, len(f.engineGroups(rev, "m").sample(f.random, 10000)), 998)
}

// Guards against samples that grow with the number of zones and kinds of accelerators.
func TestSampleIsBoundedWithManyZones(t *testing.T) {
	var parts []enginePart
	for i := range 3100 {
		parts = append(parts, enginePart{
			id: fmt.Sprint(i), zone: fmt.Sprint("zone-", i/8%14), stepFactor: float64(int(1) << (2 * (i / 112 % 8))), first: i % 8 * 10, limit: (i%8 + 1) * 10,
		})
	}
	groups := groupEngines(parts)
	random := rand.New(rand.NewPCG(1, 1))
	seen := map[string]bool{}
	for range 500 {
		sampled := groups.sample(random, sampledEngines)
		assert.Assert(t, len(sampled) < sampledEngines+8, "%d engines", len(sampled))
		for _, id := range sampled {
			seen[id] = true
		}
	}
	assert.Equal(t, len(seen), 3100)
}

// Guards against requests that wait for a path and search thousands of engines each time.
func TestFullSearchesAreRare(t *testing.T) {
	now := time.Now()
	f, _ := loadedFleet(t, now, 998, 2)
	started := benchmarkRequest
	started.AnswerStarted = true
	for _, r := range []pipeline.RelayRequest{benchmarkRequest, started} {
		assert.Assert(t, f.maySearchAll(now, "m", r))
		assert.Assert(t, !f.maySearchAll(now.Add(fullSearchInterval-1), "m", r))
		assert.Assert(t, f.maySearchAll(now.Add(fullSearchInterval), "m", r))
	}
}
