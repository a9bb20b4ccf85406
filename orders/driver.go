// Package orders reconciles a sidecar's engine with the placement plan. It passes
// inputs to order.Reconciler, performs its reads and orders over HTTP, and informs
// the sidecar of what the engine serves.
package orders

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/order"
	"github.com/sapphirefield/sapphirefield/planner"
	"github.com/sapphirefield/sapphirefield/sidecar"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// DefaultMaxOrderDelay is the longest time until an order whose reply was lost
	// takes effect. It is well above the timeout of a call on loopback.
	DefaultMaxOrderDelay = 10 * time.Second
	// attemptGracePeriod is how long attempts in progress may continue before an
	// order is sent. A longer wait would delay the entire step of a plan, whereas
	// replaying an attempt costs only one prefill of its prompt.
	attemptGracePeriod = 2 * time.Second
	tickInterval       = 250 * time.Millisecond
	pauseLimit         = 3 * time.Second
	readBackoff        = 200 * time.Millisecond
	checkInterval      = 5 * time.Second
	// confirmInterval is the minimum time between checks that the plan is up to date.
	confirmInterval = 500 * time.Millisecond
	// maxFailedReads is the number of failed reads in a row after which the engine
	// counts as down.
	maxFailedReads = 3
	// roleServe is the role of every engine in a placement plan.
	roleServe order.Role = "serve"
)

// PlanSource provides the configuration and the plans. *configsync.Sync implements it.
type PlanSource interface {
	Current() *configlog.Revision
	Plans() map[string]configlog.ActivePlan
	Changed() <-chan struct{}
	// PlansUpToDate reports whether the result of Plans was up to date at the time
	// of the call.
	PlansUpToDate(ctx context.Context) bool
}

// Sidecar is the engine's sidecar. *sidecar.Server implements it.
type Sidecar interface {
	// SetServing sets the version and layers that the engine serves.
	SetServing(sidecar.ServingState)
	// DrainForOrder stops new work and ends the attempts in progress within the grace
	// period.
	DrainForOrder(ctx context.Context, grace time.Duration)
	// MarkEngineDown reports the engine as down after its state could not be read.
	MarkEngineDown(ctx context.Context, cause error)
}

// Options configures a Driver. All fields except DialBackend and MaxOrderDelay are
// required.
type Options struct {
	// ID is the engine's name in plans and in the configuration.
	ID string
	// Model is the name of the model that the engine serves.
	Model string
	// Backend is the engine's base URL.
	Backend string
	// DialBackend opens connections to the engine; nil means TCP.
	DialBackend   func(ctx context.Context, network, address string) (net.Conn, error)
	Source        PlanSource
	Sidecar       Sidecar
	Logger        *log.Logger
	MaxOrderDelay time.Duration
}

// Driver reconciles one engine with the placement plan. An engine whose settings
// fix its layer range has no driver.
type Driver struct {
	opts   Options
	engine *engineClient
	// inputs receives the results of asynchronous calls.
	inputs chan order.Input

	reconciler *order.Reconciler
	fencing    bool
	// planOffset is the log offset of the newest plan that was read.
	planOffset int64
	// unassigned is set while the plan assigns no layers to the engine.
	unassigned bool
	// serving is the state that the sidecar serves, or nil if it serves nothing.
	serving *order.State
	// servingOldState is set while the engine serves the state of an older plan until
	// the next order.
	servingOldState bool
	// openCalls counts the calls that have not returned.
	openCalls   int
	confirming  bool
	lastConfirm time.Time
	failedReads int
	// orderInProgress is set from an order until the engine is in the wanted state.
	orderInProgress bool
}

// New returns a driver. It is idle until Run is called.
func New(opts Options) *Driver {
	if opts.MaxOrderDelay == 0 {
		opts.MaxOrderDelay = DefaultMaxOrderDelay
	}
	return &Driver{opts: opts, engine: newEngineClient(opts.Backend, opts.DialBackend), inputs: make(chan order.Input)}
}

// Run reconciles the engine until ctx is done. It returns an error only if the state
// chart is invalid.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := d.opts.Source.Changed()
		if err := d.applyPlan(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
			d.step(ctx, order.Tick{})
		case input := <-d.inputs:
			d.openCalls--
			if err := d.handleOutcome(ctx, input); err != nil {
				return err
			}
		}
	}
}

