package placement

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// Plan says which layers each engine serves.
type Plan struct {
	// Flow is the maximum flow of the plan in tokens/s.
	Flow   float64 `json:"flow"`
	Groups []Group `json:"groups"`
	// Assignments are sorted by engine.
	Assignments []Assignment `json:"assignments"`
}

// Group is a set of zones that share one division of the layers.
type Group struct {
	Zones []string `json:"zones"`
	// Boundaries are the first layers of the group's segments, then the number of layers.
	Boundaries []int   `json:"bounds"`
	Flow       float64 `json:"flow"`
}

// Assignment is the range of one engine.
type Assignment struct {
	Engine string `json:"engine"`
	Zone   string `json:"zone"`
	// Group is the index of the engine's group.
	Group int `json:"group"`
	// First and Limit bound the layers [First, Limit).
	First int `json:"first"`
	Limit int `json:"limit"`
	// Capacity is what the engine can sustain, Weight the part of the flow
	// that runs through it, both in tokens/s.
	Capacity float64 `json:"capacity"`
	Weight   float64 `json:"weight"`
}

// spareWeight is the least weight of an engine relative to its capacity. An
// engine that the flow does not need still takes some requests, so that it is
// warm when it has to replace another.
const spareWeight = 0.01

// ErrInsufficientMemory says that the engines cannot hold all layers of the model.
var ErrInsufficientMemory = errors.New("the engines cannot hold all layers of the model")

// MakePlan assigns layer ranges to the fleet's engines. It divides the zones
// into groups and plans each group for itself: a group needs only a few
// hundred engines for a flow near the bound, and plans for small groups are
// faster and keep traffic off slow links. Two groups are joined when the joint
// plan has a higher flow.
func MakePlan(f Fleet, m Model, opts Options) (Plan, error) {
	if err := m.validate(); err != nil {
		return Plan{}, err
	}
	w := newTopology(f, m)
	byZone := map[int][]Engine{}
	for _, e := range f.Engines {
		z := w.index[e.Zone]
		byZone[z] = append(byZone[z], e)
	}
	var groups []*groupPlan
	for z := range w.zones {
		groups = append(groups, planGroup(byZone[z], m, opts, w, []int{z}))
	}
	groups = joinGroups(groups, m, opts, w)
	groups = slices.DeleteFunc(groups, func(g *groupPlan) bool { return g.layout == nil })
	if len(groups) == 0 {
		return Plan{}, ErrInsufficientMemory
	}
	return assemble(groups, w, m, opts), nil
}

// groupPlan is a group with its engines and layout; the layout is nil when the
// engines cannot hold the model.
type groupPlan struct {
	zones   []int
	engines []Engine
	layout  *layout
	routes  routes
	target  float64
	// segment is the segment of each engine by name.
	segment map[string]int
}

func planGroup(engines []Engine, m Model, opts Options, w topology, zones []int) *groupPlan {
	p := newProblem(engines, m, opts, w, zones)
	g := &groupPlan{zones: zones, engines: engines, target: p.target}
	g.setLayout(p.best(), nil)
	return g
}

// setLayout takes a layout, its flow, and the engines' segments, keeping engines
// in the segment that old names where the layout allows it.
func (g *groupPlan) setLayout(l *layout, old map[string]int) {
	if l == nil {
		return
	}
	r, err := l.routes()
	if err != nil || r.total <= 0 {
		return
	}
	g.layout, g.routes = l, r
	g.segment = l.match(g.engines, old)
}

// match gives each engine a segment so that the counts of the layout hold.
func (l *layout) match(engines []Engine, old map[string]int) map[string]int {
	room := make([][]int, len(l.classes))
	for c := range l.classes {
		room[c] = slices.Clone(l.count[c])
	}
	segment := make(map[string]int, len(engines))
	var rest []Engine
	for _, e := range engines {
		c := l.classIndex(classOf(e, l.net))
		s, had := old[e.Name]
		if had && room[c][s] > 0 {
			room[c][s]--
			segment[e.Name] = s
		} else {
			rest = append(rest, e)
		}
	}
	for _, e := range rest {
		c := l.classIndex(classOf(e, l.net))
		for s := range room[c] {
			if room[c][s] > 0 {
				room[c][s]--
				segment[e.Name] = s
				break
			}
		}
	}
	return segment
}

// flowOf is the group's flow; 0 if it cannot serve.
func (g *groupPlan) flowOf() float64 {
	if g.layout == nil {
		return 0
	}
	return g.routes.total
}

// worstLoss is the most flow that the group loses with one engine.
func (g *groupPlan) worstLoss() float64 {
	if g.layout == nil {
		return 0
	}
	return min(g.routes.total, g.layout.worstLoss())
}

