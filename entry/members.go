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

// defaultMaxSidecarsPerService is large enough that all entries together reach
// every sidecar, and that each entry has several engines for every layer range.
const defaultMaxSidecarsPerService = 64

// members combines the platform's instance list with the evidence from the
// connections.
type members struct {
	mu   sync.Mutex
	view *membership.View
	// services holds every service that an instance list has named so far.
	services map[string]bool
	// incarnations holds the incarnation of each instance's last hello.
	incarnations map[string]string
}

func newMembers() *members {
	return &members{view: membership.New(membership.DefaultOptions()), services: make(map[string]bool), incarnations: make(map[string]string)}
}

// Instance is a sidecar in the platform's instance list. Its service is the
// non-pipeline service, or the model that the engine serves.
type Instance = membership.Instance

// SetInstances sets the platform's instance list. It must be called every few
// seconds even if the list has not changed, because the removal of instances is
// accepted only after the list has been observed without them for a while.
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
	s.peers.setInstances(subset)
}

// subset returns the sidecars that this entry connects to; it must be called with
// m.mu held.
func (m *members) subset(opts Options, planned map[string]bool) []Instance {
	var selected []Instance
	for service := range m.services {
		limit := opts.MaxSidecarsPerService
		if planned[service] {
			limit = math.MaxInt32
		}
		selected = append(selected, m.view.Subset(now(), service, opts.ID, opts.Zone, limit)...)
	}
	return selected
}

// observeEvidence records evidence from a connection.
func (s *Server) observeEvidence(instance string, evidence membership.Evidence) {
	s.members.mu.Lock()
	defer s.members.mu.Unlock()
	s.members.view.Observe(now(), instance, evidence)
}

// observeHello records the hello of a sidecar. A new incarnation is a new process,
// so the drain of the old one no longer applies.
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

// observeDisconnect records the loss of a connection, or a failure to open one.
func (s *Server) observeDisconnect(instance string, connected bool, cause error) {
	var op *net.OpError
	switch {
	case errors.Is(cause, link.ErrHeartbeatTimeout):
		s.observeEvidence(instance, membership.HeartbeatTimeout)
	case connected:
		s.observeEvidence(instance, membership.ConnectionLost)
	case errors.As(cause, &op) && op.Op == "dial":
		s.observeEvidence(instance, membership.ConnectionRefused)
	}
}

// candidates returns the weights of the instances of a service that may
// receive work: below 1 during the warm-up, after a failure or while overloaded.
func (m *members) candidates(service string) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	weights := make(map[string]float64)
	for _, c := range m.view.Candidates(now(), service) {
		weights[c.ID] = c.Weight
	}
	return weights
}

// usableStages returns the usable engines of each model, weighted by their token
// rate and their membership weight.
func (s *Server) usableStages(idx *configIndex) map[string][]pipeline.Stage {
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
			First: int(hello.Layers.First), Limit: int(hello.Layers.Limit), Version: hello.Version, Weight: weight * idx.stageWeight(p.id, hello.Layers),
		})
	}
	// The chooser breaks ties by order, which must not depend on map iteration.
	for _, list := range stages {
		slices.SortFunc(list, func(a, b pipeline.Stage) int { return strings.Compare(a.Instance, b.Instance) })
	}
	return stages
}

// updateStages updates the choosers with the engines that are usable now.
func (m *modelSet) updateStages(doc *config.Document, stages map[string][]pipeline.Stage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stages = maps.Clone(stages)
	m.updateLinks(doc.Links)
	for i := range doc.Models {
		m.updateModel(&doc.Models[i], stages[doc.Models[i].Name])
	}
}

// updateLinks passes the configured link speeds to the choosers, which use them
// until they have measurements. Changed links in the configuration reset the
// measurements.
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
