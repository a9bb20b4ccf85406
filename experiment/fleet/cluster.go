package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sapphirefield/sapphirefield/placement"
)

// accelerator describes a kind of accelerator.
type accelerator struct {
	name        string
	memoryBytes int64
	// layerTokensPerSecond is the decode rate of a single layer.
	layerTokensPerSecond float64
	// minLayerTime is the minimum iteration time per layer: the time to read its
	// weights from memory.
	minLayerTime time.Duration
}

// accelerators lists the eight kinds from which fleets are drawn.
var accelerators = []accelerator{
	{"k24s", 24e9, 10e3, 120 * time.Microsecond},
	{"k24f", 24e9, 16e3, 100 * time.Microsecond},
	{"k32", 32e9, 18e3, 110 * time.Microsecond},
	{"k40", 40e9, 28e3, 80 * time.Microsecond},
	{"k48", 48e9, 22e3, 100 * time.Microsecond},
	{"k64", 64e9, 34e3, 80 * time.Microsecond},
	{"k80s", 80e9, 36e3, 70 * time.Microsecond},
	{"k80f", 80e9, 50e3, 60 * time.Microsecond},
}

// llm is the language model used in all experiments.
var llm = placement.Model{
	Layers:               80,
	BytesPerLayer:        1.6e9,
	ActivationBytes:      16384,
	KVBytesPerTokenLayer: 4096,
}

const (
	prefillSpeedup = 20
	meanPrompt     = 300
	meanOutput     = 224
	// sameZoneDelay is the one-way delay within a zone.
	sameZoneDelay = 100 * time.Microsecond
	// storeBytesPerSecond is the bandwidth of the weight store.
	storeBytesPerSecond = 4e9
)

// planOptions sets the KV cache of a request in progress to its average: the
// prompt and half of the output.
var planOptions = placement.Options{StreamTokens: meanPrompt + meanOutput/2}

// planModel returns the model as the planner sees it. Flow is counted in
// decode-token equivalents, and each of these sends more than one activation:
// prompt tokens cost less compute than decode tokens but as much bandwidth.
func planModel(outputTokens int) placement.Model {
	m := llm
	sent := float64(meanPrompt + outputTokens)
	m.ActivationBytes = int64(float64(m.ActivationBytes) * sent / requestWork(meanPrompt, outputTokens))
	return m
}

// requestWork returns the work of a request in decode-token equivalents.
func requestWork(promptTokens, outputTokens int) float64 {
	return float64(outputTokens) + float64(promptTokens)/prefillSpeedup
}

// defaultEntries is the number of entries in users' fleets.
const defaultEntries = 4

// cluster is a randomly generated fleet with its links and entries.
type cluster struct {
	fleet        placement.Fleet
	accelerators map[string]accelerator
	linkDelays   map[[2]string]time.Duration
	// entries is the number of entries that choose chains independently.
	entries int
}

// newCluster generates engines of several kinds in zones connected by links of
// 20 MB/s to 2 GB/s.
func newCluster(seed uint64, engines, zones, kindCount int) cluster {
	r := rand.New(rand.NewPCG(seed, 100))
	cl := cluster{accelerators: map[string]accelerator{}, linkDelays: map[[2]string]time.Duration{}, entries: defaultEntries}
	selected := r.Perm(len(accelerators))[:kindCount]
	for i := range engines {
		kind := accelerators[selected[r.IntN(kindCount)]]
		e := placement.Engine{
			Name: fmt.Sprintf("e%04d", i), Zone: zoneName(i * zones / engines),
			MemoryBytes: kind.memoryBytes, LayerTokensPerSecond: kind.layerTokensPerSecond,
		}
		if r.Float64() < 0.3 {
			e.Zone = zoneName(r.IntN(zones))
		}
		cl.accelerators[e.Name] = kind
		cl.fleet.Engines = append(cl.fleet.Engines, e)
	}
	for i := range zones {
		for j := range zones {
			key := [2]string{zoneName(i), zoneName(j)}
			cl.linkDelays[key] = sameZoneDelay
			if i != j {
				bandwidth := 20e6 * math.Pow(100, r.Float64())
				cl.linkDelays[key] = 200*time.Microsecond + time.Duration(r.IntN(600))*time.Microsecond
				cl.fleet.Links = append(cl.fleet.Links, placement.Link{From: key[0], To: key[1], BytesPerSecond: bandwidth})
			}
		}
	}
	return cl
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// withoutEngines returns the fleet after the loss of randomly chosen engines.
func (cl cluster) withoutEngines(seed uint64, lost int) placement.Fleet {
	r := rand.New(rand.NewPCG(seed, 200))
	lostEngines := map[int]bool{}
	for _, i := range r.Perm(len(cl.fleet.Engines))[:lost] {
		lostEngines[i] = true
	}
	f := placement.Fleet{Links: cl.fleet.Links}
	for i, e := range cl.fleet.Engines {
		if !lostEngines[i] {
			f.Engines = append(f.Engines, e)
		}
	}
	return f
}
