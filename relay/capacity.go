package relay

import (
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

// reservation is load that counts against servers until it is released.
type reservation struct {
	fleet    *fleet
	held     map[string]usage
	released bool
}

func (f *fleet) reserve(held map[string]usage) *reservation {
	for id, u := range held {
		if f.local[id] == nil {
			f.local[id] = &usage{}
		}
		f.local[id].add(u, 1)
	}
	return &reservation{fleet: f, held: held}
}

func (r *reservation) release() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	for id, u := range r.held {
		r.fleet.local[id].add(u, -1)
		if r.fleet.local[id].requests == 0 {
			delete(r.fleet.local, id)
		}
	}
}

// choosePath selects a path for a team's request and reserves its capacity.
func (f *fleet) choosePath(now time.Time, rev *revision, model, team string, r pipeline.RelayRequest) ([]pipeline.Hop, *reservation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hops, expected, err := f.findPath(now, rev, model, r)
	if err != nil {
		f.wantSlots(now, model)
		return nil, nil, err
	}
	if len(r.CurrentPath) == 0 {
		f.conditions.Limits.Charge(now, hops[0].Engine)
	}
	f.recordRecentWork(now, rev, hops, r, relayModel(rev.models[model]))
	f.recordLinkTraffic(now, hops, r.CurrentPath, relayModel(rev.models[model]).BytesPerHop(r))
	held := pathUsage(hops, r, expected)
	held[teamID(team)] = usage{requests: 1, tokens: r.PromptTokens + r.AnswerTokens}
	return hops, f.reserve(held), nil
}

// teamLoad returns the tokens of the requests that all entries have in progress
// for a team.
func (f *fleet) teamLoad(now time.Time, team string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inProgress(now, teamID(team)).tokens
}

// layerTokens returns what all entries have in progress on an engine, in tokens times
// layers.
func (f *fleet) layerTokens(now time.Time, id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inProgress(now, id).layerTokens
}

// hasPath reports whether choosePath would find a path. It reserves nothing and
// counts no traffic.
func (f *fleet) hasPath(now time.Time, rev *revision, model string, r pipeline.RelayRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _, err := f.findPath(now, rev, model, r)
	return err == nil
}

func (f *fleet) findPath(now time.Time, rev *revision, model string, r pipeline.RelayRequest) ([]pipeline.Hop, time.Duration, error) {
	finder := rev.finders[model]
	if finder == nil {
		return nil, 0, pipeline.ErrNoChain
	}
	if len(f.byService[model]) > maxSearchedEngines {
		return f.findSampledPath(now, rev, model, r)
	}
	return finder.Find(f.engines(now, rev, model), f.links(now, rev), r)
}

// recordLinkTraffic adds the bytes that a request sends over the links of its
// path. Between two hops of its current path it has sent them already.
func (f *fleet) recordLinkTraffic(now time.Time, hops, current []pipeline.Hop, bytes float64) {
	for i := 1; i < len(hops); i++ {
		if hops[i-1].Zone == hops[i].Zone || follows(current, hops[i-1].Engine, hops[i].Engine) {
			continue
		}
		id := linkID(hops[i-1].Zone, hops[i].Zone)
		if f.linkMeters[id] == nil {
			f.linkMeters[id] = &rateMeter{}
		}
		f.linkMeters[id].add(now, bytes)
	}
}

// recordRecentWork adds the prompt of a request to the recent work of the engines
// and links that do not process it already.
func (f *fleet) recordRecentWork(now time.Time, rev *revision, hops []pipeline.Hop, r pipeline.RelayRequest, m pipeline.RelayModel) {
	for i, h := range hops {
		if !contains(r.CurrentPath, h.Engine) {
			f.addRecent(now, h.Engine, h.PromptTime)
		}
		if i == 0 || follows(r.CurrentPath, hops[i-1].Engine, h.Engine) {
			continue
		}
		if link := rev.links[[2]string{hops[i-1].Zone, h.Zone}]; link.BytesPerSecond > 0 && hops[i-1].Zone != h.Zone {
			transfer := r.PromptTokens * float64(m.ActivationBytes) / link.BytesPerSecond
			f.addRecent(now, linkID(hops[i-1].Zone, h.Zone), time.Duration(transfer*float64(time.Second)))
		}
	}
}

func (f *fleet) addRecent(now time.Time, id string, work time.Duration) {
	if f.recent[id] == nil {
		f.recent[id] = &recentWork{}
	}
	f.recent[id].add(now, work, messageInterval(f.entries(now)))
}

// recentQueue returns the expected wait for the recent work of all entries.
func (f *fleet) recentQueue(now time.Time, id string) time.Duration {
	entries := f.entries(now)
	return time.Duration(entries) * f.recent[id].own(now, messageInterval(entries))
}

// entries returns the number of entries that act, including this one.
func (f *fleet) entries(now time.Time) int { return 1 + f.peers.freshCount(now) }

func contains(path []pipeline.Hop, engine string) bool {
	return slices.ContainsFunc(path, func(h pipeline.Hop) bool { return h.Engine == engine })
}

