package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/burn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/problem"
)

// Guards the service-level objectives: a failure of the service counts as bad,
// a caller's own mistake or a team's limit does not.
func TestObserveEnd(t *testing.T) {
	cases := []struct {
		p    *problem.Problem
		want bool
	}{
		{nil, false},
		{problem.Refuse(problem.BackendFailed, ""), true},
		{problem.Refuse(problem.Overloaded, ""), true},
		{problem.Refuse(problem.RateLimited, ""), false},
		{problem.Refuse(problem.KeyConflict, ""), false},
	}
	for _, c := range cases {
		s := testServer(t, testDocument())
		var samples []burn.Sample
		s.opts.Observe = func(_ time.Time, sample burn.Sample) { samples = append(samples, sample) }
		s.observeEnd("", "orders", "a", now(), c.p)
		assert.Equal(t, len(samples), 2)
		assert.Equal(t, samples[0].Measure, config.MeasureAvailability)
		assert.Equal(t, samples[0].Failed, c.want)
	}
}
