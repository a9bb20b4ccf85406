package order

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	delay = 10 * time.Second
	pulse = 500 * time.Millisecond
	// lateness bounds the way of an input to a machine.
	lateness = 6 * pulse
	check    = 4 * time.Second
	// noticed is the longest time until a change without an order is seen: one
	// read that was made before it, the interval and the next read.
	noticed = 2*lateness + check + 4*pulse
)

// engine is the oracle: an engine that obeys orders and may ignore fencing.
type engine struct {
	checks  bool
	state   State
	target  State
	fence   int64
	busyFor int
}

func (e *engine) obey(o SendOrder, work int) (accepted bool) {
	if e.checks && o.Fence < e.fence {
		return false
	}
	if e.checks {
		e.fence = o.Fence
	}
	// An order names a state, so one for the state that is there already is no work.
	if shows(e.observe(), o.Wanted) {
		return true
	}
	e.target = o.Wanted
	e.busyFor = work
	if work == 0 {
		e.state = o.Wanted
	}
	return true
}

func (e *engine) tick() {
	if e.busyFor > 0 {
		e.busyFor--
		if e.busyFor == 0 {
			e.state = e.target
		}
	}
}

func (e *engine) observe() Observed {
	return Observed{State: e.state, Busy: e.busyFor > 0, Target: e.target, Fence: e.fence}
}

// flying is an order that has not taken effect yet.
type flying struct {
	order SendOrder
	from  *process
	lands time.Time
}

// process is a sidecar: a machine and what its driver has not done yet.
type process struct {
	name    string
	machine *Reconciler
	todo    []Action
	inbox   []late
	paused  bool
	folded  int
	// pausedAt and mustFold belong to the last pause: no order may be given
	// before all plans of its end are folded.
	pausedAt time.Time
	mustFold int
	// beside is set once the process has lived beside another one, whose orders it does not know.
	beside bool
}

// late is an input that reaches the machine only at a later time.
type late struct {
	at    time.Time
	input Input
}

type world struct {
	t       *rapid.T
	now     time.Time
	engine  engine
	plans   []Plan
	air     []flying
	live    []*process
	started int
	// drifted is set from a change that no order caused until the next check.
	drifted time.Time
	calm    bool
}

func (w *world) config() Config {
	return Config{Fencing: w.engine.checks, MaxOrderDelay: delay, PauseLimit: 3 * time.Second, ReadBackoff: time.Second, CheckInterval: check}
}

func (w *world) start() {
	m, err := New(w.config(), w.now)
	if err != nil {
		w.t.Fatal(err)
	}
	w.started++
	w.live = append(w.live, &process{name: fmt.Sprint("p", w.started), machine: m, mustFold: len(w.plans)})
	for _, p := range w.live {
		p.beside = p.beside || len(w.live) > 1
	}
}

func (w *world) publish() {
	n := len(w.plans) + 1
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(w.t, "version")
	w.plans = append(w.plans, Plan{Offset: int64(n * 3), Wanted: State{Model: "m", Version: version, Layers: LayerRange{0, 4}}})
}

// pass advances the clock and lets every running process work.
func (w *world) pass() {
	w.now = w.now.Add(pulse)
	w.engine.tick()
	w.land()
	for _, p := range append([]*process(nil), w.live...) {
		if p.paused {
			continue
		}
		w.deliver(p)
		w.fold(p)
		w.step(p, Tick{})
		w.perform(p)
	}
	w.checkStanding()
}

// fold lets a process read the log up to a drawn place.
func (w *world) fold(p *process) {
	end := len(w.plans)
	if !w.calm {
		end = rapid.IntRange(p.folded, len(w.plans)).Draw(w.t, "folded")
	}
	for p.folded < end {
		p.folded++
		w.step(p, PlanReceived{w.plans[p.folded-1]})
	}
	if old := w.draw("old", 2*p.folded); old > p.folded {
		// A process that folds the log again meets plans that it has left behind.
		w.step(p, PlanReceived{w.plans[old-p.folded-1]})
	}
	if p.folded == len(w.plans) {
		w.later(p, PlanConfirmed{AsOf: w.now})
	}
}

// later passes an input at once or, sometimes, after a while.
func (w *world) later(p *process, in Input) {
	after := max(0, w.draw("late", 12)-int(lateness/pulse))
	if after == 0 {
		w.step(p, in)
		return
	}
	p.inbox = append(p.inbox, late{w.now.Add(time.Duration(after) * pulse), in})
}

func (w *world) deliver(p *process) {
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
	actions := p.machine.Step(w.now, in)
	for _, action := range actions {
		a, isOrder := action.(SendOrder)
		if isOrder && (a.Fence != p.machine.Plan().Offset || p.folded < p.mustFold) {
			w.t.Fatalf("%s gives an order of the old plan %d", p.name, a.Fence)
		}
	}
	p.todo = append(p.todo, actions...)
}

func (w *world) perform(p *process) {
	todo := p.todo
	p.todo = nil
	for _, action := range todo {
		switch a := action.(type) {
		case Read:
			w.read(p, a)
		case SendOrder:
			w.checkGive(p, a)
			w.give(p, a)
		}
	}
}

func (w *world) draw(label string, limit int) int {
	if w.calm {
		return 0
	}
	return rapid.IntRange(0, limit).Draw(w.t, label)
}

func (w *world) read(p *process, a Read) {
	if w.draw("read", 4) == 4 {
		w.later(p, ReadFailed(a))
		return
	}
	w.later(p, ReadDone{a.ID, w.engine.observe()})
}

