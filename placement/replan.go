package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minMoveGain is the least relative gain for which an engine in service is
	// moved, and minShiftGain that for which a boundary between segments is moved.
	// Smaller gains are not worth the bytes loaded.
	minMoveGain  = 0.01
	minShiftGain = 0.005
	// redivideBelow is the fraction of a group's bound below which a new division of
	// the layers is considered. minRedivideRatio is the least ratio of its flow to
	// the present one, because a new division reloads most engines.
	redivideBelow    = 0.92
	minRedivideRatio = 1.05
)

// Move is a change of one engine's range. The moves of a list are made in order.
type Move struct {
	Engine string `json:"engine"`
	// From is empty for an engine that served nothing.
	From Range `json:"from"`
	To   Range `json:"to"`
	// Bytes are the weights to load: the layers of To that are not in From.
	Bytes int64 `json:"bytes"`
	// KeepsOld reports whether the memory holds both ranges, so that From is served
	// until To is loaded. Otherwise From is no longer served once the load starts.
	KeepsOld bool `json:"keeps_old"`
	// Step numbers the switches to new ranges: the engines of all moves with the
	// same step begin to serve their new ranges together.
	Step int `json:"step"`
	// Gain is the capacity that the move adds to segments that lack it, in tokens/s.
	Gain float64 `json:"gain"`
}

// LoadCompletionTimes returns the time after which each move's load ends if the loads
// run one after another from a weight store with the given rate.
func LoadCompletionTimes(moves []Move, bytesPerSecond float64) []time.Duration {
	ends := make([]time.Duration, len(moves))
	total := int64(0)
	for i, m := range moves {
		total += m.Bytes
		ends[i] = time.Duration(float64(total) / bytesPerSecond * float64(time.Second))
	}
	return ends
}

// Replan updates a plan after engines or links have been added, removed or
// changed. It keeps the division of the layers in each group if it can, loads few
// bytes of weights, and orders the loads by throughput gained per byte.
//
// If the ranges of the remaining engines tile the layers, they still do after the
// start and the end of each move, and moves that would prevent it are omitted. If
// they do not, the layers stay covered from the moment at which the new plan's
// ranges first tile them.
func Replan(old Plan, f Fleet, m Model, opts Options) (Plan, []Move, error) {
	if err := m.validate(); err != nil {
		return Plan{}, nil, err
	}
	topo := newTopology(f, m)
	r := &replanner{old: old, model: m, opts: opts, topo: topo, assigned: map[string]Assignment{}}
	for _, a := range old.Assignments {
		r.assigned[a.Engine] = a
	}
	engines, zones := r.groupMembers(f)
	var groups []*groupPlan
	var unplaced []Engine
	for i := range engines {
		g := r.replanGroup(i, engines[i], zones[i])
		if g.layout == nil {
			unplaced = append(unplaced, engines[i]...)
			continue
		}
		groups = append(groups, g)
	}
	if len(unplaced) > 0 {
		return r.replanAll(f, groups)
	}
	if len(groups) == 0 {
		return Plan{}, nil, ErrInsufficientMemory
	}
	return assemble(groups, topo, m, opts), r.moves, nil
}

// replanner holds the inputs of Replan and the moves found so far.
type replanner struct {
	old      Plan
	model    Model
	opts     Options
	topo     topology
	assigned map[string]Assignment
	moves    []Move
	steps    int
}

