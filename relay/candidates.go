package relay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/pipeline"
)

const (
	// maxSearchedEngines is the number of engines among which a path is searched. The
	// time of a search grows with them, and every request needs one.
	maxSearchedEngines = 320
	// sampledEngines is the number of engines among which a path is searched if a model
	// has more: a few chains of each zone and speed.
	sampledEngines = 160
	// fullSearchInterval is the shortest time between two searches among all engines of
	// such a model. Under overload, waiting requests search many times a second.
	fullSearchInterval = 250 * time.Millisecond
	// speedClassRatio is the ratio of the step factors at which two engines are in
	// different classes of speed.
	speedClassRatio = 3.0
)

// enginePart is what decides how an engine is combined with others.
type enginePart struct {
	id, zone     string
	stepFactor   float64
	first, limit int
	// class is the class of speed, 0 for the fastest.
	class int
}

// engineGroups are the engines of a model, in chains whose ranges follow each other
// where there are such chains. Chains of the same zone and speed are in one stratum.
//
// They answer a fleet of thousands of engines under steady load: each request compares
// a few random chains of every zone and speed, so that the work of an entry does not
// grow with the fleet, and no entry prefers the same engines as another.
type engineGroups struct {
	strata [][][]string
	// holders are the engines that hold each layer.
	holders [][]string
	// stepFactors are those of the kinds of accelerators from which the groups were made.
	stepFactors map[string]float64
}

// stratum identifies the chains that are alternatives to each other.
type stratum struct {
	zone  string
	class int
}

// groupEngines divides engines into groups.
func groupEngines(parts []enginePart) *engineGroups {
	setClasses(parts)
	slices.SortFunc(parts, func(a, b enginePart) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.class, b.class), cmp.Compare(a.zone, b.zone), cmp.Compare(a.id, b.id))
	})
	groups, index := &engineGroups{}, map[stratum]int{}
	for _, chain := range makeChains(parts) {
		key := parts[chain[0]].stratum()
		at, known := index[key]
		if !known {
			at = len(groups.strata)
			index[key] = at
			groups.strata = append(groups.strata, nil)
		}
		ids := make([]string, 0, len(chain))
		for _, i := range chain {
			ids = append(ids, parts[i].id)
		}
		groups.strata[at] = append(groups.strata[at], ids)
	}
	for _, e := range parts {
		for len(groups.holders) < e.limit {
			groups.holders = append(groups.holders, nil)
		}
		for l := max(e.first, 0); l < e.limit; l++ {
			groups.holders[l] = append(groups.holders[l], e.id)
		}
	}
	return groups
}

func (e enginePart) stratum() stratum { return stratum{e.zone, e.class} }

// chainMaker joins engines of which one begins where the other ends.
type chainMaker struct {
	parts []enginePart
	used  []bool
	// byFirst holds the engines that begin at a layer, those of a stratum and all.
	byFirst    map[firstKey][]int
	byFirstAny map[int][]int
}

type firstKey struct {
	stratum
	first int
}

// makeChains joins engines to chains, within a zone and class of speed first, then
// across them. Each engine is in one chain.
func makeChains(parts []enginePart) (chains [][]int) {
	m := &chainMaker{parts: parts, used: make([]bool, len(parts)), byFirst: map[firstKey][]int{}, byFirstAny: map[int][]int{}}
	for i, e := range parts {
		key := firstKey{e.stratum(), e.first}
		m.byFirst[key] = append(m.byFirst[key], i)
		m.byFirstAny[e.first] = append(m.byFirstAny[e.first], i)
	}
	for i, head := range parts {
		if head.first == 0 {
			m.used[i] = true
			chains = append(chains, m.extend([]int{i}, m.nextOfStratum))
		}
	}
	for c := range chains {
		chains[c] = m.extend(chains[c], m.nextOfAny)
	}
	for i := range parts {
		if !m.used[i] {
			m.used[i] = true
			chains = append(chains, m.extend([]int{i}, m.nextOfAny))
		}
	}
	return chains
}

