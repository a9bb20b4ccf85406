package pipeline

import (
	"math"
	"sort"
	"time"
)

// RelayModel describes, for the choice of a path, a model whose engines relay
// activations to the next stage themselves. Times are for all layers on an
// accelerator with a factor of 1.
type RelayModel struct {
	Layers          int
	ActivationBytes int64
	// StepTime is the time of a decode step, to which each request in the batch
	// adds RequestStepTime, and each 1,000 tokens of context ContextStepTime.
	StepTime, RequestStepTime, ContextStepTime time.Duration
	// PromptTokensPerSecond is the prefill throughput, and MeanPromptTokens the mean
	// number of tokens of a prompt.
	PromptTokensPerSecond, MeanPromptTokens float64
}

// RelayEngine describes an engine that holds layers, for the choice of a path.
type RelayEngine struct {
	Name, Address, Zone string
	// First and Limit bound the layers [First, Limit).
	First, Limit int
	// StepFactor and PromptFactor multiply the model's decode and prompt times.
	StepFactor, PromptFactor float64
	// Slowdown is the ratio of the measured to the expected time of a step.
	Slowdown float64
	// Capacity and Used are the total and the used memory besides the weights, in
	// tokens times layers.
	Capacity, Used float64
	// Running is the number of requests on the engine, and Context their total
	// number of tokens.
	Running, Context float64
	// Slots is the maximum number of requests for which the engine can be the first
	// of the path, 0 for no limit, and UsedSlots the current number.
	Slots, UsedSlots int
	// CannotBeFirst is set for an engine that takes no request from an entry now.
	CannotBeFirst bool
	// PromptLoad is the fraction of the engine's time spent on prompts.
	PromptLoad float64
	// PromptQueue is the expected wait for prompts that were sent to the engine a
	// moment ago.
	PromptQueue time.Duration
}

// Hop is an engine of a path and the layers that it runs.
type Hop struct {
	Engine, Address string
	First, Limit    int
	// Zone is the engine's availability zone, and PromptTime the time that it takes
	// for the request's prompt.
	Zone       string
	PromptTime time.Duration
}

// RelayLink describes the network link between two zones.
type RelayLink struct {
	Latency        time.Duration
	BytesPerSecond float64
	// Load is the fraction of the link's bandwidth that is in use.
	Load float64
	// Queue is the expected wait for transfers that began a moment ago.
	Queue time.Duration
}

// RelayRequest holds the needs and constraints of a request.
type RelayRequest struct {
	PromptTokens, AnswerTokens float64
	// Exclude holds the engines that the path must not use.
	Exclude map[string]bool
	// AnswerStarted is set for a request whose answer has started. Such a request may use
	// the headroom that new requests must leave free.
	AnswerStarted bool
	// KeepFree is the fraction of the memory of engines, and of the loads up to which
	// engines and links accept new requests, that the request leaves to more urgent
	// ones. It does not concern a request whose answer has started.
	KeepFree float64
	// AvoidSlowLinks excludes links that a mean prompt occupies for long, except between
	// hops that stay. When many streams are rerouted at once, they would wait there
	// for each other's prompts.
	AvoidSlowLinks bool
	// CurrentPath is the path on which the request already runs. The new path must begin
	// with its first hop. Hops that stay need no additional capacity and do not
	// process the prompt again.
	CurrentPath []Hop
}

const (
	// maxLinkLoad and maxPromptLoad are the loads above which links and engines
	// accept no further requests, because their queues would grow without bound.
	maxLinkLoad   = 0.8
	maxPromptLoad = 0.7
	// closingPromptSeconds is the transfer time of a mean prompt at which a link
	// accepts requests only while it is idle. Tokens wait behind prompts, for longer
	// than t with a probability of about exp(-(1-load) t/prompt), a stream is late
	// after a pause of 200 to 300 ms, and each of its events may meet a prompt.
	closingPromptSeconds = 0.058
	// idleLinkLoad is the load up to which any link accepts requests.
	idleLinkLoad = 0.02
	// slowLinkLoad is the load limit below which a link counts as slow.
	slowLinkLoad = 0.5
	// maxLinkQueue is the wait above which a link accepts no further requests. A
	// burst of prompts delays all requests on the link for that long, and its load
	// shows only later.
	maxLinkQueue = 150 * time.Millisecond
	// startedLoadMargin is added to the load limits of links and engines for requests
	// whose answer has started.
	startedLoadMargin = 0.15
	// memoryReserve is the fraction of an engine's memory that stays free for answers
	// that become longer than estimated.
	memoryReserve = 0.05
	// crossZoneWeight is the number of requests that a transfer between zones delays
	// besides its own: all requests between two zones share one link, so a path that
	// crosses zones for a small gain of its own costs the others more.
	crossZoneWeight = 10.0
	// occupancyWeight is the wait that a full engine adds to the step time of a free
	// one, in steps.
	occupancyWeight = 1.0
)

