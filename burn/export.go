package burn

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/config"
)

// exportVersion is incremented when the widths or the meaning of the buckets
// change.
const exportVersion = 1

// Export is the serialized form of the counts of one process, or of several
// merged ones.
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

// ExportedRing holds the buckets from FirstBucket to the newest one. The number
// of a bucket is its start time since the Unix epoch divided by the width.
type ExportedRing struct {
	WidthSeconds int64   `json:"width_seconds"`
	FirstBucket  int64   `json:"first"`
	Good         []int64 `json:"good"`
	Bad          []int64 `json:"bad"`
}

// Export returns a copy of the counts, with process as the name of the process.
func (t *Tracker) Export(process string) Export {
	e := Export{Version: exportVersion, Process: process, Series: []ExportedSeries{}}
	for _, s := range t.series {
		e.Series = append(e.Series, s.export())
	}
	return e
}

func (s *series) export() ExportedSeries {
	exported := ExportedSeries{Objective: s.objective}
	for _, r := range s.rings {
		exported.Rings = append(exported.Rings, r.export())
	}
	return exported
}

// export omits the empty buckets before the first event.
func (r *ring) export() ExportedRing {
	exported := ExportedRing{WidthSeconds: int64(r.width / time.Second), Good: []int64{}, Bad: []int64{}}
	if r.newest == 0 {
		return exported
	}
	exported.FirstBucket = r.newest - int64(len(r.buckets)) + 1
	for exported.FirstBucket < r.newest && *r.bucket(exported.FirstBucket) == (Counts{}) {
		exported.FirstBucket++
	}
	for n := exported.FirstBucket; n <= r.newest; n++ {
		exported.Good = append(exported.Good, r.bucket(n).Good)
		exported.Bad = append(exported.Bad, r.bucket(n).Bad)
	}
	return exported
}

// Decode parses an export in JSON and validates it for Merge.
func Decode(data []byte) (Export, error) {
	var e Export
	if err := json.Unmarshal(data, &e); err != nil {
		return Export{}, err
	}
	if e.Version != exportVersion {
		return Export{}, fmt.Errorf("burn export has version %d; this program reads version %d", e.Version, exportVersion)
	}
	for i, s := range e.Series {
		if err := s.validate(); err != nil {
			return Export{}, fmt.Errorf("series[%d] (%s): %w", i, s.Objective.Name, err)
		}
	}
	return e, nil
}

func (s ExportedSeries) validate() error {
	if !(s.Objective.Target > 0 && s.Objective.Target < 1) {
		return fmt.Errorf("target %v is not between 0 and 1", s.Objective.Target)
	}
	if len(s.Rings) != len(ringLayouts) {
		return fmt.Errorf("%d rings instead of %d", len(s.Rings), len(ringLayouts))
	}
	for i, r := range s.Rings {
		if err := r.validate(ringLayouts[i]); err != nil {
			return fmt.Errorf("rings[%d]: %w", i, err)
		}
	}
	return nil
}

// maxCount limits the count of a bucket, so that the sum over all buckets and
// thousands of processes does not overflow 64 bits.
const maxCount = 1 << 40

func (r ExportedRing) validate(layout ringLayout) error {
	if time.Duration(r.WidthSeconds)*time.Second != layout.width {
		return fmt.Errorf("width %d s instead of %s", r.WidthSeconds, layout.width)
	}
	if len(r.Good) != len(r.Bad) || len(r.Good) > layout.buckets {
		return fmt.Errorf("%d good and %d bad counts; at most %d are allowed", len(r.Good), len(r.Bad), layout.buckets)
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

// Merge adds the exports bucket by bucket. Objectives that differ in any field
// are kept separate, because processes may briefly have different configuration
// revisions. Buckets after now are dropped; otherwise one process with a fast
// clock would evict the counts of all others from the rings.
func Merge(now time.Time, exports ...Export) *Aggregate {
	agg := &Aggregate{series: map[config.Objective]*series{}}
	for _, e := range exports {
		for _, s := range e.Series {
			agg.add(now, s)
		}
	}
	return agg
}

func (agg *Aggregate) add(now time.Time, exported ExportedSeries) {
	s := agg.series[exported.Objective]
	if s == nil {
		s = newSeries(exported.Objective)
		agg.series[exported.Objective] = s
	}
	for i, r := range exported.Rings {
		for n := range r.Good {
			if number := r.FirstBucket + int64(n); number <= s.rings[i].bucketNumber(now) {
				s.rings[i].addBucket(number, Counts{r.Good[n], r.Bad[n]})
			}
		}
	}
}

// ObjectiveReport is the report on one objective.
type ObjectiveReport struct {
	Objective config.Objective `json:"objective"`
	Windows   []WindowReport   `json:"windows"`
	Alerts    []AlertReport    `json:"alerts"`
}

// WindowReport holds the counts and the burn rate of one window.
type WindowReport struct {
	Window string `json:"window"`
	Counts
	Rate float64 `json:"rate"`
}

// AlertReport is an active alert with its reason.
type AlertReport struct {
	Severity Severity `json:"severity"`
	Reason   string   `json:"reason"`
}

// Report returns a report on each objective, sorted by name.
func (agg *Aggregate) Report(now time.Time) []ObjectiveReport {
	rows := []ObjectiveReport{}
	for _, s := range agg.sortedSeries() {
		row := ObjectiveReport{Objective: s.objective, Alerts: []AlertReport{}}
		for _, window := range Windows {
			row.Windows = append(row.Windows, WindowReport{formatWindow(window), s.counts(now, window), s.burnRate(now, window)})
		}
		for _, a := range s.alerts(now) {
			row.Alerts = append(row.Alerts, AlertReport{a.Rule.Severity, a.Reason()})
		}
		rows = append(rows, row)
	}
	return rows
}

func (agg *Aggregate) sortedSeries() []*series {
	var all []*series
	for _, s := range agg.series {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *series) int {
		return compareObjectives(a.objective, b.objective)
	})
	return all
}

// Point is the burn rate at one time.
type Point struct {
	Time time.Time
	Rate float64
}

// History returns data points for a plot of the past span: the burn rate over
// the window at each bucket boundary of the ring that covers the span. It
// returns nil for an unknown objective.
func (agg *Aggregate) History(objective config.Objective, now time.Time, window, span time.Duration) []Point {
	s := agg.series[objective]
	if s == nil {
		return nil
	}
	r := s.rings[ringIndexFor(span)]
	var points []Point
	for at := now.Add(-span + window).Truncate(r.width); !at.After(now); at = at.Add(r.width) {
		rate := r.sum(at, window).badRatio() / (1 - objective.Target)
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