// groupMembers divides the fleet's engines and zones among the old plan's groups. A
// new zone joins the group with the fastest links to it; a zone without links
// becomes a group of its own.
func (r *replanner) groupMembers(f Fleet) (engines [][]Engine, zones [][]int) {
	engines = make([][]Engine, len(r.old.Groups))
	zones = make([][]int, len(r.old.Groups))
	zoneGroup := make([]int, len(r.topo.zones))
	for z := range zoneGroup {
		zoneGroup[z] = -1
	}
	for i, g := range r.old.Groups {
		for _, name := range g.Zones {
			if z, known := r.topo.index[name]; known {
				zoneGroup[z] = i
				zones[i] = append(zones[i], z)
			}
		}
	}
	for z := range zoneGroup {
		if zoneGroup[z] < 0 {
			zoneGroup[z] = r.bestConnectedGroup(z, zones)
		}
		if zoneGroup[z] < 0 {
			zoneGroup[z] = len(zones)
			zones = append(zones, nil)
			engines = append(engines, nil)
		}
		if !slices.Contains(zones[zoneGroup[z]], z) {
			zones[zoneGroup[z]] = append(zones[zoneGroup[z]], z)
		}
	}
	for i := range zones {
		slices.Sort(zones[i])
	}
	for _, e := range f.Engines {
		i := zoneGroup[r.topo.index[e.Zone]]
		engines[i] = append(engines[i], e)
	}
	return engines, zones
}

// bestConnectedGroup returns the group with the fastest links to a zone, or -1.
func (r *replanner) bestConnectedGroup(zone int, zones [][]int) int {
	best, fastest := -1, 0.0
	for i := range zones {
		if rate := r.topo.linkRateBetween([]int{zone}, zones[i]); rate > fastest {
			best, fastest = i, rate
		}
	}
	return best
}

// replanAll replaces the whole plan. It is used when a group can no longer hold
// the model and its engines have to join other groups.
func (r *replanner) replanAll(f Fleet, groups []*groupPlan) (Plan, []Move, error) {
	plan, err := MakePlan(f, r.model, r.opts)
	if err != nil {
		return Plan{}, nil, err
	}
	remaining := 0.0
	for _, g := range groups {
		remaining += g.solution.total
	}
	if len(groups) > 0 && plan.Flow <= remaining*minRedivideRatio {
		return assemble(groups, r.topo, r.model, r.opts), r.moves, nil
	}
	keptMoves := r.moves
	r.moves, r.steps = nil, 0
	engines := map[string]Engine{}
	classNumber := map[class]int{}
	for _, e := range f.Engines {
		engines[e.Name] = e
		if c := classOf(e, r.topo); classNumber[c] == 0 {
			classNumber[c] = len(classNumber) + 1
		}
	}
	var moves []Move
	for _, a := range plan.Assignments {
		if move := r.move(engines[a.Engine], Range{First: a.First, Limit: a.Limit}); move.From != move.To {
			move.Gain = a.Weight
			moves = append(moves, move)
		}
	}
	c := r.remainingCoverage(f.Engines)
	covered := c.tiles()
	unmade := r.orderMoves(moves, moveOrdering{
		coverage: c,
		class:    func(m Move) int { return classNumber[classOf(engines[m.Engine], r.topo)] },
		gain:     func(Move) float64 { return 0 },
		apply:    func(Move) {},
	})
	if covered && len(unmade) > 0 && len(groups) > 0 {
		return assemble(groups, r.topo, r.model, r.opts), keptMoves, nil
	}
	return plan, r.moves, nil
}

// replanGroup updates one group. It keeps the old division of the layers unless a
// new one is much better.
func (r *replanner) replanGroup(index int, engines []Engine, zones []int) *groupPlan {
	p := newProblem(engines, r.model, r.opts, r.topo, zones)
	if index >= len(r.old.Groups) {
		g := r.redivide(p, engines, zones)
		return cmp.Or(g, &groupPlan{zones: zones, engines: engines, target: p.target})
	}
	moves, steps := len(r.moves), r.steps
	g := r.replanSegments(p, engines, zones, index)
	if g.flow() >= redivideBelow*p.target || len(engines) == 0 {
		return g
	}
	keptMoves := slices.Clone(r.moves[moves:])
	r.moves, r.steps = r.moves[:moves], steps
	redivided := r.redivide(p, engines, zones)
	if redivided != nil && redivided.flow() > g.flow()*minRedivideRatio {
		return redivided
	}
	r.moves = append(r.moves[:moves], keptMoves...)
	if len(keptMoves) > 0 {
		r.steps = keptMoves[len(keptMoves)-1].Step
	}
	return g
}

