// Package placement assigns contiguous layer ranges of a model to engines.
//
// MakePlan maximizes the tokens per second that flow from the first layer to
// the last, and Replan updates such a plan with few weight loads when engines
// join or leave. FlowUpperBound returns a bound on that flow that depends only on
// the hardware.
//
// PlanRelay and RelayOrders place a model on engines that send their results
// directly to the next engine. They divide the engines into chains and choose
// the ranges to load when the fleet changes.
package placement

import (
	"math"
	"sort"

	"github.com/pkg/errors"
)

// Engine is an accelerator that can hold a range of layers.
type Engine struct {
	Name string
	Zone string
	// MemoryBytes is the memory for weights and KV cache together.
	MemoryBytes int64
	// LayerTokensPerSecond is the decode rate of the engine with a single layer.
	LayerTokensPerSecond float64
}

// Link is a directed network path between two zones, shared by all pairs of
// engines that exchange activations over it.
type Link struct {
	From, To       string
	BytesPerSecond float64
}

// Fleet is the hardware on which a model is placed. Traffic within a zone is
// unlimited unless Links has a link from the zone to itself. Zones without a
// link between them cannot exchange activations.
type Fleet struct {
	Engines []Engine
	Links   []Link
}

// Model describes the sizes of a model that placement depends on.
type Model struct {
	Layers               int
	BytesPerLayer        int64
	ActivationBytes      int64
	KVBytesPerTokenLayer int64
}

// Options describe the load of a plan. A zero field selects its default.
type Options struct {
	// StreamTokens is the mean number of tokens that a request in progress
	// holds in the KV cache; 0 means that the KV cache is not a limit.
	StreamTokens float64
	// StreamTokensPerSecond is the decode rate of one request in progress.
	StreamTokensPerSecond float64
}

// defaultStreamRate is one token every 27 ms, in tokens/s.
const defaultStreamRate = 1 / 0.027

func (o Options) withDefaults() Options {
	if o.StreamTokensPerSecond <= 0 {
		o.StreamTokensPerSecond = defaultStreamRate
	}
	return o
}

// Capacity returns the tokens/s that an engine sustains with the given number of
// layers. It is the smaller of the compute rate and the combined rate of as many
// requests as fit in the KV cache beside the weights.
func Capacity(e Engine, m Model, opts Options, layers int) float64 {
	opts = opts.withDefaults()
	free := e.MemoryBytes - int64(layers)*m.BytesPerLayer
	if layers <= 0 || free < 0 {
		return 0
	}
	compute := e.LayerTokensPerSecond / float64(layers)
	kv := float64(layers) * float64(m.KVBytesPerTokenLayer) * opts.StreamTokens
	if kv <= 0 {
		return compute
	}
	return min(compute, float64(free)/kv*opts.StreamTokensPerSecond)
}

// maxLayers returns the number of layers whose weights fit in the engine's memory.
func maxLayers(e Engine, m Model) int {
	if m.BytesPerLayer <= 0 {
		return m.Layers
	}
	return int(min(e.MemoryBytes/m.BytesPerLayer, int64(m.Layers)))
}

// maxLayerExecutionRate returns the most layer executions per second that an
// engine sustains with any number of layers.
func maxLayerExecutionRate(e Engine, m Model, opts Options) float64 {
	best := 0.0
	for n := 1; n <= maxLayers(e, m); n++ {
		best = max(best, float64(n)*Capacity(e, m, opts, n))
	}
	return best
}

func (m Model) validate() error {
	if m.Layers <= 0 {
		return errors.Errorf("model has %d layers, want at least 1", m.Layers)
	}
	return nil
}

// topology holds the rates of the links between zones in tokens/s, by zone index.
type topology struct {
	zones []string
	index map[string]int
	rate  [][]float64
}

func newTopology(f Fleet, m Model) topology {
	topo := topology{index: map[string]int{}}
	for _, e := range f.Engines {
		topo.index[e.Zone] = 0
	}
	for zone := range topo.index {
		topo.zones = append(topo.zones, zone)
	}
	sort.Strings(topo.zones)
	for i, zone := range topo.zones {
		topo.index[zone] = i
		topo.rate = append(topo.rate, make([]float64, len(topo.zones)))
		topo.rate[i][i] = math.Inf(1)
	}
	for _, link := range f.Links {
		i, fromKnown := topo.index[link.From]
		j, toKnown := topo.index[link.To]
		if !fromKnown || !toKnown {
			continue
		}
		topo.rate[i][j] = math.Inf(1)
		if m.ActivationBytes > 0 {
			topo.rate[i][j] = link.BytesPerSecond / float64(m.ActivationBytes)
		}
	}
	return topo
}

// crossZoneRates returns the total rates of the links from a zone to others and back.
func (t topology) crossZoneRates(zone int) (out, in float64) {
	for other := range t.zones {
		if other != zone {
			out += t.rate[zone][other]
			in += t.rate[other][zone]
		}
	}
	return out, in
}
