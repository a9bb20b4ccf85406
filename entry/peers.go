package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/wire"
)

// peerSet holds the connections to the sidecars that this entry uses.
type peerSet struct {
	ctx    context.Context
	server *Server
	// routingUpdateMu is held during updateRouting.
	routingUpdateMu sync.Mutex
	// routingUpdateScheduled is set while a delayed routing update is pending.
	routingUpdateScheduled atomic.Bool
	// connections counts the connections that were made, and routedConnections those
	// of them that the routing knows.
	connections, routedConnections atomic.Int64

	mu   sync.Mutex
	byID map[string]*peer
	// initialConnectDone is set once triedAll has returned true.
	initialConnectDone bool
}

func newPeerSet(ctx context.Context, server *Server) *peerSet {
	return &peerSet{ctx: ctx, server: server, byID: make(map[string]*peer)}
}

// setInstances connects to new instances and disconnects from those that are not
// in the list. A peer with requests in progress is kept until they have ended.
func (ps *peerSet) setInstances(instances []Instance) {
	ps.mu.Lock()
	listed := make(map[string]bool, len(instances))
	for _, in := range instances {
		listed[in.ID] = true
		ps.update(in)
	}
	for id, p := range ps.byID {
		if !listed[id] && !p.hasPending() {
			p.cancel()
			delete(ps.byID, id)
		}
	}
	ps.mu.Unlock()
	ps.server.updateRouting()
}

// update adds or updates the peer of an instance; it must be called with ps.mu
// held. An instance with a changed address is a new process, so the old connection
// is closed.
func (ps *peerSet) update(in Instance) {
	existing := ps.byID[in.ID]
	if existing != nil {
		_, address, _ := existing.info()
		if address == in.Address {
			existing.mu.Lock()
			existing.leaving = in.Leaving
			existing.mu.Unlock()
			return
		}
		existing.cancel()
	}
	ctx, cancel := context.WithCancel(ps.ctx)
	p := &peer{
		server: ps.server, id: in.ID, service: in.Service, address: in.Address, zone: in.Zone, leaving: in.Leaving,
		cancel: cancel, pending: make(map[attempt.Key]pendingExchange),
	}
	ps.byID[in.ID] = p
	go p.run(ctx)
}

func (p *peer) hasPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending) > 0
}

func (ps *peerSet) get(id string) *peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.byID[id]
}

func (ps *peerSet) all() []*peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	peers := make([]*peer, 0, len(ps.byID))
	for _, p := range ps.byID {
		peers = append(peers, p)
	}
	return peers
}

// count returns the number of peers.
func (ps *peerSet) count() int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return len(ps.byID)
}

func (ps *peerSet) countConnected() int {
	n := 0
	for _, p := range ps.all() {
		if p.isConnected() {
			n++
		}
	}
	return n
}

// countUsable returns the number of sidecars that may receive work. Being
// connected is not enough: after a refused connection, a sidecar is connected
// again before membership readmits it.
func (ps *peerSet) countUsable(members *members) int {
	weights := map[string]map[string]float64{}
	n := 0
	for _, p := range ps.all() {
		if weights[p.service] == nil {
			weights[p.service] = members.candidates(p.service)
		}
		if p.usable() && weights[p.service][p.id] > 0 {
			n++
		}
	}
	return n
}

// triedAll reports whether a connection to every sidecar has been tried since the
// start of the process. An entry that became ready with its first connection
// would refuse requests because it has no complete chain yet.
func (ps *peerSet) triedAll() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.initialConnectDone {
		return true
	}
	for _, p := range ps.byID {
		if !p.isConnected() && !p.wasConnectTried() {
			return false
		}
	}
	ps.initialConnectDone = len(ps.byID) > 0
	return ps.initialConnectDone
}

func (p *peer) setConnectTried() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTried = true
}

func (p *peer) wasConnectTried() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectTried
}

// crossZoneCost is the additional cost of a server in another availability zone,
// in calls in progress.
const crossZoneCost = 0.5

// loadSampleSize is the number of servers with equal cost whose reported loads are
// compared. With a larger sample, all entries would send their calls to the same
// server until its next report.
const loadSampleSize = 3

// pick returns the usable server of a non-pipeline service with the lowest cost:
// the fewest calls of this entry in progress, with a preference for the entry's
// availability zone. Of a few random servers with equal cost, it takes the one
// with the lowest reported load. It returns nil if no server is usable.
func (ps *peerSet) pick(service string, exclude map[string]bool) *peer {
	best := ps.lowestCost(service, exclude)
	rand.Shuffle(len(best), func(i, j int) { best[i], best[j] = best[j], best[i] })
	var chosen *peer
	for _, p := range best[:min(len(best), loadSampleSize)] {
		if chosen == nil || p.runningRequests() < chosen.runningRequests() {
			chosen = p
		}
	}
	return chosen
}

// lowestCost returns all usable servers with the lowest cost.
func (ps *peerSet) lowestCost(service string, exclude map[string]bool) []*peer {
	var best []*peer
	var bestCost float64
	weights := ps.server.members.candidates(service)
	for _, p := range ps.all() {
		hello, _, zone := p.info()
		if hello.GetService() != service || exclude[p.id] || !p.usable() || weights[p.id] <= 0 {
			continue
		}
		cost := float64(p.pendingCalls()+1) / weights[p.id]
		if zone != ps.server.opts.Zone {
			cost += crossZoneCost
		}
		switch {
		case len(best) == 0 || cost < bestCost:
			best, bestCost = append(best[:0], p), cost
		case cost == bestCost:
			best = append(best, p)
		}
	}
	return best
}

