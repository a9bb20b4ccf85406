package placement

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// crossZonePenalty is the objective's cost of one token that changes zone,
// relative to one token that finishes. It keeps tokens in their zone where
// that does not lower the flow.
const crossZonePenalty = 0.001

// maxLinkUtilization is the fraction of a link's rate that plans use. A link at
// its full rate queues every burst, and the queue delays all chains that cross it.
const maxLinkUtilization = 0.8

// flowSolution is the maximum flow of a layout in tokens/s.
type flowSolution struct {
	total float64
	// through is the flow through each segment in each zone, by segment and zone.
	through [][]float64
	// between is the flow between zones, by source and destination zone, summed
	// over all boundaries between segments.
	between [][]float64
}

// hop identifies a variable of the linear program: the flow from one zone to
// another at the boundary after a segment. Segment -1 stands for the flow that
// enters the first segment.
type hop struct {
	segment, from, to int
}

// solveMaxFlow returns the maximum flow through the layout. It solves a linear
// program, because the boundaries share the links, which a maximum-flow
// algorithm on a graph cannot express.
func (l *layout) solveMaxFlow() (flowSolution, error) {
	if l.bottleneck() <= 0 {
		return flowSolution{}, errors.New("a segment of the layout has no engine capacity")
	}
	hops := l.hops()
	scale := 1 / l.bottleneck()
	c := make([]float64, len(hops))
	for i, h := range hops {
		if h.segment < 0 {
			c[i] = -1
		} else if h.from != h.to {
			c[i] = crossZonePenalty
		}
	}
	rows, limits := l.constraints(hops, scale)
	n := len(hops)
	a := mat.NewDense(len(rows), n+len(rows), nil)
	basis := make([]int, len(rows))
	for r, row := range rows {
		for i, v := range row {
			a.Set(r, i, v)
		}
		a.Set(r, n+r, 1)
		basis[r] = n + r
	}
	// The slack variables form a feasible initial basis because no limit is negative.
	_, x, err := lp.Simplex(append(c, make([]float64, len(rows))...), a, limits, 1e-9, basis)
	if err != nil {
		return flowSolution{}, errors.Wrap(err, "solve maximum flow of layout")
	}
	return l.flowSolutionFrom(hops, x, 1/scale), nil
}

// hops returns the variables of the linear program.
func (l *layout) hops() []hop {
	var hops []hop
	for s := -1; s < len(l.lengths)-1; s++ {
		for _, to := range l.zones {
			if l.zoneCapacity[s+1][to] <= 0 {
				continue
			}
			if s < 0 {
				hops = append(hops, hop{segment: s, from: to, to: to})
				continue
			}
			for _, from := range l.zones {
				if l.zoneCapacity[s][from] > 0 && l.topo.rate[from][to] > 0 {
					hops = append(hops, hop{segment: s, from: from, to: to})
				}
			}
		}
	}
	return hops
}

// constraints returns upper-bound constraints whose limits are at least 0: the
// flow into each segment in each zone is at most its capacity and at most the
// flow out of it, and the flow over each link is at most its usable rate.
func (l *layout) constraints(hops []hop, scale float64) (rows [][]float64, limits []float64) {
	add := func(limit float64, coefficient func(h hop) float64) {
		row := make([]float64, len(hops))
		for i, h := range hops {
			row[i] = coefficient(h)
		}
		rows = append(rows, row)
		limits = append(limits, limit)
	}
	for s := range l.lengths {
		for _, z := range l.zones {
			if l.zoneCapacity[s][z] <= 0 {
				continue
			}
			into := func(h hop) bool { return h.segment == s-1 && h.to == z }
			add(l.zoneCapacity[s][z]*scale, func(h hop) float64 { return indicator(into(h)) })
			if s < len(l.lengths)-1 {
				add(0, func(h hop) float64 { return indicator(into(h)) - indicator(h.segment == s && h.from == z) })
			}
		}
	}
	for _, from := range l.zones {
		for _, to := range l.zones {
			rate := l.topo.rate[from][to]
			if rate > 0 && !math.IsInf(rate, 1) {
				add(maxLinkUtilization*rate*scale, func(h hop) float64 { return indicator(h.segment >= 0 && h.from == from && h.to == to) })
			}
		}
	}
	return rows, limits
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// flowSolutionFrom converts the values of the variables to flows in tokens/s.
func (l *layout) flowSolutionFrom(hops []hop, x []float64, scale float64) flowSolution {
	r := flowSolution{}
	for range l.lengths {
		r.through = append(r.through, make([]float64, len(l.topo.zones)))
	}
	for range l.topo.zones {
		r.between = append(r.between, make([]float64, len(l.topo.zones)))
	}
	for i, h := range hops {
		flow := x[i] * scale
		r.through[h.segment+1][h.to] += flow
		if h.segment < 0 {
			r.total += flow
		} else {
			r.between[h.from][h.to] += flow
		}
	}
	return r
}
