// Package order decides which orders a sidecar gives to its engine, so that the
// engine reaches the state that the plan wants. It performs no I/O and reads no
// clock: inputs and times are passed in, and actions are returned.
package order

import (
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/chart"
)

// Role is what an engine does with its layers, for example prefill or decode.
type Role string

// LayerRange is the half-open range [First, Limit) of layers.
type LayerRange struct {
	First int `json:"first"`
	Limit int `json:"limit"`
}

// State is the state of an engine that an order names as a whole. An order
// never names a change, so repeating one is harmless.
type State struct {
	Model    string     `json:"model"`
	Version  string     `json:"version"`
	Adapters []string   `json:"adapters"`
	Layers   LayerRange `json:"layers"`
	Role     Role       `json:"role"`
}

// Equal compares two states; the order of the adapters does not matter.
func (s State) Equal(other State) bool {
	return s.Model == other.Model && s.Version == other.Version && s.Layers == other.Layers &&
		s.Role == other.Role && slices.Equal(sorted(s.Adapters), sorted(other.Adapters))
}

func sorted(names []string) []string {
	return slices.Sorted(slices.Values(names))
}

// Plan is the state that a placement plan wants of one engine.
type Plan struct {
	// Offset is the plan's log offset, which serves as the fencing number.
	Offset int64
	Wanted State
}

// Observed is the answer to a read of the engine's state.
type Observed struct {
	State State `json:"state"`
	// Busy is set while the engine works on an order; Target is what it will reach.
	Busy   bool  `json:"busy"`
	Target State `json:"target"`
	// Fence is the highest fencing number obeyed; 0 for an engine that ignores it.
	Fence int64 `json:"fence"`
}

// Config holds the properties of one engine and its sidecar.
type Config struct {
	// Fencing is set only when the engine is known to check fencing numbers.
	Fencing bool
	// MaxOrderDelay bounds the time from the loss of an order's answer to its effect.
	MaxOrderDelay time.Duration
	// PauseLimit is the gap between two inputs after which the process counts
	// as paused. The driver sends a Tick well within it.
	PauseLimit time.Duration
	// ReadBackoff is the first pause before another read; it doubles with each
	// failure up to CheckInterval.
	ReadBackoff time.Duration
	// CheckInterval is the time between reads of an engine that stands.
	CheckInterval time.Duration
}

// Action is something that the driver must do.
type Action interface{ action() }

// Read asks the driver to read the engine's state and to pass in ReadDone or
// ReadFailed with the same ID.
type Read struct{ ID uint64 }

// SendOrder asks the driver to send one order. The driver passes in OrderAccepted,
// OrderFenced, OrderRejected or OrderUnconfirmed with the same ID and never sends the
// order twice.
type SendOrder struct {
	ID     uint64
	Fence  int64
	Wanted State
}

func (Read) action()      {}
func (SendOrder) action() {}

// Input is something that has happened.
type Input interface{ input() }

// PlanReceived tells that the fold over the log has reached a plan.
type PlanReceived struct{ Plan Plan }

// PlanConfirmed tells that the last plan is not an old one: the fold has reached
// the end of the log or, while the log is down, no peer knows a newer plan. It
// is needed at start and after a pause of the process.
type PlanConfirmed struct {
	// AsOf is when the driver began to ask for the end.
	AsOf time.Time
}

// Tick lets time pass.
type Tick struct{}

// ReadDone carries the answer to a Read.
type ReadDone struct {
	ID       uint64
	Observed Observed
}

// ReadFailed tells that a Read got no answer.
type ReadFailed struct{ ID uint64 }

// OrderAccepted tells that the engine has taken the order.
type OrderAccepted struct{ ID uint64 }

// OrderFenced tells that the engine has obeyed a higher fencing number.
type OrderFenced struct{ ID uint64 }

// OrderRejected tells that the engine has refused the order for another reason
// and will not carry it out.
type OrderRejected struct{ ID uint64 }

// OrderUnconfirmed tells that the order got no answer.
type OrderUnconfirmed struct{ ID uint64 }

func (PlanReceived) input()     {}
func (PlanConfirmed) input()    {}
func (Tick) input()             {}
func (ReadDone) input()         {}
func (ReadFailed) input()       {}
func (OrderAccepted) input()    {}
func (OrderFenced) input()      {}
func (OrderRejected) input()    {}
func (OrderUnconfirmed) input() {}

