package bootclock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The clock must be that of the machine and advance; a process that was just
// started would otherwise compare times of different clocks.
func TestClockAdvances(t *testing.T) {
	assert.Assert(t, supported)
	first := Now()
	assert.Assert(t, first.After(time.Unix(0, 0)))
	for !Now().After(first) {
	}
	assert.Assert(t, Since(first) > 0)
}