// handleOutcome handles the result of a call. Before a PlanConfirmed it applies the
// newest plan, because the confirmation refers to the plan in the source.
func (d *Driver) handleOutcome(ctx context.Context, input order.Input) error {
	switch in := input.(type) {
	case order.PlanConfirmed:
		d.confirming = false
		if in.AsOf.IsZero() {
			return nil
		}
		if err := d.applyPlan(ctx); err != nil {
			return err
		}
	case order.ReadFailed:
		d.failedReads++
	case order.ReadDone:
		d.failedReads = 0
	}
	d.step(ctx, input)
	return nil
}

// applyPlan applies the newest plan and the engine's configuration.
func (d *Driver) applyPlan(ctx context.Context) error {
	revision := d.opts.Source.Current()
	if revision == nil {
		return nil
	}
	if err := d.ensureReconciler(revision.Document); err != nil {
		return err
	}
	plan := d.opts.Source.Plans()[d.opts.Model]
	if plan.Offset <= d.planOffset {
		return nil
	}
	d.planOffset = plan.Offset
	directive, err := planner.Decode(plan.Data)
	if err != nil {
		// The plan was written by a program version with another plan format.
		logevent.Write(d.opts.Logger, logevent.OrderRefused).Str("id", d.opts.ID).Int64("plan", plan.Offset).Err(err).Msg("")
		return nil
	}
	layers, known := directive.AssignedRange(d.opts.ID)
	d.unassigned = !known || layers.Limit <= layers.First
	if d.unassigned {
		d.setServing(nil)
		return nil
	}
	d.step(ctx, order.PlanReceived{Plan: order.Plan{Offset: plan.Offset, Wanted: order.State{
		Model: d.opts.Model, Version: directive.AssignedVersion(d.opts.ID), Adapters: directive.Adapters,
		Layers: order.LayerRange{First: layers.First, Limit: layers.Limit}, Role: roleServe,
	}}})
	return nil
}

// ensureReconciler creates the reconciler if there is none. A change of the engine's
// fencing replaces it once no call of the old one is open.
func (d *Driver) ensureReconciler(doc *config.Document) error {
	fencing := slices.ContainsFunc(doc.Servers, func(s config.Server) bool {
		return s.ID == d.opts.ID && s.Fencing == config.FencingChecks
	})
	if d.reconciler != nil && (fencing == d.fencing || d.openCalls > 0) {
		return nil
	}
	reconciler, err := order.New(order.Config{
		Fencing: fencing, MaxOrderDelay: d.opts.MaxOrderDelay, PauseLimit: pauseLimit,
		ReadBackoff: readBackoff, CheckInterval: checkInterval,
	}, time.Now())
	d.reconciler, d.fencing, d.planOffset = reconciler, fencing, 0
	return err
}

// step passes an input to the reconciler and performs the resulting actions.
func (d *Driver) step(ctx context.Context, input order.Input) {
	if d.reconciler == nil {
		return
	}
	actions := d.reconciler.Step(time.Now(), input)
	d.updateServing(input)
	for _, action := range actions {
		d.perform(ctx, action)
	}
	if d.failedReads == maxFailedReads {
		d.failedReads++
		d.opts.Sidecar.MarkEngineDown(ctx, errEngineUnreachable)
	}
	if d.reconciler.NeedsPlanConfirmation() && !d.confirming && time.Since(d.lastConfirm) >= confirmInterval {
		d.confirming, d.lastConfirm = true, time.Now()
		d.startCall(ctx, func() order.Input { return d.confirmPlans(ctx) })
	}
}

// confirmPlans checks whether the plans are up to date. A zero AsOf means that they
// are not.
func (d *Driver) confirmPlans(ctx context.Context) order.Input {
	started := time.Now()
	if !d.opts.Source.PlansUpToDate(ctx) {
		return order.PlanConfirmed{}
	}
	return order.PlanConfirmed{AsOf: started}
}

// startCall performs a call in a goroutine and delivers its result to the loop as
// an input.
func (d *Driver) startCall(ctx context.Context, perform func() order.Input) {
	d.openCalls++
	go func() {
		input := perform()
		select {
		case d.inputs <- input:
		case <-ctx.Done():
		}
	}()
}

