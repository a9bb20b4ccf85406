package placement

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// Plan states which layers each engine serves.
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
	// Boundaries are the first layers of the group's segments, followed by the number
	// of layers.
	Boundaries []int   `json:"bounds"`
	Flow       float64 `json:"flow"`
}

// Assignment is the layer range of one engine.
type Assignment struct {
	Engine string `json:"engine"`
	Zone   string `json:"zone"`
	// Group is the index of the engine's group in Plan.Groups.
	Group int `json:"group"`
	// The engine serves the layers [First, Limit).
	First int `json:"first"`
	Limit int `json:"limit"`
	// Capacity is the rate that the engine can sustain, and Weight is its share of
	// the flow, both in tokens/s.
	Capacity float64 `json:"capacity"`
	Weight   float64 `json:"weight"`
}

// minWeightRatio is the least weight of an engine relative to its capacity. An
// engine that the flow does not need still receives some requests, so that it is
// warmed up when it has to replace another.
const minWeightRatio = 0.01

// ErrInsufficientMemory is returned if the engines cannot hold all layers of the model.
var ErrInsufficientMemory = errors.New("the engines cannot hold all layers of the model")

// MakePlan assigns layer ranges to the fleet's engines. It divides the zones
// into groups and plans each group separately: a few hundred engines are enough
// for a flow near the bound, and small groups are planned faster and keep traffic
// off slow links. Two groups are joined if that raises the flow.
func MakePlan(f Fleet, m Model, opts Options) (Plan, error) {
	if err := m.validate(); err != nil {
		return Plan{}, err
	}
	topo := newTopology(f, m)
	byZone := map[int][]Engine{}
	for _, e := range f.Engines {
		z := topo.index[e.Zone]
		byZone[z] = append(byZone[z], e)
	}
	var groups []*groupPlan
	for z := range topo.zones {
		groups = append(groups, planGroup(byZone[z], m, opts, topo, []int{z}))
	}
	groups = joinGroups(groups, m, opts, topo)
	groups = slices.DeleteFunc(groups, func(g *groupPlan) bool { return g.layout == nil })
	if len(groups) == 0 {
		return Plan{}, ErrInsufficientMemory
	}
	return assemble(groups, topo, m, opts), nil
}

// groupPlan is a group of zones with its engines and layout. The layout is nil if
// the engines cannot serve the model.
type groupPlan struct {
	zones    []int
	engines  []Engine
	layout   *layout
	solution flowSolution
	target   float64
	// segment is the segment of each engine, by engine name.
	segment map[string]int
}

// planGroup plans a group of zones from scratch.
func planGroup(engines []Engine, m Model, opts Options, topo topology, zones []int) *groupPlan {
	p := newProblem(engines, m, opts, topo, zones)
	g := &groupPlan{zones: zones, engines: engines, target: p.target}
	g.setLayout(p.bestLayout(), nil)
	return g
}

// setLayout sets the layout, its flow and the engines' segments. Engines keep
// their old segment where the layout allows it. A layout without flow is ignored.
func (g *groupPlan) setLayout(l *layout, old map[string]int) {
	if l == nil {
		return
	}
	r, err := l.solveMaxFlow()
	if err != nil || r.total <= 0 {
		return
	}
	g.layout, g.solution = l, r
	g.segment = l.assignEngines(g.engines, old)
}

// assignEngines assigns engines to segments according to the counts of the layout.
// Engines keep their old segment where possible; idle engines have no entry.
func (l *layout) assignEngines(engines []Engine, old map[string]int) map[string]int {
	open := make([][]int, len(l.classes))
	for c := range l.classes {
		open[c] = slices.Clone(l.count[c])
	}
	segment := make(map[string]int, len(engines))
	var unmatched []Engine
	for _, e := range engines {
		c := l.classIndex(classOf(e, l.topo))
		s, known := old[e.Name]
		if known && open[c][s] > 0 {
			open[c][s]--
			segment[e.Name] = s
		} else {
			unmatched = append(unmatched, e)
		}
	}
	for _, e := range unmatched {
		c := l.classIndex(classOf(e, l.topo))
		for s := range open[c] {
			if open[c][s] > 0 {
				open[c][s]--
				segment[e.Name] = s
				break
			}
		}
	}
	return segment
}

// flow returns the group's flow, or 0 if the group cannot serve the model.
func (g *groupPlan) flow() float64 {
	if g.layout == nil {
		return 0
	}
	return g.solution.total
}

// worstEngineLoss returns the most flow that the group loses with any one engine.
func (g *groupPlan) worstEngineLoss() float64 {
	if g.layout == nil {
		return 0
	}
	return min(g.solution.total, g.layout.worstEngineLoss())
}

