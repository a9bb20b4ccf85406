package placement

import (
	"math"
	"sort"
)

// RelayEngine is an engine that can hold a range of a model's layers and passes
// its results on by itself.
type RelayEngine struct {
	Name string
	Zone string
	// MemoryBytes bounds weights and KV cache together.
	MemoryBytes int64
	// StepFactor is the time of a step relative to the fastest hardware.
	StepFactor float64
	// Holds is the range that the engine has loaded; it is empty for a new engine.
	Holds Range
}

// RelayOptions say what requests need.
type RelayOptions struct {
	// RequestTokens is the mean number of tokens that a request holds at its end.
	RequestTokens float64
	// MinRequests is the number of requests that a chain must hold at once to be
	// worth its weights; 0 means the default.
	MinRequests float64
	// CrossingRate is the number of requests per second that a link between zones
	// carries; 0 means no limit. RunTime is how long a request runs on the fastest
	// hardware, in seconds.
	CrossingRate, RunTime float64
}

// defaultMinRequests keeps chains few enough that their memory, not their
// number, limits the requests in progress.
const defaultMinRequests = 64

func (o RelayOptions) minTokens() float64 {
	if o.MinRequests > 0 {
		return o.MinRequests * o.RequestTokens
	}
	return defaultMinRequests * o.RequestTokens
}

// RelayAssignment is the range that an engine is to hold.
type RelayAssignment struct {
	Engine string
	Range  Range
}

// PlanRelay divides engines into chains that each hold all layers once.
// Engines of one speed form chains, because a request through engines of mixed
// speeds waits for the slowest and holds the memory of the fast ones all the
// while. Chains stay within a zone where the zone has enough memory. Inside a
// chain the layers are divided so that all engines hold the same number of
// tokens: the least of them limits the chain.
func PlanRelay(engines []RelayEngine, m Model, opts RelayOptions) ([]RelayAssignment, error) {
	p := &relayPlan{model: m, opts: opts}
	rest := p.fastChains(sortedBySpeed(engines))
	rest = p.zoneChains(rest)
	rest = p.mixedChains(rest)
	if len(p.chains) == 0 {
		return nil, ErrCannotHold
	}
	p.spread(rest)
	var all []RelayAssignment
	for _, chain := range p.chains {
		all = append(all, divideLayers(chain, m)...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Engine < all[j].Engine })
	return all, nil
}

type relayPlan struct {
	model  Model
	opts   RelayOptions
	chains [][]RelayEngine
}

// fastRatio bounds the speeds of one chain: the slowest engine takes at most
// this many times as long for a layer as the fastest.
const fastRatio = 3.0

func sortedBySpeed(engines []RelayEngine) []RelayEngine {
	sorted := append([]RelayEngine(nil), engines...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		switch {
		case a.StepFactor != b.StepFactor:
			return a.StepFactor < b.StepFactor
		case a.MemoryBytes != b.MemoryBytes:
			return a.MemoryBytes > b.MemoryBytes
		default:
			return a.Name < b.Name
		}
	})
	return sorted
}

// holds tells whether engines together hold all layers and enough requests.
func (p *relayPlan) holds(engines []RelayEngine) bool {
	return fits(engines, p.model) && chainTokens(engines, p.model) >= p.opts.minTokens()
}

// fits tells whether the weights of all layers fit in whole layers.
func fits(engines []RelayEngine, m Model) bool {
	layers := int64(0)
	for _, e := range engines {
		layers += e.MemoryBytes / m.BytesPerLayer
	}
	return layers >= int64(m.Layers)
}

// chainTokens returns the tokens that fit beside the weights when the memory of
// all engines is divided evenly, or a negative number when the weights do not fit.
func chainTokens(engines []RelayEngine, m Model) float64 {
	memory := 0.0
	for _, e := range engines {
		memory += float64(e.MemoryBytes)
	}
	layers := float64(m.Layers)
	return (memory - layers*float64(m.BytesPerLayer)) / (layers * float64(m.KVBytesPerTokenLayer))
}

// fastChains takes engines that are much faster than the slowest ones, across
// zones, because no zone has enough of them for a chain of its own. It returns
// the engines that are left.
func (p *relayPlan) fastChains(engines []RelayEngine) []RelayEngine {
	for len(engines) > 0 {
		fastest, slowest := engines[0].StepFactor, engines[len(engines)-1].StepFactor
		var fast, rest []RelayEngine
		for _, e := range engines {
			if e.StepFactor <= fastest*fastRatio && e.StepFactor*fastRatio <= slowest {
				fast = append(fast, e)
			} else {
				rest = append(rest, e)
			}
		}
		if !p.holds(fast) || !p.worthCrossing(fast) {
			return engines
		}
		chain, spare := p.takeNearest(fast)
		p.chains = append(p.chains, chain)
		engines = sortedBySpeed(append(rest, spare...))
	}
	return engines
}

