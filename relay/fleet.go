package relay

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/ratelimit"
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

// fleet is an entry's view of the backend servers and their load. It is safe
// for concurrent use.
type fleet struct {
	mu         sync.Mutex
	startedAt  time.Time
	membership *membership.View
	servers    map[string]Server
	// byAddr maps addresses to server IDs, byService services to the IDs of their servers.
	byAddr    map[string]string
	byService map[string][]string
	// indexedAt is when the list of servers was last observed.
	indexedAt time.Time
	// byProcess maps process hashes to server IDs. It is made when a message needs it.
	byProcess map[uint64]string
	// local is the load of this entry's own requests, by server ID.
	local map[string]*usage
	// slowdowns are the ones that this entry measured with its own polls.
	slowdowns map[string]float64
	random    *rand.Rand
	peers     *peerUsage
	// linkMeters measure the bytes that this entry's requests send over links
	// between zones.
	linkMeters map[string]*rateMeter
	// recent is the work sent to engines and over links a moment ago, by server or
	// link ID.
	recent map[string]*recentWork
	// conditions are what speaks against sending work to servers. limitShare is this
	// entry's part of the rate limits among them.
	conditions *condition.Book
	limitShare ratelimit.Share
	// slotWants are what other entries need slots for, by process.
	slotWants map[uint64]slotWant
	// groups are the engines of models with very many, and searchedAll is when all of
	// them were last searched, by model.
	groups      map[string]*engineGroups
	searchedAll map[searchKey]time.Time
	// loads are what servers have stated of their load in answers.
	loads map[string]statedLoad
	// firstEventTime is the mean time that streams have waited for their first event.
	firstEventTime time.Duration
	// changes counts the engines that were lost or that streams must leave, so that
	// streams need not check them at each event.
	changes atomic.Int64
}

func newFleet(random *rand.Rand) *fleet {
	return &fleet{
		startedAt: time.Now(), recent: map[string]*recentWork{}, conditions: condition.New(),
		membership: membership.New(membershipOptions()), servers: map[string]Server{}, local: map[string]*usage{},
		slowdowns: map[string]float64{}, random: random, peers: newPeerUsage(),
		linkMeters: map[string]*rateMeter{}, slotWants: map[uint64]slotWant{}, loads: map[string]statedLoad{},
		groups: map[string]*engineGroups{}, searchedAll: map[searchKey]time.Time{},
	}
}

// setServers replaces the complete set of servers.
func (f *fleet) setServers(now time.Time, servers map[string]Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed, moved := len(servers) != len(f.servers), len(servers) != len(f.servers)
	for id, s := range servers {
		old := f.servers[id]
		moved = moved || !samePlace(old, s)
		changed = changed || old.Instance != s.Instance || old.StartTimeMillis != s.StartTimeMillis
		f.observeRecord(now, old, s)
	}
	f.servers = servers
	if moved {
		clear(f.groups)
	}
	// Most updates of a large fleet are heartbeats only. Without changes the list is still
	// observed now and then: what is known of servers that are gone expires with time.
	if changed || now.Sub(f.indexedAt) >= indexInterval {
		f.indexServers(now)
	}
	maps.DeleteFunc(f.loads, func(id string, _ statedLoad) bool { return servers[id].ID == "" })
	f.conditions.Keep(func(id string) bool { return servers[id].ID != "" })
	f.changes.Add(int64(f.conditions.UpdateLeaving(now)))
	for id, r := range f.recent {
		if now.Sub(r.updatedAt) > recentWorkExpiry {
			delete(f.recent, id)
		}
	}
}

// indexInterval is how often the list of servers is observed at least while it is read.
const indexInterval = time.Second

// indexServers derives from the servers what depends on their identity.
func (f *fleet) indexServers(now time.Time) {
	f.indexedAt = now
	list := make([]membership.Instance, 0, len(f.servers))
	f.byAddr = make(map[string]string, len(f.servers))
	f.byProcess = nil
	f.byService = map[string][]string{}
	for id, s := range f.servers {
		list = append(list, s.Instance)
		f.byService[s.Service] = append(f.byService[s.Service], id)
		// An address may be reused while the record of its previous server still
		// exists.
		if other, exists := f.byAddr[s.Address]; !exists || f.servers[other].StartTimeMillis < s.StartTimeMillis {
			f.byAddr[s.Address] = id
		}
	}
	f.membership.ObserveList(now, list)
}

// hasRecentlyLost reports whether some lost engine may still return.
func (f *fleet) hasRecentlyLost(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conditions.AnyMayReturn(now)
}

