package plans_test

import (
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestMeasureReplanning prints the times from a loss until the new plan is active,
// for docs/measurements-plans.md. The clock is fake. Apart from the seed, only
// the delays before reconnecting are random.
func TestMeasureReplanning(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to print the times of docs/measurements-plans.md")
	}
	const engines = 8
	cases := []struct {
		name    string
		entries int
		lose    func(c *cluster)
	}{
		{"one process ends, 1 entry", 1, func(c *cluster) { c.nodes[0].stop() }},
		{"one process ends, 4 entries", 4, func(c *cluster) { c.nodes[0].stop() }},
		{"one host hangs, 4 entries", 4, func(c *cluster) { c.network.Hang(c.nodes[0].id) }},
		{"a range is lost, 1 entry", 1, stopRangeHolders},
		{"a range is lost, 4 entries", 4, stopRangeHolders},
	}
	for _, tc := range cases {
		var times []time.Duration
		for seed := range uint64(10) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed+1, tc.entries, engines, always)
				c.waitUntil("first placement", time.Minute, func() bool { return c.converged("1") })
				// Each seed puts the loss at another time between two decisions.
				time.Sleep(time.Duration(seed) * 100 * time.Millisecond)
				_, before := c.directive(0)
				tc.lose(c)
				times = append(times, c.waitUntil("new plan", time.Minute, func() bool { _, now := c.directive(0); return now > before }))
			})
		}
		slices.Sort(times)
		t.Logf("%s: least %s, median %s, most %s", tc.name, times[0], times[len(times)/2], times[len(times)-1])
	}
}

// stopRangeHolders stops all engines that have the first engine's range.
func stopRangeHolders(c *cluster) {
	d, _ := c.directive(0)
	lost, _ := d.AssignedRange(c.nodes[0].id)
	for _, n := range c.nodes {
		if r, _ := d.AssignedRange(n.id); r == lost {
			n.stop()
		}
	}
}