func (d *Driver) perform(ctx context.Context, action order.Action) {
	switch a := action.(type) {
	case order.Read:
		if d.unassigned {
			d.startCall(ctx, func() order.Input { return order.ReadFailed(a) })
			d.failedReads = 0
			return
		}
		d.startCall(ctx, func() order.Input { return d.read(ctx, a) })
	case order.SendOrder:
		if d.unassigned {
			d.startCall(ctx, func() order.Input { return order.OrderRejected{ID: a.ID} })
			return
		}
		d.orderInProgress = true
		// Each plan raises the fencing number of all engines. An order for the
		// state that the engine already serves does not interrupt its attempts.
		changesState := d.serving == nil || !a.Wanted.Equal(*d.serving)
		if changesState {
			d.serving, d.servingOldState = nil, false
		}
		d.startCall(ctx, func() order.Input { return d.sendOrder(ctx, a, changesState) })
	}
}

func (d *Driver) read(ctx context.Context, r order.Read) order.Input {
	observed, err := d.engine.readState(ctx)
	if err != nil {
		return order.ReadFailed(r)
	}
	return order.ReadDone{ID: r.ID, Observed: observed}
}

// sendOrder sends an order, after draining the engine if the order changes its
// state. An order that could not be sent in time is dropped, because after a pause
// of the process its plan may be out of date.
func (d *Driver) sendOrder(ctx context.Context, g order.SendOrder, changesState bool) order.Input {
	started := time.Now()
	if changesState {
		d.opts.Sidecar.DrainForOrder(ctx, attemptGracePeriod)
	}
	if ctx.Err() != nil || time.Since(started) > attemptGracePeriod+pauseLimit || d.isSuperseded(g) {
		return order.OrderRejected{ID: g.ID}
	}
	d.logOrder(logevent.OrderSent, g.Fence, g.Wanted).Msg("")
	outcome, err := d.engine.sendOrder(ctx, g)
	if err != nil {
		d.logOrder(logevent.OrderRefused, g.Fence, g.Wanted).Err(err).Msg("")
	}
	return outcome
}

// isSuperseded reports whether a plan newer than that of the order has arrived.
func (d *Driver) isSuperseded(g order.SendOrder) bool {
	return d.opts.Source.Plans()[d.opts.Model].Offset > g.Fence
}

func (d *Driver) logOrder(event logevent.Event, plan int64, wanted order.State) *log.Entry {
	return logevent.Write(d.opts.Logger, event).Str("id", d.opts.ID).Int64("plan", plan).Str("version", wanted.Version).
		Int("first", wanted.Layers.First).Int("limit", wanted.Layers.Limit)
}

// updateServing informs the sidecar of what the engine serves after an input.
func (d *Driver) updateServing(input order.Input) {
	wanted := d.reconciler.Plan()
	switch {
	case d.unassigned:
		d.setServing(nil)
	case d.reconciler.Converged():
		if _, read := input.(order.ReadDone); read && d.orderInProgress {
			d.orderInProgress = false
			d.logOrder(logevent.OrderCompleted, wanted.Offset, wanted.Wanted).Msg("")
		}
		d.setServing(&wanted.Wanted)
	case d.serving == nil:
	case d.reconciler.NeedsPlanConfirmation(), !d.stillServes(input):
		d.setServing(nil)
	}
}

// stillServes reports whether an engine that is to change its state still serves the
// old one. It does so until the order is sent: a new plan alone changes nothing.
func (d *Driver) stillServes(input order.Input) bool {
	switch in := input.(type) {
	case order.PlanReceived:
		d.servingOldState = true
	case order.ReadFailed:
		return false
	case order.ReadDone:
		return d.servingOldState && !in.Observed.Busy && in.Observed.State.Equal(*d.serving)
	}
	return d.servingOldState
}

func (d *Driver) setServing(state *order.State) {
	d.serving, d.servingOldState = state, false
	if state == nil {
		d.opts.Sidecar.SetServing(sidecar.ServingState{})
		return
	}
	d.opts.Sidecar.SetServing(sidecar.ServingState{Version: state.Version, Layers: &wire.LayerRange{
		First: uint32(state.Layers.First), Limit: uint32(state.Layers.Limit),
	}})
}
