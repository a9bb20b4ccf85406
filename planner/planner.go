// Package planner decides when a model needs a new placement plan and in which
// steps the engines move to it. It performs no I/O and reads no clock. Every
// entry runs it; a proposal names the plan that it replaces, so of several
// concurrent proposals the log accepts only one.
package planner

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sapphirefield/sapphirefield/placement"
)

// EngineAssignment is the layer range assigned to one engine.
type EngineAssignment struct {
	Engine string          `json:"engine"`
	Range  placement.Range `json:"range"`
	// Version is set only while the engine's version differs from the directive's,
	// as during a rollout.
	Version string `json:"version,omitempty"`
}

// Directive is the content of a placement plan record: the desired state of each
// engine now, the goal, and the moves left until the goal is reached.
type Directive struct {
	// Version is the version of the model that the engines load.
	Version string `json:"version"`
	// Adapters are loaded by every engine.
	Adapters []string       `json:"adapters,omitempty"`
	Goal     placement.Plan `json:"goal"`
	// Wanted is sorted by engine and applies until the next directive.
	Wanted []EngineAssignment `json:"wanted"`
	// Moves are the moves that Wanted doesn't contain yet. Moves of the same step
	// start together.
	Moves []placement.Move `json:"moves,omitempty"`
}

// AssignedRange returns the layer range assigned to an engine.
func (d *Directive) AssignedRange(engine string) (placement.Range, bool) {
	i, found := d.find(engine)
	if !found {
		return placement.Range{}, false
	}
	return d.Wanted[i].Range, true
}

func (d *Directive) find(engine string) (int, bool) {
	return slices.BinarySearchFunc(d.Wanted, engine, func(a EngineAssignment, name string) int {
		return strings.Compare(a.Engine, name)
	})
}

// AssignedVersion returns the version assigned to an engine.
func (d *Directive) AssignedVersion(engine string) string {
	i, found := d.find(engine)
	if !found || d.Wanted[i].Version == "" {
		return d.Version
	}
	return d.Wanted[i].Version
}

// Input is the input of Planner.Decide.
type Input struct {
	// Fleet contains the engines of the model that are configured and live.
	Fleet   placement.Fleet
	Model   placement.Model
	Version string
	// Adapters are the model's adapters in the configuration.
	Adapters []string
	Options  placement.Options
	// Current is the active directive, or nil.
	Current *Directive
	// LoadedLayers is the layer range that each live engine has loaded, by engine.
	LoadedLayers map[string]placement.Range
	// ServedVersions is the version that each engine of LoadedLayers serves, by engine.
	ServedVersions map[string]string
}

// Times for which a reason to replan must persist before a directive is proposed.
const (
	// engineLostDelay keeps a restart of an engine from moving weights. Requests
	// are rerouted immediately.
	engineLostDelay = 10 * time.Second
	// engineJoinDelay batches engines that join one after another into one plan.
	engineJoinDelay = 15 * time.Second
	// defaultDelay applies to all other reasons. It is short because it includes
	// the loss of an engine after which no pipeline has all layers.
	defaultDelay = time.Second
	// maxJitter spreads the proposals of entries that observe the same change.
	maxJitter = 2 * time.Second
)

// Planner plans one model. It is not safe for concurrent use.
type Planner struct {
	random *rand.Rand
	jitter time.Duration
	// reason is the reason found by the last Decide, reasonSince the time since
	// when it has persisted.
	reason      replanReason
	reasonSince time.Time
}

// replanReason is the reason for a new directive.
type replanReason int

const (
	reasonNone replanReason = iota
	reasonNoPlan
	reasonLayersUncovered
	reasonEngineLost
	reasonEngineJoined
	reasonVersionChanged
	reasonAdaptersChanged
	reasonNextStep
)

// New returns a planner for one model.
func New(random *rand.Rand) *Planner {
	p := &Planner{random: random}
	p.drawJitter()
	return p
}

func (p *Planner) drawJitter() {
	p.jitter = time.Duration(p.random.Int64N(int64(maxJitter)))
}

// Decide returns a directive to propose, or nil if none is due. Call it after
// each change of its input and every second.
func (p *Planner) Decide(now time.Time, in Input) (*Directive, error) {
	reason := reasonToReplan(in)
	if reason != p.reason {
		p.reason, p.reasonSince = reason, now
	}
	if reason == reasonNone || now.Sub(p.reasonSince) < reason.delay()+p.jitter {
		return nil, nil
	}
	p.reasonSince = now
	p.drawJitter()
	switch reason {
	case reasonNextStep:
		return nextStep(in.Current), nil
	case reasonAdaptersChanged:
		next := *in.Current
		next.Adapters = in.Adapters
		return &next, nil
	default:
		return newDirective(in)
	}
}

