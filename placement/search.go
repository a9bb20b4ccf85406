package placement

import "slices"

const (
	// minImprovement is the least decrease of the shortfall that continues a search.
	minImprovement = 1e-6
	// acceptableShortfall is the shortfall below which a search from scratch stops.
	acceptableShortfall = 0.001
	// maxSearchSteps bounds a search; the improvements become small well before.
	maxSearchSteps = 400
	// stagePenalty is the relative loss of flow accepted for one stage less, because
	// each stage adds a network hop and an engine iteration to the time between tokens.
	stagePenalty = 0.002
	// lossPenalty weighs the flow lost with the worst engine against the flow itself.
	// When the only engine of a segment fails, its whole group stops, and the requests
	// of all its chains are replayed at once on the remaining engines.
	lossPenalty = 0.05
	// maxCandidates is the number of divisions after which no further number of
	// segments is tried.
	maxCandidates = 12
)

// bestLayout returns the best layout found, or nil if the engines cannot hold the model.
func (p *problem) bestLayout() *layout {
	var best *layout
	bestCost := 0.0
	for _, lengths := range p.candidateDivisions() {
		l := p.greedyLayout(lengths)
		l.hillClimb()
		if l.bottleneck() <= 0 {
			continue
		}
		cost := l.shortfall() + stagePenalty*float64(len(l.lengths)) + lossPenalty*l.worstEngineLoss()/l.target
		if best == nil || cost < bestCost {
			best, bestCost = l, cost
		}
	}
	return best
}

// worstEngineLoss returns the largest decrease of the bottleneck capacity that the
// loss of any one engine causes.
func (l *layout) worstEngineLoss() float64 {
	flow := l.bottleneck()
	remaining := flow
	for s, sum := range l.segmentCapacity {
		for c := range l.classes {
			if l.count[c][s] > 0 {
				remaining = min(remaining, sum-l.capacity[c][l.lengths[s]])
			}
		}
	}
	return flow - max(0, remaining)
}

// candidateDivisions returns the segment lengths of divisions to try: equal segments
// in growing numbers, and segments whose lengths follow the memory of the engines.
func (p *problem) candidateDivisions() [][]int {
	engines, largest := 0, 0
	for c := range p.classes {
		engines += p.classSize[c]
		largest = max(largest, p.usableLayers[c])
	}
	if largest == 0 {
		return nil
	}
	fewest := (p.model.Layers + largest - 1) / largest
	var divisions [][]int
	if byEngine := p.lengthsByEngine(); byEngine != nil {
		divisions = append(divisions, byEngine)
	}
	for k := fewest; k <= min(engines, p.model.Layers) && len(divisions) < maxCandidates; k++ {
		divisions = append(divisions, equalLengths(p.model.Layers, k))
		if byMemory := p.lengthsByMemory(k); byMemory != nil {
			divisions = append(divisions, byMemory)
		}
	}
	return divisions
}

// lengthsByEngine returns one segment for each of the fewest engines that together
// hold the model, each within its engine's memory. It ensures that a layout is found
// whenever one exists.
func (p *problem) lengthsByEngine() []int {
	var sizes []int
	for c := range p.classes {
		for range p.classSize[c] {
			sizes = append(sizes, p.usableLayers[c])
		}
	}
	slices.SortFunc(sizes, func(a, b int) int { return b - a })
	sum := 0
	for k, size := range sizes {
		sum += size
		if sum < p.model.Layers {
			continue
		}
		lengths := sizes[:k+1]
		for ; sum > p.model.Layers; sum-- {
			lengths[slices.Index(lengths, slices.Max(lengths))]--
		}
		slices.Sort(lengths)
		return lengths
	}
	return nil
}

// equalLengths divides layers into k segments whose lengths differ by at most 1.
func equalLengths(layers, k int) []int {
	lengths := make([]int, k)
	for s := range lengths {
		lengths[s] = layers*(s+1)/k - layers*s/k
	}
	return lengths
}

// lengthsByMemory returns k segments whose lengths follow the memory of the engines.
// It orders the engines by memory, divides them into k parts of equal compute rate,
// and sizes each segment by the memory of one part.
func (p *problem) lengthsByMemory(k int) []int {
	order := make([]int, len(p.classes))
	total := 0.0
	for c := range order {
		order[c] = c
		total += float64(p.classSize[c]) * p.classes[c].rate
	}
	slices.SortStableFunc(order, func(a, b int) int { return p.usableLayers[a] - p.usableLayers[b] })
	sizes := make([]int, k)
	sum, assigned := 0, 0.0
	s := 0
	for _, c := range order {
		assigned += float64(p.classSize[c]) * p.classes[c].rate
		for ; s < k && assigned >= total*(float64(s)+0.5)/float64(k); s++ {
			sizes[s] = max(1, p.usableLayers[c])
			sum += sizes[s]
		}
	}
	if s < k || sum < p.model.Layers {
		return nil
	}
	return scaleLengths(sizes, sum, p.model.Layers)
}

// scaleLengths scales segment lengths with the given sum down to a sum of layers,
// each at least 1. It returns nil if that is impossible.
func scaleLengths(sizes []int, sum, layers int) []int {
	lengths := make([]int, len(sizes))
	cumulative, previous := 0, 0
	for s, size := range sizes {
		cumulative += size
		end := max(previous+1, layers*cumulative/sum)
		lengths[s] = end - previous
		previous = end
	}
	if previous != layers {
		return nil
	}
	return lengths
}

