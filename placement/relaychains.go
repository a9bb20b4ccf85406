package placement

import (
	"math"
	"slices"
	"sort"
)

// RelayEngine is an engine that can hold a range of a model's layers and sends its
// results directly to the next engine.
type RelayEngine struct {
	Name string
	Zone string
	// MemoryBytes is the memory for weights and KV cache together.
	MemoryBytes int64
	// StepFactor is the time of a decode step relative to the fastest hardware.
	StepFactor float64
	// Layers is the range of layers that the engine has loaded. It is empty for a new
	// engine.
	Layers Range
}

// RelayOptions describe the requests and the links between zones.
type RelayOptions struct {
	// RequestTokens is the mean number of tokens that a request holds in the KV cache
	// when it ends.
	RequestTokens float64
	// MinRequests is the number of concurrent requests that a chain must hold to
	// justify the memory for its weights; 0 selects the default.
	MinRequests float64
	// LinkRequestsPerSecond is the number of requests per second that a link between
	// zones carries; 0 means no limit. RequestSeconds is the duration of a request on
	// the fastest hardware.
	LinkRequestsPerSecond, RequestSeconds float64
}

// defaultMinRequests keeps the chains few enough that the requests in progress are
// limited by memory and not by the number of chains.
const defaultMinRequests = 64

// minTokens returns the number of tokens that a chain must hold.
func (o RelayOptions) minTokens() float64 {
	if o.MinRequests > 0 {
		return o.MinRequests * o.RequestTokens
	}
	return defaultMinRequests * o.RequestTokens
}

// kvReserve is the KV cache, in tokens, for which an engine reserves memory beside
// its layers.
type kvReserve struct {
	// preferred determines the usual number of layers; minimum applies where layers
	// would otherwise be missing.
	preferred, minimum float64
}

// reserveForFastLinks returns the reserve for zones that can send requests to other
// zones for layers that they lack.
func reserveForFastLinks(opts RelayOptions) kvReserve {
	return kvReserve{preferred: opts.minTokens(), minimum: fullCopyFraction * opts.minTokens()}
}

// reserveForSlowLinks returns the reserve where the links between zones carry few
// requests: an engine that alone holds some layers in its zone must serve all
// requests of the zone.
func reserveForSlowLinks(opts RelayOptions) kvReserve {
	return kvReserve{preferred: 2 * opts.minTokens(), minimum: opts.minTokens()}
}

// RelayAssignment is the range of layers that an engine is to hold.
type RelayAssignment struct {
	Engine string
	Range  Range
}

// PlanRelay divides engines into chains that each hold all layers once.
//
// Engines that are much faster than others form chains of their own, because a request
// on a chain of mixed speeds waits for the slowest engine and meanwhile occupies KV
// cache on the fast ones. A chain stays within a zone if the zone has enough memory.
// The layers of a chain are divided so that all engines can hold about the same number
// of tokens, because the engine with the fewest limits the chain. Engines that a zone's
// chain does not need hold second copies, so that a zone rarely lacks a layer after the
// loss of an engine.
//
// The assignments of a chain follow each other, the fastest chain first: carried out in
// their order, those of a large fleet complete a chain long before the last engine has
// its layers.
func PlanRelay(engines []RelayEngine, m Model, opts RelayOptions) ([]RelayAssignment, error) {
	p := &relayPlan{model: m, opts: opts, slowLinks: hasSlowLinks(engines, m, opts)}
	unused := p.addFastChains(sortedBySpeed(engines))
	unused = p.addZoneChains(unused)
	unused = p.addCrossZoneChains(unused)
	if len(p.chains) == 0 {
		return nil, ErrInsufficientMemory
	}
	var assignments []RelayAssignment
	for _, chain := range p.chains {
		core, spare := p.splitCore(chain)
		assignments = append(assignments, divideLayers(core, m)...)
		unused = append(unused, spare...)
	}
	assignments = append(assignments, p.secondCopies(engines, assignments, unused)...)
	return assignments, nil
}

// relayPlan holds the inputs of PlanRelay and the chains made so far.
type relayPlan struct {
	model Model
	opts  RelayOptions
	// slowLinks states that the links between zones carry only a small part of the
	// requests that the engines could serve.
	slowLinks bool
	chains    [][]RelayEngine
}

// maxSpeedRatio is the largest ratio of the step factors in a chain of fast engines:
// its slowest engine takes at most this many times as long for a layer as its fastest.
const maxSpeedRatio = 3.0

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

