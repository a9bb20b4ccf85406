package relay

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// logRate (lines per second) and logBurst limit the log lines for requests.
	// Dropped lines are counted, and their number is logged.
	logRate  = 100.0
	logBurst = 200.0
)

// logLimiter is a token bucket for the log lines of requests.
type logLimiter struct {
	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	skipped    int64
}

func newLogLimiter() *logLimiter { return &logLimiter{tokens: logBurst} }

// allow reports whether a line may be written.
func (g *logLimiter) allow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lastRefill.IsZero() {
		g.tokens = min(g.tokens+now.Sub(g.lastRefill).Seconds()*logRate, logBurst)
	}
	g.lastRefill = now
	if g.tokens < 1 {
		g.skipped++
		return false
	}
	g.tokens--
	return true
}

// takeSkipped returns the number of lines dropped since the last call.
func (g *logLimiter) takeSkipped() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.skipped
	g.skipped = 0
	return n
}

// Parameters of the exponentially decaying samples of the latency histograms.
const (
	reservoirSize  = 512
	reservoirAlpha = 0.015
)

// requestMetrics are an entry's metrics.
type requestMetrics struct {
	registry  metrics.Registry
	firstByte metrics.Histogram
	total     metrics.Histogram
	retries   metrics.Counter
	// skippedLines counts dropped log lines.
	skippedLines metrics.Counter
}

func newRequestMetrics(registry metrics.Registry) *requestMetrics {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}
	return &requestMetrics{
		registry:     registry,
		firstByte:    histogram("relay.first_byte_ms"),
		total:        histogram("relay.request_ms"),
		retries:      metrics.GetOrRegisterCounter("relay.repeats", registry),
		skippedLines: metrics.GetOrRegisterCounter("relay.log_lines_skipped", registry),
	}
}

func (c *requestMetrics) recordRequest(q *request) {
	metrics.GetOrRegisterCounter("relay.requests."+string(q.outcome), c.registry).Inc(1)
	c.total.Update(time.Since(q.started).Milliseconds())
	if !q.firstByte.IsZero() {
		c.firstByte.Update(q.firstByte.Sub(q.started).Milliseconds())
	}
	if q.sentCount > 1 {
		c.retries.Inc(int64(q.sentCount - 1))
	}
}
