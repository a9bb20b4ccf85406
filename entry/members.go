package entry

import (
	"errors"
	"maps"
	"math"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

// defaultWatched is how many sidecars of each service an entry is connected to
// at most. All entries together must reach every sidecar, and each entry needs
// several engines for every layer range.
const defaultWatched = 64

// members joins the instance list with the evidence of the connections.
type members struct {
	mu   sync.Mutex
	view *membership.View
	// services are those that the list names.
	services map[string]bool
	// incarnations are the last ones that greeted, by instance.
	incarnations map[string]string
}

func newMembers() *members {
	return &members{view: membership.New(membership.DefaultOptions()), services: make(map[string]bool), incarnations: make(map[string]string)}
}

// Instance is a sidecar as the platform's list describes it. Its service is the
// plain service, or the model that the engine serves.
type Instance = membership.Instance

// SetInstances takes the platform's list. It must be called again every few
// seconds also when the list has not changed, because a loss in the list counts
// only after it has been seen for a while.
func (s *Server) SetInstances(list []Instance) {
	planned := s.plannedModels()
	s.members.mu.Lock()
	for _, in := range list {
		s.members.services[in.Service] = true
	}
	report := s.members.view.ObserveList(now(), list)
	subset := s.members.subset(s.opts, planned)
	s.members.mu.Unlock()
	if report.Verdict == membership.ListDistrusted {
		logevent.Write(s.opts.Logger, logevent.InstanceListRejected).Str("id", s.opts.ID).
			Strs("services", report.Distrusted).Int("lost", report.Removed).Msg("")
	}
	s.peers.set(subset)
}

// subset returns the sidecars that this entry watches; the lock must be held.
func (m *members) subset(opts Options, planned map[string]bool) []Instance {
	var watched []Instance
	for service := range m.services {
		limit := opts.MaxSidecarsPerService
		if planned[service] {
			limit = math.MaxInt32
		}
		watched = append(watched, m.view.Subset(now(), service, opts.ID, opts.Zone, limit)...)
	}
	return watched
}

// observe takes evidence from a connection.
func (s *Server) observe(instance string, evidence membership.Evidence) {
	s.members.mu.Lock()
	defer s.members.mu.Unlock()
	s.members.view.Observe(now(), instance, evidence)
}

// observeHello takes the greeting of a sidecar. A new incarnation is a new
// process, which knows nothing of the old one's drain.
func (s *Server) observeHello(instance, incarnation string) {
	s.members.mu.Lock()
	defer s.members.mu.Unlock()
	evidence := membership.Heartbeat
	if known := s.members.incarnations[instance]; known != "" && known != incarnation {
		evidence = membership.Restarted
	}
	s.members.incarnations[instance] = incarnation
	s.members.view.Observe(now(), instance, evidence)
}

// observeLost takes the end of a connection, or a failure to open one.
func (s *Server) observeLost(instance string, connected bool, cause error) {
	var op *net.OpError
	switch {
	case errors.Is(cause, link.ErrHeartbeatTimeout):
		s.observe(instance, membership.HeartbeatTimeout)
	case connected:
		s.observe(instance, membership.ConnectionLost)
	case errors.As(cause, &op) && op.Op == "dial":
		s.observe(instance, membership.ConnectionRefused)
	}
}

// candidates returns the weights of the instances of a service that may
// receive work: below 1 during the warm-up, after a failure or while busy.
func (m *members) candidates(service string) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	weights := make(map[string]float64)
	for _, c := range m.view.Candidates(now(), service) {
		weights[c.ID] = c.Weight
	}
	return weights
}

// stages returns the usable engines of each model, weighted by their rate and
// by what the evidence says about them.
func (s *Server) stages(x *index) map[string][]pipeline.Stage {
	stages := make(map[string][]pipeline.Stage)
	weights := make(map[string]map[string]float64)
	for _, p := range s.peers.all() {
		hello, address, zone := p.info()
		if hello.GetLayers() == nil || !p.usable() {
			continue
		}
		if weights[p.service] == nil {
			weights[p.service] = s.members.candidates(p.service)
		}
		weight := weights[p.service][p.id]
		if weight <= 0 {
			continue
		}
		stages[hello.Model] = append(stages[hello.Model], pipeline.Stage{
			Instance: p.id, Address: address, Zone: zone,
			First: int(hello.Layers.First), Limit: int(hello.Layers.Limit), Version: hello.Version, Weight: weight * x.stageWeight(p.id, hello.Layers),
		})
	}
	// The chooser breaks ties by order, which must not depend on the map's.
	for _, list := range stages {
		slices.SortFunc(list, func(a, b pipeline.Stage) int { return strings.Compare(a.Instance, b.Instance) })
	}
	return stages
}

// updateStages gives the choosers the engines that are usable now.
func (m *modelSet) updateStages(doc *config.Document, stages map[string][]pipeline.Stage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stages = maps.Clone(stages)
	m.updateLinks(doc.Links)
	for i := range doc.Models {
		m.updateModel(&doc.Models[i], stages[doc.Models[i].Name])
	}
}

// updateLinks gives the choosers the configured speeds, which hold until they
// are measured. A change of the configuration starts the measurement again.
func (m *modelSet) updateLinks(links []config.Link) {
	if slices.Equal(m.links, links) {
		return
	}
	m.links = slices.Clone(links)
	for _, versions := range m.choosers {
		for _, c := range versions {
			m.setLinks(c)
		}
	}
}

func (m *modelSet) setLinks(c *pipeline.Chooser) {
	for _, l := range m.links {
		c.SetLink(l.From, l.To, l.BytesPerSecond, l.Latency)
	}
}
