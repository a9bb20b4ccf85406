package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sapphirefield/sapphirefield/placement"
)

// kind is a kind of accelerator.
type kind struct {
	name        string
	memoryBytes int64
	// layerRate is in tokens/s for one layer.
	layerRate float64
	// layerTime is the least time of an iteration for each layer, which is
	// how long reading the weights takes.
	layerTime time.Duration
}

// kinds are eight kinds of accelerators.
var kinds = []kind{
	{"k24s", 24e9, 10e3, 120 * time.Microsecond},
	{"k24f", 24e9, 16e3, 100 * time.Microsecond},
	{"k32", 32e9, 18e3, 110 * time.Microsecond},
	{"k40", 40e9, 28e3, 80 * time.Microsecond},
	{"k48", 48e9, 22e3, 100 * time.Microsecond},
	{"k64", 64e9, 34e3, 80 * time.Microsecond},
	{"k80s", 80e9, 36e3, 70 * time.Microsecond},
	{"k80f", 80e9, 50e3, 60 * time.Microsecond},
}

// llm is the model of all experiments.
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
	// sameZoneDelay is one way.
	sameZoneDelay = 100 * time.Microsecond
	// storeRate is the weight store's rate in bytes/s.
	storeRate = 4e9
)

// planOptions say what a request in progress holds on average: the prompt and half of the answer.
var planOptions = placement.Options{StreamTokens: meanPrompt + meanOutput/2}

// planModel is the model as the plan sees it. Flow counts decode tokens of
// work, and one such token sends more than one activation because prompt
// tokens are cheap to run but as large to send.
func planModel(output int) placement.Model {
	m := llm
	sent := float64(meanPrompt + output)
	m.ActivationBytes = int64(float64(m.ActivationBytes) * sent / requestWork(meanPrompt, output))
	return m
}

// requestWork is the work of a request in decode tokens.
func requestWork(prompt, output int) float64 {
	return float64(output) + float64(prompt)/prefillSpeedup
}

// defaultEntries is the number of entries of the users' fleets.
const defaultEntries = 4

// world is a seeded fleet.
type world struct {
	fleet  placement.Fleet
	kinds  map[string]kind
	delays map[[2]string]time.Duration
	// entries is the number of entries that choose chains independently.
	entries int
}

// makeWorld draws engines of several kinds in zones joined by links between 20 MB/s and 2 GB/s.
func makeWorld(seed uint64, engines, zones, kindCount int) world {
	r := rand.New(rand.NewPCG(seed, 100))
	w := world{kinds: map[string]kind{}, delays: map[[2]string]time.Duration{}, entries: defaultEntries}
	chosen := r.Perm(len(kinds))[:kindCount]
	for i := range engines {
		k := kinds[chosen[r.IntN(kindCount)]]
		e := placement.Engine{
			Name: fmt.Sprintf("e%04d", i), Zone: zoneName(i * zones / engines),
			MemoryBytes: k.memoryBytes, LayerTokensPerSecond: k.layerRate,
		}
		if r.Float64() < 0.3 {
			e.Zone = zoneName(r.IntN(zones))
		}
		w.kinds[e.Name] = k
		w.fleet.Engines = append(w.fleet.Engines, e)
	}
	for i := range zones {
		for j := range zones {
			key := [2]string{zoneName(i), zoneName(j)}
			w.delays[key] = sameZoneDelay
			if i != j {
				speed := 20e6 * math.Pow(100, r.Float64())
				w.delays[key] = 200*time.Microsecond + time.Duration(r.IntN(600))*time.Microsecond
				w.fleet.Links = append(w.fleet.Links, placement.Link{From: key[0], To: key[1], BytesPerSecond: speed})
			}
		}
	}
	return w
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// without returns the fleet after the loss of a number of engines.
func (w world) without(seed uint64, lost int) placement.Fleet {
	r := rand.New(rand.NewPCG(seed, 200))
	gone := map[int]bool{}
	for _, i := range r.Perm(len(w.fleet.Engines))[:lost] {
		gone[i] = true
	}
	f := placement.Fleet{Links: w.fleet.Links}
	for i, e := range w.fleet.Engines {
		if !gone[i] {
			f.Engines = append(f.Engines, e)
		}
	}
	return f
}
