package relay

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against streams that all leave an engine at the same moment: the one that takes
// them over needs 12 ms for each prompt, and of 60 streams most would pause for longer
// than their route's target of 250 ms.
func TestStreamsLeaveAnEngineOneAfterAnother(t *testing.T) {
	const (
		streams    = 60
		promptTime = 12 * time.Millisecond
		pause      = 250 * time.Millisecond
		mostLate   = streams / 20
	)
	now, random := time.Now(), rand.New(rand.NewPCG(1, 2))
	departures := make([]time.Duration, streams)
	for i := range departures {
		a := &attempt{}
		departures[i] = a.departure(now, random.Float64())
		assert.Assert(t, departures[i] <= departureSpread)
		assert.Equal(t, a.departure(now, random.Float64()), departures[i])
		assert.Assert(t, a.departure(now.Add(departures[i]), random.Float64()) <= 0)
	}
	slices.Sort(departures)
	late, free := 0, time.Duration(0)
	for _, at := range departures {
		free = max(free, at) + promptTime
		if free-at > pause {
			late++
		}
	}
	assert.Assert(t, late <= mostLate, "%d of %d streams pause for longer than %v", late, streams, pause)
}
