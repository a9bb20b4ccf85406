package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/placement"
)

// Guards against a first plan without the engines that register a moment
// later, and against a fleet that keeps changing and is therefore never
// planned.
func TestFirstPlanWaitsForEngines(t *testing.T) {
	now, heartbeat := time.Unix(100, 0), 1200*time.Millisecond
	s := &modelState{}
	assert.Assert(t, !s.hasSettled(now, 0, heartbeat))
	assert.Assert(t, !s.hasSettled(now, 5, heartbeat))
	now = now.Add(time.Second)
	assert.Assert(t, !s.hasSettled(now, 6, heartbeat))
	assert.Assert(t, !s.hasSettled(now.Add(heartbeat), 6, heartbeat))
	assert.Assert(t, s.hasSettled(now.Add(heartbeat*5/4), 6, heartbeat))

	s, now = &modelState{}, time.Unix(100, 0)
	for n := 1; n <= 8; n++ {
		assert.Equal(t, s.hasSettled(now, n, heartbeat), now.Sub(time.Unix(100, 0)) >= maxSettleTime)
		now = now.Add(600 * time.Millisecond)
	}
}

// Guards against an empty engine whose waiting time restarts whenever the
// engines of another model are evaluated.
func TestEmptyEngineWaitsOnce(t *testing.T) {
	now := time.Unix(100, 0)
	p := &placer{modelStates: map[string]*modelState{}}
	a, b := []placement.RelayEngine{{Name: "a"}}, []placement.RelayEngine{{Name: "b"}}
	for range 10 {
		p.modelState("one").waitingEngines(now, a)
		p.modelState("two").waitingEngines(now, b)
		now = now.Add(maxEmptyWait / 10)
	}
	assert.Assert(t, !p.modelState("one").waitingEngines(now, a)["a"])
	assert.Assert(t, p.modelState("one").waitingEngines(now, []placement.RelayEngine{{Name: "c"}})["c"])
}

// Guards against moving an engine as soon as a layer is short of copies, which
// is often due to a crash that ends by itself.
func TestMoveWaitsForMoveDelay(t *testing.T) {
	now, s := time.Unix(100, 0), &modelState{}
	assert.Equal(t, s.unreplicatedFor(now, true), time.Duration(0))
	assert.Equal(t, s.unreplicatedFor(now.Add(time.Second), true), time.Second)
	assert.Equal(t, s.unreplicatedFor(now.Add(2*time.Second), false), time.Duration(0))
	assert.Equal(t, s.unreplicatedFor(now.Add(3*time.Second), true), time.Duration(0))
}
