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
func (l *logLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastRefill.IsZero() {
		l.tokens = min(l.tokens+now.Sub(l.lastRefill).Seconds()*logRate, logBurst)
	}
	l.lastRefill = now
	if l.tokens < 1 {
		l.skipped++
		return false
	}
	l.tokens--
	return true
}

// takeSkipped returns the number of lines dropped since the last call.
func (l *logLimiter) takeSkipped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.skipped
	l.skipped = 0
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
	// stageRefusals counts stages that engines refused.
	stageRefusals metrics.Counter
	// skippedLines counts dropped log lines.
	skippedLines metrics.Counter
	// controlRequests counts status queries and orders to engines.
	controlRequests metrics.Counter
	// clientLeftEnd is how long a request goes on after its client was found to have left.
	clientLeftEnd metrics.Histogram
	// pulseDelay is how much later than planned a goroutine runs that waits for nothing
	// but the time.
	pulseDelay metrics.Histogram
}

func newRequestMetrics(registry metrics.Registry) *requestMetrics {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}
	return &requestMetrics{
		registry:      registry,
		firstByte:     histogram("relay.first_byte_ms"),
		total:         histogram("relay.request_ms"),
		retries:       metrics.GetOrRegisterCounter("relay.repeats", registry),
		stageRefusals: metrics.GetOrRegisterCounter("relay.stage_refusals", registry),
		skippedLines:  metrics.GetOrRegisterCounter("relay.log_lines_skipped", registry),

		controlRequests: metrics.GetOrRegisterCounter("relay.control_requests", registry),
		clientLeftEnd:   histogram("relay.client_left_end_ms"),
		pulseDelay:      histogram("relay.pulse_delay_ms"),
	}
}

func (m *requestMetrics) recordRequest(q *request) {
	metrics.GetOrRegisterCounter("relay.requests."+string(q.outcome), m.registry).Inc(1)
	m.total.Update(time.Since(q.started).Milliseconds())
	if !q.firstByte.IsZero() {
		m.firstByte.Update(q.firstByte.Sub(q.started).Milliseconds())
	}
	if q.outcome == outcomeClientGone {
		m.recordClientLeft(q, time.Now())
	}
	if q.sentCount > 1 {
		m.retries.Inc(int64(q.sentCount - 1))
	}
}