func (w *world) give(p *process, a SendOrder) {
	switch w.draw("outcome", 4) {
	case 0, 1:
		w.answer(p, a)
	case 2:
		w.later(p, OrderRejected{a.ID})
	case 3:
		// The answer is lost and the order takes effect within the longest delay.
		after := time.Duration(w.draw("delay", int(delay/pulse)-1)) * pulse
		w.air = append(w.air, flying{order: a, from: p, lands: w.now.Add(after)})
		w.step(p, OrderUnconfirmed{a.ID})
	case 4:
		// The answer comes at once and the effect later.
		after := time.Duration(w.draw("delay", int(delay/pulse)-1)) * pulse
		w.air = append(w.air, flying{order: a, from: p, lands: w.now.Add(after)})
		w.later(p, OrderAccepted{a.ID})
	}
}

func (w *world) answer(p *process, a SendOrder) {
	if !w.engine.obey(a, w.draw("work", 6)) {
		w.later(p, OrderFenced{a.ID})
		return
	}
	w.later(p, OrderAccepted{a.ID})
}

func (w *world) land() {
	var rest []flying
	for _, f := range w.air {
		if f.lands.After(w.now) {
			rest = append(rest, f)
			continue
		}
		w.engine.obey(f.order, w.draw("work", 6))
	}
	w.air = rest
}

// checkGive guards against two orders at once: an order of this process or of a
// dead one could take effect after the new one.
func (w *world) checkGive(p *process, a SendOrder) {
	for _, f := range w.air {
		if !w.engine.checks && (f.from == p || !p.beside) {
			w.t.Fatalf("%s gives order %+v while %+v may still take effect", p.name, a, f.order)
		}
	}
}

// checkStanding guards against work for an engine in another state than the
// machine says. A second live process or a change without an order can break it
// for an engine that ignores fencing, until the next regular read.
func (w *world) checkStanding() {
	if w.now.Before(w.drifted) || !w.engine.checks && len(w.live) > 1 {
		return
	}
	for _, p := range w.live {
		seen := w.engine.observe()
		// A second process may have obeyed a plan that this one has not folded.
		if p.paused || !p.machine.Converged() || seen.Fence > p.machine.Plan().Offset {
			continue
		}
		if seen.Busy || !seen.State.Equal(p.machine.Plan().Wanted) {
			w.t.Fatalf("%s stands on %+v but the engine is %+v", p.name, p.machine.Plan(), seen)
		}
	}
}

// kill ends a process. A new one starts unless another runs beside the same engine.
func (w *world) kill(p *process) {
	var rest []*process
	for _, l := range w.live {
		if l != p {
			rest = append(rest, l)
		}
	}
	w.live = rest
	if len(rest) == 0 {
		w.start()
		return
	}
	// The process that is left has learned nothing of the dead one's orders.
	w.drifted = w.now.Add(delay + noticed)
}

func (w *world) actions() map[string]func(*rapid.T) {
	pick := func() *process { return rapid.SampledFrom(w.live).Draw(w.t, "process") }
	return map[string]func(*rapid.T){
		"pass":    func(*rapid.T) { w.passSome() },
		"pass2":   func(*rapid.T) { w.passSome() },
		"pass3":   func(*rapid.T) { w.passSome() },
		"publish": func(*rapid.T) { w.publish() },
		"pause":   func(*rapid.T) { w.pause(pick()) },
		"resume":  func(*rapid.T) { w.resume(pick()) },
		"kill":    func(*rapid.T) { w.kill(pick()) },
		"second": func(t *rapid.T) {
			if len(w.live) > 1 {
				t.Skip("two processes run already")
			}
			w.start()
		},
		"drift": func(*rapid.T) {
			w.engine.state = State{Model: "m", Version: "lost"}
			w.engine.busyFor = 0
			w.drifted = w.now.Add(noticed)
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
		p.mustFold = len(w.plans)
	}
	p.paused = false
}

func (w *world) passSome() {
	for range rapid.IntRange(1, 12).Draw(w.t, "pulses") {
		w.pass()
	}
}

// settle ends all disturbances; every process must come to stand on the last plan.
func (w *world) settle() {
	w.calm = true
	for _, p := range w.live {
		w.resume(p)
	}
	if len(w.plans) == 0 {
		w.publish()
	}
	for range int(8 * delay / pulse) {
		w.pass()
	}
	wanted := w.plans[len(w.plans)-1]
	for _, p := range w.live {
		if !p.machine.Converged() || p.machine.Plan().Offset != wanted.Offset || !w.engine.state.Equal(wanted.Wanted) {
			w.t.Fatalf("%s is %s on plan %d; the engine is %+v; wanted is %+v", p.name, p.machine.State(), p.machine.Plan().Offset, w.engine, wanted)
		}
	}
}

func fuzz(t *testing.T, checks bool) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1e9, 0), engine: engine{checks: checks}}
		w.start()
		t.Repeat(w.actions())
		w.settle()
	})
}

// Whatever happens to orders, answers and sidecars, an engine that checks
// fencing numbers never goes back to an older plan and ends in the wanted state.
func TestFuzzEngineThatChecksFencing(t *testing.T) { fuzz(t, true) }

// The same holds for an engine that ignores fencing as long as one sidecar
// lives; two sidecars still end in the wanted state.
func TestFuzzEngineThatIgnoresFencing(t *testing.T) { fuzz(t, false) }