// Reconciler drives one engine to the wanted state. It follows the chart
// engine_order.
type Reconciler struct {
	config Config
	chart  *chart.Chart
	state  chart.State

	plan Plan
	// current is set while the plan is known not to be an old one.
	current bool
	// activeSince is the start or the end of the last pause.
	activeSince time.Time
	last        time.Time
	nextID      uint64
	// pendingRead and pendingOrder are 0 when nothing is outstanding.
	pendingRead  uint64
	pendingOrder uint64
	// readAt is when the last read was asked for.
	readAt time.Time
	// given is the last order that was sent.
	given SendOrder
	// quietAt is when orders of earlier times can no longer take effect. Until
	// then an engine that ignores fencing receives no other order, and a read
	// does not show a state that will last. A read that shows the effect of the
	// last order does not shorten the wait: with two processes beside one
	// engine, the effect may be that of the other one's order.
	quietAt time.Time
	// stands is the answer of Standing.
	stands   bool
	wakeAt   time.Time
	failures int
}

// New makes a machine for an engine whose earlier orders, given by an earlier
// process, may still be on their way at the time now.
func New(config Config, now time.Time) (*Reconciler, error) {
	c, err := loadChart()
	if err != nil {
		return nil, err
	}
	return &Reconciler{
		config: config, chart: c, state: c.Initial(),
		activeSince: now, last: now, quietAt: now.Add(config.MaxOrderDelay),
	}, nil
}

// Step passes one input and returns what the driver must do.
func (m *Reconciler) Step(now time.Time, input Input) []Action {
	m.noticePause(now)
	m.take(now, input)
	m.noticeTime(now)
	return m.actions(now)
}

// State returns the chart's state, for operators.
func (m *Reconciler) State() chart.State { return m.state }

// Plan returns the newest plan that was folded.
func (m *Reconciler) Plan() Plan { return m.plan }

// Converged tells whether the engine is in the wanted state of Plan and no
// earlier order of this process or of its dead predecessors can change it. Only
// a standing engine should be given work. An engine keeps standing while a plan
// that wants the same state raises its fencing number.
func (m *Reconciler) Converged() bool {
	return m.stands
}

// NeedsPlanConfirmation tells whether the machine waits for a PlanConfirmed.
func (m *Reconciler) NeedsPlanConfirmation() bool { return m.plan.Offset > 0 && !m.current }

// NextTick returns when the next Tick must be passed in at the latest, or the
// zero time.
func (m *Reconciler) NextTick() time.Time {
	switch m.state {
	case settling:
		return m.settledAt()
	case waiting, loading, standing, fenced:
		return m.wakeAt
	default:
		return time.Time{}
	}
}

// noticePause drops everything that was learned before a pause of the process,
// because another process may have acted in the meantime.
func (m *Reconciler) noticePause(now time.Time) {
	paused := now.Sub(m.last) > m.config.PauseLimit
	m.last = now
	if !paused {
		return
	}
	m.current = false
	m.stands = false
	m.activeSince = now
	m.pendingRead = 0
	m.follow(resumed)
}

func (m *Reconciler) take(now time.Time, input Input) {
	switch in := input.(type) {
	case PlanReceived:
		m.takePlan(in.Plan)
	case PlanConfirmed:
		m.current = m.current || !in.AsOf.Before(m.activeSince)
	case ReadDone:
		m.takeRead(now, in)
	case ReadFailed:
		m.takeReadFailure(now, in)
	case OrderAccepted, OrderFenced, OrderRejected, OrderUnconfirmed:
		m.takeOutcome(now, in)
	}
}

// takePlan ignores a plan that is not newer than the known one.
func (m *Reconciler) takePlan(plan Plan) {
	if plan.Offset <= m.plan.Offset {
		return
	}
	m.stands = m.stands && plan.Wanted.Equal(m.plan.Wanted)
	m.plan = plan
	m.failures = 0
	m.follow(planned)
}

func (m *Reconciler) takeRead(now time.Time, in ReadDone) {
	if in.ID != m.pendingRead || in.ID == 0 {
		return
	}
	m.pendingRead = 0
	event := m.judge(now, in.Observed)
	sameState := !in.Observed.Busy && in.Observed.State.Equal(m.plan.Wanted)
	m.stands = event == readWanted || m.stands && event == readOther && sameState
	switch {
	case event == readOther && m.state == verifying:
		m.backOff(now)
	case event == readBusy:
		m.wakeAt = now.Add(m.config.ReadBackoff)
	case event == readWanted:
		m.failures = 0
		m.wakeAt = now.Add(m.config.CheckInterval)
	case event == readNewer:
		m.wakeAt = now.Add(m.config.CheckInterval)
	}
	m.follow(event)
}

