package relay

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

func testServer(id string, first, limit int) Server {
	return Server{
		Instance: membership.Instance{ID: id, Service: "model", Zone: "a", Address: id + ":1"}, StartTimeMillis: 1,
		Layers: placement.Range{First: first, Limit: limit},
	}
}

// Guards against streams that stay on an engine that drops their layers: the
// engine waits for them before it loads other layers.
func TestStreamsLeaveEngineThatDropsLayers(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	now := time.Now()
	f.setServers(now, map[string]Server{"x": testServer("x", 0, 10), "y": testServer("y", 10, 20)})
	hops := []pipeline.Hop{{Engine: "x", First: 0, Limit: 10}, {Engine: "y", First: 12, Limit: 20}}
	lost, leaving := f.unusable(hops)
	assert.Equal(t, len(lost)+len(leaving), 0)
	before := f.changes.Load()
	f.setServers(now, map[string]Server{"x": testServer("x", 0, 10), "y": testServer("y", 11, 20)})
	lost, leaving = f.unusable(hops)
	assert.Equal(t, len(lost)+len(leaving), 0)
	f.setServers(now, map[string]Server{"x": testServer("x", 0, 10), "y": testServer("y", 15, 20)})
	lost, leaving = f.unusable(hops)
	assert.Equal(t, len(lost), 0)
	assert.DeepEqual(t, leaving, []string{"y"})
	assert.Assert(t, f.changes.Load() > before)
}

// Guards against entries that poll the store at a high rate for as long as the
// record of a terminated engine exists.
func TestLostEngineIsAwaitedForLimitedTime(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	now := time.Now()
	f.setServers(now, map[string]Server{"x": testServer("x", 0, 10)})
	assert.Assert(t, !f.hasRecentlyLost(now))
	f.markLost(now, "x")
	assert.Assert(t, f.hasRecentlyLost(now.Add(time.Second)))
	assert.Assert(t, !f.hasRecentlyLost(now.Add(condition.MaxReturnWait)))
}

// Guards against links that look fuller than they are after a loss, when many
// streams ask whether another path exists, and count hops that stay on their path.
func TestLinksCountOnlyTrafficThatIsSent(t *testing.T) {
	e := newTestEntry(t, streamRoute(true))
	servers := map[string]Server{}
	for id, s := range map[string]struct {
		zone   string
		layers placement.Range
	}{"head": {"a", placement.Range{Limit: 4}}, "middle": {"b", placement.Range{First: 4, Limit: 6}}, "tail": {"a", placement.Range{First: 6, Limit: 8}}} {
		servers[id] = Server{
			Instance: membership.Instance{ID: id, Service: "llm", Zone: s.zone, Address: id + ":1"},
			Slots:    10, Accelerator: "gpu", Layers: s.layers,
		}
	}
	now := time.Now()
	e.fleet.setServers(now, servers)
	rev := e.current.Load()
	rev.models["llm"].ActivationBytes = 1
	r := pipeline.RelayRequest{PromptTokens: 100, AnswerTokens: 100}
	link := linkID("a", "b")
	assert.Assert(t, e.fleet.hasPath(now, rev, "llm", r))
	assert.Equal(t, e.fleet.linkRate(now, link), 0.0)
	hops, _, err := e.fleet.choosePath(now, rev, "llm", "t", r)
	assert.NilError(t, err)
	sent := e.fleet.linkRate(now, link)
	assert.Equal(t, sent, 400.0)
	r.CurrentPath = hops
	_, _, err = e.fleet.choosePath(now, rev, "llm", "t", r)
	assert.NilError(t, err)
	assert.Equal(t, e.fleet.linkRate(now, link), sent)
}

// Guards against a refusal whose cause nobody can find in the logs.
func TestRefusalNamesWhatSpeaksAgainstServers(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	now := time.Now()
	servers := map[string]Server{}
	for _, id := range []string{"paused", "limited", "leaving", "failed", "avoided", "free"} {
		servers[id] = testServer(id, 0, 0)
	}
	f.setServers(now, servers)
	f.pauseServer(now, "paused", time.Minute)
	f.observeRateLimit(now, "limited", now, 0.2)
	f.chargeSlot(now, "limited")
	f.markLeaving(now, "leaving")
	f.observe(now, "failed", membership.ConnectionLost)
	got := f.explainUnavailable(now, "model", map[string]bool{"avoided": true})
	for _, want := range []string{
		"1 because it has asked for a pause", "1 because its rate limit leaves no room", "1 because it is leaving", "1 because it has failed this request", "2 because it is left out",
	} {
		assert.Assert(t, strings.Contains(got, want), "%s: %s", want, got)
	}
	assert.Equal(t, f.explainUnavailable(now, "other", nil), "no server of the service is known")
}

// Guards against the loss of a whole service that is never believed, because the lists
// that follow bring nothing but heartbeats of the others.
func TestLossOfServiceIsBelievedWithoutFurtherChanges(t *testing.T) {
	now := time.Unix(100, 0)
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	gone := Server{Instance: membership.Instance{ID: "gone", Service: "a"}, StartTimeMillis: 1}
	stays := Server{Instance: membership.Instance{ID: "stays", Service: "b"}, StartTimeMillis: 1}
	f.setServers(now, map[string]Server{"gone": gone, "stays": stays})
	observed := now
	for range 50 {
		now = now.Add(watchInterval)
		stays.HeartbeatCount++
		f.setServers(now, map[string]Server{"stays": stays})
		assert.Assert(t, now.Sub(f.indexedAt) < indexInterval)
		if f.indexedAt != observed {
			observed = f.indexedAt
		}
	}
	assert.Assert(t, observed.After(time.Unix(110, 0)))
}
