// Package demand adds up the work that the entries of a fleet have for each model, by
// urgency: what waits for a path, what was started and what was refused. An entry
// decides with the sums how much room it leaves to more urgent requests, which may
// wait at other entries.
//
// It answers urgent and less urgent requests that arrive at many entries at the same
// time, of which each has few. It performs no I/O, reads no clock and is not safe for
// concurrent use.
package demand

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxModels and MaxUrgencies bound a report, and MaxUrgency and MaxTokens its
	// values.
	MaxModels    = 16
	MaxUrgencies = 16
	MaxUrgency   = 1 << 20
	MaxTokens    = 1 << 30
	// ReportTTL is how long a report is valid. An entry that is silent for longer is
	// presumed to have terminated along with its requests.
	ReportTTL = time.Second
	// maxEntries bounds the memory of a Book.
	maxEntries = 4096
	// comparableEntries is the number of entries from which on one of them can be
	// measured by the others.
	comparableEntries = 3
)

// UrgencyOf returns the urgency of a request, 0 for the most urgent: ranks come first,
// and in a rank the teams that are not over their share.
func UrgencyOf(rank int, overShare bool) int {
	if overShare {
		return 2*rank + 1
	}
	return 2 * rank
}

// ModelID identifies a model in a report; it is shorter than the name.
type ModelID uint32

// IDOf returns the ID of a model.
func IDOf(model string) ModelID { return ModelID(xxhash.Sum64String(model)) }

// Load is the work of one urgency, in tokens.
type Load struct {
	Urgency int
	// Waiting is the work of requests that wait for a path. Started is the work per
	// second of requests that have begun, Refused of those refused for lack of a path,
	// and Denied of those refused for lack of a retry.
	Waiting, Started, Refused, Denied float64
}

// Resource is what requests may lack.
type Resource int

// The resources.
const (
	Room Resource = iota
	Retries
)

// unserved returns the work of the last second that lacked a resource.
func (l Load) unserved(r Resource) float64 {
	if r == Retries {
		return l.Denied
	}
	return l.Waiting + l.Refused
}

func (l Load) bounded() Load {
	for _, v := range []*float64{&l.Waiting, &l.Started, &l.Refused, &l.Denied} {
		*v = min(max(*v, 0), MaxTokens)
	}
	return l
}

// Report is the load of an entry by model.
type Report map[ModelID][]Load

// Bounded returns the report without empty loads, with one load for each urgency, within
// the bounds of its size. The most urgent loads stay.
func (r Report) Bounded() Report {
	out := Report{}
	for _, model := range r.Models() {
		if loads := boundedLoads(r[model]); len(loads) > 0 && len(out) < MaxModels {
			out[model] = loads
		}
	}
	return out
}

func boundedLoads(all []Load) []Load {
	var loads []Load
	for _, l := range all {
		if l = l.bounded(); l.Urgency >= 0 && l.Urgency <= MaxUrgency && l.Waiting+l.Started+l.Refused+l.Denied > 0 {
			loads = append(loads, l)
		}
	}
	slices.SortStableFunc(loads, func(a, b Load) int { return cmp.Compare(a.Urgency, b.Urgency) })
	loads = slices.CompactFunc(loads, func(a, b Load) bool { return a.Urgency == b.Urgency })
	return loads[:min(len(loads), MaxUrgencies)]
}

// Models returns the models of a report in a fixed order.
func (r Report) Models() []ModelID {
	models := make([]ModelID, 0, len(r))
	for model := range r {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}

// Total is the load of one urgency over all entries.
type Total struct {
	Urgency           int
	Unserved, Started float64
	// Entries is the number of entries that have unserved work.
	Entries int
}

// Book holds the latest report of each other entry.
type Book struct {
	reports map[string]entryReport
}

type entryReport struct {
	report     Report
	receivedAt time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{reports: map[string]entryReport{}} }

// Observe replaces the report of an entry. An empty one removes it.
func (b *Book) Observe(now time.Time, entry string, r Report) {
	if len(r) == 0 {
		delete(b.reports, entry)
		return
	}
	if _, known := b.reports[entry]; !known && len(b.reports) >= maxEntries {
		b.forgetSilent(now)
		if len(b.reports) >= maxEntries {
			return
		}
	}
	b.reports[entry] = entryReport{r.Bounded(), now}
}

func (b *Book) forgetSilent(now time.Time) {
	for entry, r := range b.reports {
		if now.Sub(r.receivedAt) > ReportTTL {
			delete(b.reports, entry)
		}
	}
}

// Totals adds up what the loads of a model lack of a resource, over this entry, whose own loads are given, and
// all others, by increasing urgency number. The started work that one other entry
// reports counts at most as much as that of all the rest, so that one entry with wrong
// figures cannot hide what the others lack.
func (b *Book) Totals(now time.Time, model ModelID, lacking Resource, own []Load) []Total {
	b.forgetSilent(now)
	sums := map[int]*sum{}
	addLoads(sums, lacking, own, true)
	for _, r := range b.reports {
		addLoads(sums, lacking, r.report[model], false)
	}
	totals := make([]Total, 0, len(sums))
	for urgency, s := range sums {
		totals = append(totals, Total{urgency, s.unserved, s.boundedStarted(), s.lacking})
	}
	slices.SortFunc(totals, func(a, b Total) int { return cmp.Compare(a.Urgency, b.Urgency) })
	return totals
}

// sum adds up the loads of one urgency.
type sum struct {
	unserved, started, largestStarted float64
	// entries is the number of entries added, lacking that of those with unserved work.
	entries, lacking int
}

func addLoads(sums map[int]*sum, lacking Resource, loads []Load, own bool) {
	for _, l := range loads {
		s := sums[l.Urgency]
		if s == nil {
			s = &sum{}
			sums[l.Urgency] = s
		}
		s.entries++
		s.unserved += l.unserved(lacking)
		s.started += l.Started
		if l.unserved(lacking) > 0 {
			s.lacking++
		}
		if !own {
			s.largestStarted = max(s.largestStarted, l.Started)
		}
	}
}

func (s *sum) boundedStarted() float64 {
	rest := s.started - s.largestStarted
	if s.entries < comparableEntries {
		return s.started
	}
	return rest + min(s.largestStarted, rest)
}
