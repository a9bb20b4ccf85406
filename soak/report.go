package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Report holds the results of a soak.
type Report struct {
	Seed uint64

	mu          sync.Mutex
	start       time.Time
	faults      map[string]int
	counts      map[string]int
	seconds     map[int]*requestCounts
	violations  []string
	notExecuted map[string]int
	// returns are the times at which the store came back from an older copy.
	returns []time.Time
}

// requestCounts counts the requests sent within one second.
type requestCounts struct{ sent, served int }

// maxViolations bounds the violations that are kept with their details; further
// ones are only counted.
const maxViolations = 20

func newReport(seed uint64) *Report {
	return &Report{
		Seed: seed, start: time.Now(), faults: map[string]int{}, counts: map[string]int{}, seconds: map[int]*requestCounts{},
		notExecuted: map[string]int{},
	}
}

// addViolation records a violation of an invariant.
func (r *Report) addViolation(invariant, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["violated: "+invariant]++
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf("%.1f s, %s: ", time.Since(r.start).Seconds(), invariant)+fmt.Sprintf(format, args...))
	}
}

func (r *Report) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

func (r *Report) recordStoreReturn(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returns = append(r.returns, at)
}

func (r *Report) storeReturns() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.returns)
}

func (r *Report) countRequests(when string, c requestCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["sent "+when] += c.sent
	r.counts["served "+when] += c.served
}

func (r *Report) recordFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[name]++
}

func (r *Report) recordRequest(sentAt time.Time, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(sentAt.Sub(r.start).Seconds())
	if r.seconds[second] == nil {
		r.seconds[second] = &requestCounts{}
	}
	r.seconds[second].sent++
	if served {
		r.seconds[second].served++
	}
}

func (r *Report) recordNotExecuted(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["refused"]++
	r.notExecuted[id] = status
}

// requestsBetween counts the requests sent between two times, to the second.
func (r *Report) requestsBetween(from, to time.Time) (total requestCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for second, counts := range r.seconds {
		if secondStart := r.start.Add(time.Duration(second) * time.Second); secondStart.Before(from) || !secondStart.Before(to) {
			continue
		}
		total.sent += counts.sent
		total.served += counts.served
	}
	return total
}

// Violations returns the recorded violations, at most maxViolations.
func (r *Report) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// String returns the report as text, with one line per violation.
func (r *Report) String() string {
	total := r.requestsBetween(r.start, time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests sent, %d served", r.Seed, total.sent, total.served)
	for _, counts := range []map[string]int{r.counts, r.faults} {
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(&b, "; %s %d", name, counts[name])
		}
	}
	for _, violation := range r.violations {
		fmt.Fprintf(&b, "\n  violation at %s", violation)
	}
	return b.String()
}
