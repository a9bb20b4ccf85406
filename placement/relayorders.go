package placement

import (
	"math"
	"slices"
)

// RelayOrderPolicy restricts the orders that RelayOrders returns.
type RelayOrderPolicy struct {
	// MayStayEmpty holds the names of engines that may stay empty for a while longer.
	MayStayEmpty map[string]bool
	// AllowMoves allows orders that move an engine from the layers that it holds to
	// others.
	AllowMoves bool
	// MaxLoads is the number of empty engines that may be ordered to load layers if
	// LimitLoads is set. It does not apply to the first plan, whose chains serve only as
	// a whole.
	MaxLoads   int
	LimitLoads bool
}

// RelayOrders returns the ranges that engines should be ordered to hold now. Layers of
// an engine that is loading must be the range that it will hold.
//
// The orders depend on the state of the fleet:
//   - If no engine holds layers, the fleet is planned as a whole.
//   - An engine that appears empty later, because it is new or has restarted, gets
//     the layers that the others lack most, so that no engine in service has to
//     move. While no layer is short of copies it may wait, because in a rolling
//     release the engine that it replaces leaves shortly afterwards.
//   - Layers that a zone has lost are added to engines of the zone with adjacent
//     layers, which stay in service meanwhile, or given to engines whose layers the
//     zone holds twice.
//   - If some layer has at most one copy in the whole fleet and no engine is empty,
//     the engine that can best be spared moves to it.
//
// Other layers with too few copies move no engine: a moving engine serves neither
// range until the requests in progress on it have ended and the new layers are
// loaded.
func RelayOrders(engines []RelayEngine, policy RelayOrderPolicy, m Model, opts RelayOptions) ([]RelayAssignment, error) {
	var empty, holding []RelayEngine
	for _, e := range engines {
		if e.Layers == (Range{}) {
			empty = append(empty, e)
		} else {
			holding = append(holding, e)
		}
	}
	if len(holding) == 0 {
		if len(empty) == 0 {
			return nil, nil
		}
		return PlanRelay(empty, m, opts)
	}
	var orders []RelayAssignment
	for _, e := range sortedBySpeed(empty) {
		if policy.LimitLoads && len(orders) >= policy.MaxLoads {
			break
		}
		if policy.MayStayEmpty[e.Name] && !hasShortLayer(copiesPerLayer(holding, m, opts)) {
			continue
		}
		r, ok := RangeForEmptyEngine(e, holding, m, opts)
		if !ok {
			continue
		}
		orders = append(orders, RelayAssignment{e.Name, r})
		e.Layers = r
		holding = append(holding, e)
	}
	if len(orders) == 0 {
		orders = repairZones(holding, m, opts)
	}
	if len(orders) > 0 || !policy.AllowMoves {
		return orders, nil
	}
	if move, ok := bestSpareMove(holding, m, opts); ok {
		return []RelayAssignment{move}, nil
	}
	return nil, nil
}

// copiesPerLayer returns, for each layer, the number of engines that hold it with
// enough memory for requests. An engine with less memory counts as a fraction.
func copiesPerLayer(engines []RelayEngine, m Model, opts RelayOptions) []float64 {
	copies := make([]float64, m.Layers)
	for _, e := range engines {
		fraction := copyFraction(e, m, opts)
		for l := max(e.Layers.First, 0); l < min(e.Layers.Limit, m.Layers); l++ {
			copies[l] += fraction
		}
	}
	return copies
}

// fullCopyFraction is the fraction of a chain's minimum tokens at which an engine
// counts as a full copy, so that a lost copy weighs more than uneven memory.
const fullCopyFraction = 0.5

// copyFraction returns how much of a full copy an engine counts as, at most 1.
func copyFraction(e RelayEngine, m Model, opts RelayOptions) float64 {
	layers := e.Layers.Limit - e.Layers.First
	if layers <= 0 {
		return 0
	}
	tokens := KVCacheTokens(e.MemoryBytes, layers, m)
	return math.Min(math.Max(tokens, 0)/(fullCopyFraction*opts.minTokens()), 1)
}

// shortMargin is the number of copies by which a layer must be below the median layer
// to count as short.
const shortMargin = 0.75

// hasShortLayer reports whether some layer has clearly fewer copies than most layers.
func hasShortLayer(copies []float64) bool {
	return median(copies)-slices.Min(copies) >= shortMargin
}

// unreplicatedBelow is the number of copies below which a layer has no second copy, so
// that one more loss would leave the model without it. Engines move only to such layers.
const unreplicatedBelow = 1.5