// Pathfinder chooses the fastest path for a request over engines that relay
// activations themselves. A path may leave an engine at any layer at which another
// engine's range begins, so engines of different plans can fill in for a lost one.
//
// Under steady load near the capacity of the fastest engines, their batches and
// memory fill up and their expected times grow, so that further requests go to
// slower engines before the fast ones are full.
type Pathfinder struct {
	model RelayModel
}

// NewPathfinder returns a Pathfinder for a model.
func NewPathfinder(model RelayModel) *Pathfinder {
	return &Pathfinder{model: model}
}

// pathState is the fastest partial path that runs the layers below a boundary and
// ends in a zone.
type pathState struct {
	seconds float64
	engine  int
	// from and fromZone are the boundary and the zone of the preceding state.
	from, fromZone int
	known          bool
}

// Find returns the fastest path and its expected time, or a NoPathError. Links are
// keyed by source and destination zone; a transfer between zones without a link
// takes no time.
func (p *Pathfinder) Find(engines []RelayEngine, links map[[2]string]RelayLink, r RelayRequest) ([]Hop, time.Duration, error) {
	s := newPathSearch(p, engines, r)
	s.links = links
	s.solve()
	hops, seconds := s.bestPath()
	if hops == nil {
		return nil, 0, s.noPathError()
	}
	return hops, time.Duration(seconds * float64(time.Second)), nil
}

type pathSearch struct {
	*Pathfinder
	request     RelayRequest
	engines     []RelayEngine
	links       map[[2]string]RelayLink
	boundaries  []int
	zones       []string
	engineZones []int
	// states holds the best states by boundary and zone.
	states [][]pathState
}

func newPathSearch(p *Pathfinder, engines []RelayEngine, r RelayRequest) *pathSearch {
	s := &pathSearch{Pathfinder: p, request: r, engines: engines, engineZones: make([]int, len(engines))}
	seen := map[int]bool{0: true, p.model.Layers: true}
	for _, h := range r.CurrentPath {
		seen[min(max(h.First, 0), p.model.Layers)] = true
		seen[min(max(h.Limit, 0), p.model.Layers)] = true
	}
	zoneIndex := map[string]int{}
	for i, e := range engines {
		z, known := zoneIndex[e.Zone]
		if !known {
			z = len(s.zones)
			zoneIndex[e.Zone] = z
			s.zones = append(s.zones, e.Zone)
		}
		s.engineZones[i] = z
		seen[min(max(e.First, 0), p.model.Layers)] = true
		seen[min(max(e.Limit, 0), p.model.Layers)] = true
	}
	for b := range seen {
		s.boundaries = append(s.boundaries, b)
	}
	sort.Ints(s.boundaries)
	s.states = make([][]pathState, len(s.boundaries))
	for i := range s.states {
		s.states[i] = make([]pathState, len(s.zones))
	}
	return s
}

func (s *pathSearch) solve() {
	for at := range s.boundaries[:len(s.boundaries)-1] {
		for i := range s.engines {
			if s.usable(i, at) {
				s.extendThrough(i, at)
			}
		}
	}
}

func (s *pathSearch) usable(engine, at int) bool {
	e := &s.engines[engine]
	b := s.boundaries[at]
	if e.First > b || e.Limit <= b || s.request.Exclude[e.Name] {
		return false
	}
	if b > 0 {
		return true
	}
	if len(s.request.CurrentPath) > 0 {
		return e.Name == s.request.CurrentPath[0].Engine
	}
	return !e.CannotBeFirst && (e.Slots == 0 || e.UsedSlots < e.Slots)
}