// sortedByMemory returns the engines in descending order of memory.
func sortedByMemory(engines []RelayEngine) []RelayEngine {
	sorted := append([]RelayEngine(nil), engines...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].MemoryBytes > sorted[j].MemoryBytes })
	return sorted
}

// canFormChain reports whether engines together hold all layers and enough requests.
func (p *relayPlan) canFormChain(engines []RelayEngine) bool {
	return weightsFit(engines, p.model) && chainTokens(engines, p.model) >= p.opts.minTokens()
}

// weightsFit reports whether all layers fit when each is held whole by one engine.
func weightsFit(engines []RelayEngine, m Model) bool {
	layers := int64(0)
	for _, e := range engines {
		layers += e.MemoryBytes / m.BytesPerLayer
	}
	return layers >= int64(m.Layers)
}

// chainTokens returns the number of tokens whose KV cache fits beside the weights of
// all layers if the layers divide the engines' memory evenly. It is negative if the
// weights do not fit.
func chainTokens(engines []RelayEngine, m Model) float64 {
	memory := 0.0
	for _, e := range engines {
		memory += float64(e.MemoryBytes)
	}
	layers := float64(m.Layers)
	return (memory - layers*float64(m.BytesPerLayer)) / (layers * float64(m.KVBytesPerTokenLayer))
}

// addFastChains makes chains of engines that are much faster than the slowest ones.
// They may span zones, because no zone has enough such engines for a chain of its
// own. It returns the remaining engines.
func (p *relayPlan) addFastChains(engines []RelayEngine) []RelayEngine {
	for len(engines) > 0 {
		fastest, slowest := engines[0].StepFactor, engines[len(engines)-1].StepFactor
		var fast, rest []RelayEngine
		for _, e := range engines {
			if e.StepFactor <= fastest*maxSpeedRatio && e.StepFactor*maxSpeedRatio <= slowest {
				fast = append(fast, e)
			} else {
				rest = append(rest, e)
			}
		}
		if !p.canFormChain(fast) || !canSpanZones(fast, p.model, p.opts) {
			return engines
		}
		chain, spare := p.takeChain(fast)
		p.chains = append(p.chains, chain)
		engines = sortedBySpeed(append(rest, spare...))
	}
	return engines
}

// minLinkFraction is the fraction of the requests that a chain could serve which a
// link between zones must carry if the chain is to span zones.
const minLinkFraction = 0.1

// canSpanZones reports whether the engines may form a chain: they are in one zone, or
// the links between zones carry enough requests. With slower links fast engines serve
// more requests as parts of chains within their zones.
func canSpanZones(engines []RelayEngine, m Model, opts RelayOptions) bool {
	return len(zonesOf(engines)) == 1 || linksSuffice(engines, m, opts)
}

// linksSuffice reports whether a link between zones carries at least minLinkFraction
// of the requests that the engines could serve as one chain.
func linksSuffice(engines []RelayEngine, m Model, opts RelayOptions) bool {
	if opts.LinkRequestsPerSecond <= 0 || opts.RequestSeconds <= 0 {
		return true
	}
	factor := 0.0
	for _, e := range engines {
		factor += e.StepFactor / float64(len(engines))
	}
	served := chainTokens(engines, m) / opts.RequestTokens / (opts.RequestSeconds * factor)
	return opts.LinkRequestsPerSecond >= minLinkFraction*served
}

// hasSlowLinks reports whether the engines of some zone could serve far more requests
// than a link carries. Such a zone must hold all layers by itself.
func hasSlowLinks(engines []RelayEngine, m Model, opts RelayOptions) bool {
	zones := zonesOf(engines)
	if len(zones) == 1 {
		return false
	}
	return slices.ContainsFunc(zones, func(zone string) bool { return !linksSuffice(inZone(engines, zone), m, opts) })
}

// takeChain returns just enough engines for a chain and the others. It takes engines
// of the zones with the most memory first, so that few transfers cross zones.
func (p *relayPlan) takeChain(engines []RelayEngine) (chain, spare []RelayEngine) {
	zoneMemory := map[string]float64{}
	for _, e := range engines {
		zoneMemory[e.Zone] += float64(e.MemoryBytes)
	}
	sorted := append([]RelayEngine(nil), engines...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := zoneMemory[sorted[i].Zone], zoneMemory[sorted[j].Zone]
		if a != b {
			return a > b
		}
		return sorted[i].Zone < sorted[j].Zone
	})
	for i, e := range sorted {
		chain = append(chain, e)
		if p.canFormChain(chain) {
			return chain, sorted[i+1:]
		}
	}
	return chain, nil
}

