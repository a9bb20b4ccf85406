package plans

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/order"
	"github.com/sapphirefield/sapphirefield/placement"
	"github.com/sapphirefield/sapphirefield/planner"
)

const (
	// rolloutStepDelay plus a random part of rolloutJitter is the delay of a
	// rollout step after the previous plan, so that entries propose at different
	// times.
	rolloutStepDelay = time.Second
	rolloutJitter    = time.Second
	// maxLoadingFraction limits the fraction of the engines that load a version at
	// the same time.
	maxLoadingFraction = 1.0 / 8
)

// rollout moves the engines of one model to the serving version.
type rollout struct {
	random *rand.Rand
	// offset is the offset of the plan that the next step changes, nextStepAt the
	// earliest time of that step.
	offset     int64
	nextStepAt time.Time
}

// nextStep returns the directive for the next step of a rollout that changes the
// plan at offset. If there is none, it returns why the rollout is blocked, or an
// empty string if it is done or has to wait.
func (r *rollout) nextStep(now time.Time, offset int64, in planner.Input, target string) (*planner.Directive, string) {
	if isRolledOut(in.Current, target) {
		return nil, ""
	}
	if r.offset != offset {
		r.offset = offset
		r.nextStepAt = now.Add(rolloutStepDelay + time.Duration(r.random.Int64N(int64(rolloutJitter))))
	}
	if now.Before(r.nextStepAt) {
		return nil, ""
	}
	r.nextStepAt = now.Add(rolloutStepDelay + time.Duration(r.random.Int64N(int64(rolloutJitter))))
	engines := rolloutEngines(in)
	step := order.Rollout{
		Layers: in.Model.Layers, BytesPerLayer: in.Model.BytesPerLayer, Target: target,
		MaxConcurrentLoads: max(1, int(float64(len(engines))*maxLoadingFraction)),
	}.Next(engines)
	if len(step.Loads) == 0 {
		return nil, step.BlockedReason
	}
	return withLoads(in.Current, target, step.Loads), ""
}

// isRolledOut reports whether a directive assigns version to all engines.
func isRolledOut(d *planner.Directive, version string) bool {
	return d.Version == version && !slices.ContainsFunc(d.Wanted, func(a planner.EngineAssignment) bool { return a.Version != "" })
}

// rolloutEngines returns the engines of the plan that have layers assigned. A
// live engine that doesn't serve its assignment counts as loading it.
func rolloutEngines(in planner.Input) []order.RolloutEngine {
	live := make(map[string]bool, len(in.Fleet.Engines))
	for _, e := range in.Fleet.Engines {
		live[e.Name] = true
	}
	var engines []order.RolloutEngine
	for _, a := range in.Current.Wanted {
		if a.Range.Limit <= a.Range.First {
			continue
		}
		wanted := in.Current.AssignedVersion(a.Engine)
		engine := order.RolloutEngine{
			ID: a.Engine, Down: !live[a.Engine],
			Layers: order.LayerRange{First: a.Range.First, Limit: a.Range.Limit},
		}
		switch {
		case engine.Down:
			engine.Version = wanted
		case in.LoadedLayers[a.Engine] == a.Range && in.ServedVersions[a.Engine] == wanted:
			engine.Version = wanted
		default:
			engine.Loading = wanted
		}
		engines = append(engines, engine)
	}
	return engines
}

// withLoads returns the directive that assigns the target version to the engines
// of loads and leaves the others at their version. Engines without layers have
// nothing to load and get the target version, too.
func withLoads(current *planner.Directive, target string, loads []order.LoadOrder) *planner.Directive {
	next := *current
	next.Version = target
	next.Wanted = slices.Clone(current.Wanted)
	for i := range next.Wanted {
		a := &next.Wanted[i]
		atTarget := a.Range == placement.Range{} ||
			slices.ContainsFunc(loads, func(l order.LoadOrder) bool { return l.Engine == a.Engine })
		setVersion(&next, a, current.AssignedVersion(a.Engine))
		if atTarget {
			a.Version = ""
		}
	}
	return &next
}

// retainVersions leaves engines at their assigned version when a plan is made
// during a rollout. New engines load the plan's version.
func retainVersions(current, next *planner.Directive) {
	for i := range next.Wanted {
		a := &next.Wanted[i]
		if _, known := current.AssignedRange(a.Engine); known {
			setVersion(next, a, current.AssignedVersion(a.Engine))
		}
	}
}

func setVersion(d *planner.Directive, a *planner.EngineAssignment, version string) {
	a.Version = version
	if version == d.Version {
		a.Version = ""
	}
}
