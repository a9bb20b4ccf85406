package entry

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirefield/sapphirefield/config"
)

const (
	// plannersPerModel is how many entries on average watch all engines of a
	// model that has more than an entry watches. Entries choose themselves by a
	// hash; with 6, one model in 400 has none.
	plannersPerModel = 6
	// planningHysteresis keeps a small change in the number of entries from
	// opening and closing hundreds of connections.
	planningHysteresis = 2
	// planningSettle is how long an entry must be chosen before it connects.
	// While a whole fleet starts, each entry sees few others.
	planningSettle = 10 * time.Second
	// planningDelay is the time for the connections to the further engines.
	planningDelay = 5 * time.Second
)

// planning holds since when the entry is chosen to plan a large model.
type planning struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// ConnectedToAllEngines tells whether the entry is connected to all live engines of a
// model, of which the configuration names a number. Otherwise it must not plan
// the model, because it would take the others for lost.
func (s *Server) ConnectedToAllEngines(model string, configured int) bool {
	if configured <= s.opts.MaxSidecarsPerService {
		return true
	}
	s.planning.mu.Lock()
	defer s.planning.mu.Unlock()
	since, planned := s.planning.since[model]
	return planned && now().Sub(since) >= planningSettle+planningDelay
}

// plannedModels returns the large models of which this entry watches all engines.
func (s *Server) plannedModels() map[string]bool {
	planned := make(map[string]bool)
	doc := s.opts.Config()
	if doc == nil {
		return planned
	}
	engines := configuredEngines(doc)
	entries := s.entriesByModel(engines)
	s.planning.mu.Lock()
	defer s.planning.mu.Unlock()
	for model, configured := range engines {
		_, was := s.planning.since[model]
		if configured <= s.opts.MaxSidecarsPerService || !plansModel(s.opts.ID, model, entries[model], was) {
			delete(s.planning.since, model)
			continue
		}
		if !was {
			s.planning.since[model] = now()
		}
		planned[model] = now().Sub(s.planning.since[model]) >= planningSettle
	}
	return planned
}

// plansModel tells whether an entry is one of those that plan a model. It is
// not while it doesn't know how many entries there are.
func plansModel(entry, model string, entries float64, was bool) bool {
	if entries <= 0 {
		return was
	}
	limit := plannersPerModel / entries
	if was {
		limit *= planningHysteresis
	}
	return float64(xxhash.Sum64String(entry+"\x00"+model))/math.MaxUint64 < limit
}

func configuredEngines(doc *config.Document) map[string]int {
	engines := make(map[string]int)
	for _, server := range doc.Servers {
		if server.Model != "" {
			engines[server.Model]++
		}
	}
	return engines
}

// entriesByModel estimates the number of entries from how many of them share
// an engine: each is connected to the same part of the engines.
func (s *Server) entriesByModel(engines map[string]int) map[string]float64 {
	shared := make(map[string]float64)
	watched := make(map[string]float64)
	for _, p := range s.peers.all() {
		hello, _, _ := p.info()
		if sharing := p.entries(); hello.GetModel() != "" && sharing > 0 {
			shared[hello.Model] += float64(sharing)
			watched[hello.Model]++
		}
	}
	entries := make(map[string]float64)
	for model, n := range watched {
		entries[model] = shared[model] / n * float64(engines[model]) / float64(s.opts.MaxSidecarsPerService)
	}
	return entries
}