// value is the group's flow less the weighted loss of its worst engine.
func (g *groupPlan) value() float64 {
	return g.flowOf() - lossWeight*g.worstLoss()
}

// fullEnough is the fraction of a group's own bound above which the value of
// both groups makes joining them pointless. A group of about 60 engines gets
// there alone, which keeps plans for large fleets fast.
const fullEnough = 0.985

// joinGroups joins pairs of groups, those with the fastest links first, while
// the joint plan has a higher flow than the two plans together.
func joinGroups(groups []*groupPlan, m Model, opts Options, w topology) []*groupPlan {
	tried := map[[2]*groupPlan]bool{}
	for {
		a, b := nextPair(groups, tried, w)
		if a < 0 {
			return groups
		}
		first, second := groups[a], groups[b]
		tried[[2]*groupPlan{first, second}] = true
		zones := append(slices.Clone(first.zones), second.zones...)
		slices.Sort(zones)
		joint := planGroup(append(slices.Clone(first.engines), second.engines...), m, opts, w, zones)
		if joint.value() > (first.flowOf()+second.flowOf()-lossWeight*max(first.worstLoss(), second.worstLoss()))*1.001 {
			groups[a] = joint
			groups = slices.Delete(groups, b, b+1)
		}
	}
}

// nextPair is the untried pair with the fastest link in its slower direction.
func nextPair(groups []*groupPlan, tried map[[2]*groupPlan]bool, w topology) (int, int) {
	a, b, fastest := -1, -1, 0.0
	for i, g := range groups {
		for j := i + 1; j < len(groups); j++ {
			h := groups[j]
			full := g.value() > fullEnough*g.target && h.value() > fullEnough*h.target
			if full || tried[[2]*groupPlan{g, h}] {
				continue
			}
			if rate := w.joining(g.zones, h.zones); rate > fastest {
				a, b, fastest = i, j, rate
			}
		}
	}
	return a, b
}

// joining is the rate of the links between two sets of zones, in the sum of both directions.
func (w topology) joining(a, b []int) float64 {
	total := 0.0
	for _, i := range a {
		for _, j := range b {
			total += w.rate[i][j] + w.rate[j][i]
		}
	}
	return total
}

func assemble(groups []*groupPlan, w topology, m Model, opts Options) Plan {
	plan := Plan{}
	for i, g := range groups {
		bounds := g.layout.bounds()
		plan.Flow += g.routes.total
		plan.Groups = append(plan.Groups, Group{Zones: w.names(g.zones), Boundaries: bounds, Flow: g.routes.total})
		for _, e := range g.engines {
			s, placed := g.segment[e.Name]
			if !placed {
				continue
			}
			capacity := Capacity(e, m, opts, g.layout.lengths[s])
			zone := w.index[e.Zone]
			share := g.routes.through[s][zone] / g.layout.flow[s][zone]
			plan.Assignments = append(plan.Assignments, Assignment{
				Engine: e.Name, Zone: e.Zone, Group: i, First: bounds[s], Limit: bounds[s+1],
				Capacity: capacity, Weight: capacity * max(share, spareWeight),
			})
		}
	}
	slices.SortFunc(plan.Assignments, func(a, b Assignment) int { return cmp.Compare(a.Engine, b.Engine) })
	return plan
}

func (w topology) names(zones []int) []string {
	names := make([]string, len(zones))
	for i, z := range zones {
		names[i] = w.zones[z]
	}
	return names
}

// CheckTiling returns nil if some sequence of the plan's ranges runs all layers in order.
func (p Plan) CheckTiling(layers int) error {
	ranges := make([]Range, len(p.Assignments))
	for i, a := range p.Assignments {
		ranges[i] = Range{First: a.First, Limit: a.Limit}
	}
	return checkTiling(ranges, layers)
}

// Range is the layers [First, Limit). The zero Range is empty.
type Range struct {
	First int `json:"first"`
	Limit int `json:"limit"`
}

func (r Range) layers() int { return r.Limit - r.First }

// missingFrom counts the layers of r that are not in held.
func (r Range) missingFrom(held Range) int {
	common := min(r.Limit, held.Limit) - max(r.First, held.First)
	return r.layers() - max(0, common)
}

func checkTiling(ranges []Range, layers int) error {
	reached := make([]bool, layers+1)
	reached[0] = true
	sorted := slices.Clone(ranges)
	slices.SortFunc(sorted, func(a, b Range) int { return cmp.Compare(a.First, b.First) })
	furthest := 0
	for _, r := range sorted {
		if r.First >= 0 && r.First < r.Limit && r.Limit <= layers && reached[r.First] {
			reached[r.Limit] = true
			furthest = max(furthest, r.Limit)
		}
	}
	if !reached[layers] {
		return errors.Errorf("ranges cover the layers from 0 only up to %d of %d", furthest, layers)
	}
	return nil
}
