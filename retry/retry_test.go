package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// TestBudgetInvariant checks that retries never exceed the allowed fraction of
// the requests in the window, in any order of events.
func TestBudgetInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := BudgetOptions{Fraction: 0.2, Minimum: 2, Window: 10 * time.Second}
		b := NewBudget(options)
		now := start
		var requests, retries []time.Time
		recent := func(times []time.Time, window time.Duration) (n float64) {
			for _, at := range times {
				if now.Sub(at) < window {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pass")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				b.RecordRequest(now)
				requests = append(requests, now)
				continue
			}
			if !b.Take(now, false) {
				continue
			}
			retries = append(retries, now)
			// An event may expire up to one bucket before the end of the window.
			allowed := options.Minimum + options.Fraction*recent(requests, options.Window)
			assert.Assert(t, recent(retries, options.Window-time.Second) <= allowed+1e-9)
		}
	})
}

// TestBudgetDeniesRetryWhenOverloaded guards against retries that add to the
// overload that caused the failure.
func TestBudgetDeniesRetryWhenOverloaded(t *testing.T) {
	b := NewBudget(DefaultBudget())
	assert.Assert(t, !b.Take(start, true))
	assert.Assert(t, b.Take(start, false))
}

// TestBudgetWindowExpiry guards against expired requests that still allow
// retries, and against counts that are lost when the clock steps back.
func TestBudgetWindowExpiry(t *testing.T) {
	b := NewBudget(BudgetOptions{Fraction: 1, Window: 10 * time.Second})
	b.RecordRequest(start)
	assert.Equal(t, b.Available(start.Add(-time.Minute)), 1.0)
	assert.Equal(t, b.Available(start.Add(5*time.Second)), 1.0)
	assert.Equal(t, b.Available(start.Add(15*time.Second)), 0.0)
}

// TestBackoff checks that delays stay within a doubling bound, are spread over
// the whole range, and are the same for the same seed.
func TestBackoff(t *testing.T) {
	newBackoff := func() *Backoff {
		return NewBackoff(100*time.Millisecond, 2*time.Second, rand.New(rand.NewPCG(7, 7)))
	}
	a, b := newBackoff(), newBackoff()
	for retry, bound := range map[int]time.Duration{0: 100, 1: 100, 2: 200, 5: 1600, 6: 2000, 5000: 2000} {
		assert.Equal(t, a.Bound(retry), bound*time.Millisecond)
	}
	var sum time.Duration
	for range 1000 {
		d := a.Delay(3)
		assert.Equal(t, d, b.Delay(3))
		assert.Assert(t, d > 0 && d <= a.Bound(3))
		sum += d
	}
	mean := sum / 1000
	assert.Assert(t, mean > 180*time.Millisecond && mean < 220*time.Millisecond, "mean delay %s of 400 ms", mean)
}

// TestSetMinimum guards against a budget that keeps its old minimum after the
// number of entry processes that share the minimum has changed.
func TestSetMinimum(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(BudgetOptions{Minimum: 2, Window: 10 * time.Second})
	assert.Equal(t, b.Available(now), 2.0)
	b.SetMinimum(1)
	assert.Assert(t, b.Take(now, false))
	assert.Assert(t, !b.Take(now, false))
	b.SetMinimum(3)
	assert.Equal(t, b.Available(now), 2.0)
}
