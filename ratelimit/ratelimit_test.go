package ratelimit

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The promise: in any window, all entries together send at most factor times the limit,
// and extra requests more.
const (
	window = 4 * time.Second
	factor = 1.5
	extra  = 5
)

var epoch = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// Guards against entries that together send more than a server has stated: many of
// them with small shares, all with work at once after a quiet time, with clocks that
// differ, and while the limit changes.
func TestEntriesTogetherKeepLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 40).Draw(t, "entries")
		rate := rapid.Float64Range(0.01, 40).Draw(t, "rate")
		all := make([]*Limits, entries)
		skews := make([]time.Duration, entries)
		for i := range all {
			all[i] = New()
			all[i].SetShare(epoch, Share{i, entries})
			skews[i] = time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Millisecond
		}
		const step = 50 * time.Millisecond
		const steps = 400
		highest := rate
		var sent []time.Duration
		busyUntil, quietUntil := 0, 0
		for i := range steps {
			elapsed := time.Duration(i) * step
			if i >= quietUntil {
				busyUntil = i + rapid.IntRange(1, 100).Draw(t, "busy")
				quietUntil = busyUntil + rapid.IntRange(0, 150).Draw(t, "quiet")
			}
			if rapid.IntRange(0, 150).Draw(t, "change") == 0 {
				rate = rapid.Float64Range(0.01, highest).Draw(t, "next rate")
			}
			for n, l := range all {
				now := epoch.Add(skews[n] + elapsed)
				l.ObserveAnswer(now, "s", 1, now, max(rate, minRate))
				for i < busyUntil {
					if _, ok := l.Take(now, "s", 0); !ok {
						break
					}
					sent = append(sent, elapsed)
				}
			}
		}
		allowed := int(factor*max(highest, minRate)*window.Seconds()) + extra
		first := 0
		for i, at := range sent {
			for at-sent[first] >= window {
				first++
			}
			assert.Assert(t, i-first+1 <= allowed, "%d sent in a window, %d allowed", i-first+1, allowed)
		}
	})
}

// Guards against a limit that is kept by serving far less than the server accepts.
func TestEntriesUseWholeLimitWhileThereIsWork(t *testing.T) {
	for _, entries := range []int{1, 4, 30, 300} {
		const rate, seconds = 2.0, 60
		sent := 0
		for n := range entries {
			l := New()
			l.SetShare(epoch, Share{n, entries})
			l.ObserveAnswer(epoch, "s", 1, epoch, rate)
			for now := epoch; now.Before(epoch.Add(seconds * time.Second)); now = now.Add(20 * time.Millisecond) {
				if _, ok := l.Take(now, "s", 0); ok {
					sent++
				}
			}
		}
		assert.Assert(t, float64(sent) >= 0.9*rate*seconds && sent <= rate*seconds+1, "%d entries sent %d", entries, sent)
	}
}

// Guards against a limit that ends with an answer that was on its way when it began,
// and against one that never ends.
func TestLimitEndsWithLaterAnswer(t *testing.T) {
	l := New()
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	assert.Equal(t, l.ObserveAnswer(at(0), "s", 1, at(0), 0), Unchanged)
	assert.Equal(t, l.ObserveAnswer(at(100), "s", 1, at(50), 3), Stated)
	assert.Equal(t, l.ObserveAnswer(at(200), "s", 1, at(90), 0), Unchanged)
	assert.Assert(t, l.Limited("s"))
	assert.Equal(t, l.ObserveAnswer(at(250), "s", 1, at(150), 3), Unchanged)
	assert.Equal(t, l.ObserveAnswer(at(300), "s", 1, at(260), 0), Lifted)
	wait, ok := l.Take(at(301), "s", 0)
	assert.Assert(t, ok && wait == 0)
	assert.Equal(t, len(l.Reports(at(400))), 1)
	assert.Equal(t, len(l.Reports(at(5000))), 0)
	assert.Equal(t, l.Servers(), 0)
}

