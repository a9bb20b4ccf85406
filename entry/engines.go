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

// greeted takes a sidecar's hello. A further one on the same stream announces
// what its engine serves now, and the attempts in progress go on.
func (p *peer) greeted(hello *wire.Hello, queue *link.Queue[*wire.WorkUp]) {
	p.mu.Lock()
	again := p.queue == queue
	if again {
		p.hello = hello
	}
	p.mu.Unlock()
	if !again {
		p.connected(hello, queue)
		return
	}
	p.server.peersChanged()
}

// Engines returns the engines that are known as live and take orders, with what
// their sidecars announce. Only a connection proves that an engine is live.
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

// updateModel gives each version's chooser its engines; the lock must be held.
func (m *modelSet) updateModel(model *config.Model, stages []pipeline.Stage) {
	m.serving[model.Name] = versionInUse(model, stages)
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
		c.Update(0, ofVersion(stages, version))
	}
}

func ofVersion(stages []pipeline.Stage, version string) []pipeline.Stage {
	var list []pipeline.Stage
	for _, s := range stages {
		if s.Version == version {
			list = append(list, s)
		}
	}
	return list
}

// versionInUse is the version that new requests use: the one that the
// configuration serves once its engines cover all layers, until then the newest
// one that does.
func versionInUse(model *config.Model, stages []pipeline.Stage) string {
	if model == nil {
		return ""
	}
	var fleet []order.RolloutEngine
	for _, s := range stages {
		fleet = append(fleet, order.RolloutEngine{
			ID: s.Instance, Version: s.Version, Layers: order.LayerRange{First: s.First, Limit: s.Limit},
		})
	}
	for _, version := range preferred(model, stages) {
		if order.DisjointChains(fleet, version, model.Layers) > 0 {
			return version
		}
	}
	return model.ServingVersion
}

// preferred lists the versions in the order in which entries use them. Engines
// of a fixed range announce no version.
func preferred(model *config.Model, stages []pipeline.Stage) []string {
	versions := []string{model.ServingVersion}
	for _, version := range slices.Backward(model.Versions) {
		versions = append(versions, version)
	}
	for _, s := range stages {
		versions = append(versions, s.Version)
	}
	return versions
}
