package admission

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func sortedIDs(ids []string) []string {
	sort.Strings(ids)
	return ids
}

// simulateShares simulates entries with constant demands and load reports that lag by
// a second. It returns each entry's running cost at the end and the peak total in
// the second half. Each sidecar reports once per second.
func simulateShares(demands []float64, units float64, sidecars int, duration time.Duration) ([]float64, float64) {
	entries := make([]*shareLimiter, len(demands))
	for i := range entries {
		entries[i] = &shareLimiter{options: DefaultOptions()}
		entries[i].setCapacity(Capacity{Units: units, Entries: len(demands)})
	}
	running := make([]float64, len(demands))
	reportedLoads := make([]float64, sidecars)
	peakLoad := 0.0
	step := time.Second / time.Duration(sidecars)
	for at := time.Duration(0); at < duration; at += step {
		total := 0.0
		for i, s := range entries {
			s.observeLoad(start.Add(at), Load{Running: reportedLoads[0]}, running[i], demands[i])
			// Requests run for a second on average.
			running[i] = max(running[i]*(1-step.Seconds()), min(s.limit, demands[i]))
			total += running[i]
		}
		reportedLoads = append(reportedLoads[1:], total)
		if at > duration/2 {
			peakLoad = max(peakLoad, total)
		}
	}
	return running, peakLoad
}

// Entries that know only their own demand and the reported load must converge to
// shares in proportion to demand without overloading the backend servers, for any
// number of sidecars.
func TestSharesFollowDemand(t *testing.T) {
	for _, sidecars := range []int{3, 10, 40} {
		running, peakLoad := simulateShares([]float64{120, 60, 30, 30}, 80, sidecars, 3*time.Minute)
		assert.Assert(t, peakLoad < 88, "%d sidecars: load reached %.1f of 80", sidecars, peakLoad)
		total := running[0] + running[1] + running[2] + running[3]
		assert.Assert(t, total > 72, "%d sidecars: only %.1f of 80 in use", sidecars, total)
		for i, want := range []float64{0.5, 0.25, 0.125, 0.125} {
			fraction := running[i] / total
			assert.Assert(t, fraction > want*0.9 && fraction < want*1.1, "entry %d has %.3f, want %.3f", i, fraction, want)
		}
	}
}

// An entry that receives all of the demand must be able to use the whole capacity.
func TestOneEntryTakesIdleCapacity(t *testing.T) {
	running, _ := simulateShares([]float64{200, 0, 0, 0}, 80, 10, 30*time.Second)
	assert.Assert(t, running[0] > 74, "one busy entry uses %.1f of 80", running[0])
}

// An entry without recent load reports must fall back to an equal share.
func TestStaleLoadFallsBackToEqualShare(t *testing.T) {
	c := New(DefaultOptions(), rand.New(rand.NewPCG(1, 2)))
	c.SetCapacity(start, Capacity{Units: 100, Entries: 4})
	for s := range 20 {
		c.ObserveLoad(start.Add(time.Duration(s)*time.Second), Load{Running: 300})
	}
	assert.Assert(t, c.Limit() < 5)
	c.Tick(start.Add(time.Minute))
	assert.Equal(t, c.Limit(), 23.75)
}

// Refusals by overloaded backend servers must lower the limit, but one overload only once.
func TestRefusalsLowerLimit(t *testing.T) {
	c := newController(100, 1)
	fill(t, c, "a", 2)
	c.Done(start.Add(time.Second), "a-full-0", Outcome{Result: RefusedOverloaded})
	c.Done(start.Add(time.Second), "a-full-1", Outcome{Result: RefusedOverloaded})
	assert.Equal(t, c.Limit(), 95.0)
}
