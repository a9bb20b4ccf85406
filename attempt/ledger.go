package attempt

import (
	"slices"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/chart"
)

// Key names one attempt of one request.
type Key struct {
	Request string
	Number  uint32
}

// Refusal tells why a ledger does not accept an attempt. A refused attempt was not run.
type Refusal int

// The refusals. RefusalNone means that the attempt is accepted.
const (
	RefusalNone Refusal = iota
	RefusalDraining
	RefusalStaleIncarnation
	RefusalWithdrawn
	RefusalStaleAttempt
	// RefusalDuplicate is not answered: the first delivery of the attempt is.
	RefusalDuplicate
)

// The states and events of the chart attempt.
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

// lifecycle is the chart that all attempts follow. It is embedded in the
// program, so a chart that does not fit is a fault of the build.
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

type record struct {
	number uint32
	state  chart.State
	// closedAt is when the record reached a final state.
	closedAt time.Time
	// begun lists the older attempts that were begun. A late copy of one of them
	// must not be refused as "not run".
	begun []uint32
}

// successor returns the record of a newer attempt that replaces this one.
func (r *record) successor(number uint32) *record {
	next := &record{number: number, state: lifecycle().Initial()}
	if r == nil {
		return next
	}
	next.begun = r.begun
	if r.state == stateRunning || r.state == stateDone {
		next.begun = append(next.begun, r.number)
	}
	return next
}

// open tells whether the attempt is neither finished nor withdrawn.
func (r *record) open() bool { return !lifecycle().IsFinal(r.state) }

// TombstoneTTL is how long a finished or withdrawn attempt is remembered. It
// must exceed the silence after which a connection is closed, because a frame
// can arrive late only on a connection that is still open.
const TombstoneTTL = time.Minute

// Ledger decides in a sidecar which attempts may run. The newest attempt of a
// request replaces older ones; a withdrawn attempt is refused when it arrives
// late. The zero value is not ready for use.
type Ledger struct {
	incarnation string
	draining    bool
	records     map[string]*record
	running     int
	// swept is the time of the last Expire.
	swept time.Time
}

// maxSweepGap is the longest time between two calls of Expire of a process that
// runs; after a longer one the process was paused.
const maxSweepGap = 10 * time.Second

// NewLedger returns an empty ledger for one start of a sidecar.
func NewLedger(incarnation string) *Ledger {
	return &Ledger{incarnation: incarnation, records: make(map[string]*record)}
}

// Drain makes the ledger refuse all new requests. New attempts of requests that
// are already open are refused too, except by Continue: a request whose state
// here is of no use any more can go to another instance.
func (l *Ledger) Drain() { l.draining = true }

// Draining tells whether the ledger refuses new requests.
func (l *Ledger) Draining() bool { return l.draining }

// Open offers an attempt that was addressed to the given incarnation.
func (l *Ledger) Open(key Key, incarnation string) Refusal {
	return l.open(key, incarnation, l.draining)
}

// Continue offers the next attempt of a request whose state here goes on. While
// draining it is accepted as long as the request is in progress, because a
// graceful shutdown cuts off nothing that is in progress.
func (l *Ledger) Continue(key Key, incarnation string) Refusal {
	known := l.records[key.Request]
	inProgress := known != nil && known.open()
	return l.open(key, incarnation, l.draining && !inProgress)
}

func (l *Ledger) open(key Key, incarnation string, draining bool) Refusal {
	if incarnation != l.incarnation {
		return RefusalStaleIncarnation
	}
	known := l.records[key.Request]
	if known != nil {
		if refusal := refuseKnown(known, key); refusal != RefusalNone {
			return refusal
		}
	}
	if draining {
		return RefusalDraining
	}
	if known != nil && known.state == stateRunning {
		l.running--
	}
	l.records[key.Request] = known.successor(key.Number)
	return RefusalNone
}

func refuseKnown(known *record, key Key) Refusal {
	switch {
	case key.Number < known.number && slices.Contains(known.begun, key.Number):
		return RefusalDuplicate
	case key.Number < known.number:
		return RefusalStaleAttempt
	case key.Number > known.number:
		return RefusalNone
	case known.state == stateWithdrawn:
		return RefusalWithdrawn
	default:
		return RefusalDuplicate
	}
}

// move takes an event of an open attempt. It returns false, and changes
// nothing, when the chart does not allow the event.
func (l *Ledger) move(r *record, event chart.Event, now time.Time) bool {
	if !r.open() {
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
	if !r.open() {
		r.closedAt = now
	}
	return true
}

// Begin marks an opened attempt as running. It returns false when the attempt
// must not run because it was withdrawn, replaced or already begun.
func (l *Ledger) Begin(key Key) bool {
	known := l.current(key)
	if known == nil || known.state != stateOpened {
		return false
	}
	return l.move(known, eventBegin, time.Time{})
}

// IsCurrent tells whether the attempt is the newest one of its request and is
// neither finished nor withdrawn.
func (l *Ledger) IsCurrent(key Key) bool {
	known := l.current(key)
	return known != nil && known.open()
}

// Finish marks an attempt as done.
func (l *Ledger) Finish(key Key, now time.Time) {
	if known := l.current(key); known != nil {
		l.move(known, eventFinish, now)
	}
}

// MarkNotExecuted marks an attempt that was begun although it certainly did not reach the
// backend server, for example because the connection was refused. It leaves a
// tombstone, so that a late copy does not run either.
func (l *Ledger) MarkNotExecuted(key Key, now time.Time) {
	if known := l.current(key); known != nil {
		l.move(known, eventNotRun, now)
	}
}

// Withdraw asks that an attempt not run. The answer ExecutedNo is a promise:
// the attempt did not run and is refused from now on.
func (l *Ledger) Withdraw(key Key, now time.Time) Executed {
	known := l.records[key.Request]
	if known == nil || key.Number > known.number {
		if known != nil && known.state == stateRunning {
			l.running--
		}
		next := known.successor(key.Number)
		next.state, next.closedAt = stateWithdrawn, now
		l.records[key.Request] = next
		return ExecutedNo
	}
	if key.Number < known.number {
		// Only the newest attempt is remembered, so nothing certain can be said.
		return ExecutedUnknown
	}
	l.move(known, eventWithdraw, now)
	switch known.state {
	case stateWithdrawn:
		known.closedAt = now
		return ExecutedNo
	case stateDone:
		return ExecutedYes
	default:
		return ExecutedUnknown
	}
}

// Expire forgets attempts that ended more than TombstoneTTL ago. Time in which
// the process was paused does not count, because frames that arrived meanwhile
// may still wait to be read. It is to be called every few seconds.
func (l *Ledger) Expire(now time.Time) {
	gap := now.Sub(l.swept)
	if !l.swept.IsZero() && gap > maxSweepGap {
		for _, r := range l.records {
			r.closedAt = r.closedAt.Add(gap)
		}
	}
	l.swept = now
	for request, r := range l.records {
		if !r.open() && now.Sub(r.closedAt) > TombstoneTTL {
			delete(l.records, request)
		}
	}
}

// Running counts the attempts that are running.
func (l *Ledger) Running() int { return l.running }

// InProgress counts the attempts that are neither finished nor withdrawn.
func (l *Ledger) InProgress() int {
	n := 0
	for _, r := range l.records {
		if r.open() {
			n++
		}
	}
	return n
}

func (l *Ledger) current(key Key) *record {
	known := l.records[key.Request]
	if known == nil || known.number != key.Number {
		return nil
	}
	return known
}
