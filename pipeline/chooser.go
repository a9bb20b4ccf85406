package pipeline

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Options tune a Chooser. A zero value in a field means its default.
type Options struct {
	// Layers is the number of the model's layers.
	Layers int
	// ActivationBytes is what one token sends from one stage to the next.
	ActivationBytes int64
	// PrefillSpeedup is how many times faster prompt tokens run than generated ones.
	PrefillSpeedup float64
	// Rand spreads the first choices of different entries; nil means no spread.
	Rand *rand.Rand
}

const (
	// maxLead bounds how far a stage's past share of requests counts, in
	// seconds of work. Without a bound, an engine that was slow for a while
	// would be owed a burst of requests later.
	maxLead = 2.0
	// leadGain weighs the lead over the planned share. The lead is divided by
	// the Chooser's share of all requests, because all entries act alike: with
	// 40 entries one request too many at each is 40 too many at the engine.
	leadGain = 0.25
	// shareGain is the weight of a load report in the estimate of the own share.
	shareGain = 0.01
	minShare  = 0.001
	// loadGain weighs reported load against planned share. Reports lag, so a
	// gain of 1 would make all entries move to the same engine at once.
	loadGain = 0.5
	// loadHalfLife is the age at which a load report counts half.
	loadHalfLife = 2 * time.Second
	// defaultOutputTokens stands in when a request does not say its length.
	defaultOutputTokens = 224
	// defaultPrefillSpeedup stands in when the model does not say its speedup.
	defaultPrefillSpeedup = 20
)

// Chooser picks a chain for each request. Stages are selected smoothly in
// proportion to their weights; live load, cached prefixes and the time between
// zones shift the selection. A Chooser is not safe for concurrent use.
type Chooser struct {
	opts     Options
	revision int64
	// stages are in descending order of First, so that each stage comes after
	// all of its possible successors.
	stages     []*stageState
	byInstance map[string]*stageState
	zones      map[string]int
	links      *Links
	cache      *CacheIndex
	// zoneLinks are the links between zones by index, as of linksVersion.
	zoneLinks    [][]linkState
	linksVersion int
	// virtualTime is the time at which a stage that received exactly its share
	// would stand, in seconds of work.
	virtualTime float64
	// meanWork is the mean load of a request in decode tokens.
	meanWork float64
	// ownRunning and allRunning are moving averages of the requests on a stage
	// that are this Chooser's, and of all entries' requests.
	ownRunning, allRunning float64
}

// linkState is a link as the Chooser sees it.
type linkState struct {
	// latency is in seconds, perByte in seconds per byte.
	latency, perByte float64
	// busyUntil is when the link will have sent the prompts of the chains chosen so far.
	busyUntil time.Time
}

// stageState is what the Chooser knows about a stage.
type stageState struct {
	Stage
	zone int
	// pass is the work given to the stage divided by its weight, in seconds.
	pass float64
	load Load
	// outstanding counts requests chosen and not done; outstandingAtReport is its value at the last load report.
	outstanding, outstandingAtReport int
}

// NewChooser returns a Chooser without stages.
func NewChooser(opts Options) *Chooser {
	if opts.PrefillSpeedup <= 0 {
		opts.PrefillSpeedup = defaultPrefillSpeedup
	}
	return &Chooser{
		opts:       opts,
		byInstance: map[string]*stageState{},
		zones:      map[string]int{},
		links:      NewLinks(),
		cache:      NewCacheIndex(),
		meanWork:   defaultOutputTokens,
		// Equal averages mean a share of 1 until load reports tell otherwise.
		ownRunning: 1, allRunning: 1,
	}
}

// Update replaces the stages with those that are usable under a plan. Stages
// that remain keep their load, cached prefixes and share of past requests.
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

// Observe takes a load report. A report older than the last one is ignored.
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

// trafficShare is the part of all requests that this Chooser places.
func (c *Chooser) trafficShare() float64 {
	return min(1, max(minShare, c.ownRunning/c.allRunning))
}

