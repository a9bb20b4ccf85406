package relay

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// timeoutRecorder records how long each status query may take.
type timeoutRecorder struct {
	testEngines
	timeouts []time.Duration
}

func (r *timeoutRecorder) Status(ctx context.Context, address string) (EngineStatus, error) {
	deadline, _ := ctx.Deadline()
	r.timeouts = append(r.timeouts, time.Until(deadline))
	return r.testEngines.Status(ctx, address)
}

// Guards against taking a busy first engine for lost after a restart of many
// entries: the first query waits behind the connections that all requests open.
func TestFirstContactMayTakeLonger(t *testing.T) {
	engines := &timeoutRecorder{}
	s := newStallChecker(engines, &log.Logger{Level: log.PanicLevel})
	for range 2 {
		_, err := s.stalledEngines(t.Context(), "a")
		assert.NilError(t, err)
		s.byAddress["a"].startedAt = time.Time{}
	}
	assert.Equal(t, len(engines.timeouts), 2)
	assert.Assert(t, engines.timeouts[0] > stallTimeout, "%v", engines.timeouts)
	assert.Assert(t, engines.timeouts[1] <= stallTimeout, "%v", engines.timeouts)
}

// Guards against an entry that presumes a full engine dead because it does not
// know what the engine still runs for entries that ended a moment ago. All
// streams through the engine would leave it at once.
func TestRefusalsAfterStartRaiseNoSuspicion(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	const capacity = 100
	assert.Assert(t, !f.markSuspect(f.startedAt.Add(loadUnknownTime-time.Millisecond), "x", capacity))
	assert.Assert(t, f.markSuspect(f.startedAt.Add(loadUnknownTime), "x", capacity))
}
