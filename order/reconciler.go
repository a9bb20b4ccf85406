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

// SendOrder asks the driver to send an order to the engine, at most once, and to
// pass in OrderAccepted, OrderFenced, OrderRejected or OrderUnconfirmed with the
// same ID.
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
	// converged is the result of Converged.
	converged  bool
	nextReadAt time.Time
	failures   int
}

// New returns a reconciler for one engine. It assumes that orders of an earlier
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
func (r *Reconciler) Step(now time.Time, input Input) []Action {
	r.detectPause(now)
	r.handleInput(now, input)
	r.handleTimers(now)
	return r.nextActions(now)
}

// State returns the current state of the chart, for display to operators.
func (r *Reconciler) State() chart.State { return r.state }

// Plan returns the newest plan that was passed in.
func (r *Reconciler) Plan() Plan { return r.plan }

// Converged reports whether the engine is in the wanted state of Plan and no
// earlier order of this process or of terminated ones can change it. Only then
// should the engine receive requests. The result stays true when a new plan
// wants the same state and only its fencing number is higher.
func (r *Reconciler) Converged() bool {
	return r.converged
}

// NeedsPlanConfirmation reports whether the reconciler waits for a PlanConfirmed.
func (r *Reconciler) NeedsPlanConfirmation() bool { return r.plan.Offset > 0 && !r.planConfirmed }

// NextTick returns the latest time for the next Tick, or the zero time when none
// is needed.
func (r *Reconciler) NextTick() time.Time {
	switch r.state {
	case settling:
		return r.ordersSettledAt()
	case waiting, loading, converged, fenced:
		return r.nextReadAt
	default:
		return time.Time{}
	}
}

// detectPause discards what was known before a pause of the process, because
// another process may have sent orders in the meantime.
func (r *Reconciler) detectPause(now time.Time) {
	paused := now.Sub(r.lastStep) > r.config.PauseLimit
	r.lastStep = now
	if !paused {
		return
	}
	r.planConfirmed = false
	r.converged = false
	r.activeSince = now
	r.pendingRead = 0
	r.transition(resumed)
}

func (r *Reconciler) handleInput(now time.Time, input Input) {
	switch in := input.(type) {
	case PlanReceived:
		r.handlePlan(in.Plan)
	case PlanConfirmed:
		r.planConfirmed = r.planConfirmed || !in.AsOf.Before(r.activeSince)
	case ReadDone:
		r.handleRead(now, in)
	case ReadFailed:
		r.handleReadFailure(now, in)
	case OrderAccepted, OrderFenced, OrderRejected, OrderUnconfirmed:
		r.handleOrderOutcome(now, in)
	}
}

// handlePlan adopts a plan that is newer than the known one and ignores others.
func (r *Reconciler) handlePlan(plan Plan) {
	if plan.Offset <= r.plan.Offset {
		return
	}
	r.converged = r.converged && plan.Wanted.Equal(r.plan.Wanted)
	r.plan = plan
	r.failures = 0
	r.transition(newPlan)
}