// leastCrossing is the part of what a chain could serve that the links between
// zones must carry for a chain across zones.
const leastCrossing = 0.1

// worthCrossing tells whether links between zones carry enough of what engines
// could serve as one chain. Otherwise fast engines do more within their zones.
func (p *relayPlan) worthCrossing(engines []RelayEngine) bool {
	if p.opts.CrossingRate <= 0 || p.opts.RunTime <= 0 || len(zonesOf(engines)) == 1 {
		return true
	}
	factor := 0.0
	for _, e := range engines {
		factor += e.StepFactor / float64(len(engines))
	}
	served := chainTokens(engines, p.model) / p.opts.RequestTokens / (p.opts.RunTime * factor)
	return p.opts.CrossingRate >= leastCrossing*served
}

// takeNearest takes as few engines as make a chain, first those in the zones
// where most memory is, so that few transfers cross zones.
func (p *relayPlan) takeNearest(engines []RelayEngine) (chain, spare []RelayEngine) {
	byZone := map[string]float64{}
	for _, e := range engines {
		byZone[e.Zone] += float64(e.MemoryBytes)
	}
	sorted := append([]RelayEngine(nil), engines...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := byZone[sorted[i].Zone], byZone[sorted[j].Zone]
		if a != b {
			return a > b
		}
		return sorted[i].Zone < sorted[j].Zone
	})
	for i, e := range sorted {
		chain = append(chain, e)
		if p.holds(chain) {
			return chain, sorted[i+1:]
		}
	}
	return chain, nil
}

// zoneChains makes as many chains in each zone as its memory allows.
func (p *relayPlan) zoneChains(engines []RelayEngine) (rest []RelayEngine) {
	for _, zone := range zonesOf(engines) {
		var local []RelayEngine
		for _, e := range engines {
			if e.Zone == zone {
				local = append(local, e)
			}
		}
		chains := p.split(local)
		if chains == nil {
			rest = append(rest, local...)
		}
		p.chains = append(p.chains, chains...)
	}
	return rest
}

func zonesOf(engines []RelayEngine) []string {
	seen := map[string]bool{}
	var zones []string
	for _, e := range engines {
		if !seen[e.Zone] {
			seen[e.Zone] = true
			zones = append(zones, e.Zone)
		}
	}
	sort.Strings(zones)
	return zones
}

// split divides engines into the largest number of chains of which each holds
// enough, or returns nil when they do not make one.
func (p *relayPlan) split(engines []RelayEngine) [][]RelayEngine {
	memory := 0.0
	for _, e := range engines {
		memory += float64(e.MemoryBytes)
	}
	layers := float64(p.model.Layers)
	need := layers*float64(p.model.BytesPerLayer) + p.opts.minTokens()*layers*float64(p.model.KVBytesPerTokenLayer)
	for n := int(memory / need); n > 0; n-- {
		chains := deal(engines, n)
		enough := true
		for _, c := range chains {
			enough = enough && p.holds(c)
		}
		if enough {
			return chains
		}
	}
	return nil
}

// deal gives the engines, largest first, to the chain with the least memory.
func deal(engines []RelayEngine, n int) [][]RelayEngine {
	sorted := append([]RelayEngine(nil), engines...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].MemoryBytes > sorted[j].MemoryBytes })
	chains, memory := make([][]RelayEngine, n), make([]int64, n)
	for _, e := range sorted {
		least := 0
		for i := range memory {
			if memory[i] < memory[least] {
				least = i
			}
		}
		chains[least] = append(chains[least], e)
		memory[least] += e.MemoryBytes
	}
	return chains
}

// mixedChains makes chains across zones of engines that fill no chain in their
// own. When there is no chain at all yet it accepts one that holds few requests.
func (p *relayPlan) mixedChains(engines []RelayEngine) (rest []RelayEngine) {
	for len(engines) > 0 && p.holds(engines) && p.worthCrossing(engines) {
		var chain []RelayEngine
		chain, engines = p.takeNearest(engines)
		p.chains = append(p.chains, chain)
	}
	if len(p.chains) == 0 && fits(engines, p.model) && chainTokens(engines, p.model) >= p.opts.RequestTokens {
		p.chains = append(p.chains, engines)
		return nil
	}
	return engines
}

// spread adds engines that are left over to the chain that holds the fewest
// tokens, of those in the engine's zone where there is one.
func (p *relayPlan) spread(engines []RelayEngine) {
	for _, e := range engines {
		best, bestTokens := -1, math.Inf(1)
		for _, sameZone := range []bool{true, false} {
			for i, chain := range p.chains {
				if sameZone && !hasZone(chain, e.Zone) {
					continue
				}
				if tokens := chainTokens(chain, p.model); tokens < bestTokens {
					best, bestTokens = i, tokens
				}
			}
			if best >= 0 {
				break
			}
		}
		p.chains[best] = append(p.chains[best], e)
	}
}

