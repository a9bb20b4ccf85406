package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// moveGain is the least relative gain for which an engine that serves is
	// moved, and shiftGain for which a boundary between segments is moved.
	// Smaller gains are not worth the bytes loaded.
	moveGain  = 0.01
	shiftGain = 0.005
	// regridBelow is the fraction of a group's bound below which a new
	// division of the layers is considered, and regridGain the ratio by which
	// it must be better, because it reloads most engines.
	regridBelow = 0.92
	regridGain  = 1.05
)

// Move is one change of an engine's range. Moves run in the order of the list.
type Move struct {
	Engine string `json:"engine"`
	// From is empty for an engine that served nothing.
	From Range `json:"from"`
	To   Range `json:"to"`
	// Bytes are the weights to load: the layers of To that are not in From.
	Bytes int64 `json:"bytes"`
	// KeepsOld says that the memory holds both ranges, so that From serves
	// until To is loaded. Otherwise From stops serving when the load starts.
	KeepsOld bool `json:"keeps_old"`
	// Step numbers the switch-overs: moves of one step start to serve together.
	Step int `json:"step"`
	// Gain is the capacity that the move adds where it is short, in tokens/s.
	Gain float64 `json:"gain"`
}

// LoadCompletionTimes returns when each move's load ends if loads run one after another
// through a weight store with the given rate.
func LoadCompletionTimes(moves []Move, bytesPerSecond float64) []time.Duration {
	ends := make([]time.Duration, len(moves))
	total := int64(0)
	for i, m := range moves {
		total += m.Bytes
		ends[i] = time.Duration(float64(total) / bytesPerSecond * float64(time.Second))
	}
	return ends
}

