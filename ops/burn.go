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

// BurnRateMonitor wraps a burn.Tracker for concurrent use, serves its counts at
// /burn and logs its alerts.
type BurnRateMonitor struct {
	processID string
	logger    *log.Logger

	mu      sync.Mutex
	tracker *burn.Tracker
}

// NewBurnRateMonitor returns a BurnRateMonitor without objectives for the process
// with the given ID.
func NewBurnRateMonitor(processID string, logger *log.Logger) *BurnRateMonitor {
	return &BurnRateMonitor{processID: processID, logger: logger, tracker: burn.NewTracker(nil)}
}

// SetObjectives replaces the service-level objectives.
func (m *BurnRateMonitor) SetObjectives(objectives []config.Objective) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.SetObjectives(objectives)
}

// Observe counts one sample.
func (m *BurnRateMonitor) Observe(now time.Time, sample burn.Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Observe(now, sample)
}

// Evaluate logs the alerts that have started or ended. It is meant to be called
// every ten seconds, the width of the finest buckets.
func (m *BurnRateMonitor) Evaluate(now time.Time) {
	m.mu.Lock()
	changes := m.tracker.Evaluate(now)
	m.mu.Unlock()
	for _, c := range changes {
		event := logevent.BurnRateExceeded
		if !c.Firing {
			event = logevent.BurnRateRecovered
		}
		line := logevent.Write(m.logger, event).
			Str("objective", c.Alert.Objective.Name).
			Str("severity", string(c.Alert.Rule.Severity))
		if c.Firing {
			line = line.Str("reason", c.Alert.Reason())
		}
		line.Msg("")
	}
}

// ServeHTTP writes the counts as JSON; "sapphirectl report burn" merges those of
// several processes.
func (m *BurnRateMonitor) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	export := m.tracker.Export(m.processID)
	m.mu.Unlock()
	WriteJSON(w, export)
}
