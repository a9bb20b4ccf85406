package attempt

import (
	"slices"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/chart"
)

// Key identifies one attempt of a request.
type Key struct {
	Request string
	Number  uint32
}

// Refusal is the reason why a ledger does not accept an attempt. A refused
// attempt did not run, unless the reason is RefusalDuplicate, or
// RefusalStaleIncarnation, which is decided without looking up the attempt.
type Refusal int

// The reasons. RefusalNone means that the attempt is accepted.
const (
	RefusalNone Refusal = iota
	RefusalDraining
	RefusalStaleIncarnation
	RefusalWithdrawn
	RefusalStaleAttempt
	// RefusalDuplicate means that the attempt was delivered before. It gets no
	// reply; the first delivery does.
	RefusalDuplicate
)

// The states and events of the state chart "attempt".
const (
	stateOpened    chart.State = "opened"
	stateRunning   chart.State = "running"
	stateDone      chart.State = "done"
	stateWithdrawn chart.State = "withdrawn"

	eventBegin    chart.Event = "begin"
	eventFinish   chart.Event = "finish"
	eventNotRun   chart.Event = "not_run"
	eventWithdraw chart.Event = "withdraw"
)

// lifecycle returns the state chart of an attempt. It panics on a mismatch with
// the states and events above, because the chart is embedded in the binary.
var lifecycle = sync.OnceValue(func() *chart.Chart {
	c, err := chart.LoadEmbedded("attempt",
		[]chart.State{stateOpened, stateRunning, stateDone, stateWithdrawn},
		[]chart.Event{eventBegin, eventFinish, eventNotRun, eventWithdraw},
	)
	if err != nil {
		panic(err)
	}
	return c
})

// record is the state of the newest attempt of a request.
type record struct {
	number uint32
	state  chart.State
	// endedAt is when state became final.
	endedAt time.Time
	// olderBegun lists the older attempts that were begun. A late copy of one of
	// them must not be refused, because a refusal says that it did not run.
	olderBegun []uint32
}

// successor returns the record of a newer attempt that replaces r, which may be
// nil.
func (r *record) successor(number uint32) *record {
	next := &record{number: number, state: lifecycle().Initial()}
	if r == nil {
		return next
	}
	next.olderBegun = r.olderBegun
	if r.state == stateRunning || r.state == stateDone {
		next.olderBegun = append(next.olderBegun, r.number)
	}
	return next
}

// active reports whether the attempt is neither finished nor withdrawn.
func (r *record) active() bool { return !lifecycle().IsFinal(r.state) }

// TombstoneTTL is how long a finished or withdrawn attempt is remembered. It
// must exceed the idle timeout of connections, because a late frame can arrive
// only on a connection that is still open.
const TombstoneTTL = time.Minute

// Ledger tracks the attempts that a sidecar has received and decides which may
// run. The newest attempt of a request replaces older ones; an attempt that was
// withdrawn before it arrived is refused. Use NewLedger to create one.
type Ledger struct {
	incarnation string
	draining    bool
	// records holds the newest attempt of each request by request id.
	records map[string]*record
	running int
	// lastExpire is the time of the last call of Expire.
	lastExpire time.Time
}

// maxExpireGap is the longest expected time between two calls of Expire. A
// longer gap means that the process was paused.
const maxExpireGap = 10 * time.Second

// NewLedger returns an empty ledger for a sidecar process with the given
// incarnation id.
func NewLedger(incarnation string) *Ledger {
	return &Ledger{incarnation: incarnation, records: make(map[string]*record)}
}

// Drain makes the ledger refuse new requests. Open also refuses new attempts of
// requests in progress, because an attempt that needs no state on this instance
// can go to another one. Continue still accepts them.
func (l *Ledger) Drain() { l.draining = true }

// Draining reports whether Drain was called.
func (l *Ledger) Draining() bool { return l.draining }

// Open registers an attempt that was addressed to the given incarnation. It
// returns RefusalNone if the attempt is accepted.
func (l *Ledger) Open(key Key, incarnation string) Refusal {
	return l.open(key, incarnation, l.draining)
}

// Continue registers the next attempt of a request that goes on with its state
// on this instance. Unlike Open, it accepts the attempt while draining if the
// request is in progress: a graceful shutdown does not interrupt such requests.
func (l *Ledger) Continue(key Key, incarnation string) Refusal {
	newest := l.records[key.Request]
	inProgress := newest != nil && newest.active()
	return l.open(key, incarnation, l.draining && !inProgress)
}

