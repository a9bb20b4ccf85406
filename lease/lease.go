// Package lease elects one of several processes as the holder of a lease. A process
// claims the lease by appending a record to a topic on condition that the topic
// still ends at the offset last read. The package performs no I/O and reads no clock.
//
// In a fleet in which processes start, fail and return, all of them may see that the
// same action is needed. Without a single holder, each would issue the same orders.
package lease

import "time"

// Claim is the topic record that names the holder of the lease.
type Claim struct {
	Holder string `json:"holder"`
	// Term increases with each new holder.
	Term int64 `json:"term"`
	// Era is the era of the store in which the claim was made. A claim of an earlier
	// era in the topic comes from a copy: later claims may be lost.
	Era int64 `json:"era,omitempty"`
}

const (
	// firstEra is the era of a store that was never restored from a copy.
	firstEra = 1
	// termsPerEra separates the terms of different eras. A term that is lost with an
	// era is not given out again, so that a late message about it does no harm.
	termsPerEra = 1 << 40
)

// Options are the durations that govern a lease.
type Options struct {
	// RenewInterval is how often the holder renews its claim.
	RenewInterval time.Duration
	// LeaseDuration is how long other processes wait for a renewal before one of them takes over.
	LeaseDuration time.Duration
	// RenewDeadline is how long the holder may act after the start of its last renewal.
	// It is shorter than LeaseDuration, so that a holder stops before another process takes over.
	RenewDeadline time.Duration
}

// DefaultOptions returns the default durations.
func DefaultOptions() Options {
	return Options{RenewInterval: 600 * time.Millisecond, LeaseDuration: 2400 * time.Millisecond, RenewDeadline: 1600 * time.Millisecond}
}

// Elector is the lease state of one process. The times passed in must come from a
// clock that is never set back and that goes on while the machine is suspended. It
// is not safe for concurrent use.
type Elector struct {
	options Options
	self    string
	claim   Claim
	// endOffset is the last known end of the topic.
	endOffset int64
	// observedAt is when endOffset was last updated; zero if it must be read again.
	// renewedAt is when this process started its last successful append.
	observedAt, renewedAt time.Time
	// era is the newest known era of the store.
	era int64
	// lostTermEnd is when the term ends that this process had when it learned of the
	// era. Its claim may be lost, but nobody else can have claimed the lease before.
	lostTermEnd time.Time
	// maxTerm is the highest term that this process knows of.
	maxTerm int64
}

// New returns the initial state of the process with ID self.
func New(self string, options Options) *Elector {
	return &Elector{options: options, self: self}
}

// ObserveEra records the era of the store. A new one means that the store was
// restored from an older copy: the claims that it has accepted since are lost, and
// its offsets are given out again. The holder must claim the lease again before it
// acts.
func (e *Elector) ObserveEra(now time.Time, era int64) {
	if era <= e.era {
		return
	}
	e.lostTermEnd = time.Time{}
	if e.Holds(now) {
		e.lostTermEnd = e.renewedAt.Add(e.options.RenewDeadline)
	}
	e.claim, e.observedAt, e.renewedAt = Claim{}, time.Time{}, time.Time{}
	e.era = era
}

// Era returns the newest era of the store that was observed.
func (e *Elector) Era() int64 { return e.era }

// Observe applies the result of reading the topic in the current era: its end and
// the newest claim, if any.
func (e *Elector) Observe(now time.Time, endOffset int64, claim *Claim) {
	if endOffset == e.endOffset && !e.observedAt.IsZero() {
		return
	}
	e.endOffset, e.observedAt = endOffset, now
	if claim != nil {
		e.claim = *claim
		e.maxTerm = max(e.maxTerm, claim.Term)
	}
}

// mayBeLost reports whether the newest claim in the topic may not be the newest one
// that the store has accepted.
func (e *Elector) mayBeLost() bool { return e.era > firstEra && e.claim.Era < e.era }

// DueClaim returns the claim to append and the offset at which the topic must end,
// and reports whether an append is due: to renew this process's lease or to take
// over an expired one. A restarted process takes over the lease of its previous run
// at once, because that run has ended.
func (e *Elector) DueClaim(now time.Time) (Claim, int64, bool) {
	if e.observedAt.IsZero() {
		return Claim{}, 0, false
	}
	own := e.claim.Holder == e.self
	next := Claim{Holder: e.self, Term: e.nextTerm(), Era: e.era}
	switch {
	case own && !e.renewedAt.IsZero():
		return e.claim, e.endOffset, now.Sub(e.renewedAt) >= e.options.RenewInterval
	case e.mayBeLost():
		// A holder whose claim is lost stops within its renewal deadline.
		return next, e.endOffset, now.Before(e.lostTermEnd) || now.Sub(e.observedAt) >= e.options.LeaseDuration
	case own, e.claim.Holder == "", now.Sub(e.observedAt) >= e.options.LeaseDuration:
		return next, e.endOffset, true
	}
	return Claim{}, 0, false
}

// nextTerm returns a term that was not used before. After a restore, the newest
// claim may hide a later term of this era, so the offset counts as well.
func (e *Elector) nextTerm() int64 {
	if e.era <= firstEra {
		return e.maxTerm + 1
	}
	return max(e.maxTerm, (e.era-firstEra)*termsPerEra+e.endOffset) + 1
}

// Release ends this process's term because it could not renew its claim in time, and
// returns the term, or 0 if this process has none. It never acts under that term
// again: a later claim begins a new one. Others that are told the term may therefore
// take over at once, however late they hear of it.
func (e *Elector) Release() int64 {
	if e.claim.Holder != e.self || e.renewedAt.IsZero() {
		return 0
	}
	e.renewedAt = time.Time{}
	return e.claim.Term
}

// ObserveRelease records that a process has released a term.
func (e *Elector) ObserveRelease(holder string, term int64) {
	if holder == e.claim.Holder && term == e.claim.Term && holder != e.self {
		e.claim.Holder = ""
	}
}

// AppendSucceeded records a successful append of a claim. The append began at the time started.
func (e *Elector) AppendSucceeded(started time.Time, claim Claim, endOffset int64) {
	e.claim, e.endOffset, e.renewedAt, e.observedAt = claim, endOffset, started, started
	e.maxTerm = max(e.maxTerm, claim.Term)
}

// AppendFailed records that an append was refused or that its outcome is unknown. The
// topic's end must be read before the next append.
func (e *Elector) AppendFailed() { e.observedAt = time.Time{} }

// Holds reports whether this process may act as the holder.
func (e *Elector) Holds(now time.Time) bool {
	return e.claim.Holder == e.self && !e.renewedAt.IsZero() && now.Sub(e.renewedAt) < e.options.RenewDeadline
}

// Remaining returns how long this process may go on to act as the holder without another
// renewal, or 0 if it may not act.
func (e *Elector) Remaining(now time.Time) time.Duration {
	if !e.Holds(now) {
		return 0
	}
	return e.options.RenewDeadline - now.Sub(e.renewedAt)
}

// Term returns the term of the last claim.
func (e *Elector) Term() int64 { return e.claim.Term }
