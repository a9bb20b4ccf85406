package relay

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// logRate and logBurst bound the lines for requests. Lines beyond them are
	// counted and the next line says how many were left out.
	logRate  = 100.0
	logBurst = 200.0
)

// logGate bounds the number of log lines for requests.
type logGate struct {
	mu      sync.Mutex
	tokens  float64
	at      time.Time
	skipped int64
}

func newLogGate() *logGate { return &logGate{tokens: logBurst} }

// allow tells whether a line may be written.
func (g *logGate) allow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.at.IsZero() {
		g.tokens = min(g.tokens+now.Sub(g.at).Seconds()*logRate, logBurst)
	}
	g.at = now
	if g.tokens < 1 {
		g.skipped++
		return false
	}
	g.tokens--
	return true
}

// takeSkipped returns how many lines were left out since the last call.
func (g *logGate) takeSkipped() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.skipped
	g.skipped = 0
	return n
}

// Reservoirs of latency histograms.
const (
	reservoirSize  = 512
	reservoirAlpha = 0.015
)

// counters are an entry's metrics.
type counters struct {
	registry metrics.Registry
	first    metrics.Histogram
	whole    metrics.Histogram
	repeats  metrics.Counter
	// skipped counts log lines that were left out.
	skipped metrics.Counter
}

func newCounters(registry metrics.Registry) *counters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}
	return &counters{
		registry: registry,
		first:    histogram("relay.first_byte_ms"),
		whole:    histogram("relay.request_ms"),
		repeats:  metrics.GetOrRegisterCounter("relay.repeats", registry),
		skipped:  metrics.GetOrRegisterCounter("relay.log_lines_skipped", registry),
	}
}

func (c *counters) finished(q *request) {
	metrics.GetOrRegisterCounter("relay.requests."+string(q.outcome), c.registry).Inc(1)
	c.whole.Update(time.Since(q.started).Milliseconds())
	if !q.firstByte.IsZero() {
		c.first.Update(q.firstByte.Sub(q.started).Milliseconds())
	}
	if q.sends > 1 {
		c.repeats.Inc(int64(q.sends - 1))
	}
}
