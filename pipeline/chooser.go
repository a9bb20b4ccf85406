package pipeline

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// ChooserOptions configures a Chooser. Zero fields have their defaults.
type ChooserOptions struct {
	// Layers is the number of layers of the model.
	Layers int
	// ActivationBytes is the size of the activations that a stage sends to the
	// next one per token.
	ActivationBytes int64
	// PrefillSpeedup is the ratio of prefill to decode throughput, in tokens.
	PrefillSpeedup float64
	// Rand randomizes the first choices, so that entry processes start with
	// different stages; nil disables this.
	Rand *rand.Rand
}

const (
	// maxLead bounds a stage's lead or lag relative to its planned share, in
	// seconds of work. Without a bound, an engine that was slow for a while
	// would receive a burst of requests later.
	maxLead = 2.0
	// leadGain is the weight of the lead over the planned share. The lead is
	// divided by the Chooser's share of all requests, because all entry processes
	// behave alike: with 40 of them, one excess request from each means 40 excess
	// requests at the engine.
	leadGain = 0.25
	// shareGain is the weight of a load report in the moving averages from which
	// the Chooser estimates its share of all requests. minShare is the lower
	// bound of that estimate.
	shareGain = 0.01
	minShare  = 0.001
	// loadGain is the weight of reported load relative to the planned share.
	// Reports are delayed, so with a weight of 1 all entry processes would move
	// to the same engine at once.
	loadGain = 0.5
	// loadHalfLife is the age at which a load report has half its weight.
	loadHalfLife = 2 * time.Second
	// defaultOutputTokens applies to requests without an output length.
	defaultOutputTokens = 224
	// defaultPrefillSpeedup applies to models without a configured speedup.
	defaultPrefillSpeedup = 20
)

// Chooser picks a chain for each request. It selects stages in proportion to
// their weights by stride scheduling; reported load, cached prefixes and transfer
// times between zones shift the selection. A Chooser is not safe for concurrent
// use.
type Chooser struct {
	opts     ChooserOptions
	revision int64
	// stages is sorted by descending First, so that each stage comes after all
	// of its possible successors.
	stages     []*stageState
	byInstance map[string]*stageState
	zones      map[string]int
	links      *LinkEstimator
	cache      *CacheIndex
	// zoneLinks holds the links between zones by zone index, as of linksVersion.
	zoneLinks    [][]linkState
	linksVersion int
	// virtualTime is the pass of a stage that has received exactly its share, in
	// seconds of work.
	virtualTime float64
	// meanWork is the moving average of a request's work, in decode tokens.
	meanWork float64
	// ownRunning and allRunning are moving averages of the number of requests on
	// a stage from this Chooser and from all entry processes.
	ownRunning, allRunning float64
}

// linkState is the Chooser's view of a link between two zones.
type linkState struct {
	// latency is in seconds, perByte in seconds per byte.
	latency, perByte float64
	// busyUntil is when the link is expected to have sent the prompts of the
	// chains chosen so far.
	busyUntil time.Time
}

// stageState is a stage with its share of past requests and its load.
type stageState struct {
	Stage
	zone int
	// pass is the work assigned to the stage divided by its weight, in seconds.
	pass float64
	load Load
	// outstanding is the number of chosen requests that are not done, and
	// outstandingAtReport its value at the last load report.
	outstanding, outstandingAtReport int
}

// NewChooser returns a Chooser without stages.
func NewChooser(opts ChooserOptions) *Chooser {
	if opts.PrefillSpeedup <= 0 {
		opts.PrefillSpeedup = defaultPrefillSpeedup
	}
	return &Chooser{
		opts:       opts,
		byInstance: map[string]*stageState{},
		zones:      map[string]int{},
		links:      NewLinkEstimator(),
		cache:      NewCacheIndex(),
		meanWork:   defaultOutputTokens,
		// Equal averages mean a share of 1 until load reports arrive.
		ownRunning: 1, allRunning: 1,
	}
}

