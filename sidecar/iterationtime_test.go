package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Unix(1_000_000, 0)

// Guards against giving up an engine that is slow but reports progress, and
// against waiting for one that does not move.
func TestStallDetector(t *testing.T) {
	load := func(progress int64) *engineLoad { return &engineLoad{Progress: &progress} }
	at := func(d time.Duration) time.Time { return testStart.Add(d) }
	progressing := &stallDetector{startedAt: testStart, fallbackTimeout: time.Second}
	for i := range 100 {
		assert.Assert(t, !progressing.stalled(at(time.Duration(i)*stallTimeout/2), load(int64(i))))
	}
	stuck := &stallDetector{startedAt: testStart, fallbackTimeout: time.Second}
	assert.Assert(t, !stuck.stalled(at(0), load(7)))
	assert.Assert(t, !stuck.stalled(at(stallTimeout-1), load(7)))
	assert.Assert(t, stuck.stalled(at(stallTimeout), load(7)))
	unresponsive := &stallDetector{startedAt: testStart, fallbackTimeout: time.Second}
	assert.Assert(t, !unresponsive.stalled(at(0), nil))
	assert.Assert(t, unresponsive.stalled(at(stallTimeout), nil))
}

// Guards engines that do not report progress: only the estimate bounds them.
func TestStallDetectorWithoutProgressReports(t *testing.T) {
	withoutProgress := &engineLoad{}
	estimated := &stallDetector{startedAt: testStart, estimate: time.Second, fallbackTimeout: 2 * time.Second}
	assert.Assert(t, !estimated.stalled(testStart.Add(estimateTimeoutFactor*time.Second), withoutProgress))
	assert.Assert(t, estimated.stalled(testStart.Add(estimateTimeoutFactor*time.Second+1), withoutProgress))
	unestimated := &stallDetector{startedAt: testStart, fallbackTimeout: 2 * time.Second}
	assert.Assert(t, !unestimated.stalled(testStart.Add(2*time.Second), withoutProgress))
	assert.Assert(t, unestimated.stalled(testStart.Add(2*time.Second+1), withoutProgress))
}

// Guards the estimate: prompts must not raise the limit of ordinary iterations.
func TestIterationTimeEstimator(t *testing.T) {
	var p iterationTimeEstimator
	_, known := p.estimate(0)
	assert.Assert(t, !known)
	p.observe(0, 50*time.Millisecond)
	p.observe(1000, 1050*time.Millisecond)
	assert.Equal(t, p.overdueTimeout(0), overdueFactor*50*time.Millisecond)
	expected, known := p.estimate(2000)
	assert.Assert(t, known)
	assert.Equal(t, expected.Round(time.Millisecond), 2050*time.Millisecond)
}