// replanSegments updates one group starting from the old division of the layers. It
// first moves engines between segments, then single layers between neighbouring
// segments.
func (r *replanner) replanSegments(p *problem, engines []Engine, zones []int, index int) *groupPlan {
	g := &groupPlan{zones: zones, engines: engines, target: p.target}
	boundaries := r.old.Groups[index].Boundaries
	lengths := make([]int, len(boundaries)-1)
	for s := range lengths {
		lengths[s] = boundaries[s+1] - boundaries[s]
	}
	l := p.newLayout(lengths)
	segment := r.restoreSegments(l, engines, boundaries)
	current := l.clone()
	l.hillClimbPerByte()
	wanted := l.assignEngines(engines, segment)
	unmoved := r.orderSegmentMoves(current, engines, segment, wanted)
	for name, s := range unmoved {
		if s >= 0 {
			wanted[name] = s
		} else {
			delete(wanted, name)
		}
	}
	l = current
	r.shiftBoundaries(l, engines, wanted)
	if l.bottleneck() > 0 {
		g.setLayout(l, wanted)
	}
	return g
}

// restoreSegments places engines in the segments of the old plan and returns their
// segments by engine name.
func (r *replanner) restoreSegments(l *layout, engines []Engine, boundaries []int) map[string]int {
	segment := map[string]int{}
	for _, e := range engines {
		a, assigned := r.assigned[e.Name]
		s, found := slices.BinarySearch(boundaries, a.First)
		if !assigned || !found || s == len(l.lengths) || boundaries[s+1] != a.Limit {
			continue
		}
		if c := l.classIndex(classOf(e, l.topo)); l.canServe(c, s) {
			l.placeIdle(c, s)
			segment[e.Name] = s
		}
	}
	return segment
}

func (l *layout) clone() *layout {
	c := l.newLayout(l.lengths)
	copy(c.idle, l.idle)
	for i := range l.count {
		copy(c.count[i], l.count[i])
	}
	c.recomputeCapacities()
	return c
}

// hillClimbPerByte repeatedly applies the change with the highest gain per byte
// loaded. Any gain justifies the use of an idle engine, which has to load something
// anyway.
func (l *layout) hillClimbPerByte() {
	cost := func(ch change) float64 {
		bytes := float64(l.lengths[ch.to])
		if ch.swap != noSwap {
			bytes += float64(l.lengths[ch.from])
		}
		return bytes
	}
	for range maxSearchSteps {
		ch, gain := l.bestChange(cost, false)
		least := minMoveGain
		if ch.from < 0 {
			least = minImprovement
		}
		if ch.swap != noSwap {
			least = 2 * minMoveGain
		}
		if gain < least {
			return
		}
		l.apply(ch)
	}
}

// orderSegmentMoves orders the moves from old to wanted segments within one division
// of the layers and applies them to the layout. It returns the engines whose moves
// would uncover layers, with their old segment or -1.
func (r *replanner) orderSegmentMoves(l *layout, engines []Engine, old, wanted map[string]int) map[string]int {
	boundaries := l.boundaries()
	byName := map[string]Engine{}
	var moves []Move
	for _, e := range engines {
		byName[e.Name] = e
		s, placed := wanted[e.Name]
		if from, had := old[e.Name]; !placed || had && from == s {
			continue
		}
		moves = append(moves, r.move(e, Range{First: boundaries[s], Limit: boundaries[s+1]}))
	}
	class := func(m Move) int { return l.classIndex(classOf(byName[m.Engine], l.topo)) }
	transfer := func(m Move, undo bool) {
		c := class(m)
		from, had := old[m.Engine]
		if !had {
			from = -1
		}
		if undo {
			l.transfer(c, wanted[m.Engine], from)
		} else {
			l.transfer(c, from, wanted[m.Engine])
		}
	}
	gain := func(m Move) float64 {
		before := l.shortfall()
		transfer(m, false)
		after := l.shortfall()
		transfer(m, true)
		return (before - after) * l.target
	}
	unmade := r.orderMoves(moves, moveOrdering{
		coverage: r.remainingCoverage(engines), class: class, gain: gain, apply: func(m Move) { transfer(m, false) },
	})
	l.recomputeCapacities()
	unmoved := map[string]int{}
	for _, m := range unmade {
		unmoved[m.Engine] = -1
		if from, had := old[m.Engine]; had {
			unmoved[m.Engine] = from
		}
	}
	return unmoved
}