// Update replaces the stages with those of a plan and ignores invalid ones.
// Stages that remain keep their load, cached prefixes and share of past requests.
func (c *Chooser) Update(revision int64, stages []Stage) {
	c.revision = revision
	old := c.byInstance
	c.byInstance = make(map[string]*stageState, len(stages))
	c.stages = c.stages[:0]
	for _, s := range stages {
		if s.Weight <= 0 || s.Limit <= s.First || s.First < 0 || s.Limit > c.opts.Layers {
			continue
		}
		m, known := old[s.Instance]
		if !known {
			m = &stageState{pass: c.virtualTime + c.initialOffset(s.Weight)}
		}
		m.Stage = s
		m.zone = c.zoneIndex(s.Zone)
		c.byInstance[s.Instance] = m
		c.stages = append(c.stages, m)
	}
	for name := range old {
		if c.byInstance[name] == nil {
			c.cache.Forget(name)
		}
	}
	sort.SliceStable(c.stages, func(i, j int) bool { return c.stages[i].First > c.stages[j].First })
}

// Observe records a load report. It ignores a report older than the last one.
func (c *Chooser) Observe(load Load) {
	m := c.byInstance[load.Instance]
	if m == nil || load.At.Before(m.load.At) {
		return
	}
	m.load = load
	m.outstandingAtReport = m.outstanding
	c.ownRunning += shareGain * (float64(m.outstanding) - c.ownRunning)
	c.allRunning += shareGain * (float64(load.Running+load.Queued) - c.allRunning)
}

// trafficShare returns the estimated fraction of all requests for which this
// Chooser chooses chains.
func (c *Chooser) trafficShare() float64 {
	return min(1, max(minShare, c.ownRunning/c.allRunning))
}

// SetLink sets the configured speed of a link, which applies until the link is
// measured.
func (c *Chooser) SetLink(from, to string, bytesPerSecond float64, latency time.Duration) {
	c.links.Set(from, to, bytesPerSecond, latency)
}

// ObserveLink records the transfer time of a frame between two zones.
func (c *Chooser) ObserveLink(from, to string, bytes int64, took time.Duration) {
	c.links.Observe(from, to, bytes, took)
}

// ObserveCache records an event of an engine's prefix cache.
func (c *Chooser) ObserveCache(event CacheEvent) {
	c.cache.Observe(event)
}

// Done releases a chain returned by Choose that is no longer in use.
func (c *Chooser) Done(chain Chain) {
	for _, s := range chain.Stages {
		if m := c.byInstance[s.Instance]; m != nil && m.outstanding > 0 {
			m.outstanding--
		}
	}
}

// label is the cheapest way to complete a chain from a stage onwards.
type label struct {
	cost float64
	next *candidate
}

// candidate is a stage that may become part of the chain. It has separate labels
// for chains in which this and every later stage have the prompt's prefix cached,
// and for the others, because a stage can skip cached tokens only if no later
// stage needs their activations.
type candidate struct {
	*stageState
	allCached, someMissed label
	// cost is the stage's cost in seconds, and cachedSaving the part of it that
	// is saved if every later stage has the prefix cached as well.
	cost, cachedSaving float64
	// cachedWork is the work for the cached part of the prompt, in decode tokens.
	cachedWork float64
}

// Choose returns the chain of least cost that covers all layers. It never uses an
// instance in exclude. The cost of a stage is its lead over its planned share plus
// its load, in seconds; the cost of a hop is the transfer time of the request's
// tokens.
func (c *Chooser) Choose(req Request, exclude map[string]bool) (Chain, error) {
	req, work := c.estimateWork(req)
	s := c.newSearch(req, len(c.stages))
	for _, m := range c.stages {
		if exclude[m.Instance] || m.load.Draining || m.load.Down {
			continue
		}
		saved := c.cache.SavedTokens(m.Instance, req) / c.opts.PrefillSpeedup
		s.addCandidate(candidate{
			stageState: m, cost: c.stageCost(m, work, req.At), cachedWork: saved, cachedSaving: c.leadScale() * saved / m.Weight,
		})
	}
	chain, err := c.buildChain(s, req, work)
	if err != nil {
		return Chain{}, err
	}
	chain.Revision = c.revision
	c.advance(work)
	return chain, nil
}

