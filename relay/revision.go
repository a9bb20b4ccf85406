package relay

import (
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

// revision is a configuration with the lookup tables built from it.
type revision struct {
	Configuration
	routes       *config.RouteTable
	keys         *config.KeyTable
	models       map[string]*config.Model
	accelerators map[string]*config.Accelerator
	finders      map[string]*pipeline.Pathfinder
	ranks        rankOrder
	streamRanks  streamRanks
	// links are keyed by the two zones that they connect.
	links map[[2]string]pipeline.RelayLink
}

func newRevision(c Configuration) *revision {
	r := &revision{
		Configuration: c,
		routes:        config.NewRouteTable(c.Document),
		keys:          config.NewKeyTable(c.Document),
		models:        map[string]*config.Model{},
		accelerators:  map[string]*config.Accelerator{},
		finders:       map[string]*pipeline.Pathfinder{},
		ranks:         newRankOrder(c.Document, c.TeamRanks),
	}
	r.streamRanks = newStreamRanks(c.Document, r.ranks)
	for i := range c.Document.Accelerators {
		r.accelerators[c.Document.Accelerators[i].Kind] = &c.Document.Accelerators[i]
	}
	r.links = map[[2]string]pipeline.RelayLink{}
	for _, l := range c.Document.Links {
		r.links[[2]string{l.From, l.To}] = pipeline.RelayLink{Latency: l.Latency, BytesPerSecond: l.BytesPerSecond}
	}
	for i := range c.Document.Models {
		m := &c.Document.Models[i]
		r.models[m.Name] = m
		r.finders[m.Name] = pipeline.NewPathfinder(relayModel(m))
	}
	return r
}

func relayModel(m *config.Model) pipeline.RelayModel {
	return pipeline.RelayModel{
		Layers: m.Layers, ActivationBytes: m.ActivationBytes,
		StepTime: m.StepTime, RequestStepTime: m.RequestStepTime, ContextStepTime: m.ContextStepTime,
		PromptTokensPerSecond: m.PromptTokensPerSecond, MeanPromptTokens: m.PromptTokens,
	}
}

func placementModel(m *config.Model) placement.Model {
	return placement.Model{
		Layers: m.Layers, BytesPerLayer: m.BytesPerLayer, ActivationBytes: m.ActivationBytes,
		KVBytesPerTokenLayer: m.KVBytesPerTokenLayer,
	}
}