func (r *Reconciler) handleRead(now time.Time, in ReadDone) {
	if in.ID != r.pendingRead || in.ID == 0 {
		return
	}
	r.pendingRead = 0
	event := r.classifyRead(now, in.Observed)
	sameState := !in.Observed.Busy && in.Observed.State.Equal(r.plan.Wanted)
	r.converged = event == readShowsWanted || r.converged && event == readShowsOther && sameState
	switch {
	case event == readShowsOther && r.state == verifying:
		r.backOff(now)
	case event == readShowsBusy:
		r.nextReadAt = now.Add(r.config.ReadBackoff)
	case event == readShowsWanted:
		r.failures = 0
		r.nextReadAt = now.Add(r.config.CheckInterval)
	case event == readShowsNewer:
		r.nextReadAt = now.Add(r.config.CheckInterval)
	}
	r.transition(event)
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
func (r *Reconciler) classifyRead(now time.Time, observed Observed) chart.Event {
	early := r.readAt.Before(r.ordersSettledAt())
	orderBlocked := now.Before(r.ordersSettledAt())
	switch {
	case !r.planConfirmed:
		return planUnconfirmed
	case r.config.Fencing && observed.Fence > r.plan.Offset:
		return readShowsNewer
	case r.matchesPlan(observed) && observed.Busy:
		return readShowsBusy
	case r.matchesPlan(observed) && early:
		return readShowsWantedEarly
	case r.matchesPlan(observed):
		return readShowsWanted
	case orderBlocked:
		return readShowsOtherEarly
	case r.state == verifying && r.lastOrder.Fence != r.plan.Offset:
		return readShowsSuperseded
	default:
		return readShowsOther
	}
}

// matchesPlan reports whether the engine is in the wanted state or will reach it.
// An engine that checks fencing numbers must also have accepted the number of
// this plan; otherwise a delayed order of an older plan could still change it.
func (r *Reconciler) matchesPlan(observed Observed) bool {
	return targetsState(observed, r.plan.Wanted) && (!r.config.Fencing || observed.Fence == r.plan.Offset)
}

// ordersSettledAt returns when no earlier order can take effect any more, so that
// the next order may be sent and reads show a stable state.
func (r *Reconciler) ordersSettledAt() time.Time {
	if r.config.Fencing {
		return time.Time{}
	}
	return r.orderDelayEnd
}

func (r *Reconciler) handleReadFailure(now time.Time, in ReadFailed) {
	if in.ID != r.pendingRead || in.ID == 0 {
		return
	}
	r.pendingRead = 0
	r.converged = false
	r.backOff(now)
	r.transition(readFailed)
}

func (r *Reconciler) handleOrderOutcome(now time.Time, input Input) {
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
	if id != r.pendingOrder || id == 0 {
		return
	}
	r.pendingOrder = 0
	switch event {
	case accepted, unconfirmed:
		// The delay counts from now and not from the decision to send, because
		// the process may have been paused before it sent the order.
		r.orderDelayEnd = now.Add(r.config.MaxOrderDelay)
	case rejected:
		r.converged = false
		r.backOff(now)
	case refusedByFence:
		r.converged = false
		r.nextReadAt = now
		if r.lastOrder.Fence == r.plan.Offset {
			r.nextReadAt = now.Add(r.config.CheckInterval)
		}
	}
	r.transition(event)
}

// backOff schedules the next read with exponential backoff.
func (r *Reconciler) backOff(now time.Time) {
	delay := r.config.ReadBackoff << min(r.failures, 16)
	r.failures++
	r.nextReadAt = now.Add(min(delay, max(r.config.CheckInterval, r.config.ReadBackoff)))
}

// handleTimers makes the transitions that depend on the time.
func (r *Reconciler) handleTimers(now time.Time) {
	if r.state == idle && r.planConfirmed && r.plan.Offset > 0 {
		r.transition(begin)
	}
	if r.state == settling && !now.Before(r.ordersSettledAt()) {
		r.transition(settled)
	}
	if now.Before(r.nextReadAt) {
		return
	}
	switch r.state {
	case waiting, loading, fenced:
		r.transition(retryDue)
	case converged:
		r.transition(checkDue)
	}
}

// nextActions returns the read or the order that the current state requires,
// unless one is outstanding.
func (r *Reconciler) nextActions(now time.Time) []Action {
	switch r.state {
	case reading, verifying, checking:
		if r.pendingRead != 0 {
			return nil
		}
		r.nextID++
		r.pendingRead = r.nextID
		r.readAt = now
		return []Action{Read{ID: r.nextID}}
	case ordering:
		if r.pendingOrder != 0 {
			return nil
		}
		r.nextID++
		r.pendingOrder = r.nextID
		r.lastOrder = SendOrder{ID: r.nextID, Fence: r.plan.Offset, Wanted: r.plan.Wanted}
		return []Action{r.lastOrder}
	default:
		return nil
	}
}

// transition moves the chart to the next state. It panics, in tests and in
// production, if the chart rejects the event, which is a bug in this package.
func (r *Reconciler) transition(event chart.Event) {
	next, err := r.chart.Next(r.state, event)
	if err != nil {
		panic(err)
	}
	r.state = next
}
