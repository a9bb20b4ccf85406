// Package membership decides which instances may receive work. It combines the
// platform's instance list, which lags and may be wrong, with direct evidence
// from connections. It performs no I/O and reads no clock.
package membership

import "time"

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID      string
	Service string
	Zone    string
	Address string
	// Leaving is set if the platform is about to remove the instance.
	Leaving bool
}

// Evidence is a health signal from a connection to an instance.
type Evidence int

// The kinds of evidence.
const (
	// Heartbeat means that a frame arrived from the instance.
	Heartbeat Evidence = iota + 1
	// RefusedDraining means that the instance refused new work because it is draining.
	RefusedDraining
	// RefusedConnection means that a connection attempt was refused or that the engine of the sidecar is down.
	RefusedConnection
	// EndOfStream means that an established connection ended.
	EndOfStream
	// Silent means that no frame arrived on an established connection within the liveness timeout.
	Silent
	// Overloaded means that the instance refused work because it is overloaded. This
	// is not a failure and never ejects an instance.
	Overloaded
	// Restarted means that a new incarnation of the instance, which is not draining,
	// connected. It clears RefusedDraining and starts the warm-up.
	Restarted
)

// String returns the evidence's name, or "none" for an unknown value.
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
	// Weight is in (0, 1]. It is below 1 while the instance warms up, is overloaded
	// or is suspect.
	Weight float64
	// Overloaded is set for a short time after the instance refused work because it was overloaded.
	Overloaded bool
	// Suspect is set if the instance would be ejected but for the limit on the
	// ejected fraction.
	Suspect bool
}

// ListVerdict is whether an instance list was accepted.
type ListVerdict int

// The possible verdicts on an instance list.
const (
	// ListAccepted means that the list replaced the trusted set of instances.
	ListAccepted ListVerdict = iota + 1
	// ListDistrusted means that the list lost too many instances of a service at once.
	// Its additions apply, but the trusted set stays in use and only direct evidence
	// excludes instances.
	ListDistrusted
)

// Options configure a View.
type Options struct {
	// DistrustLoss is the largest fraction of a service's instances that a list may lose at once and still be trusted.
	DistrustLoss float64
	// DistrustHold is how long the same loss in a non-empty list must persist, with no
	// recent heartbeat from the missing instances, before it is accepted.
	DistrustHold time.Duration
	// AbsentGrace is how long an instance that is missing from a trusted list remains
	// a candidate while it still sends heartbeats.
	AbsentGrace time.Duration
	// Fresh is how long after a heartbeat an instance is considered alive.
	Fresh time.Duration
	// MaxEjected is the largest fraction of a service's instances that may be ejected at once.
	MaxEjected float64
	// EjectBase and EjectLimit bound how long an instance stays ejected after it
	// recovers. The time doubles with each recent failure.
	EjectBase, EjectLimit time.Duration
	// PenaltyHalfLife is the half-life of an instance's failure count.
	PenaltyHalfLife time.Duration
	// WarmUp is how long a new or returning instance takes to reach its full weight.
	WarmUp time.Duration
	// OverloadHold is how long a refusal due to overload reduces an instance's weight.
	OverloadHold time.Duration
}

// DefaultOptions returns the options that apply unless the settings override them.
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