// HasUnreplicatedLayer reports whether some layer has at most one copy.
func HasUnreplicatedLayer(engines []RelayEngine, m Model, opts RelayOptions) bool {
	least, _ := fewestCopies(copiesPerLayer(engines, m, opts))
	return least < unreplicatedBelow
}

// minCopyGain is the number of copies that a move must add to the layers with the
// fewest copies. It prevents engines from moving back and forth.
const minCopyGain = 0.5

// bestSpareMove returns the move that adds most to the layers with the fewest copies
// without making other layers as short, if there is one. Among equal moves it prefers
// the one that leaves the fewest such layers.
func bestSpareMove(holding []RelayEngine, m Model, opts RelayOptions) (RelayAssignment, bool) {
	copies := copiesPerLayer(holding, m, opts)
	fewestBefore, countBefore := fewestCopies(copies)
	if !hasShortLayer(copies) || fewestBefore >= unreplicatedBelow {
		return RelayAssignment{}, false
	}
	var best RelayAssignment
	bestFewest, bestCount, found := 0.0, 0, false
	for i, e := range holding {
		others := slices.Delete(slices.Clone(holding), i, i+1)
		moved := e
		moved.Layers = Range{}
		r, ok := RangeForEmptyEngine(moved, others, m, opts)
		if !ok || r == e.Layers {
			continue
		}
		moved.Layers = r
		fewest, count := fewestCopies(copiesPerLayer(append(others, moved), m, opts))
		improves := fewest >= fewestBefore+minCopyGain || fewest >= fewestBefore && fewest < fewestBefore+minCopyGain && count < countBefore
		if improves && (!found || fewest > bestFewest || fewest == bestFewest && count < bestCount) {
			best, bestFewest, bestCount, found = RelayAssignment{e.Name, r}, fewest, count, true
		}
	}
	return best, found
}

// fewestCopies returns the fewest copies of any layer and the number of layers with
// about as few.
func fewestCopies(copies []float64) (fewest float64, count int) {
	fewest = slices.Min(copies)
	for _, n := range copies {
		if n < fewest+minCopyGain {
			count++
		}
	}
	return fewest, count
}

func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

const (
	// maxMissingFraction is the largest fraction of the layers that the other engines
	// of a zone take over.
	maxMissingFraction = 0.5
	// minExtendedRequests is the number of concurrent requests that an engine must
	// still hold after it has taken further layers.
	minExtendedRequests = 24.0
)

// repairZones returns the orders that complete zones which lack layers, since a path
// that leaves a zone for missing layers crosses two links. Engines that hold the layers
// before and after a gap share it if their memory allows, because they stay in service
// meanwhile. With slow links, engines whose layers the zone holds twice move to the
// layers that are still missing.
func repairZones(holding []RelayEngine, m Model, opts RelayOptions) (orders []RelayAssignment) {
	slowLinks := hasSlowLinks(holding, m, opts)
	for _, zone := range zonesOf(holding) {
		orders = append(orders, repairZone(inZone(holding, zone), slowLinks, m, opts)...)
	}
	return orders
}

// repairZone returns the orders that complete one zone with the given engines.
func repairZone(local []RelayEngine, slowLinks bool, m Model, opts RelayOptions) (orders []RelayAssignment) {
	gaps := Uncovered(local, m.Layers)
	if float64(layersIn(gaps)) > maxMissingFraction*float64(m.Layers) {
		return nil
	}
	minTokens := minExtendedRequests * opts.RequestTokens
	if slowLinks {
		minTokens = reserveForSlowLinks(opts).minimum
	}
	for _, g := range gaps {
		orders = append(orders, extendIntoGap(local, g, minTokens, m)...)
	}
	orders = firstOrderPerEngine(orders)
	after := withOrders(local, orders)
	if !slowLinks {
		return orders
	}
	for gaps = Uncovered(after, m.Layers); len(gaps) > 0; gaps = Uncovered(after, m.Layers) {
		move, found := moveIntoGap(after, gaps, orders, m, opts)
		if !found {
			break
		}
		orders = append(orders, move)
		after = withOrders(after, orders)
	}
	return orders
}

// layersIn returns the total number of layers in ranges.
func layersIn(ranges []Range) (n int) {
	for _, r := range ranges {
		n += r.Limit - r.First
	}
	return n
}

// withOrders returns the engines as they are after the orders are carried out.
func withOrders(engines []RelayEngine, orders []RelayAssignment) []RelayEngine {
	after := slices.Clone(engines)
	for i := range after {
		for _, o := range orders {
			if o.Engine == after[i].Name {
				after[i].Layers = o.Range
			}
		}
	}
	return after
}

