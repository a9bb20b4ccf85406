package pipeline

import (
	"math"
	"sort"
	"time"
)

// RelayModel is what the choice of a path needs to know about a model whose
// engines relay between stages by themselves. Times hold for all layers on an
// accelerator with factor 1.
type RelayModel struct {
	Layers          int
	ActivationBytes int64
	// StepTime is the time of one decode step, RequestStepTime what each
	// request in the batch adds, ContextStepTime what each 1,000 tokens of
	// context add.
	StepTime, RequestStepTime, ContextStepTime time.Duration
	// PromptTokensPerSecond is the rate at which prompts are processed, and
	// MeanPromptTokens the mean number of tokens of a prompt.
	PromptTokensPerSecond, MeanPromptTokens float64
}

// RelayEngine is one engine that holds layers, as the choice of a path sees it.
type RelayEngine struct {
	Name, Address, Zone string
	// First and Limit bound the layers [First, Limit).
	First, Limit int
	// StepFactor and PromptFactor multiply the model's times.
	StepFactor, PromptFactor float64
	// Slowdown is the measured time of a step divided by the expected one.
	Slowdown float64
	// Capacity and Used are tokens times layers that the engine's memory holds
	// besides the weights.
	Capacity, Used float64
	// Running is the number of requests that use the engine, and Context their tokens.
	Running, Context float64
	// Slots and Heads are the number of requests that the engine can receive
	// and has received as the first engine of their paths.
	Slots, UsedSlots int
	// PromptLoad is the part of the engine's time that prompts take.
	PromptLoad float64
}

// Hop is one part of a path: an engine and the layers that it runs.
type Hop struct {
	Engine, Address string
	First, Limit    int
	// Zone is the engine's zone, and PromptsOverloaded how long it takes for the request's prompt.
	Zone       string
	PromptTime time.Duration
}

// RelayLink is the way between two zones.
type RelayLink struct {
	Latency        time.Duration
	BytesPerSecond float64
	// Load is the part of the link's rate that is in use.
	Load float64
}

// RelayRequest is what a request will need.
type RelayRequest struct {
	PromptTokens, AnswerTokens float64
	// Exclude holds engines that the path may not use.
	Exclude map[string]bool
	// AnswerStarted is set for a request whose answer has begun. It may take the room that
	// is kept free of new requests.
	AnswerStarted bool
	// AvoidSlowLinks closes links that a usual prompt occupies for long, except between
	// parts that stay. Many streams that change their paths at once would wait there
	// for each other's prompts.
	AvoidSlowLinks bool
	// CurrentPath is the path along which the request already runs. The new path must begin
	// with its first part; parts that stay need no further room and read no prompt.
	CurrentPath []Hop
}

const (
	// maxLinkLoad and maxPromptLoad are the loads of links and of engines above
	// which they take no further requests. Beyond them queues grow without end.
	maxLinkLoad   = 0.8
	maxPromptLoad = 0.7
	// closingPrompt is the time, in seconds, that a usual prompt takes on a link that
	// takes no requests at all. Tokens wait behind prompts, longer than a time t with
	// a chance of about exp(-(1-load) t/prompt), and a stream is late after a pause of
	// 200 to 300 ms.
	closingPrompt = 0.075
	// thinLinkLoad is the permitted load below which a link counts as thin.
	thinLinkLoad = 0.5
	// begunLoad is added to both for requests whose answer has begun.
	begunLoad = 0.15
	// reserve is the part of an engine's memory that stays free for answers
	// that grow beyond their estimate.
	reserve = 0.05
	// crossingWeight is how many requests a crossing delays besides the one that
	// crosses: all requests between two zones share one link, and a path that
	// crosses for a small gain of its own costs the others more.
	crossingWeight = 10.0
	// crowdingWeight is the wait, in steps, that a full engine adds to a free one's step.
	crowdingWeight = 1.0
)

// Pathfinder chooses the quickest path for requests over engines that relay by
// themselves. A path may leave an engine at any layer at which another one
// begins, so engines of different plans complete each other when one is lost.
//
// It answers steady load near the capacity of the fastest engines: their
// batches and memory fill up, their expected times grow, and further requests
// go to slower engines before the fast ones are full.
type Pathfinder struct {
	model RelayModel
}

// NewPathfinder returns a Pathfinder.
func NewPathfinder(model RelayModel) *Pathfinder {
	return &Pathfinder{model: model}
}

