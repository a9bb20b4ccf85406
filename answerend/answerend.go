// Package answerend decides what the end of a server's answer means: whether the answer
// is whole, and what the client gets if it is not. It decides from evidence that its
// callers gather: how the bytes ended, and what is known about each process that the
// answer came from.
package answerend

import "slices"

// End is how the bytes of an answer ended.
type End int

// The ends. Only the first two say by themselves that the answer is whole.
const (
	// LengthReached means that all bytes of the stated length have arrived, or that the
	// answer has no body.
	LengthReached End = iota + 1
	// LastChunk means that the chunk that ends the body has arrived.
	LastChunk
	// Closed means that the connection was read to its end without an error, under an answer
	// with neither a length nor chunks. The system of a crashed server closes it as well, and
	// a reset looks the same if the write of the request has got its error.
	Closed
	// Cut means a reset, a close before the stated end, or bytes that are no answer.
	Cut
	// Silent means that the server was given up after a silence.
	Silent
	// TimeOver means that the time for the request ran out.
	TimeOver
	// Stopped means that this process had to end.
	Stopped
	// ClientLeft means that nobody waits for the answer.
	ClientLeft
)

// InOrder returns the end of an answer that was read to its end without an error. The
// length is negative if none is stated; an answer to HEAD has no body.
func InOrder(length int64, chunked, hasBody bool) End {
	switch {
	case chunked && hasBody:
		return LastChunk
	case length >= 0 || !hasBody:
		return LengthReached
	}
	return Closed
}

// NeedsEvidence reports whether it depends on more than the end whether the answer is whole: on
// the write of the request and on the processes. Only then is it worth waiting for them.
func (e End) NeedsEvidence() bool { return e == Closed }

// Process is what is known, after the end of an answer, about a process that it came from.
type Process int

// The states of a process.
const (
	// Unknown means that it was not asked, or has not answered.
	Unknown Process = iota
	// Alive means that it still works, as the process that began the answer as far as
	// is known.
	Alive
	// Leaving means the same of one that is about to stop.
	Leaving
	// Crashed means that it is gone, or cannot do its part any more.
	Crashed
	// Restarted means that another process has taken its place.
	Restarted
)

// Evidence is what is known about the end of an answer.
type Evidence struct {
	End End
	// RequestSent is set once the whole request has been written without an error. A system
	// tells a reset once, to the write or to the read that asks first.
	RequestSent bool
	// InsideEvent is set for a stream that ended inside an event, and NoEvent for one
	// that ended before its first event.
	InsideEvent, NoEvent bool
	// Processes are those that the answer came from: the server, or each engine of the
	// path.
	Processes []Process
}

// IsWhole reports whether the answer is known to be whole.
func (e Evidence) IsWhole() bool {
	switch {
	case e.InsideEvent:
		return false
	case e.End == LengthReached, e.End == LastChunk:
		return true
	case e.End != Closed, !e.RequestSent, e.NoEvent, len(e.Processes) == 0:
		return false
	}
	return !slices.ContainsFunc(e.Processes, func(p Process) bool { return p != Alive && p != Leaving })
}

// Kind says what may follow an answer that is not whole.
type Kind int

// The kinds of requests.
const (
	// AtMostOnce requests are not sent again once a server may have run them. Those with
	// an idempotency key are the same for one entry.
	AtMostOnce Kind = iota
	// Idempotent requests may be sent again while the client has nothing of the answer.
	Idempotent
	// Stream is a stream that may not be sent again.
	Stream
	// ResumableStream may be sent again, and goes on after the last event that the client
	// has.
	ResumableStream
)

// Repeats reports whether a request that a server may have run may be sent again.
func (k Kind) Repeats() bool { return k == Idempotent || k == ResumableStream }

// Request is what matters of a request at the end of an answer.
type Request struct {
	Kind Kind
	// PassedOn is set once the client has bytes of an answer.
	PassedOn bool
	// NotRun is set if no server has run the request, or ever will.
	NotRun bool
	// NoRetry is set if another attempt is ruled out: by the limits of attempts, the retry
	// budget, or a suspicion that the request crashes servers.
	NoRetry bool
}

// Outcome is what the client gets.
type Outcome string

// The outcomes.
const (
	// Whole is the answer as a complete one.
	Whole Outcome = "whole"
	// Repeated is the answer to another attempt.
	Repeated Outcome = "repeated"
	// Resumed is the rest of a stream from another attempt.
	Resumed Outcome = "resumed"
	// BrokenOff is a connection that ends so that the answer does not look complete.
	BrokenOff Outcome = "broken off"
	// Refused is a promise that the request has not run.
	Refused Outcome = "refused"
	// OutcomeUnknown is a failure that promises nothing. A client whose time is over needs
	// no promise.
	OutcomeUnknown Outcome = "unknown"
	// Nobody is the outcome for a client that has left.
	Nobody Outcome = "nobody"
)

// Decide returns what the client gets after an answer, or an attempt without one, has ended.
func Decide(r Request, e Evidence) Outcome {
	switch {
	case e.End == ClientLeft:
		return Nobody
	case e.IsWhole():
		return Whole
	case r.PassedOn && r.Kind == ResumableStream && r.mayRetry(e.End):
		return Resumed
	case r.PassedOn:
		return BrokenOff
	case r.mayRetry(e.End):
		return Repeated
	case r.NotRun && e.End != TimeOver:
		return Refused
	}
	return OutcomeUnknown
}

// mayRetry reports whether another attempt may follow.
func (r Request) mayRetry(e End) bool {
	return (r.NotRun || r.Kind.Repeats()) && !r.NoRetry && e != TimeOver && e != Stopped
}