func shows(seen Observed, wanted State) bool {
	if seen.Busy {
		return seen.Target.Equal(wanted)
	}
	return seen.State.Equal(wanted)
}

// judge maps a read to the chart's event.
func (m *Reconciler) judge(now time.Time, seen Observed) chart.Event {
	early := m.readAt.Before(m.settledAt())
	held := now.Before(m.settledAt())
	switch {
	case !m.current:
		return outdated
	case m.config.Fencing && seen.Fence > m.plan.Offset:
		return readNewer
	case m.reaches(seen) && seen.Busy:
		return readBusy
	case m.reaches(seen) && early:
		return readWantedEarly
	case m.reaches(seen):
		return readWanted
	case held:
		return readOtherEarly
	case m.state == verifying && m.given.Fence != m.plan.Offset:
		return readSuperseded
	default:
		return readOther
	}
}

// reaches tells whether the engine is in the wanted state or works towards it.
// An engine that checks fencing numbers must also have obeyed this plan's,
// because otherwise a delayed order of an older plan could still change it.
func (m *Reconciler) reaches(seen Observed) bool {
	return shows(seen, m.plan.Wanted) && (!m.config.Fencing || seen.Fence == m.plan.Offset)
}

// settledAt returns when the next order may be given and reads show a state that lasts.
func (m *Reconciler) settledAt() time.Time {
	if m.config.Fencing {
		return time.Time{}
	}
	return m.quietAt
}

func (m *Reconciler) takeReadFailure(now time.Time, in ReadFailed) {
	if in.ID != m.pendingRead || in.ID == 0 {
		return
	}
	m.pendingRead = 0
	m.stands = false
	m.backOff(now)
	m.follow(readFailed)
}

func (m *Reconciler) takeOutcome(now time.Time, input Input) {
	var id uint64
	var event chart.Event
	switch in := input.(type) {
	case OrderAccepted:
		id, event = in.ID, answered
	case OrderFenced:
		id, event = in.ID, refused
	case OrderRejected:
		id, event = in.ID, rejected
	case OrderUnconfirmed:
		id, event = in.ID, lost
	}
	if id != m.pendingOrder || id == 0 {
		return
	}
	m.pendingOrder = 0
	switch event {
	case answered, lost:
		// The delay counts from here and not from the sending, because the
		// process may have been paused before it sent.
		m.quietAt = now.Add(m.config.MaxOrderDelay)
	case rejected:
		m.stands = false
		m.backOff(now)
	case refused:
		m.stands = false
		m.wakeAt = now
		if m.given.Fence == m.plan.Offset {
			m.wakeAt = now.Add(m.config.CheckInterval)
		}
	}
	m.follow(event)
}

// backOff sets the time of the next read, later with each failure in a row.
func (m *Reconciler) backOff(now time.Time) {
	length := m.config.ReadBackoff << min(m.failures, 16)
	m.failures++
	m.wakeAt = now.Add(min(length, max(m.config.CheckInterval, m.config.ReadBackoff)))
}

// noticeTime takes the transitions that depend on the clock.
func (m *Reconciler) noticeTime(now time.Time) {
	if m.state == idle && m.current && m.plan.Offset > 0 {
		m.follow(begin)
	}
	if m.state == settling && !now.Before(m.settledAt()) {
		m.follow(settled)
	}
	if now.Before(m.wakeAt) {
		return
	}
	switch m.state {
	case waiting, loading, fenced:
		m.follow(pausePassed)
	case standing:
		m.follow(checkDue)
	}
}

// actions gives the read or the order that the state calls for.
func (m *Reconciler) actions(now time.Time) []Action {
	switch m.state {
	case reading, verifying, checking:
		if m.pendingRead != 0 {
			return nil
		}
		m.nextID++
		m.pendingRead = m.nextID
		m.readAt = now
		return []Action{Read{ID: m.nextID}}
	case ordering:
		if m.pendingOrder != 0 {
			return nil
		}
		m.nextID++
		m.pendingOrder = m.nextID
		m.given = SendOrder{ID: m.nextID, Fence: m.plan.Offset, Wanted: m.plan.Wanted}
		return []Action{m.given}
	default:
		return nil
	}
}

// follow takes the event's transition. An event that the chart refuses would be
// a fault of this package, so it ends the program in tests and in use alike.
func (m *Reconciler) follow(event chart.Event) {
	next, err := m.chart.Next(m.state, event)
	if err != nil {
		panic(err)
	}
	m.state = next
}