func (p *peer) pendingCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending)
}

// modelSet holds the choosers of all models.
type modelSet struct {
	mu sync.Mutex
	// choosers is keyed by model and version.
	choosers map[string]map[string]*pipeline.Chooser
	// serving holds the version of each model that new requests use.
	serving map[string]string
	// stages holds the stages last passed to the choosers, by model.
	stages map[string][]pipeline.Stage
	// links holds the configured links last passed to the choosers.
	links []config.Link
}

func newModelSet() *modelSet {
	return &modelSet{choosers: make(map[string]map[string]*pipeline.Chooser), serving: make(map[string]string)}
}

// observeLoad passes a sidecar's report on its load and on the links from its
// availability zone to the choosers.
func (m *modelSet) observeLoad(model, instance, zone string, load *wire.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.choosers[model] {
		c.Observe(pipeline.Load{
			Instance: instance, At: now(), Running: int(load.Running), Queued: int(load.Queued),
			Draining: load.Draining, Down: !load.EngineUp,
		})
		for _, l := range load.Links {
			c.ObserveLink(zone, l.Zone, int64(l.Bytes), time.Duration(l.Microseconds)*time.Microsecond)
		}
	}
}

// choose chooses a chain. It prefers the version that started the answer; if that
// has no chain, the answer continues with another version rather than fail.
func (m *modelSet) choose(model, startedVersion string, req pipeline.Request, exclude map[string]bool) (pipeline.Chain, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.choosers[model][startedVersion]; c != nil {
		if chain, err := c.Choose(req, exclude); err == nil {
			return chain, nil
		}
	}
	c := m.choosers[model][m.serving[model]]
	if c == nil {
		return pipeline.Chain{}, pipeline.ErrNoChain
	}
	return c.Choose(req, exclude)
}

// resume repairs a chain that has lost stages. It first tries to do so without the
// replicas of the remaining stages: the chooser may find one of them cheaper for
// new work, but only the stages of the interrupted chain hold the request's KV
// cache.
func (m *modelSet) resume(model string, interrupted pipeline.InterruptedRequest) (pipeline.Resumption, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.choosers[model][interrupted.Chain.Version()]
	if c == nil {
		return pipeline.Resumption{}, pipeline.ErrNoChain
	}
	recovery := pipeline.NewRecovery(c, pipeline.RecoveryOptions{})
	restricted := interrupted
	restricted.Lost = excludeAlternatives(interrupted, m.stages[model])
	if resumption, err := recovery.Resume(restricted); err == nil {
		return resumption, nil
	}
	return recovery.Resume(interrupted)
}

// excludeAlternatives returns the lost instances and all other instances that hold
// layers of a remaining stage.
func excludeAlternatives(interrupted pipeline.InterruptedRequest, stages []pipeline.Stage) map[string]bool {
	lost := maps.Clone(interrupted.Lost)
	for _, remaining := range interrupted.Chain.Stages {
		if interrupted.Lost[remaining.Instance] {
			continue
		}
		for _, s := range stages {
			if s.Instance != remaining.Instance && s.First < remaining.Limit && remaining.First < s.Limit {
				lost[s.Instance] = true
			}
		}
	}
	return lost
}

func (m *modelSet) done(model string, chain pipeline.Chain) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.choosers[model][chain.Version()]; c != nil {
		c.Done(chain)
	}
}

// routingUpdateDelay is how long changes that are not urgent are batched. While a
// fleet starts, each of hundreds of sidecars keeps reporting a new number of
// entries.
const routingUpdateDelay = time.Second

// scheduleRoutingUpdate calls updateRouting after routingUpdateDelay, unless a call
// is already pending.
func (s *Server) scheduleRoutingUpdate() {
	if s.peers.routingUpdateScheduled.Swap(true) {
		return
	}
	time.AfterFunc(routingUpdateDelay, func() {
		s.peers.routingUpdateScheduled.Store(false)
		s.updateRouting()
	})
}

// updateRouting updates the choosers and the admission capacity with the backend
// servers that are usable now.
func (s *Server) updateRouting() {
	// Concurrent updates must not leave the choosers with the older stages.
	s.peers.routingUpdateMu.Lock()
	defer s.peers.routingUpdateMu.Unlock()
	idx := s.index()
	if idx == nil {
		return
	}
	connections := s.peers.connections.Load()
	defer s.peers.routedConnections.Store(connections)
	stages := s.usableStages(idx)
	s.models.updateStages(idx.doc, stages)
	for model, list := range stages {
		stages[model] = stagesOfVersion(list, servingVersion(idx.models[model], list))
	}
	s.updateCapacity(idx.doc, stages)
}

// finishRouting updates the routing if it lacks a connection. A request that came
// before would be refused for want of a server.
func (s *Server) finishRouting() {
	if s.peers.routedConnections.Load() != s.peers.connections.Load() {
		s.updateRouting()
	}
}
