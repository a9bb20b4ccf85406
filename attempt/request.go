package attempt

import "time"

// Request decides in an entry whether a request may be sent to a further
// backend server and what its caller may be told. One Request holds all
// attempts of one request.
type Request struct {
	idempotent bool
	attempts   []Executed
	answering  bool
}

// NewRequest returns a request without attempts. An idempotent request may run more than once.
func NewRequest(idempotent bool) *Request {
	return &Request{idempotent: idempotent}
}

// MayStartAttempt tells whether another attempt is allowed: every earlier attempt
// certainly did not run, or the request is idempotent and no part of an answer
// has reached the caller.
func (r *Request) MayStartAttempt() bool {
	if r.answering {
		return false
	}
	if r.idempotent {
		return true
	}
	return r.Executed() == ExecutedNo
}

// StartAttempt records that an attempt is about to be sent and returns its number,
// which counts from 1. It must be called before the first byte is written.
func (r *Request) StartAttempt() uint32 {
	r.attempts = append(r.attempts, ExecutedUnknown)
	return uint32(len(r.attempts))
}

// Observe records what became certain about an attempt. A value that is
// already certain never changes, because late frames carry no newer knowledge.
func (r *Request) Observe(number uint32, executed Executed) {
	if number == 0 || int(number) > len(r.attempts) {
		return
	}
	if r.attempts[number-1] == ExecutedUnknown {
		r.attempts[number-1] = executed
	}
}

// ObserveWithdrawal records the answer to a withdrawal. Sent is when Send was
// called. A sidecar forgets an ended attempt after TombstoneTTL and then takes
// it for one that it never saw, so its "no" proves nothing to an entry that was
// paused and asks that late.
func (r *Request) ObserveWithdrawal(number uint32, executed Executed, sent, now time.Time) {
	if executed == ExecutedNo && now.Sub(sent) >= TombstoneTTL {
		executed = ExecutedUnknown
	}
	r.Observe(number, executed)
}

// ResponseStarted records that the caller has been sent a part of the answer.
func (r *Request) ResponseStarted() { r.answering = true }

// Latest returns the number of the newest attempt, or 0 when there is none.
func (r *Request) Latest() uint32 { return uint32(len(r.attempts)) }

// Executed returns what the caller may be told: "no" only when every attempt
// certainly did not run.
func (r *Request) Executed() Executed {
	result := ExecutedNo
	for _, e := range r.attempts {
		switch e {
		case ExecutedYes:
			return ExecutedYes
		case ExecutedUnknown:
			result = ExecutedUnknown
		}
	}
	return result
}