func hasZone(chain []RelayEngine, zone string) bool {
	for _, e := range chain {
		if e.Zone == zone {
			return true
		}
	}
	return false
}

// divideLayers gives each engine of a chain a range. Each next layer goes to
// the engine that then holds the most tokens, which makes the least as large as
// possible. Engines of a zone stand side by side.
func divideLayers(chain []RelayEngine, m Model) []RelayAssignment {
	sorted := append([]RelayEngine(nil), chain...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Zone < sorted[j].Zone })
	counts := make([]int, len(sorted))
	for range m.Layers {
		best, bestTokens := 0, math.Inf(-1)
		for i, e := range sorted {
			if tokens := TokenCapacity(e.MemoryBytes, counts[i]+1, m); tokens > bestTokens {
				best, bestTokens = i, tokens
			}
		}
		counts[best]++
	}
	var out []RelayAssignment
	at := 0
	for i, e := range sorted {
		if counts[i] > 0 {
			out = append(out, RelayAssignment{e.Name, Range{at, at + counts[i]}})
		}
		at += counts[i]
	}
	return out
}

// TokenCapacity returns the number of tokens whose KV cache fits beside the
// weights of a number of layers. It is negative when the weights do not fit.
func TokenCapacity(memory int64, layers int, m Model) float64 {
	free := float64(memory) - float64(layers)*float64(m.BytesPerLayer)
	return free / (float64(max(layers, 1)) * float64(m.KVBytesPerTokenLayer))
}

// FillRelay chooses the range for an engine that holds nothing: as many layers
// as leave it the tokens that the other engines hold, where they can hold the
// fewest tokens, in the engine's zone and in all. An engine that restarted empty
// so takes the range that it left, and a new engine relieves the tightest layers.
func FillRelay(empty RelayEngine, others []RelayEngine, m Model, opts RelayOptions) (Range, bool) {
	held, local := copies(others, m, opts), copies(inZone(others, empty.Zone), m, opts)
	for l := range local {
		// In a zone it matters whether a layer is there; further copies serve all zones.
		local[l] = math.Min(local[l], 1)
	}
	n := layersForTokens(empty.MemoryBytes, m, opts.minTokens())
	if n == 0 {
		return Range{}, false
	}
	first, least := 0, math.Inf(1)
	for at := 0; at+n <= m.Layers; at++ {
		if need := windowNeed(held[at:at+n]) + windowNeed(local[at:at+n]); need < least {
			first, least = at, need
		}
	}
	r := Range{first, first + n}
	return stretch(r, held, layersForTokens(empty.MemoryBytes, m, enoughPart*opts.minTokens())), true
}

func inZone(engines []RelayEngine, zone string) (local []RelayEngine) {
	for _, e := range engines {
		if e.Zone == zone {
			local = append(local, e)
		}
	}
	return local
}

// stretch adds neighbouring layers that are short while an engine has memory
// for them, so that no single layer is left for another engine to load.
func stretch(r Range, held []float64, most int) Range {
	enough := median(held) - shortBy
	for r.Limit-r.First < most {
		switch {
		case r.First > 0 && held[r.First-1] <= enough:
			r.First--
		case r.Limit < len(held) && held[r.Limit] <= enough:
			r.Limit++
		default:
			return r
		}
	}
	return r
}

// uncoveredWeight lets one layer that no engine holds count more than many that
// are merely tight.
const uncoveredWeight = 0.05

// windowNeed is low for layers of which there are few copies.
func windowNeed(held []float64) float64 {
	sum := 0.0
	for _, copies := range held {
		sum += math.Log(copies + uncoveredWeight)
	}
	return sum / float64(len(held))
}

// layersForTokens returns the number of layers that leave an engine a number of
// tokens, and at least one layer when any fits.
func layersForTokens(memory int64, m Model, tokens float64) int {
	perLayer := float64(m.BytesPerLayer) + tokens*float64(m.KVBytesPerTokenLayer)
	n := int(float64(memory) / perLayer)
	if n == 0 && memory > m.BytesPerLayer {
		n = 1
	}
	return min(n, m.Layers)
}

// Uncovered returns the layers that no engine holds.
func Uncovered(engines []RelayEngine, layers int) []Range {
	covered := make([]bool, layers)
	for _, e := range engines {
		for l := max(e.Holds.First, 0); l < min(e.Holds.Limit, layers); l++ {
			covered[l] = true
		}
	}
	var gaps []Range
	for l := 0; l < layers; l++ {
		if covered[l] {
			continue
		}
		first := l
		for l < layers && !covered[l] {
			l++
		}
		gaps = append(gaps, Range{first, l})
	}
	return gaps
}
