package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards the detection of stalled attempts: when stages are probed, and when which
// of them counts as lost.
func TestStallDetector(t *testing.T) {
	probeTimeouts := []time.Duration{minProbeTimeout, minProbeTimeout}
	start := time.Unix(1_000_000, 0)
	type reply struct {
		next uint32
		busy bool
	}
	cases := []struct {
		name string
		// rounds holds each stage's reply in each round; nil means no reply.
		rounds     [][2]*reply
		lost       []int
		unanswered bool
	}{
		{"a stage does not reply", [][2]*reply{{{5, false}, nil}}, []int{1}, true},
		{"a stage stays busy", [][2]*reply{{{5, false}, {4, true}}, {{5, false}, {4, true}}, {{5, false}, {4, true}}}, nil, false},
		{"a step is lost between stages", [][2]*reply{{{5, false}, {4, false}}, {{5, false}, {4, false}}, {{5, false}, {4, false}}}, []int{1}, false},
		{"a token is lost between the last and the first stage", [][2]*reply{{{5, false}, {5, false}}, {{5, false}, {5, false}}, {{5, false}, {5, false}}}, []int{0}, false},
		{"steps advance between the rounds", [][2]*reply{{{5, false}, {4, false}}, {{5, false}, {5, false}}, {{6, false}, {5, false}}}, nil, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			d := newStallDetector(2, start)
			at := start
			var last stallAction
			for _, round := range test.rounds {
				action, next := d.tick(at, probeTimeouts)
				for !action.probe {
					assert.Assert(t, next.After(at))
					at = next
					action, next = d.tick(at, probeTimeouts)
				}
				for i, r := range round {
					if r != nil {
						d.observeReply(i, &wire.Progress{Sequence: d.round, Known: true, NextIndex: r.next, Busy: r.busy})
					}
				}
				at = at.Add(minProbeTimeout)
				last, _ = d.tick(at, probeTimeouts)
			}
			assert.DeepEqual(t, last.lost, test.lost)
			assert.Equal(t, last.unanswered, test.unanswered)
		})
	}
}

// Guards against probing a slow stream too early: the delay must follow the
// stream's own time between tokens.
func TestProbeDelay(t *testing.T) {
	d := newStallDetector(1, time.Unix(0, 0))
	for i := range 20 {
		d.observeToken(time.Unix(0, 0).Add(time.Duration(i) * 50 * time.Millisecond))
	}
	assert.Equal(t, d.probeDelay(), probeDelayFactor*50*time.Millisecond)
}