// addZoneChains makes as many chains in each zone as its memory allows. It returns
// the engines of zones without a chain.
func (p *relayPlan) addZoneChains(engines []RelayEngine) (rest []RelayEngine) {
	for _, zone := range zonesOf(engines) {
		local := inZone(engines, zone)
		chains := p.splitIntoChains(local)
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

// splitIntoChains divides engines into as many chains as possible, or returns nil if
// they cannot form one.
func (p *relayPlan) splitIntoChains(engines []RelayEngine) [][]RelayEngine {
	memory := 0.0
	for _, e := range engines {
		memory += float64(e.MemoryBytes)
	}
	layers := float64(p.model.Layers)
	bytesPerChain := layers*float64(p.model.BytesPerLayer) + p.opts.minTokens()*layers*float64(p.model.KVBytesPerTokenLayer)
	for n := int(memory / bytesPerChain); n > 0; n-- {
		chains := distributeByMemory(engines, n)
		allSufficient := true
		for _, c := range chains {
			allSufficient = allSufficient && p.canFormChain(c)
		}
		if allSufficient {
			return chains
		}
	}
	return nil
}

// distributeByMemory divides engines into n chains of similar memory: it adds each
// engine, largest first, to the chain that has the least memory so far.
func distributeByMemory(engines []RelayEngine, n int) [][]RelayEngine {
	sorted := sortedByMemory(engines)
	chains, memory := make([][]RelayEngine, n), make([]int64, n)
	for _, e := range sorted {
		smallest := 0
		for i := range memory {
			if memory[i] < memory[smallest] {
				smallest = i
			}
		}
		chains[smallest] = append(chains[smallest], e)
		memory[smallest] += e.MemoryBytes
	}
	return chains
}

// addCrossZoneChains makes chains across zones of engines whose zones have no chain.
// If there is no chain at all yet, it accepts one that holds few requests. It returns
// the remaining engines.
func (p *relayPlan) addCrossZoneChains(engines []RelayEngine) (rest []RelayEngine) {
	for len(engines) > 0 && p.canFormChain(engines) && canSpanZones(engines, p.model, p.opts) {
		var chain []RelayEngine
		chain, engines = p.takeChain(engines)
		p.chains = append(p.chains, chain)
	}
	if len(p.chains) == 0 && weightsFit(engines, p.model) && chainTokens(engines, p.model) >= p.opts.RequestTokens {
		p.chains = append(p.chains, engines)
		return nil
	}
	return engines
}

// minSecondCopyFraction is the fraction of the layers of which a chain's zone must be
// able to hold second copies. For a smaller fraction, using the memory for more
// concurrent requests is worth more.
const minSecondCopyFraction = 0.25

// splitCore divides the engines of a zone's chain into a core that holds all layers
// with KV cache for many requests, and spare engines. The core consists of the largest
// engines, so that paths are short. With fast links between zones, and in a chain
// across zones, all engines belong to the core, because their memory is needed for
// requests.
func (p *relayPlan) splitCore(chain []RelayEngine) (core, spare []RelayEngine) {
	if len(zonesOf(chain)) > 1 || !p.slowLinks {
		return chain, nil
	}
	sorted := sortedByMemory(chain)
	coreSize, layers := 0, 0
	for _, e := range sorted {
		if layers < p.model.Layers {
			coreSize++
		}
		layers += layersForTokens(e.MemoryBytes, p.model, reserveForSlowLinks(p.opts).preferred)
	}
	if float64(layers) < (1+minSecondCopyFraction)*float64(p.model.Layers) {
		return chain, nil
	}
	return sorted[:coreSize], sorted[coreSize:]
}

// secondCopies assigns to spare engines the layers of which their zone and the whole
// fleet have the fewest copies.
func (p *relayPlan) secondCopies(engines []RelayEngine, assigned []RelayAssignment, spares []RelayEngine) (added []RelayAssignment) {
	byName := map[string]RelayEngine{}
	for _, e := range engines {
		byName[e.Name] = e
	}
	var placedEngines []RelayEngine
	for _, a := range assigned {
		e := byName[a.Engine]
		e.Layers = a.Range
		placedEngines = append(placedEngines, e)
	}
	for _, e := range sortedByMemory(spares) {
		r, ok := RangeForEmptyEngine(e, placedEngines, p.model, p.opts)
		if !ok {
			continue
		}
		e.Layers = r
		placedEngines = append(placedEngines, e)
		added = append(added, RelayAssignment{e.Name, r})
	}
	return added
}

// divideLayers assigns a range to each engine of a chain. It gives each layer in turn
// to the engine that can still hold the most tokens with it, which maximizes the
// tokens of the engine with the fewest. Engines of the same zone get adjacent ranges.
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
	var assignments []RelayAssignment
	first := 0
	for i, e := range sorted {
		if counts[i] > 0 {
			assignments = append(assignments, RelayAssignment{e.Name, Range{first, first + counts[i]}})
		}
		first += counts[i]
	}
	return assignments
}

// KVCacheTokens returns the number of tokens whose KV cache fits in memory beside the
// weights of the given number of layers. It is negative if the weights do not fit.
func KVCacheTokens(memory int64, layers int, m Model) float64 {
	free := float64(memory) - float64(layers)*float64(m.BytesPerLayer)
	return free / (float64(max(layers, 1)) * float64(m.KVBytesPerTokenLayer))
}

// RangeForEmptyEngine returns the range for an engine that holds no layers. The range
// has as many layers as leave memory for enough requests, and covers the layers with
// the fewest copies in the engine's zone and in the whole fleet. So an engine that
// restarted empty gets its former range back, and a new engine adds copies of the layers
// that need them most. It returns false if the engine has no memory for a layer.
func RangeForEmptyEngine(empty RelayEngine, others []RelayEngine, m Model, opts RelayOptions) (Range, bool) {
	copies, zoneCopies := copiesPerLayer(others, m, opts), copiesPerLayer(inZone(others, empty.Zone), m, opts)
	maxZoneCopies, reserve := 1.0, reserveForFastLinks(opts)
	if hasSlowLinks(append([]RelayEngine{empty}, others...), m, opts) {
		maxZoneCopies, reserve = 2, reserveForSlowLinks(opts)
	}
	for l := range zoneCopies {
		// Further copies count only for the fleet as a whole.
		zoneCopies[l] = math.Min(zoneCopies[l], maxZoneCopies)
	}
	n := layersForTokens(empty.MemoryBytes, m, reserve.preferred)
	if n == 0 {
		return Range{}, false
	}
	first, lowest := 0, math.Inf(1)
	for start := 0; start+n <= m.Layers; start++ {
		if score := meanLogCopies(copies[start:start+n]) + meanLogCopies(zoneCopies[start:start+n]); score < lowest {
			first, lowest = start, score
		}
	}
	r := Range{first, first + n}
	return includeShortNeighbours(r, copies, layersForTokens(empty.MemoryBytes, m, reserve.minimum)), true
}

func inZone(engines []RelayEngine, zone string) (local []RelayEngine) {
	for _, e := range engines {
		if e.Zone == zone {
			local = append(local, e)
		}
	}
	return local
}

// includeShortNeighbours extends a range by adjacent layers that have too few copies,
// up to maxLength layers, so that no single layer remains for another engine to load.
func includeShortNeighbours(r Range, copies []float64, maxLength int) Range {
	shortLimit := median(copies) - shortMargin
	for r.Limit-r.First < maxLength {
		switch {
		case r.First > 0 && copies[r.First-1] <= shortLimit:
			r.First--
		case r.Limit < len(copies) && copies[r.Limit] <= shortLimit:
			r.Limit++
		default:
			return r
		}
	}
	return r
}

// copyOffset is added to the copies of a layer before the logarithm is taken. It is
// small, so that one layer without a copy outweighs many with few copies.
const copyOffset = 0.05

// meanLogCopies returns the mean logarithm of the copies of some layers. The lower it
// is, the more they need a further copy.
func meanLogCopies(copies []float64) float64 {
	sum := 0.0
	for _, n := range copies {
		sum += math.Log(n + copyOffset)
	}
	return sum / float64(len(copies))
}

// layersForTokens returns the number of layers that leave memory for the KV cache of
// the given number of tokens, or 1 if a single layer fits but the tokens do not.
func layersForTokens(memory int64, m Model, tokens float64) int {
	perLayer := float64(m.BytesPerLayer) + tokens*float64(m.KVBytesPerTokenLayer)
	n := int(float64(memory) / perLayer)
	if n == 0 && memory > m.BytesPerLayer {
		n = 1
	}
	return min(n, m.Layers)
}

// Uncovered returns the ranges of layers that no engine holds.
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