// extendThrough extends the states at a boundary with an engine, up to each later
// boundary in its range.
func (s *pathSearch) extendThrough(engine, at int) {
	e := &s.engines[engine]
	for next := at + 1; next < len(s.boundaries) && s.boundaries[next] <= e.Limit; next++ {
		if at == 0 && len(s.request.CurrentPath) > 0 {
			if s.boundaries[next] == s.request.CurrentPath[0].Limit {
				s.relax(engine, at, next, 0)
			}
			continue
		}
		seconds, fits := s.engineSeconds(e, s.boundaries[next]-s.boundaries[at])
		if s.isCurrent(e, at, next) {
			seconds, fits = s.decodeSeconds(e, s.boundaries[next]-s.boundaries[at]), true
		}
		if !fits {
			return
		}
		s.relax(engine, at, next, seconds)
	}
}

func (s *pathSearch) relax(engine, at, next int, seconds float64) {
	zone := s.engineZones[engine]
	target := &s.states[next][zone]
	if at == 0 {
		if !target.known || seconds < target.seconds {
			*target = pathState{seconds: seconds, engine: engine, known: true}
		}
		return
	}
	for z := range s.zones {
		previous := s.states[at][z]
		if !previous.known || previous.engine == engine {
			continue
		}
		transfer, available := s.transferSeconds(s.zones[z], s.zones[zone])
		if s.isCurrent(&s.engines[engine], at, next) && s.isCurrent(&s.engines[previous.engine], previous.from, at) {
			available = true
		}
		if !available {
			continue
		}
		total := previous.seconds + transfer + seconds
		if !target.known || total < target.seconds {
			*target = pathState{seconds: total, engine: engine, from: at, fromZone: z, known: true}
		}
	}
}

// engineSeconds returns the expected time of the request on a number of an engine's
// layers, and whether the engine has memory and prompt capacity for it.
func (s *pathSearch) engineSeconds(e *RelayEngine, layers int) (float64, bool) {
	tokens := s.request.PromptTokens + s.request.AnswerTokens
	need := tokens * float64(layers)
	free := e.Capacity*(1-memoryReserve) - e.Used
	if e.Used > 0 {
		// On an idle engine nothing is kept, or the largest requests would fit nowhere.
		free -= e.Capacity * s.keepFree()
	}
	if need > free || e.PromptLoad > s.loadLimit(maxPromptLoad) {
		return 0, false
	}
	decode := s.decodeSeconds(e, layers)
	return (decode+s.promptSeconds(e, layers))/(1-e.PromptLoad) + e.PromptQueue.Seconds(), true
}

// isCurrent reports whether the request already runs the layers between two
// boundaries on the engine.
func (s *pathSearch) isCurrent(e *RelayEngine, at, next int) bool {
	for _, h := range s.request.CurrentPath {
		if h.Engine == e.Name && h.First <= s.boundaries[at] && h.Limit >= s.boundaries[next] {
			return true
		}
	}
	return false
}

// decodeSeconds returns the expected time of an engine for the request's answer.
func (s *pathSearch) decodeSeconds(e *RelayEngine, layers int) float64 {
	tokens := s.request.PromptTokens + s.request.AnswerTokens
	need := tokens * float64(layers)
	share := float64(layers) / float64(s.model.Layers)
	slowdown := math.Max(e.Slowdown, 1)
	step := s.model.StepTime.Seconds() +
		s.model.RequestStepTime.Seconds()*(e.Running+1) +
		s.model.ContextStepTime.Seconds()*(e.Context+tokens)/1000
	occupancy := 1 + occupancyWeight*(e.Used+need)/e.Capacity
	return s.request.AnswerTokens * step * e.StepFactor * occupancy * share * slowdown
}

// loadLimit returns the limit for the request, given the limit for new requests.
func (s *pathSearch) loadLimit(load float64) float64 {
	if s.request.AnswerStarted {
		return load + startedLoadMargin
	}
	return load * (1 - s.keepFree())
}