// Repair returns a chain that replaces one that has lost stages. Stages of the
// broken chain that are not lost cost nothing if all stages after them are kept
// as well, because they hold the request's KV cache. If a later stage is new,
// they run the replay, and cost the replay time plus their lead and load, as new
// stages do; only the new ones also cost the request's work. replay and restore
// return the cost in seconds for a kept and for a new stage. The chain keeps the
// revision of the broken one: ranges of another plan are used only where they
// fit between the ranges that remain.
func (c *Chooser) Repair(req Request, broken Chain, lost map[string]bool, replay, restore func(Stage) float64) (Chain, error) {
	req, work := c.estimateWork(req)
	pool := c.repairStages(broken, lost)
	s := c.newSearch(req, len(pool))
	for _, m := range pool {
		if lost[m.Instance] || m.Version != broken.Version() {
			continue
		}
		if broken.contains(m.Stage) {
			cost := c.stageCost(m, 0, req.At) + replay(m.Stage)
			s.addCandidate(candidate{stageState: m, cost: cost, cachedSaving: cost})
			continue
		}
		if !m.load.Draining && !m.load.Down {
			s.addCandidate(candidate{stageState: m, cost: c.stageCost(m, work, req.At) + restore(m.Stage)})
		}
	}
	chain, err := c.buildChain(s, req, 0)
	if err != nil {
		return Chain{}, err
	}
	for _, st := range chain.Stages {
		if m := c.byInstance[st.Instance]; m != nil && !broken.contains(st) {
			c.charge(m, work)
			m.outstanding--
		}
	}
	chain.Revision = broken.Revision
	c.Done(broken)
	return chain, nil
}

// repairStages returns the stages in descending order of First. Stages of the
// broken chain that are not lost have the range that they have in that chain,
// even if the current plan has changed or removed it.
func (c *Chooser) repairStages(broken Chain, lost map[string]bool) []*stageState {
	kept := map[string]Stage{}
	for _, s := range broken.Stages {
		if !lost[s.Instance] {
			kept[s.Instance] = s
		}
	}
	var pool []*stageState
	for _, m := range c.stages {
		if s, found := kept[m.Instance]; found && (s.First != m.First || s.Limit != m.Limit) {
			continue
		}
		delete(kept, m.Instance)
		pool = append(pool, m)
	}
	for _, s := range kept {
		pool = append(pool, &stageState{Stage: s, zone: c.zoneIndex(s.Zone), pass: c.virtualTime})
	}
	sort.SliceStable(pool, func(i, j int) bool { return pool[i].First > pool[j].First })
	return pool
}

// contains reports whether the chain has a stage with the same instance, range
// and version.
func (c Chain) contains(stage Stage) bool {
	for _, s := range c.Stages {
		if s.Instance == stage.Instance && s.First == stage.First && s.Limit == stage.Limit && s.Version == stage.Version {
			return true
		}
	}
	return false
}

// estimateWork returns the request with its output length filled in, and its work
// in decode tokens.
func (c *Chooser) estimateWork(req Request) (Request, float64) {
	if req.OutputTokens <= 0 {
		req.OutputTokens = defaultOutputTokens
	}
	return req, float64(req.OutputTokens) + float64(req.PromptTokens)/c.opts.PrefillSpeedup
}

// search is a shortest-path search from the last layer to the first.
type search struct {
	layers   int
	hopCosts [][]float64
	// byFirst holds the best candidates by first layer.
	byFirst [][]*candidate
	// pool has capacity for all candidates, so that pointers into it stay valid.
	pool []candidate
}

func (c *Chooser) newSearch(req Request, stages int) *search {
	return &search{
		layers: c.opts.Layers, hopCosts: c.hopCosts(req),
		byFirst: make([][]*candidate, c.opts.Layers+1), pool: make([]candidate, 0, stages),
	}
}

