package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var paceStart = time.Unix(1_000_000, 0)

// Guards against giving up an engine that is slow but reports progress, and
// against waiting for one that does not move.
func TestStall(t *testing.T) {
	report := func(progress int64) *engineReport { return &engineReport{Progress: &progress} }
	at := func(d time.Duration) time.Time { return paceStart.Add(d) }
	moving := &stall{began: paceStart, hardLimit: time.Second}
	for i := range 100 {
		assert.Assert(t, !moving.hung(at(time.Duration(i)*stallLimit/2), report(int64(i))))
	}
	still := &stall{began: paceStart, hardLimit: time.Second}
	assert.Assert(t, !still.hung(at(0), report(7)))
	assert.Assert(t, !still.hung(at(stallLimit-1), report(7)))
	assert.Assert(t, still.hung(at(stallLimit), report(7)))
	mute := &stall{began: paceStart, hardLimit: time.Second}
	assert.Assert(t, !mute.hung(at(0), nil))
	assert.Assert(t, mute.hung(at(stallLimit), nil))
}

// Guards engines that do not report progress: only the estimate bounds them.
func TestStallWithoutProgress(t *testing.T) {
	blind := &engineReport{}
	known := &stall{began: paceStart, expected: time.Second, hardLimit: 2 * time.Second}
	assert.Assert(t, !known.hung(paceStart.Add(blindFactor*time.Second), blind))
	assert.Assert(t, known.hung(paceStart.Add(blindFactor*time.Second+1), blind))
	unknown := &stall{began: paceStart, hardLimit: 2 * time.Second}
	assert.Assert(t, !unknown.hung(paceStart.Add(2*time.Second), blind))
	assert.Assert(t, unknown.hung(paceStart.Add(2*time.Second+1), blind))
}

// Guards the estimate: prompts must not raise the limit of ordinary iterations.
func TestPace(t *testing.T) {
	var p pace
	_, known := p.expect(0)
	assert.Assert(t, !known)
	p.observe(0, 50*time.Millisecond)
	p.observe(1000, 1050*time.Millisecond)
	assert.Equal(t, p.limit(0), paceFactor*50*time.Millisecond)
	expected, known := p.expect(2000)
	assert.Assert(t, known)
	assert.Equal(t, expected.Round(time.Millisecond), 2050*time.Millisecond)
}
