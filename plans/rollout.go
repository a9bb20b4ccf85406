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
	// rolloutPause and rolloutJitter separate a step of a rollout from the plan
	// before it, at a different time in each entry.
	rolloutPause  = time.Second
	rolloutJitter = time.Second
	// loadsPerEngine bounds the engines that load a version at the same time, as
	// a part of all.
	loadsPerEngine = 1.0 / 8
)

// rollout moves the engines of one model to the serving version.
type rollout struct {
	random *rand.Rand
	// offset is the plan on which the step is based, due the time of the step.
	offset int64
	due    time.Time
}

// next returns the next step of a rollout on the plan at an offset, or why there is none.
func (r *rollout) next(now time.Time, offset int64, in planner.Input, target string) (*planner.Directive, string) {
	if isServing(in.Current, target) {
		return nil, ""
	}
	if r.offset != offset {
		r.offset = offset
		r.due = now.Add(rolloutPause + time.Duration(r.random.Int64N(int64(rolloutJitter))))
	}
	if now.Before(r.due) {
		return nil, ""
	}
	r.due = now.Add(rolloutPause + time.Duration(r.random.Int64N(int64(rolloutJitter))))
	engines := holders(in)
	step := order.Rollout{
		Layers: in.Model.Layers, BytesPerLayer: in.Model.BytesPerLayer, Target: target,
		MaxConcurrentLoads: max(1, int(float64(len(engines))*loadsPerEngine)),
	}.Next(engines)
	if len(step.Loads) == 0 {
		return nil, step.BlockedReason
	}
	return withLoads(in.Current, target, step.Loads), ""
}

// isServing tells whether a directive wants one version everywhere.
func isServing(d *planner.Directive, version string) bool {
	return d.Version == version && !slices.ContainsFunc(d.Wanted, func(h planner.EngineAssignment) bool { return h.Version != "" })
}

// holders describes the engines of the plan. One that does not serve what the
// plan wants counts as loading it.
func holders(in planner.Input) []order.RolloutEngine {
	live := make(map[string]bool, len(in.Fleet.Engines))
	for _, e := range in.Fleet.Engines {
		live[e.Name] = true
	}
	var engines []order.RolloutEngine
	for _, h := range in.Current.Wanted {
		if h.Range.Limit <= h.Range.First {
			continue
		}
		wanted := in.Current.AssignedVersion(h.Engine)
		holder := order.RolloutEngine{
			ID: h.Engine, Down: !live[h.Engine],
			Layers: order.LayerRange{First: h.Range.First, Limit: h.Range.Limit},
		}
		switch {
		case holder.Down:
			holder.Version = wanted
		case in.LoadedLayers[h.Engine] == h.Range && in.ServedVersions[h.Engine] == wanted:
			holder.Version = wanted
		default:
			holder.Loading = wanted
		}
		engines = append(engines, holder)
	}
	return engines
}

// withLoads returns the directive with the engines of the loads at the target
// and all others at their version. Engines without layers have nothing to load.
func withLoads(current *planner.Directive, target string, loads []order.LoadOrder) *planner.Directive {
	next := *current
	next.Version = target
	next.Wanted = slices.Clone(current.Wanted)
	for i := range next.Wanted {
		h := &next.Wanted[i]
		loaded := h.Range == placement.Range{} ||
			slices.ContainsFunc(loads, func(l order.LoadOrder) bool { return l.Engine == h.Engine })
		setVersion(&next, h, current.AssignedVersion(h.Engine))
		if loaded {
			h.Version = ""
		}
	}
	return &next
}

// retainVersions keeps the engines of a plan that is made during a rollout at
// the versions that they have. New engines load the plan's version.
func retainVersions(current, next *planner.Directive) {
	for i := range next.Wanted {
		h := &next.Wanted[i]
		if _, known := current.AssignedRange(h.Engine); known {
			setVersion(next, h, current.AssignedVersion(h.Engine))
		}
	}
}

func setVersion(d *planner.Directive, h *planner.EngineAssignment, version string) {
	h.Version = version
	if version == d.Version {
		h.Version = ""
	}
}
