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

// planCase is a fleet and a change of it.
type planCase struct {
	name           string
	engines, zones int
	// oneKind gives every zone engines of one kind only, so that zones differ most.
	oneKind bool
	// loseZone loses a whole zone instead of a fiftieth of the engines.
	loseZone bool
}

var planCases = []planCase{
	{name: "mixed, 2% lost", engines: 40, zones: 3},
	{name: "mixed, 2% lost", engines: 400, zones: 6},
	{name: "mixed, 2% lost", engines: 3100, zones: 14},
	{name: "one kind a zone, zone lost", engines: 3100, zones: 14, oneKind: true, loseZone: true},
}

// planning prints the time and memory of a plan, of a re-plan after a loss, and
// of a re-plan after the lost engines have come back.
func planning(out io.Writer, seed uint64) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "fleet\tengines\tzones\tplan ms\tMB\tfraction\tre-plan ms\tMB\tfraction\tmoves\treturn ms\tMB\tfraction\tmoves\tbound ms\t")
	for _, c := range planCases {
		if err := planRow(t, c, seed); err != nil {
			return errors.Wrapf(err, "%s, %d engines", c.name, c.engines)
		}
	}
	return t.Flush()
}

func planRow(t io.Writer, c planCase, seed uint64) error {
	w := makeWorld(seed, c.engines, c.zones, len(kinds))
	if c.oneKind {
		w.sortKinds()
	}
	smaller := w.without(seed, max(1, c.engines/50))
	if c.loseZone {
		smaller = w.withoutZone(zoneName(1))
	}
	m := planModel(meanOutput)
	var plan, less, again placement.Plan
	var moves, returns []placement.Move
	var errs [3]error
	planTime, planBytes := cost(func() { plan, errs[0] = placement.MakePlan(w.fleet, m, planOptions) })
	lessTime, lessBytes := cost(func() { less, moves, errs[1] = placement.Replan(plan, smaller, m, planOptions) })
	againTime, againBytes := cost(func() { again, returns, errs[2] = placement.Replan(less, w.fleet, m, planOptions) })
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	var bound float64
	boundTime, _ := cost(func() { bound = placement.FlowUpperBound(w.fleet, m, planOptions) })
	_, err := fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.1f\t%.3f\t%.1f\t%.1f\t%.3f\t%d\t%.1f\t%.1f\t%.3f\t%d\t%.1f\t\n",
		c.name, c.engines, c.zones, milliseconds(planTime), planBytes/1e6, plan.Flow/bound,
		milliseconds(lessTime), lessBytes/1e6, less.Flow/placement.FlowUpperBound(smaller, m, planOptions), len(moves),
		milliseconds(againTime), againBytes/1e6, again.Flow/bound, len(returns), milliseconds(boundTime))
	return err
}

// sortKinds gives every zone engines of one kind only.
func (w *world) sortKinds() {
	for i := range w.fleet.Engines {
		e := &w.fleet.Engines[i]
		k := kinds[0]
		for z := range len(w.delays) {
			if zoneName(z) == e.Zone {
				k = kinds[z%len(kinds)]
			}
		}
		e.MemoryBytes, e.LayerTokensPerSecond = k.memoryBytes, k.layerRate
		w.kinds[e.Name] = k
	}
}

// withoutZone returns the fleet after the loss of a zone.
func (w world) withoutZone(zone string) placement.Fleet {
	f := placement.Fleet{Links: w.fleet.Links}
	for _, e := range w.fleet.Engines {
		if e.Zone != zone {
			f.Engines = append(f.Engines, e)
		}
	}
	return f
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