// keepFree returns the fraction of all room that the request leaves to others.
func (s *pathSearch) keepFree() float64 {
	if s.request.AnswerStarted {
		return 0
	}
	return s.request.KeepFree
}

// promptSeconds returns the expected time of an engine for the request's prompt.
func (s *pathSearch) promptSeconds(e *RelayEngine, layers int) float64 {
	if s.model.PromptTokensPerSecond <= 0 {
		return 0
	}
	share := float64(layers) / float64(s.model.Layers)
	return s.request.PromptTokens / s.model.PromptTokensPerSecond * e.PromptFactor * share * math.Max(e.Slowdown, 1)
}

// transferSeconds returns the expected time that the link between two zones adds,
// and whether the link accepts the request.
func (s *pathSearch) transferSeconds(from, to string) (float64, bool) {
	link, known := s.links[[2]string{from, to}]
	if !known {
		return 0, true
	}
	maxLoad := s.model.linkLoadLimit(link)
	if link.Queue > maxLinkQueue || link.Load > s.loadLimit(maxLoad) || s.request.AvoidSlowLinks && maxLoad < slowLinkLoad {
		return 0, false
	}
	seconds := s.request.AnswerTokens*link.Latency.Seconds() + link.Queue.Seconds()
	if link.BytesPerSecond > 0 {
		transfer := s.model.BytesPerHop(s.request) / link.BytesPerSecond
		seconds += transfer * crossZoneWeight / (1 - math.Min(link.Load, maxLinkLoad))
	}
	return seconds, true
}

// linkLoadLimit returns the load up to which a link accepts further requests. The
// limit is lower the longer a mean prompt occupies the link.
func (m RelayModel) linkLoadLimit(link RelayLink) float64 {
	if link.BytesPerSecond <= 0 {
		return maxLinkLoad
	}
	promptSeconds := m.MeanPromptTokens * float64(m.ActivationBytes) / link.BytesPerSecond
	return math.Min(maxLinkLoad, math.Max(1-promptSeconds/closingPromptSeconds, idleLinkLoad))
}

// BytesPerHop returns the number of bytes that a request sends from one engine to
// the next.
func (m RelayModel) BytesPerHop(r RelayRequest) float64 {
	return (r.PromptTokens + r.AnswerTokens) * float64(m.ActivationBytes)
}

// bestPath follows the fastest state at the last boundary back to the first layer.
func (s *pathSearch) bestPath() ([]Hop, float64) {
	last := len(s.boundaries) - 1
	zone, seconds := -1, math.Inf(1)
	for z, st := range s.states[last] {
		if st.known && st.seconds < seconds {
			zone, seconds = z, st.seconds
		}
	}
	if zone < 0 {
		return nil, 0
	}
	var hops []Hop
	for at := last; at > 0; {
		st := s.states[at][zone]
		e := &s.engines[st.engine]
		layers := s.boundaries[at] - s.boundaries[st.from]
		hops = append(hops, Hop{
			Engine: e.Name, Address: e.Address, Zone: e.Zone, First: s.boundaries[st.from], Limit: s.boundaries[at],
			PromptTime: time.Duration(s.promptSeconds(e, layers) * float64(time.Second)),
		})
		at, zone = st.from, st.fromZone
	}
	for i, j := 0, len(hops)-1; i < j; i, j = i+1, j-1 {
		hops[i], hops[j] = hops[j], hops[i]
	}
	merged := mergeHops(hops)
	if current := s.request.CurrentPath; len(current) > 0 && merged[0].Limit != current[0].Limit {
		return nil, 0
	}
	return merged, seconds
}

// mergeHops merges the hops of an engine that appears twice, and those between
// them, into one, because a path may contain an engine only once. The engine's
// range covers the layers between.
func mergeHops(hops []Hop) []Hop {
	merged := hops[:0:0]
	for _, h := range hops {
		for i := range merged {
			if merged[i].Engine == h.Engine {
				merged = merged[:i+1]
				merged[i].Limit = h.Limit
				break
			}
		}
		if n := len(merged); n > 0 && merged[n-1].Engine == h.Engine {
			continue
		}
		merged = append(merged, h)
	}
	return merged
}
