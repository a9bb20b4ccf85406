package order

import (
	"cmp"
	"fmt"
	"slices"
)

// RolloutEngine describes an engine of the model to a Rollout.
type RolloutEngine struct {
	ID     string
	Layers LayerRange
	// Version is the version that the engine serves, or empty if it serves none.
	Version string
	// Loading is the version that the engine is loading, during which it serves none.
	Loading string
	// Down is set while the engine is unreachable. It is expected to return with
	// the same version.
	Down bool
}

// serves reports whether the engine can be part of a chain of the version now.
func (e RolloutEngine) serves(version string) bool {
	return e.Version == version && e.Loading == "" && !e.Down
}

// Rollout updates the engines of one model to a target version, range by range.
// It is stateless: the next step depends only on what the engines hold, so an
// engine failure, a restart of the planner or a rollback needs no special case.
type Rollout struct {
	// Layers is the number of layers of the model.
	Layers        int
	BytesPerLayer int64
	Target        string
	// MaxConcurrentLoads limits the loads in progress. They share the bandwidth of
	// the weight store, so more of them do not finish the rollout earlier.
	MaxConcurrentLoads int
}

// LoadOrder instructs one engine to load the target version.
type LoadOrder struct {
	Engine  string
	Version string
	Layers  LayerRange
	Bytes   int64
}

// ServingVersion is a version that can serve requests, and the number of disjoint
// chains that its engines form.
type ServingVersion struct {
	Version string
	Chains  int
}

// RolloutStep is the next step of a rollout and the state that it starts from.
type RolloutStep struct {
	Loads []LoadOrder
	// Serving lists the versions that have a complete chain now.
	Serving []ServingVersion
	// Done is set when every engine serves the target.
	Done bool
	// BlockedReason is the reason why no load can start although the rollout is not
	// done; empty while loads are in progress.
	BlockedReason string
}

// Next returns the next step. It never takes the last complete chain from a
// version unless the target has one.
func (r Rollout) Next(engines []RolloutEngine) RolloutStep {
	fleet := slices.Clone(engines)
	slices.SortFunc(fleet, func(a, b RolloutEngine) int { return cmp.Compare(a.ID, b.ID) })
	step := RolloutStep{Serving: r.servingVersions(fleet)}
	loading, remaining := 0, 0
	for _, e := range fleet {
		switch {
		case e.Loading != "" && !e.Down:
			loading++
			remaining++
		case e.Version != r.Target:
			remaining++
		}
	}
	step.Done = remaining == 0
	for loading+len(step.Loads) < r.MaxConcurrentLoads {
		i := r.choose(fleet)
		if i < 0 {
			break
		}
		step.Loads = append(step.Loads, r.loadOrder(fleet[i]))
		fleet[i].Version, fleet[i].Loading = "", r.Target
	}
	if !step.Done && loading == 0 && len(step.Loads) == 0 {
		step.BlockedReason = r.blockedReason(fleet)
	}
	return step
}

func (r Rollout) loadOrder(e RolloutEngine) LoadOrder {
	bytes := int64(e.Layers.Limit-e.Layers.First) * r.BytesPerLayer
	return LoadOrder{Engine: e.ID, Version: r.Target, Layers: e.Layers, Bytes: bytes}
}

// choose returns the index of the engine to load next, or -1.
func (r Rollout) choose(fleet []RolloutEngine) int {
	if i := r.chooseExpendable(fleet); i >= 0 {
		return i
	}
	if DisjointChains(fleet, r.Target, r.Layers) > 0 {
		return r.chooseForCapacity(fleet)
	}
	return r.chooseForFirstChain(fleet)
}

