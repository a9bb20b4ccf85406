package order

import (
	"cmp"
	"math"
	"slices"
)

// DisjointChains returns how many chains the engines of a version allow at the same
// time without sharing an engine. A chain's ranges tile all layers, so engines
// whose ranges merely overlap do not form one. The number is the maximum flow
// from the first to the last layer with one unit for each engine.
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

// edge stands for all engines of one range, between two layer boundaries.
type edge struct {
	from, to int
	// free and used count the engines outside and inside the flow.
	free, used int
}

// way is how a boundary was reached: by an edge, forward or against its flow.
type way struct {
	edge, from int
	back       bool
}

// augment finds one more path by a breadth-first search over the residual graph
// and returns how many units of flow it adds.
func augment(edges []edge, layers int) int {
	reached := map[int]way{0: {edge: -1}}
	queue := []int{0}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for i, e := range edges {
			w, to := way{edge: i, from: at}, e.to
			if e.to == at {
				w.back, to = true, e.from
			}
			usable := !w.back && e.from == at && e.free > 0 || w.back && e.used > 0
			if _, seen := reached[to]; !usable || seen {
				continue
			}
			reached[to] = w
			queue = append(queue, to)
		}
	}
	if _, ok := reached[layers]; !ok {
		return 0
	}
	return push(edges, reached, layers)
}

// push moves as many units along the path as its narrowest edge allows.
func push(edges []edge, reached map[int]way, layers int) int {
	units := math.MaxInt
	for at := layers; at != 0; at = reached[at].from {
		w := reached[at]
		if w.back {
			units = min(units, edges[w.edge].used)
		} else {
			units = min(units, edges[w.edge].free)
		}
	}
	for at := layers; at != 0; at = reached[at].from {
		w, n := reached[at], units
		if w.back {
			n = -units
		}
		edges[w.edge].free -= n
		edges[w.edge].used += n
	}
	return units
}

// chainBeside returns the engines of the cheapest chain of target that leaves a
// chain of old on other engines. Engines that hold or load the target cost
// nothing, and engines of old cost their layers. It is nil when there is none.
//
// The two chains advance together: always the one that is behind, and both at
// once when they are level. An engine can be in both only if both stand at its
// first layer, and then they are level, so the choice of two different engines
// there keeps the chains apart.
func chainBeside(fleet []RolloutEngine, target, old string, layers int) []int {
	k := &pairSearch{fleet: fleet, layers: layers, seen: map[pair]pairResult{}, at: map[int]*candidates{}}
	for i, e := range fleet {
		c := k.at[e.Layers.First]
		if c == nil {
			c = &candidates{}
			k.at[e.Layers.First] = c
		}
		switch {
		case e.serves(target) || e.Loading == target && !e.Down:
			c.free = append(c.free, i)
		case old != target && e.serves(old):
			c.old = append(c.old, i)
		}
	}
	for _, c := range k.at {
		c.free = k.distinct(c.free, 1)
		// Two engines of a range are enough: one for each chain.
		c.old = k.distinct(c.old, 2)
	}
	result := k.best(pair{0, 0})
	if !result.ok {
		return nil
	}
	return result.chain
}

// pair holds the layers that the chains of the target and of the old version have reached.
type pair struct{ target, old int }

type pairResult struct {
	ok    bool
	cost  int
	chain []int
}

// candidates are the engines that start at one layer.
type candidates struct{ free, old []int }

type pairSearch struct {
	fleet  []RolloutEngine
	layers int
	at     map[int]*candidates
	seen   map[pair]pairResult
}

// distinct keeps at most n engines of each range.
func (k *pairSearch) distinct(engines []int, n int) []int {
	slices.SortStableFunc(engines, func(a, b int) int {
		return cmp.Compare(k.fleet[a].Layers.Limit, k.fleet[b].Layers.Limit)
	})
	var kept []int
	count := map[int]int{}
	for _, i := range engines {
		limit := k.fleet[i].Layers.Limit
		if count[limit] < n {
			kept = append(kept, i)
		}
		count[limit]++
	}
	return kept
}

func (k *pairSearch) best(at pair) pairResult {
	if at.target == k.layers && at.old == k.layers {
		return pairResult{ok: true}
	}
	if known, ok := k.seen[at]; ok {
		return known
	}
	var result pairResult
	c := k.at[min(at.target, at.old)]
	switch {
	case c == nil:
	case at.target < at.old:
		result = k.advanceTarget(at, c, -1, at.old)
	case at.old < at.target:
		for _, i := range c.old {
			result = cheaper(result, k.best(pair{at.target, k.fleet[i].Layers.Limit}))
		}
	default:
		for _, i := range c.old {
			result = cheaper(result, k.advanceTarget(at, c, i, k.fleet[i].Layers.Limit))
		}
	}
	k.seen[at] = result
	return result
}

// advanceTarget extends the target's chain by each engine but the one that the
// other chain takes in the same step.
func (k *pairSearch) advanceTarget(at pair, c *candidates, taken, old int) pairResult {
	var result pairResult
	for _, i := range c.free {
		result = cheaper(result, k.extend(i, 0, old))
	}
	for _, i := range c.old {
		if i != taken {
			layers := k.fleet[i].Layers
			result = cheaper(result, k.extend(i, layers.Limit-layers.First, old))
		}
	}
	return result
}

func (k *pairSearch) extend(engine, cost, old int) pairResult {
	rest := k.best(pair{k.fleet[engine].Layers.Limit, old})
	if !rest.ok {
		return rest
	}
	return pairResult{ok: true, cost: cost + rest.cost, chain: append([]int{engine}, rest.chain...)}
}

func cheaper(a, b pairResult) pairResult {
	if !a.ok || b.ok && b.cost < a.cost {
		return b
	}
	return a
}
