package plans_test

import (
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestMeasureReplanning prints the times from a loss to the new plan in force
// for docs/measurements-plans.md. The clock is fake. Only the pauses before a
// new connection are random beside the seed.
func TestMeasureReplanning(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to print the times of docs/measurements-plans.md")
	}
	const engines = 8
	cases := []struct {
		name    string
		entries int
		lose    func(w *world)
	}{
		{"one process ends, 1 entry", 1, func(w *world) { w.nodes[0].stop() }},
		{"one process ends, 4 entries", 4, func(w *world) { w.nodes[0].stop() }},
		{"one host hangs, 4 entries", 4, func(w *world) { w.network.Hang(w.nodes[0].id) }},
		{"a range is lost, 1 entry", 1, loseRange},
		{"a range is lost, 4 entries", 4, loseRange},
	}
	for _, c := range cases {
		var times []time.Duration
		for seed := range uint64(10) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed+1, c.entries, engines, all)
				w.wait("first placement", time.Minute, func() bool { return w.settled("1") })
				// The loss falls between two decisions.
				time.Sleep(time.Duration(seed) * 100 * time.Millisecond)
				_, before := w.directive(0)
				c.lose(w)
				times = append(times, w.wait("new plan", time.Minute, func() bool { _, now := w.directive(0); return now > before }))
			})
		}
		slices.Sort(times)
		t.Logf("%s: least %s, median %s, most %s", c.name, times[0], times[len(times)/2], times[len(times)-1])
	}
}

// loseRange ends all engines of the first engine's range.
func loseRange(w *world) {
	d, _ := w.directive(0)
	lost, _ := d.AssignedRange(w.nodes[0].id)
	for _, n := range w.nodes {
		if r, _ := d.AssignedRange(n.id); r == lost {
			n.stop()
		}
	}
}
