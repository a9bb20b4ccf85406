package burn

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphirefield/sapphirefield/config"
)

var (
	start               = time.Unix(1_800_000_000, 0)
	bookingObjective    = config.Objective{Name: "bookings", Service: "orderbook-app", Measure: config.MeasureAvailability, Target: 0.999}
	firstTokenObjective = config.Objective{Name: "first-token", Model: "safira", Team: "sales", Measure: config.MeasureTimeToFirstToken, Threshold: 670 * time.Millisecond, Target: 0.95}
)

func observeBookings(t *Tracker, at time.Time, good, bad int) {
	for i := range good + bad {
		t.Observe(at, Sample{Measure: config.MeasureAvailability, Service: "orderbook-app", Failed: i >= good})
	}
}

// An event must count only for the objectives that it matches, and an event
// whose duration equals the threshold is good.
func TestObserveMatchesObjectives(t *testing.T) {
	tracker := NewTracker([]config.Objective{bookingObjective, firstTokenObjective})
	observe := func(team string, d time.Duration, failed bool) {
		tracker.Observe(start, Sample{Measure: config.MeasureTimeToFirstToken, Model: "safira", Team: team, Duration: d, Failed: failed})
	}
	observe("sales", 670*time.Millisecond, false)
	observe("sales", 671*time.Millisecond, false)
	observe("sales", time.Millisecond, true)
	observe("press", time.Second, false)
	tracker.Observe(start, Sample{Measure: config.MeasureTimeToFirstToken, Model: "other", Team: "sales"})
	rows := Merge(start, tracker.Export("e1")).Report(start)
	assert.Equal(t, rows[0].Objective, bookingObjective)
	assert.Equal(t, rows[0].Windows[0].Counts, Counts{})
	assert.Equal(t, rows[1].Windows[0].Counts, Counts{Good: 1, Bad: 2})
}

// A page alert must start within minutes of a full outage, state its reason, and
// end soon after the outage, although the long windows still contain it.
func TestAlertBeginsAndEnds(t *testing.T) {
	tracker := NewTracker([]config.Objective{bookingObjective})
	now := start
	observeNext := func(good, bad int) []AlertChange {
		now = now.Add(10 * time.Second)
		observeBookings(tracker, now, good, bad)
		return tracker.Evaluate(now)
	}
	for range 360 {
		assert.Equal(t, len(observeNext(10, 0)), 0)
	}
	outageStart := now
	var page *AlertChange
	for page == nil {
		page = fastBurnChange(observeNext(0, 10))
	}
	// 6 of the 360 buckets of an hour are 1.67% of the events; the alert starts
	// above 1.44%.
	assert.Equal(t, now.Sub(outageStart), 60*time.Second)
	assert.Assert(t, page.Firing)
	assert.Equal(t, page.Alert.Reason(), "the error budget burns 16.7 times too fast over 1h and 200.0 times over 5m; "+
		"the limit is 14.4, and a whole budget lasts 43.2 hours at this rate")
	for range 30 {
		observeNext(0, 10)
	}
	outageEnd := now
	for page = nil; page == nil; {
		page = fastBurnChange(observeNext(10, 0))
	}
	assert.Assert(t, !page.Firing)
	assert.Assert(t, now.Sub(outageEnd) <= Window5m, now.Sub(outageEnd))
}

// fastBurnChange returns the change for the rule with the shortest windows, or nil.
func fastBurnChange(changes []AlertChange) *AlertChange {
	for i, c := range changes {
		if c.Alert.Rule == Rules[0] {
			return &changes[i]
		}
	}
	return nil
}

// Fewer than minBadEvents bad events must not raise an alert, even if they are a
// large fraction of little traffic.
func TestFewBadEventsRaiseNoAlert(t *testing.T) {
	tracker := NewTracker([]config.Objective{bookingObjective})
	observeBookings(tracker, start, 5, minBadEvents-1)
	assert.Equal(t, len(tracker.Evaluate(start)), 0)
	observeBookings(tracker, start, 0, 1)
	assert.Assert(t, len(tracker.Evaluate(start)) > 0)
}

// A new revision must keep the counts of unchanged objectives and end the
// alerts of removed or changed objectives.
func TestSetObjectives(t *testing.T) {
	tracker := NewTracker([]config.Objective{bookingObjective, firstTokenObjective})
	observeBookings(tracker, start, 0, 5)
	raised := len(tracker.Evaluate(start))
	tracker.SetObjectives([]config.Objective{bookingObjective})
	assert.Equal(t, len(tracker.Evaluate(start)), 0)
	changed := bookingObjective
	changed.Target = 0.99
	tracker.SetObjectives([]config.Objective{changed})
	changes := tracker.Evaluate(start)
	assert.Equal(t, len(changes), raised)
	assert.Assert(t, !changes[0].Firing)
}

// event is one entry of the reference list.
type event struct {
	at   time.Time
	good bool
}

