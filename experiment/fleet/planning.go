package fleet

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/sapphirefield/sapphirefield/placement"
)

// planning prints the time and memory of a plan and of a re-plan after a
// fiftieth of the engines is lost.
func planning(out io.Writer, seed uint64) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "engines\tzones\tplan ms\tplan MB\tfraction\tre-plan ms\tre-plan MB\tfraction\tmoves\tbound ms\t")
	for _, size := range []struct{ engines, zones int }{{40, 3}, {400, 6}, {3100, 14}} {
		w := makeWorld(seed, size.engines, size.zones, len(kinds))
		m := planModel(meanOutput)
		smaller := w.without(seed, max(1, size.engines/50))
		var plan, next placement.Plan
		var moves []placement.Move
		var err, replanErr error
		planTime, planBytes := cost(func() { plan, err = placement.MakePlan(w.fleet, m, planOptions) })
		replanTime, replanBytes := cost(func() { next, moves, replanErr = placement.Replan(plan, smaller, m, planOptions) })
		var bound float64
		boundTime, _ := cost(func() { bound = placement.Bound(w.fleet, m, planOptions) })
		if err != nil || replanErr != nil {
			return fmt.Errorf("%d engines: plan: %v, re-plan: %v", size.engines, err, replanErr)
		}
		fmt.Fprintf(t, "%d\t%d\t%.1f\t%.1f\t%.3f\t%.1f\t%.1f\t%.3f\t%d\t%.1f\t\n", size.engines, size.zones,
			milliseconds(planTime), planBytes/1e6, plan.Flow/bound, milliseconds(replanTime), replanBytes/1e6,
			next.Flow/placement.Bound(smaller, m, planOptions), len(moves), milliseconds(boundTime))
	}
	return t.Flush()
}

// cost is the least time of five runs, and the bytes that one run allocates.
func cost(run func()) (time.Duration, float64) {
	best := time.Duration(0)
	var before, after runtime.MemStats
	for i := range 5 {
		runtime.ReadMemStats(&before)
		start := time.Now()
		run()
		took := time.Since(start)
		runtime.ReadMemStats(&after)
		if i == 0 || took < best {
			best = took
		}
	}
	return best, float64(after.TotalAlloc - before.TotalAlloc)
}