// observeRecord evaluates the changes in a server's record.
func (f *fleet) observeRecord(now time.Time, old, s Server) {
	restarted := old.ID != "" && s.StartTimeMillis != old.StartTimeMillis
	if restarted {
		delete(f.slowdowns, s.ID)
		f.conditions.Forget(s.ID)
		f.membership.Observe(now, s.ID, membership.Restarted)
	}
	if s.Leaving {
		f.conditions.MarkLeaving(now, s.ID)
	}
	if s.Layers != old.Layers {
		f.conditions.ForgetRefusals(s.ID)
	}
	if s.StartTimeMillis == old.StartTimeMillis && droppedLayers(old, s) {
		f.changes.Add(1)
	}
	if old.ID == "" || restarted || s.HeartbeatCount == old.HeartbeatCount {
		return
	}
	if f.conditions.ObserveHeartbeat(now, s.ID) {
		f.membership.Observe(now, s.ID, membership.Heartbeat)
	}
}

// markLost records evidence that an engine does not work, which ends the paths
// through it. It reports whether the engine was not known as lost before.
func (f *fleet) markLost(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.membership.Observe(now, id, membership.HeartbeatTimeout)
	if !f.conditions.MarkLost(now, id) {
		return false
	}
	f.changes.Add(1)
	return true
}

// observe records direct evidence about a server.
func (f *fleet) observe(now time.Time, id string, e membership.Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.membership.Observe(now, id, e)
	if e == membership.ConnectionRefused || e == membership.ConnectionLost {
		f.conditions.MarkFailed(now, id)
	}
}

// lostFor returns how long an engine has been lost, or 0.
func (f *fleet) lostFor(now time.Time, id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conditions.LostFor(now, id)
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
		if f.conditions.IsLost(h.Engine) {
			lost = append(lost, h.Engine)
		} else if f.conditions.MustLeave(h.Engine) || !f.stillHolds(h) {
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

// hearsLeaseHolder reports whether another entry announces that it holds the lease.
func (f *fleet) hearsLeaseHolder(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.peers.byEntry {
		if e.term > 0 && now.Sub(e.receivedAt) <= messageTTL {
			return true
		}
	}
	return false
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
		setSlowdown(servers, id, slowdown)
	}
	for _, id := range f.conditions.Unanswering(now) {
		setSlowdown(servers, id, condition.UnansweredSlowdown)
	}
	for _, id := range f.conditions.Refusing(now) {
		u := servers[serverHash(id)]
		u.slowdown = max(u.slowdown, refusedSlowdown)
		servers[serverHash(id)] = u
	}
	return servers
}

func setSlowdown(servers map[uint64]usage, id string, slowdown float64) {
	u := servers[serverHash(id)]
	u.slowdown = slowdown
	servers[serverHash(id)] = u
}

// leaveUnanswered records that a server has left a request without an answer for too
// long, and reports whether that was not known.
func (f *fleet) leaveUnanswered(now, sentAt time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conditions.LeaveUnanswered(now, sentAt, id)
}

// recordProgress records that a stream makes progress along a path.
func (f *fleet) recordProgress(now time.Time, hops []pipeline.Hop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hops {
		f.conditions.RecordProgress(now, h.Engine)
	}
}

// firstEventWeight is the weight of a new measurement in the mean.
const firstEventWeight = 0.1

// recordFirstEvent records how long a stream has waited for its first event.
func (f *fleet) recordFirstEvent(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstEventTime == 0 {
		f.firstEventTime = took
	}
	f.firstEventTime += time.Duration(firstEventWeight * float64(took-f.firstEventTime))
}

// meanFirstEvent returns the mean time that streams wait for their first event.
func (f *fleet) meanFirstEvent() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstEventTime
}

// workedSince reports whether a stream has made progress at an engine since a time.
func (f *fleet) workedSince(since time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conditions.WorkedSince(since, id)
}

// recordSent records that a request was sent to a server.
func (f *fleet) recordSent(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.RecordSent(now, id)
}

// leavesUnanswered reports whether some entry has found that a server leaves requests
// without an answer.
func (f *fleet) leavesUnanswered(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inProgress(now, id).slowdown >= condition.UnansweredSlowdown
}

// recordAnswer records that a server has answered a request.
func (f *fleet) recordAnswer(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.RecordAnswer(time.Now(), id)
}

// inProgress returns what all entries have in progress on a server, and whether it
// leaves requests without an answer.
func (f *fleet) inProgress(now time.Time, id string) usage {
	total := f.peers.usageOf(now, id)
	total.slowdown = max(total.slowdown, f.conditions.Slowdown(now, id))
	if u := f.local[id]; u != nil {
		total.add(*u, 1)
	}
	return total
}

// isWatched reports whether the status of a server matters now: some entry has requests
// in progress on it, or it was slow and gets few of them until it is known to be fast.
func (f *fleet) isWatched(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slowdowns[id] > 1 || f.inProgress(now, id).requests > 0
}

