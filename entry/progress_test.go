package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards the watch over an attempt: what it asks, whom it blames and when.
func TestProgressWatch(t *testing.T) {
	limits := []time.Duration{minProbeLimit, minProbeLimit}
	start := time.Unix(1_000_000, 0)
	type answer struct {
		next uint32
		busy bool
	}
	cases := []struct {
		name string
		// rounds holds what each stage answers in each round; a nil stage is silent.
		rounds [][2]*answer
		lost   []int
		silent bool
	}{
		{"a stage is silent", [][2]*answer{{{5, false}, nil}}, []int{1}, true},
		{"a stage stays busy", [][2]*answer{{{5, false}, {4, true}}, {{5, false}, {4, true}}, {{5, false}, {4, true}}}, nil, false},
		{"a step is lost on its way", [][2]*answer{{{5, false}, {4, false}}, {{5, false}, {4, false}}, {{5, false}, {4, false}}}, []int{1}, false},
		{"a token is lost on its way back", [][2]*answer{{{5, false}, {5, false}}, {{5, false}, {5, false}}, {{5, false}, {5, false}}}, []int{0}, false},
		{"steps move between the rounds", [][2]*answer{{{5, false}, {4, false}}, {{5, false}, {5, false}}, {{6, false}, {5, false}}}, nil, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			w := newProgressWatch(2, start)
			at := start
			var last watchAction
			for _, round := range test.rounds {
				action, next := w.tick(at, limits)
				for !action.probe {
					assert.Assert(t, next.After(at))
					at = next
					action, next = w.tick(at, limits)
				}
				for i, a := range round {
					if a != nil {
						w.answer(i, &wire.Progress{Sequence: w.round, Known: true, NextIndex: a.next, Busy: a.busy})
					}
				}
				at = at.Add(minProbeLimit)
				last, _ = w.tick(at, limits)
			}
			assert.DeepEqual(t, last.lost, test.lost)
			assert.Equal(t, last.silent, test.silent)
		})
	}
}

// Guards the patience with a slow stream, which must follow its own gaps.
func TestPatience(t *testing.T) {
	w := newProgressWatch(1, time.Unix(0, 0))
	for i := range 20 {
		w.token(time.Unix(0, 0).Add(time.Duration(i) * 50 * time.Millisecond))
	}
	assert.Equal(t, w.patience(), patienceFactor*50*time.Millisecond)
}