// pathState is the quickest way to run the layers below a boundary and end in a zone.
type pathState struct {
	seconds float64
	engine  int
	// from is the boundary and fromZone the zone of the state before.
	from, fromZone int
	known          bool
}

// Find returns the quickest path and its expected time, or a NoPathError. Links are
// keyed by zones; zones without a link are reached at once.
func (p *Pathfinder) Find(engines []RelayEngine, links map[[2]string]RelayLink, r RelayRequest) ([]Hop, time.Duration, error) {
	s := newPathSearch(p, engines, r)
	s.links = links
	s.run()
	hops, seconds := s.best()
	if hops == nil {
		return nil, 0, s.blocked()
	}
	return hops, time.Duration(seconds * float64(time.Second)), nil
}

type pathSearch struct {
	*Pathfinder
	request    RelayRequest
	engines    []RelayEngine
	links      map[[2]string]RelayLink
	boundaries []int
	zones      []string
	zoneOf     []int
	// table holds the states by boundary and zone.
	table [][]pathState
}

func newPathSearch(p *Pathfinder, engines []RelayEngine, r RelayRequest) *pathSearch {
	s := &pathSearch{Pathfinder: p, request: r, engines: engines, zoneOf: make([]int, len(engines))}
	seen := map[int]bool{0: true, p.model.Layers: true}
	for _, h := range r.CurrentPath {
		seen[min(max(h.First, 0), p.model.Layers)] = true
		seen[min(max(h.Limit, 0), p.model.Layers)] = true
	}
	index := map[string]int{}
	for i, e := range engines {
		z, known := index[e.Zone]
		if !known {
			z = len(s.zones)
			index[e.Zone] = z
			s.zones = append(s.zones, e.Zone)
		}
		s.zoneOf[i] = z
		seen[min(max(e.First, 0), p.model.Layers)] = true
		seen[min(max(e.Limit, 0), p.model.Layers)] = true
	}
	for b := range seen {
		s.boundaries = append(s.boundaries, b)
	}
	sort.Ints(s.boundaries)
	s.table = make([][]pathState, len(s.boundaries))
	for i := range s.table {
		s.table[i] = make([]pathState, len(s.zones))
	}
	return s
}