// moveIntoGap returns the order that leaves a zone the fewest missing layers. An engine
// that holds the first layer moves away from it only if no other engine helps: streams
// cannot leave the engine at which they begin, so the move waits for them to end. Among
// equal orders it prefers the one that gives up the fewest layers, because the engine
// takes no new requests for them, and then the one with the fewest layers to load.
// Engines that already have an order are not moved.
func moveIntoGap(local []RelayEngine, gaps []Range, ordered []RelayAssignment, m Model, opts RelayOptions) (RelayAssignment, bool) {
	var best RelayAssignment
	missingBefore := layersIn(gaps)
	bestCost, found := [4]int{}, false
	for i, e := range local {
		if slices.ContainsFunc(ordered, func(o RelayAssignment) bool { return o.Engine == e.Name }) {
			continue
		}
		missing := make([]bool, m.Layers)
		for _, g := range Uncovered(slices.Delete(slices.Clone(local), i, i+1), m.Layers) {
			for l := g.First; l < g.Limit; l++ {
				missing[l] = true
			}
		}
		size := min(max(layersForTokens(e.MemoryBytes, m, reserveForSlowLinks(opts).preferred), 1), m.Layers)
		for first := 0; first+size <= m.Layers; first++ {
			r := Range{first, first + size}
			overlap := max(0, min(r.Limit, e.Layers.Limit)-max(r.First, e.Layers.First))
			cost := [4]int{0, countOutside(missing, r), e.Layers.Limit - e.Layers.First - overlap, size - overlap}
			if e.Layers.First == 0 && r.First > 0 {
				cost[0] = 1
			}
			if cost[1] < missingBefore && (!found || slices.Compare(cost[:], bestCost[:]) < 0) {
				best, bestCost, found = RelayAssignment{e.Name, r}, cost, true
			}
		}
	}
	return best, found
}

// countOutside returns the number of marked layers outside a range.
func countOutside(marked []bool, r Range) (n int) {
	for l, isMarked := range marked {
		if isMarked && (l < r.First || l >= r.Limit) {
			n++
		}
	}
	return n
}

// extendIntoGap divides a gap between an engine whose range ends before it and one whose
// range begins after it. It maximizes the tokens of the one that can hold fewer, and
// returns no orders unless these exceed minTokens.
func extendIntoGap(local []RelayEngine, gap Range, minTokens float64, m Model) []RelayAssignment {
	best, bestTokens := []RelayAssignment(nil), minTokens
	for cut := gap.First; cut <= gap.Limit; cut++ {
		before, tokensBefore := mostTokens(local, m, func(e RelayEngine) (Range, bool) {
			return Range{e.Layers.First, cut}, e.Layers.Limit == gap.First
		})
		after, tokensAfter := mostTokens(local, m, func(e RelayEngine) (Range, bool) {
			return Range{cut, e.Layers.Limit}, e.Layers.First == gap.Limit
		})
		var orders []RelayAssignment
		tokens := math.Inf(1)
		if cut > gap.First {
			orders, tokens = append(orders, before), math.Min(tokens, tokensBefore)
		}
		if cut < gap.Limit {
			orders, tokens = append(orders, after), math.Min(tokens, tokensAfter)
		}
		if tokens > bestTokens {
			best, bestTokens = orders, tokens
		}
	}
	return best
}

// mostTokens returns the engine that can hold the most tokens with the range that
// rangeFor returns for it, and that number. It skips engines for which rangeFor
// returns false.
func mostTokens(engines []RelayEngine, m Model, rangeFor func(RelayEngine) (Range, bool)) (RelayAssignment, float64) {
	best, bestTokens := RelayAssignment{}, math.Inf(-1)
	for _, e := range engines {
		r, ok := rangeFor(e)
		if !ok {
			continue
		}
		if tokens := KVCacheTokens(e.MemoryBytes, r.Limit-r.First, m); tokens > bestTokens {
			best, bestTokens = RelayAssignment{e.Name, r}, tokens
		}
	}
	return best, bestTokens
}

// firstOrderPerEngine keeps the first order of each engine.
func firstOrderPerEngine(orders []RelayAssignment) (kept []RelayAssignment) {
	seen := map[string]bool{}
	for _, o := range orders {
		if !seen[o.Engine] {
			seen[o.Engine] = true
			kept = append(kept, o)
		}
	}
	return kept
}
