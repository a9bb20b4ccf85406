package order

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	maxOrderDelay = 10 * time.Second
	tickInterval  = 500 * time.Millisecond
	// maxInputDelay is the longest delay of an input to a reconciler.
	maxInputDelay = 6 * tickInterval
	checkInterval = 4 * time.Second
	// driftDetectionTime is the longest time until a change without an order is
	// detected: the rest of a read that preceded it, the interval and the next read.
	driftDetectionTime = 2*maxInputDelay + checkInterval + 4*tickInterval
)

// engine is the reference model of an engine that executes orders and may ignore
// fencing numbers.
type engine struct {
	checksFencing  bool
	state          State
	target         State
	fence          int64
	remainingTicks int
}

func (e *engine) execute(order SendOrder, ticks int) (accepted bool) {
	if e.checksFencing && order.Fence < e.fence {
		return false
	}
	if e.checksFencing {
		e.fence = order.Fence
	}
	// An order for the state that the engine has or is going to have takes no time.
	if targetsState(e.observe(), order.Wanted) {
		return true
	}
	e.target = order.Wanted
	e.remainingTicks = ticks
	if ticks == 0 {
		e.state = order.Wanted
	}
	return true
}

func (e *engine) tick() {
	if e.remainingTicks > 0 {
		e.remainingTicks--
		if e.remainingTicks == 0 {
			e.state = e.target
		}
	}
}

func (e *engine) observe() Observed {
	return Observed{State: e.state, Busy: e.remainingTicks > 0, Target: e.target, Fence: e.fence}
}

// delayedOrder is an order that has not taken effect yet.
type delayedOrder struct {
	order       SendOrder
	sender      *process
	effectiveAt time.Time
}

// process is a sidecar: a reconciler and the actions and inputs that its driver has
// not handled yet.
type process struct {
	name           string
	reconciler     *Reconciler
	pendingActions []Action
	inbox          []delayedInput
	paused         bool
	plansRead      int
	// pausedAt is when the last pause began; requiredPlans is the number of plans
	// at its end, all of which must be read before an order may be sent.
	pausedAt      time.Time
	requiredPlans int
	// sharedEngine is set once another process, whose orders this one does not know,
	// has controlled the same engine.
	sharedEngine bool
}

// delayedInput is an input that is passed to the reconciler at a later time.
type delayedInput struct {
	at    time.Time
	input Input
}

// world simulates an engine, the sidecars that control it and the log of plans.
type world struct {
	t         *rapid.T
	now       time.Time
	engine    engine
	plans     []Plan
	inFlight  []delayedOrder
	processes []*process
	started   int
	// driftedUntil is when a change that no order caused must have been detected.
	driftedUntil time.Time
	faultFree    bool
}

func (w *world) config() Config {
	return Config{Fencing: w.engine.checksFencing, MaxOrderDelay: maxOrderDelay, PauseLimit: 3 * time.Second, ReadBackoff: time.Second, CheckInterval: checkInterval}
}

func (w *world) start() {
	r, err := New(w.config(), w.now)
	if err != nil {
		w.t.Fatal(err)
	}
	w.started++
	w.processes = append(w.processes, &process{name: fmt.Sprint("p", w.started), reconciler: r, requiredPlans: len(w.plans)})
	for _, p := range w.processes {
		p.sharedEngine = p.sharedEngine || len(w.processes) > 1
	}
}

func (w *world) publish() {
	n := len(w.plans) + 1
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(w.t, "version")
	w.plans = append(w.plans, Plan{Offset: int64(n * 3), Wanted: State{Model: "m", Version: version, Layers: LayerRange{0, 4}}})
}

// advance moves the clock forward by one tick and runs every process that is not paused.
func (w *world) advance() {
	w.now = w.now.Add(tickInterval)
	w.engine.tick()
	w.applyDelayedOrders()
	for _, p := range append([]*process(nil), w.processes...) {
		if p.paused {
			continue
		}
		w.deliverDue(p)
		w.readPlans(p)
		w.step(p, Tick{})
		w.perform(p)
	}
	w.checkConverged()
}

