package fleet

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

// caseLoad is the load of the single cases as a fraction of the upper bound.
const caseLoad = 0.7

// newCaseSim returns the simulation of one fleet and its request rate at caseLoad.
func newCaseSim(seed uint64) (*sim, float64, error) {
	cl := newCluster(seed, fleetEngines, fleetZones, fleetKinds)
	m := planModel(meanOutput)
	plan, err := placement.MakePlan(cl.fleet, m, planOptions)
	if err != nil {
		return nil, 0, err
	}
	s := newSim(cl, cl.fleet, stagesOf(plan), flowScheme, seed, meanOutput)
	return s, caseLoad * placement.FlowUpperBound(cl.fleet, m, planOptions) / requestWork(meanPrompt, meanOutput), nil
}

// cases prints a table with one row for each variant of each case.
func cases(out io.Writer, seed uint64, measureTime time.Duration) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "case\tvariant\trequests\tfirst token p95 ms\tmean gap p95 ms\tin target\tother")
	for _, run := range []func(*tabwriter.Writer, uint64, time.Duration) error{slowLink, busyEngine, popularPrefix, cacheGaps} {
		if err := run(t, seed, measureTime); err != nil {
			return err
		}
	}
	return t.Flush()
}

func writeRow(t *tabwriter.Writer, name, variant string, s *sim, other string) {
	fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.1f\t%.3f\t%s\n", name, variant, s.stats.requests,
		milliseconds(percentile(s.stats.firstTokenTimes, 0.95)), milliseconds(percentile(s.stats.meanInterTokenTimes, 0.95)), s.stats.targetAttainment(), other)
}

// slowLink reduces the bandwidth of the busiest inter-zone link to a tenth in ten steps.
func slowLink(t *tabwriter.Writer, seed uint64, measureTime time.Duration) error {
	for _, variant := range []string{"steady", "links measured", "links not measured"} {
		s, rate, err := newCaseSim(seed)
		if err != nil {
			return err
		}
		for _, e := range s.entries {
			e.ignoreLinkTimes = variant == "links not measured"
		}
		s.generateArrivals(rate, 0, time.Second, func(e *entry) { e.start(drawPrompt(s.rng), nil) })
		s.runUntil(5 * time.Second)
		slowed := s.busiestLink()
		if variant != "steady" {
			fullBandwidth := slowed.bytesPerSecond
			for i := 1; i <= 10; i++ {
				s.after(time.Duration(i)*500*time.Millisecond, func() { slowed.bytesPerSecond = fullBandwidth * (1 - 0.09*float64(i)) })
			}
		}
		s.measure(6*time.Second, measureTime)
		writeRow(t, "link slows to a tenth", variant, s, fmt.Sprintf("link was %.0f MB/s", slowed.bytesPerSecond/1e6))
	}
	return nil
}

func (s *sim) busiestLink() *link {
	var keys [][2]string
	for key := range s.links {
		if key[0] != key[1] {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	busiest := s.links[keys[0]]
	for _, key := range keys {
		if s.links[key].sentBytes > busiest.sentBytes {
			busiest = s.links[key]
		}
	}
	return busiest
}

// busyEngine makes one engine four times slower for two seconds.
func busyEngine(t *tabwriter.Writer, seed uint64, measureTime time.Duration) error {
	s, rate, err := newCaseSim(seed)
	if err != nil {
		return err
	}
	s.detectLosses = true
	s.generateArrivals(rate, 0, time.Second, func(e *entry) { e.start(drawPrompt(s.rng), nil) })
	s.runUntil(8 * time.Second)
	e := s.oldestRequest().stages[1]
	e.slowdown = 4
	s.after(2*time.Second, func() { e.slowdown = 1 })
	s.measure(0, measureTime)
	writeRow(t, "busy engine", "4 times slower for 2 s", s, fmt.Sprintf("stages found lost: %d (target 0)", s.stats.lostStages))
	return nil
}

const (
	popularFraction     = 0.3
	popularPrefixTokens = 1500
	firstPopularHash    = 7
)

// popularPrefix gives a fraction of the requests one long common prompt prefix.
func popularPrefix(t *tabwriter.Writer, seed uint64, measureTime time.Duration) error {
	for _, variant := range []string{"hints used", "hints not used"} {
		s, err := newPrefixSim(seed, 0, variant == "hints used", 1)
		if err != nil {
			return err
		}
		s.measure(8*time.Second, measureTime)
		writeRow(t, "popular prefix", variant, s, s.prefixSummary())
	}
	return nil
}

// cacheGaps drops none, a fifth or all of the cache events, with twice as many
// prefixes as an engine caches.
func cacheGaps(t *tabwriter.Writer, seed uint64, measureTime time.Duration) error {
	for _, eventLossRate := range []float64{0, 0.2, 1} {
		s, err := newPrefixSim(seed, eventLossRate, true, 2*prefixCacheSize)
		if err != nil {
			return err
		}
		s.measure(8*time.Second, measureTime)
		writeRow(t, "cache events with gaps", fmt.Sprintf("%.0f%% lost", 100*eventLossRate), s, s.prefixSummary())
	}
	return nil
}

// newPrefixSim returns a simulation in which a fraction of the requests starts
// with one of prefixCount common prefixes.
func newPrefixSim(seed uint64, eventLossRate float64, hints bool, prefixCount int) (*sim, error) {
	s, rate, err := newCaseSim(seed)
	if err != nil {
		return nil, err
	}
	s.cacheEventLossRate = eventLossRate
	if !hints {
		s.cacheEventLossRate = 1
	}
	s.generateArrivals(rate*requestWork(meanPrompt, meanOutput)/requestWork(meanPrompt+int(popularFraction*popularPrefixTokens), meanOutput), 0, time.Second,
		func(e *entry) {
			prompt := drawPrompt(s.rng)
			if s.rng.Float64() >= popularFraction {
				e.start(prompt, nil)
				return
			}
			hash := firstPopularHash + uint64(s.rng.IntN(prefixCount))
			r := e.start(prompt+popularPrefixTokens, []pipeline.Prefix{{Hash: hash, Tokens: popularPrefixTokens}})
			if r != nil {
				r.popular = true
			}
		})
	return s, nil
}

// prefixSummary returns how much prefill was saved and how uneven the load was.
func (s *sim) prefixSummary() string {
	worst := 0.0
	total := 0.0
	for _, e := range s.engineList {
		load := float64(e.runningRequests) / e.tokensPerSecond
		total += load
		worst = max(worst, load)
	}
	return fmt.Sprintf("popular first token p95 %.1f ms, prompt tokens saved %d, most loaded engine %.2f of the mean",
		milliseconds(percentile(s.stats.popularFirstTokenTimes, 0.95)), s.stats.cachedTokens, worst*float64(len(s.engineList))/total)
}
