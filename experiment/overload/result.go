package overload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// result holds the figures of one run, without its warm-up.
type result struct {
	seconds float64
	teams   map[string]*teamResult
	// firstTokens holds, by request, the time from admission to the first token.
	firstTokens   map[string]time.Duration
	shedDelay     *hdrhistogram.Histogram
	started       int
	loads, busies []float64
	entryRunning  []float64
}

// teamResult holds the figures of one team. Offered requests are counted when
// they end in some way, so that the parts add up.
type teamResult struct {
	shed, left, failed, completed, good int
	firstToken                          *hdrhistogram.Histogram
}

// Histograms hold microseconds up to a minute.
const longestMicros = 60_000_000

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestMicros, 3)
}

func newResult(s scenario) *result {
	return &result{
		seconds: s.length.Seconds(), teams: map[string]*teamResult{}, firstTokens: map[string]time.Duration{},
		shedDelay: newHistogram(), entryRunning: make([]float64, s.entries),
	}
}

func (r *result) team(name string) *teamResult {
	t := r.teams[name]
	if t == nil {
		t = &teamResult{firstToken: newHistogram()}
		r.teams[name] = t
	}
	return t
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped, so it is always in range.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestMicros))
}

func (r *result) shed(q *request, m *sim) {
	if m.measured() {
		r.team(q.team.name).shed++
		record(r.shedDelay, m.now.Sub(q.arrived))
	}
}

func (r *result) left(q *request, m *sim) {
	if m.measured() {
		r.team(q.team.name).left++
		record(r.team(q.team.name).firstToken, m.now.Sub(q.arrived))
	}
}

func (r *result) attempts(m *sim) {
	if m.measured() {
		r.started++
	}
}

func (r *result) answered(q *request, m *sim) {
	r.firstTokens[q.id] = m.now.Sub(q.admitted)
	if !m.measured() {
		return
	}
	t := r.team(q.team.name)
	waited := m.now.Sub(q.arrived)
	record(t.firstToken, waited)
	if waited <= firstTokenTarget {
		t.good++
	}
}

func (r *result) finished(q *request, m *sim, completed bool) {
	if !m.measured() {
		return
	}
	if completed {
		r.team(q.team.name).completed++
		return
	}
	r.team(q.team.name).failed++
}

func (r *result) load(load, busy float64) {
	r.loads = append(r.loads, load)
	r.busies = append(r.busies, busy)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

func highest(values []float64) float64 {
	top := 0.0
	for _, v := range values {
		top = max(top, v)
	}
	return top
}

// sum joins the teams that the filter accepts.
func (r *result) sum(accept func(name string) bool) *teamResult {
	total := &teamResult{firstToken: newHistogram()}
	for name, t := range r.teams {
		if !accept(name) {
			continue
		}
		total.shed += t.shed
		total.left += t.left
		total.failed += t.failed
		total.completed += t.completed
		total.good += t.good
		total.firstToken.Merge(t.firstToken)
	}
	return total
}

func everyTeam(string) bool { return true }

func (t *teamResult) offered() int {
	return t.shed + t.left + t.failed + t.completed
}

func (t *teamResult) quantile(q float64) time.Duration {
	return time.Duration(t.firstToken.ValueAtQuantile(q)) * time.Microsecond
}

// part is n as a percentage of what was offered.
func (t *teamResult) part(n int) float64 {
	return 100 * float64(n) / float64(max(t.offered(), 1))
}