// The windows of merged exports must agree with a plain list of all events,
// regardless of which process observed which event, and although the exports add
// the events out of order.
func TestMergeAgreesWithEventList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{NewTracker([]config.Objective{bookingObjective}), NewTracker([]config.Objective{bookingObjective}), NewTracker([]config.Objective{bookingObjective})}
		var all []event
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3*3600).Draw(t, "gap")) * time.Second)
			e := event{now, rapid.Bool().Draw(t, "good")}
			all = append(all, e)
			good, bad := 1, 0
			if !e.good {
				good, bad = 0, 1
			}
			observeBookings(rapid.SampledFrom(trackers).Draw(t, "process"), now, good, bad)
		}
		var exports []Export
		for _, tracker := range trackers {
			data, err := json.Marshal(tracker.Export("p"))
			assert.NilError(t, err)
			e, err := Decode(data)
			assert.NilError(t, err)
			exports = append(exports, e)
		}
		for _, w := range Merge(now, exports...).Report(now)[0].Windows {
			want := expectedCounts(all, now, w.Window)
			if w.Counts != want {
				t.Fatalf("window %s: %+v, want %+v", w.Window, w.Counts, want)
			}
		}
	})
}

// expectedCounts counts the events in the buckets that the window covers.
func expectedCounts(all []event, now time.Time, name string) Counts {
	var c Counts
	for _, window := range Windows {
		if formatWindow(window) != name {
			continue
		}
		width := ringLayouts[ringIndexFor(window)].width
		from := now.Truncate(width).Add(width - window)
		for _, e := range all {
			if e.at.Before(from) {
				continue
			}
			if e.good {
				c.Good++
			} else {
				c.Bad++
			}
		}
	}
	return c
}

// A process whose clock is ahead must not evict the counts of the others.
func TestMergeIgnoresFutureBuckets(t *testing.T) {
	correct, ahead := NewTracker([]config.Objective{bookingObjective}), NewTracker([]config.Objective{bookingObjective})
	observeBookings(correct, start, 7, 3)
	observeBookings(ahead, start.Add(1000*time.Hour), 1, 1)
	rows := Merge(start, ahead.Export("a"), correct.Export("b"), ahead.Export("c")).Report(start)
	assert.Equal(t, rows[0].Windows[4].Counts, Counts{Good: 7, Bad: 3})
}

// The history must have its peak at the time of an outage.
func TestHistory(t *testing.T) {
	tracker := NewTracker([]config.Objective{bookingObjective})
	now := start
	for i := range 6 * 60 {
		now = now.Add(time.Minute)
		bad := 0
		if i >= 200 && i < 220 {
			bad = 1
		}
		observeBookings(tracker, now, 9, bad)
	}
	points := Merge(now, tracker.Export("")).History(bookingObjective, now, Window30m, Window6h)
	peak := points[0]
	for _, p := range points {
		if p.Rate > peak.Rate {
			peak = p
		}
	}
	assert.Assert(t, peak.Rate > 50, peak.Rate)
	age := now.Sub(peak.Time)
	assert.Assert(t, age > 2*time.Hour && age < 3*time.Hour, age)
	assert.Equal(t, points[len(points)-1].Rate, 0.0)
}

// Decoding and merging must not panic on any input from another process.
func FuzzDecode(f *testing.F) {
	tracker := NewTracker([]config.Objective{bookingObjective, firstTokenObjective})
	observeBookings(tracker, start, 3, 1)
	data, err := json.Marshal(tracker.Export("e1"))
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`{"version":1,"series":[{"objective":{"target":0.5},"rings":[]}]}`))
	f.Add([]byte(`{"version":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		Merge(start, e, e).Report(start)
	})
}

func BenchmarkObserve(b *testing.B) {
	tracker := NewTracker([]config.Objective{bookingObjective, firstTokenObjective})
	sample := Sample{Measure: config.MeasureTimeToFirstToken, Model: "safira", Team: "sales", Duration: time.Second}
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		tracker.Observe(now, sample)
	}
}

func BenchmarkEvaluate(b *testing.B) {
	tracker := NewTracker([]config.Objective{bookingObjective, firstTokenObjective})
	observeBookings(tracker, start, 100, 1)
	for b.Loop() {
		tracker.Evaluate(start)
	}
}

// BenchmarkMerge merges the exports of 400 entries with two objectives each.
func BenchmarkMerge(b *testing.B) {
	tracker := NewTracker([]config.Objective{bookingObjective, firstTokenObjective})
	for i := range 1000 {
		observeBookings(tracker, start.Add(time.Duration(i)*4*time.Minute), 10, 1)
	}
	exports := make([]Export, 400)
	for i := range exports {
		exports[i] = tracker.Export("e")
	}
	now := start.Add(4000 * time.Minute)
	for b.Loop() {
		Merge(now, exports...).Report(now)
	}
}