func (r replanReason) delay() time.Duration {
	switch r {
	case reasonEngineLost:
		return engineLostDelay
	case reasonEngineJoined:
		return engineJoinDelay
	default:
		return defaultDelay
	}
}

// reasonToReplan returns the reason for a new directive, or reasonNone.
func reasonToReplan(in Input) replanReason {
	switch {
	case len(in.Fleet.Engines) == 0:
		return reasonNone
	case in.Current == nil:
		return reasonNoPlan
	case in.Current.Version != in.Version:
		return reasonVersionChanged
	case !slices.Equal(in.Current.Adapters, in.Adapters):
		return reasonAdaptersChanged
	}
	lost, joined := fleetChanges(in)
	switch {
	case lost && !layersCovered(in):
		return reasonLayersUncovered
	case lost:
		return reasonEngineLost
	case joined:
		return reasonEngineJoined
	case len(in.Current.Moves) > 0 && converged(in):
		return reasonNextStep
	}
	return reasonNone
}

// fleetChanges reports whether engines of the current directive are gone, and
// whether there are live engines that it doesn't contain.
func fleetChanges(in Input) (lost, joined bool) {
	live := make(map[string]bool, len(in.Fleet.Engines))
	for _, e := range in.Fleet.Engines {
		live[e.Name] = true
		if _, known := in.Current.AssignedRange(e.Name); !known {
			joined = true
		}
	}
	for _, a := range in.Current.Wanted {
		if !live[a.Engine] {
			lost = true
		}
	}
	return lost, joined
}

// converged reports whether every live engine has loaded its assigned range.
func converged(in Input) bool {
	for _, e := range in.Fleet.Engines {
		wanted, known := in.Current.AssignedRange(e.Name)
		if known && in.LoadedLayers[e.Name] != wanted {
			return false
		}
	}
	return true
}

// layersCovered reports whether the loaded ranges can be chained to run all
// layers in order.
func layersCovered(in Input) bool {
	var plan placement.Plan
	for engine, r := range in.LoadedLayers {
		if r.Limit > r.First {
			plan.Assignments = append(plan.Assignments, placement.Assignment{Engine: engine, First: r.First, Limit: r.Limit})
		}
	}
	return plan.CheckTiling(in.Model.Layers) == nil
}

// nextStep returns the directive that assigns their new ranges to the engines of
// the next step.
func nextStep(current *Directive) *Directive {
	next := *current
	wanted := make(map[string]placement.Range, len(current.Wanted))
	for _, a := range current.Wanted {
		wanted[a.Engine] = a.Range
	}
	step := current.Moves[0].Step
	n := 0
	for n < len(current.Moves) && current.Moves[n].Step == step {
		wanted[current.Moves[n].Engine] = current.Moves[n].To
		n++
	}
	next.Moves = current.Moves[n:]
	next.Wanted = sortedAssignments(wanted)
	return &next
}

func sortedAssignments(wanted map[string]placement.Range) []EngineAssignment {
	list := make([]EngineAssignment, 0, len(wanted))
	for _, engine := range slices.Sorted(maps.Keys(wanted)) {
		list = append(list, EngineAssignment{Engine: engine, Range: wanted[engine]})
	}
	return list
}

// newDirective computes a new goal and the first step towards it.
func newDirective(in Input) (*Directive, error) {
	if in.Current == nil {
		goal, err := placement.MakePlan(in.Fleet, in.Model, in.Options)
		if err != nil {
			return nil, err
		}
		return &Directive{Version: in.Version, Adapters: in.Adapters, Goal: goal, Wanted: goalAssignments(goal)}, nil
	}
	goal, moves, err := placement.Replan(loadedPlan(in), in.Fleet, in.Model, in.Options)
	if err != nil {
		return nil, err
	}
	next := &Directive{Version: in.Version, Adapters: in.Adapters, Goal: goal, Wanted: liveAssignments(in), Moves: moves}
	if len(moves) > 0 {
		next = nextStep(next)
	}
	return next, nil
}

func goalAssignments(goal placement.Plan) []EngineAssignment {
	wanted := make(map[string]placement.Range, len(goal.Assignments))
	for _, a := range goal.Assignments {
		wanted[a.Engine] = placement.Range{First: a.First, Limit: a.Limit}
	}
	return sortedAssignments(wanted)
}

// loadedPlan returns the current goal with the ranges that engines have actually
// loaded.
func loadedPlan(in Input) placement.Plan {
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

// liveAssignments assigns to each live engine its loaded range, or its assigned
// range if it has loaded none. A new engine gets an empty range.
func liveAssignments(in Input) []EngineAssignment {
	wanted := make(map[string]placement.Range, len(in.Fleet.Engines))
	for _, e := range in.Fleet.Engines {
		r, known := in.LoadedLayers[e.Name]
		if !known {
			r, _ = in.Current.AssignedRange(e.Name)
		}
		wanted[e.Name] = r
	}
	return sortedAssignments(wanted)
}