// extend appends engines to a chain as long as there is a next one.
func (m *chainMaker) extend(chain []int, next func(last enginePart) (int, bool)) []int {
	for {
		i, found := next(m.parts[chain[len(chain)-1]])
		if !found {
			return chain
		}
		m.used[i] = true
		chain = append(chain, i)
	}
}

// nextOfStratum returns an unused engine of the same zone and class that begins where
// one ends.
func (m *chainMaker) nextOfStratum(last enginePart) (int, bool) {
	key := firstKey{last.stratum(), last.limit}
	m.byFirst[key] = m.dropUsed(m.byFirst[key])
	if len(m.byFirst[key]) == 0 {
		return 0, false
	}
	return m.byFirst[key][0], true
}

// nextOfAny returns an unused engine that begins where one ends.
func (m *chainMaker) nextOfAny(last enginePart) (int, bool) {
	m.byFirstAny[last.limit] = m.dropUsed(m.byFirstAny[last.limit])
	if len(m.byFirstAny[last.limit]) == 0 {
		return 0, false
	}
	return m.byFirstAny[last.limit][0], true
}

// dropUsed removes the used engines at the begin of a list, so that none is looked at
// again.
func (m *chainMaker) dropUsed(list []int) []int {
	for len(list) > 0 && m.used[list[0]] {
		list = list[1:]
	}
	return list
}

// sample returns at least n engines, if there are as many: random groups, from each
// stratum in turn, beginning with a random one.
func (g *engineGroups) sample(random *rand.Rand, n int) []string {
	sampled := make([]string, 0, n+n/4)
	if len(g.strata) == 0 {
		return sampled
	}
	// Each stratum is read in order from a random place on.
	starts, taken := make([]int, len(g.strata)), make([]int, len(g.strata))
	for s, groups := range g.strata {
		starts[s] = random.IntN(len(groups))
	}
	first := random.IntN(len(g.strata))
	for exhausted, turn := 0, 0; len(sampled) < n && exhausted < len(g.strata); turn++ {
		s := (first + turn) % len(g.strata)
		groups := g.strata[s]
		if taken[s] == len(groups) {
			exhausted++
			continue
		}
		exhausted = 0
		sampled = append(sampled, groups[(starts[s]+taken[s])%len(groups)]...)
		taken[s]++
	}
	return sampled
}

// setClasses groups engines by speed: those of class n are speedClassRatio to the power of
// n times slower than the fastest, or up to speedClassRatio times slower than that.
func setClasses(parts []enginePart) {
	fastest := math.Inf(1)
	for _, e := range parts {
		fastest = min(fastest, e.stepFactor)
	}
	for i := range parts {
		parts[i].class = int(math.Log(parts[i].stepFactor/fastest) / math.Log(speedClassRatio))
	}
}

// findSampledPath searches a random sample of a model's engines, then a larger one, then
// all of them. The last is done at most once in fullSearchInterval: under overload many
// requests wait for a path and search for it again and again.
func (f *fleet) findSampledPath(now time.Time, rev *revision, model string, r pipeline.RelayRequest) ([]pipeline.Hop, time.Duration, error) {
	finder, links := rev.finders[model], f.links(now, rev)
	for _, n := range []int{sampledEngines, maxSearchedEngines} {
		hops, expected, err := finder.Find(f.sampleEngines(now, rev, model, n, r), links, r)
		if err == nil || n == maxSearchedEngines && !f.maySearchAll(now, model, r) {
			return hops, expected, err
		}
	}
	return finder.Find(f.engines(now, rev, model), links, r)
}