func (l *Ledger) open(key Key, incarnation string, draining bool) Refusal {
	if incarnation != l.incarnation {
		return RefusalStaleIncarnation
	}
	newest := l.records[key.Request]
	if newest != nil {
		if refusal := refusalFor(newest, key); refusal != RefusalNone {
			return refusal
		}
	}
	if draining {
		return RefusalDraining
	}
	if newest != nil && newest.state == stateRunning {
		l.running--
	}
	l.records[key.Request] = newest.successor(key.Number)
	return RefusalNone
}

func refusalFor(newest *record, key Key) Refusal {
	switch {
	case key.Number < newest.number && slices.Contains(newest.olderBegun, key.Number):
		return RefusalDuplicate
	case key.Number < newest.number:
		return RefusalStaleAttempt
	case key.Number > newest.number:
		return RefusalNone
	case newest.state == stateWithdrawn:
		return RefusalWithdrawn
	default:
		return RefusalDuplicate
	}
}

// transition applies an event to an active attempt. It returns false and changes
// nothing if the state chart does not allow the event.
func (l *Ledger) transition(r *record, event chart.Event, now time.Time) bool {
	if !r.active() {
		return false
	}
	next, err := lifecycle().Next(r.state, event)
	if err != nil {
		return false
	}
	if r.state == stateRunning {
		l.running--
	}
	r.state = next
	if r.state == stateRunning {
		l.running++
	}
	if !r.active() {
		r.endedAt = now
	}
	return true
}

// Begin marks an opened attempt as running. It returns false if the attempt must
// not run because it was withdrawn, replaced or already begun.
func (l *Ledger) Begin(key Key) bool {
	newest := l.lookup(key)
	if newest == nil || newest.state != stateOpened {
		return false
	}
	return l.transition(newest, eventBegin, time.Time{})
}

// IsCurrent reports whether the attempt is the newest of its request and neither
// finished nor withdrawn.
func (l *Ledger) IsCurrent(key Key) bool {
	newest := l.lookup(key)
	return newest != nil && newest.active()
}

// Finish marks an attempt as done.
func (l *Ledger) Finish(key Key, now time.Time) {
	if newest := l.lookup(key); newest != nil {
		l.transition(newest, eventFinish, now)
	}
}

// MarkNotExecuted ends an attempt that certainly did not reach the backend
// server, for example because the connection was refused. It leaves a tombstone,
// so that a late copy does not run either.
func (l *Ledger) MarkNotExecuted(key Key, now time.Time) {
	if newest := l.lookup(key); newest != nil {
		l.transition(newest, eventNotRun, now)
	}
}

// Withdraw cancels an attempt unless it has begun. ExecutedNo means that the
// attempt certainly did not run and will be refused from now on.
func (l *Ledger) Withdraw(key Key, now time.Time) Executed {
	newest := l.records[key.Request]
	if newest == nil || key.Number > newest.number {
		if newest != nil && newest.state == stateRunning {
			l.running--
		}
		next := newest.successor(key.Number)
		next.state, next.endedAt = stateWithdrawn, now
		l.records[key.Request] = next
		return ExecutedNo
	}
	if key.Number < newest.number {
		// Only the state of the newest attempt is kept.
		return ExecutedUnknown
	}
	l.transition(newest, eventWithdraw, now)
	switch newest.state {
	case stateWithdrawn:
		newest.endedAt = now
		return ExecutedNo
	case stateDone:
		return ExecutedYes
	default:
		return ExecutedUnknown
	}
}

// Expire removes attempts that ended more than TombstoneTTL ago. It must be
// called every few seconds. A longer gap counts as a pause of the process and
// not towards TombstoneTTL, because frames that arrived meanwhile may still be
// unread.
func (l *Ledger) Expire(now time.Time) {
	gap := now.Sub(l.lastExpire)
	if !l.lastExpire.IsZero() && gap > maxExpireGap {
		for _, r := range l.records {
			r.endedAt = r.endedAt.Add(gap)
		}
	}
	l.lastExpire = now
	for request, r := range l.records {
		if !r.active() && now.Sub(r.endedAt) > TombstoneTTL {
			delete(l.records, request)
		}
	}
}

// Running returns the number of attempts that are running.
func (l *Ledger) Running() int { return l.running }

// InProgress returns the number of attempts that are neither finished nor
// withdrawn.
func (l *Ledger) InProgress() int {
	n := 0
	for _, r := range l.records {
		if r.active() {
			n++
		}
	}
	return n
}

// lookup returns the record of an attempt, or nil if it is not the newest of its
// request.
func (l *Ledger) lookup(key Key) *record {
	newest := l.records[key.Request]
	if newest == nil || newest.number != key.Number {
		return nil
	}
	return newest
}
