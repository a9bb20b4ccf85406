package placement

import (
	"math"
	"slices"
)

// RelayOrderPolicy says what may be ordered now.
type RelayOrderPolicy struct {
	// MayStayEmpty holds engines that may stay empty for a while longer.
	MayStayEmpty map[string]bool
	// AllowMoves allows an engine that holds layers to take others.
	AllowMoves bool
}

// RelayOrders returns the ranges that engines should be told to hold now.
// Holds of an engine that is loading is the range that it will hold.
//
// It answers three patterns. A fleet that starts empty is planned as a whole.
// An engine that comes empty later, because it is new or has restarted, takes
// what the others lack most, so that nothing that serves has to move; while
// nothing is short it may wait, because in a release the engine that it replaces
// leaves shortly after. Layers that a zone has lost are added to their neighbours
// there, which go on serving meanwhile, or to engines whose layers the zone holds
// twice. When layers are almost lost in all zones and no engine is empty, the
// engine that can best be spared moves to them. Other layers that are merely short
// move no engine: it serves neither range until what passes through it has ended
// and the new layers are loaded.
func RelayOrders(engines []RelayEngine, when RelayOrderPolicy, m Model, opts RelayOptions) ([]RelayAssignment, error) {
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
		if when.MayStayEmpty[e.Name] && !isShort(copies(holding, m, opts)) {
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
		orders = repairs(holding, m, opts)
	}
	if len(orders) > 0 || !when.AllowMoves {
		return orders, nil
	}
	if move, ok := spareEngine(holding, m, opts); ok {
		return []RelayAssignment{move}, nil
	}
	return nil, nil
}

// copies returns, for each layer, how many engines hold it with enough memory
// for requests; an engine with less counts in part.
func copies(engines []RelayEngine, m Model, opts RelayOptions) []float64 {
	held := make([]float64, m.Layers)
	for _, e := range engines {
		n := copyOf(e, m, opts)
		for l := max(e.Layers.First, 0); l < min(e.Layers.Limit, m.Layers); l++ {
			held[l] += n
		}
	}
	return held
}

// enoughPart is the part of a chain's least tokens from which on an engine
// counts as a whole copy, so that a lost copy weighs more than uneven memory.
const enoughPart = 0.5

func copyOf(e RelayEngine, m Model, opts RelayOptions) float64 {
	layers := e.Layers.Limit - e.Layers.First
	if layers <= 0 {
		return 0
	}
	tokens := KVCacheTokens(e.MemoryBytes, layers, m)
	return math.Min(math.Max(tokens, 0)/(enoughPart*opts.minTokens()), 1)
}

// shortBy is how many copies a layer may lack against the median layer before it is short.
const shortBy = 0.75

// isShort tells whether some layer is held by fewer engines than most layers are.
func isShort(held []float64) bool {
	return median(held)-slices.Min(held) >= shortBy
}

// almostLost is the number of copies of a layer from which on none moves to it:
// with one copy left, the next loss leaves the model without the layer.
const almostLost = 1.5

// HasUnreplicatedLayer tells whether some layer has at most one copy.
func HasUnreplicatedLayer(engines []RelayEngine, m Model, opts RelayOptions) bool {
	least, _ := leastHeld(copies(engines, m, opts))
	return least < almostLost
}

// minRise is the number of copies by which a move must raise the least-held
// layer. It keeps engines from moving to and fro.
const minRise = 0.5

// spareEngine returns the move that raises the least-held layers most without
// making other layers as short, if there is one. Of equal moves it takes the one
// that leaves the fewest layers least held.
func spareEngine(holding []RelayEngine, m Model, opts RelayOptions) (RelayAssignment, bool) {
	held := copies(holding, m, opts)
	before, countBefore := leastHeld(held)
	if !isShort(held) || before >= almostLost {
		return RelayAssignment{}, false
	}
	var best RelayAssignment
	bestLeast, bestCount, found := 0.0, 0, false
	for i, e := range holding {
		others := slices.Delete(slices.Clone(holding), i, i+1)
		moved := e
		moved.Layers = Range{}
		r, ok := RangeForEmptyEngine(moved, others, m, opts)
		if !ok || r == e.Layers {
			continue
		}
		moved.Layers = r
		least, count := leastHeld(copies(append(others, moved), m, opts))
		rises := least >= before+minRise || least >= before && least < before+minRise && count < countBefore
		if rises && (!found || least > bestLeast || least == bestLeast && count < bestCount) {
			best, bestLeast, bestCount, found = RelayAssignment{e.Name, r}, least, count, true
		}
	}
	return best, found
}

// leastHeld returns the fewest copies of any layer and the number of layers that
// have about so few.
func leastHeld(held []float64) (least float64, count int) {
	least = slices.Min(held)
	for _, n := range held {
		if n < least+minRise {
			count++
		}
	}
	return least, count
}

