package admission

import (
	"cmp"
	"slices"
	"time"
)

// CallFailure is how an attempt of a call ended without an answer that helps its client.
type CallFailure int

// The failures of an attempt.
const (
	// CallRefused means that the server did not execute the call and never will.
	CallRefused CallFailure = iota
	// CallLost means that the call may have been executed and has no whole answer.
	CallLost
	// CallErrored means that the server executed the call and answered with an error of
	// its own.
	CallErrored
)

// CallStep is what follows such an attempt.
type CallStep int

// The steps.
const (
	// EndCall ends the call: the client gets the server's error if there is one. Otherwise
	// it is refused if no server can have executed it, or else its outcome is unknown.
	EndCall CallStep = iota
	// CallElsewhere sends the call to another server at once.
	CallElsewhere
	// CallAgain lets the call wait for its turn and then sends it to any server.
	CallAgain
)

// CallState describes a call after a failed attempt.
type CallState struct {
	Failure CallFailure
	// OtherServer is set if a server that has not failed the call takes calls now.
	OtherServer bool
	// Wait is how long the call would wait for its turn, ServiceTime how long the servers
	// take for a call, and TimeLeft the time until the client gives up.
	Wait, ServiceTime, TimeLeft time.Duration
}

// NextCallStep decides what follows a failed attempt if another one is allowed. It answers
// three loads: a burst that fills all servers for a moment, in which the second refusal
// comes within milliseconds of the first one; a service that has only one server left; and
// calls that fail for a reason of their own, which the same server would only repeat.
func NextCallStep(s CallState) CallStep {
	switch {
	case s.OtherServer:
		return CallElsewhere
	case s.Failure == CallErrored || s.Wait+s.ServiceTime > s.TimeLeft:
		return EndCall
	}
	return CallAgain
}

// WaitingCall is a call that waits until a server has room.
type WaitingCall struct {
	// Rank orders calls; 0 is served first.
	Rank int
	// Arrived is when the call arrived, Due when its answer is due, and GiveUpAt when its
	// client gives up.
	Arrived, Due, GiveUpAt time.Time
}

// CallQueue orders the calls that wait at one entry while the servers of a service are
// full. They start one after another, as fast as the servers end calls.
//
// The rank decides, and each aging interval of waiting counts for one rank. Within a rank
// those that can still be on time come first, the one that is due first before the others:
// a call that is late anyway loses nothing more by waiting. It performs no I/O, reads no
// clock and is not safe for concurrent use.
type CallQueue struct {
	waiting []*WaitingCall
	// openAt is the earliest time for the next call.
	openAt time.Time
	// serviceTime is the moving average of the time that a server takes for a call.
	serviceTime time.Duration
	// refusals counts the refusals since a server last took a call.
	refusals int
}

const (
	// callAgingInterval is the wait after which a call counts as one rank higher.
	callAgingInterval = 250 * time.Millisecond
	// initialServiceTime is assumed until a call was answered.
	initialServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of a new measurement in the moving average.
	serviceTimeWeight = 0.1
	// maxRefusalDoublings bounds the growth of the pause between refusals.
	maxRefusalDoublings = 3
)

// Len returns the number of calls that wait.
func (q *CallQueue) Len() int { return len(q.waiting) }

// Add adds a call.
func (q *CallQueue) Add(c *WaitingCall) { q.waiting = append(q.waiting, c) }

// Remove removes a call, if it waits.
func (q *CallQueue) Remove(c *WaitingCall) {
	if i := slices.Index(q.waiting, c); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// ServiceTime returns the time that a server is expected to take for a call.
func (q *CallQueue) ServiceTime() time.Duration {
	if q.serviceTime == 0 {
		return initialServiceTime
	}
	return q.serviceTime
}

// Answered records a call that a server has answered after a time.
func (q *CallQueue) Answered(took time.Duration) {
	q.refusals = 0
	q.serviceTime = q.ServiceTime() + time.Duration(serviceTimeWeight*float64(took-q.ServiceTime()))
}

// Refused records that all servers have refused a call. The next one starts after a pause
// that doubles with each further refusal: the servers are full of the calls of all entries.
func (q *CallQueue) Refused(now time.Time) {
	q.openAt = now.Add(q.ServiceTime() << min(q.refusals, maxRefusalDoublings))
	q.refusals++
}

// Take reports whether it is the call's turn, and if so removes it. Otherwise it returns
// when to ask again. slots is the number of calls that the servers execute at a time.
func (q *CallQueue) Take(now time.Time, c *WaitingCall, slots int) (ok bool, askAt time.Time) {
	if now.Before(q.openAt) {
		return false, q.openAt
	}
	if first := slices.MinFunc(q.waiting, func(a, b *WaitingCall) int { return q.compare(now, a, b) }); first != c {
		return false, now.Add(q.spacing(slots))
	}
	q.Remove(c)
	q.openAt = now.Add(q.spacing(slots))
	return true, now
}

// spacing is the time between the ends of two calls at servers that are full.
func (q *CallQueue) spacing(slots int) time.Duration {
	return max(q.ServiceTime()/time.Duration(max(slots, 1)), time.Millisecond)
}

// ExpectedWait returns how long a call would wait now.
func (q *CallQueue) ExpectedWait(now time.Time, c *WaitingCall, slots int) time.Duration {
	ahead := 0
	for _, other := range q.waiting {
		if other != c && q.compare(now, other, c) < 0 {
			ahead++
		}
	}
	return max(q.openAt.Sub(now), 0) + time.Duration(ahead)*q.spacing(slots)
}

func (q *CallQueue) compare(now time.Time, a, b *WaitingCall) int {
	return cmp.Or(
		cmp.Compare(a.agedRank(now), b.agedRank(now)),
		q.compareDue(now, a, b),
		a.Arrived.Compare(b.Arrived),
	)
}

// compareDue orders calls of one rank.
func (q *CallQueue) compareDue(now time.Time, a, b *WaitingCall) int {
	end := now.Add(q.ServiceTime())
	aLate, bLate := end.After(a.Due), end.After(b.Due)
	switch {
	case aLate != bLate && aLate:
		return 1
	case aLate != bLate:
		return -1
	case aLate:
		return a.GiveUpAt.Compare(b.GiveUpAt)
	}
	return a.Due.Compare(b.Due)
}

func (c *WaitingCall) agedRank(now time.Time) int {
	return c.Rank - int(now.Sub(c.Arrived)/callAgingInterval)
}
