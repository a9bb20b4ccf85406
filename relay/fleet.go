package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

// membershipOptions trust the servers' own records, because the store keeps
// them without loss: a server that is marked as leaving or whose record is
// gone gets no new requests.
func membershipOptions() membership.Options {
	options := membership.DefaultOptions()
	options.MaxLossFraction = 1
	options.AbsenceGracePeriod = time.Second
	options.HeartbeatMaxAge = 2 * time.Second
	options.BaseEjectionTime = 500 * time.Millisecond
	options.MaxEjectionTime = 8 * time.Second
	options.PenaltyHalfLife = 5 * time.Second
	options.WarmUp = time.Second
	return options
}

// leavingState describes a server that is marked as leaving.
type leavingState struct {
	since time.Time
	// rerouteDue is set once streams are to be rerouted.
	rerouteDue bool
}

// fleet is an entry's view of the backend servers and their load. It is safe
// for concurrent use.
type fleet struct {
	mu         sync.Mutex
	startedAt  time.Time
	membership *membership.View
	servers    map[string]Server
	// byAddr maps addresses to server IDs.
	byAddr map[string]string
	// local is the load of this entry's own requests, by server ID.
	local map[string]*usage
	// slowdowns are the ones that this entry measured with its own polls.
	slowdowns map[string]float64
	random    *rand.Rand
	peers     *peerUsage
	// linkMeters measure the bytes that this entry's requests send over links
	// between zones.
	linkMeters map[string]*rateMeter
	// failedAt are the servers whose latest connection failed, with the time.
	failedAt map[string]time.Time
	// recent is the work sent to engines and over links a moment ago, by server or
	// link ID.
	recent map[string]*recentWork
	// lost are the engines that were found not to work.
	lost map[string]*lostEngine
	// leaving are the servers that are marked as leaving.
	leaving map[string]leavingState
	// avoided are engines that refused a stage of a path, with the time until which
	// they are avoided.
	avoided map[string]time.Time
	// suspectedAt are the engines named as the cause of a refusal although they
	// should have free capacity, with the time of the refusal. suspects are those of
	// them that do not respond, with the time at which that was found.
	suspectedAt, suspects map[string]time.Time
	// dead are the suspects of all entries, with the time until which they count.
	dead map[string]time.Time
	// changes counts changes of lost and leaving, so that streams need not check
	// them at each event.
	changes atomic.Int64
}

func newFleet(random *rand.Rand) *fleet {
	return &fleet{
		startedAt: time.Now(), recent: map[string]*recentWork{}, failedAt: map[string]time.Time{},
		membership: membership.New(membershipOptions()), servers: map[string]Server{}, local: map[string]*usage{},
		slowdowns: map[string]float64{}, random: random, peers: newPeerUsage(),
		linkMeters: map[string]*rateMeter{}, lost: map[string]*lostEngine{}, leaving: map[string]leavingState{}, avoided: map[string]time.Time{}, suspects: map[string]time.Time{},
		suspectedAt: map[string]time.Time{}, dead: map[string]time.Time{},
	}
}

// setServers replaces the complete set of servers.
func (f *fleet) setServers(now time.Time, servers map[string]Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]membership.Instance, 0, len(servers))
	for id, s := range servers {
		list = append(list, s.Instance)
		f.observeRecord(now, f.servers[id], s)
	}
	f.membership.ObserveList(now, list)
	f.servers = servers
	f.byAddr = make(map[string]string, len(servers))
	for id, s := range servers {
		// An address may be reused while the record of its previous server still
		// exists.
		if other, exists := f.byAddr[s.Address]; !exists || servers[other].StartTimeMillis < s.StartTimeMillis {
			f.byAddr[s.Address] = id
		}
	}
	f.updateLeaving(now)
	for id := range f.lost {
		if _, known := servers[id]; !known {
			delete(f.lost, id)
			delete(f.recent, id)
		}
	}
	for id := range f.suspectedAt {
		if _, known := servers[id]; !known {
			delete(f.suspectedAt, id)
			delete(f.dead, id)
		}
	}
}

// maxReturnWait is how long a lost engine is expected to return. One that is
// silent for longer has terminated; its replacement has a new record.
const maxReturnWait = 6 * time.Second

// hasRecentlyLost reports whether some lost engine may still return.
func (f *fleet) hasRecentlyLost(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.lost {
		if now.Sub(l.since) < maxReturnWait {
			return true
		}
	}
	return false
}

// leavingGrace is how long streams stay on an engine that is leaving. Most of
// them end within it, and the engine keeps serving for longer.
const leavingGrace = 1200 * time.Millisecond

