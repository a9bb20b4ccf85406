// Package retry implements retry limits, retry budgets and backoff. It performs
// no I/O and reads no clock.
package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// windowBuckets is the number of buckets in a budget's window. Events expire one bucket at a time.
const windowBuckets = 10

// Budget limits retries to a fraction of the recently recorded requests, which
// keeps retries from multiplying the load on the remaining servers when many
// fail. If only successes are recorded, they become rare then and so do retries.
type Budget struct {
	fraction     float64
	minimum      float64
	bucketWidth  time.Duration
	buckets      [windowBuckets]bucketCounts
	currentIndex int64
	started      bool
}

type bucketCounts struct {
	requests float64
	retries  float64
}

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	// Fraction is the number of retries allowed for each recorded request in the window.
	Fraction float64
	// Minimum is the number of retries allowed in a window without any recorded
	// request, so that an entry process with little traffic can retry at all.
	Minimum float64
	// Window is how long a recorded request counts.
	Window time.Duration
}

// DefaultBudget returns the options for services that configure none: one
// retry per ten recorded requests in the last 10 s, plus three regardless of them.
func DefaultBudget() BudgetOptions {
	return BudgetOptions{Fraction: 0.1, Minimum: 3, Window: 10 * time.Second}
}

// NewBudget returns a budget. Options with a window below 10 ns use the default window.
func NewBudget(options BudgetOptions) *Budget {
	width := options.Window / windowBuckets
	if width <= 0 {
		width = DefaultBudget().Window / windowBuckets
	}
	return &Budget{fraction: max(options.Fraction, 0), minimum: max(options.Minimum, 0), bucketWidth: width}
}

// SetMinimum changes the number of retries allowed without any recorded request.
func (b *Budget) SetMinimum(minimum float64) { b.minimum = max(minimum, 0) }

// RecordRequest records a request. The caller decides whether to record every
// request when it begins or only those that have succeeded.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.currentCounts().requests++
}

// Take reports whether a retry may be sent now, and if so deducts it from the
// budget. It always denies retries to an overloaded set of servers.
func (b *Budget) Take(now time.Time, overloaded bool) bool {
	b.advance(now)
	if overloaded || b.Available(now) < 1 {
		return false
	}
	b.currentCounts().retries++
	return true
}

// TakeLeaving is Take for a retry that leaves a fraction of all retries of the window
// to others.
func (b *Budget) TakeLeaving(now time.Time, fraction float64) bool {
	b.advance(now)
	earned := b.minimum
	for _, t := range b.buckets {
		earned += b.fraction * t.requests
	}
	if b.Available(now) < 1+earned*fraction {
		return false
	}
	return b.Take(now, false)
}

// Available returns the number of retries that are available now.
func (b *Budget) Available(now time.Time) float64 {
	b.advance(now)
	left := b.minimum
	for _, t := range b.buckets {
		left += b.fraction*t.requests - t.retries
	}
	return left
}

// Spent returns how many retries of the window were taken beyond those that requests earn.
func (b *Budget) Spent(now time.Time) float64 { return max(b.minimum-b.Available(now), 0) }

// Charge counts retries that others have taken out of this budget, age ago.
func (b *Budget) Charge(now time.Time, age time.Duration, retries float64) {
	b.advance(now)
	if buckets := int64(max(age, 0) / b.bucketWidth); buckets < windowBuckets {
		b.buckets[(b.currentIndex-buckets)%windowBuckets].retries += max(retries, 0)
	}
}

func (b *Budget) currentCounts() *bucketCounts {
	return &b.buckets[b.currentIndex%windowBuckets]
}

// advance clears the buckets that have left the window. If the clock steps
// back, the current bucket stays.
func (b *Budget) advance(now time.Time) {
	index := now.UnixNano() / int64(b.bucketWidth)
	if !b.started {
		b.currentIndex, b.started = index, true
		return
	}
	if index <= b.currentIndex {
		return
	}
	if index-b.currentIndex >= windowBuckets {
		b.buckets = [windowBuckets]bucketCounts{}
		b.currentIndex = index
		return
	}
	for b.currentIndex < index {
		b.currentIndex++
		*b.currentCounts() = bucketCounts{}
	}
}

// Backoff computes the delay before each retry: exponential backoff with full
// jitter, which spreads the retries of callers that failed at the same time.
type Backoff struct {
	base, limit time.Duration
	random      *rand.Rand
}

// NewBackoff returns a Backoff whose maximum delay doubles from base up to limit.
func NewBackoff(base, limit time.Duration, random *rand.Rand) *Backoff {
	base = max(base, time.Nanosecond)
	return &Backoff{base: base, limit: max(base, limit), random: random}
}

// Delay returns a random delay of at most Bound(retry). Retries are numbered from 1.
func (b *Backoff) Delay(retry int) time.Duration {
	bound := b.Bound(retry)
	return time.Duration(b.random.Int64N(int64(bound))) + 1
}

// Bound returns the maximum delay before the given retry.
func (b *Backoff) Bound(retry int) time.Duration {
	bound := float64(b.base) * math.Pow(2, float64(max(retry, 1)-1))
	if bound >= float64(b.limit) {
		return b.limit
	}
	return time.Duration(bound)
}
