// Package retry governs how often and how soon work is repeated. It performs no
// I/O and reads no clock.
package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// windowBuckets divides the budget's window, so that old events leave it in small steps.
const windowBuckets = 10

// Budget allows retries as a fraction of recent successes. Under a failure of
// many servers successes become rare and so do retries, which keeps them from
// multiplying the load on the servers that still work.
type Budget struct {
	fraction  float64
	minimum   float64
	bucket    time.Duration
	buckets   [windowBuckets]tally
	current   int64
	hasBucket bool
}

type tally struct {
	successes float64
	retries   float64
}

// BudgetOptions configure a Budget.
type BudgetOptions struct {
	// Fraction is the number of retries for each success in the window.
	Fraction float64
	// Minimum is the number of retries in a window that need no success, so that an
	// entry with little traffic can retry at all.
	Minimum float64
	// Window is how long a success counts.
	Window time.Duration
}

// DefaultBudget returns the options in use unless a service states others:
// one retry for ten successes in the last 10 s, and three in any case.
func DefaultBudget() BudgetOptions {
	return BudgetOptions{Fraction: 0.1, Minimum: 3, Window: 10 * time.Second}
}

// NewBudget returns a budget. Options with a window below 10 ns use the default window.
func NewBudget(options BudgetOptions) *Budget {
	bucket := options.Window / windowBuckets
	if bucket <= 0 {
		bucket = DefaultBudget().Window / windowBuckets
	}
	return &Budget{fraction: max(options.Fraction, 0), minimum: max(options.Minimum, 0), bucket: bucket}
}

// SetMinimum changes the number of retries that need no success.
func (b *Budget) SetMinimum(minimum float64) { b.minimum = max(minimum, 0) }

// RecordRequest counts one successful request.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.tally().successes++
}

// Take reports whether a retry may go out now and counts it when it may. A retry
// never goes into an overloaded set of servers, whatever the budget holds.
func (b *Budget) Take(now time.Time, overloaded bool) bool {
	b.advance(now)
	if overloaded || b.Available(now) < 1 {
		return false
	}
	b.tally().retries++
	return true
}

// Available returns how many retries the budget holds.
func (b *Budget) Available(now time.Time) float64 {
	b.advance(now)
	left := b.minimum
	for _, t := range b.buckets {
		left += b.fraction*t.successes - t.retries
	}
	return left
}

func (b *Budget) tally() *tally {
	return &b.buckets[b.current%windowBuckets]
}

// advance clears the buckets that have left the window. Time that runs backwards
// leaves the current bucket in place.
func (b *Budget) advance(now time.Time) {
	n := now.UnixNano() / int64(b.bucket)
	if !b.hasBucket {
		b.current, b.hasBucket = n, true
		return
	}
	if n <= b.current {
		return
	}
	if n-b.current >= windowBuckets {
		b.buckets = [windowBuckets]tally{}
		b.current = n
		return
	}
	for b.current < n {
		b.current++
		*b.tally() = tally{}
	}
}

// Backoff gives the delay before each retry: a random time up to a bound that
// doubles with each attempt. Full jitter spreads callers that failed together.
type Backoff struct {
	base, limit time.Duration
	random      *rand.Rand
}

// NewBackoff returns a backoff whose bound grows from base to limit.
func NewBackoff(base, limit time.Duration, random *rand.Rand) *Backoff {
	base = max(base, time.Nanosecond)
	return &Backoff{base: base, limit: max(base, limit), random: random}
}

// Delay returns the time to wait before the retry with the given number, counted from 1.
func (b *Backoff) Delay(retry int) time.Duration {
	bound := b.Bound(retry)
	return time.Duration(b.random.Int64N(int64(bound))) + 1
}

// Bound returns the longest delay before the retry with the given number.
func (b *Backoff) Bound(retry int) time.Duration {
	bound := float64(b.base) * math.Pow(2, float64(max(retry, 1)-1))
	if bound >= float64(b.limit) {
		return b.limit
	}
	return time.Duration(bound)
}
