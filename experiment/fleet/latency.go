package fleet

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/sapphirefield/sapphirefield/placement"
	"golang.org/x/sync/errgroup"
)

const (
	// offered is the mean load relative to the bound; bursts alternate every
	// burstPeriod between offered*(1+burstSize) and offered*(1-burstSize).
	offered     = 0.8
	burstSize   = 0.25
	burstPeriod = time.Second
	firstTarget = 670 * time.Millisecond
	gapTarget   = 27 * time.Millisecond
)

// latencyResult is one fleet's latency.
type latencyResult struct {
	seed             uint64
	requests         int
	first, mean, gap time.Duration
	good             float64
}

// latency prints the 95th percentiles of the time to the first token and between tokens under bursts.
func latency(ctx context.Context, c options) error {
	results := make([]latencyResult, c.fleets)
	g, _ := errgroup.WithContext(ctx)
	g.SetLimit(workers)
	for i := range results {
		g.Go(func() (err error) {
			results[i], err = fleetLatency(c, c.seed+uint64(i))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "latency at %.0f%% of the bound, bursts of ±%.0f%% every %v\n", 100*offered, 100*burstSize, burstPeriod)
	t := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\trequests\tfirst token p95 ms\tmean gap p95 ms\tsingle gap p95 ms\trequests in target\t")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%d\t%.1f\t%.1f\t%.1f\t%.3f\t\n", r.seed, r.requests,
			milliseconds(r.first), milliseconds(r.mean), milliseconds(r.gap), r.good)
	}
	return t.Flush()
}

func fleetLatency(c options, seed uint64) (latencyResult, error) {
	w := makeWorld(seed, fleetEngines, fleetZones, fleetKinds)
	w.entries = c.entries
	m := planModel(meanOutput)
	plan, err := placement.MakePlan(w.fleet, m, planOptions)
	if err != nil {
		return latencyResult{}, err
	}
	bound := placement.FlowUpperBound(w.fleet, m, planOptions)
	s := newSim(w, w.fleet, stagesOf(plan), ours, seed, meanOutput)
	rate := offered * bound / requestWork(meanPrompt, meanOutput)
	s.arrivals(rate, burstSize, burstPeriod, func(e *entry) { e.start(drawPrompt(s.rng), nil) })
	s.measure(10*time.Second, c.counted)
	r := latencyResult{seed: seed, requests: s.stats.requests}
	r.first = percentile(s.stats.firsts, 0.95)
	r.mean = percentile(s.stats.means, 0.95)
	r.gap = percentile(s.stats.gaps, 0.95)
	r.good = s.stats.inTarget()
	return r, nil
}

// inTarget is the fraction of finished requests whose first token and mean gap met the targets.
func (s *stats) inTarget() float64 {
	if len(s.means) == 0 {
		return 0
	}
	return float64(s.good) / float64(len(s.means))
}
