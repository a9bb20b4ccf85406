package entry

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirefield/sapphirefield/config"
)

const (
	// plannersPerModel is the average number of entries that connect to all
	// engines of a model with more engines than Options.MaxSidecarsPerService, in
	// order to plan it. Each entry selects itself by a hash; with 6, one model in
	// 400 has no planner.
	plannersPerModel = 6
	// plannerHysteresis prevents a small change in the number of entries from
	// opening and closing hundreds of connections.
	plannerHysteresis = 2
	// plannerSettleDelay is how long an entry must be selected before it connects.
	// While a whole fleet starts, each entry underestimates the number of entries.
	plannerSettleDelay = 10 * time.Second
	// plannerConnectDelay is the time allowed for connecting to the other engines.
	plannerConnectDelay = 5 * time.Second
)

// plannerRole holds, by model, since when this entry is selected to plan a large
// model.
type plannerRole struct {
	mu            sync.Mutex
	selectedSince map[string]time.Time
}

// ConnectedToAllEngines reports whether the entry is connected to all live engines
// of a model, given the number of its configured engines. Otherwise it must not
// plan the model, because it would consider the other engines lost.
func (s *Server) ConnectedToAllEngines(model string, configured int) bool {
	if configured <= s.opts.MaxSidecarsPerService {
		return true
	}
	s.planner.mu.Lock()
	defer s.planner.mu.Unlock()
	since, planned := s.planner.selectedSince[model]
	return planned && now().Sub(since) >= plannerSettleDelay+plannerConnectDelay
}

// plannedModels returns the large models that this entry is selected to plan. The
// value is true once it should connect to all of the model's engines.
func (s *Server) plannedModels() map[string]bool {
	planned := make(map[string]bool)
	doc := s.opts.Config()
	if doc == nil {
		return planned
	}
	engines := configuredEngines(doc)
	entries := s.estimateEntries(engines)
	s.planner.mu.Lock()
	defer s.planner.mu.Unlock()
	for model, configured := range engines {
		_, wasPlanner := s.planner.selectedSince[model]
		if configured <= s.opts.MaxSidecarsPerService || !isPlanner(s.opts.ID, model, entries[model], wasPlanner) {
			delete(s.planner.selectedSince, model)
			continue
		}
		if !wasPlanner {
			s.planner.selectedSince[model] = now()
		}
		planned[model] = now().Sub(s.planner.selectedSince[model]) >= plannerSettleDelay
	}
	return planned
}

// isPlanner reports whether an entry is selected to plan a model. While the number
// of entries is unknown, the previous selection stays.
func isPlanner(entry, model string, entries float64, wasPlanner bool) bool {
	if entries <= 0 {
		return wasPlanner
	}
	limit := plannersPerModel / entries
	if wasPlanner {
		limit *= plannerHysteresis
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

// estimateEntries estimates the number of entries for each model from the average
// number of entries that share an engine, as each entry is connected to the same
// fraction of the engines.
func (s *Server) estimateEntries(engines map[string]int) map[string]float64 {
	shared := make(map[string]float64)
	reporting := make(map[string]float64)
	for _, p := range s.peers.all() {
		hello, _, _ := p.info()
		if sharing := p.connectedEntries(); hello.GetModel() != "" && sharing > 0 {
			shared[hello.Model] += float64(sharing)
			reporting[hello.Model]++
		}
	}
	entries := make(map[string]float64)
	for model, n := range reporting {
		entries[model] = shared[model] / n * float64(engines[model]) / float64(s.opts.MaxSidecarsPerService)
	}
	return entries
}
