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
	// Draining means that the instance refused new work because it is draining.
	Draining
	// ConnectionRefused means that a connection attempt was refused or that the engine of the sidecar is down.
	ConnectionRefused
	// ConnectionLost means that an established connection ended.
	ConnectionLost
	// HeartbeatTimeout means that no frame arrived on an established connection within the liveness timeout.
	HeartbeatTimeout
	// Overloaded means that the instance refused work because it is overloaded. This
	// is not a failure and never ejects an instance.
	Overloaded
	// Restarted means that a new incarnation of the instance, which is not draining,
	// connected. It ends the draining state and starts the warm-up.
	Restarted
)

// String returns the evidence's name, or "none" for an unknown value.
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
	// MaxLossFraction is the largest fraction of a service's instances that a list may lose at once and still be trusted.
	MaxLossFraction float64
	// LossAcceptDelay is how long the same loss in a non-empty list must persist, with no
	// recent heartbeat from the missing instances, before it is accepted.
	LossAcceptDelay time.Duration
	// AbsenceGracePeriod is how long an instance that is missing from a trusted list remains
	// a candidate while it still sends heartbeats.
	AbsenceGracePeriod time.Duration
	// HeartbeatMaxAge is how long after a heartbeat an instance is considered alive.
	HeartbeatMaxAge time.Duration
	// MaxEjectedFraction is the largest fraction of a service's instances that may be ejected at once.
	MaxEjectedFraction float64
	// BaseEjectionTime and MaxEjectionTime bound how long an instance stays ejected after it
	// recovers. The time doubles with each recent failure.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// PenaltyHalfLife is the half-life of an instance's failure count.
	PenaltyHalfLife time.Duration
	// WarmUp is how long a new or returning instance takes to reach its full weight.
	WarmUp time.Duration
	// OverloadCooldown is how long a refusal due to overload reduces an instance's weight.
	OverloadCooldown time.Duration
}

// DefaultOptions returns the options that apply unless the settings override them.
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
