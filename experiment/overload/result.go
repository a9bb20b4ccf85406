package overload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// result holds the statistics of one run, excluding its warm-up.
type result struct {
	seconds float64
	teams   map[string]*teamResult
	// firstTokenTimes maps request IDs to the time from admission to the first
	// token. Unlike the other statistics it includes the warm-up.
	firstTokenTimes          map[string]time.Duration
	shedDelay                *hdrhistogram.Histogram
	attemptCount             int
	loadSamples, busySamples []float64
	runningByEntry           []float64
}

// teamResult holds the statistics of one team. A request is counted when it ends,
// whatever the outcome, so that the outcomes add up to the offered requests.
type teamResult struct {
	shed, abandoned, failed, completed, withinTarget int
	firstTokenHistogram                              *hdrhistogram.Histogram
}

// maxMicroseconds is the upper limit of the histograms: one minute.
const maxMicroseconds = 60_000_000

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, 3)
}

func newResult(s scenario) *result {
	return &result{
		seconds: s.length.Seconds(), teams: map[string]*teamResult{}, firstTokenTimes: map[string]time.Duration{},
		shedDelay: newHistogram(), runningByEntry: make([]float64, s.entries),
	}
}

func (r *result) team(name string) *teamResult {
	t := r.teams[name]
	if t == nil {
		t = &teamResult{firstTokenHistogram: newHistogram()}
		r.teams[name] = t
	}
	return t
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the histogram's range, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

func (r *result) recordShed(q *request, m *sim) {
	if m.measuring() {
		r.team(q.team.name).shed++
		record(r.shedDelay, m.now.Sub(q.arrived))
	}
}

func (r *result) recordAbandoned(q *request, m *sim) {
	if m.measuring() {
		r.team(q.team.name).abandoned++
		record(r.team(q.team.name).firstTokenHistogram, m.now.Sub(q.arrived))
	}
}

func (r *result) recordAttempt(m *sim) {
	if m.measuring() {
		r.attemptCount++
	}
}

func (r *result) recordFirstToken(q *request, m *sim) {
	r.firstTokenTimes[q.id] = m.now.Sub(q.admitted)
	if !m.measuring() {
		return
	}
	t := r.team(q.team.name)
	waited := m.now.Sub(q.arrived)
	record(t.firstTokenHistogram, waited)
	if waited <= firstTokenTarget {
		t.withinTarget++
	}
}

func (r *result) recordFinished(q *request, m *sim, completed bool) {
	if !m.measuring() {
		return
	}
	if completed {
		r.team(q.team.name).completed++
		return
	}
	r.team(q.team.name).failed++
}

func (r *result) recordLoad(load, busy float64) {
	r.loadSamples = append(r.loadSamples, load)
	r.busySamples = append(r.busySamples, busy)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

func maximum(values []float64) float64 {
	largest := 0.0
	for _, v := range values {
		largest = max(largest, v)
	}
	return largest
}

// merge returns the combined statistics of the teams that accept selects.
func (r *result) merge(accept func(name string) bool) *teamResult {
	total := &teamResult{firstTokenHistogram: newHistogram()}
	for name, t := range r.teams {
		if !accept(name) {
			continue
		}
		total.shed += t.shed
		total.abandoned += t.abandoned
		total.failed += t.failed
		total.completed += t.completed
		total.withinTarget += t.withinTarget
		total.firstTokenHistogram.Merge(t.firstTokenHistogram)
	}
	return total
}

func allTeams(string) bool { return true }

func (t *teamResult) offered() int {
	return t.shed + t.abandoned + t.failed + t.completed
}

func (t *teamResult) quantile(q float64) time.Duration {
	return time.Duration(t.firstTokenHistogram.ValueAtQuantile(q)) * time.Microsecond
}

// percentOfOffered returns n as a percentage of the offered requests.
func (t *teamResult) percentOfOffered(n int) float64 {
	return 100 * float64(n) / float64(max(t.offered(), 1))
}