// score returns the group's flow less a penalty for its dependence on one engine.
func (g *groupPlan) score() float64 {
	return g.flow() - lossPenalty*g.worstEngineLoss()
}

// nearBoundFraction is the fraction of its own bound above which a group's score
// can hardly improve. Two such groups are not joined. A group of about 60 engines
// reaches it alone, which keeps planning for large fleets fast.
const nearBoundFraction = 0.985

// joinGroups joins pairs of groups, those with the fastest links first, while
// the joint plan scores higher than the two separate plans.
func joinGroups(groups []*groupPlan, m Model, opts Options, topo topology) []*groupPlan {
	tried := map[[2]*groupPlan]bool{}
	for {
		a, b := nextUntriedPair(groups, tried, topo)
		if a < 0 {
			return groups
		}
		first, second := groups[a], groups[b]
		tried[[2]*groupPlan{first, second}] = true
		zones := append(slices.Clone(first.zones), second.zones...)
		slices.Sort(zones)
		joint := planGroup(append(slices.Clone(first.engines), second.engines...), m, opts, topo, zones)
		if joint.score() > (first.flow()+second.flow()-lossPenalty*max(first.worstEngineLoss(), second.worstEngineLoss()))*1.001 {
			groups[a] = joint
			groups = slices.Delete(groups, b, b+1)
		}
	}
}

// nextUntriedPair returns the untried pair of groups with the highest total rate of
// the links between them, or -1 for both if there is none.
func nextUntriedPair(groups []*groupPlan, tried map[[2]*groupPlan]bool, topo topology) (int, int) {
	a, b, fastest := -1, -1, 0.0
	for i, g := range groups {
		for j := i + 1; j < len(groups); j++ {
			h := groups[j]
			bothNearBound := g.score() > nearBoundFraction*g.target && h.score() > nearBoundFraction*h.target
			if bothNearBound || tried[[2]*groupPlan{g, h}] {
				continue
			}
			if rate := topo.linkRateBetween(g.zones, h.zones); rate > fastest {
				a, b, fastest = i, j, rate
			}
		}
	}
	return a, b
}

// linkRateBetween returns the total rate of the links between two sets of zones, in
// both directions.
func (t topology) linkRateBetween(a, b []int) float64 {
	total := 0.0
	for _, i := range a {
		for _, j := range b {
			total += t.rate[i][j] + t.rate[j][i]
		}
	}
	return total
}

// assemble returns the plan that consists of the groups' plans.
func assemble(groups []*groupPlan, topo topology, m Model, opts Options) Plan {
	plan := Plan{}
	for i, g := range groups {
		boundaries := g.layout.boundaries()
		plan.Flow += g.solution.total
		plan.Groups = append(plan.Groups, Group{Zones: topo.zoneNames(g.zones), Boundaries: boundaries, Flow: g.solution.total})
		for _, e := range g.engines {
			s, placed := g.segment[e.Name]
			if !placed {
				continue
			}
			capacity := Capacity(e, m, opts, g.layout.lengths[s])
			zone := topo.index[e.Zone]
			share := g.solution.through[s][zone] / g.layout.zoneCapacity[s][zone]
			plan.Assignments = append(plan.Assignments, Assignment{
				Engine: e.Name, Zone: e.Zone, Group: i, First: boundaries[s], Limit: boundaries[s+1],
				Capacity: capacity, Weight: capacity * max(share, minWeightRatio),
			})
		}
	}
	slices.SortFunc(plan.Assignments, func(a, b Assignment) int { return cmp.Compare(a.Engine, b.Engine) })
	return plan
}

func (t topology) zoneNames(zones []int) []string {
	names := make([]string, len(zones))
	for i, z := range zones {
		names[i] = t.zones[z]
	}
	return names
}

// CheckTiling returns nil if some sequence of the plan's ranges covers all layers
// in order, each range beginning where the previous one ends.
func (p Plan) CheckTiling(layers int) error {
	ranges := make([]Range, len(p.Assignments))
	for i, a := range p.Assignments {
		ranges[i] = Range{First: a.First, Limit: a.Limit}
	}
	return checkTiling(ranges, layers)
}

// Range is the range of layers [First, Limit). The zero Range is empty.
type Range struct {
	First int `json:"first"`
	Limit int `json:"limit"`
}

func (r Range) layers() int { return r.Limit - r.First }

// layersNotIn returns the number of layers of r that are not in held.
func (r Range) layersNotIn(held Range) int {
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
