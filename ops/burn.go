package ops

import (
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/sapphirefield/sapphirefield/burn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/logevent"
)

// BurnRateMonitor shares one burn.Tracker between goroutines, serves its counts for
// /burn and writes its alerts to the log.
type BurnRateMonitor struct {
	process string
	logger  *log.Logger

	mu      sync.Mutex
	tracker *burn.Tracker
}

// NewBurnRateMonitor makes a meter for the named process without objectives.
func NewBurnRateMonitor(process string, logger *log.Logger) *BurnRateMonitor {
	return &BurnRateMonitor{process: process, logger: logger, tracker: burn.NewTracker(nil)}
}

// SetObjectives takes the objectives of a new configuration revision.
func (m *BurnRateMonitor) SetObjectives(objectives []config.Objective) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.SetObjectives(objectives)
}

// Observe counts one event.
func (m *BurnRateMonitor) Observe(now time.Time, sample burn.Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Observe(now, sample)
}

// Evaluate logs the alerts that have begun or ended. The driver calls it every
// ten seconds, the width of the finest buckets.
func (m *BurnRateMonitor) Evaluate(now time.Time) {
	m.mu.Lock()
	changes := m.tracker.Evaluate(now)
	m.mu.Unlock()
	for _, c := range changes {
		event := logevent.BurnRateExceeded
		if !c.Firing {
			event = logevent.BurnRateRecovered
		}
		entry := logevent.Write(m.logger, event).
			Str("objective", c.Alert.Objective.Name).
			Str("severity", string(c.Alert.Rule.Severity))
		if c.Firing {
			entry = entry.Str("reason", c.Alert.Reason())
		}
		entry.Msg("")
	}
}

// ServeHTTP writes the counts as JSON, which sapphirectl report burn merges.
func (m *BurnRateMonitor) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	export := m.tracker.Export(m.process)
	m.mu.Unlock()
	WriteJSON(w, export)
}