// addCandidate adds a candidate. Candidates must be added in descending order of First.
func (s *search) addCandidate(initial candidate) {
	s.pool = append(s.pool, initial)
	k := &s.pool[len(s.pool)-1]
	s.computeLabels(k)
	if math.IsInf(k.allCached.cost, 1) && math.IsInf(k.someMissed.cost, 1) {
		return
	}
	s.byFirst[k.First] = addNondominated(s.byFirst[k.First], k)
}

// computeLabels computes the candidate's labels from those of its successors.
func (s *search) computeLabels(k *candidate) {
	k.allCached.cost = math.Inf(1)
	k.someMissed.cost = math.Inf(1)
	cachedCost := k.cost - k.cachedSaving
	if k.Limit == s.layers {
		if k.cachedSaving > 0 {
			k.allCached.cost = cachedCost
		} else {
			k.someMissed.cost = k.cost
		}
		return
	}
	for _, n := range s.byFirst[k.Limit] {
		hop := s.hopCosts[k.zone][n.zone]
		if k.cachedSaving > 0 {
			k.allCached.relax(cachedCost+hop+n.allCached.cost, n)
		} else {
			k.someMissed.relax(k.cost+hop+n.allCached.cost, n)
		}
		k.someMissed.relax(k.cost+hop+n.someMissed.cost, n)
	}
}

func (l *label) relax(cost float64, next *candidate) {
	if cost < l.cost {
		*l = label{cost: cost, next: next}
	}
}

// addNondominated adds a candidate and drops those that another candidate in the
// same zone dominates in both labels.
func addNondominated(candidates []*candidate, k *candidate) []*candidate {
	kept := candidates[:0]
	for _, h := range candidates {
		if h.dominates(k) {
			return candidates
		}
		if !k.dominates(h) {
			kept = append(kept, h)
		}
	}
	return append(kept, k)
}

func (k *candidate) dominates(other *candidate) bool {
	return k.zone == other.zone && k.allCached.cost <= other.allCached.cost && k.someMissed.cost <= other.someMissed.cost
}

// buildChain follows the labels from the best first stage and charges the work to
// the stages of the chain.
func (c *Chooser) buildChain(s *search, req Request, work float64) (Chain, error) {
	var best *candidate
	bestCost := math.Inf(1)
	for _, k := range s.byFirst[0] {
		cost := min(k.allCached.cost, k.someMissed.cost)
		// The entry process sends text, so only the latency of its link counts.
		if req.Zone != "" {
			cost += c.links.Cost(req.Zone, k.Zone, 0)
		}
		if cost < bestCost {
			best, bestCost = k, cost
		}
	}
	if best == nil {
		return Chain{}, ErrNoChain
	}
	var chain Chain
	cached := best.allCached.cost <= best.someMissed.cost
	for k := best; k != nil; {
		chargedWork := work
		chosen := k.someMissed
		if cached {
			chargedWork -= k.cachedWork
			chosen = k.allCached
		}
		chain.Stages = append(chain.Stages, k.Stage)
		c.charge(k.stageState, chargedWork)
		if chosen.next != nil && !cached {
			// A stage without the cached prefix may be followed by stages that all have it.
			cached = k.cachedSaving <= 0 && chosen.next.allCached.cost <= chosen.next.someMissed.cost
		}
		k = chosen.next
	}
	c.occupyLinks(chain, req)
	return chain, nil
}

// charge adds a request's work to the stage's pass.
func (c *Chooser) charge(m *stageState, work float64) {
	workTime := work / m.Weight
	bound := max(maxLead, 2*workTime)
	m.pass = max(m.pass, c.virtualTime-bound) + workTime
	m.pass = min(m.pass, c.virtualTime+bound)
	m.outstanding++
}

// advance advances the virtual time by the time that the whole plan takes for a
// request's work.
func (c *Chooser) advance(work float64) {
	total := 0.0
	for i := len(c.stages) - 1; i >= 0 && c.stages[i].First == 0; i-- {
		total += c.stages[i].Weight
	}
	c.virtualTime += work / total
	c.meanWork += (work - c.meanWork) / 64
}