// sampleEngines returns about n engines of a model that may receive requests, and those
// of the request's current path. Each layer that some engine holds is held by one of
// them.
func (f *fleet) sampleEngines(now time.Time, rev *revision, model string, n int, r pipeline.RelayRequest) []pipeline.RelayEngine {
	groups := f.engineGroups(rev, model)
	s := engineSample{fleet: f, now: now, rev: rev, model: model, tried: make(map[string]bool, n), held: make([]int, len(groups.holders))}
	for _, id := range groups.sample(f.random, n) {
		s.add(id)
	}
	for _, h := range r.CurrentPath {
		s.add(h.Engine)
	}
	for layer, holders := range groups.holders {
		s.complete(layer, holders)
	}
	return s.engines
}

// minHolders is the number of engines of a sample that hold a layer at least, if there
// are as many.
const minHolders = 4

// engineSample is a sample of a model's engines that is being made.
type engineSample struct {
	fleet   *fleet
	now     time.Time
	rev     *revision
	model   string
	tried   map[string]bool
	engines []pipeline.RelayEngine
	// held counts the engines that hold each layer.
	held []int
}

// add adds an engine if it may receive requests.
func (s *engineSample) add(id string) {
	if s.tried[id] {
		return
	}
	s.tried[id] = true
	if !s.fleet.membership.Accepts(s.now, id) {
		return
	}
	e, usable := s.fleet.pathEngine(s.now, s.rev, s.model, id)
	if !usable {
		return
	}
	s.engines = append(s.engines, e)
	for l := max(e.First, 0); l < min(e.Limit, len(s.held)); l++ {
		s.held[l]++
	}
}

// complete adds holders of a layer of which the sample has few. After the loss of most
// of a layer's engines, random chains would often miss those that are left.
func (s *engineSample) complete(layer int, holders []string) {
	if s.held[layer] >= minHolders || len(holders) == 0 {
		return
	}
	start := s.fleet.random.IntN(len(holders))
	for i := range holders {
		if s.held[layer] >= minHolders {
			return
		}
		s.add(holders[(start+i)%len(holders)])
	}
}

// engineGroups returns the groups of a model's engines. They are made again after a
// change of the engines, of their layers or of the speeds of accelerators.
func (f *fleet) engineGroups(rev *revision, model string) *engineGroups {
	if g := f.groups[model]; g != nil && g.madeFor(rev) {
		return g
	}
	var parts []enginePart
	for _, id := range f.byService[model] {
		s := f.servers[id]
		accelerator := rev.accelerators[s.Accelerator]
		if accelerator == nil || s.Layers.Limit <= s.Layers.First {
			continue
		}
		parts = append(parts, enginePart{
			id: id, zone: s.Zone, stepFactor: factorOrOne(accelerator.StepFactor), first: s.Layers.First, limit: s.Layers.Limit,
		})
	}
	g := groupEngines(parts)
	g.stepFactors = make(map[string]float64, len(rev.accelerators))
	for kind, accelerator := range rev.accelerators {
		g.stepFactors[kind] = accelerator.StepFactor
	}
	f.groups[model] = g
	return g
}

// madeFor reports whether the groups are still right for a revision of the
// configuration.
func (g *engineGroups) madeFor(rev *revision) bool {
	if len(g.stepFactors) != len(rev.accelerators) {
		return false
	}
	for kind, accelerator := range rev.accelerators {
		if factor, known := g.stepFactors[kind]; !known || factor != accelerator.StepFactor {
			return false
		}
	}
	return true
}

// maySearchAll reports whether all engines of a model with very many may be searched now,
// after there was no path among a sample. Requests that have started and others do not
// take it from each other.
func (f *fleet) maySearchAll(now time.Time, model string, r pipeline.RelayRequest) bool {
	key := searchKey{model, r.AnswerStarted || len(r.CurrentPath) > 0}
	if now.Sub(f.searchedAll[key]) < fullSearchInterval {
		return false
	}
	f.searchedAll[key] = now
	return true
}

// searchKey identifies the requests that share the searches among all engines.
type searchKey struct {
	model   string
	started bool
}

// samePlace reports whether two records of a server mean the same for the groups of
// engines.
func samePlace(a, b Server) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Zone == b.Zone && a.Accelerator == b.Accelerator && a.Layers == b.Layers
}
