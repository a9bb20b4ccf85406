package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/explain"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/ratelimit"
)

var explainQuery = explain.Query{Host: "h", Path: "/x", Team: "team", PromptTokens: 100, AnswerTokens: 20}

// Guards against an explanation that names another path than requests get, and against
// one that reserves room or changes what is known of servers.
func TestExplainedPathIsTheOneChosen(t *testing.T) {
	now := time.Now()
	e := newTestEntry(t, streamRoute(true), newBackend(t, nil), newBackend(t, nil), newBackend(t, nil))
	e.fleet.markLeaving(now, "s2")
	e.preferFirst()
	answer := e.Explain(now, explainQuery)
	assert.Equal(t, answer.Route, "r")
	target := answer.Targets[0]
	assert.Equal(t, target.Decision, explain.Send, target.Reason)
	assert.DeepEqual(t, target.LeftOut, map[string][]string{"it is leaving": {"s2"}})

	before := e.fleet.localUsage(now)
	assert.DeepEqual(t, e.Explain(now, explainQuery), answer)
	assert.Equal(t, len(e.fleet.localUsage(now)), len(before))
	hops, reserved, err := e.fleet.choosePath(now, e.current.Load(), "llm", "team", pipeline.RelayRequest{PromptTokens: 100, AnswerTokens: 20})
	assert.NilError(t, err)
	defer reserved.release()
	assert.Equal(t, target.Stages[0].Server, hops[0].Engine)
	assert.Equal(t, target.Stages[0].Limit, hops[0].Limit)
}

// Guards against explanations that leave out why a request would not be sent.
func TestExplanationsOfRefusals(t *testing.T) {
	now := time.Now()
	e := newTestEntry(t, streamRoute(true), newBackend(t, nil))
	for name, test := range map[string]struct {
		change func(*explain.Query)
		want   string
	}{
		"route": {func(q *explain.Query) { q.Host = "elsewhere" }, "no route leads to this host and path"},
		"team":  {func(q *explain.Query) { q.Team = "nobody" }, "the configuration has no such team"},
		"key":   {func(q *explain.Query) { q.Team = "" }, "the route needs the key of a team"},
	} {
		q := explainQuery
		test.change(&q)
		assert.Equal(t, e.Explain(now, q).Refused, test.want, name)
	}
	e.fleet.markLost(now, "s0")
	target := e.Explain(now, explainQuery).Targets[0]
	assert.Equal(t, target.Decision, explain.Wait)
	assert.Equal(t, len(target.Stages), 0)
	assert.Equal(t, len(target.LeftOut), 1)
	newEntry := newStoreEntry(newScriptedStore())
	assert.Equal(t, newEntry.Explain(now, explainQuery).Refused, "no configuration is in force yet")
}

// Guards against a call that is explained with servers that take none.
func TestExplainedCallGoesToUsableServer(t *testing.T) {
	now := time.Now()
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), newBackend(t, nil), newBackend(t, nil))
	e.fleet.reserve(map[string]usage{"s0": {requests: 3}})
	target := e.Explain(now, explainQuery).Targets[0]
	assert.Equal(t, target.Decision, explain.Send)
	assert.Equal(t, target.Stages[0].Server, "s1")
	// A server that has refused calls counts for less, whatever its load.
	e.fleet.observe(now, "s1", membership.Overloaded)
	e.fleet.reserve(map[string]usage{"s1": {requests: 1}})
	chosen := map[string]int{}
	for range 100 {
		server, found := e.fleet.chooseServer(now, "app", nil, 0)
		assert.Assert(t, found)
		server.reserved.release()
		chosen[server.ID]++
	}
	first := e.Explain(now, explainQuery).Targets[0].Stages[0].Server
	assert.Assert(t, chosen[first] > 50, "%s is explained, %v are chosen", first, chosen)
	for _, id := range []string{"s0", "s1"} {
		e.fleet.conditions.Pause(id, now.Add(time.Minute))
	}
	target = e.Explain(now, explainQuery).Targets[0]
	assert.Equal(t, target.Decision, explain.Refuse)
	assert.DeepEqual(t, target.LeftOut, map[string][]string{string(e.fleet.conditions.Against(now, "s0", condition.Call)): {"s0", "s1"}})
}

// Guards against queries that the listener takes for something else.
func TestExplainHandlerChecksQueries(t *testing.T) {
	e := newTestEntry(t, streamRoute(true), newBackend(t, nil))
	handler := e.ExplainHandler()
	for query, want := range map[string]int{
		"": http.StatusBadRequest, "host=h&path=x": http.StatusBadRequest, "host=h&path=/x&prompt_tokens=-1": http.StatusBadRequest,
		"host=h&path=/x&answer_tokens=many": http.StatusBadRequest, "host=h&path=/x&team=team": http.StatusOK,
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, explain.Path+"?"+query, nil))
		assert.Equal(t, w.Code, want, query)
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, explain.Path+"?host=h&path=/x", nil))
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
}

// Guards against a stream that is explained as sent although others wait before it, and
// against a rate limit that is explained otherwise than it is kept.
func TestExplanationsOfWaits(t *testing.T) {
	now := time.Now()
	e := newTestEntry(t, streamRoute(true), newBackend(t, nil))
	e.waitRoom("llm").queue.Add(now, &admission.Waiting{ID: "other", Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(time.Second)})
	target := e.Explain(now, explainQuery).Targets[0]
	assert.Equal(t, target.Waiting, 1)
	assert.Equal(t, target.Decision, explain.Refuse, target.Reason)

	e = newTestEntry(t, unaryRoute(config.CallAtMostOnce), newBackend(t, nil))
	e.fleet.setLimitShare(now, ratelimit.Share{Entries: 1})
	e.observeRateLimit("s0", "in the test", "0.1", now)
	e.fleet.conditions.Limits.Charge(now, "s0")
	target = e.Explain(now, explainQuery).Targets[0]
	_, found := e.fleet.chooseServer(now, "app", nil, maxLimitWait)
	assert.Equal(t, target.Decision != explain.Refuse, found)
}
