package burn

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/config"
)

// exportVersion is raised when the widths or the meaning of buckets change.
const exportVersion = 1

// Export holds the counts of one process, or of several merged ones.
type Export struct {
	Version int `json:"version"`
	// Process names the process; it is empty after a merge.
	Process string           `json:"process,omitempty"`
	Series  []ExportedSeries `json:"series"`
}

// ExportedSeries holds the counts of one objective.
type ExportedSeries struct {
	Objective config.Objective `json:"objective"`
	Rings     []ExportedRing   `json:"rings"`
}

// ExportedRing holds the buckets from First to the newest one. The number of a
// bucket is its start divided by the width, counted from the Unix epoch.
type ExportedRing struct {
	WidthSeconds int64   `json:"width_seconds"`
	FirstBucket  int64   `json:"first"`
	Good         []int64 `json:"good"`
	Bad          []int64 `json:"bad"`
}

// Export copies the counts.
func (t *Tracker) Export(process string) Export {
	e := Export{Version: exportVersion, Process: process, Series: []ExportedSeries{}}
	for _, s := range t.series {
		e.Series = append(e.Series, s.export())
	}
	return e
}

func (s *series) export() ExportedSeries {
	out := ExportedSeries{Objective: s.objective}
	for _, r := range s.rings {
		out.Rings = append(out.Rings, r.export())
	}
	return out
}

// export leaves out the empty buckets before the first event.
func (r *ring) export() ExportedRing {
	out := ExportedRing{WidthSeconds: int64(r.width / time.Second), Good: []int64{}, Bad: []int64{}}
	if r.last == 0 {
		return out
	}
	out.FirstBucket = r.last - int64(len(r.buckets)) + 1
	for out.FirstBucket < r.last && *r.at(out.FirstBucket) == (Counts{}) {
		out.FirstBucket++
	}
	for n := out.FirstBucket; n <= r.last; n++ {
		out.Good = append(out.Good, r.at(n).Good)
		out.Bad = append(out.Bad, r.at(n).Bad)
	}
	return out
}

// Decode reads an export and checks that it can be merged.
func Decode(data []byte) (Export, error) {
	var e Export
	if err := json.Unmarshal(data, &e); err != nil {
		return Export{}, err
	}
	if e.Version != exportVersion {
		return Export{}, fmt.Errorf("burn export has version %d; this program reads version %d", e.Version, exportVersion)
	}
	for i, s := range e.Series {
		if err := s.check(); err != nil {
			return Export{}, fmt.Errorf("series[%d] (%s): %w", i, s.Objective.Name, err)
		}
	}
	return e, nil
}

func (s ExportedSeries) check() error {
	if !(s.Objective.Target > 0 && s.Objective.Target < 1) {
		return fmt.Errorf("target %v is not between 0 and 1", s.Objective.Target)
	}
	if len(s.Rings) != len(shapes) {
		return fmt.Errorf("%d rings instead of %d", len(s.Rings), len(shapes))
	}
	for i, r := range s.Rings {
		if err := r.check(shapes[i]); err != nil {
			return fmt.Errorf("rings[%d]: %w", i, err)
		}
	}
	return nil
}

// maxCount keeps the sum over all buckets and thousands of processes within 64 bits.
const maxCount = 1 << 40

func (r ExportedRing) check(s shape) error {
	if time.Duration(r.WidthSeconds)*time.Second != s.width {
		return fmt.Errorf("width %d s instead of %s", r.WidthSeconds, s.width)
	}
	if len(r.Good) != len(r.Bad) || len(r.Good) > s.buckets {
		return fmt.Errorf("%d good and %d bad counts; at most %d are allowed", len(r.Good), len(r.Bad), s.buckets)
	}
	if r.FirstBucket < 0 || r.FirstBucket > maxCount {
		return fmt.Errorf("first bucket %d is out of range", r.FirstBucket)
	}
	for i := range r.Good {
		if r.Good[i] < 0 || r.Good[i] > maxCount || r.Bad[i] < 0 || r.Bad[i] > maxCount {
			return fmt.Errorf("a count of bucket %d is out of range", i)
		}
	}
	return nil
}

// Aggregate holds the merged counts of several processes.
type Aggregate struct {
	series map[config.Objective]*series
}

// Merge adds the exports bucket by bucket. Objectives that differ in any member
// stay apart, because processes may be on different revisions for a moment.
// Buckets after now are dropped: one process whose clock is wrong would
// otherwise push the counts of all others out of the rings.
func Merge(now time.Time, exports ...Export) *Aggregate {
	f := &Aggregate{series: map[config.Objective]*series{}}
	for _, e := range exports {
		for _, s := range e.Series {
			f.add(now, s)
		}
	}
	return f
}

func (f *Aggregate) add(now time.Time, exported ExportedSeries) {
	s := f.series[exported.Objective]
	if s == nil {
		s = newSeries(exported.Objective)
		f.series[exported.Objective] = s
	}
	for i, r := range exported.Rings {
		for n := range r.Good {
			if number := r.FirstBucket + int64(n); number <= s.rings[i].number(now) {
				s.rings[i].addBucket(number, Counts{r.Good[n], r.Bad[n]})
			}
		}
	}
}

// ObjectiveReport is the report of one objective.
type ObjectiveReport struct {
	Objective config.Objective `json:"objective"`
	Windows   []WindowReport   `json:"windows"`
	Alerts    []AlertReport    `json:"alerts"`
}

// WindowReport is the report of one window.
type WindowReport struct {
	Window string `json:"window"`
	Counts
	Rate float64 `json:"rate"`
}

// AlertReport is one alert with its reason.
type AlertReport struct {
	Severity Severity `json:"severity"`
	Reason   string   `json:"reason"`
}

// Report gives one row for each objective, in the order of names.
func (f *Aggregate) Report(now time.Time) []ObjectiveReport {
	rows := []ObjectiveReport{}
	for _, s := range f.sorted() {
		row := ObjectiveReport{Objective: s.objective, Alerts: []AlertReport{}}
		for _, window := range Windows {
			row.Windows = append(row.Windows, WindowReport{short(window), s.counts(now, window), s.rate(now, window)})
		}
		for _, a := range s.alerts(now) {
			row.Alerts = append(row.Alerts, AlertReport{a.Rule.Severity, a.Reason()})
		}
		rows = append(rows, row)
	}
	return rows
}

func (f *Aggregate) sorted() []*series {
	var list []*series
	for _, s := range f.series {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *series) int {
		return compareObjectives(a.objective, b.objective)
	})
	return list
}

// Point is a burn rate at a time.
type Point struct {
	Time time.Time
	Rate float64
}

// History gives the burn rate over the window at the end of each bucket of the
// ring that covers the span, for a plot.
func (f *Aggregate) History(objective config.Objective, now time.Time, window, span time.Duration) []Point {
	s := f.series[objective]
	if s == nil {
		return nil
	}
	r := s.rings[ringFor(span)]
	var points []Point
	for at := now.Add(-span + window).Truncate(r.width); !at.After(now); at = at.Add(r.width) {
		rate := r.sum(at, window).ratio() / (1 - objective.Target)
		points = append(points, Point{at, rate})
	}
	return points
}

func compareObjectives(a, b config.Objective) int {
	return cmp.Or(
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Target, b.Target),
		cmp.Compare(a.Threshold, b.Threshold),
		cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)),
	)
}
