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
	// such a model for requests that have not started. Under overload, waiting requests
	// search many times a second.
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
}

// groupEngines divides engines into groups.
func groupEngines(parts []enginePart) *engineGroups {
	setClasses(parts)
	slices.SortFunc(parts, func(a, b enginePart) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.class, b.class), cmp.Compare(a.zone, b.zone), cmp.Compare(a.id, b.id))
	})
	byFirst := map[int][]int{}
	for i, e := range parts {
		byFirst[e.first] = append(byFirst[e.first], i)
	}
	type stratum struct {
		zone  string
		class int
	}
	var chains [][]int
	used := make([]bool, len(parts))
	for i, head := range parts {
		if !used[i] && head.first == 0 {
			chains = append(chains, extendChain([]int{i}, parts, byFirst, used, sameZoneAndClass))
		}
	}
	for c := range chains {
		chains[c] = extendChain(chains[c], parts, byFirst, used, anyPart)
	}
	for i := range parts {
		if !used[i] {
			chains = append(chains, extendChain([]int{i}, parts, byFirst, used, anyPart))
		}
	}
	index := map[stratum]int{}
	groups := &engineGroups{}
	for _, chain := range chains {
		head := parts[chain[0]]
		key := stratum{head.zone, head.class}
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
	return groups
}

// Which engines may follow each other in a chain.
func sameZoneAndClass(before, next enginePart) bool {
	return before.zone == next.zone && before.class == next.class
}
func anyPart(_, _ enginePart) bool { return true }

// extendChain appends unused engines to a chain as long as one begins where the last one
// ends, and marks the chain's engines as used.
func extendChain(chain []int, parts []enginePart, byFirst map[int][]int, used []bool, fits func(before, next enginePart) bool) []int {
	for _, i := range chain {
		used[i] = true
	}
	for {
		last := parts[chain[len(chain)-1]]
		next := slices.IndexFunc(byFirst[last.limit], func(i int) bool { return !used[i] && fits(last, parts[i]) })
		if next < 0 {
			return chain
		}
		i := byFirst[last.limit][next]
		used[i] = true
		chain = append(chain, i)
	}
}

// sample returns at least n engines, if there are as many: random groups, from each
// stratum in turn.
func (g *engineGroups) sample(random *rand.Rand, n int) []string {
	sampled := make([]string, 0, n+n/4)
	taken := make([]map[int]bool, len(g.strata))
	for exhausted := 0; len(sampled) < n && exhausted < len(g.strata); {
		exhausted = 0
		for s, groups := range g.strata {
			if len(taken[s]) == len(groups) {
				exhausted++
				continue
			}
			if taken[s] == nil {
				taken[s] = map[int]bool{}
			}
			i := random.IntN(len(groups))
			for taken[s][i] {
				i = (i + 1) % len(groups)
			}
			taken[s][i] = true
			sampled = append(sampled, groups[i]...)
		}
	}
	return sampled
}

// setClasses sets the class of speed of each engine, by its step factor relative to the
// fastest. So engines that placement puts into one chain are in one class.
func setClasses(parts []enginePart) {
	fastest := math.Inf(1)
	for _, e := range parts {
		fastest = min(fastest, e.stepFactor)
	}
	for i := range parts {
		parts[i].class = int(math.Log(parts[i].stepFactor/fastest) / math.Log(speedClassRatio))
	}
}

// sampleEngines returns some engines of a model with very many that may receive requests,
// and those of the request's current path.
func (f *fleet) sampleEngines(now time.Time, rev *revision, model string, r pipeline.RelayRequest) []pipeline.RelayEngine {
	ids := f.engineGroups(rev, model).sample(f.random, sampledEngines)
	for _, h := range r.CurrentPath {
		if !slices.Contains(ids, h.Engine) {
			ids = append(ids, h.Engine)
		}
	}
	engines := make([]pipeline.RelayEngine, 0, len(ids))
	for _, id := range ids {
		if !f.membership.Accepts(now, id) {
			continue
		}
		if e, usable := f.pathEngine(now, rev, model, id); usable {
			engines = append(engines, e)
		}
	}
	return engines
}

// engineGroups returns the groups of a model's engines. They are made again after a
// change of the engines or of their layers.
func (f *fleet) engineGroups(rev *revision, model string) *engineGroups {
	if g := f.groups[model]; g != nil {
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
	f.groups[model] = groupEngines(parts)
	return f.groups[model]
}

// maySearchAll reports whether a request may be searched a path for among all engines
// of a model with very many, after there was none among a sample.
func (f *fleet) maySearchAll(now time.Time, model string, r pipeline.RelayRequest) bool {
	if r.AnswerStarted || len(r.CurrentPath) > 0 {
		return true
	}
	if now.Sub(f.searchedAll[model]) < fullSearchInterval {
		return false
	}
	f.searchedAll[model] = now
	return true
}

// samePlace reports whether two records of a server mean the same for the groups of
// engines.
func samePlace(a, b Server) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Zone == b.Zone && a.Accelerator == b.Accelerator && a.Layers == b.Layers
}