func (f *fleet) updateLeaving(now time.Time) {
	for id, state := range f.leaving {
		switch {
		case f.servers[id].ID == "":
			delete(f.leaving, id)
		case !state.rerouteDue && now.Sub(state.since) >= leavingGrace:
			state.rerouteDue = true
			f.leaving[id] = state
			f.changes.Add(1)
		}
	}
}

// staleRecordWindow is how long after the loss of an engine its records may
// still date from before it: they are written about every second and read a
// little later.
const staleRecordWindow = 1800 * time.Millisecond

// observeRecord evaluates the changes in a server's record.
func (f *fleet) observeRecord(now time.Time, old, s Server) {
	if _, marked := f.leaving[s.ID]; s.Leaving && !marked {
		f.leaving[s.ID] = leavingState{since: now}
	}
	if s.StartTimeMillis == old.StartTimeMillis && droppedLayers(old, s) {
		f.changes.Add(1)
	}
	switch {
	case old.ID == "":
	case s.StartTimeMillis != old.StartTimeMillis:
		delete(f.slowdowns, s.ID)
		delete(f.lost, s.ID)
		f.membership.Observe(now, s.ID, membership.Restarted)
	case s.HeartbeatCount != old.HeartbeatCount:
		if l := f.lost[s.ID]; l != nil && now.Sub(l.since) < staleRecordWindow {
			return
		}
		delete(f.lost, s.ID)
		f.membership.Observe(now, s.ID, membership.Heartbeat)
	}
}

// markLost records evidence that an engine does not work, which ends the paths
// through it. It reports whether the engine was not known as lost before.
func (f *fleet) markLost(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.membership.Observe(now, id, membership.HeartbeatTimeout)
	if f.lost[id] != nil {
		return false
	}
	f.lost[id] = &lostEngine{since: now, probeAt: now.Add(firstReturnProbe)}
	f.changes.Add(1)
	return true
}

// observe records direct evidence about a server.
func (f *fleet) observe(now time.Time, id string, e membership.Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.membership.Observe(now, id, e)
	if e == membership.ConnectionRefused || e == membership.ConnectionLost {
		f.failedAt[id] = now
	}
}

// lostFor returns how long an engine has been lost, or 0.
func (f *fleet) lostFor(now time.Time, id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.lost[id]
	if l == nil {
		return 0
	}
	return now.Sub(l.since)
}

// avoidDuration is how long an engine is avoided after it refused a stage: it
// either holds other layers than its record says or has run out of memory.
const avoidDuration = 400 * time.Millisecond

func (f *fleet) avoidEngine(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[id] = now.Add(avoidDuration)
}

// markSuspect records that a refusal named an engine as its cause, and reports
// whether the engine may be dead: it should have free capacity, and it is not
// under suspicion already.
func (f *fleet) markSuspect(now time.Time, id string, capacity float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[id] = now.Add(avoidDuration)
	if now.Sub(f.startedAt) < settleTime || f.inProgress(now, id).layerTokens > nearlyFullFraction*capacity {
		return false
	}
	if at, known := f.suspectedAt[id]; known && now.Sub(at) < avoidDuration {
		return false
	}
	f.suspectedAt[id] = now
	return true
}

// confirmSuspect records that a suspect does not respond, which the other entries
// are told.
func (f *fleet) confirmSuspect(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects[id] = now
	f.dead[id] = now.Add(avoidDuration)
}

// settleTime is how long after its start an entry does not take a refusal or a
// slow response of an engine for its death: engines may still run requests of
// entries that have ended at the same time, and all requests open connections.
const settleTime = 10 * time.Second

// nearlyFullFraction is the fraction of an engine's memory in use above which
// a refusal may be due to lack of memory.
const nearlyFullFraction = 0.7

// suspectHashes returns the current suspects, for the other entries.
func (f *fleet) suspectHashes(now time.Time) (hashes []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, at := range f.suspects {
		if now.Sub(at) > avoidDuration {
			delete(f.suspects, id)
			continue
		}
		hashes = append(hashes, serverHash(id))
	}
	return hashes
}

// applyPeerSuspects avoids the suspects of another entry.
func (f *fleet) applyPeerSuspects(now time.Time, hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.servers {
		if slices.Contains(hashes, serverHash(id)) {
			f.avoided[id] = now.Add(avoidDuration)
			f.dead[id] = now.Add(avoidDuration)
		}
	}
}

// suspectsOn returns the engines of a path that do not respond, except the first.
func (f *fleet) suspectsOn(now time.Time, hops []pipeline.Hop) (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hops[1:] {
		if now.Before(f.dead[h.Engine]) {
			ids = append(ids, h.Engine)
		}
	}
	return ids
}

