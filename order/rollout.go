package order

import (
	"cmp"
	"fmt"
	"slices"
)

// RolloutEngine is an engine of one model as the rollout sees it.
type RolloutEngine struct {
	ID     string
	Layers LayerRange
	// Version is what the engine serves; empty while it serves nothing.
	Version string
	// Loading is the version that the engine is loading; it serves nothing meanwhile.
	Loading string
	// Down is set while the engine does not answer. It is expected to return
	// with its version.
	Down bool
}

// serves tells whether the engine can take part in a chain of the version now.
func (h RolloutEngine) serves(version string) bool {
	return h.Version == version && h.Loading == "" && !h.Down
}

// Rollout moves the engines of one model to a version, range by range. It keeps
// no state between steps: the next step follows from what the engines hold, so
// that a lost engine, a restarted planner or a rollout in the other direction
// needs no special case.
type Rollout struct {
	// Layers is the number of layers of the model.
	Layers        int
	BytesPerLayer int64
	Target        string
	// MaxConcurrentLoads bounds the loads at one time. The weight store shares its rate
	// between them, so more loads do not end earlier on the whole.
	MaxConcurrentLoads int
}

// LoadOrder is an order to one engine to load the target version.
type LoadOrder struct {
	Engine  string
	Version string
	Layers  LayerRange
	Bytes   int64
}

// ServingVersion is a version that holds every layer, and the number of chains that
// its engines allow at the weakest layer.
type ServingVersion struct {
	Version string
	Chains  int
}

// RolloutStep is what a rollout does next.
type RolloutStep struct {
	Loads []LoadOrder
	// Serving lists the versions that can serve whole requests now.
	Serving []ServingVersion
	// Done is set when every engine serves the target.
	Done bool
	// BlockedReason says why nothing can be loaded although the rollout is not done;
	// empty when loads are on their way.
	BlockedReason string
}

// Next returns the next step. It never orders an engine away from a version
// that would then no longer hold every layer, unless the target does.
func (r Rollout) Next(engines []RolloutEngine) RolloutStep {
	fleet := slices.Clone(engines)
	slices.SortFunc(fleet, func(a, b RolloutEngine) int { return cmp.Compare(a.ID, b.ID) })
	step := RolloutStep{Serving: r.serving(fleet)}
	loading, left := 0, 0
	for _, e := range fleet {
		switch {
		case e.Loading != "" && !e.Down:
			loading++
			left++
		case e.Version != r.Target:
			left++
		}
	}
	step.Done = left == 0
	for loading+len(step.Loads) < r.MaxConcurrentLoads {
		i := r.choose(fleet)
		if i < 0 {
			break
		}
		step.Loads = append(step.Loads, r.load(fleet[i]))
		fleet[i].Version, fleet[i].Loading = "", r.Target
	}
	if !step.Done && loading == 0 && len(step.Loads) == 0 {
		step.BlockedReason = r.blocked(fleet)
	}
	return step
}

func (r Rollout) load(e RolloutEngine) LoadOrder {
	bytes := int64(e.Layers.Limit-e.Layers.First) * r.BytesPerLayer
	return LoadOrder{Engine: e.ID, Version: r.Target, Layers: e.Layers, Bytes: bytes}
}

// choose returns the engine to load next, or -1.
func (r Rollout) choose(fleet []RolloutEngine) int {
	if i := r.chooseExpendable(fleet); i >= 0 {
		return i
	}
	if DisjointChains(fleet, r.Target, r.Layers) > 0 {
		return r.chooseForCapacity(fleet)
	}
	return r.chooseForFirstChain(fleet)
}

// chooseExpendable prefers an engine whose load costs no capacity: it serves
// nothing, or a version that cannot be whole even when every engine answers
// again. The lowest layers go first.
func (r Rollout) chooseExpendable(fleet []RolloutEngine) int {
	returned := slices.Clone(fleet)
	for i := range returned {
		returned[i].Down = false
	}
	expendable := map[string]bool{"": true}
	for _, v := range versions(returned) {
		expendable[v] = v != r.Target && DisjointChains(returned, v, r.Layers) == 0
	}
	return lowest(fleet, func(e RolloutEngine) bool { return expendable[e.Version] && e.Loading == "" && !e.Down })
}

// chooseForFirstChain continues the chain of the target that costs the fewest
// bytes and leaves an old version whole. The lowest layers go first, so that a
// rollout proceeds range by range.
func (r Rollout) chooseForFirstChain(fleet []RolloutEngine) int {
	for _, old := range versions(fleet) {
		chain := chainBeside(fleet, r.Target, old, r.Layers)
		if chain == nil {
			continue
		}
		inChain := map[string]bool{}
		for _, i := range chain {
			inChain[fleet[i].ID] = true
		}
		return lowest(fleet, func(e RolloutEngine) bool { return inChain[e.ID] && e.serves(old) })
	}
	return -1
}

// lowest returns the engine with the lowest first layer among those that are allowed, or -1.
func lowest(fleet []RolloutEngine, allowed func(RolloutEngine) bool) int {
	best := -1
	for i, e := range fleet {
		if allowed(e) && (best < 0 || e.Layers.First < fleet[best].Layers.First) {
			best = i
		}
	}
	return best
}

// chooseForCapacity is used once the target is whole. It takes the engine whose
// load leaves the most chains over all versions, and of these the one whose
// first layer has the fewest engines of the target.
func (r Rollout) chooseForCapacity(fleet []RolloutEngine) int {
	type kind struct {
		version string
		layers  LayerRange
	}
	tried := map[kind]bool{}
	best, bestKey := -1, [3]int{}
	for i, e := range fleet {
		// Engines with the same version and range are interchangeable.
		if e.Version == r.Target || !e.serves(e.Version) || tried[kind{e.Version, e.Layers}] {
			continue
		}
		tried[kind{e.Version, e.Layers}] = true
		after := slices.Clone(fleet)
		after[i].Version = ""
		total := 0
		for _, s := range r.serving(after) {
			total += s.Chains
		}
		key := [3]int{-total, holders(fleet, r.Target, e.Layers.First), e.Layers.First}
		if best < 0 || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = i, key
		}
	}
	return best
}

func (r Rollout) blocked(fleet []RolloutEngine) string {
	for _, e := range fleet {
		if e.Down {
			return fmt.Sprintf("engine %s does not answer", e.ID)
		}
	}
	for layer := range r.Layers {
		held := 0
		for _, e := range fleet {
			if e.Layers.First <= layer && layer < e.Layers.Limit {
				held++
			}
		}
		if held < 2 {
			return fmt.Sprintf("layer %d is held by %d engine(s); a rollout that keeps the old version whole needs 2", layer, held)
		}
	}
	return "no two separate chains of engines hold every layer"
}

func (r Rollout) serving(fleet []RolloutEngine) []ServingVersion {
	var list []ServingVersion
	for _, v := range versions(fleet) {
		if n := DisjointChains(fleet, v, r.Layers); n > 0 {
			list = append(list, ServingVersion{Version: v, Chains: n})
		}
	}
	return list
}

// versions returns the versions that are served, in alphabetical order.
func versions(fleet []RolloutEngine) []string {
	var list []string
	for _, e := range fleet {
		if e.Version != "" {
			list = append(list, e.Version)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func holders(fleet []RolloutEngine, version string, layer int) int {
	n := 0
	for _, e := range fleet {
		if e.serves(version) && e.Layers.First <= layer && layer < e.Layers.Limit {
			n++
		}
	}
	return n
}
