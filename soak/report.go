package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Report is what a soak has seen.
type Report struct {
	Seed uint64

	mu       sync.Mutex
	began    time.Time
	faults   map[string]int
	counts   map[string]int
	seconds  map[int]*second
	promises []string
	notRun   map[string]int
}

// second counts the requests that began in a second.
type second struct{ asked, served int }

// maxFindings bounds the broken promises that are kept in words.
const maxFindings = 20

func newReport(seed uint64) *Report {
	return &Report{
		Seed: seed, began: time.Now(), faults: map[string]int{}, counts: map[string]int{}, seconds: map[int]*second{},
		notRun: map[string]int{},
	}
}

// broken takes a broken promise.
func (r *Report) broken(promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["broken: "+promise]++
	if len(r.promises) < maxFindings {
		r.promises = append(r.promises, fmt.Sprintf("%.1f s, %s: ", time.Since(r.began).Seconds(), promise)+fmt.Sprintf(format, args...))
	}
}

func (r *Report) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

func (r *Report) fault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[kind]++
}

func (r *Report) outcome(began time.Time, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := int(began.Sub(r.began).Seconds())
	if r.seconds[at] == nil {
		r.seconds[at] = &second{}
	}
	r.seconds[at].asked++
	if served {
		r.seconds[at].served++
	}
}

func (r *Report) refused(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["refused"]++
	r.notRun[id] = status
}

// between returns the requests that began between two times.
func (r *Report) between(from, to time.Time) (total second) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for at, s := range r.seconds {
		if moment := r.began.Add(time.Duration(at) * time.Second); moment.Before(from) || !moment.Before(to) {
			continue
		}
		total.asked += s.asked
		total.served += s.served
	}
	return total
}

// Violations returns the broken promises.
func (r *Report) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.promises)
}

// String returns the report as text.
func (r *Report) String() string {
	total := r.between(r.began, time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests answered, %d served", r.Seed, total.asked, total.served)
	for _, names := range []map[string]int{r.counts, r.faults} {
		for _, name := range slices.Sorted(maps.Keys(names)) {
			fmt.Fprintf(&b, "; %s %d", name, names[name])
		}
	}
	for _, finding := range r.promises {
		fmt.Fprintf(&b, "\n  broken at %s", finding)
	}
	return b.String()
}
