// Package order reconciles an engine with the placement plan: it decides when the
// sidecar reads the engine's state and which orders it sends. It also plans rolling
// updates of a model's version. It performs no I/O and reads no clock: inputs and
// times are passed in, and actions are returned.
package order

import (
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/chart"
)

// Role is the task of an engine, for example prefill or decode.
type Role string

// LayerRange is the half-open range [First, Limit) of layers.
type LayerRange struct {
	First int `json:"first"`
	Limit int `json:"limit"`
}

// State is the complete state of an engine. An order contains a State and never
// a change relative to another one, so orders are idempotent.
type State struct {
	Model    string     `json:"model"`
	Version  string     `json:"version"`
	Adapters []string   `json:"adapters"`
	Layers   LayerRange `json:"layers"`
	Role     Role       `json:"role"`
}

// Equal reports whether two states are equal, ignoring the order of the adapters.
func (s State) Equal(other State) bool {
	return s.Model == other.Model && s.Version == other.Version && s.Layers == other.Layers &&
		s.Role == other.Role && slices.Equal(sorted(s.Adapters), sorted(other.Adapters))
}

func sorted(names []string) []string {
	return slices.Sorted(slices.Values(names))
}

// Plan is the state that a placement plan assigns to one engine.
type Plan struct {
	// Offset is the plan's log offset, which serves as the fencing number.
	Offset int64
	Wanted State
}

// Observed is an engine's reply to a read of its state.
type Observed struct {
	State State `json:"state"`
	// Busy is set while the engine executes an order; Target is the resulting state.
	Busy   bool  `json:"busy"`
	Target State `json:"target"`
	// Fence is the highest fencing number that the engine has accepted, or 0 for
	// an engine that ignores fencing numbers.
	Fence int64 `json:"fence"`
}

// Config holds the properties of one engine and its sidecar.
type Config struct {
	// Fencing is set only when the engine is known to check fencing numbers.
	Fencing bool
	// MaxOrderDelay is the longest time until an order takes effect after it was
	// accepted or its reply was lost.
	MaxOrderDelay time.Duration
	// PauseLimit is the gap between two inputs after which the process is assumed
	// to have been paused. The driver must pass in a Tick much more often.
	PauseLimit time.Duration
	// ReadBackoff is the initial backoff before a read is repeated; it doubles with
	// each failure in a row up to CheckInterval. It is also the interval between
	// reads while the engine executes an order.
	ReadBackoff time.Duration
	// CheckInterval is the time between reads of an engine in the wanted state.
	CheckInterval time.Duration
}

// Action is an operation that the driver must perform.
type Action interface{ action() }

// Read asks the driver to read the engine's state and to pass in ReadDone or
// ReadFailed with the same ID.
type Read struct{ ID uint64 }

// SendOrder asks the driver to send an order to the engine, at most once, and to pass
// in OrderAccepted, OrderFenced, OrderRejected or OrderUnconfirmed with the same ID.
type SendOrder struct {
	ID     uint64
	Fence  int64
	Wanted State
}

func (Read) action()      {}
func (SendOrder) action() {}

// Input is an event that the driver passes to Step.
type Input interface{ input() }

// PlanReceived carries a plan that was read from the log.
type PlanReceived struct{ Plan Plan }

// PlanConfirmed confirms that the last plan is up to date: the log has been read to
// its end or, while the log is unavailable, no peer knows a newer plan. It is
// needed at start and after a pause of the process.
type PlanConfirmed struct {
	// AsOf is when the driver started the query that confirmed the plan.
	AsOf time.Time
}

// Tick lets timers expire when there is no other input.
type Tick struct{}

// ReadDone carries the engine's reply to a Read.
type ReadDone struct {
	ID       uint64
	Observed Observed
}

// ReadFailed reports that a Read got no reply.
type ReadFailed struct{ ID uint64 }

// OrderAccepted reports that the engine accepted the order.
type OrderAccepted struct{ ID uint64 }

// OrderFenced reports that the engine rejected the order because it has
// accepted one with a higher fencing number.
type OrderFenced struct{ ID uint64 }

// OrderRejected reports that the order was not accepted for another reason and
// will not be executed.
type OrderRejected struct{ ID uint64 }

// OrderUnconfirmed reports that the order got no reply, so its outcome is unknown.
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