// chooseExpendable returns an engine whose load costs no capacity, or -1: one that
// serves no version, or one whose version would have no complete chain even if
// every unreachable engine returned. The lowest first layer is preferred.
func (r Rollout) chooseExpendable(fleet []RolloutEngine) int {
	returned := slices.Clone(fleet)
	for i := range returned {
		returned[i].Down = false
	}
	expendable := map[string]bool{"": true}
	for _, v := range servedVersions(returned) {
		expendable[v] = v != r.Target && DisjointChains(returned, v, r.Layers) == 0
	}
	return lowestEngine(fleet, func(e RolloutEngine) bool { return expendable[e.Version] && e.Loading == "" && !e.Down })
}

// chooseForFirstChain returns the next engine for the chain of the target that
// needs the fewest bytes and leaves a complete chain of an old version, or -1.
// The lowest first layer is preferred, so that a rollout proceeds range by range.
func (r Rollout) chooseForFirstChain(fleet []RolloutEngine) int {
	for _, old := range servedVersions(fleet) {
		chain := cheapestDisjointChain(fleet, r.Target, old, r.Layers)
		if chain == nil {
			continue
		}
		inChain := map[string]bool{}
		for _, i := range chain {
			inChain[fleet[i].ID] = true
		}
		return lowestEngine(fleet, func(e RolloutEngine) bool { return inChain[e.ID] && e.serves(old) })
	}
	return -1
}

// lowestEngine returns the index of the allowed engine with the lowest first layer, or -1.
func lowestEngine(fleet []RolloutEngine, allowed func(RolloutEngine) bool) int {
	best := -1
	for i, e := range fleet {
		if allowed(e) && (best < 0 || e.Layers.First < fleet[best].Layers.First) {
			best = i
		}
	}
	return best
}

// chooseForCapacity is used once the target has a complete chain. It returns the
// engine whose load leaves the most chains over all versions; among equals, the
// one whose first layer has the fewest engines of the target, then the lowest
// first layer.
func (r Rollout) chooseForCapacity(fleet []RolloutEngine) int {
	type replicaGroup struct {
		version string
		layers  LayerRange
	}
	tried := map[replicaGroup]bool{}
	best, bestKey := -1, [3]int{}
	for i, e := range fleet {
		// Engines with the same version and range are interchangeable.
		if e.Version == r.Target || !e.serves(e.Version) || tried[replicaGroup{e.Version, e.Layers}] {
			continue
		}
		tried[replicaGroup{e.Version, e.Layers}] = true
		after := slices.Clone(fleet)
		after[i].Version = ""
		total := 0
		for _, s := range r.servingVersions(after) {
			total += s.Chains
		}
		key := [3]int{-total, countServing(fleet, r.Target, e.Layers.First), e.Layers.First}
		if best < 0 || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = i, key
		}
	}
	return best
}

func (r Rollout) blockedReason(fleet []RolloutEngine) string {
	for _, e := range fleet {
		if e.Down {
			return fmt.Sprintf("engine %s is unreachable", e.ID)
		}
	}
	for layer := range r.Layers {
		copies := 0
		for _, e := range fleet {
			if e.Layers.First <= layer && layer < e.Layers.Limit {
				copies++
			}
		}
		if copies < 2 {
			return fmt.Sprintf("layer %d is held by %d engine(s); a rollout without downtime needs 2", layer, copies)
		}
	}
	return "no two disjoint chains of engines cover all layers"
}

func (r Rollout) servingVersions(fleet []RolloutEngine) []ServingVersion {
	var list []ServingVersion
	for _, v := range servedVersions(fleet) {
		if n := DisjointChains(fleet, v, r.Layers); n > 0 {
			list = append(list, ServingVersion{Version: v, Chains: n})
		}
	}
	return list
}

// servedVersions returns the distinct versions of the engines in alphabetical order.
func servedVersions(fleet []RolloutEngine) []string {
	var list []string
	for _, e := range fleet {
		if e.Version != "" {
			list = append(list, e.Version)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// countServing returns the number of engines that serve a layer of the version.
func countServing(fleet []RolloutEngine, version string, layer int) int {
	n := 0
	for _, e := range fleet {
		if e.serves(version) && e.Layers.First <= layer && layer < e.Layers.Limit {
			n++
		}
	}
	return n
}