// follows reports whether one engine follows another on a path.
func follows(path []pipeline.Hop, first, second string) bool {
	for i := 1; i < len(path); i++ {
		if path[i-1].Engine == first && path[i].Engine == second {
			return true
		}
	}
	return false
}

// minRunTime keeps the load rate of short requests from being overestimated.
const minRunTime = 300 * time.Millisecond

// pathUsage returns the load of a request on each engine of its path.
func pathUsage(hops []pipeline.Hop, r pipeline.RelayRequest, expected time.Duration) map[string]usage {
	seconds := max(expected, minRunTime).Seconds()
	tokens := r.PromptTokens + r.AnswerTokens
	held := make(map[string]usage, len(hops))
	for i, h := range hops {
		u := usage{
			requests: 1, tokens: tokens, layerTokens: tokens * float64(h.Limit-h.First),
			rate: h.PromptTime.Seconds() / seconds,
		}
		if i == 0 {
			u.usedSlots = 1
		}
		held[h.Engine] = u
	}
	return held
}

// links returns the links between zones with their current load.
func (f *fleet) links(now time.Time, rev *revision) map[[2]string]pipeline.RelayLink {
	links := make(map[[2]string]pipeline.RelayLink, len(rev.links))
	for zones, link := range rev.links {
		if link.BytesPerSecond > 0 {
			id := linkID(zones[0], zones[1])
			link.Load = f.linkRate(now, id) / link.BytesPerSecond
			link.Queue = f.recentQueue(now, id)
		}
		links[zones] = link
	}
	return links
}

// linkRate returns the bytes per second that all entries send over a link.
func (f *fleet) linkRate(now time.Time, id string) float64 {
	rate := f.peers.usageOf(now, id).rate
	if m := f.linkMeters[id]; m != nil {
		rate += m.value(now)
	}
	return rate
}

// limitedSlowdown makes a path go around an engine that states a rate limit if another
// one is about as fast. Such an engine is in need, but leaving it out of all paths would
// cost clients much more than the requests that it asks to be spared.
const limitedSlowdown = 1.25

// engines returns the engines of a model that may receive requests.
func (f *fleet) engines(now time.Time, rev *revision, model string) []pipeline.RelayEngine {
	var engines []pipeline.RelayEngine
	for _, c := range f.membership.Candidates(now, model) {
		if c.Suspect {
			continue
		}
		if engine, usable := f.pathEngine(now, rev, model, c.ID); usable {
			engines = append(engines, engine)
		}
	}
	return engines
}

// pathEngine returns an engine for the choice of a path, and whether it may be part of
// one. A rate limit is about requests from entries, which only the first engine of a
// path gets.
func (f *fleet) pathEngine(now time.Time, rev *revision, model, id string) (pipeline.RelayEngine, bool) {
	s, known := f.servers[id]
	layers := s.Layers.Limit - s.Layers.First
	if !known || layers <= 0 || f.conditions.Against(now, id, condition.Stage) != condition.None {
		return pipeline.RelayEngine{}, false
	}
	accelerator := rev.accelerators[s.Accelerator]
	if accelerator == nil {
		return pipeline.RelayEngine{}, false
	}
	engine := f.relayEngine(now, s, accelerator, placementModel(rev.models[model]))
	if f.conditions.IsRefusing(now, id) {
		engine.Slowdown = max(engine.Slowdown, refusedSlowdown)
	}
	if f.conditions.Limits.Limited(id) {
		engine.CannotBeFirst = f.conditions.Limits.Wait(now, id) > 0
		engine.Slowdown = max(engine.Slowdown, 1) * limitedSlowdown
	}
	return engine, true
}

func (f *fleet) relayEngine(now time.Time, s Server, accelerator *config.Accelerator, m placement.Model) pipeline.RelayEngine {
	e := pipeline.RelayEngine{
		Name: s.ID, Address: s.Address, Zone: s.Zone, First: s.Layers.First, Limit: s.Layers.Limit,
		StepFactor: factorOrOne(accelerator.StepFactor), PromptFactor: factorOrOne(accelerator.PromptFactor), Slowdown: f.slowdowns[s.ID],
		Capacity: kvCapacity(s, accelerator, m),
		Slots:    s.Slots,
	}
	u := f.inProgress(now, s.ID)
	e.Slowdown = max(e.Slowdown, u.slowdown)
	e.PromptQueue = f.recentQueue(now, s.ID)
	e.Used, e.Running, e.Context, e.UsedSlots, e.PromptLoad = u.layerTokens, float64(u.requests), u.tokens, u.usedSlots, u.rate
	return e
}

// kvCapacity returns the KV cache capacity, in tokens times layers, that an
// engine's memory has left beside the weights of its layers.
func kvCapacity(s Server, accelerator *config.Accelerator, m placement.Model) float64 {
	layers := s.Layers.Limit - s.Layers.First
	return placement.KVCacheTokens(accelerator.MemoryBytes, layers, m) * float64(layers)
}

// factorOrOne returns x, or 1 if it is not set.
func factorOrOne(x float64) float64 {
	if x <= 0 {
		return 1
	}
	return x
}
