// Package membership decides which instances may receive work. It joins the
// platform's instance list, which lags and may be wrong, with direct evidence
// from connections. It performs no I/O and reads no clock.
package membership

import "time"

// Instance is one instance as the platform's list describes it.
type Instance struct {
	ID      string
	Service string
	Zone    string
	Address string
	// Leaving is set when the platform is about to remove the instance.
	Leaving bool
}

// Evidence is what a connection to an instance shows directly.
type Evidence int

// The kinds of evidence.
const (
	// Heartbeat means that a frame arrived from the instance.
	Heartbeat Evidence = iota + 1
	// Draining means that the instance itself refuses new work because it is leaving.
	Draining
	// ConnectionRefused means that a connection attempt was refused, or that the engine beside the sidecar is down.
	ConnectionRefused
	// ConnectionLost means that an open connection ended.
	ConnectionLost
	// HeartbeatTimeout means that an open connection carried no frame for the silence limit.
	HeartbeatTimeout
	// Overloaded means that the instance refused work because it is busy. It is
	// not a failure and never ejects an instance.
	Overloaded
	// Restarted means that a new incarnation, which is not draining, greeted. It
	// clears Draining and starts the warm-up.
	Restarted
)

// String returns the evidence's name.
func (e Evidence) String() string {
	switch e {
	case Heartbeat:
		return "heartbeat"
	case Draining:
		return "refused_draining"
	case ConnectionRefused:
		return "refused_connection"
	case ConnectionLost:
		return "end_of_stream"
	case HeartbeatTimeout:
		return "silent"
	case Overloaded:
		return "overloaded"
	case Restarted:
		return "restarted"
	default:
		return "none"
	}
}

// Candidate is an instance that may receive work.
type Candidate struct {
	Instance
	// Weight is in (0, 1]; it is below 1 while the instance warms up, is busy, or
	// is kept only because the ejected fraction is capped.
	Weight float64
	// Overloaded is set shortly after the instance refused work because it is busy.
	Overloaded bool
	// Suspect is set when direct evidence speaks against the instance and only
	// the cap on the ejected fraction keeps it.
	Suspect bool
}

// ListVerdict says what became of a list.
type ListVerdict int

// The verdicts on a list.
const (
	// ListAccepted means that the list replaced the last good set.
	ListAccepted ListVerdict = iota + 1
	// ListDistrusted means that the list lost too many instances at once. Its
	// additions count; the last good set stays in use and direct evidence decides.
	ListDistrusted
)

// Options configure a View.
type Options struct {
	// MaxLossFraction is the fraction of a service's instances that a list may lose at once and still be trusted.
	MaxLossFraction float64
	// LossAcceptDelay is how long a non-empty list must repeat its loss, with no direct
	// evidence against it, before it is accepted.
	LossAcceptDelay time.Duration
	// AbsenceGracePeriod is how long an instance that is missing from a trusted list stays
	// a candidate while it still sends heartbeats.
	AbsenceGracePeriod time.Duration
	// HeartbeatMaxAge is how long a heartbeat proves that an instance lives.
	HeartbeatMaxAge time.Duration
	// MaxEjectedFraction is the fraction of a service's instances that may be ejected at once.
	MaxEjectedFraction float64
	// BaseEjectionTime and MaxEjectionTime bound how long an instance stays ejected after it
	// shows life again. The time doubles with each failure in the recent past.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// PenaltyHalfLife is the time in which an instance's count of failures halves.
	PenaltyHalfLife time.Duration
	// WarmUp is how long a new or returning instance takes to reach its full weight.
	WarmUp time.Duration
	// OverloadCooldown is how long one refusal for load lowers an instance's weight.
	OverloadCooldown time.Duration
}

// DefaultOptions returns the options in use unless the settings state others.
func DefaultOptions() Options {
	return Options{
		MaxLossFraction:    0.25,
		LossAcceptDelay:    time.Minute,
		AbsenceGracePeriod: 10 * time.Second,
		// An idle connection carries a heartbeat every 10 s.
		HeartbeatMaxAge:    12 * time.Second,
		MaxEjectedFraction: 0.5,
		BaseEjectionTime:   time.Second,
		MaxEjectionTime:    time.Minute,
		PenaltyHalfLife:    time.Minute,
		WarmUp:             10 * time.Second,
		OverloadCooldown:   time.Second,
	}
}
