package fleet

import (
	"slices"
	"time"
)

// stats are collected while sim.counting is set.
type stats struct {
	meanOutput int
	// work is what the entries received, in decode tokens of work.
	work float64
	// firsts are times to the first token, gaps times between tokens, means a request's mean gap.
	firsts, gaps, means []time.Duration
	outages             []outageTimes
	requests, refused   int
	lossVerdicts        int
	// unaffected counts requests that ended before the loss of a stage mattered.
	unaffected int
	// good counts finished requests that met both latency targets.
	good int
	// popularFirsts are the first-token times of requests with a popular prefix.
	popularFirsts []time.Duration
	cachedTokens  int
}

// outageTimes are the parts of one request's recovery.
type outageTimes struct {
	detection, replace, replay, total time.Duration
	attempts                          int
}

func (s *sim) tokenStats(r *request) {
	if r.receivedCount == 1 {
		r.first = s.now
	}
	if !s.counting {
		return
	}
	s.stats.work++
	if r.receivedCount > 1 {
		s.stats.gaps = append(s.stats.gaps, s.now-r.last)
		return
	}
	s.stats.work += float64(r.prompt) / prefillSpeedup
	s.stats.firsts = append(s.stats.firsts, s.now-r.arrived)
	if r.popular {
		s.stats.popularFirsts = append(s.stats.popularFirsts, s.now-r.arrived)
	}
}

func (s *sim) requestStats(r *request) {
	if s.counting && r.output > 1 {
		s.stats.requests++
		mean := (s.now - r.first) / time.Duration(r.output-1)
		s.stats.means = append(s.stats.means, mean)
		if mean <= gapTarget && r.first-r.arrived <= firstTarget {
			s.stats.good++
		}
	}
}

// percentile is the smallest value that is not below a fraction of the values.
func percentile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
