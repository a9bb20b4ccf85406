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

// Watched is how many engines of one model the entry is connected to at most.
func (s *Server) Watched() int { return s.opts.Watched }

// ofOneVersion keeps the stages of the version that new chains use: the one
// that the configuration serves once its engines cover all layers, until then
// the newest one that does.
func ofOneVersion(model *config.Model, stages []pipeline.Stage) []pipeline.Stage {
	if model == nil {
		return stages
	}
	var fleet []order.Holder
	for _, s := range stages {
		fleet = append(fleet, order.Holder{
			ID: s.Instance, Version: s.Version, Layers: order.LayerRange{First: s.First, Limit: s.Limit},
		})
	}
	chosen := model.Serving
	for _, version := range preferred(model, stages) {
		if order.Chains(fleet, version, model.Layers) > 0 {
			chosen = version
			break
		}
	}
	return slices.DeleteFunc(stages, func(s pipeline.Stage) bool { return s.Version != chosen })
}

// preferred lists the versions in the order in which entries use them. Engines
// of a fixed range announce no version.
func preferred(model *config.Model, stages []pipeline.Stage) []string {
	versions := []string{model.Serving}
	for _, version := range slices.Backward(model.Versions) {
		versions = append(versions, version)
	}
	for _, s := range stages {
		versions = append(versions, s.Version)
	}
	return versions
}
