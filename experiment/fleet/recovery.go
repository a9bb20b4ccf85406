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

// loss is a way in which stages of a chain are lost.
type loss struct {
	name string
	// pick returns the positions in a chain of n stages that are lost.
	pick func(n int) []int
	kill func(e *engine)
	// copies lets requests use copies of the KV cache.
	copies bool
}

func middle(n int) []int { return []int{n / 2} }

func closeIt(e *engine) { e.dead = true }

var losses = []loss{
	{name: "one stage", pick: middle, kill: closeIt},
	{name: "two stages", pick: func(n int) []int { return []int{n / 2, n - 2} }, kill: closeIt},
	{name: "first stage", pick: func(int) []int { return []int{0} }, kill: closeIt},
	{name: "last stage", pick: func(n int) []int { return []int{n - 1} }, kill: closeIt},
	{name: "hung stage", pick: middle, kill: func(e *engine) { e.hung = true }},
	{name: "stalled engine", pick: middle, kill: func(e *engine) { e.stalled = true }},
	{name: "one stage, KV copy", pick: middle, kill: closeIt, copies: true},
}

const (
	// recoveryLoad is the load relative to the bound when a stage is lost.
	recoveryLoad = 0.7
	recoveryWait = 5 * time.Second
)

// recovery prints the parts of the recovery time for each kind of loss.
func recovery(ctx context.Context, out io.Writer, seed uint64, fleets int) error {
	fmt.Fprintf(out, "recovery in ms (median / 95th percentile), %d fleets, load %.1f of the bound\n", fleets, recoveryLoad)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "loss\trequests\tdetection\treplacement\treplay\ttotal\tmore than one replay\tunfinished\trestart total\t")
	for _, l := range losses {
		resumed, unfinished, err := lossOutages(ctx, l, seed, fleets, false)
		if err != nil {
			return err
		}
		restarted, _, err := lossOutages(ctx, l, seed, fleets, true)
		if err != nil {
			return err
		}
		again := 0
		for _, o := range resumed {
			if o.attempts > 1 {
				again++
			}
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t\n", l.name, len(resumed),
			quantiles(resumed, func(o outageTimes) time.Duration { return o.detection }),
			quantiles(resumed, func(o outageTimes) time.Duration { return o.replace }),
			quantiles(resumed, func(o outageTimes) time.Duration { return o.replay }),
			quantiles(resumed, func(o outageTimes) time.Duration { return o.total }), again, unfinished,
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

// lossOutages gathers the outages of all fleets, and how many requests neither
// recovered nor ended.
func lossOutages(ctx context.Context, l loss, seed uint64, fleets int, restart bool) ([]outageTimes, int, error) {
	results := make([][]outageTimes, fleets)
	unfinished := make([]int, fleets)
	g, _ := errgroup.WithContext(ctx)
	g.SetLimit(workers)
	for i := range results {
		g.Go(func() (err error) {
			results[i], unfinished[i], err = fleetLoss(l, seed+uint64(i), restart)
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

func fleetLoss(l loss, seed uint64, restart bool) ([]outageTimes, int, error) {
	w := makeWorld(seed, fleetEngines, fleetZones, fleetKinds)
	m := planModel(meanOutput)
	plan, err := placement.MakePlan(w.fleet, m, planOptions)
	if err != nil {
		return nil, 0, err
	}
	bound := placement.FlowUpperBound(w.fleet, m, planOptions)
	s := newSim(w, w.fleet, stagesOf(plan), ours, seed, meanOutput)
	s.detect = true
	for _, e := range s.entries {
		e.restart, e.copies = restart, l.copies
	}
	s.arrivals(recoveryLoad*bound/requestWork(meanPrompt, meanOutput), 0, time.Second, func(e *entry) {
		e.start(drawPrompt(s.rng), nil)
	})
	s.runUntil(6*time.Second + time.Duration(s.rng.IntN(100))*time.Millisecond)
	began := s.lose(l)
	s.runUntil(s.now + recoveryWait)
	if restart {
		s.runUntil(s.now + 4*recoveryWait)
	}
	return s.stats.outages, began - len(s.stats.outages) - s.stats.unaffected, nil
}

// lose kills stages of a request in progress and marks all requests that use
// them. It returns their number.
func (s *sim) lose(l loss) int {
	request := s.oldest()
	gone := map[string]bool{}
	for _, pos := range l.pick(len(request.stages)) {
		e := request.stages[max(0, pos)]
		l.kill(e)
		gone[e.stage.Instance] = true
	}
	marked := 0
	for _, entry := range s.entries {
		for _, r := range entry.using(gone) {
			r.outage = &outage{began: s.now}
			marked++
		}
		s.close(entry, gone)
	}
	return marked
}

// close tells an entry that connections to dead engines have ended. The entry
// excludes them from new chains at once and leaves the rest to the detectors.
func (s *sim) close(entry *entry, gone map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(gone)) {
		e := s.engines[name]
		if !e.dead {
			continue
		}
		s.after(s.pipes[[2]string{e.stage.Zone, entry.zone}].delay, func() {
			entry.lost[name] = true
			for _, r := range entry.using(map[string]bool{name: true}) {
				r.detector.ObserveClosed(name, s.time())
				s.watch(r, r.attempt)
			}
		})
	}
}

// oldest is the request in progress with the lowest number.
func (s *sim) oldest() *request {
	var best *request
	for _, e := range s.entries {
		for r := range e.active {
			if best == nil || r.id < best.id {
				best = r
			}
		}
	}
	return best
}
