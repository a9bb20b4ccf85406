package placement

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// crossZonePenalty is the objective's charge for one token that changes zone,
// relative to one token that finishes. It keeps tokens in their zone where
// that does not lower the flow.
const crossZonePenalty = 0.001

// maxLinkUtilization is the part of a link's rate that plans use. A link at its full rate
// queues every burst, and the queue delays all chains that cross it.
const maxLinkUtilization = 0.8

// flowSolution is the flow of a layout: tokens/s through each segment in each zone,
// and between zones at each boundary.
type flowSolution struct {
	total float64
	// through is indexed by segment and zone.
	through [][]float64
	// between is indexed by zone and zone, summed over boundaries.
	between [][]float64
}

// hop is a variable of the linear program: the flow between two zones at the
// boundary after a segment. Segment -1 enters the first segment from nowhere.
type hop struct {
	segment, from, to int
}

// solveMaxFlow solves for the maximum flow through the layout. It is a linear
// program and not a plain maximum flow, because all boundaries share a link.
func (l *layout) solveMaxFlow() (flowSolution, error) {
	if l.bottleneck() <= 0 {
		return flowSolution{}, errors.New("a segment of layers has no engine")
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
	// The slack variables are a feasible start because no limit is negative.
	_, x, err := lp.Simplex(append(c, make([]float64, len(rows))...), a, limits, 1e-9, basis)
	if err != nil {
		return flowSolution{}, errors.Wrap(err, "flow of a layout")
	}
	return l.flowSolutionFrom(hops, x, 1/scale), nil
}

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

// constraints are rows of "at most" with limits of at least 0: the capacity of
// each segment in each zone, the flow into it being at most the flow out of
// it, and the capacity of each link.
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
