package retry

// Outcome classifies an attempt that produced no answer for the client.
type Outcome int

// Outcomes of a failed attempt.
const (
	// Unsent means that no byte of the request reached the server.
	Unsent Outcome = iota
	// Refused means that the server stated that it did not execute the request.
	Refused
	// Unknown means that the server may have executed the request.
	Unknown
)

// Limits bounds the attempts of one request.
type Limits struct {
	// Attempts bounds the attempts that may execute the request, Unsent those that
	// do not reach a server, and Refusals those that a server refuses. If Refusals
	// is 0, refused attempts count towards Attempts.
	Attempts, Unsent, Refusals int
}

// AttemptCounts counts the attempts of one request by outcome. Sent includes Refused.
type AttemptCounts struct{ Sent, Unsent, Refused int }

// Count records an attempt that ended with the given outcome.
func (a *AttemptCounts) Count(o Outcome) {
	switch o {
	case Unsent:
		a.Unsent++
		return
	case Refused:
		a.Refused++
	}
	a.Sent++
}

// Allow reports whether another attempt may follow one that ended with last.
// repeatable is set if the request may be executed more than once. A retry
// budget may still deny the attempt.
//
// The limits keep each request from trying more than a few servers when many
// of them fail or refuse requests at once.
func (l Limits) Allow(a AttemptCounts, last Outcome, repeatable bool) bool {
	attempts := a.Sent
	if l.Refusals > 0 {
		attempts -= a.Refused
	}
	switch {
	case last == Unsent:
		return a.Unsent < l.Unsent
	case last == Refused && l.Refusals > 0:
		return a.Refused <= l.Refusals
	case last == Unknown && !repeatable:
		return false
	}
	return attempts < l.Attempts
}
