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
	// offeredLoad is the mean load as a fraction of the upper bound. The load
	// alternates every burstPeriod between offeredLoad*(1+burstAmplitude) and
	// offeredLoad*(1-burstAmplitude).
	offeredLoad      = 0.8
	burstAmplitude   = 0.25
	burstPeriod      = time.Second
	firstTokenTarget = 670 * time.Millisecond
	interTokenTarget = 27 * time.Millisecond
)

// latencyResult holds the 95th-percentile latencies of one fleet.
type latencyResult struct {
	seed                                   uint64
	requests                               int
	firstToken, meanInterToken, interToken time.Duration
	targetAttainment                       float64
}

// latency prints the 95th percentiles of the time to the first token and between tokens under bursts.
func latency(ctx context.Context, opts options) error {
	results := make([]latencyResult, opts.fleets)
	g, _ := errgroup.WithContext(ctx)
	g.SetLimit(workers)
	for i := range results {
		g.Go(func() (err error) {
			results[i], err = simulateLatency(opts, opts.seed+uint64(i))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(opts.out, "latency at %.0f%% of the bound, bursts of ±%.0f%% every %v\n", 100*offeredLoad, 100*burstAmplitude, burstPeriod)
	t := tabwriter.NewWriter(opts.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\trequests\tfirst token p95 ms\tmean gap p95 ms\tsingle gap p95 ms\trequests in target\t")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%d\t%.1f\t%.1f\t%.1f\t%.3f\t\n", r.seed, r.requests,
			milliseconds(r.firstToken), milliseconds(r.meanInterToken), milliseconds(r.interToken), r.targetAttainment)
	}
	return t.Flush()
}

func simulateLatency(opts options, seed uint64) (latencyResult, error) {
	cl := newCluster(seed, fleetEngines, fleetZones, fleetKinds)
	cl.entries = opts.entries
	m := planModel(meanOutput)
	plan, err := placement.MakePlan(cl.fleet, m, planOptions)
	if err != nil {
		return latencyResult{}, err
	}
	bound := placement.FlowUpperBound(cl.fleet, m, planOptions)
	s := newSim(cl, cl.fleet, stagesOf(plan), flowScheme, seed, meanOutput)
	rate := offeredLoad * bound / requestWork(meanPrompt, meanOutput)
	s.generateArrivals(rate, burstAmplitude, burstPeriod, func(e *entry) { e.start(drawPrompt(s.rng), nil) })
	s.measure(10*time.Second, opts.measureTime)
	r := latencyResult{seed: seed, requests: s.stats.requests}
	r.firstToken = percentile(s.stats.firstTokenTimes, 0.95)
	r.meanInterToken = percentile(s.stats.meanInterTokenTimes, 0.95)
	r.interToken = percentile(s.stats.interTokenTimes, 0.95)
	r.targetAttainment = s.stats.targetAttainment()
	return r, nil
}

// targetAttainment returns the fraction of finished requests whose time to first
// token and mean inter-token time met the targets.
func (s *stats) targetAttainment() float64 {
	if len(s.meanInterTokenTimes) == 0 {
		return 0
	}
	return float64(s.metTargets) / float64(len(s.meanInterTokenTimes))
}
