package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

// startedEngines report a start time.
type startedEngines struct {
	testEngines
	startTimeMillis int64
}

func (e *startedEngines) Status(context.Context, string) (EngineStatus, error) {
	return EngineStatus{StartTimeMillis: e.startTimeMillis}, nil
}

// Guards against an engine that stays out of use for good after it was taken for
// lost: its record in the store does not change when it works again.
func TestLostEngineReturnsWhenItResponds(t *testing.T) {
	e := newTestEntry(t, streamRoute(true))
	engines := &startedEngines{startTimeMillis: 2}
	e.Entry.engines = engines
	now := time.Now()
	e.fleet.setServers(now, map[string]Server{"x": testServer("x", 0, 8)})
	e.fleet.markLost(now, "x")
	assert.Equal(t, len(e.fleet.dueReturnProbes(now)), 0)
	due := e.fleet.dueReturnProbes(now.Add(condition.FirstReturnProbe))
	assert.Equal(t, len(due), 1)

	// After a restart, the engine holds nothing; only its record shows what it loads.
	e.probeReturn(t.Context(), due[0])
	assert.Assert(t, e.fleet.lostFor(now.Add(time.Second), "x") > 0)
	engines.startTimeMillis = 1
	e.probeReturn(t.Context(), due[0])
	assert.Equal(t, e.fleet.lostFor(now.Add(time.Second), "x"), time.Duration(0))
	candidates := e.fleet.membership.Candidates(now.Add(time.Minute), "model")
	assert.Equal(t, len(candidates), 1)
	assert.Assert(t, !candidates[0].Suspect)
}

// Guards against probes that go on at a high rate for an engine that is gone.
func TestReturnProbesBecomeRare(t *testing.T) {
	f := newTestEntry(t, streamRoute(true)).fleet
	now := time.Now()
	f.setServers(now, map[string]Server{"x": testServer("x", 0, 8)})
	f.markLost(now, "x")
	probes := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(returnCheckInterval) {
		probes += len(f.dueReturnProbes(now))
	}
	assert.Assert(t, probes >= 10 && probes <= 13, "%d probes", probes)
}

// Guards against a server that gets no more requests after one lost connection.
func TestFailedServerIsTakenBack(t *testing.T) {
	f := newTestEntry(t, unaryRoute(config.CallAtMostOnce)).fleet
	now := time.Now()
	servers := map[string]Server{}
	for _, id := range []string{"x", "y", "z"} {
		servers[id] = testServer(id, 0, 0)
	}
	f.setServers(now, servers)
	f.observe(now, "x", membership.ConnectionLost)
	assert.Equal(t, len(f.membership.Candidates(now.Add(time.Minute), "model")), 2)
	f.retryFailed(now.Add(condition.RetryFailedAfter - 1))
	assert.Equal(t, len(f.membership.Candidates(now.Add(time.Minute), "model")), 2)
	f.retryFailed(now.Add(condition.RetryFailedAfter))
	assert.Equal(t, len(f.membership.Candidates(now.Add(condition.RetryFailedAfter), "model")), 2)
	assert.Equal(t, len(f.membership.Candidates(now.Add(time.Minute), "model")), 3)
}

// Guards against taking an engine for lost because the client left while the
// connection was opened.
func TestEngineIsNotLostWhenClientLeaves(t *testing.T) {
	b := newBackend(t, events(1, true))
	e := newTestEntry(t, streamRoute(true), b)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s := &streamRequest{request: &request{
		Entry: e.Entry, r: httptest.NewRequestWithContext(ctx, http.MethodPost, "/x", nil), avoid: map[string]bool{},
		deadline: time.Now().Add(time.Minute), bootDeadline: bootclock.Now().Add(time.Minute),
	}}
	hops := []pipeline.Hop{{Engine: "s0", Address: b.address()}}
	result, err := s.tryPath(ctx, hops, e.fleet.reserve(nil))
	assert.ErrorIs(t, err, errNotSent)
	assert.Equal(t, result, notSent)
	assert.Equal(t, e.fleet.lostFor(time.Now(), "s0"), time.Duration(0))
}
