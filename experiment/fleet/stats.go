package fleet

import (
	"slices"
	"time"
)

// stats holds the results of a simulation. Token and request figures are recorded
// while sim.measuring is set.
type stats struct {
	meanOutput int
	// decodeWork is the work behind the received tokens, in decode-token equivalents.
	decodeWork float64
	// firstTokenTimes and interTokenTimes are per token, meanInterTokenTimes per request.
	firstTokenTimes, interTokenTimes, meanInterTokenTimes []time.Duration
	outages                                               []outageTimes
	requests, refused                                     int
	lostStages                                            int
	// unaffected counts requests that finished before a lost stage could delay them.
	unaffected int
	// metTargets is the number of finished requests that met both latency targets.
	metTargets int
	// popularFirstTokenTimes are the times to first token of requests with a popular prefix.
	popularFirstTokenTimes []time.Duration
	cachedTokens           int
}

// outageTimes holds the duration of each phase of one request's recovery.
type outageTimes struct {
	detection, replacement, replay, total time.Duration
	attempts                              int
}

func (s *sim) recordToken(r *request) {
	if r.receivedTokens == 1 {
		r.firstTokenAt = s.now
	}
	if !s.measuring {
		return
	}
	s.stats.decodeWork++
	if r.receivedTokens > 1 {
		s.stats.interTokenTimes = append(s.stats.interTokenTimes, s.now-r.lastTokenAt)
		return
	}
	s.stats.decodeWork += float64(r.promptTokens) / prefillSpeedup
	s.stats.firstTokenTimes = append(s.stats.firstTokenTimes, s.now-r.arrivedAt)
	if r.popular {
		s.stats.popularFirstTokenTimes = append(s.stats.popularFirstTokenTimes, s.now-r.arrivedAt)
	}
}

func (s *sim) recordRequest(r *request) {
	if s.measuring && r.outputTokens > 1 {
		s.stats.requests++
		mean := (s.now - r.firstTokenAt) / time.Duration(r.outputTokens-1)
		s.stats.meanInterTokenTimes = append(s.stats.meanInterTokenTimes, mean)
		if mean <= interTokenTarget && r.firstTokenAt-r.arrivedAt <= firstTokenTarget {
			s.stats.metTargets++
		}
	}
}

// percentile returns the value at the given fraction of the sorted values, or 0 if there are none.
func percentile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