// Reconciler reconciles one engine with the wanted state. Its transitions are
// defined by the state chart engine_order.
type Reconciler struct {
	config Config
	chart  *chart.Chart
	state  chart.State

	plan Plan
	// planConfirmed is set while the plan is known to be up to date.
	planConfirmed bool
	// activeSince is when the process started or the last pause ended.
	activeSince time.Time
	lastStep    time.Time
	nextID      uint64
	// pendingRead and pendingOrder are 0 when nothing is outstanding.
	pendingRead  uint64
	pendingOrder uint64
	// readAt is when the last read was requested.
	readAt time.Time
	// lastOrder is the last order that was sent.
	lastOrder SendOrder
	// orderDelayEnd is when earlier orders can no longer take effect. Until then
	// an engine that ignores fencing receives no other order, and the state that
	// a read returns may still change. A read that shows the effect of the last
	// order does not shorten the wait: while two processes control the same
	// engine, the effect may be that of the other one's order.
	orderDelayEnd time.Time
	// converged is the result of Standing.
	converged  bool
	nextReadAt time.Time
	failures   int
}

// New returns a machine for one engine. It assumes that orders of an earlier
// process may still be in flight at the time now.
func New(config Config, now time.Time) (*Reconciler, error) {
	c, err := loadChart()
	if err != nil {
		return nil, err
	}
	return &Reconciler{
		config: config, chart: c, state: c.Initial(),
		activeSince: now, lastStep: now, orderDelayEnd: now.Add(config.MaxOrderDelay),
	}, nil
}

// Step handles one input and returns the actions that the driver must perform.
func (m *Reconciler) Step(now time.Time, input Input) []Action {
	m.detectPause(now)
	m.handleInput(now, input)
	m.handleTimers(now)
	return m.nextActions(now)
}

// State returns the current state of the chart, for display to operators.
func (m *Reconciler) State() chart.State { return m.state }

// Plan returns the newest plan that was passed in.
func (m *Reconciler) Plan() Plan { return m.plan }

// Converged reports whether the engine is in the wanted state of Plan and no
// earlier order of this process or of terminated ones can change it. Only then
// should the engine receive requests. The result stays true when a new plan
// wants the same state and only its fencing number is higher.
func (m *Reconciler) Converged() bool {
	return m.converged
}

// NeedsPlanConfirmation reports whether the machine waits for a PlanConfirmed.
func (m *Reconciler) NeedsPlanConfirmation() bool { return m.plan.Offset > 0 && !m.planConfirmed }

// NextTick returns the latest time for the next Tick, or the zero time when none
// is needed.
func (m *Reconciler) NextTick() time.Time {
	switch m.state {
	case settling:
		return m.ordersSettledAt()
	case waiting, loading, converged, fenced:
		return m.nextReadAt
	default:
		return time.Time{}
	}
}

// detectPause discards what was known before a pause of the process, because
// another process may have sent orders in the meantime.
func (m *Reconciler) detectPause(now time.Time) {
	paused := now.Sub(m.lastStep) > m.config.PauseLimit
	m.lastStep = now
	if !paused {
		return
	}
	m.planConfirmed = false
	m.converged = false
	m.activeSince = now
	m.pendingRead = 0
	m.transition(resumed)
}

func (m *Reconciler) handleInput(now time.Time, input Input) {
	switch in := input.(type) {
	case PlanReceived:
		m.handlePlan(in.Plan)
	case PlanConfirmed:
		m.planConfirmed = m.planConfirmed || !in.AsOf.Before(m.activeSince)
	case ReadDone:
		m.handleRead(now, in)
	case ReadFailed:
		m.handleReadFailure(now, in)
	case OrderAccepted, OrderFenced, OrderRejected, OrderUnconfirmed:
		m.handleOrderOutcome(now, in)
	}
}

// handlePlan adopts a plan that is newer than the known one and ignores others.
func (m *Reconciler) handlePlan(plan Plan) {
	if plan.Offset <= m.plan.Offset {
		return
	}
	m.converged = m.converged && plan.Wanted.Equal(m.plan.Wanted)
	m.plan = plan
	m.failures = 0
	m.transition(newPlan)
}

func (m *Reconciler) handleRead(now time.Time, in ReadDone) {
	if in.ID != m.pendingRead || in.ID == 0 {
		return
	}
	m.pendingRead = 0
	event := m.classifyRead(now, in.Observed)
	sameState := !in.Observed.Busy && in.Observed.State.Equal(m.plan.Wanted)
	m.converged = event == readShowsWanted || m.converged && event == readShowsOther && sameState
	switch {
	case event == readShowsOther && m.state == verifying:
		m.backOff(now)
	case event == readShowsBusy:
		m.nextReadAt = now.Add(m.config.ReadBackoff)
	case event == readShowsWanted:
		m.failures = 0
		m.nextReadAt = now.Add(m.config.CheckInterval)
	case event == readShowsNewer:
		m.nextReadAt = now.Add(m.config.CheckInterval)
	}
	m.transition(event)
}

