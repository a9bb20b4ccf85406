package pipeline

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestStepGate guards against a layer range that runs twice or out of order for a
// token when frames arrive reordered, duplicated or from another attempt.
func TestStepGate(t *testing.T) {
	type event struct {
		open, done, close bool
		attempt, index    uint32
		want              Verdict
	}
	cases := map[string][]event{
		"in order": {
			{open: true, attempt: 1}, {attempt: 1, index: 0, want: StepRun}, {done: true, attempt: 1, index: 0},
			{attempt: 1, index: 1, want: StepRun},
		},
		"duplicate while running and after completion": {
			{open: true, attempt: 1}, {attempt: 1, index: 0, want: StepRun}, {attempt: 1, index: 0, want: StepInProgress},
			{done: true, attempt: 1, index: 0}, {attempt: 1, index: 0, want: StepRepeat},
		},
		"gap and outdated duplicate": {
			{open: true, attempt: 1}, {attempt: 1, index: 1, want: StepOutOfOrder}, {attempt: 1, index: 0, want: StepRun},
			{done: true, attempt: 1, index: 0}, {attempt: 1, index: 1, want: StepRun}, {done: true, attempt: 1, index: 1},
			{attempt: 1, index: 0, want: StepOutOfOrder},
		},
		"older attempt is rejected": {
			{open: true, attempt: 1}, {open: true, attempt: 2, index: 5}, {attempt: 1, index: 0, want: StepStale},
			{attempt: 2, index: 5, want: StepRun},
		},
		"attempt that was never opened": {
			{attempt: 1, index: 0, want: StepUnknown}, {open: true, attempt: 1}, {attempt: 2, index: 0, want: StepUnknown},
		},
		"closed attempt": {
			{open: true, attempt: 1}, {close: true, attempt: 1}, {attempt: 1, index: 0, want: StepUnknown},
		},
	}
	for name, events := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewStepGate()
			for i, e := range events {
				key := StepKey{Request: "r", Attempt: e.attempt, Index: e.index}
				switch {
				case e.open:
					assert.Assert(t, g.Open("r", e.attempt, e.index))
				case e.done:
					assert.Assert(t, g.Done(key, []byte("x")))
				case e.close:
					g.Close("r", e.attempt)
				default:
					got, _ := g.Offer(key)
					assert.Equal(t, got, e.want, "event %d", i)
				}
			}
		})
	}
}

// TestStepGateDropsResultOfReplacedAttempt guards against the result of a replaced
// attempt reaching the next stage.
func TestStepGateDropsResultOfReplacedAttempt(t *testing.T) {
	g := NewStepGate()
	g.Open("r", 1, 0)
	verdict, _ := g.Offer(StepKey{"r", 1, 0})
	assert.Equal(t, verdict, StepRun)
	g.Open("r", 2, 0)
	assert.Assert(t, !g.Done(StepKey{"r", 1, 0}, nil))
}
