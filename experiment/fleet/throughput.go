package fleet

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
	"golang.org/x/sync/errgroup"
)

const (
	// throughputOutput is the mean output length in tokens. It is shorter than
	// meanOutput so that more requests start and finish in the measured time.
	throughputOutput = 100
	// streamTokenInterval is the inter-token time from which the number of streams is derived.
	streamTokenInterval = 50 * time.Millisecond
	fleetEngines        = 40
	fleetZones          = 3
	fleetKinds          = 4
	// workers is the maximum number of fleets simulated concurrently.
	workers = 3
)

// throughputResult holds the throughput of one fleet as fractions of the upper bound.
type throughputResult struct {
	seed    uint64
	bound   float64
	planned float64
	// beforeReload is the throughput of the remaining stages before any weights are reloaded.
	beforeReload float64
	achieved     map[scheme]float64
	moves        int
	loadedBytes  int64
	reloadTime   time.Duration
}

// lossCase describes which engines a fleet loses; fleetAfter is nil if it loses none.
type lossCase struct {
	name       string
	fleetAfter func(cl cluster, seed uint64) placement.Fleet
}

var lossCases = []lossCase{
	{"steady", nil},
	{"an eighth of the engines lost", func(cl cluster, seed uint64) placement.Fleet { return cl.withoutEngines(seed, fleetEngines/8) }},
	{"a zone lost", func(cl cluster, _ uint64) placement.Fleet { return cl.withoutZone(zoneName(1)) }},
}

// throughput prints, for each fleet and scheme, the throughput as a fraction of the upper bound.
func throughput(ctx context.Context, opts options) error {
	for _, lc := range lossCases {
		results := make([]throughputResult, opts.fleets)
		g, _ := errgroup.WithContext(ctx)
		g.SetLimit(workers)
		for i := range results {
			g.Go(func() (err error) {
				results[i], err = simulateThroughput(opts, opts.seed+uint64(i), lc)
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		printThroughput(opts.out, lc, results)
	}
	return nil
}

func simulateThroughput(opts options, seed uint64, lc lossCase) (throughputResult, error) {
	cl := newCluster(seed, fleetEngines, fleetZones, fleetKinds)
	cl.entries = opts.entries
	m := planModel(throughputOutput)
	plan, err := placement.MakePlan(cl.fleet, m, planOptions)
	if err != nil {
		return throughputResult{}, err
	}
	f := cl.fleet
	r := throughputResult{seed: seed, achieved: map[scheme]float64{}}
	r.bound = placement.FlowUpperBound(f, m, planOptions)
	if lc.fleetAfter != nil {
		f = lc.fleetAfter(cl, seed)
		r.bound = placement.FlowUpperBound(f, m, planOptions)
		r.beforeReload = saturatedThroughput(cl, f, remainingStages(stagesOf(plan), f), flowScheme, seed, r.bound, opts.measureTime) / r.bound
		var moves []placement.Move
		plan, moves, err = placement.Replan(plan, f, m, planOptions)
		if err != nil {
			return throughputResult{}, err
		}
		r.moves = len(moves)
		for _, move := range moves {
			r.loadedBytes += move.Bytes
		}
		if completions := placement.LoadCompletionTimes(moves, storeBytesPerSecond); len(completions) > 0 {
			r.reloadTime = completions[len(completions)-1]
		}
	}
	r.planned = plan.Flow / r.bound
	for _, sch := range []scheme{flowScheme, equalRoundRobin, equalLeastLoaded} {
		stages := stagesOf(plan)
		if sch != flowScheme {
			stages = equalSplit(f, llm)
		}
		r.achieved[sch] = saturatedThroughput(cl, f, stages, sch, seed, r.bound, opts.measureTime) / r.bound
	}
	return r, nil
}

// remainingStages returns the stages whose engines are still in the fleet.
func remainingStages(stages []pipeline.Stage, f placement.Fleet) []pipeline.Stage {
	present := map[string]bool{}
	for _, e := range f.Engines {
		present[e.Name] = true
	}
	return slices.DeleteFunc(stages, func(s pipeline.Stage) bool { return !present[s.Instance] })
}

// saturatedThroughput returns the work per second, in decode-token equivalents,
// under closed-loop load.
func saturatedThroughput(cl cluster, f placement.Fleet, stages []pipeline.Stage, sch scheme, seed uint64, bound float64, measureTime time.Duration) float64 {
	s := newSim(cl, f, stages, sch, seed, throughputOutput)
	s.saturate(int(bound * streamTokenInterval.Seconds()))
	s.measure(8*time.Second, measureTime)
	return s.stats.decodeWork / measureTime.Seconds()
}

func printThroughput(out io.Writer, lc lossCase, results []throughputResult) {
	fmt.Fprintf(out, "throughput as a fraction of the bound, %d engines, %s\n", fleetEngines, lc.name)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\tbound tokens/s\tplanned\tflow\tequal+round-robin\tequal+least-loaded\tat once\tmoves\tGB loaded\treload s\t")
	worst := results[0]
	sum := map[scheme]float64{}
	minimum := map[scheme]float64{flowScheme: math.Inf(1), equalRoundRobin: math.Inf(1), equalLeastLoaded: math.Inf(1)}
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.0f\t%.0f\t\n", r.seed, r.bound, r.planned,
			r.achieved[flowScheme], r.achieved[equalRoundRobin], r.achieved[equalLeastLoaded], r.beforeReload, r.moves, float64(r.loadedBytes)/1e9, r.reloadTime.Seconds())
		if r.achieved[flowScheme] < worst.achieved[flowScheme] {
			worst = r
		}
		for sch, v := range r.achieved {
			sum[sch] += v / float64(len(results))
			minimum[sch] = min(minimum[sch], v)
		}
	}
	fmt.Fprintf(t, "mean\t\t\t%.3f\t%.3f\t%.3f\t\t\t\t\t\n", sum[flowScheme], sum[equalRoundRobin], sum[equalLeastLoaded])
	fmt.Fprintf(t, "least\t\t\t%.3f\t%.3f\t%.3f\t\t\t\t\t\n", minimum[flowScheme], minimum[equalRoundRobin], minimum[equalLeastLoaded])
	t.Flush()
	fmt.Fprintf(out, "worst fleet: seed %d, %.3f\n\n", worst.seed, worst.achieved[flowScheme])
}
