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

// peerSet holds the connections to all sidecars in use.
type peerSet struct {
	ctx    context.Context
	server *Server
	// changing is held while the choosers' stages are rebuilt.
	changing sync.Mutex
	// changeDue is set while a rebuild waits.
	changeDue atomic.Bool

	mu   sync.Mutex
	byID map[string]*peer
	// started is set once every sidecar of the first list was tried.
	started bool
}

func newPeerSet(ctx context.Context, server *Server) *peerSet {
	return &peerSet{ctx: ctx, server: server, byID: make(map[string]*peer)}
}

// set connects to new instances and drops those that are gone. A peer with
// requests in progress stays until its connection ends.
func (ps *peerSet) set(instances []Instance) {
	ps.mu.Lock()
	wanted := make(map[string]bool, len(instances))
	for _, in := range instances {
		wanted[in.ID] = true
		ps.update(in)
	}
	for id, p := range ps.byID {
		if !wanted[id] && !p.busy() {
			p.cancel()
			delete(ps.byID, id)
		}
	}
	ps.mu.Unlock()
	ps.server.peersChanged()
}

// update must be called with the lock held. An instance that returns at
// another address is a new process, so its old connection is dropped.
func (ps *peerSet) update(in Instance) {
	known := ps.byID[in.ID]
	if known != nil {
		_, address, _ := known.info()
		if address == in.Address {
			known.mu.Lock()
			known.leaving = in.Leaving
			known.mu.Unlock()
			return
		}
		known.cancel()
	}
	ctx, cancel := context.WithCancel(ps.ctx)
	p := &peer{
		server: ps.server, id: in.ID, service: in.Service, address: in.Address, zone: in.Zone, leaving: in.Leaving,
		cancel: cancel, pending: make(map[attempt.Key]pendingExchange),
	}
	ps.byID[in.ID] = p
	go p.run(ctx)
}

func (p *peer) busy() bool {
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

// count returns the number of sidecars that the entry watches.
func (ps *peerSet) count() int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return len(ps.byID)
}

func (ps *peerSet) connected() int {
	n := 0
	for _, p := range ps.all() {
		if p.isConnected() {
			n++
		}
	}
	return n
}

// ready counts the sidecars that may receive work: a sidecar whose first
// connection was refused is connected before membership admits it again.
func (ps *peerSet) ready(members *members) int {
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

// settled tells whether every sidecar was tried since the entry's start. An
// entry that is ready at its first connection would refuse prompts for want of
// a whole chain.
func (ps *peerSet) settled() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.started {
		return true
	}
	for _, p := range ps.byID {
		if !p.isConnected() && !p.wasTried() {
			return false
		}
	}
	ps.started = len(ps.byID) > 0
	return ps.started
}

func (p *peer) setTried() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tried = true
}

func (p *peer) wasTried() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tried
}

// otherZoneCost is what a call into another availability zone counts as much
// as, in calls in progress.
const otherZoneCost = 0.5

// comparedLoads is among how many equal servers the reported load decides. More
// would send the calls of all entries to the same server until its next report.
const comparedLoads = 3

// pick returns the usable server of a plain service with the least calls of
// this entry in progress, in the entry's availability zone before others. Among
// a few random ones of those that are equal, the least loaded is taken.
func (ps *peerSet) pick(service string, exclude map[string]bool) *peer {
	best := ps.leastCalls(service, exclude)
	rand.Shuffle(len(best), func(i, j int) { best[i], best[j] = best[j], best[i] })
	var chosen *peer
	for _, p := range best[:min(len(best), comparedLoads)] {
		if chosen == nil || p.running() < chosen.running() {
			chosen = p
		}
	}
	return chosen
}

// leastCalls returns the servers that share the lowest cost.
func (ps *peerSet) leastCalls(service string, exclude map[string]bool) []*peer {
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
			cost += otherZoneCost
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

// modelSet holds one chooser for each model.
type modelSet struct {
	mu sync.Mutex
	// choosers are by model and version.
	choosers map[string]map[string]*pipeline.Chooser
	// serving is the version of each model that new requests use.
	serving map[string]string
	// stages are those that the choosers know.
	stages map[string][]pipeline.Stage
	// links are those of the configuration that the choosers know.
	links []config.Link
}

func newModelSet() *modelSet {
	return &modelSet{choosers: make(map[string]map[string]*pipeline.Chooser), serving: make(map[string]string)}
}

// observe takes a sidecar's report on its load and on the links from its
// availability zone.
func (m *modelSet) observe(model, instance, zone string, load *wire.Load) {
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

// choose prefers the version with which an answer has begun. When its engines
// are gone the answer goes on with another version rather than fail.
func (m *modelSet) choose(model, begun string, req pipeline.Request, exclude map[string]bool) (pipeline.Chain, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.choosers[model][begun]; c != nil {
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

// resume repairs a chain that lost stages. Other copies of the stages that
// remain are left out first: the chooser may find one of them cheaper for new
// work, but only the stage of the broken chain holds the request's KV cache.
func (m *modelSet) resume(model string, broken pipeline.InterruptedRequest) (pipeline.Resumption, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.choosers[model][broken.Chain.Version()]
	if c == nil {
		return pipeline.Resumption{}, pipeline.ErrNoChain
	}
	recovery := pipeline.NewRecovery(c, pipeline.RecoveryOptions{})
	narrow := broken
	narrow.Lost = withoutRivals(broken, m.stages[model])
	if resumption, err := recovery.Resume(narrow); err == nil {
		return resumption, nil
	}
	return recovery.Resume(broken)
}

// withoutRivals adds to the lost instances those that hold layers of a stage
// that remains.
func withoutRivals(broken pipeline.InterruptedRequest, stages []pipeline.Stage) map[string]bool {
	lost := maps.Clone(broken.Lost)
	for _, kept := range broken.Chain.Stages {
		if broken.Lost[kept.Instance] {
			continue
		}
		for _, s := range stages {
			if s.Instance != kept.Instance && s.First < kept.Limit && kept.First < s.Limit {
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

// changeDelay gathers changes that are not urgent. While a fleet starts, each
// of hundreds of sidecars reports a new number of entries again and again.
const changeDelay = time.Second

// peersChangeSoon gives the decisions the new state within changeDelay.
func (s *Server) peersChangeSoon() {
	if s.peers.changeDue.Swap(true) {
		return
	}
	time.AfterFunc(changeDelay, func() {
		s.peers.changeDue.Store(false)
		s.peersChanged()
	})
}

// peersChanged gives the decisions the backend servers that are usable now.
func (s *Server) peersChanged() {
	// Two changes at once must not leave the choosers with the older stages.
	s.peers.changing.Lock()
	defer s.peers.changing.Unlock()
	x := s.index()
	if x == nil {
		return
	}
	stages := s.stages(x)
	s.models.updateStages(x.doc, stages)
	for model, list := range stages {
		stages[model] = ofVersion(list, versionInUse(x.models[model], list))
	}
	s.updateCapacity(x.doc, stages)
}