// readPlans lets a process read the log up to a random position.
func (w *world) readPlans(p *process) {
	end := len(w.plans)
	if !w.faultFree {
		end = rapid.IntRange(p.plansRead, len(w.plans)).Draw(w.t, "folded")
	}
	for p.plansRead < end {
		p.plansRead++
		w.step(p, PlanReceived{w.plans[p.plansRead-1]})
	}
	if old := w.draw("old", 2*p.plansRead); old > p.plansRead {
		// A process that reads the log again from an earlier position gets plans
		// that it already knows.
		w.step(p, PlanReceived{w.plans[old-p.plansRead-1]})
	}
	if p.plansRead == len(w.plans) {
		w.deliverDelayed(p, PlanConfirmed{AsOf: w.now})
	}
}

// deliverDelayed passes an input immediately or after a random delay.
func (w *world) deliverDelayed(p *process, in Input) {
	after := max(0, w.draw("late", 12)-int(maxInputDelay/tickInterval))
	if after == 0 {
		w.step(p, in)
		return
	}
	p.inbox = append(p.inbox, delayedInput{w.now.Add(time.Duration(after) * tickInterval), in})
}

func (w *world) deliverDue(p *process) {
	inbox := p.inbox
	p.inbox = nil
	for _, l := range inbox {
		if l.at.After(w.now) {
			p.inbox = append(p.inbox, l)
			continue
		}
		w.step(p, l.input)
	}
}

func (w *world) step(p *process, in Input) {
	actions := p.reconciler.Step(w.now, in)
	for _, action := range actions {
		a, isOrder := action.(SendOrder)
		if isOrder && (a.Fence != p.reconciler.Plan().Offset || p.plansRead < p.requiredPlans) {
			w.t.Fatalf("%s sends an order of the old plan %d", p.name, a.Fence)
		}
	}
	p.pendingActions = append(p.pendingActions, actions...)
}

func (w *world) perform(p *process) {
	todo := p.pendingActions
	p.pendingActions = nil
	for _, action := range todo {
		switch a := action.(type) {
		case Read:
			w.read(p, a)
		case SendOrder:
			w.checkOrder(p, a)
			w.sendOrder(p, a)
		}
	}
}

func (w *world) draw(label string, limit int) int {
	if w.faultFree {
		return 0
	}
	return rapid.IntRange(0, limit).Draw(w.t, label)
}

func (w *world) read(p *process, a Read) {
	if w.draw("read", 4) == 4 {
		w.deliverDelayed(p, ReadFailed(a))
		return
	}
	w.deliverDelayed(p, ReadDone{a.ID, w.engine.observe()})
}

func (w *world) sendOrder(p *process, a SendOrder) {
	switch w.draw("outcome", 4) {
	case 0, 1:
		w.respond(p, a)
	case 2:
		w.deliverDelayed(p, OrderRejected{a.ID})
	case 3:
		// The reply is lost and the order takes effect within maxOrderDelay.
		after := time.Duration(w.draw("delay", int(maxOrderDelay/tickInterval)-1)) * tickInterval
		w.inFlight = append(w.inFlight, delayedOrder{order: a, sender: p, effectiveAt: w.now.Add(after)})
		w.step(p, OrderUnconfirmed{a.ID})
	case 4:
		// The reply arrives before the order takes effect.
		after := time.Duration(w.draw("delay", int(maxOrderDelay/tickInterval)-1)) * tickInterval
		w.inFlight = append(w.inFlight, delayedOrder{order: a, sender: p, effectiveAt: w.now.Add(after)})
		w.deliverDelayed(p, OrderAccepted{a.ID})
	}
}

func (w *world) respond(p *process, a SendOrder) {
	if !w.engine.execute(a, w.draw("work", 6)) {
		w.deliverDelayed(p, OrderFenced{a.ID})
		return
	}
	w.deliverDelayed(p, OrderAccepted{a.ID})
}

func (w *world) applyDelayedOrders() {
	var rest []delayedOrder
	for _, f := range w.inFlight {
		if f.effectiveAt.After(w.now) {
			rest = append(rest, f)
			continue
		}
		w.engine.execute(f.order, w.draw("work", 6))
	}
	w.inFlight = rest
}

// checkOrder fails if an engine that ignores fencing gets an order while an earlier
// one, of this process or of a terminated one, could take effect after it.
func (w *world) checkOrder(p *process, a SendOrder) {
	for _, f := range w.inFlight {
		if !w.engine.checksFencing && (f.sender == p || !p.sharedEngine) {
			w.t.Fatalf("%s sends order %+v while %+v may still take effect", p.name, a, f.order)
		}
	}
}