// serves reports whether requests are in progress on some server of a service.
func (f *fleet) serves(now time.Time, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.byService[service], func(id string) bool { return f.inProgress(now, id).requests > 0 })
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

// randomFloat returns a random number in [0, 1).
func (f *fleet) randomFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// chooseServer picks the least loaded server of a non-pipeline service and reserves
// capacity on it. Servers whose rate limits leave no room now come last; the request
// must then be sent after a wait of at most maxWait.
func (f *fleet) chooseServer(now time.Time, service string, avoid map[string]bool, maxWait time.Duration) (chosenServer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best chosenServer
	bestLoad, found := 0.0, false
	for _, c := range f.membership.Candidates(now, service) {
		s, known := f.servers[c.ID]
		if !known || !f.takesCalls(now, c.ID, avoid) {
			continue
		}
		wait := f.conditions.Limits.Wait(now, c.ID)
		if wait > maxWait {
			continue
		}
		load := f.serverLoad(now, c)
		if !found || cmp.Or(cmp.Compare(wait, best.wait), cmp.Compare(load, bestLoad)) < 0 {
			best, bestLoad, found = chosenServer{Server: s, wait: wait}, load, true
		}
	}
	if !found {
		f.wantSlots(now, service)
		return chosenServer{}, false
	}
	f.conditions.Limits.Charge(now, best.ID)
	best.reserved = f.reserve(map[string]usage{best.ID: {requests: 1}})
	return best, true
}

// hasAnsweringServer reports whether a service has a server other than one that takes
// calls now and is not known to leave requests without an answer.
func (f *fleet) hasAnsweringServer(now time.Time, service string, avoid map[string]bool, other string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.membership.Candidates(now, service), func(c membership.Candidate) bool {
		return c.ID != other && f.takesCalls(now, c.ID, avoid) && f.inProgress(now, c.ID).slowdown <= 1
	})
}

// hasServer reports whether a service has a server that takes calls now, other than those
// to avoid.
func (f *fleet) hasServer(now time.Time, service string, avoid map[string]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.membership.Candidates(now, service), func(c membership.Candidate) bool {
		return f.takesCalls(now, c.ID, avoid)
	})
}

// takesCalls reports whether nothing speaks against a call to a server. The caller holds
// the lock.
func (f *fleet) takesCalls(now time.Time, id string, avoid map[string]bool) bool {
	return !avoid[id] && f.conditions.Against(now, id, condition.Call) == condition.None
}

// serviceSlots returns how many calls the servers of a service execute at a time.
func (f *fleet) serviceSlots(service string) (slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.byService[service] {
		slots += f.servers[id].Slots
	}
	return slots
}

// explainUnavailable says, for the log, why no server of a service takes a request.
func (f *fleet) explainUnavailable(now time.Time, service string, avoid map[string]bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	reasons := map[string]int{}
	for _, id := range f.byService[service] {
		reasons[f.unavailableBecause(now, id, avoid)]++
	}
	if len(reasons) == 0 {
		return "no server of the service is known"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		parts = append(parts, strconv.Itoa(reasons[reason])+" because "+reason)
	}
	return strings.Join(parts, "; ")
}

func (f *fleet) unavailableBecause(now time.Time, id string, avoid map[string]bool) string {
	against := f.conditions.Against(now, id, condition.Call)
	switch {
	case avoid[id]:
		return "it has failed this request"
	case against != condition.None:
		return string(against)
	case f.conditions.IsLeaving(id):
		return "it is leaving"
	case f.conditions.Limits.Wait(now, id) > 0:
		return "its rate limit leaves no room"
	default:
		return "it is left out after failures"
	}
}

// statedLoad is the load that a server has stated in an answer.
type statedLoad struct {
	requests int
	statedAt time.Time
}

// statedLoadTTL is how long that counts: until the other entries' messages tell it too.
const statedLoadTTL = maxUsageInterval

// at returns the stated number of requests, or 0 if it is too old.
func (l statedLoad) at(now time.Time) int {
	if now.Sub(l.statedAt) > statedLoadTTL {
		return 0
	}
	return l.requests
}

// recordLoad records the load that a server states.
func (f *fleet) recordLoad(now time.Time, id string, requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[id] = statedLoad{requests, now}
}

// chosenServer is a server to which a request is to be sent after a wait.
type chosenServer struct {
	Server
	reserved *reservation
	wait     time.Duration
}

// loadJitter keeps idle servers from being chosen in the order of their IDs.
const loadJitter = 0.5

func (f *fleet) serverLoad(now time.Time, c membership.Candidate) float64 {
	u := f.inProgress(now, c.ID)
	load := f.random.Float64()*loadJitter + float64(max(u.requests, f.loads[c.ID].at(now)))
	return (load + 1) * max(u.slowdown, 1) / max(c.Weight, 0.01)
}
