package entry

import (
	"slices"
	"strings"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/order"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
	"github.com/sapphirefield/sapphirefield/plans"
	"github.com/sapphirefield/sapphirefield/wire"
)

// handleHello processes a sidecar's hello. A later one on the same stream announces
// what the engine serves now; the attempts in progress continue.
func (p *peer) handleHello(hello *wire.Hello, queue *link.Queue[*wire.WorkUp]) {
	p.mu.Lock()
	reannounced := p.queue == queue
	if reannounced {
		p.hello = hello
	}
	p.mu.Unlock()
	if !reannounced {
		p.handleConnected(hello, queue)
		return
	}
	p.server.updateRouting()
}

// Engines returns the live engines that accept placement orders, with the state
// that their sidecars announce. Only a connection proves that an engine is live.
func (s *Server) Engines() []plans.Engine {
	var engines []plans.Engine
	for _, p := range s.peers.all() {
		hello, _, _ := p.info()
		if !p.usable() || !hello.GetPlaced() {
			continue
		}
		engines = append(engines, plans.Engine{
			ID: p.id, Model: hello.Model, Version: hello.Version,
			Range: placement.Range{First: int(hello.Layers.GetFirst()), Limit: int(hello.Layers.GetLimit())},
		})
	}
	slices.SortFunc(engines, func(a, b plans.Engine) int { return strings.Compare(a.ID, b.ID) })
	return engines
}

// updateModel updates the engines of each version's chooser; it must be called
// with m.mu held.
func (m *modelSet) updateModel(model *config.Model, stages []pipeline.Stage) {
	m.serving[model.Name] = servingVersion(model, stages)
	choosers := m.choosers[model.Name]
	if choosers == nil {
		choosers = make(map[string]*pipeline.Chooser)
		m.choosers[model.Name] = choosers
	}
	for _, s := range stages {
		if choosers[s.Version] == nil {
			c := pipeline.NewChooser(pipeline.ChooserOptions{Layers: model.Layers, ActivationBytes: model.ActivationBytes})
			m.setLinks(c)
			choosers[s.Version] = c
		}
	}
	for version, c := range choosers {
		c.Update(0, stagesOfVersion(stages, version))
	}
}

func stagesOfVersion(stages []pipeline.Stage, version string) []pipeline.Stage {
	var list []pipeline.Stage
	for _, s := range stages {
		if s.Version == version {
			list = append(list, s)
		}
	}
	return list
}

// servingVersion returns the version that new requests use: the configured serving
// version if its engines cover all layers, otherwise the newest one whose
// engines do.
func servingVersion(model *config.Model, stages []pipeline.Stage) string {
	if model == nil {
		return ""
	}
	var engines []order.RolloutEngine
	for _, s := range stages {
		engines = append(engines, order.RolloutEngine{
			ID: s.Instance, Version: s.Version, Layers: order.LayerRange{First: s.First, Limit: s.Limit},
		})
	}
	for _, version := range versionPreference(model, stages) {
		if order.DisjointChains(engines, version, model.Layers) > 0 {
			return version
		}
	}
	return model.ServingVersion
}

// versionPreference lists the versions in the order of preference. It includes the
// announced ones because engines with a fixed layer range announce no version.
func versionPreference(model *config.Model, stages []pipeline.Stage) []string {
	versions := []string{model.ServingVersion}
	for _, version := range slices.Backward(model.Versions) {
		versions = append(versions, version)
	}
	for _, s := range stages {
		versions = append(versions, s.Version)
	}
	return versions
}