// Replan updates a plan after engines or links have come, gone or changed. It
// keeps the division of the layers in each group if it can, loads few bytes
// of weights, and orders the loads by throughput gained per byte. If the ranges
// that are left tile the layers, they do so after each start and end of a move,
// and a move for which that is impossible is left out. If they do not, the
// layers stay covered from when the new plan's ranges first tile them.
func Replan(old Plan, f Fleet, m Model, opts Options) (Plan, []Move, error) {
	if err := m.validate(); err != nil {
		return Plan{}, nil, err
	}
	w := newTopology(f, m)
	r := &replanner{old: old, model: m, opts: opts, net: w, assigned: map[string]Assignment{}}
	for _, a := range old.Assignments {
		r.assigned[a.Engine] = a
	}
	members, zones := r.members(f)
	var groups []*groupPlan
	var unplaced []Engine
	for i := range members {
		g := r.group(i, members[i], zones[i])
		if g.layout == nil {
			unplaced = append(unplaced, members[i]...)
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
	return assemble(groups, w, m, opts), r.moves, nil
}

type replanner struct {
	old      Plan
	model    Model
	opts     Options
	net      topology
	assigned map[string]Assignment
	moves    []Move
	steps    int
}

// members divides the fleet's engines by the old plan's groups. The engines of
// a new zone join the group with the fastest links to it; a zone without links
// becomes a group of its own.
func (r *replanner) members(f Fleet) (members [][]Engine, zones [][]int) {
	members = make([][]Engine, len(r.old.Groups))
	zones = make([][]int, len(r.old.Groups))
	home := make([]int, len(r.net.zones))
	for z := range home {
		home[z] = -1
	}
	for i, g := range r.old.Groups {
		for _, name := range g.Zones {
			if z, known := r.net.index[name]; known {
				home[z] = i
				zones[i] = append(zones[i], z)
			}
		}
	}
	for z := range home {
		if home[z] < 0 {
			home[z] = r.nearest(z, zones)
		}
		if home[z] < 0 {
			home[z] = len(zones)
			zones = append(zones, nil)
			members = append(members, nil)
		}
		if !slices.Contains(zones[home[z]], z) {
			zones[home[z]] = append(zones[home[z]], z)
		}
	}
	for i := range zones {
		slices.Sort(zones[i])
	}
	for _, e := range f.Engines {
		i := home[r.net.index[e.Zone]]
		members[i] = append(members[i], e)
	}
	return members, zones
}

// nearest is the group with the fastest links to a zone, or -1.
func (r *replanner) nearest(zone int, zones [][]int) int {
	best, fastest := -1, 0.0
	for i := range zones {
		if rate := r.net.joining([]int{zone}, zones[i]); rate > fastest {
			best, fastest = i, rate
		}
	}
	return best
}

// replanAll replaces the whole plan, for the case that a group cannot hold the
// model any more and its engines have to join others.
func (r *replanner) replanAll(f Fleet, groups []*groupPlan) (Plan, []Move, error) {
	plan, err := MakePlan(f, r.model, r.opts)
	if err != nil {
		return Plan{}, nil, err
	}
	remaining := 0.0
	for _, g := range groups {
		remaining += g.routes.total
	}
	if len(groups) > 0 && plan.Flow <= remaining*regridGain {
		return assemble(groups, r.net, r.model, r.opts), r.moves, nil
	}
	kept := r.moves
	r.moves, r.steps = nil, 0
	engines := map[string]Engine{}
	classes := map[class]int{}
	for _, e := range f.Engines {
		engines[e.Name] = e
		if c := classOf(e, r.net); classes[c] == 0 {
			classes[c] = len(classes) + 1
		}
	}
	var wanted []Move
	for _, a := range plan.Assignments {
		if move := r.move(engines[a.Engine], Range{First: a.First, Limit: a.Limit}); move.From != move.To {
			move.Gain = a.Weight
			wanted = append(wanted, move)
		}
	}
	c := r.coverage(f.Engines)
	covered := c.tiles()
	left := r.emit(wanted, emission{
		coverage: c,
		class:    func(m Move) int { return classes[classOf(engines[m.Engine], r.net)] },
		gain:     func(Move) float64 { return 0 },
		done:     func(Move) {},
	})
	if covered && len(left) > 0 && len(groups) > 0 {
		return assemble(groups, r.net, r.model, r.opts), kept, nil
	}
	return plan, r.moves, nil
}

// group updates one group, with the old division of the layers unless a new
// one is much better.
func (r *replanner) group(index int, engines []Engine, zones []int) *groupPlan {
	p := newProblem(engines, r.model, r.opts, r.net, zones)
	if index >= len(r.old.Groups) {
		g := r.regrid(p, engines, zones)
		return cmp.Or(g, &groupPlan{zones: zones, engines: engines, target: p.target})
	}
	moves, steps := len(r.moves), r.steps
	g := r.incremental(p, engines, zones, index)
	if g.flowOf() >= regridBelow*p.target || len(engines) == 0 {
		return g
	}
	kept := slices.Clone(r.moves[moves:])
	r.moves, r.steps = r.moves[:moves], steps
	fresh := r.regrid(p, engines, zones)
	if fresh != nil && fresh.flowOf() > g.flowOf()*regridGain {
		return fresh
	}
	r.moves = append(r.moves[:moves], kept...)
	if len(kept) > 0 {
		r.steps = kept[len(kept)-1].Step
	}
	return g
}

// incremental keeps the division of the layers. It first moves engines between
// segments, then single layers between neighbouring segments.
func (r *replanner) incremental(p *problem, engines []Engine, zones []int, index int) *groupPlan {
	g := &groupPlan{zones: zones, engines: engines, target: p.target}
	bounds := r.old.Groups[index].Boundaries
	lengths := make([]int, len(bounds)-1)
	for s := range lengths {
		lengths[s] = bounds[s+1] - bounds[s]
	}
	l := p.empty(lengths)
	segment := r.oldSegments(l, engines, bounds)
	start := l.clone()
	l.hillClimbByBytes()
	wanted := l.match(engines, segment)
	left := r.emitSegments(start, engines, segment, wanted)
	for name, s := range left {
		if s >= 0 {
			wanted[name] = s
		} else {
			delete(wanted, name)
		}
	}
	l = start
	r.shiftBoundaries(l, engines, wanted)
	if l.slowest() > 0 {
		g.setLayout(l, wanted)
	}
	return g
}

// oldSegments places engines where the old plan has them and returns their segments.
func (r *replanner) oldSegments(l *layout, engines []Engine, bounds []int) map[string]int {
	segment := map[string]int{}
	for _, e := range engines {
		a, had := r.assigned[e.Name]
		s, found := slices.BinarySearch(bounds, a.First)
		if !had || !found || s == len(l.lengths) || bounds[s+1] != a.Limit {
			continue
		}
		if c := l.classIndex(classOf(e, l.net)); l.fits(c, s) {
			l.place(c, s)
			segment[e.Name] = s
		}
	}
	return segment
}

func (l *layout) clone() *layout {
	c := l.empty(l.lengths)
	copy(c.idle, l.idle)
	for i := range l.count {
		copy(c.count[i], l.count[i])
	}
	c.rebuild()
	return c
}

// hillClimbByBytes applies the changes with the highest gain per byte loaded. An
// idle engine is used for any gain, since it has to load something anyway.
func (l *layout) hillClimbByBytes() {
	cost := func(ch change) float64 {
		bytes := float64(l.lengths[ch.to])
		if ch.swap != noSwap {
			bytes += float64(l.lengths[ch.from])
		}
		return bytes
	}
	for range maxSteps {
		ch, gain := l.bestChange(cost, false)
		enough := moveGain
		if ch.from < 0 {
			enough = minGain
		}
		if ch.swap != noSwap {
			enough = 2 * moveGain
		}
		if gain < enough {
			return
		}
		l.apply(ch)
	}
}

// emitSegments orders the moves from old to wanted segments on one division of
// the layers. It applies them to the layout and returns the engines whose
// moves would uncover layers, with their old segment or -1.
func (r *replanner) emitSegments(l *layout, engines []Engine, old, wanted map[string]int) map[string]int {
	bounds := l.bounds()
	byName := map[string]Engine{}
	var moves []Move
	for _, e := range engines {
		byName[e.Name] = e
		s, placed := wanted[e.Name]
		if from, had := old[e.Name]; !placed || had && from == s {
			continue
		}
		moves = append(moves, r.move(e, Range{First: bounds[s], Limit: bounds[s+1]}))
	}
	class := func(m Move) int { return l.classIndex(classOf(byName[m.Engine], l.net)) }
	transfer := func(m Move, back bool) {
		c := class(m)
		from, had := old[m.Engine]
		if !had {
			from = -1
		}
		if back {
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
	rest := r.emit(moves, emission{
		coverage: r.coverage(engines), class: class, gain: gain, done: func(m Move) { transfer(m, false) },
	})
	l.rebuild()
	left := map[string]int{}
	for _, m := range rest {
		left[m.Engine] = -1
		if from, had := old[m.Engine]; had {
			left[m.Engine] = from
		}
	}
	return left
}

// shiftBoundaries moves single layers between neighbouring segments while that
// pays. All engines of both segments switch over together.
func (r *replanner) shiftBoundaries(l *layout, engines []Engine, segment map[string]int) {
	for range maxSteps {
		ch, gain := l.bestShift()
		if gain < shiftGain {
			return
		}
		before := l.bounds()
		l.apply(ch)
		after := l.bounds()
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
				Bytes: int64(to.missingFrom(from)) * r.model.BytesPerLayer, Gain: gain * l.target,
			})
		}
	}
}

// bestShift is the shift between neighbours with the highest gain per engine that loads a layer.
func (l *layout) bestShift() (change, float64) {
	now := l.shortfall()
	var best change
	bestGain, bestRatio := 0.0, 0.0
	l.eachShift(func(ch change) {
		if ch.from-ch.to != 1 && ch.to-ch.from != 1 {
			return
		}
		l.apply(ch)
		gain := now - l.shortfall()
		l.apply(ch.inverse())
		loads := 0
		for c := range l.classes {
			loads += l.count[c][ch.to]
		}
		if ratio := gain / float64(max(1, loads)); ratio > bestRatio {
			best, bestGain, bestRatio = ch, gain, ratio
		}
	})
	return best, bestGain
}

// regrid plans the group from nothing. It returns nil if the change-over cannot
// keep the layers covered.
func (r *replanner) regrid(p *problem, engines []Engine, zones []int) *groupPlan {
	l := p.best()
	if l == nil {
		return nil
	}
	g := &groupPlan{zones: zones, engines: engines, target: p.target}
	g.setLayout(l, nil)
	if g.layout == nil {
		return nil
	}
	arrived := l.empty(l.lengths)
	bounds := l.bounds()
	byName := map[string]Engine{}
	var moves []Move
	for _, e := range engines {
		byName[e.Name] = e
		if s, placed := g.segment[e.Name]; placed {
			moves = append(moves, r.move(e, Range{First: bounds[s], Limit: bounds[s+1]}))
		}
	}
	class := func(m Move) int { return l.classIndex(classOf(byName[m.Engine], l.net)) }
	gain := func(m Move) float64 {
		before := arrived.shortfall()
		arrived.add(class(m), g.segment[m.Engine], 1)
		after := arrived.shortfall()
		arrived.add(class(m), g.segment[m.Engine], -1)
		return (before - after) * l.target
	}
	c := r.coverage(engines)
	covered := c.tiles()
	rest := r.emit(moves, emission{
		coverage: c, class: class, gain: gain, done: func(m Move) { arrived.place(class(m), g.segment[m.Engine]) },
	})
	if covered && len(rest) > 0 {
		return nil
	}
	return g
}

// move describes the change of an engine from its old range.
func (r *replanner) move(e Engine, to Range) Move {
	m := Move{Engine: e.Name, To: to}
	if a, had := r.assigned[e.Name]; had {
		m.From = Range{First: a.First, Limit: a.Limit}
	}
	missing := to.missingFrom(m.From)
	m.Bytes = int64(missing) * r.model.BytesPerLayer
	m.KeepsOld = m.From.layers()+missing <= maxLayers(e, r.model)
	return m
}

// emission is what emit needs to know about moves.
type emission struct {
	coverage *coverage
	// class is a number that moves of interchangeable engines share.
	class func(Move) int
	// gain is the capacity that a move adds now, done makes the move.
	gain func(Move) float64
	done func(Move)
}

// emit appends moves in the order of gain per byte, each only when the layers
// stay covered, and returns the moves that cannot be made. If the layers were
// not covered at the start, every move is allowed, because holding moves back
// for a chance mixture of old and new ranges would delay the new plan.
func (r *replanner) emit(moves []Move, e emission) []Move {
	covered := e.coverage.tiles()
	for len(moves) > 0 {
		best := e.best(moves, covered)
		if best < 0 {
			return moves
		}
		m := moves[best]
		moves = slices.Delete(moves, best, best+1)
		e.coverage.finish(m)
		e.done(m)
		if m.From != m.To {
			r.steps++
			m.Step = r.steps
			r.moves = append(r.moves, m)
		}
	}
	return nil
}

// best is the index of the safe move with the most gain per byte, or -1. Moves
// of the same class between the same ranges are judged once, since a zone that
// returns brings hundreds of them.
func (e emission) best(moves []Move, covered bool) int {
	type likeness struct {
		class    int
		from, to Range
	}
	judged := map[likeness]bool{}
	best, bestRatio := -1, 0.0
	for i, m := range moves {
		key := likeness{class: e.class(m), from: m.From, to: m.To}
		if judged[key] {
			continue
		}
		judged[key] = true
		if covered && !e.coverage.safe(m) {
			continue
		}
		gain := cmp.Or(e.gain(m), m.Gain)
		if ratio := gain / float64(max(1, m.Bytes)); best < 0 || ratio > bestRatio {
			best, bestRatio = i, ratio
			moves[i].Gain = gain
		}
	}
	return best
}

// coverage counts the engines that serve each range.
type coverage struct {
	layers int
	ranges map[Range]int
}

// coverage is that of the old plan with the engines that are left.
func (r *replanner) coverage(engines []Engine) *coverage {
	c := &coverage{layers: r.model.Layers, ranges: map[Range]int{}}
	for _, e := range engines {
		if a, had := r.assigned[e.Name]; had {
			c.ranges[Range{First: a.First, Limit: a.Limit}]++
		}
	}
	return c
}

func (c *coverage) tiles() bool {
	ranges := make([]Range, 0, len(c.ranges))
	for r, n := range c.ranges {
		if n > 0 {
			ranges = append(ranges, r)
		}
	}
	return checkTiling(ranges, c.layers) == nil
}

// safe tells whether a move leaves the layers covered while it runs and when
// it has ended, given that they are covered now.
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

func (c *coverage) tilesWithout(r Range) bool {
	c.ranges[r]--
	defer func() { c.ranges[r]++ }()
	return c.tiles()
}

func (c *coverage) finish(m Move) {
	if m.From.layers() > 0 {
		c.ranges[m.From]--
	}
	c.ranges[m.To]++
}
