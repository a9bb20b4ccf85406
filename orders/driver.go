// Package orders drives the engine beside a sidecar to what the placement plan
// wants. It feeds order.Machine, performs its reads and orders over HTTP, and
// tells the sidecar what the engine serves.
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
	// DefaultMaxOrderDelay bounds the time from a lost order to its effect. It is
	// well above the timeout of a call on loopback.
	DefaultMaxOrderDelay = 10 * time.Second
	// attemptGrace is how long attempts in progress may go on before an order.
	// An order that waits longer delays the whole step of a plan; a replay costs
	// one pass over the prompt.
	attemptGrace  = 2 * time.Second
	tickInterval  = 250 * time.Millisecond
	pauseLimit    = 3 * time.Second
	readPause     = 200 * time.Millisecond
	checkInterval = 5 * time.Second
	// confirmPause separates two questions for the end of the log.
	confirmPause = 500 * time.Millisecond
	// lostReads is how many reads in a row must fail before the engine counts as down.
	lostReads = 3
	// roleServe is the role of all engines that plans place.
	roleServe order.Role = "serve"
)

// PlanSource is where plans come from. *configsync.Sync implements it.
type PlanSource interface {
	Current() *configlog.Revision
	Plans() map[string]configlog.ActivePlan
	Changed() <-chan struct{}
	// PlansUpToDate tells whether Plans were the newest when it was called.
	PlansUpToDate(ctx context.Context) bool
}

// Sidecar is the sidecar beside the engine. *sidecar.Server implements it.
type Sidecar interface {
	// SetServing sets what the engine serves.
	SetServing(sidecar.ServingState)
	// DrainForOrder stops new work and ends the attempts in progress within grace.
	DrainForOrder(ctx context.Context, grace time.Duration)
	// MarkEngineDown tells that the engine does not answer.
	MarkEngineDown(ctx context.Context, cause error)
}

// Options describe the engine. All members but DialBackend and MaxOrderDelay
// are required.
type Options struct {
	// ID is the engine's name in plans and in the configuration.
	ID string
	// Model is the model that the engine serves.
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

// Driver drives one engine. An engine whose settings fix its range has none.
type Driver struct {
	opts   Options
	engine *engine
	// inputs carries the outcomes of calls.
	inputs chan order.Input

	machine *order.Reconciler
	fencing bool
	// offset is that of the newest plan that was read.
	offset int64
	// released is set while the plan wants nothing of the engine.
	released bool
	// held is what the sidecar serves, nil when nothing.
	held *order.State
	// leaving is set while the old range serves until the order to leave it.
	leaving bool
	// open counts the calls whose outcome is not in yet.
	open        int
	confirming  bool
	confirmedAt time.Time
	failedReads int
	// ordered is set from an order until the engine stands.
	ordered bool
}

// New returns a driver, which does nothing until Run.
func New(opts Options) *Driver {
	if opts.MaxOrderDelay == 0 {
		opts.MaxOrderDelay = DefaultMaxOrderDelay
	}
	return &Driver{opts: opts, engine: newEngine(opts.Backend, opts.DialBackend), inputs: make(chan order.Input)}
}

// Run drives the engine until ctx ends. It returns an error only for a fault of
// the state chart.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := d.opts.Source.Changed()
		if err := d.follow(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
			d.step(ctx, order.Tick{})
		case input := <-d.inputs:
			d.open--
			if err := d.outcome(ctx, input); err != nil {
				return err
			}
		}
	}
}

