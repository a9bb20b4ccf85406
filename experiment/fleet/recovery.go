package fleet

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/sapphirefield/sapphirefield/placement"
	"golang.org/x/sync/errgroup"
)

// loss describes which stages of a chain fail and how.
type loss struct {
	name string
	// positions returns the indices of the lost stages in a chain of n stages.
	positions  func(n int) []int
	failEngine func(e *engine)
	// copies lets requests resume from copies of the KV cache.
	copies bool
}

func middleStage(n int) []int { return []int{n / 2} }

func killProcess(e *engine) { e.dead = true }

var losses = []loss{
	{name: "one stage", positions: middleStage, failEngine: killProcess},
	{name: "two stages", positions: func(n int) []int { return []int{n / 2, n - 2} }, failEngine: killProcess},
	{name: "first stage", positions: func(int) []int { return []int{0} }, failEngine: killProcess},
	{name: "last stage", positions: func(n int) []int { return []int{n - 1} }, failEngine: killProcess},
	{name: "hung stage", positions: middleStage, failEngine: func(e *engine) { e.hung = true }},
	{name: "stalled engine", positions: middleStage, failEngine: func(e *engine) { e.stalled = true }},
	{name: "one stage, KV copy", positions: middleStage, failEngine: killProcess, copies: true},
}

const (
	// recoveryLoad is the load as a fraction of the upper bound when a stage is lost.
	recoveryLoad = 0.7
	// recoveryTime is how long the simulation runs after the loss.
	recoveryTime = 5 * time.Second
)

// recovery prints the recovery time and its phases for each kind of loss.
func recovery(ctx context.Context, out io.Writer, seed uint64, fleets int) error {
	fmt.Fprintf(out, "recovery in ms (median / 95th percentile), %d fleets, load %.1f of the bound\n", fleets, recoveryLoad)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "loss\trequests\tdetection\treplacement\treplay\ttotal\tmore than one replay\tunfinished\trestart total\t")
	for _, l := range losses {
		resumed, unfinished, err := collectOutages(ctx, l, seed, fleets, false)
		if err != nil {
			return err
		}
		restarted, _, err := collectOutages(ctx, l, seed, fleets, true)
		if err != nil {
			return err
		}
		multipleAttempts := 0
		for _, o := range resumed {
			if o.attempts > 1 {
				multipleAttempts++
			}
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t\n", l.name, len(resumed),
			quantiles(resumed, func(o outageTimes) time.Duration { return o.detection }),
			quantiles(resumed, func(o outageTimes) time.Duration { return o.replacement }),
			quantiles(resumed, func(o outageTimes) time.Duration { return o.replay }),
			quantiles(resumed, func(o outageTimes) time.Duration { return o.total }), multipleAttempts, unfinished,
			quantiles(restarted, func(o outageTimes) time.Duration { return o.total }))
	}
	return t.Flush()
}

func quantiles(outages []outageTimes, part func(outageTimes) time.Duration) string {
	var values []time.Duration
	for _, o := range outages {
		values = append(values, part(o))
	}
	return fmt.Sprintf("%.0f / %.0f", milliseconds(percentile(values, 0.5)), milliseconds(percentile(values, 0.95)))
}

// collectOutages returns the outages of all fleets, and the number of affected
// requests that neither recovered nor finished.
func collectOutages(ctx context.Context, l loss, seed uint64, fleets int, restart bool) ([]outageTimes, int, error) {
	results := make([][]outageTimes, fleets)
	unfinished := make([]int, fleets)
	g, _ := errgroup.WithContext(ctx)
	g.SetLimit(workers)
	for i := range results {
		g.Go(func() (err error) {
			results[i], unfinished[i], err = simulateLoss(l, seed+uint64(i), restart)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, 0, err
	}
	total := 0
	for _, n := range unfinished {
		total += n
	}
	return slices.Concat(results...), total, nil
}

func simulateLoss(l loss, seed uint64, restart bool) ([]outageTimes, int, error) {
	cl := newCluster(seed, fleetEngines, fleetZones, fleetKinds)
	m := planModel(meanOutput)
	plan, err := placement.MakePlan(cl.fleet, m, planOptions)
	if err != nil {
		return nil, 0, err
	}
	bound := placement.FlowUpperBound(cl.fleet, m, planOptions)
	s := newSim(cl, cl.fleet, stagesOf(plan), flowScheme, seed, meanOutput)
	s.detectLosses = true
	for _, e := range s.entries {
		e.restartAfterLoss, e.useKVCopies = restart, l.copies
	}
	s.generateArrivals(recoveryLoad*bound/requestWork(meanPrompt, meanOutput), 0, time.Second, func(e *entry) {
		e.start(drawPrompt(s.rng), nil)
	})
	s.runUntil(6*time.Second + time.Duration(s.rng.IntN(100))*time.Millisecond)
	affected := s.injectLoss(l)
	s.runUntil(s.now + recoveryTime)
	if restart {
		s.runUntil(s.now + 4*recoveryTime)
	}
	return s.stats.outages, affected - len(s.stats.outages) - s.stats.unaffected, nil
}

// injectLoss fails stages of a request in progress and starts an outage for every
// request that uses them. It returns the number of affected requests.
func (s *sim) injectLoss(l loss) int {
	request := s.oldestRequest()
	failed := map[string]bool{}
	for _, pos := range l.positions(len(request.stages)) {
		e := request.stages[max(0, pos)]
		l.failEngine(e)
		failed[e.stage.Instance] = true
	}
	affected := 0
	for _, entry := range s.entries {
		for _, r := range entry.requestsUsing(failed) {
			r.outage = &outage{beganAt: s.now}
			affected++
		}
		s.notifyClosed(entry, failed)
	}
	return affected
}

// notifyClosed notifies an entry that its connections to dead engines have closed.
// The entry excludes these engines from new chains immediately; the detectors
// decide about requests in progress.
func (s *sim) notifyClosed(entry *entry, failed map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(failed)) {
		e := s.engines[name]
		if !e.dead {
			continue
		}
		s.after(s.links[[2]string{e.stage.Zone, entry.zone}].delay, func() {
			entry.lost[name] = true
			for _, r := range entry.requestsUsing(map[string]bool{name: true}) {
				r.detector.ObserveClosed(name, s.time())
				s.tickDetector(r, r.attempt)
			}
		})
	}
}

// oldestRequest returns the request in progress with the lowest ID.
func (s *sim) oldestRequest() *request {
	var oldest *request
	for _, e := range s.entries {
		for r := range e.active {
			if oldest == nil || r.id < oldest.id {
				oldest = r
			}
		}
	}
	return oldest
}
