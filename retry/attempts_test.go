package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLimitsAllow guards against executing a non-idempotent request twice, and
// against requests that try more servers than their route allows.
func TestLimitsAllow(t *testing.T) {
	plain := Limits{Attempts: 2, Unsent: 3}
	stream := Limits{Attempts: 2, Unsent: 3, Refusals: 3}
	for _, test := range []struct {
		limits     Limits
		outcomes   []Outcome
		repeatable bool
		want       bool
	}{
		{plain, []Outcome{Unknown}, true, true},
		{plain, []Outcome{Unknown}, false, false},
		{plain, []Outcome{Refused}, false, true},
		{plain, []Outcome{Refused, Refused}, true, false},
		{plain, []Outcome{Refused, Unknown}, false, false},
		{plain, []Outcome{Unsent, Unsent}, false, true},
		{plain, []Outcome{Unsent, Unsent, Unsent}, false, false},
		{plain, []Outcome{Unsent, Unsent, Unknown}, true, true},
		{stream, []Outcome{Refused, Refused, Refused}, false, true},
		{stream, []Outcome{Refused, Refused, Refused, Refused}, false, false},
		{stream, []Outcome{Refused, Refused, Unknown}, true, true},
		{stream, []Outcome{Unknown, Refused, Unknown}, true, false},
		{stream, []Outcome{Unknown}, false, false},
	} {
		var a AttemptCounts
		for _, o := range test.outcomes {
			a.Count(o)
		}
		last := test.outcomes[len(test.outcomes)-1]
		assert.Equal(t, test.limits.Allow(a, last, test.repeatable), test.want, "%+v", test)
	}
}