// SetLink gives the configured speed of a link, which holds until it is measured.
func (c *Chooser) SetLink(from, to string, bytesPerSecond float64, latency time.Duration) {
	c.links.Set(from, to, bytesPerSecond, latency)
}

// ObserveLink takes the transfer time of one frame between two zones.
func (c *Chooser) ObserveLink(from, to string, bytes int64, took time.Duration) {
	c.links.Observe(from, to, bytes, took)
}

// ObserveCache takes a cache event of an engine.
func (c *Chooser) ObserveCache(event CacheEvent) {
	c.cache.Observe(event)
}

// Done says that a chain returned by Choose is no longer in use.
func (c *Chooser) Done(chain Chain) {
	for _, s := range chain.Stages {
		if m := c.byInstance[s.Instance]; m != nil && m.outstanding > 0 {
			m.outstanding--
		}
	}
}

// label is the best way to finish a chain from a stage.
type label struct {
	cost float64
	next *candidate
}

// candidate is a stage that may be part of the chain under construction.
// Labels are kept apart by whether every later stage has the prompt's prefix
// cached, because a stage can skip cached tokens only if no later stage needs
// their activations.
type candidate struct {
	*stageState
	allCached, someMissed label
	// cost is the stage's cost in seconds, and saving the part of it that goes
	// if every later stage has the prefix cached as well.
	cost, cachedSaving float64
	// cachedWork is the cached prompt in decode tokens of work.
	cachedWork float64
}