// shiftBoundaries moves single layers between neighbouring segments while the gain is
// large enough. All engines of both segments switch to their new ranges together.
func (r *replanner) shiftBoundaries(l *layout, engines []Engine, segment map[string]int) {
	for range maxSearchSteps {
		ch, gain := l.bestShift()
		if gain < minShiftGain {
			return
		}
		before := l.boundaries()
		l.apply(ch)
		after := l.boundaries()
		r.steps++
		for _, e := range engines {
			s, placed := segment[e.Name]
			if !placed || s != ch.from && s != ch.to {
				continue
			}
			from := Range{First: before[s], Limit: before[s+1]}
			to := Range{First: after[s], Limit: after[s+1]}
			r.moves = append(r.moves, Move{
				Engine: e.Name, From: from, To: to, KeepsOld: true, Step: r.steps,
				Bytes: int64(to.layersNotIn(from)) * r.model.BytesPerLayer, Gain: gain * l.target,
			})
		}
	}
}

// bestShift returns the shift between neighbouring segments with the highest gain per
// engine that loads a layer, and that gain.
func (l *layout) bestShift() (change, float64) {
	current := l.shortfall()
	var best change
	bestGain, bestRatio := 0.0, 0.0
	l.eachShift(func(ch change) {
		if ch.from-ch.to != 1 && ch.to-ch.from != 1 {
			return
		}
		l.apply(ch)
		gain := current - l.shortfall()
		l.apply(ch.inverse())
		loadingEngines := 0
		for c := range l.classes {
			loadingEngines += l.count[c][ch.to]
		}
		if ratio := gain / float64(max(1, loadingEngines)); ratio > bestRatio {
			best, bestGain, bestRatio = ch, gain, ratio
		}
	})
	return best, bestGain
}

// redivide plans the group from scratch. It returns nil if the moves to the new plan
// cannot keep the layers covered.
func (r *replanner) redivide(p *problem, engines []Engine, zones []int) *groupPlan {
	l := p.bestLayout()
	if l == nil {
		return nil
	}
	g := &groupPlan{zones: zones, engines: engines, target: p.target}
	g.setLayout(l, nil)
	if g.layout == nil {
		return nil
	}
	loaded := l.newLayout(l.lengths)
	boundaries := l.boundaries()
	byName := map[string]Engine{}
	var moves []Move
	for _, e := range engines {
		byName[e.Name] = e
		if s, placed := g.segment[e.Name]; placed {
			moves = append(moves, r.move(e, Range{First: boundaries[s], Limit: boundaries[s+1]}))
		}
	}
	class := func(m Move) int { return l.classIndex(classOf(byName[m.Engine], l.topo)) }
	gain := func(m Move) float64 {
		before := loaded.shortfall()
		loaded.addEngines(class(m), g.segment[m.Engine], 1)
		after := loaded.shortfall()
		loaded.addEngines(class(m), g.segment[m.Engine], -1)
		return (before - after) * l.target
	}
	c := r.remainingCoverage(engines)
	covered := c.tiles()
	unmade := r.orderMoves(moves, moveOrdering{
		coverage: c, class: class, gain: gain, apply: func(m Move) { loaded.placeIdle(class(m), g.segment[m.Engine]) },
	})
	if covered && len(unmade) > 0 {
		return nil
	}
	return g
}

// move returns the move of an engine from its old range to another.
func (r *replanner) move(e Engine, to Range) Move {
	m := Move{Engine: e.Name, To: to}
	if a, assigned := r.assigned[e.Name]; assigned {
		m.From = Range{First: a.First, Limit: a.Limit}
	}
	missing := to.layersNotIn(m.From)
	m.Bytes = int64(missing) * r.model.BytesPerLayer
	m.KeepsOld = m.From.layers()+missing <= maxLayers(e, r.model)
	return m
}

