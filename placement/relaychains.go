package placement

import (
	"math"
	"slices"
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
	// Layers is the range that the engine has loaded; it is empty for a new engine.
	Layers Range
}

// RelayOptions say what requests need.
type RelayOptions struct {
	// RequestTokens is the mean number of tokens that a request holds at its end.
	RequestTokens float64
	// MinRequests is the number of requests that a chain must hold at once to be
	// worth its weights; 0 means the default.
	MinRequests float64
	// LinkRequestsPerSecond is the number of requests per second that a link between zones
	// carries; 0 means no limit. RequestSeconds is how long a request runs on the fastest
	// hardware, in seconds.
	LinkRequestsPerSecond, RequestSeconds float64
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

// room is the number of tokens that an engine keeps memory for beside its layers.
type room struct {
	// wanted is kept where the number of layers is free, least where further layers
	// would otherwise be missing.
	wanted, least float64
}

// roomWide holds where a zone without some layers can send requests to others.
func roomWide(opts RelayOptions) room {
	return room{wanted: opts.minTokens(), least: enoughPart * opts.minTokens()}
}

// roomThin holds where links between zones carry little: an engine that is the
// only one of its zone with some layers must take all requests of the zone.
func roomThin(opts RelayOptions) room {
	return room{wanted: 2 * opts.minTokens(), least: opts.minTokens()}
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
// tokens: the least of them limits the chain. Engines that a zone's chain can
// spare hold second copies, so that the loss of an engine rarely leaves the zone
// without a layer.
func PlanRelay(engines []RelayEngine, m Model, opts RelayOptions) ([]RelayAssignment, error) {
	p := &relayPlan{model: m, opts: opts, thinLinks: hasThinLinks(engines, m, opts)}
	rest := p.fastChains(sortedBySpeed(engines))
	rest = p.zoneChains(rest)
	rest = p.mixedChains(rest)
	if len(p.chains) == 0 {
		return nil, ErrInsufficientMemory
	}
	var all []RelayAssignment
	for _, chain := range p.chains {
		core, spare := p.core(chain)
		all = append(all, divideLayers(core, m)...)
		rest = append(rest, spare...)
	}
	all = append(all, p.secondCopies(engines, all, rest)...)
	sort.Slice(all, func(i, j int) bool { return all[i].Engine < all[j].Engine })
	return all, nil
}

type relayPlan struct {
	model Model
	opts  RelayOptions
	// thinLinks is set where the links between zones carry little of what the
	// engines could serve.
	thinLinks bool
	chains    [][]RelayEngine
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

// sortedByMemory returns the engines with the largest first.
func sortedByMemory(engines []RelayEngine) []RelayEngine {
	sorted := append([]RelayEngine(nil), engines...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].MemoryBytes > sorted[j].MemoryBytes })
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
		if !p.holds(fast) || !worthCrossing(fast, p.model, p.opts) {
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
func worthCrossing(engines []RelayEngine, m Model, opts RelayOptions) bool {
	return len(zonesOf(engines)) == 1 || linksCarry(engines, m, opts)
}

// linksCarry tells whether a link between zones carries enough of what engines
// could serve as one chain.
func linksCarry(engines []RelayEngine, m Model, opts RelayOptions) bool {
	if opts.LinkRequestsPerSecond <= 0 || opts.RequestSeconds <= 0 {
		return true
	}
	factor := 0.0
	for _, e := range engines {
		factor += e.StepFactor / float64(len(engines))
	}
	served := chainTokens(engines, m) / opts.RequestTokens / (opts.RequestSeconds * factor)
	return opts.LinkRequestsPerSecond >= leastCrossing*served
}

// hasThinLinks tells whether some zone's engines could serve far more than a
// link carries. Such a zone must hold all layers by itself.
func hasThinLinks(engines []RelayEngine, m Model, opts RelayOptions) bool {
	zones := zonesOf(engines)
	if len(zones) == 1 {
		return false
	}
	return slices.ContainsFunc(zones, func(zone string) bool { return !linksCarry(inZone(engines, zone), m, opts) })
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
		local := inZone(engines, zone)
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
	sorted := sortedByMemory(engines)
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
	for len(engines) > 0 && p.holds(engines) && worthCrossing(engines, p.model, p.opts) {
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

// leastSecond is the part of the layers of which a zone must be able to hold
// second copies. For fewer, more room for requests is worth more.
const leastSecond = 0.25

// core divides the engines of a zone's chain into those that hold all layers
// with room for many requests, the largest first so that paths are short, and
// those that the chain can spare. Where links between zones carry much, and in a
// chain across zones, all engines are needed for the room that they add.
func (p *relayPlan) core(chain []RelayEngine) (core, spare []RelayEngine) {
	if len(zonesOf(chain)) > 1 || !p.thinLinks {
		return chain, nil
	}
	sorted := sortedByMemory(chain)
	inCore, layers := 0, 0
	for _, e := range sorted {
		if layers < p.model.Layers {
			inCore++
		}
		layers += layersForTokens(e.MemoryBytes, p.model, roomThin(p.opts).wanted)
	}
	if float64(layers) < (1+leastSecond)*float64(p.model.Layers) {
		return chain, nil
	}
	return sorted[:inCore], sorted[inCore:]
}

// secondCopies lets engines that no chain needs hold what their zone and the
// others have least of.
func (p *relayPlan) secondCopies(engines []RelayEngine, placed []RelayAssignment, spare []RelayEngine) (added []RelayAssignment) {
	byName := map[string]RelayEngine{}
	for _, e := range engines {
		byName[e.Name] = e
	}
	var holding []RelayEngine
	for _, a := range placed {
		e := byName[a.Engine]
		e.Layers = a.Range
		holding = append(holding, e)
	}
	for _, e := range sortedByMemory(spare) {
		r, ok := RangeForEmptyEngine(e, holding, p.model, p.opts)
		if !ok {
			continue
		}
		e.Layers = r
		holding = append(holding, e)
		added = append(added, RelayAssignment{e.Name, r})
	}
	return added
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
			if tokens := KVCacheTokens(e.MemoryBytes, counts[i]+1, m); tokens > bestTokens {
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

// KVCacheTokens returns the number of tokens whose KV cache fits beside the
// weights of a number of layers. It is negative when the weights do not fit.
func KVCacheTokens(memory int64, layers int, m Model) float64 {
	free := float64(memory) - float64(layers)*float64(m.BytesPerLayer)
	return free / (float64(max(layers, 1)) * float64(m.KVBytesPerTokenLayer))
}

// RangeForEmptyEngine chooses the range for an engine that holds nothing: as many layers
// as leave it the tokens that the other engines hold, where they can hold the
// fewest tokens, in the engine's zone and in all. An engine that restarted empty
// so takes the range that it left, and a new engine relieves the tightest layers.
func RangeForEmptyEngine(empty RelayEngine, others []RelayEngine, m Model, opts RelayOptions) (Range, bool) {
	held, local := copies(others, m, opts), copies(inZone(others, empty.Zone), m, opts)
	useful, room := 1.0, roomWide(opts)
	if hasThinLinks(append([]RelayEngine{empty}, others...), m, opts) {
		useful, room = 2, roomThin(opts)
	}
	for l := range local {
		// Further copies serve all zones.
		local[l] = math.Min(local[l], useful)
	}
	n := layersForTokens(empty.MemoryBytes, m, room.wanted)
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
	return stretch(r, held, layersForTokens(empty.MemoryBytes, m, room.least)), true
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
		for l := max(e.Layers.First, 0); l < min(e.Layers.Limit, layers); l++ {
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
