package pipeline

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// ChooserOptions tune a Chooser. A zero value in a field means its default.
type ChooserOptions struct {
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
	shareGain  = 0.01
	leastShare = 0.001
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
	opts     ChooserOptions
	revision int64
	// stages are in descending order of First, so that each stage comes after
	// all of its possible successors.
	stages []*member
	byName map[string]*member
	zones  map[string]int
	links  *LinkEstimator
	cache  *CacheIndex
	// paths are the links between zones by index, as of pathsVersion.
	paths        [][]path
	pathsVersion int
	// virtual is the time at which a stage that received exactly its share
	// would stand, in seconds of work.
	virtual float64
	// meanWork is the mean load of a request in decode tokens.
	meanWork float64
	// ownRunning and allRunning are moving averages of the requests on a stage
	// that are this Chooser's, and of all entries' requests.
	ownRunning, allRunning float64
}

// path is a link as the Chooser sees it.
type path struct {
	// latency is in seconds, perByte in seconds per byte.
	latency, perByte float64
	// drained is when the link will have sent the prompts of the chains chosen so far.
	drained time.Time
}

// member is what the Chooser knows about a stage.
type member struct {
	Stage
	zone int
	// pass is the work given to the stage divided by its weight, in seconds.
	pass float64
	load Load
	// sent counts requests chosen and not done; atReport is its value at the last load report.
	sent, atReport int
}

// NewChooser returns a Chooser without stages.
func NewChooser(opts ChooserOptions) *Chooser {
	if opts.PrefillSpeedup <= 0 {
		opts.PrefillSpeedup = defaultPrefillSpeedup
	}
	return &Chooser{
		opts:     opts,
		byName:   map[string]*member{},
		zones:    map[string]int{},
		links:    NewLinkEstimator(),
		cache:    NewCacheIndex(),
		meanWork: defaultOutputTokens,
		// Equal averages mean a share of 1 until load reports tell otherwise.
		ownRunning: 1, allRunning: 1,
	}
}

// Update replaces the stages with those that are usable under a plan. Stages
// that remain keep their load, cached prefixes and share of past requests.
func (c *Chooser) Update(revision int64, stages []Stage) {
	c.revision = revision
	old := c.byName
	c.byName = make(map[string]*member, len(stages))
	c.stages = c.stages[:0]
	for _, s := range stages {
		if s.Weight <= 0 || s.Limit <= s.First || s.First < 0 || s.Limit > c.opts.Layers {
			continue
		}
		m, known := old[s.Instance]
		if !known {
			m = &member{pass: c.virtual + c.spread(s.Weight)}
		}
		m.Stage = s
		m.zone = c.zoneIndex(s.Zone)
		c.byName[s.Instance] = m
		c.stages = append(c.stages, m)
	}
	for name := range old {
		if c.byName[name] == nil {
			c.cache.Forget(name)
		}
	}
	sort.SliceStable(c.stages, func(i, j int) bool { return c.stages[i].First > c.stages[j].First })
}

// Observe takes a load report. A report older than the last one is ignored.
func (c *Chooser) Observe(load Load) {
	m := c.byName[load.Instance]
	if m == nil || load.At.Before(m.load.At) {
		return
	}
	m.load = load
	m.atReport = m.sent
	c.ownRunning += shareGain * (float64(m.sent) - c.ownRunning)
	c.allRunning += shareGain * (float64(load.Running+load.Queued) - c.allRunning)
}