// greedyLayout fills segments greedily: it takes the engines that fit the fewest
// segments first and puts each into the segment with the least capacity.
func (p *problem) greedyLayout(lengths []int) *layout {
	l := p.newLayout(lengths)
	order := make([]int, len(p.classes))
	for c := range order {
		order[c] = c
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if p.usableLayers[a] != p.usableLayers[b] {
			return p.usableLayers[a] - p.usableLayers[b]
		}
		return int(p.classes[b].rate - p.classes[a].rate)
	})
	for _, c := range order {
		for range p.classSize[c] {
			if s := l.leastCovered(c); s >= 0 {
				l.placeIdle(c, s)
			}
		}
	}
	return l
}

// leastCovered returns the segment with the least capacity among those that the class
// can serve, or -1. Among equals it prefers the one with the least capacity in the
// class's own zone.
func (l *layout) leastCovered(c int) int {
	best := -1
	zone := l.classes[c].zone
	for s := range l.lengths {
		if !l.canServe(c, s) {
			continue
		}
		if best < 0 || l.segmentCapacity[s] < l.segmentCapacity[best] || l.segmentCapacity[s] == l.segmentCapacity[best] && l.zoneCapacity[s][zone] < l.zoneCapacity[best][zone] {
			best = s
		}
	}
	return best
}

// change is one step of a search: the move of an engine between the segments from
// and to, where from -1 means an idle engine. A swap also moves an engine of a second
// class the other way. A shift moves one layer between two segments and no engine.
type change struct {
	class, from, to int
	swap            int
	shift           bool
}

const noSwap = -1

// apply applies a change to the layout; applying the inverse undoes it.
func (l *layout) apply(ch change) {
	if ch.shift {
		l.lengths[ch.from]--
		l.lengths[ch.to]++
		l.recomputeCapacities()
		return
	}
	l.transfer(ch.class, ch.from, ch.to)
	if ch.swap != noSwap {
		l.transfer(ch.swap, ch.to, ch.from)
	}
}

// transfer moves one engine of a class between segments, where -1 means idle.
func (l *layout) transfer(c, from, to int) {
	if from >= 0 {
		l.addEngines(c, from, -1)
	} else {
		l.idle[c]--
	}
	if to >= 0 {
		l.addEngines(c, to, 1)
	} else {
		l.idle[c]++
	}
}

func (ch change) inverse() change {
	if ch.swap != noSwap && !ch.shift {
		return change{class: ch.class, from: ch.to, to: ch.from, swap: ch.swap}
	}
	ch.from, ch.to = ch.to, ch.from
	return ch
}

// hillClimb repeatedly applies the best change until none improves the layout.
func (l *layout) hillClimb() {
	for range maxSearchSteps {
		if l.shortfall() < acceptableShortfall {
			return
		}
		ch, gain := l.bestChange(func(change) float64 { return 1 }, true)
		if gain < minImprovement {
			return
		}
		l.apply(ch)
	}
}

// bestChange returns the change with the highest gain divided by its cost, and the gain.
func (l *layout) bestChange(cost func(change) float64, shifts bool) (change, float64) {
	current := l.shortfall()
	var best change
	bestGain, bestRatio := 0.0, 0.0
	try := func(ch change) {
		l.apply(ch)
		gain := current - l.shortfall()
		l.apply(ch.inverse())
		if gain <= minImprovement {
			return
		}
		if ratio := gain / cost(ch); ratio > bestRatio {
			best, bestGain, bestRatio = ch, gain, ratio
		}
	}
	l.eachMove(try)
	l.eachSwap(try)
	if shifts {
		l.eachShift(try)
	}
	l.recomputeCapacities()
	return best, bestGain
}

// eachMove calls try for each move of one engine into a segment.
func (l *layout) eachMove(try func(change)) {
	for c := range l.classes {
		for from := -1; from < len(l.lengths); from++ {
			if from < 0 && l.idle[c] == 0 || from >= 0 && l.count[c][from] == 0 {
				continue
			}
			for to := range l.lengths {
				if to != from && l.canServe(c, to) {
					try(change{class: c, from: from, to: to, swap: noSwap})
				}
			}
		}
	}
}

// eachSwap calls try for each exchange of engines of two classes between two segments.
func (l *layout) eachSwap(try func(change)) {
	for a := range l.classes {
		for b := range l.classes {
			if a == b || l.classes[a].rate == l.classes[b].rate && l.classes[a].zone == l.classes[b].zone {
				continue
			}
			l.eachSwapOf(a, b, try)
		}
	}
}

// eachSwapOf calls try for each exchange of an engine of class a with one of class b.
func (l *layout) eachSwapOf(a, b int, try func(change)) {
	for from := range l.lengths {
		if l.count[a][from] == 0 || !l.canServe(b, from) {
			continue
		}
		for to := range l.lengths {
			// eachSwap visits a pair of classes in both orders, so one order of segments
			// is enough.
			if from < to && l.count[b][to] > 0 && l.canServe(a, to) {
				try(change{class: a, from: from, to: to, swap: b})
			}
		}
	}
}

// eachShift calls try for each shift of one layer from one segment to another; the
// segments between them keep their lengths and move by one layer.
func (l *layout) eachShift(try func(change)) {
	for from := range l.lengths {
		for to := range l.lengths {
			if from != to && l.lengths[from] > 1 && l.canGrow(to) {
				try(change{from: from, to: to, swap: noSwap, shift: true})
			}
		}
	}
}

// canGrow reports whether all engines of a segment have capacity with one more layer.
func (l *layout) canGrow(segment int) bool {
	for c := range l.classes {
		if l.count[c][segment] > 0 && l.capacity[c][l.lengths[segment]+1] <= 0 {
			return false
		}
	}
	return true
}
