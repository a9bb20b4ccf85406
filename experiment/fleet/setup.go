package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

// scheme is a combination of placement and routing.
type scheme string

const (
	flowScheme       scheme = "flow"
	equalRoundRobin  scheme = "equal+round-robin"
	equalLeastLoaded scheme = "equal+least-loaded"
)

// stagesOf returns the pipeline stages of a plan.
func stagesOf(plan placement.Plan) []pipeline.Stage {
	var stages []pipeline.Stage
	for _, a := range plan.Assignments {
		stages = append(stages, pipeline.Stage{
			Instance: a.Engine, Address: a.Engine, Zone: a.Zone, First: a.First, Limit: a.Limit, Weight: a.Weight,
		})
	}
	return stages
}

// equalSplit divides the layers into equal ranges that fit the memory of every
// engine, and assigns them to the engines round-robin.
func equalSplit(f placement.Fleet, m placement.Model) []pipeline.Stage {
	maxLayers := m.Layers
	for _, e := range f.Engines {
		n := 0
		for placement.Capacity(e, m, planOptions, n+1) > 0 && n < m.Layers {
			n++
		}
		maxLayers = min(maxLayers, n)
	}
	ranges := (m.Layers + maxLayers - 1) / maxLayers
	var stages []pipeline.Stage
	for i, e := range f.Engines {
		rangeIndex := i % ranges
		stages = append(stages, pipeline.Stage{
			Instance: e.Name, Zone: e.Zone, First: m.Layers * rangeIndex / ranges, Limit: m.Layers * (rangeIndex + 1) / ranges, Weight: 1,
		})
	}
	return stages
}

// newSim builds a simulation with an engine for each stage and entries that route by the scheme.
func newSim(cl cluster, f placement.Fleet, stages []pipeline.Stage, sch scheme, seed uint64, meanOutputTokens int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 300)), engines: map[string]*engine{}, links: map[[2]string]*link{},
	}
	s.stats.meanOutput = meanOutputTokens
	byName := map[string]placement.Engine{}
	for _, e := range f.Engines {
		byName[e.Name] = e
	}
	for key, delay := range cl.linkDelays {
		s.links[key] = &link{delay: delay}
	}
	for _, l := range f.Links {
		s.links[[2]string{l.From, l.To}].bytesPerSecond = l.BytesPerSecond
	}
	for _, st := range stages {
		layers := st.Limit - st.First
		e := &engine{
			sim: s, stage: st, slowdown: 1, cachedPrefixes: map[uint64]bool{},
			tokensPerSecond:  placement.Capacity(byName[st.Instance], llm, planOptions, layers),
			minIterationTime: cl.accelerators[st.Instance].minLayerTime * time.Duration(layers),
		}
		s.engines[st.Instance] = e
		s.engineList = append(s.engineList, e)
	}
	for i := range cl.entries {
		s.entries = append(s.entries, s.newEntry(zoneName(i%fleetZones), stages, sch, uint64(i), meanOutputTokens))
	}
	for _, l := range f.Links {
		s.after(linkReportInterval, func() { s.reportLink(l.From, l.To, s.links[[2]string{l.From, l.To}]) })
	}
	for i, e := range s.engineList {
		s.after(time.Duration(i)*loadReportInterval/time.Duration(len(s.engineList)), func() { e.reportLoad(loadReportInterval, reportDelay) })
	}
	return s
}

const (
	loadReportInterval = 250 * time.Millisecond
	reportDelay        = 100 * time.Millisecond
)

func (s *sim) newEntry(zone string, stages []pipeline.Stage, sch scheme, id uint64, meanOutputTokens int) *entry {
	e := &entry{sim: s, zone: zone, lost: map[string]bool{}, drawOutput: outputSampler(meanOutputTokens), active: map[*request]bool{}}
	switch sch {
	case equalRoundRobin:
		e.router = newRoundRobin(llm.Layers, stages)
	case equalLeastLoaded:
		e.router = newLeastLoaded(llm.Layers, stages)
	default:
		e.chooser = pipeline.NewChooser(pipeline.ChooserOptions{
			Layers: llm.Layers, ActivationBytes: llm.ActivationBytes, PrefillSpeedup: prefillSpeedup,
			Rand: rand.New(rand.NewPCG(id, 400)),
		})
		e.chooser.Update(1, stages)
		for key, l := range s.links {
			e.chooser.SetLink(key[0], key[1], l.bytesPerSecond, l.delay)
		}
		e.router = e.chooser
		e.recovery = pipeline.NewRecovery(e.chooser, pipeline.RecoveryOptions{
			KVBytesPerTokenLayer: llm.KVBytesPerTokenLayer, ActivationBytes: llm.ActivationBytes,
			PrefillSpeedup: prefillSpeedup, KVBytesPerSecond: kvBytesPerSecond,
		})
	}
	return e
}

// saturate starts a fixed number of closed-loop request streams, spread over one second.
func (s *sim) saturate(streams int) {
	for i := range streams {
		e := s.entries[i%len(s.entries)]
		e.closedLoop = true
		s.after(time.Duration(i)*time.Second/time.Duration(streams), func() { e.start(drawPrompt(s.rng), nil) })
	}
}

// generateArrivals starts requests as a Poisson process whose rate alternates
// between high and low every period.
func (s *sim) generateArrivals(ratePerSecond, burstAmplitude float64, period time.Duration, start func(e *entry)) {
	var next func()
	i := 0
	next = func() {
		rate := ratePerSecond * (1 - burstAmplitude)
		if s.now/period%2 == 0 {
			rate = ratePerSecond * (1 + burstAmplitude)
		}
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
			i++
			start(s.entries[i%len(s.entries)])
			next()
		})
	}
	next()
}

// measure runs the warm-up without recording, then records for measureTime.
func (s *sim) measure(warmUp, measureTime time.Duration) {
	s.runUntil(s.now + warmUp)
	s.measuring = true
	s.runUntil(s.now + measureTime)
	s.measuring = false
}

// findCachedStages finds the longest tail of the chain whose stages all cache a
// prefix of the prompt.
func (r *request) findCachedStages(prefixes []pipeline.Prefix) {
	for _, p := range prefixes {
		first := len(r.stages)
		for first > 0 && r.stages[first-1].cachedPrefixes[p.Hash] {
			first--
		}
		if first < len(r.stages) {
			r.firstCachedStage, r.skipTokens = first, min(p.Tokens, r.promptTokens-1)
		}
	}
}

// skipCached removes cached tokens from a prompt chunk that arrives at the first
// stage with the prefix cached.
func (r *request) skipCached(st *step) {
	if st.stageIndex != r.firstCachedStage || st.promptTokens == 0 {
		return
	}
	skipped := min(r.skipTokens, st.promptTokens)
	if st.lastChunk {
		skipped = min(skipped, st.promptTokens-1)
	}
	r.skipTokens -= skipped
	st.promptTokens -= skipped
	if s := r.entry.sim; s.measuring {
		s.stats.cachedTokens += skipped * (len(r.stages) - st.stageIndex) / len(r.stages)
	}
}