func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

const (
	// mostMissing is the part of the layers that a zone may lack and still be
	// completed by its other engines.
	mostMissing = 0.5
	// leastExtended is the number of requests that an engine must still hold when
	// it takes further layers.
	leastExtended = 24.0
)

// repairs completes zones that lack layers. A path that leaves the zone for them
// crosses two links. Engines that hold the layers before and after a gap share
// it where they have room, because they go on serving meanwhile. Where links carry
// little, engines whose layers the zone holds twice move to what is still missing.
func repairs(holding []RelayEngine, m Model, opts RelayOptions) (orders []RelayAssignment) {
	thinLinks := hasThinLinks(holding, m, opts)
	for _, zone := range zonesOf(holding) {
		orders = append(orders, repairZone(inZone(holding, zone), thinLinks, m, opts)...)
	}
	return orders
}

func repairZone(local []RelayEngine, mayMove bool, m Model, opts RelayOptions) (orders []RelayAssignment) {
	gaps := Uncovered(local, m.Layers)
	if float64(layersIn(gaps)) > mostMissing*float64(m.Layers) {
		return nil
	}
	least := leastExtended * opts.RequestTokens
	if mayMove {
		least = roomThin(opts).least
	}
	for _, g := range gaps {
		orders = append(orders, extend(local, g, least, m)...)
	}
	orders = onePerEngine(orders)
	after := withOrders(local, orders)
	if !mayMove {
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

func layersIn(ranges []Range) (n int) {
	for _, r := range ranges {
		n += r.Limit - r.First
	}
	return n
}

// withOrders returns the engines as they are once orders are carried out.
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

// moveIntoGap returns the order that leaves a zone the fewest missing layers. An
// engine that holds the first layers moves only when no other helps: streams
// that begin at an engine cannot leave it, and the move waits for them. Of equal
// orders it takes the one that gives up the fewest layers, because the engine
// takes no new requests for them, and then the one with the fewest layers to
// load. Engines that have an order already stay as they are.
func moveIntoGap(local []RelayEngine, gaps []Range, ordered []RelayAssignment, m Model, opts RelayOptions) (RelayAssignment, bool) {
	var best RelayAssignment
	lacking := layersIn(gaps)
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
		size := min(max(layersForTokens(e.MemoryBytes, m, roomThin(opts).wanted), 1), m.Layers)
		for first := 0; first+size <= m.Layers; first++ {
			r := Range{first, first + size}
			kept := max(0, min(r.Limit, e.Layers.Limit)-max(r.First, e.Layers.First))
			cost := [4]int{0, countOutside(missing, r), e.Layers.Limit - e.Layers.First - kept, size - kept}
			if e.Layers.First == 0 && r.First > 0 {
				cost[0] = 1
			}
			if cost[1] < lacking && (!found || slices.Compare(cost[:], bestCost[:]) < 0) {
				best, bestCost, found = RelayAssignment{e.Name, r}, cost, true
			}
		}
	}
	return best, found
}

// countOutside counts marked layers outside a range.
func countOutside(marked []bool, r Range) (n int) {
	for l, is := range marked {
		if is && (l < r.First || l >= r.Limit) {
			n++
		}
	}
	return n
}

// extend divides a gap between an engine that ends before it and one that begins
// after it, so that the tighter of the two holds as many tokens as possible, and
// more than the least.
func extend(local []RelayEngine, gap Range, least float64, m Model) []RelayAssignment {
	best, bestTokens := []RelayAssignment(nil), least
	for cut := gap.First; cut <= gap.Limit; cut++ {
		before, tokensBefore := roomiest(local, m, func(e RelayEngine) (Range, bool) {
			return Range{e.Layers.First, cut}, e.Layers.Limit == gap.First
		})
		after, tokensAfter := roomiest(local, m, func(e RelayEngine) (Range, bool) {
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

// roomiest returns the engine that holds the most tokens with the range that is
// offered to it.
func roomiest(engines []RelayEngine, m Model, offer func(RelayEngine) (Range, bool)) (RelayAssignment, float64) {
	best, most := RelayAssignment{}, math.Inf(-1)
	for _, e := range engines {
		r, ok := offer(e)
		if !ok {
			continue
		}
		if tokens := KVCacheTokens(e.MemoryBytes, r.Limit-r.First, m); tokens > most {
			best, most = RelayAssignment{e.Name, r}, tokens
		}
	}
	return best, most
}

// onePerEngine keeps the first order of each engine.
func onePerEngine(orders []RelayAssignment) (kept []RelayAssignment) {
	seen := map[string]bool{}
	for _, o := range orders {
		if !seen[o.Engine] {
			seen[o.Engine] = true
			kept = append(kept, o)
		}
	}
	return kept
}
