package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a log volume that grows with the load, and against lines that
// are dropped without being counted.
func TestLogLimiterBoundsLines(t *testing.T) {
	l, now := newLogLimiter(), time.Unix(0, 0)
	written := 0
	for range 10 * int(logBurst) {
		if l.allow(now) {
			written++
		}
	}
	assert.Equal(t, written, int(logBurst))
	assert.Equal(t, l.takeSkipped(), int64(9*logBurst))
	assert.Equal(t, l.takeSkipped(), int64(0))
	now = now.Add(time.Second)
	for range 10 * int(logBurst) {
		if l.allow(now) {
			written++
		}
	}
	assert.Equal(t, written, int(logBurst+logRate))
}
