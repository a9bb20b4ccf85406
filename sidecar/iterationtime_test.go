package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Unix(1_000_000, 0)

// Guards against taking a slow engine that reports progress for stalled, and
// against waiting for one that reports no progress or does not respond.
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

// Tests that an iteration of an engine that does not report progress is limited
// by the estimate, or by the fallback if there is no estimate.
func TestStallDetectorWithoutProgressReports(t *testing.T) {
	withoutProgress := &engineLoad{}
	estimated := &stallDetector{startedAt: testStart, estimate: time.Second, fallbackTimeout: 2 * time.Second}
	assert.Assert(t, !estimated.stalled(testStart.Add(estimateTimeoutFactor*time.Second), withoutProgress))
	assert.Assert(t, estimated.stalled(testStart.Add(estimateTimeoutFactor*time.Second+1), withoutProgress))
	unestimated := &stallDetector{startedAt: testStart, fallbackTimeout: 2 * time.Second}
	assert.Assert(t, !unestimated.stalled(testStart.Add(2*time.Second), withoutProgress))
	assert.Assert(t, unestimated.stalled(testStart.Add(2*time.Second+1), withoutProgress))
}

// Guards against prompts that raise the limit of iterations without prompts.
func TestIterationTimeEstimator(t *testing.T) {
	var e iterationTimeEstimator
	_, known := e.estimate(0)
	assert.Assert(t, !known)
	e.observe(0, 50*time.Millisecond)
	e.observe(1000, 1050*time.Millisecond)
	assert.Equal(t, e.overdueTimeout(0), overdueFactor*50*time.Millisecond)
	expected, known := e.estimate(2000)
	assert.Assert(t, known)
	assert.Equal(t, expected.Round(time.Millisecond), 2050*time.Millisecond)
}
