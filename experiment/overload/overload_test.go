package overload

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// floodLength is longer, because the 95th percentile of the few quiet requests varies by
// several percent in 20 s.
const (
	testLength  = 20 * time.Second
	floodLength = time.Minute
)

// Guards the fairness target: a flooding team moves the others' 95th percentile
// by at most a tenth and gets none of them shed.
func TestFloodTarget(t *testing.T) {
	s := base(floodLength)
	s.teams = quiet()
	calm := run(20261, s).sum(isQuiet).quantile(95)
	s.teams = append(s.teams, team{name: "flood", weight: 1, perSecond: evenly(floodRPS)})
	flooded := run(20261, s).sum(isQuiet)
	assert.Assert(t, flooded.quantile(95) <= calm*11/10, "%s with the flood, %s without", flooded.quantile(95), calm)
	assert.Assert(t, flooded.part(flooded.shed) < 1, "%.1f%% of the others shed", flooded.part(flooded.shed))
}

// Guards the goodput target: at three times the capacity it stays within a tenth
// of that at the capacity, and refusals come at once.
func TestGoodputTarget(t *testing.T) {
	full := run(20261, atLevel(1, false, testLength)).sum(everyTeam)
	over := run(20261, atLevel(3, false, testLength))
	assert.Assert(t, float64(over.sum(everyTeam).good) >= 0.9*float64(full.good))
	late := time.Duration(over.shedDelay.Max()) * time.Microsecond
	assert.Assert(t, late <= firstTokenTarget/2+20*time.Millisecond, "a refusal came after %s", late)
}

// Guards against figures that do not repeat from their seed, and against a table that is missing.
func TestTablesRepeat(t *testing.T) {
	var a, b strings.Builder
	assert.NilError(t, Run(&a, 1, time.Second, "shares"))
	assert.NilError(t, Run(&b, 1, time.Second, "shares"))
	assert.Equal(t, a.String(), b.String())
	assert.ErrorContains(t, Run(&a, 1, time.Second, "none"), "no table")
}
