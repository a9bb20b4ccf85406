package admission

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func sorted(ids []string) []string {
	sort.Strings(ids)
	return ids
}

// shares drives entries with constant demands through load reports that lag by a
// second, and returns each entry's running cost at the end and the highest total
// in the last half. Each of the sidecars reports once a second.
func shares(demands []float64, units float64, sidecars int, length time.Duration) ([]float64, float64) {
	entries := make([]*share, len(demands))
	for i := range entries {
		entries[i] = &share{options: DefaultOptions()}
		entries[i].setCapacity(Capacity{Units: units, Entries: len(demands)})
	}
	running := make([]float64, len(demands))
	history := make([]float64, sidecars)
	highest := 0.0
	step := time.Second / time.Duration(sidecars)
	for at := time.Duration(0); at < length; at += step {
		total := 0.0
		for i, s := range entries {
			s.observe(start.Add(at), Load{Running: history[0]}, running[i], demands[i])
			// Requests run for a second on average.
			running[i] = max(running[i]*(1-step.Seconds()), min(s.limit, demands[i]))
			total += running[i]
		}
		history = append(history[1:], total)
		if at > length/2 {
			highest = max(highest, total)
		}
	}
	return running, highest
}

// Entries that know only their own demand and the reported load must come to
// shares in proportion to demand without overloading the servers, however many
// sidecars report.
func TestSharesFollowDemand(t *testing.T) {
	for _, sidecars := range []int{3, 10, 40} {
		running, highest := shares([]float64{120, 60, 30, 30}, 80, sidecars, 3*time.Minute)
		assert.Assert(t, highest < 88, "%d sidecars: load reached %.1f of 80", sidecars, highest)
		total := running[0] + running[1] + running[2] + running[3]
		assert.Assert(t, total > 72, "%d sidecars: only %.1f of 80 in use", sidecars, total)
		for i, want := range []float64{0.5, 0.25, 0.125, 0.125} {
			part := running[i] / total
			assert.Assert(t, part > want*0.9 && part < want*1.1, "entry %d has %.3f, want %.3f", i, part, want)
		}
	}
}

// Demand that arrives at one entry only must reach the whole capacity.
func TestOneEntryTakesIdleCapacity(t *testing.T) {
	running, _ := shares([]float64{200, 0, 0, 0}, 80, 10, 30*time.Second)
	assert.Assert(t, running[0] > 74, "one busy entry uses %.1f of 80", running[0])
}

// An entry that hears nothing of the load must fall back to an equal share.
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

// Direct refusals for load must lower the limit, but one overload only once.
func TestRefusalsLowerLimit(t *testing.T) {
	c := newController(100, 1)
	fill(t, c, "a", 2)
	c.Done(start.Add(time.Second), "a-full-0", Outcome{Result: RefusedOverloaded})
	c.Done(start.Add(time.Second), "a-full-1", Outcome{Result: RefusedOverloaded})
	assert.Equal(t, c.Limit(), 95.0)
}
