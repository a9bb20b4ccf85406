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
	// throughputOutput is a shorter answer than meanOutput, so that more
	// requests begin and end while the experiment counts.
	throughputOutput = 100
	// saturationCadence is the time between tokens that the number of streams is chosen for.
	saturationCadence = 50 * time.Millisecond
	fleetEngines      = 40
	fleetZones        = 3
	fleetKinds        = 4
	// workers bounds how many fleets are simulated at a time.
	workers = 3
)

// fractions are the throughputs of one fleet relative to the bound.
type fractions struct {
	seed    uint64
	bound   float64
	planned float64
	// atOnce is the throughput on the ranges that are left, before any load of weights.
	atOnce float64
	by     map[scheme]float64
	moves  int
	bytes  int64
	reload time.Duration
}

// lossCase is a way in which a fleet loses engines.
type lossCase struct {
	name string
	loss func(w world, seed uint64) placement.Fleet
}

var lossCases = []lossCase{
	{"steady", nil},
	{"an eighth of the engines lost", func(w world, seed uint64) placement.Fleet { return w.without(seed, fleetEngines/8) }},
	{"a zone lost", func(w world, _ uint64) placement.Fleet { return w.withoutZone(zoneName(1)) }},
}

// throughput prints the fraction of the bound for each fleet and scheme.
func throughput(ctx context.Context, c options) error {
	for _, lost := range lossCases {
		results := make([]fractions, c.fleets)
		g, _ := errgroup.WithContext(ctx)
		g.SetLimit(workers)
		for i := range results {
			g.Go(func() (err error) {
				results[i], err = fleetThroughput(c, c.seed+uint64(i), lost)
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		printFractions(c.out, lost, results)
	}
	return nil
}

func fleetThroughput(c options, seed uint64, lost lossCase) (fractions, error) {
	w := makeWorld(seed, fleetEngines, fleetZones, fleetKinds)
	w.entries = c.entries
	m := planModel(throughputOutput)
	plan, err := placement.MakePlan(w.fleet, m, planOptions)
	if err != nil {
		return fractions{}, err
	}
	f := w.fleet
	r := fractions{seed: seed, by: map[scheme]float64{}}
	r.bound = placement.FlowUpperBound(f, m, planOptions)
	if lost.loss != nil {
		f = lost.loss(w, seed)
		r.bound = placement.FlowUpperBound(f, m, planOptions)
		r.atOnce = saturated(w, f, remaining(stagesOf(plan), f), ours, seed, r.bound, c.counted) / r.bound
		var moves []placement.Move
		plan, moves, err = placement.Replan(plan, f, m, planOptions)
		if err != nil {
			return fractions{}, err
		}
		r.moves = len(moves)
		for _, move := range moves {
			r.bytes += move.Bytes
		}
		if ends := placement.LoadCompletionTimes(moves, storeRate); len(ends) > 0 {
			r.reload = ends[len(ends)-1]
		}
	}
	r.planned = plan.Flow / r.bound
	for _, how := range []scheme{ours, equalRR, equalLeast} {
		stages := stagesOf(plan)
		if how != ours {
			stages = equalSplit(f, llm)
		}
		r.by[how] = saturated(w, f, stages, how, seed, r.bound, c.counted) / r.bound
	}
	return r, nil
}

// remaining are the stages whose engines are in the fleet.
func remaining(stages []pipeline.Stage, f placement.Fleet) []pipeline.Stage {
	left := map[string]bool{}
	for _, e := range f.Engines {
		left[e.Name] = true
	}
	return slices.DeleteFunc(stages, func(s pipeline.Stage) bool { return !left[s.Instance] })
}

// saturated returns the work per second under a closed loop.
func saturated(w world, f placement.Fleet, stages []pipeline.Stage, how scheme, seed uint64, bound float64, counted time.Duration) float64 {
	s := newSim(w, f, stages, how, seed, throughputOutput)
	s.saturate(int(bound * saturationCadence.Seconds()))
	s.measure(8*time.Second, counted)
	return s.stats.work / counted.Seconds()
}

func printFractions(out io.Writer, lost lossCase, results []fractions) {
	fmt.Fprintf(out, "throughput as a fraction of the bound, %d engines, %s\n", fleetEngines, lost.name)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\tbound tokens/s\tplanned\tflow\tequal+round-robin\tequal+least-loaded\tat once\tmoves\tGB loaded\treload s\t")
	worst := results[0]
	sum := map[scheme]float64{}
	least := map[scheme]float64{ours: math.Inf(1), equalRR: math.Inf(1), equalLeast: math.Inf(1)}
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.0f\t%.0f\t\n", r.seed, r.bound, r.planned,
			r.by[ours], r.by[equalRR], r.by[equalLeast], r.atOnce, r.moves, float64(r.bytes)/1e9, r.reload.Seconds())
		if r.by[ours] < worst.by[ours] {
			worst = r
		}
		for how, v := range r.by {
			sum[how] += v / float64(len(results))
			least[how] = min(least[how], v)
		}
	}
	fmt.Fprintf(t, "mean\t\t\t%.3f\t%.3f\t%.3f\t\t\t\t\t\n", sum[ours], sum[equalRR], sum[equalLeast])
	fmt.Fprintf(t, "least\t\t\t%.3f\t%.3f\t%.3f\t\t\t\t\t\n", least[ours], least[equalRR], least[equalLeast])
	t.Flush()
	fmt.Fprintf(out, "worst fleet: seed %d, %.3f\n\n", worst.seed, worst.by[ours])
}
