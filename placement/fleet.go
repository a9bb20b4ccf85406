// Package placement assigns contiguous layer ranges of a model to engines so
// that as many tokens per second as possible flow from the first layer to the
// last. It also computes a bound on that flow from the hardware alone, and
// updates a plan when engines come and go with few loads of weights.
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
	// MemoryBytes bounds weights and KV cache together.
	MemoryBytes int64
	// LayerTokensPerSecond is the decode rate for one layer.
	LayerTokensPerSecond float64
}

// Link is a directed path between two zones. All pairs of stages share it.
type Link struct {
	From, To       string
	BytesPerSecond float64
}

// Fleet is the hardware on which a model is placed. Traffic inside a zone is
// not limited unless a link from the zone to itself is listed; zones without a
// link between them cannot exchange activations.
type Fleet struct {
	Engines []Engine
	Links   []Link
}

// Model is the part of a model's description that placement needs.
type Model struct {
	Layers               int
	BytesPerLayer        int64
	ActivationBytes      int64
	KVBytesPerTokenLayer int64
}

// Options tune a plan. A zero value in a field means its default.
type Options struct {
	// StreamTokens is the mean number of tokens that a request in progress
	// holds in the KV cache; 0 means that the KV cache is not a limit.
	StreamTokens float64
	// StreamTokensPerSecond is the rate of one request in progress.
	StreamTokensPerSecond float64
}

// defaultStreamRate is one token every 27 ms.
const defaultStreamRate = 1 / 0.027

func (o Options) withDefaults() Options {
	if o.StreamTokensPerSecond <= 0 {
		o.StreamTokensPerSecond = defaultStreamRate
	}
	return o
}

// Capacity returns the tokens/s that an engine sustains with a number of
// layers: the smaller of its compute rate and the rate of as many streams as
// fit in the memory that the weights leave for the KV cache.
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

// maxLayers is the most layers whose weights fit in the engine's memory.
func maxLayers(e Engine, m Model) int {
	if m.BytesPerLayer <= 0 {
		return m.Layers
	}
	return int(min(e.MemoryBytes/m.BytesPerLayer, int64(m.Layers)))
}

// maxLayerExecutionRate is the most layer executions per second that an engine sustains
// with any number of layers.
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

// topology holds link capacities in tokens/s between zones, by zone index.
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

// crossZoneRates returns the rates of all links out of and into a zone from others.
func (t topology) crossZoneRates(zone int) (out, in float64) {
	for other := range t.zones {
		if other != zone {
			out += t.rate[zone][other]
			in += t.rate[other][zone]
		}
	}
	return out, in
}
