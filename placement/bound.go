package placement

import (
	"math"

	"gonum.org/v1/gonum/graph/network"
	"gonum.org/v1/gonum/graph/simple"
)

// FlowUpperBound returns an upper bound in tokens/s on the flow of any assignment of
// ranges to the fleet's engines, computed as a maximum flow of layer
// executions from engines through zones.
//
// It is a bound on every plan for these reasons. A token needs Layers layer
// executions, so the flow is at most the executions per second divided by
// Layers. An engine with n layers adds n times its capacity, which is at most
// its bestWork. In a zone whose engines together hold fewer distinct layers
// than the model has, every token that runs there crosses a link into or out
// of the zone; it runs at most the held layers there, so the zone adds at most
// the held layers times the rate of its crossing links. Memory for fewer than
// Layers layers in the whole fleet means that no token can finish.
//
// The bound ignores that ranges are whole layers and that links are shared by
// all boundaries between ranges, so it can be above what any plan reaches.
func FlowUpperBound(f Fleet, m Model, opts Options) float64 {
	if m.validate() != nil {
		return 0
	}
	w := newTopology(f, m)
	held := make([]int, len(w.zones))
	all := 0
	work := map[class]float64{}
	for _, e := range f.Engines {
		n := maxLayers(e, m)
		all += n
		held[w.index[e.Zone]] += n
		work[classOf(e, w)] += bestWork(e, m, opts)
	}
	if all < m.Layers {
		return 0
	}
	return executions(w, m, held, work) / float64(m.Layers)
}

// executions is the maximum flow source -> engine class -> zone -> sink.
func executions(w topology, m Model, held []int, work map[class]float64) float64 {
	g := simple.NewWeightedDirectedGraph(0, 0)
	source, sink := simple.Node(0), simple.Node(1)
	// MaxFlowDinic needs nodes numbered from 0 without gaps, so a zone whose
	// engines are of no use is a node as well.
	for id := range 2 + len(w.zones) {
		g.AddNode(simple.Node(id))
	}
	total := 0.0
	next := int64(2 + len(w.zones))
	for _, c := range sortedClasses(work) {
		if work[c] <= 0 {
			continue
		}
		zone := simple.Node(2 + c.zone)
		node := simple.Node(next)
		next++
		total += work[c]
		g.SetWeightedEdge(simple.WeightedEdge{F: source, T: node, W: work[c]})
		g.SetWeightedEdge(simple.WeightedEdge{F: node, T: zone, W: work[c]})
	}
	for zone := range w.zones {
		limit := math.Inf(1)
		if held[zone] < m.Layers {
			out, in := w.crossing(zone)
			limit = float64(held[zone]) * (out + in)
		}
		limit = min(limit, total)
		if limit > 0 {
			g.SetWeightedEdge(simple.WeightedEdge{F: simple.Node(2 + zone), T: sink, W: limit})
		}
	}
	if total <= 0 {
		return 0
	}
	return network.MaxFlowDinic(g, source, sink, total*1e-12)
}
