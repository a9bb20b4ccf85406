// Package planner decides when a model needs a new placement plan and in which
// steps the engines move to it. It performs no I/O and reads no clock. Every
// entry runs it; a proposal names the plan that it replaces, so the log accepts
// only one of several that race.
package planner

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sapphirefield/sapphirefield/placement"
)

// EngineAssignment is the range that one engine is to hold.
type EngineAssignment struct {
	Engine string          `json:"engine"`
	Range  placement.Range `json:"range"`
	// Version is set while the engine is to serve another version than that of
	// the directive.
	Version string `json:"version,omitempty"`
}

// Directive is the content of a placement plan record: what each engine holds
// now, on the way to a goal.
type Directive struct {
	// Version is the model's version that the engines load.
	Version string `json:"version"`
	// Adapters are those that every engine loads.
	Adapters []string       `json:"adapters,omitempty"`
	Goal     placement.Plan `json:"goal"`
	// Wanted is sorted by engine and stands until the next directive.
	Wanted []EngineAssignment `json:"wanted"`
	// Moves are those that are not in Wanted yet. Moves of one step start together.
	Moves []placement.Move `json:"moves,omitempty"`
}

// AssignedRange returns what the directive wants an engine to hold.
func (d *Directive) AssignedRange(engine string) (placement.Range, bool) {
	i, found := d.find(engine)
	if !found {
		return placement.Range{}, false
	}
	return d.Wanted[i].Range, true
}

func (d *Directive) find(engine string) (int, bool) {
	return slices.BinarySearchFunc(d.Wanted, engine, func(h EngineAssignment, name string) int {
		return strings.Compare(h.Engine, name)
	})
}

// AssignedVersion returns the version that the directive wants an engine to serve.
func (d *Directive) AssignedVersion(engine string) string {
	i, found := d.find(engine)
	if !found || d.Wanted[i].Version == "" {
		return d.Version
	}
	return d.Wanted[i].Version
}

// Input is what a decision depends on.
type Input struct {
	// Fleet holds the engines of the model that are configured and live.
	Fleet   placement.Fleet
	Model   placement.Model
	Version string
	// Adapters are those that the configuration wants.
	Adapters []string
	Options  placement.Options
	// Current is the directive in force, or nil.
	Current *Directive
	// LoadedLayers is what live engines hold now, by engine.
	LoadedLayers map[string]placement.Range
	// ServedVersions are those that the standing engines serve.
	ServedVersions map[string]string
}

// Waiting times before a plan changes.
const (
	// lostAfter is how long an engine must be gone, so that a restart does not
	// move weights; the requests themselves are re-routed at once.
	lostAfter = 10 * time.Second
	// joinAfter gathers engines that arrive one after another into one plan.
	joinAfter = 15 * time.Second
	// uncoveredAfter applies when the standing engines cannot run all layers.
	uncoveredAfter = time.Second
	// maxJitter spreads the proposals of entries that see the same change.
	maxJitter = 2 * time.Second
)

// Planner watches one model. It is not safe for concurrent use.
type Planner struct {
	random *rand.Rand
	jitter time.Duration
	// reason is the change that is being waited for, since when it holds.
	reason reason
	since  time.Time
}

type reason int

const (
	reasonNone reason = iota
	reasonNoPlan
	reasonUncovered
	reasonLost
	reasonJoined
	reasonVersion
	reasonAdapters
	reasonStep
)

// New returns a planner for one model.
func New(random *rand.Rand) *Planner {
	p := &Planner{random: random}
	p.redraw()
	return p
}

func (p *Planner) redraw() {
	p.jitter = time.Duration(p.random.Int64N(int64(maxJitter)))
}

// Decide returns a directive to propose, or nil while none is needed. The
// caller asks again after each change of its inputs and every second.
func (p *Planner) Decide(now time.Time, in Input) (*Directive, error) {
	why := need(in)
	if why != p.reason {
		p.reason, p.since = why, now
	}
	if why == reasonNone || now.Sub(p.since) < why.wait()+p.jitter {
		return nil, nil
	}
	p.since = now
	p.redraw()
	switch why {
	case reasonStep:
		return nextStep(in.Current), nil
	case reasonAdapters:
		next := *in.Current
		next.Adapters = in.Adapters
		return &next, nil
	default:
		return propose(in)
	}
}

func (r reason) wait() time.Duration {
	switch r {
	case reasonLost:
		return lostAfter
	case reasonJoined:
		return joinAfter
	default:
		return uncoveredAfter
	}
}

