package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/config"
)

// hang accepts a request and never answers it.
func hang(_ *backend, _ *http.Request, conn net.Conn) bool {
	_, _ = conn.Read(make([]byte, 1)) // returns when the entry closes the connection
	return false
}

// awaitUnanswered waits until an entry knows that a server leaves requests unanswered.
func (e *testEntry) awaitUnanswered(id string) {
	for known := false; !known; time.Sleep(time.Millisecond) {
		e.fleet.mu.Lock()
		known = e.fleet.conditions.Slowdown(time.Now(), id) > 0
		e.fleet.mu.Unlock()
	}
}

// Guards against streams of all entries that wait one after another for an engine that
// accepts requests and answers none, although its status is good.
func TestNewStreamsAvoidEngineThatAnswersNothing(t *testing.T) {
	hung, sound := newBackend(t, hang), newBackend(t, events(2, true))
	route := streamRoute(true)
	route.TargetLatency = 100 * time.Millisecond
	e := newTestEntry(t, route, hung, sound)
	first := make(chan string)
	e.fleet.reserve(map[string]usage{"s1": {requests: 3}})
	go func() {
		_, body, _ := e.send(t, http.MethodPost) // its answer is checked below
		first <- body
	}()
	e.awaitUnanswered("s0")
	for range 5 {
		_, body, err := e.send(t, http.MethodPost)
		assert.NilError(t, err)
		assert.Equal(t, body, eventsText(2))
	}
	assert.Equal(t, hung.count(), 1)
	// The others are told, and the stream that waited goes on elsewhere.
	assert.Equal(t, e.fleet.localUsage(time.Now())[serverHash("s0")].slowdown, condition.SilentSlowdown)
	assert.Equal(t, <-first, eventsText(2))
}

// Guards against calls that wait one after another for a server that accepts connections
// and answers nothing. An idempotent call goes to another server while its time allows.
func TestCallsLeaveServerThatAnswersNothing(t *testing.T) {
	for call, wantStatus := range map[config.CallKind]int{config.CallIdempotent: http.StatusOK, config.CallAtMostOnce: http.StatusGatewayTimeout} {
		hung, sound := newBackend(t, hang), newBackend(t, respond(200, "sound"))
		route := unaryRoute(call)
		route.Timeout, route.TargetLatency = 600*time.Millisecond, 120*time.Millisecond
		e := newTestEntry(t, route, hung, sound)
		e.preferFirst()
		assert.Equal(t, e.sendContent(t, "first", "", false), wantStatus)
		for range 5 {
			assert.Equal(t, e.sendContent(t, "later", "", false), http.StatusOK)
		}
		assert.Equal(t, hung.count(), 1)
	}
}