func (s *pathSearch) run() {
	for at := range s.boundaries[:len(s.boundaries)-1] {
		for i := range s.engines {
			if s.usable(i, at) {
				s.extend(i, at)
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
	return e.Slots == 0 || e.UsedSlots < e.Slots
}

// extend takes an engine from a boundary to each later one that it reaches.
func (s *pathSearch) extend(engine, at int) {
	e := &s.engines[engine]
	for next := at + 1; next < len(s.boundaries) && s.boundaries[next] <= e.Limit; next++ {
		if at == 0 && len(s.request.CurrentPath) > 0 {
			if s.boundaries[next] == s.request.CurrentPath[0].Limit {
				s.offer(engine, at, next, 0)
			}
			continue
		}
		work, fits := s.work(e, s.boundaries[next]-s.boundaries[at])
		if s.isHeld(e, at, next) {
			work, fits = s.decodeSeconds(e, s.boundaries[next]-s.boundaries[at]), true
		}
		if !fits {
			return
		}
		s.offer(engine, at, next, work)
	}
}

func (s *pathSearch) offer(engine, at, next int, work float64) {
	zone := s.zoneOf[engine]
	target := &s.table[next][zone]
	if at == 0 {
		if !target.known || work < target.seconds {
			*target = pathState{seconds: work, engine: engine, known: true}
		}
		return
	}
	for z := range s.zones {
		before := s.table[at][z]
		if !before.known || before.engine == engine {
			continue
		}
		sending, open := s.transfer(s.zones[z], s.zones[zone])
		if s.isHeld(&s.engines[engine], at, next) && s.isHeld(&s.engines[before.engine], before.from, at) {
			open = true
		}
		if !open {
			continue
		}
		seconds := before.seconds + sending + work
		if !target.known || seconds < target.seconds {
			*target = pathState{seconds: seconds, engine: engine, from: at, fromZone: z, known: true}
		}
	}
}

// work returns the expected seconds that a number of layers take at an engine,
// and whether the request fits its memory.
func (s *pathSearch) work(e *RelayEngine, layers int) (float64, bool) {
	tokens := s.request.PromptTokens + s.request.AnswerTokens
	need := tokens * float64(layers)
	free := e.Capacity*(1-reserve) - e.Used
	if need > free || e.PromptLoad > s.limit(maxPromptLoad) {
		return 0, false
	}
	decode := s.decodeSeconds(e, layers)
	return (decode + s.promptSeconds(e, layers)) / (1 - e.PromptLoad), true
}

// isHeld tells whether the request already runs the layers between two boundaries at an engine.
func (s *pathSearch) isHeld(e *RelayEngine, at, next int) bool {
	for _, h := range s.request.CurrentPath {
		if h.Engine == e.Name && h.First <= s.boundaries[at] && h.Limit >= s.boundaries[next] {
			return true
		}
	}
	return false
}

// decodeSeconds returns how long an engine works on the request's answer.
func (s *pathSearch) decodeSeconds(e *RelayEngine, layers int) float64 {
	tokens := s.request.PromptTokens + s.request.AnswerTokens
	need := tokens * float64(layers)
	share := float64(layers) / float64(s.model.Layers)
	slowdown := math.Max(e.Slowdown, 1)
	step := s.model.StepTime.Seconds() +
		s.model.RequestStepTime.Seconds()*(e.Running+1) +
		s.model.ContextStepTime.Seconds()*(e.Context+tokens)/1000
	crowding := 1 + crowdingWeight*(e.Used+need)/e.Capacity
	return s.request.AnswerTokens * step * e.StepFactor * crowding * share * slowdown
}

// limit returns the load up to which the request may use an engine or a link.
func (s *pathSearch) limit(load float64) float64 {
	if s.request.AnswerStarted {
		return load + begunLoad
	}
	return load
}

// promptSeconds returns how long an engine works on the request's prompt.
func (s *pathSearch) promptSeconds(e *RelayEngine, layers int) float64 {
	if s.model.PromptTokensPerSecond <= 0 {
		return 0
	}
	share := float64(layers) / float64(s.model.Layers)
	return s.request.PromptTokens / s.model.PromptTokensPerSecond * e.PromptFactor * share * math.Max(e.Slowdown, 1)
}

// transfer returns the expected seconds that the link between two zones adds,
// and whether it has room.
func (s *pathSearch) transfer(from, to string) (float64, bool) {
	link, known := s.links[[2]string{from, to}]
	if !known {
		return 0, true
	}
	open := s.model.openLoad(link)
	if link.Load > s.limit(open) || s.request.AvoidSlowLinks && open < thinLinkLoad {
		return 0, false
	}
	seconds := s.request.AnswerTokens * link.Latency.Seconds()
	if link.BytesPerSecond > 0 {
		sending := s.model.BytesPerHop(s.request) / link.BytesPerSecond
		seconds += sending * crossingWeight / (1 - math.Min(link.Load, maxLinkLoad))
	}
	return seconds, true
}

// openLoad returns the load up to which a link takes further requests: the longer
// it is occupied by a prompt, the lower.
func (m RelayModel) openLoad(link RelayLink) float64 {
	if link.BytesPerSecond <= 0 {
		return maxLinkLoad
	}
	prompt := m.MeanPromptTokens * float64(m.ActivationBytes) / link.BytesPerSecond
	return math.Min(maxLinkLoad, 1-prompt/closingPrompt)
}

// BytesPerHop is what a request sends from one engine to the next.
func (m RelayModel) BytesPerHop(r RelayRequest) float64 {
	return (r.PromptTokens + r.AnswerTokens) * float64(m.ActivationBytes)
}

// best follows the quickest state at the last boundary back to the first layer.
func (s *pathSearch) best() ([]Hop, float64) {
	last := len(s.boundaries) - 1
	zone, seconds := -1, math.Inf(1)
	for z, st := range s.table[last] {
		if st.known && st.seconds < seconds {
			zone, seconds = z, st.seconds
		}
	}
	if zone < 0 {
		return nil, 0
	}
	var hops []Hop
	for at := last; at > 0; {
		st := s.table[at][zone]
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
	if held := s.request.CurrentPath; len(held) > 0 && merged[0].Limit != held[0].Limit {
		return nil, 0
	}
	return merged, seconds
}

// mergeHops lets an engine that appears twice run all layers between, because
// a path may name an engine only once. Its range covers them.
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