// Guards against an older report that replaces what an entry has heard itself, and
// against entries that tell each other forever what none has heard anew.
func TestLatestObservationCounts(t *testing.T) {
	l := New()
	l.ObserveAnswer(epoch.Add(time.Second), "s", 1, epoch, 3)
	now := epoch.Add(2 * time.Second)
	assert.Equal(t, l.ObserveReport(now, "s", Report{1, 9, 1500 * time.Millisecond}), Unchanged)
	assert.Equal(t, l.ObserveReport(now, "s", Report{1, 0, 1500 * time.Millisecond}), Unchanged)
	assert.Equal(t, l.ObserveReport(now, "s", Report{1, 2, 100 * time.Millisecond}), Stated)
	assert.Equal(t, len(l.Reports(now)), 0)
	assert.Equal(t, l.ObserveReport(now, "s", Report{1, 0, 0}), Lifted)
	assert.Equal(t, l.ObserveReport(now, "other", Report{1, 0, 0}), Unchanged)
	assert.Equal(t, l.ObserveReport(now, "other", Report{1, math.NaN(), 0}), Unchanged)
	assert.Equal(t, l.ObserveReport(now, "other", Report{1, -1, 0}), Unchanged)
	l.Forget("s")
	assert.Assert(t, !l.Limited("s"))
}

// Guards against shares that are larger than they should be after entries joined.
func TestSmallerShareWaitsLonger(t *testing.T) {
	l := New()
	l.SetShare(epoch, Share{0, 2})
	l.ObserveAnswer(epoch, "s", 1, epoch, 1)
	_, ok := l.Take(epoch, "s", time.Minute)
	assert.Assert(t, ok)
	before := l.Wait(epoch, "s")
	l.SetShare(epoch, Share{0, 6})
	assert.Equal(t, l.Wait(epoch, "s").Round(time.Millisecond), (3 * before).Round(time.Millisecond))
	l.Charge(epoch, "s")
	assert.Equal(t, l.Wait(epoch, "s").Round(time.Millisecond), (3*before + 6*time.Second).Round(time.Millisecond))
}

// Guards against a broken server whose limit stops an entry, or whose text is taken for
// a limit.
func TestParseRate(t *testing.T) {
	for text, want := range map[string]float64{"": 0, " ": 0, "1.5": 1.5, " 20 ": 20, "0": minRate, "1e-9": minRate, "1e300": maxRate, "1e999": maxRate, "Inf": maxRate} {
		rate, err := ParseRate(text)
		assert.NilError(t, err, text)
		assert.Equal(t, rate, want, text)
	}
	for _, text := range []string{"-1", "NaN", "-Inf", "many", "1,5", "-1e999"} {
		_, err := ParseRate(text)
		assert.ErrorIs(t, err, errInvalidRate, text)
	}
}

// Guards against reports that grow with the time for which limits stand.
func TestReportsAreRecentOnly(t *testing.T) {
	l := New()
	for _, server := range []string{"a", "b"} {
		l.ObserveAnswer(epoch, server, 7, epoch, 3)
	}
	rates := []float64{}
	for _, r := range l.Reports(epoch.Add(time.Second)) {
		rates = append(rates, r.Rate)
	}
	slices.Sort(rates)
	assert.DeepEqual(t, rates, []float64{3, 3})
	assert.Equal(t, len(l.Reports(epoch.Add(3*time.Second))), 0)
	assert.Assert(t, l.Limited("a"))
}

// Guards against allocations for each request on a day without limits.
func BenchmarkTakeWithoutLimit(b *testing.B) {
	l := New()
	b.ReportAllocs()
	for b.Loop() {
		l.Take(epoch, "s", 0)
	}
}

// Guards against many entries that each hold a slot back while they have no work, and
// all use it at once.
func TestQuietEntriesHoldFewSlots(t *testing.T) {
	for _, entries := range []int{4, 30, 300} {
		for _, rate := range []float64{0.2, 1.3, 20} {
			all := make([]*Limits, entries)
			for n := range all {
				all[n] = New()
				all[n].SetShare(epoch, Share{n, entries})
				all[n].ObserveAnswer(epoch, "s", 1, epoch, rate)
			}
			const quiet, step = 10 * time.Minute, 10 * time.Millisecond
			sent := 0
			for elapsed := quiet; elapsed < quiet+window; elapsed += step {
				for _, l := range all {
					for {
						if _, ok := l.Take(epoch.Add(elapsed), "s", 0); !ok {
							break
						}
						sent++
					}
				}
			}
			allowed := int(factor*rate*window.Seconds()) + extra
			assert.Assert(t, sent <= allowed, "%d entries, %.1f a second: %d sent at once, %d allowed", entries, rate, sent, allowed)
		}
	}
}
