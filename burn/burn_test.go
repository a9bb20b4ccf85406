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
	start   = time.Unix(1_800_000_000, 0)
	booking = config.Objective{Name: "bookings", Service: "orderbook-app", Measure: config.MeasureAvailability, Target: 0.999}
	first   = config.Objective{Name: "first-token", Model: "safira", Team: "sales", Measure: config.MeasureTimeToFirstToken, Threshold: 670 * time.Millisecond, Target: 0.95}
)

func book(t *Tracker, at time.Time, good, bad int) {
	for i := range good + bad {
		t.Observe(at, Sample{Measure: config.MeasureAvailability, Service: "orderbook-app", Failed: i >= good})
	}
}

// An event must count for the objectives that concern it and for no other, and
// the threshold itself is still good.
func TestObserveMatchesObjectives(t *testing.T) {
	tracker := NewTracker([]config.Objective{booking, first})
	observe := func(team string, d time.Duration, failed bool) {
		tracker.Observe(start, Sample{Measure: config.MeasureTimeToFirstToken, Model: "safira", Team: team, Duration: d, Failed: failed})
	}
	observe("sales", 670*time.Millisecond, false)
	observe("sales", 671*time.Millisecond, false)
	observe("sales", time.Millisecond, true)
	observe("press", time.Second, false)
	tracker.Observe(start, Sample{Measure: config.MeasureTimeToFirstToken, Model: "other", Team: "sales"})
	rows := Merge(start, tracker.Export("e1")).Report(start)
	assert.Equal(t, rows[0].Objective, booking)
	assert.Equal(t, rows[0].Windows[0].Counts, Counts{})
	assert.Equal(t, rows[1].Windows[0].Counts, Counts{Good: 1, Bad: 2})
}

// A page must begin within minutes of a full outage, name its reason, and end
// soon after the outage although the long windows still remember it.
func TestAlertBeginsAndEnds(t *testing.T) {
	tracker := NewTracker([]config.Objective{booking})
	now := start
	step := func(good, bad int) []AlertChange {
		now = now.Add(10 * time.Second)
		book(tracker, now, good, bad)
		return tracker.Evaluate(now)
	}
	for range 360 {
		assert.Equal(t, len(step(10, 0)), 0)
	}
	began := now
	var page *AlertChange
	for page == nil {
		page = fastPage(step(0, 10))
	}
	// 6 of the 360 buckets of an hour are 1.67% of the events; the limit is 1.44%.
	assert.Equal(t, now.Sub(began), 60*time.Second)
	assert.Assert(t, page.Firing)
	assert.Equal(t, page.Alert.Reason(), "the error budget burns 16.7 times too fast over 1h and 200.0 times over 5m; "+
		"the limit is 14.4, and a whole budget lasts 43.2 hours at this rate")
	for range 30 {
		step(0, 10)
	}
	ended := now
	for page = nil; page == nil; {
		page = fastPage(step(10, 0))
	}
	assert.Assert(t, !page.Firing)
	assert.Assert(t, now.Sub(ended) <= Window5m, now.Sub(ended))
}

// fastPage returns the change of the rule with the shortest windows, or nil.
func fastPage(changes []AlertChange) *AlertChange {
	for i, c := range changes {
		if c.Alert.Rule == Rules[0] {
			return &changes[i]
		}
	}
	return nil
}

// One failed call among few must not wake anybody.
func TestFewBadEventsRaiseNothing(t *testing.T) {
	tracker := NewTracker([]config.Objective{booking})
	book(tracker, start, 5, minBad-1)
	assert.Equal(t, len(tracker.Evaluate(start)), 0)
	book(tracker, start, 0, 1)
	assert.Assert(t, len(tracker.Evaluate(start)) > 0)
}

// A new revision must keep the counts of unchanged objectives and end the
// alerts of objectives that are gone.
func TestSetObjectives(t *testing.T) {
	tracker := NewTracker([]config.Objective{booking, first})
	book(tracker, start, 0, 5)
	began := len(tracker.Evaluate(start))
	tracker.SetObjectives([]config.Objective{booking})
	assert.Equal(t, len(tracker.Evaluate(start)), 0)
	changed := booking
	changed.Target = 0.99
	tracker.SetObjectives([]config.Objective{changed})
	changes := tracker.Evaluate(start)
	assert.Equal(t, len(changes), began)
	assert.Assert(t, !changes[0].Firing)
}

// event is one event of the oracle.
type event struct {
	at   time.Time
	good bool
}

// The windows of merged exports must agree with a plain list of all events,
// whichever process saw them and in whatever order they came.
func TestMergeAgreesWithEventList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{NewTracker([]config.Objective{booking}), NewTracker([]config.Objective{booking}), NewTracker([]config.Objective{booking})}
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
			book(rapid.SampledFrom(trackers).Draw(t, "process"), now, good, bad)
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
			want := count(all, now, w.Window)
			if w.Counts != want {
				t.Fatalf("window %s: %+v, oracle %+v", w.Window, w.Counts, want)
			}
		}
	})
}

// count adds the events of the buckets that the window covers.
func count(all []event, now time.Time, name string) Counts {
	var c Counts
	for _, window := range Windows {
		if short(window) != name {
			continue
		}
		width := shapes[ringFor(window)].width
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

// One process whose clock runs ahead must not erase the counts of the others.
func TestMergeIgnoresTheFuture(t *testing.T) {
	sound, wrong := NewTracker([]config.Objective{booking}), NewTracker([]config.Objective{booking})
	book(sound, start, 7, 3)
	book(wrong, start.Add(1000*time.Hour), 1, 1)
	rows := Merge(start, wrong.Export("a"), sound.Export("b"), wrong.Export("c")).Report(start)
	assert.Equal(t, rows[0].Windows[4].Counts, Counts{Good: 7, Bad: 3})
}

// The history must show an outage where it was.
func TestHistory(t *testing.T) {
	tracker := NewTracker([]config.Objective{booking})
	now := start
	for i := range 6 * 60 {
		now = now.Add(time.Minute)
		bad := 0
		if i >= 200 && i < 220 {
			bad = 1
		}
		book(tracker, now, 9, bad)
	}
	points := Merge(now, tracker.Export("")).History(booking, now, Window30m, Window6h)
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

// Whatever another process sends, decoding and merging must not panic.
func FuzzDecode(f *testing.F) {
	tracker := NewTracker([]config.Objective{booking, first})
	book(tracker, start, 3, 1)
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
	tracker := NewTracker([]config.Objective{booking, first})
	sample := Sample{Measure: config.MeasureTimeToFirstToken, Model: "safira", Team: "sales", Duration: time.Second}
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		tracker.Observe(now, sample)
	}
}

func BenchmarkEvaluate(b *testing.B) {
	tracker := NewTracker([]config.Objective{booking, first})
	book(tracker, start, 100, 1)
	for b.Loop() {
		tracker.Evaluate(start)
	}
}

// BenchmarkMerge merges the exports of 400 entries with two objectives each.
func BenchmarkMerge(b *testing.B) {
	tracker := NewTracker([]config.Objective{booking, first})
	for i := range 1000 {
		book(tracker, start.Add(time.Duration(i)*4*time.Minute), 10, 1)
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
