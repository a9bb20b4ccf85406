package overload

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var short = Options{Seed: 20261, Duration: 20 * time.Second, MeanServiceTime: time.Second}

// Checks the fairness target: a flooding team raises the 95th percentile of the
// other teams by at most a tenth and causes none of their requests to be shed.
func TestFloodTarget(t *testing.T) {
	setup := short
	// Over one minute the 95th percentile varies by several percent, so the run is
	// as long as in the experiment.
	setup.Duration = 2 * time.Minute
	s := setup.baseScenario()
	s.teams = setup.quietTeams()
	baseline := runScenario(short.Seed, s).merge(isQuiet).quantile(95)
	s.teams = append(s.teams, team{name: "flood", weight: 1, entryRates: splitEvenly(setup.requestRate(floodLevel))})
	flooded := runScenario(short.Seed, s).merge(isQuiet)
	assert.Assert(t, flooded.quantile(95) <= baseline*11/10, "%s with the flood, %s without", flooded.quantile(95), baseline)
	assert.Assert(t, flooded.percentOfOffered(flooded.shed) < 1, "%.1f%% of the others shed", flooded.percentOfOffered(flooded.shed))
}

// Checks the goodput target: at three times the capacity, goodput stays within a
// tenth of that at full capacity, and requests are shed promptly.
func TestGoodputTarget(t *testing.T) {
	full := runScenario(short.Seed, short.equalTeamsAt(1, false)).merge(allTeams)
	over := runScenario(short.Seed, short.equalTeamsAt(3, false))
	assert.Assert(t, float64(over.merge(allTeams).withinTarget) >= 0.9*float64(full.withinTarget))
	maxShedDelay := time.Duration(over.shedDelay.Max()) * time.Microsecond
	assert.Assert(t, maxShedDelay <= firstTokenTarget/2+20*time.Millisecond, "a request was shed after %s", maxShedDelay)
}

// Guards against results that do not repeat for a seed, and against silently
// accepting the name of an unknown table.
func TestTablesRepeat(t *testing.T) {
	var a, b strings.Builder
	setup := short
	setup.Duration = time.Second
	assert.NilError(t, Run(&a, setup, "shares"))
	assert.NilError(t, Run(&b, setup, "shares"))
	assert.Equal(t, a.String(), b.String())
	assert.ErrorContains(t, Run(&a, setup, "none"), `unknown table "none"`)
}