// stageCost returns the stage's lead over its share, including the given work,
// plus its load, in seconds of work.
func (c *Chooser) stageCost(m *stageState, work float64, at time.Time) float64 {
	workTime := work / m.Weight
	lead := max(m.pass-c.virtualTime, -max(maxLead, 2*workTime)) + workTime
	age := max(at.Sub(m.load.At), 0)
	reportWeight := 0.0
	if !m.load.At.IsZero() {
		reportWeight = math.Exp2(-float64(age) / float64(loadHalfLife))
	}
	inFlight := max(0, m.load.Running+m.load.Queued+m.outstanding-m.outstandingAtReport)
	return c.leadScale()*lead + loadGain*reportWeight*float64(inFlight)*c.meanWork/m.Weight
}

// leadScale returns the factor that scales this Chooser's lead to the weighted
// lead of all entry processes together.
func (c *Chooser) leadScale() float64 {
	return leadGain / c.trafficShare()
}

// hopCosts returns the transfer time of a request's prompt and generated tokens
// between each pair of zones, in seconds.
func (c *Chooser) hopCosts(req Request) [][]float64 {
	c.refreshZoneLinks()
	frames := float64(req.OutputTokens + 1)
	bytes := float64(c.opts.ActivationBytes) * float64(req.OutputTokens+req.PromptTokens)
	costs := make([][]float64, len(c.zoneLinks))
	backing := make([]float64, len(c.zoneLinks)*len(c.zoneLinks))
	for i, row := range c.zoneLinks {
		costs[i] = backing[i*len(row) : (i+1)*len(row)]
		for j, p := range row {
			costs[i][j] = p.latency*frames + p.perByte*bytes
			if p.busyUntil.After(req.At) {
				costs[i][j] += p.busyUntil.Sub(req.At).Seconds()
			}
		}
	}
	return costs
}

// refreshZoneLinks copies the link estimates if they or the zones have changed.
func (c *Chooser) refreshZoneLinks() {
	if c.linksVersion == c.links.version && len(c.zoneLinks) == len(c.zones) {
		return
	}
	old := c.zoneLinks
	c.zoneLinks = make([][]linkState, len(c.zones))
	for from, i := range c.zones {
		c.zoneLinks[i] = make([]linkState, len(c.zones))
		for to, j := range c.zones {
			p := &c.zoneLinks[i][j]
			p.latency, p.perByte = c.links.Estimate(from, to)
			if i < len(old) && j < len(old) {
				p.busyUntil = old[i][j].busyUntil
			}
		}
	}
	c.linksVersion = c.links.version
}

// occupyLinks records that a request's prompt occupies the links between the
// stages' zones. Otherwise many requests placed at once, as after the loss of a
// stage, would all use the same link before its delay is measured.
func (c *Chooser) occupyLinks(chain Chain, req Request) {
	bytes := float64(c.opts.ActivationBytes) * float64(req.PromptTokens)
	for i := 1; i < len(chain.Stages); i++ {
		from, to := c.zones[chain.Stages[i-1].Zone], c.zones[chain.Stages[i].Zone]
		if from == to {
			continue
		}
		p := &c.zoneLinks[from][to]
		if p.busyUntil.Before(req.At) {
			p.busyUntil = req.At
		}
		p.busyUntil = p.busyUntil.Add(seconds(p.perByte * bytes))
	}
}

func (c *Chooser) zoneIndex(zone string) int {
	i, known := c.zones[zone]
	if !known {
		i = len(c.zones)
		c.zones[zone] = i
	}
	return i
}

// initialOffset returns a random offset for the pass of a new stage, up to the
// time of a mean request.
func (c *Chooser) initialOffset(weight float64) float64 {
	if c.opts.Rand == nil {
		return 0
	}
	return c.opts.Rand.Float64() * c.meanWork / weight
}
