package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
)

// respondWith sends a signed response with more header lines.
func respondWith(status int, header, body string) script {
	return func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, "HTTP/1.1 %d X\nId: %s\nSigned: 1\n%sContent-Length: %d\n\n%s", status, r.Header.Get("Id"), header, len(body), body)
		return true
	}
}

// Guards against requests that go to a server on and on although it has asked for a
// pause, while another one is free.
func TestPausedServerGetsNothing(t *testing.T) {
	first := newBackend(t, respondWith(503, "Not-Run: 1\nRetry-After: 60\n", ""))
	second := newBackend(t, respond(200, "second"))
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), first, second)
	e.preferFirst()
	for range 5 {
		_, body, err := e.send(t, http.MethodPost)
		assert.NilError(t, err)
		assert.Equal(t, body, "second")
	}
	assert.Equal(t, first.count(), 1)
}

// Guards against status checks and orders to an engine that has asked for a pause,
// and against taking it for lost because it was not asked.
func TestPausedEngineGetsNoControlRequests(t *testing.T) {
	first := newBackend(t, respondWith(503, "Not-Run: 1\nRetry-After: 60\n", ""))
	second := newBackend(t, events(3, true))
	e := newTestEntry(t, streamRoute(true), first, second)
	e.preferFirst()
	for range 3 {
		_, body, err := e.send(t, http.MethodGet)
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(body, "id:"), 3)
	}
	assert.Equal(t, first.count(), 1)
	_, err := e.Entry.engines.Status(t.Context(), first.address())
	assert.ErrorIs(t, err, errServerPaused)
	outcome, err := e.Entry.engines.Reroute(t.Context(), Server{Instance: membership.Instance{Address: first.address()}}, "r", nil)
	assert.ErrorIs(t, err, errServerPaused)
	assert.Equal(t, outcome, OrderPaused)
	assert.Assert(t, !e.verifySuspect("s0", first.address()))
	assert.Equal(t, e.fleet.lostFor(time.Now(), "s0"), time.Duration(0))
	_, err = e.Entry.engines.Status(t.Context(), second.address())
	assert.NilError(t, err)
}

// Guards against entries that all return to a server at the moment its pause ends, and
// against one that never returns.
func TestPausesEndSpread(t *testing.T) {
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), newBackend(t, respond(200, "a")))
	now := time.Now()
	ends := map[time.Time]bool{}
	for i := range 20 {
		id := fmt.Sprint("x", i)
		e.fleet.pauseServer(now, id, 4*time.Second)
		assert.Assert(t, e.fleet.isPaused(now.Add(4*time.Second-1), id))
		assert.Assert(t, !e.fleet.isPaused(now.Add(5*time.Second), id))
		ends[e.fleet.conditions.PausedUntil(id)] = true
	}
	assert.Assert(t, len(ends) > 15)
	// A later, shorter pause does not shorten the first one.
	e.fleet.pauseServer(now, "x0", time.Second)
	assert.Assert(t, e.fleet.isPaused(now.Add(4*time.Second-1), "x0"))
	e.fleet.pauseServer(now, "s0", 3*time.Second)
	left := e.fleet.pauseLeft(now, "app")
	assert.Assert(t, left >= 3*time.Second && left <= 4*time.Second)
	response, _, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

// Guards against requests to a server that has said in an answer that it is leaving,
// whatever its record says.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	platformCodec := leavingCodec{}
	first, second := newBackend(t, respondWith(200, "Leaving: 1\n", "first")), newBackend(t, respond(200, "second"))
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), first, second)
	e.Entry.headerCodec = platformCodec
	e.preferFirst()
	_, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, body, "first")
	for range 5 {
		_, body, err := e.send(t, http.MethodPost)
		assert.NilError(t, err)
		assert.Equal(t, body, "second")
	}
	// A record with a newer heartbeat changes nothing, a restart does.
	servers := map[string]Server{}
	for id, s := range e.fleet.snapshot() {
		s.HeartbeatCount++
		servers[id] = s
	}
	e.fleet.setServers(time.Now(), servers)
	assert.Assert(t, e.fleet.isLeaving("s0"))
	restarted := map[string]Server{"s1": servers["s1"]}
	s := servers["s0"]
	s.StartTimeMillis++
	restarted["s0"] = s
	e.fleet.setServers(time.Now(), restarted)
	assert.Assert(t, !e.fleet.isLeaving("s0"))
}

type leavingCodec struct{ testCodec }

func (c leavingCodec) ParseResponse(h http.Header) ResponseInfo {
	info := c.testCodec.ParseResponse(h)
	info.Leaving = h.Get("Leaving") == "1"
	return info
}