// outcome takes the outcome of a call. The newest plan is taken first, because
// a PlanConfirmed refers to what the source holds.
func (d *Driver) outcome(ctx context.Context, input order.Input) error {
	switch in := input.(type) {
	case order.PlanConfirmed:
		d.confirming = false
		if in.AsOf.IsZero() {
			return nil
		}
		if err := d.follow(ctx); err != nil {
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

// follow takes the newest plan and what the configuration says of the engine.
func (d *Driver) follow(ctx context.Context) error {
	revision := d.opts.Source.Current()
	if revision == nil {
		return nil
	}
	if err := d.prepare(revision.Document); err != nil {
		return err
	}
	plan := d.opts.Source.Plans()[d.opts.Model]
	if plan.Offset <= d.offset {
		return nil
	}
	d.offset = plan.Offset
	directive, err := planner.Decode(plan.Data)
	if err != nil {
		// The plan comes from a program version that writes another form.
		logevent.Write(d.opts.Logger, logevent.OrderRefused).Str("id", d.opts.ID).Int64("plan", plan.Offset).Err(err).Msg("")
		return nil
	}
	layers, known := directive.AssignedRange(d.opts.ID)
	d.released = !known || layers.Limit <= layers.First
	if d.released {
		d.serve(nil)
		return nil
	}
	d.step(ctx, order.PlanReceived{Plan: order.Plan{Offset: plan.Offset, Wanted: order.State{
		Model: d.opts.Model, Version: directive.AssignedVersion(d.opts.ID), Adapters: directive.Adapters,
		Layers: order.LayerRange{First: layers.First, Limit: layers.Limit}, Role: roleServe,
	}}})
	return nil
}

// prepare makes the machine. A change of the engine's fencing needs a new one,
// which waits until no call of the old one is open.
func (d *Driver) prepare(doc *config.Document) error {
	fencing := slices.ContainsFunc(doc.Servers, func(s config.Server) bool {
		return s.ID == d.opts.ID && s.Fencing == config.FencingChecks
	})
	if d.machine != nil && (fencing == d.fencing || d.open > 0) {
		return nil
	}
	machine, err := order.New(order.Config{
		Fencing: fencing, MaxOrderDelay: d.opts.MaxOrderDelay, PauseLimit: pauseLimit,
		ReadBackoff: readPause, CheckInterval: checkInterval,
	}, time.Now())
	d.machine, d.fencing, d.offset = machine, fencing, 0
	return err
}

// step passes an input to the machine and performs what it asks for.
func (d *Driver) step(ctx context.Context, input order.Input) {
	if d.machine == nil {
		return
	}
	actions := d.machine.Step(time.Now(), input)
	d.announce(input)
	for _, action := range actions {
		d.perform(ctx, action)
	}
	if d.failedReads == lostReads {
		d.failedReads++
		d.opts.Sidecar.MarkEngineDown(ctx, errEngineSilent)
	}
	if d.machine.NeedsPlanConfirmation() && !d.confirming && time.Since(d.confirmedAt) >= confirmPause {
		d.confirming, d.confirmedAt = true, time.Now()
		d.call(ctx, func() order.Input { return d.confirm(ctx) })
	}
}

// confirm asks whether the plans are the newest. A zero time means that they are not.
func (d *Driver) confirm(ctx context.Context) order.Input {
	began := time.Now()
	if !d.opts.Source.PlansUpToDate(ctx) {
		return order.PlanConfirmed{}
	}
	return order.PlanConfirmed{AsOf: began}
}

// call performs a call beside the loop; its outcome comes back as an input.
func (d *Driver) call(ctx context.Context, perform func() order.Input) {
	d.open++
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
		if d.released {
			d.call(ctx, func() order.Input { return order.ReadFailed(a) })
			d.failedReads = 0
			return
		}
		d.call(ctx, func() order.Input { return d.read(ctx, a) })
	case order.SendOrder:
		if d.released {
			d.call(ctx, func() order.Input { return order.OrderRejected{ID: a.ID} })
			return
		}
		d.ordered = true
		// Each plan raises the fencing number of all engines. An order for the
		// state that the engine is in leaves its attempts alone.
		moves := d.held == nil || !a.Wanted.Equal(*d.held)
		if moves {
			d.held, d.leaving = nil, false
		}
		d.call(ctx, func() order.Input { return d.give(ctx, a, moves) })
	}
}

func (d *Driver) read(ctx context.Context, r order.Read) order.Input {
	seen, err := d.engine.read(ctx)
	if err != nil {
		return order.ReadFailed(r)
	}
	return order.ReadDone{ID: r.ID, Observed: seen}
}

// give sends the order, after freeing the engine if it moves. An order that could not be sent in
// time is dropped: after a pause of the process its plan may be an old one.
func (d *Driver) give(ctx context.Context, g order.SendOrder, moves bool) order.Input {
	began := time.Now()
	if moves {
		d.opts.Sidecar.DrainForOrder(ctx, attemptGrace)
	}
	if ctx.Err() != nil || time.Since(began) > attemptGrace+pauseLimit || d.overtaken(g) {
		return order.OrderRejected{ID: g.ID}
	}
	d.write(logevent.OrderSent, g.Fence, g.Wanted).Msg("")
	outcome, err := d.engine.give(ctx, g)
	if err != nil {
		d.write(logevent.OrderRefused, g.Fence, g.Wanted).Err(err).Msg("")
	}
	return outcome
}

// overtaken tells whether a newer plan came while the engine was being freed.
func (d *Driver) overtaken(g order.SendOrder) bool {
	return d.opts.Source.Plans()[d.opts.Model].Offset > g.Fence
}

func (d *Driver) write(event logevent.Event, plan int64, wanted order.State) *log.Entry {
	return logevent.Write(d.opts.Logger, event).Str("id", d.opts.ID).Int64("plan", plan).Str("version", wanted.Version).
		Int("first", wanted.Layers.First).Int("limit", wanted.Layers.Limit)
}

// announce tells the sidecar what the engine serves after an input.
func (d *Driver) announce(input order.Input) {
	wanted := d.machine.Plan()
	switch {
	case d.released:
		d.serve(nil)
	case d.machine.Converged():
		if _, read := input.(order.ReadDone); read && d.ordered {
			d.ordered = false
			d.write(logevent.OrderCompleted, wanted.Offset, wanted.Wanted).Msg("")
		}
		d.serve(&wanted.Wanted)
	case d.held == nil:
	case d.machine.NeedsPlanConfirmation(), !d.servesStill(input):
		d.serve(nil)
	}
}

// servesStill tells whether an engine that has to leave its range serves it
// until the order is given: a new plan alone does not change the engine.
func (d *Driver) servesStill(input order.Input) bool {
	switch in := input.(type) {
	case order.PlanReceived:
		d.leaving = true
	case order.ReadFailed:
		return false
	case order.ReadDone:
		return d.leaving && !in.Observed.Busy && in.Observed.State.Equal(*d.held)
	}
	return d.leaving
}

func (d *Driver) serve(state *order.State) {
	d.held, d.leaving = state, false
	if state == nil {
		d.opts.Sidecar.SetServing(sidecar.ServingState{})
		return
	}
	d.opts.Sidecar.SetServing(sidecar.ServingState{Version: state.Version, Layers: &wire.LayerRange{
		First: uint32(state.Layers.First), Limit: uint32(state.Layers.Limit),
	}})
}
