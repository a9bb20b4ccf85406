package order

import (
	"cmp"
	"math"
	"slices"
)

// DisjointChains returns the maximum number of chains, no two of which share an engine,
// among the engines that serve a version. The ranges of a chain cover all layers
// without gap or overlap. The number is the maximum flow from the first to the
// last layer boundary where each engine has capacity one.
func DisjointChains(fleet []RolloutEngine, version string, layers int) int {
	var edges []edge
	index := map[LayerRange]int{}
	for _, e := range fleet {
		if !e.serves(version) {
			continue
		}
		i, known := index[e.Layers]
		if !known {
			i = len(edges)
			index[e.Layers] = i
			edges = append(edges, edge{from: e.Layers.First, to: e.Layers.Limit})
		}
		edges[i].free++
	}
	total := 0
	for {
		n := augment(edges, layers)
		if n == 0 {
			return total
		}
		total += n
	}
}

// edge connects two layer boundaries and represents all engines of that range.
type edge struct {
	from, to int
	// free and used count the engines that carry no flow and those that carry flow.
	free, used int
}

// predecessor is the edge by which the search reached a boundary, and the
// boundary it came from; reverse is set for a residual edge against the flow.
type predecessor struct {
	edge, from int
	reverse    bool
}

// augment finds an augmenting path by breadth-first search over the residual
// graph and returns the units of flow that it adds, or 0 if there is none.
func augment(edges []edge, layers int) int {
	reached := map[int]predecessor{0: {edge: -1}}
	queue := []int{0}
	for len(queue) > 0 {
		boundary := queue[0]
		queue = queue[1:]
		for i, e := range edges {
			pred, to := predecessor{edge: i, from: boundary}, e.to
			if e.to == boundary {
				pred.reverse, to = true, e.from
			}
			usable := !pred.reverse && e.from == boundary && e.free > 0 || pred.reverse && e.used > 0
			if _, seen := reached[to]; !usable || seen {
				continue
			}
			reached[to] = pred
			queue = append(queue, to)
		}
	}
	if _, ok := reached[layers]; !ok {
		return 0
	}
	return pushFlow(edges, reached, layers)
}

// pushFlow adds as much flow along the path as its bottleneck edge allows and
// returns the units added.
func pushFlow(edges []edge, reached map[int]predecessor, layers int) int {
	units := math.MaxInt
	for boundary := layers; boundary != 0; boundary = reached[boundary].from {
		pred := reached[boundary]
		if pred.reverse {
			units = min(units, edges[pred.edge].used)
		} else {
			units = min(units, edges[pred.edge].free)
		}
	}
	for boundary := layers; boundary != 0; boundary = reached[boundary].from {
		pred, n := reached[boundary], units
		if pred.reverse {
			n = -units
		}
		edges[pred.edge].free -= n
		edges[pred.edge].used += n
	}
	return units
}

// cheapestDisjointChain returns the engines of the cheapest chain of target that
// shares no engine with some chain of old, or nil if there is none. Engines that
// serve or load the target cost nothing; engines of old cost their number of layers.
//
// The search extends both chains together: always the shorter one, and both at
// once when they end at the same layer. An engine can extend both chains only
// from its first layer, where both then end, so choosing two different engines
// in that step keeps the chains disjoint.
func cheapestDisjointChain(fleet []RolloutEngine, target, old string, layers int) []int {
	s := &chainSearch{fleet: fleet, layers: layers, memo: map[chainProgress]searchResult{}, byFirstLayer: map[int]*candidates{}}
	for i, e := range fleet {
		c := s.byFirstLayer[e.Layers.First]
		if c == nil {
			c = &candidates{}
			s.byFirstLayer[e.Layers.First] = c
		}
		switch {
		case e.serves(target) || e.Loading == target && !e.Down:
			c.noCost = append(c.noCost, i)
		case old != target && e.serves(old):
			c.old = append(c.old, i)
		}
	}
	for _, c := range s.byFirstLayer {
		c.noCost = s.limitPerRange(c.noCost, 1)
		// Two engines of a range suffice, one for each chain.
		c.old = s.limitPerRange(c.old, 2)
	}
	result := s.cheapest(chainProgress{0, 0})
	if !result.ok {
		return nil
	}
	return result.chain
}

// chainProgress holds the layers at which the chains of the target and of the old version end.
type chainProgress struct{ target, old int }

type searchResult struct {
	ok    bool
	cost  int
	chain []int
}

// candidates are the engines whose ranges start at one layer: those that cost
// nothing and those of the old version.
type candidates struct{ noCost, old []int }

type chainSearch struct {
	fleet        []RolloutEngine
	layers       int
	byFirstLayer map[int]*candidates
	memo         map[chainProgress]searchResult
}

// limitPerRange returns at most n engines of each range.
func (s *chainSearch) limitPerRange(engines []int, n int) []int {
	slices.SortStableFunc(engines, func(a, b int) int {
		return cmp.Compare(s.fleet[a].Layers.Limit, s.fleet[b].Layers.Limit)
	})
	var kept []int
	count := map[int]int{}
	for _, i := range engines {
		limit := s.fleet[i].Layers.Limit
		if count[limit] < n {
			kept = append(kept, i)
		}
		count[limit]++
	}
	return kept
}

func (s *chainSearch) cheapest(at chainProgress) searchResult {
	if at.target == s.layers && at.old == s.layers {
		return searchResult{ok: true}
	}
	if known, ok := s.memo[at]; ok {
		return known
	}
	var result searchResult
	c := s.byFirstLayer[min(at.target, at.old)]
	switch {
	case c == nil:
	case at.target < at.old:
		result = s.advanceTarget(at, c, -1, at.old)
	case at.old < at.target:
		for _, i := range c.old {
			result = cheaper(result, s.cheapest(chainProgress{at.target, s.fleet[i].Layers.Limit}))
		}
	default:
		for _, i := range c.old {
			result = cheaper(result, s.advanceTarget(at, c, i, s.fleet[i].Layers.Limit))
		}
	}
	s.memo[at] = result
	return result
}

// advanceTarget tries each candidate as the next engine of the target's chain,
// except the engine excluded, which the old chain takes in the same step.
func (s *chainSearch) advanceTarget(at chainProgress, c *candidates, excluded, old int) searchResult {
	var result searchResult
	for _, i := range c.noCost {
		result = cheaper(result, s.extend(i, 0, old))
	}
	for _, i := range c.old {
		if i != excluded {
			layers := s.fleet[i].Layers
			result = cheaper(result, s.extend(i, layers.Limit-layers.First, old))
		}
	}
	return result
}

func (s *chainSearch) extend(engine, cost, old int) searchResult {
	rest := s.cheapest(chainProgress{s.fleet[engine].Layers.Limit, old})
	if !rest.ok {
		return rest
	}
	return searchResult{ok: true, cost: cost + rest.cost, chain: append([]int{engine}, rest.chain...)}
}

func cheaper(a, b searchResult) searchResult {
	if !a.ok || b.ok && b.cost < a.cost {
		return b
	}
	return a
}
