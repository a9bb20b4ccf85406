// Package lease decides which of several processes may act, by records that are
// appended to a topic only where it ends. It performs no I/O and reads no clock.
//
// It answers the load pattern of a fleet that starts, loses processes and gets
// them back while all of them see the same need for action: without a holder
// each of them would give the same orders.
package lease

import "time"

// Claim is the record that names a holder.
type Claim struct {
	Holder string `json:"holder"`
	// Term grows by one with each new holder.
	Term int64 `json:"term"`
}

// Options are the times of a lease.
type Options struct {
	// RenewInterval is how often the holder renews its claim.
	RenewInterval time.Duration
	// LeaseDuration is how long others wait for a renewal before one of them takes over.
	LeaseDuration time.Duration
	// RenewDeadline is how long after the start of its last renewal the holder may act. It
	// is shorter than Lapse, so that a holder stops before another one begins.
	RenewDeadline time.Duration
}

// DefaultOptions returns the options in use.
func DefaultOptions() Options {
	return Options{RenewInterval: 600 * time.Millisecond, LeaseDuration: 2400 * time.Millisecond, RenewDeadline: 1600 * time.Millisecond}
}

// Elector is one process's part in a lease. Times must come from a clock that
// never jumps. It is not safe for concurrent use.
type Elector struct {
	options Options
	self    string
	claim   Claim
	// next is the offset at which the topic ends, as far as it is known.
	next int64
	// seen is when the last claim was seen, renewed when this process last
	// began to append one that was accepted.
	seen, renewed time.Time
}

// New returns a Machine for a process.
func New(self string, options Options) *Elector {
	return &Elector{options: options, self: self}
}

// Observe takes what a read of the topic returned: its end and the newest claim, if any.
func (m *Elector) Observe(now time.Time, next int64, claim *Claim) {
	if next == m.next && !m.seen.IsZero() {
		return
	}
	m.next, m.seen = next, now
	if claim != nil {
		m.claim = *claim
	}
}

// DueClaim returns the claim to append and the offset at which the topic must end,
// when it is time for one: to renew the own lease, or to take over one that has
// lapsed. A process takes over its own earlier lease at once, because its
// earlier run has ended.
func (m *Elector) DueClaim(now time.Time) (Claim, int64, bool) {
	if m.seen.IsZero() {
		return Claim{}, 0, false
	}
	mine := m.claim.Holder == m.self
	switch {
	case mine && !m.renewed.IsZero():
		return m.claim, m.next, now.Sub(m.renewed) >= m.options.RenewInterval
	case mine, m.claim.Holder == "", now.Sub(m.seen) >= m.options.LeaseDuration:
		return Claim{Holder: m.self, Term: m.claim.Term + 1}, m.next, true
	}
	return Claim{}, 0, false
}

// ObserveRelease takes the word of the holder itself that it no longer acts, because it
// could not renew its claim. Others need not wait then.
func (m *Elector) ObserveRelease(holder string) {
	if holder == m.claim.Holder && holder != m.self {
		m.claim.Holder = ""
	}
}

// Holder returns the process that the last claim names.
func (m *Elector) Holder() string { return m.claim.Holder }

// AppendSucceeded takes the acceptance of a claim whose append began at a time.
func (m *Elector) AppendSucceeded(began time.Time, claim Claim, next int64) {
	m.claim, m.next, m.renewed, m.seen = claim, next, began, began
}

// AppendFailed takes a refusal of an append, or one without an outcome: the topic's
// end must be read before the next one.
func (m *Elector) AppendFailed() { m.seen = time.Time{} }

// Holds tells whether this process may act.
func (m *Elector) Holds(now time.Time) bool {
	return m.claim.Holder == m.self && !m.renewed.IsZero() && now.Sub(m.renewed) < m.options.RenewDeadline
}

// Term returns the number of the current lease.
func (m *Elector) Term() int64 { return m.claim.Term }