// need tells why a new directive is needed.
func need(in Input) reason {
	switch {
	case len(in.Fleet.Engines) == 0:
		return reasonNone
	case in.Current == nil:
		return reasonNoPlan
	case in.Current.Version != in.Version:
		return reasonVersion
	case !slices.Equal(in.Current.Adapters, in.Adapters):
		return reasonAdapters
	}
	lost, joined := compare(in)
	switch {
	case lost && !covered(in):
		return reasonUncovered
	case lost:
		return reasonLost
	case joined:
		return reasonJoined
	case len(in.Current.Moves) > 0 && stands(in):
		return reasonStep
	}
	return reasonNone
}

// compare tells whether live engines differ from those of the goal.
func compare(in Input) (lost, joined bool) {
	live := make(map[string]bool, len(in.Fleet.Engines))
	for _, e := range in.Fleet.Engines {
		live[e.Name] = true
		if _, known := in.Current.AssignedRange(e.Name); !known {
			joined = true
		}
	}
	for _, h := range in.Current.Wanted {
		if !live[h.Engine] {
			lost = true
		}
	}
	return lost, joined
}

// stands tells whether every live engine holds what the directive wants.
func stands(in Input) bool {
	for _, e := range in.Fleet.Engines {
		wanted, known := in.Current.AssignedRange(e.Name)
		if known && in.LoadedLayers[e.Name] != wanted {
			return false
		}
	}
	return true
}

// covered tells whether the standing ranges can run all layers in order.
func covered(in Input) bool {
	var plan placement.Plan
	for engine, r := range in.LoadedLayers {
		if r.Limit > r.First {
			plan.Assignments = append(plan.Assignments, placement.Assignment{Engine: engine, First: r.First, Limit: r.Limit})
		}
	}
	return plan.CheckTiling(in.Model.Layers) == nil
}

// nextStep moves the engines of the next step to their new ranges.
func nextStep(current *Directive) *Directive {
	next := *current
	wanted := make(map[string]placement.Range, len(current.Wanted))
	for _, h := range current.Wanted {
		wanted[h.Engine] = h.Range
	}
	step := current.Moves[0].Step
	n := 0
	for n < len(current.Moves) && current.Moves[n].Step == step {
		wanted[current.Moves[n].Engine] = current.Moves[n].To
		n++
	}
	next.Moves = current.Moves[n:]
	next.Wanted = holdings(wanted)
	return &next
}

func holdings(wanted map[string]placement.Range) []EngineAssignment {
	list := make([]EngineAssignment, 0, len(wanted))
	for _, engine := range slices.Sorted(maps.Keys(wanted)) {
		list = append(list, EngineAssignment{Engine: engine, Range: wanted[engine]})
	}
	return list
}

// propose makes a new goal and the first step towards it.
func propose(in Input) (*Directive, error) {
	if in.Current == nil {
		goal, err := placement.MakePlan(in.Fleet, in.Model, in.Options)
		if err != nil {
			return nil, err
		}
		return &Directive{Version: in.Version, Adapters: in.Adapters, Goal: goal, Wanted: goalHoldings(goal)}, nil
	}
	goal, moves, err := placement.Replan(standingPlan(in), in.Fleet, in.Model, in.Options)
	if err != nil {
		return nil, err
	}
	next := &Directive{Version: in.Version, Adapters: in.Adapters, Goal: goal, Wanted: liveHoldings(in), Moves: moves}
	if len(moves) > 0 {
		next = nextStep(next)
	}
	return next, nil
}

func goalHoldings(goal placement.Plan) []EngineAssignment {
	wanted := make(map[string]placement.Range, len(goal.Assignments))
	for _, a := range goal.Assignments {
		wanted[a.Engine] = placement.Range{First: a.First, Limit: a.Limit}
	}
	return holdings(wanted)
}

// standingPlan is the goal in force with the ranges that engines really hold.
func standingPlan(in Input) placement.Plan {
	plan := in.Current.Goal
	plan.Assignments = slices.Clone(plan.Assignments)
	for i := range plan.Assignments {
		a := &plan.Assignments[i]
		if r, live := in.LoadedLayers[a.Engine]; live {
			a.First, a.Limit = r.First, r.Limit
		}
	}
	return plan
}

// liveHoldings keeps what the live engines are to hold now; an engine without
// an assignment holds nothing.
func liveHoldings(in Input) []EngineAssignment {
	wanted := make(map[string]placement.Range, len(in.Fleet.Engines))
	for _, e := range in.Fleet.Engines {
		r, known := in.LoadedLayers[e.Name]
		if !known {
			r, _ = in.Current.AssignedRange(e.Name)
		}
		wanted[e.Name] = r
	}
	return holdings(wanted)
}