// droppedLayers reports whether an engine no longer holds some of its layers.
func droppedLayers(old, s Server) bool {
	return old.Layers.Limit > old.Layers.First && (s.Layers.First > old.Layers.First || s.Layers.Limit < old.Layers.Limit)
}

// stillHolds reports whether an engine's record still contains the layers of a
// hop. An engine that drops layers first waits for the requests that use them.
func (f *fleet) stillHolds(h pipeline.Hop) bool {
	s, known := f.servers[h.Engine]
	return !known || s.Layers.First <= h.First && s.Layers.Limit >= h.Limit
}

// unusable returns the engines of a path that are lost, and those that are
// leaving or have dropped the layers of their stage.
func (f *fleet) unusable(hops []pipeline.Hop) (lost, leaving []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hops {
		if f.lost[h.Engine] != nil {
			lost = append(lost, h.Engine)
		} else if f.leaving[h.Engine].rerouteDue || !f.stillHolds(h) {
			leaving = append(leaving, h.Engine)
		}
	}
	return lost, leaving
}

// applyPeerMessage stores another entry's message and reports whether it is
// new.
func (f *fleet) applyPeerMessage(now time.Time, m message) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers.observe(now, m)
}

// freshMessages returns the latest message of each other entry that is not
// silent.
func (f *fleet) freshMessages(now time.Time) []message {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers.freshMessages(now)
}

// localUsage returns what this entry has in progress.
func (f *fleet) localUsage(now time.Time) map[uint64]usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers := make(map[uint64]usage, len(f.local)+len(f.linkMeters))
	for id, u := range f.local {
		servers[serverHash(id)] = *u
	}
	for id, m := range f.linkMeters {
		servers[serverHash(id)] = usage{rate: m.value(now)}
	}
	for id, slowdown := range f.slowdowns {
		u := servers[serverHash(id)]
		u.slowdown = slowdown
		servers[serverHash(id)] = u
	}
	return servers
}

// inProgress returns what all entries have in progress on a server.
func (f *fleet) inProgress(now time.Time, id string) usage {
	total := f.peers.usageOf(now, id)
	if u := f.local[id]; u != nil {
		total.add(*u, 1)
	}
	return total
}

func (f *fleet) setSlowdown(id string, slowdown float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slowdown <= 1 {
		delete(f.slowdowns, id)
		return
	}
	f.slowdowns[id] = slowdown
}

// clearSlowdowns is called when this entry no longer polls the engines.
func (f *fleet) clearSlowdowns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.slowdowns)
}

// snapshot returns the servers by ID.
func (f *fleet) snapshot() map[string]Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers
}

// byAddress returns the server at an address.
func (f *fleet) byAddress(address string) (Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.servers[f.byAddr[address]]
	return s, known
}

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
		return nil, nil, err
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

// engines returns the engines of a model that may receive requests.
func (f *fleet) engines(now time.Time, rev *revision, model string) []pipeline.RelayEngine {
	m := placementModel(rev.models[model])
	var engines []pipeline.RelayEngine
	for _, c := range f.membership.Candidates(now, model) {
		s, known := f.servers[c.ID]
		layers := s.Layers.Limit - s.Layers.First
		if !known || c.Suspect || f.lost[c.ID] != nil || layers <= 0 || now.Before(f.avoided[c.ID]) {
			continue
		}
		accelerator := rev.accelerators[s.Accelerator]
		if accelerator == nil {
			continue
		}
		engines = append(engines, f.relayEngine(now, s, accelerator, m))
	}
	return engines
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

// randomFloat returns a random number in [0, 1).
func (f *fleet) randomFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// chooseServer picks the least loaded server of a non-pipeline service and
// reserves capacity on it.
func (f *fleet) chooseServer(now time.Time, service string, avoid map[string]bool) (Server, *reservation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best Server
	bestLoad, found := 0.0, false
	for _, c := range f.membership.Candidates(now, service) {
		s, known := f.servers[c.ID]
		if !known || avoid[c.ID] {
			continue
		}
		load := f.serverLoad(now, c)
		if !found || load < bestLoad {
			best, bestLoad, found = s, load, true
		}
	}
	if !found {
		return Server{}, nil, false
	}
	return best, f.reserve(map[string]usage{best.ID: {requests: 1}}), true
}

// loadJitter keeps idle servers from being chosen in the order of their IDs.
const loadJitter = 0.5

func (f *fleet) serverLoad(now time.Time, c membership.Candidate) float64 {
	load := f.random.Float64()*loadJitter + float64(f.inProgress(now, c.ID).requests)
	return (load + 1) / max(c.Weight, 0.01)
}
