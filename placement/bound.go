package placement

import (
	"math"

	"gonum.org/v1/gonum/graph/network"
	"gonum.org/v1/gonum/graph/simple"
)

// FlowUpperBound returns an upper bound in tokens/s on the flow of any assignment of
// layer ranges to the fleet's engines, computed as a maximum flow of layer
// executions from engines through zones.
//
// No plan exceeds it. A token needs Layers layer executions, so the flow is at
// most the executions per second divided by Layers. An engine with n layers
// contributes n times its capacity, which is at most its
// maxLayerExecutionRate. If the engines of a zone have memory for fewer layers
// than the model has, every token processed there crosses a link into or out of
// the zone. It passes at most that many layers in the zone, so the zone
// contributes at most that number times the rate of its cross-zone links. If
// the whole fleet has memory for fewer than Layers layers, no token can finish.
//
// The bound ignores that ranges consist of whole layers and that all boundaries
// between ranges share the links, so it can be above what any plan reaches.
func FlowUpperBound(f Fleet, m Model, opts Options) float64 {
	if m.validate() != nil {
		return 0
	}
	topo := newTopology(f, m)
	zoneLayers := make([]int, len(topo.zones))
	totalLayers := 0
	executionRate := map[class]float64{}
	for _, e := range f.Engines {
		n := maxLayers(e, m)
		totalLayers += n
		zoneLayers[topo.index[e.Zone]] += n
		executionRate[classOf(e, topo)] += maxLayerExecutionRate(e, m, opts)
	}
	if totalLayers < m.Layers {
		return 0
	}
	return maxExecutionFlow(topo, m, zoneLayers, executionRate) / float64(m.Layers)
}

// maxExecutionFlow returns the maximum flow, in layer executions per second,
// along source -> engine class -> zone -> sink.
func maxExecutionFlow(topo topology, m Model, zoneLayers []int, executionRate map[class]float64) float64 {
	g := simple.NewWeightedDirectedGraph(0, 0)
	source, sink := simple.Node(0), simple.Node(1)
	// MaxFlowDinic needs nodes numbered from 0 without gaps, so zones without
	// usable engines are nodes as well.
	for id := range 2 + len(topo.zones) {
		g.AddNode(simple.Node(id))
	}
	total := 0.0
	nextID := int64(2 + len(topo.zones))
	for _, c := range sortedClasses(executionRate) {
		if executionRate[c] <= 0 {
			continue
		}
		zone := simple.Node(2 + c.zone)
		node := simple.Node(nextID)
		nextID++
		total += executionRate[c]
		g.SetWeightedEdge(simple.WeightedEdge{F: source, T: node, W: executionRate[c]})
		g.SetWeightedEdge(simple.WeightedEdge{F: node, T: zone, W: executionRate[c]})
	}
	for zone := range topo.zones {
		limit := math.Inf(1)
		if zoneLayers[zone] < m.Layers {
			out, in := topo.crossZoneRates(zone)
			limit = float64(zoneLayers[zone]) * (out + in)
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
