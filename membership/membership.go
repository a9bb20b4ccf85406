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
	// RefusedDraining means that the instance itself refuses new work because it is leaving.
	RefusedDraining
	// RefusedConnection means that a connection attempt was refused, or that the engine beside the sidecar is down.
	RefusedConnection
	// EndOfStream means that an open connection ended.
	EndOfStream
	// Silent means that an open connection carried no frame for the silence limit.
	Silent
	// Overloaded means that the instance refused work because it is busy. It is
	// not a failure and never ejects an instance.
	Overloaded
	// Restarted means that a new incarnation, which is not draining, greeted. It
	// clears RefusedDraining and starts the warm-up.
	Restarted
)

// String returns the evidence's name.
func (e Evidence) String() string {
	switch e {
	case Heartbeat:
		return "heartbeat"
	case RefusedDraining:
		return "refused_draining"
	case RefusedConnection:
		return "refused_connection"
	case EndOfStream:
		return "end_of_stream"
	case Silent:
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
	// DistrustLoss is the fraction of a service's instances that a list may lose at once and still be trusted.
	DistrustLoss float64
	// DistrustHold is how long a non-empty list must repeat its loss, with no direct
	// evidence against it, before it is accepted.
	DistrustHold time.Duration
	// AbsentGrace is how long an instance that is missing from a trusted list stays
	// a candidate while it still sends heartbeats.
	AbsentGrace time.Duration
	// Fresh is how long a heartbeat proves that an instance lives.
	Fresh time.Duration
	// MaxEjected is the fraction of a service's instances that may be ejected at once.
	MaxEjected float64
	// EjectBase and EjectLimit bound how long an instance stays ejected after it
	// shows life again. The time doubles with each failure in the recent past.
	EjectBase, EjectLimit time.Duration
	// PenaltyHalfLife is the time in which an instance's count of failures halves.
	PenaltyHalfLife time.Duration
	// WarmUp is how long a new or returning instance takes to reach its full weight.
	WarmUp time.Duration
	// OverloadHold is how long one refusal for load lowers an instance's weight.
	OverloadHold time.Duration
}

// DefaultOptions returns the options in use unless the settings state others.
func DefaultOptions() Options {
	return Options{
		DistrustLoss: 0.25,
		DistrustHold: time.Minute,
		AbsentGrace:  10 * time.Second,
		// An idle connection carries a heartbeat every 10 s.
		Fresh:           12 * time.Second,
		MaxEjected:      0.5,
		EjectBase:       time.Second,
		EjectLimit:      time.Minute,
		PenaltyHalfLife: time.Minute,
		WarmUp:          10 * time.Second,
		OverloadHold:    time.Second,
	}
}
