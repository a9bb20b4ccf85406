package fleet

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/sapphirefield/sapphirefield/placement"
)

// planCase describes a fleet and the loss of a part of it.
type planCase struct {
	name           string
	engines, zones int
	// oneKindPerZone gives each zone engines of a single kind, so that zones differ as much as possible.
	oneKindPerZone bool
	// loseZone removes a whole zone instead of a fiftieth of the engines.
	loseZone bool
}

var planCases = []planCase{
	{name: "mixed, 2% lost", engines: 40, zones: 3},
	{name: "mixed, 2% lost", engines: 400, zones: 6},
	{name: "mixed, 2% lost", engines: 3100, zones: 14},
	{name: "one kind a zone, zone lost", engines: 3100, zones: 14, oneKindPerZone: true, loseZone: true},
}

// planning prints the time and memory of an initial plan, of a re-plan after a
// loss, and of a re-plan after the lost engines have returned.
func planning(out io.Writer, seed uint64) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "fleet\tengines\tzones\tplan ms\tMB\tfraction\tre-plan ms\tMB\tfraction\tmoves\treturn ms\tMB\tfraction\tmoves\tbound ms\t")
	for _, c := range planCases {
		if err := writePlanRow(t, c, seed); err != nil {
			return errors.Wrapf(err, "%s, %d engines", c.name, c.engines)
		}
	}
	return t.Flush()
}

func writePlanRow(t io.Writer, c planCase, seed uint64) error {
	cl := newCluster(seed, c.engines, c.zones, len(accelerators))
	if c.oneKindPerZone {
		cl.setOneKindPerZone()
	}
	reducedFleet := cl.withoutEngines(seed, max(1, c.engines/50))
	if c.loseZone {
		reducedFleet = cl.withoutZone(zoneName(1))
	}
	m := planModel(meanOutput)
	var plan, reduced, restored placement.Plan
	var reduceMoves, restoreMoves []placement.Move
	var errs [3]error
	planTime, planBytes := measureCost(func() { plan, errs[0] = placement.MakePlan(cl.fleet, m, planOptions) })
	reduceTime, reduceBytes := measureCost(func() { reduced, reduceMoves, errs[1] = placement.Replan(plan, reducedFleet, m, planOptions) })
	restoreTime, restoreBytes := measureCost(func() { restored, restoreMoves, errs[2] = placement.Replan(reduced, cl.fleet, m, planOptions) })
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	var bound float64
	boundTime, _ := measureCost(func() { bound = placement.FlowUpperBound(cl.fleet, m, planOptions) })
	_, err := fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.1f\t%.3f\t%.1f\t%.1f\t%.3f\t%d\t%.1f\t%.1f\t%.3f\t%d\t%.1f\t\n",
		c.name, c.engines, c.zones, milliseconds(planTime), planBytes/1e6, plan.Flow/bound,
		milliseconds(reduceTime), reduceBytes/1e6, reduced.Flow/placement.FlowUpperBound(reducedFleet, m, planOptions), len(reduceMoves),
		milliseconds(restoreTime), restoreBytes/1e6, restored.Flow/bound, len(restoreMoves), milliseconds(boundTime))
	return err
}

// setOneKindPerZone replaces the accelerators so that each zone has a single kind.
func (cl *cluster) setOneKindPerZone() {
	for i := range cl.fleet.Engines {
		e := &cl.fleet.Engines[i]
		kind := accelerators[0]
		for z := range len(cl.linkDelays) {
			if zoneName(z) == e.Zone {
				kind = accelerators[z%len(accelerators)]
			}
		}
		e.MemoryBytes, e.LayerTokensPerSecond = kind.memoryBytes, kind.layerTokensPerSecond
		cl.accelerators[e.Name] = kind
	}
}

// withoutZone returns the fleet after the loss of a zone.
func (cl cluster) withoutZone(zone string) placement.Fleet {
	f := placement.Fleet{Links: cl.fleet.Links}
	for _, e := range cl.fleet.Engines {
		if e.Zone != zone {
			f.Engines = append(f.Engines, e)
		}
	}
	return f
}

// measureCost returns the shortest time of five runs, and the bytes allocated by the last run.
func measureCost(run func()) (time.Duration, float64) {
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