// checkConverged fails if a reconciler reports that its engine has converged while
// the engine is in another state. This is allowed for an engine that ignores
// fencing while two processes run, and until the next regular read after a change
// without an order.
func (w *world) checkConverged() {
	if w.now.Before(w.driftedUntil) || !w.engine.checksFencing && len(w.processes) > 1 {
		return
	}
	for _, p := range w.processes {
		seen := w.engine.observe()
		// A second process may have applied a plan that this one has not read.
		if p.paused || !p.reconciler.Converged() || seen.Fence > p.reconciler.Plan().Offset {
			continue
		}
		if seen.Busy || !seen.State.Equal(p.reconciler.Plan().Wanted) {
			w.t.Fatalf("%s has converged to %+v but the engine is %+v", p.name, p.reconciler.Plan(), seen)
		}
	}
}

// kill ends a process. A new one starts unless another one controls the same engine.
func (w *world) kill(p *process) {
	var rest []*process
	for _, l := range w.processes {
		if l != p {
			rest = append(rest, l)
		}
	}
	w.processes = rest
	if len(rest) == 0 {
		w.start()
		return
	}
	// The remaining process does not know the orders of the terminated one.
	w.driftedUntil = w.now.Add(maxOrderDelay + driftDetectionTime)
}

func (w *world) actions() map[string]func(*rapid.T) {
	pick := func() *process { return rapid.SampledFrom(w.processes).Draw(w.t, "process") }
	return map[string]func(*rapid.T){
		"pass":    func(*rapid.T) { w.advanceSome() },
		"pass2":   func(*rapid.T) { w.advanceSome() },
		"pass3":   func(*rapid.T) { w.advanceSome() },
		"publish": func(*rapid.T) { w.publish() },
		"pause":   func(*rapid.T) { w.pause(pick()) },
		"resume":  func(*rapid.T) { w.resume(pick()) },
		"kill":    func(*rapid.T) { w.kill(pick()) },
		"second": func(t *rapid.T) {
			if len(w.processes) > 1 {
				t.Skip("two processes run already")
			}
			w.start()
		},
		"drift": func(*rapid.T) {
			w.engine.state = State{Model: "m", Version: "lost"}
			w.engine.remainingTicks = 0
			w.driftedUntil = w.now.Add(driftDetectionTime)
		},
	}
}

func (w *world) pause(p *process) {
	if !p.paused {
		p.paused = true
		p.pausedAt = w.now
	}
}

func (w *world) resume(p *process) {
	if p.paused && w.now.Sub(p.pausedAt) > w.config().PauseLimit {
		p.requiredPlans = len(w.plans)
	}
	p.paused = false
}

func (w *world) advanceSome() {
	for range rapid.IntRange(1, 12).Draw(w.t, "pulses") {
		w.advance()
	}
}

// settle stops injecting faults and checks that every process converges to the last plan.
func (w *world) settle() {
	w.faultFree = true
	for _, p := range w.processes {
		w.resume(p)
	}
	if len(w.plans) == 0 {
		w.publish()
	}
	for range int(8 * maxOrderDelay / tickInterval) {
		w.advance()
	}
	wanted := w.plans[len(w.plans)-1]
	for _, p := range w.processes {
		if !p.reconciler.Converged() || p.reconciler.Plan().Offset != wanted.Offset || !w.engine.state.Equal(wanted.Wanted) {
			w.t.Fatalf("%s is %s on plan %d; the engine is %+v; wanted is %+v", p.name, p.reconciler.State(), p.reconciler.Plan().Offset, w.engine, wanted)
		}
	}
}

func runRandomFaults(t *testing.T, checksFencing bool) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1e9, 0), engine: engine{checksFencing: checksFencing}}
		w.start()
		t.Repeat(w.actions())
		w.settle()
	})
}

// An engine that checks fencing numbers must never return to an older plan and
// must converge to the wanted state whatever happens to orders, replies and sidecars.
func TestFuzzEngineThatChecksFencing(t *testing.T) { runRandomFaults(t, true) }

// The same must hold for an engine that ignores fencing while only one sidecar
// runs. With two sidecars it must still converge to the wanted state.
func TestFuzzEngineThatIgnoresFencing(t *testing.T) { runRandomFaults(t, false) }