// share is the part of all requests that this Chooser places.
func (c *Chooser) share() float64 {
	return min(1, max(leastShare, c.ownRunning/c.allRunning))
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
		if m := c.byName[s.Instance]; m != nil && m.sent > 0 {
			m.sent--
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
	*member
	allCached, someMissed label
	// own is the stage's cost in seconds, and saving the part of it that goes
	// if every later stage has the prefix cached as well.
	own, saving float64
	// saved is the cached prompt in decode tokens of work.
	saved float64
}

// Choose returns the chain with the least cost whose ranges tile the layers.
// It never uses an instance in exclude. The cost of a stage is its lead over
// its planned share plus its load, in seconds; the cost of a hop is the
// transfer time of the request's tokens.
func (c *Chooser) Choose(req Request, exclude map[string]bool) (Chain, error) {
	req, work := c.sized(req)
	s := c.newSearch(req, len(c.stages))
	for _, m := range c.stages {
		if exclude[m.Instance] || m.load.Draining || m.load.Down {
			continue
		}
		saved := c.cache.SavedTokens(m.Instance, req) / c.opts.PrefillSpeedup
		s.visit(candidate{
			member: m, own: c.stageCost(m, work, req.At), saved: saved, saving: c.leadScale() * saved / m.Weight,
		})
	}
	chain, err := c.build(s, req, work)
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
	req, work := c.sized(req)
	pool := c.withKept(broken, lost)
	s := c.newSearch(req, len(pool))
	for _, m := range pool {
		if lost[m.Instance] || m.Version != broken.Version() {
			continue
		}
		if broken.holds(m.Stage) {
			again := c.stageCost(m, 0, req.At) + replay(m.Stage)
			s.visit(candidate{member: m, own: again, saving: again})
			continue
		}
		if !m.load.Draining && !m.load.Down {
			s.visit(candidate{member: m, own: c.stageCost(m, work, req.At) + restore(m.Stage)})
		}
	}
	chain, err := c.build(s, req, 0)
	if err != nil {
		return Chain{}, err
	}
	for _, st := range chain.Stages {
		if m := c.byName[st.Instance]; m != nil && !broken.holds(st) {
			c.charge(m, work)
			m.sent--
		}
	}
	chain.Revision = broken.Revision
	c.Done(broken)
	return chain, nil
}

// withKept returns the stages in descending order of First, together with the
// kept stages of a broken chain whose ranges the current plan has changed.
func (c *Chooser) withKept(broken Chain, lost map[string]bool) []*member {
	kept := map[string]Stage{}
	for _, s := range broken.Stages {
		if !lost[s.Instance] {
			kept[s.Instance] = s
		}
	}
	var pool []*member
	for _, m := range c.stages {
		if s, was := kept[m.Instance]; was && (s.First != m.First || s.Limit != m.Limit) {
			continue
		}
		delete(kept, m.Instance)
		pool = append(pool, m)
	}
	for _, s := range kept {
		pool = append(pool, &member{Stage: s, zone: c.zoneIndex(s.Zone), pass: c.virtual})
	}
	sort.SliceStable(pool, func(i, j int) bool { return pool[i].First > pool[j].First })
	return pool
}

// holds tells whether a stage with the same range is in the chain.
func (c Chain) holds(stage Stage) bool {
	for _, s := range c.Stages {
		if s.Instance == stage.Instance && s.First == stage.First && s.Limit == stage.Limit && s.Version == stage.Version {
			return true
		}
	}
	return false
}

// sized fills in the request's length and returns its work in decode tokens.
func (c *Chooser) sized(req Request) (Request, float64) {
	if req.OutputTokens <= 0 {
		req.OutputTokens = defaultOutputTokens
	}
	return req, float64(req.OutputTokens) + float64(req.PromptTokens)/c.opts.PrefillSpeedup
}

// search is a shortest path from the last layer to the first.
type search struct {
	layers int
	hops   [][]float64
	// heads are the best candidates by first layer.
	heads [][]*candidate
	// pool has room for all candidates, so that pointers into it stay valid.
	pool []candidate
}

func (c *Chooser) newSearch(req Request, stages int) *search {
	return &search{
		layers: c.opts.Layers, hops: c.hopCosts(req),
		heads: make([][]*candidate, c.opts.Layers+1), pool: make([]candidate, 0, stages),
	}
}

// visit adds a candidate. Candidates must come in descending order of First.
func (s *search) visit(of candidate) {
	s.pool = append(s.pool, of)
	k := &s.pool[len(s.pool)-1]
	s.extend(k)
	if math.IsInf(k.allCached.cost, 1) && math.IsInf(k.someMissed.cost, 1) {
		return
	}
	s.heads[k.First] = keepBest(s.heads[k.First], k)
}

// extend sets the candidate's labels from the best candidates after it.
func (s *search) extend(k *candidate) {
	k.allCached.cost = math.Inf(1)
	k.someMissed.cost = math.Inf(1)
	cached := k.own - k.saving
	if k.Limit == s.layers {
		if k.saving > 0 {
			k.allCached.cost = cached
		} else {
			k.someMissed.cost = k.own
		}
		return
	}
	for _, n := range s.heads[k.Limit] {
		hop := s.hops[k.zone][n.zone]
		if k.saving > 0 {
			k.allCached.relax(cached+hop+n.allCached.cost, n)
		} else {
			k.someMissed.relax(k.own+hop+n.allCached.cost, n)
		}
		k.someMissed.relax(k.own+hop+n.someMissed.cost, n)
	}
}

func (l *label) relax(cost float64, next *candidate) {
	if cost < l.cost {
		*l = label{cost: cost, next: next}
	}
}

// keepBest keeps, for each zone, the candidates that are best for either label.
func keepBest(heads []*candidate, k *candidate) []*candidate {
	kept := heads[:0]
	for _, h := range heads {
		if h.beats(k) {
			return heads
		}
		if !k.beats(h) {
			kept = append(kept, h)
		}
	}
	return append(kept, k)
}

func (k *candidate) beats(other *candidate) bool {
	return k.zone == other.zone && k.allCached.cost <= other.allCached.cost && k.someMissed.cost <= other.someMissed.cost
}

// build follows the labels from the best first stage and charges its stages.
func (c *Chooser) build(s *search, req Request, work float64) (Chain, error) {
	var best *candidate
	bestCost := math.Inf(1)
	for _, k := range s.heads[0] {
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
		charged := work
		way := k.someMissed
		if cached {
			charged -= k.saved
			way = k.allCached
		}
		chain.Stages = append(chain.Stages, k.Stage)
		c.charge(k.member, charged)
		if way.next != nil && !cached {
			// A stage without the prefix may be followed by stages that all have it.
			cached = k.saving <= 0 && way.next.allCached.cost <= way.next.someMissed.cost
		}
		k = way.next
	}
	c.queuePrompt(chain, req)
	return chain, nil
}

// charge adds a request's work to the stage's share.
func (c *Chooser) charge(m *member, work float64) {
	own := work / m.Weight
	bound := max(maxLead, 2*own)
	m.pass = max(m.pass, c.virtual-bound) + own
	m.pass = min(m.pass, c.virtual+bound)
	m.sent++
}

// advance moves the virtual time by the time that the whole plan needs for a request's work.
func (c *Chooser) advance(work float64) {
	total := 0.0
	for i := len(c.stages) - 1; i >= 0 && c.stages[i].First == 0; i-- {
		total += c.stages[i].Weight
	}
	c.virtual += work / total
	c.meanWork += (work - c.meanWork) / 64
}

// stageCost is the stage's lead over its share once it has taken the work,
// plus its load, in seconds of work.
func (c *Chooser) stageCost(m *member, work float64, at time.Time) float64 {
	own := work / m.Weight
	lead := max(m.pass-c.virtual, -max(maxLead, 2*own)) + own
	age := max(at.Sub(m.load.At), 0)
	trust := 0.0
	if !m.load.At.IsZero() {
		trust = math.Exp2(-float64(age) / float64(loadHalfLife))
	}
	inFlight := max(0, m.load.Running+m.load.Queued+m.sent-m.atReport)
	return c.leadScale()*lead + loadGain*trust*float64(inFlight)*c.meanWork/m.Weight
}

// leadScale converts a lead of this Chooser to one of all entries together.
func (c *Chooser) leadScale() float64 {
	return leadGain / c.share()
}

// hopCosts is the transfer time of a request's prompt and generated tokens
// between each two zones, in seconds.
func (c *Chooser) hopCosts(req Request) [][]float64 {
	c.refreshPaths()
	frames := float64(req.OutputTokens + 1)
	bytes := float64(c.opts.ActivationBytes) * float64(req.OutputTokens+req.PromptTokens)
	costs := make([][]float64, len(c.paths))
	cells := make([]float64, len(c.paths)*len(c.paths))
	for i, row := range c.paths {
		costs[i] = cells[i*len(row) : (i+1)*len(row)]
		for j, p := range row {
			costs[i][j] = p.latency*frames + p.perByte*bytes
			if p.drained.After(req.At) {
				costs[i][j] += p.drained.Sub(req.At).Seconds()
			}
		}
	}
	return costs
}

// refreshPaths copies the estimates of links when they or the zones have changed.
func (c *Chooser) refreshPaths() {
	if c.pathsVersion == c.links.version && len(c.paths) == len(c.zones) {
		return
	}
	old := c.paths
	c.paths = make([][]path, len(c.zones))
	for from, i := range c.zones {
		c.paths[i] = make([]path, len(c.zones))
		for to, j := range c.zones {
			p := &c.paths[i][j]
			p.latency, p.perByte = c.links.Estimate(from, to)
			if i < len(old) && j < len(old) {
				p.drained = old[i][j].drained
			}
		}
	}
	c.pathsVersion = c.links.version
}

// queuePrompt notes that a request's prompt takes up the links between the
// stages' zones. Many requests chosen at once, as after the loss of a stage,
// would otherwise all take the same link before its delay is measured.
func (c *Chooser) queuePrompt(chain Chain, req Request) {
	bytes := float64(c.opts.ActivationBytes) * float64(req.PromptTokens)
	for i := 1; i < len(chain.Stages); i++ {
		from, to := c.zones[chain.Stages[i-1].Zone], c.zones[chain.Stages[i].Zone]
		if from == to {
			continue
		}
		p := &c.paths[from][to]
		if p.drained.Before(req.At) {
			p.drained = req.At
		}
		p.drained = p.drained.Add(seconds(p.perByte * bytes))
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

func (c *Chooser) spread(weight float64) float64 {
	if c.opts.Rand == nil {
		return 0
	}
	return c.opts.Rand.Float64() * c.meanWork / weight
}
