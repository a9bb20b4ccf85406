package retry

// Outcome is how one attempt ended without an answer for the caller.
type Outcome int

// The outcomes.
const (
	// Unsent means that no byte of the request reached a server.
	Unsent Outcome = iota
	// Refused means that the server promised not to have run the request.
	Refused
	// Unknown means that the request may have run.
	Unknown
)

// Limits bound the attempts of one request.
type Limits struct {
	// Attempts bounds the servers that may run the request, Unsent those that
	// cannot be reached. Refusals bounds the servers that refuse it; 0 means that
	// they count as attempts.
	Attempts, Unsent, Refusals int
}

// AttemptCounts counts the attempts of one request.
type AttemptCounts struct{ Sent, Unsent, Refused int }

// Count counts an attempt.
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

// Allow tells whether another attempt may follow one that ended in a way.
// Repeatable is set for a request that may run more than once. A budget may
// still forbid it.
//
// It answers servers that fail or refuse many requests at once: each request
// tries few of them.
func (l Limits) Allow(a AttemptCounts, last Outcome, repeatable bool) bool {
	ran := a.Sent
	if l.Refusals > 0 {
		ran -= a.Refused
	}
	switch {
	case last == Unsent:
		return a.Unsent < l.Unsent
	case last == Refused && l.Refusals > 0:
		return a.Refused <= l.Refusals
	case last == Unknown && !repeatable:
		return false
	}
	return ran < l.Attempts
}
