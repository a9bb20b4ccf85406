package overload

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var short = Options{Seed: 20261, Duration: 20 * time.Second, MeanServiceTime: time.Second}

// Guards the fairness target: a flooding team moves the others' 95th percentile
// by at most a tenth and gets none of them shed.
func TestFloodTarget(t *testing.T) {
	u := short
	// The 95th percentile varies by several percent within a minute, so the target
	// is checked over the time that the experiment measures.
	u.Duration = 2 * time.Minute
	s := u.base()
	s.teams = u.quiet()
	calm := run(short.Seed, s).sum(isQuiet).quantile(95)
	s.teams = append(s.teams, team{name: "flood", weight: 1, perSecond: evenly(u.rate(floodLevel))})
	flooded := run(short.Seed, s).sum(isQuiet)
	assert.Assert(t, flooded.quantile(95) <= calm*11/10, "%s with the flood, %s without", flooded.quantile(95), calm)
	assert.Assert(t, flooded.part(flooded.shed) < 1, "%.1f%% of the others shed", flooded.part(flooded.shed))
}

// Guards the goodput target: at three times the capacity it stays within a tenth
// of that at the capacity, and refusals come at once.
func TestGoodputTarget(t *testing.T) {
	full := run(short.Seed, short.atLevel(1, false)).sum(everyTeam)
	over := run(short.Seed, short.atLevel(3, false))
	assert.Assert(t, float64(over.sum(everyTeam).good) >= 0.9*float64(full.good))
	late := time.Duration(over.shedDelay.Max()) * time.Microsecond
	assert.Assert(t, late <= firstTokenTarget/2+20*time.Millisecond, "a refusal came after %s", late)
}

// Guards against figures that do not repeat from their seed, and against a table that is missing.
func TestTablesRepeat(t *testing.T) {
	var a, b strings.Builder
	u := short
	u.Duration = time.Second
	assert.NilError(t, Run(&a, u, "shares"))
	assert.NilError(t, Run(&b, u, "shares"))
	assert.Equal(t, a.String(), b.String())
	assert.ErrorContains(t, Run(&a, u, "none"), "no table")
}