// targetsState reports whether the engine is in the wanted state or, if busy,
// will reach it.
func targetsState(observed Observed, wanted State) bool {
	if observed.Busy {
		return observed.Target.Equal(wanted)
	}
	return observed.State.Equal(wanted)
}

// classifyRead maps the result of a read to an event of the chart.
func (m *Reconciler) classifyRead(now time.Time, observed Observed) chart.Event {
	early := m.readAt.Before(m.ordersSettledAt())
	orderBlocked := now.Before(m.ordersSettledAt())
	switch {
	case !m.planConfirmed:
		return planUnconfirmed
	case m.config.Fencing && observed.Fence > m.plan.Offset:
		return readShowsNewer
	case m.matchesPlan(observed) && observed.Busy:
		return readShowsBusy
	case m.matchesPlan(observed) && early:
		return readShowsWantedEarly
	case m.matchesPlan(observed):
		return readShowsWanted
	case orderBlocked:
		return readShowsOtherEarly
	case m.state == verifying && m.lastOrder.Fence != m.plan.Offset:
		return readShowsSuperseded
	default:
		return readShowsOther
	}
}

// matchesPlan reports whether the engine is in the wanted state or will reach it.
// An engine that checks fencing numbers must also have accepted the number of
// this plan; otherwise a delayed order of an older plan could still change it.
func (m *Reconciler) matchesPlan(observed Observed) bool {
	return targetsState(observed, m.plan.Wanted) && (!m.config.Fencing || observed.Fence == m.plan.Offset)
}

// ordersSettledAt returns when no earlier order can take effect any more, so that
// the next order may be sent and reads show a stable state.
func (m *Reconciler) ordersSettledAt() time.Time {
	if m.config.Fencing {
		return time.Time{}
	}
	return m.orderDelayEnd
}

func (m *Reconciler) handleReadFailure(now time.Time, in ReadFailed) {
	if in.ID != m.pendingRead || in.ID == 0 {
		return
	}
	m.pendingRead = 0
	m.converged = false
	m.backOff(now)
	m.transition(readFailed)
}

func (m *Reconciler) handleOrderOutcome(now time.Time, input Input) {
	var id uint64
	var event chart.Event
	switch in := input.(type) {
	case OrderAccepted:
		id, event = in.ID, accepted
	case OrderFenced:
		id, event = in.ID, refusedByFence
	case OrderRejected:
		id, event = in.ID, rejected
	case OrderUnconfirmed:
		id, event = in.ID, unconfirmed
	}
	if id != m.pendingOrder || id == 0 {
		return
	}
	m.pendingOrder = 0
	switch event {
	case accepted, unconfirmed:
		// The delay counts from now and not from the decision to send, because
		// the process may have been paused before it sent the order.
		m.orderDelayEnd = now.Add(m.config.MaxOrderDelay)
	case rejected:
		m.converged = false
		m.backOff(now)
	case refusedByFence:
		m.converged = false
		m.nextReadAt = now
		if m.lastOrder.Fence == m.plan.Offset {
			m.nextReadAt = now.Add(m.config.CheckInterval)
		}
	}
	m.transition(event)
}

// backOff schedules the next read with exponential backoff.
func (m *Reconciler) backOff(now time.Time) {
	delay := m.config.ReadBackoff << min(m.failures, 16)
	m.failures++
	m.nextReadAt = now.Add(min(delay, max(m.config.CheckInterval, m.config.ReadBackoff)))
}

// handleTimers makes the transitions that depend on the time.
func (m *Reconciler) handleTimers(now time.Time) {
	if m.state == idle && m.planConfirmed && m.plan.Offset > 0 {
		m.transition(begin)
	}
	if m.state == settling && !now.Before(m.ordersSettledAt()) {
		m.transition(settled)
	}
	if now.Before(m.nextReadAt) {
		return
	}
	switch m.state {
	case waiting, loading, fenced:
		m.transition(retryDue)
	case converged:
		m.transition(checkDue)
	}
}

// nextActions returns the read or the order that the current state requires,
// unless one is outstanding.
func (m *Reconciler) nextActions(now time.Time) []Action {
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
		m.lastOrder = SendOrder{ID: m.nextID, Fence: m.plan.Offset, Wanted: m.plan.Wanted}
		return []Action{m.lastOrder}
	default:
		return nil
	}
}

// transition moves the chart to the next state. It panics, in tests and in
// production, if the chart rejects the event, which is a bug in this package.
func (m *Reconciler) transition(event chart.Event) {
	next, err := m.chart.Next(m.state, event)
	if err != nil {
		panic(err)
	}
	m.state = next
}
