package attempt

import "time"

// Request tracks all attempts of one request in the entry process. It decides
// whether another attempt is allowed and what the client may be told.
type Request struct {
	idempotent      bool
	attempts        []Executed
	responseStarted bool
}

// NewRequest returns a request without attempts. An idempotent request may run
// more than once.
func NewRequest(idempotent bool) *Request {
	return &Request{idempotent: idempotent}
}

// MayStartAttempt reports whether another attempt is allowed: no part of a
// response has been sent to the client, and either the request is idempotent or
// every earlier attempt certainly did not run.
func (r *Request) MayStartAttempt() bool {
	if r.responseStarted {
		return false
	}
	if r.idempotent {
		return true
	}
	return r.Executed() == ExecutedNo
}

// StartAttempt records that an attempt is about to be sent and returns its
// number, starting at 1. It must be called before the first byte is written.
func (r *Request) StartAttempt() uint32 {
	r.attempts = append(r.attempts, ExecutedUnknown)
	return uint32(len(r.attempts))
}

// Observe records whether an attempt ran. A value other than ExecutedUnknown is
// final, because frames that arrive later carry no newer information.
func (r *Request) Observe(number uint32, executed Executed) {
	if number == 0 || int(number) > len(r.attempts) {
		return
	}
	if r.attempts[number-1] == ExecutedUnknown {
		r.attempts[number-1] = executed
	}
}

// ObserveWithdrawal records a sidecar's reply to a withdrawal; sent is when
// StartAttempt was called. A sidecar forgets an ended attempt after TombstoneTTL
// and then replies "no" as for an attempt that never arrived. An entry process
// that was paused for that long must therefore treat "no" as unknown.
func (r *Request) ObserveWithdrawal(number uint32, executed Executed, sent, now time.Time) {
	if executed == ExecutedNo && now.Sub(sent) >= TombstoneTTL {
		executed = ExecutedUnknown
	}
	r.Observe(number, executed)
}

// ResponseStarted records that a part of the response has been sent to the
// client.
func (r *Request) ResponseStarted() { r.responseStarted = true }

// Latest returns the number of the newest attempt, or 0 when there is none.
func (r *Request) Latest() uint32 { return uint32(len(r.attempts)) }

// Executed returns what the client may be told: ExecutedNo only if every attempt
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