// Choose returns the chain with the least cost whose ranges tile the layers.
// It never uses an instance in exclude. The cost of a stage is its lead over
// its planned share plus its load, in seconds; the cost of a hop is the
// transfer time of the request's tokens.
func (c *Chooser) Choose(req Request, exclude map[string]bool) (Chain, error) {
	req, work := c.estimateWork(req)
	s := c.newSearch(req, len(c.stages))
	for _, m := range c.stages {
		if exclude[m.Instance] || m.load.Draining || m.load.Down {
			continue
		}
		saved := c.cache.Saved(m.Instance, req) / c.opts.PrefillSpeedup
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

// Repair returns a chain in place of one that has lost stages. Stages of the
// broken chain that are not lost cost nothing if all stages after them are kept
// as well, since they hold the request's KV cache. If a later stage is new,
// they run the replay and cost it together with their lead and load, as new
// stages do; only the new ones also cost the request's work. The chain keeps the revision of the broken one: ranges
// of another plan are used only where they fit between the ranges that remain.
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

// repairStages returns the stages in descending order of First, together with the
// kept stages of a broken chain whose ranges the current plan has changed.
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

// contains tells whether a stage with the same range is in the chain.
func (c Chain) contains(stage Stage) bool {
	for _, s := range c.Stages {
		if s.Instance == stage.Instance && s.First == stage.First && s.Limit == stage.Limit && s.Version == stage.Version {
			return true
		}
	}
	return false
}

// estimateWork fills in the request's length and returns its work in decode tokens.
func (c *Chooser) estimateWork(req Request) (Request, float64) {
	if req.OutputTokens <= 0 {
		req.OutputTokens = defaultOutputTokens
	}
	return req, float64(req.OutputTokens) + float64(req.PromptTokens)/c.opts.PrefillSpeedup
}

// search is a shortest path from the last layer to the first.
type search struct {
	layers   int
	hopCosts [][]float64
	// byFirst are the best candidates by first layer.
	byFirst [][]*candidate
	// pool has room for all candidates, so that pointers into it stay valid.
	pool []candidate
}

func (c *Chooser) newSearch(req Request, stages int) *search {
	return &search{
		layers: c.opts.Layers, hopCosts: c.hopCosts(req),
		byFirst: make([][]*candidate, c.opts.Layers+1), pool: make([]candidate, 0, stages),
	}
}

// addCandidate adds a candidate. Candidates must come in descending order of First.
func (s *search) addCandidate(initial candidate) {
	s.pool = append(s.pool, initial)
	k := &s.pool[len(s.pool)-1]
	s.computeLabels(k)
	if math.IsInf(k.allCached.cost, 1) && math.IsInf(k.someMissed.cost, 1) {
		return
	}
	s.byFirst[k.First] = addNondominated(s.byFirst[k.First], k)
}

// computeLabels sets the candidate's labels from the best candidates after it.
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

// addNondominated keeps, for each zone, the candidates that are best for either label.
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

// buildChain follows the labels from the best first stage and charges its stages.
func (c *Chooser) buildChain(s *search, req Request, work float64) (Chain, error) {
	var best *candidate
	bestCost := math.Inf(1)
	for _, k := range s.byFirst[0] {
		cost := min(k.allCached.cost, k.someMissed.cost)
		// The entry sends text, so only the latency of its link counts.
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
			// A stage without the prefix may be followed by stages that all have it.
			cached = k.cachedSaving <= 0 && chosen.next.allCached.cost <= chosen.next.someMissed.cost
		}
		k = chosen.next
	}
	c.occupyLinks(chain, req)
	return chain, nil
}

// charge adds a request's work to the stage's share.
func (c *Chooser) charge(m *stageState, work float64) {
	own := work / m.Weight
	bound := max(maxLead, 2*own)
	m.pass = max(m.pass, c.virtualTime-bound) + own
	m.pass = min(m.pass, c.virtualTime+bound)
	m.outstanding++
}

// advance moves the virtual time by the time that the whole plan needs for a request's work.
func (c *Chooser) advance(work float64) {
	total := 0.0
	for i := len(c.stages) - 1; i >= 0 && c.stages[i].First == 0; i-- {
		total += c.stages[i].Weight
	}
	c.virtualTime += work / total
	c.meanWork += (work - c.meanWork) / 64
}

// stageCost is the stage's lead over its share once it has taken the work,
// plus its load, in seconds of work.
func (c *Chooser) stageCost(m *stageState, work float64, at time.Time) float64 {
	own := work / m.Weight
	lead := max(m.pass-c.virtualTime, -max(maxLead, 2*own)) + own
	age := max(at.Sub(m.load.At), 0)
	trust := 0.0
	if !m.load.At.IsZero() {
		trust = math.Exp2(-float64(age) / float64(loadHalfLife))
	}
	inFlight := max(0, m.load.Running+m.load.Queued+m.outstanding-m.outstandingAtReport)
	return c.leadScale()*lead + loadGain*trust*float64(inFlight)*c.meanWork/m.Weight
}

// leadScale converts a lead of this Chooser to one of all entries together.
func (c *Chooser) leadScale() float64 {
	return leadGain / c.trafficShare()
}

// hopCosts is the transfer time of a request's prompt and generated tokens
// between each two zones, in seconds.
func (c *Chooser) hopCosts(req Request) [][]float64 {
	c.refreshZoneLinks()
	frames := float64(req.OutputTokens + 1)
	bytes := float64(c.opts.ActivationBytes) * float64(req.OutputTokens+req.PromptTokens)
	costs := make([][]float64, len(c.zoneLinks))
	cells := make([]float64, len(c.zoneLinks)*len(c.zoneLinks))
	for i, row := range c.zoneLinks {
		costs[i] = cells[i*len(row) : (i+1)*len(row)]
		for j, p := range row {
			costs[i][j] = p.latency*frames + p.perByte*bytes
			if p.busyUntil.After(req.At) {
				costs[i][j] += p.busyUntil.Sub(req.At).Seconds()
			}
		}
	}
	return costs
}

// refreshZoneLinks copies the estimates of links when they or the zones have changed.
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

// occupyLinks notes that a request's prompt takes up the links between the
// stages' zones. Many requests chosen at once, as after the loss of a stage,
// would otherwise all take the same link before its delay is measured.
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

func (c *Chooser) initialOffset(weight float64) float64 {
	if c.opts.Rand == nil {
		return 0
	}
	return c.opts.Rand.Float64() * c.meanWork / weight
}