// moveOrdering is the information that orderMoves needs.
type moveOrdering struct {
	coverage *coverage
	// class returns a number that is the same for interchangeable engines.
	class func(Move) int
	// gain returns the capacity that a move adds at present; 0 selects Move.Gain.
	// apply records that the move is made.
	gain  func(Move) float64
	apply func(Move)
}

// orderMoves appends moves to r.moves in the order of gain per byte, each only if
// the layers stay covered, and returns the moves that cannot be made. If the layers
// are not covered at the start, every move is allowed: waiting for a mixture of old
// and new ranges that happens to cover them would delay the new plan.
func (r *replanner) orderMoves(moves []Move, o moveOrdering) []Move {
	covered := o.coverage.tiles()
	for len(moves) > 0 {
		best := o.bestMove(moves, covered)
		if best < 0 {
			return moves
		}
		m := moves[best]
		moves = slices.Delete(moves, best, best+1)
		o.coverage.apply(m)
		o.apply(m)
		if m.From != m.To {
			r.steps++
			m.Step = r.steps
			r.moves = append(r.moves, m)
		}
	}
	return nil
}

// bestMove returns the index of the safe move with the most gain per byte, or -1.
// Moves of the same class between the same ranges are evaluated once, because the
// return of a zone causes hundreds of them.
func (o moveOrdering) bestMove(moves []Move, covered bool) int {
	type moveKey struct {
		class    int
		from, to Range
	}
	evaluated := map[moveKey]bool{}
	best, bestRatio := -1, 0.0
	for i, m := range moves {
		key := moveKey{class: o.class(m), from: m.From, to: m.To}
		if evaluated[key] {
			continue
		}
		evaluated[key] = true
		if covered && !o.coverage.safe(m) {
			continue
		}
		gain := cmp.Or(o.gain(m), m.Gain)
		if ratio := gain / float64(max(1, m.Bytes)); best < 0 || ratio > bestRatio {
			best, bestRatio = i, ratio
			moves[i].Gain = gain
		}
	}
	return best
}

// coverage holds the number of engines that serve each range.
type coverage struct {
	layers int
	ranges map[Range]int
}

// remainingCoverage returns the coverage of the old plan by the given engines.
func (r *replanner) remainingCoverage(engines []Engine) *coverage {
	c := &coverage{layers: r.model.Layers, ranges: map[Range]int{}}
	for _, e := range engines {
		if a, assigned := r.assigned[e.Name]; assigned {
			c.ranges[Range{First: a.First, Limit: a.Limit}]++
		}
	}
	return c
}

// tiles reports whether some sequence of the served ranges covers all layers in order.
func (c *coverage) tiles() bool {
	ranges := make([]Range, 0, len(c.ranges))
	for r, n := range c.ranges {
		if n > 0 {
			ranges = append(ranges, r)
		}
	}
	return checkTiling(ranges, c.layers) == nil
}

// safe reports whether the layers stay covered during and after a move, given that
// they are covered now.
func (c *coverage) safe(m Move) bool {
	if m.From.layers() == 0 || m.From == m.To || c.ranges[m.From] > 1 {
		return true
	}
	if !m.KeepsOld && !c.tilesWithout(m.From) {
		return false
	}
	c.ranges[m.To]++
	defer func() { c.ranges[m.To]-- }()
	return c.tilesWithout(m.From)
}

// tilesWithout reports whether the ranges tile the layers with one engine fewer on r.
func (c *coverage) tilesWithout(r Range) bool {
	c.ranges[r]--
	defer func() { c.ranges[r]++ }()
	return c.tiles()
}

// apply records that a move is made.
func (c *coverage) apply(m Move) {
	if m.From.layers() > 0 {
		c.ranges[m.From]--
	}
	c.ranges[m.To]++
}
