package relay

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
)

// refuseFirst refuses a number of requests and answers those after them.
func refuseFirst(n int32) script {
	var refused atomic.Int32
	return func(b *backend, r *http.Request, conn net.Conn) bool {
		if refused.Add(1) <= n {
			return refuse(b, r, conn)
		}
		return respond(200, "done")(b, r, conn)
	}
}

// Guards against a call that is refused within milliseconds, although it has time left,
// because all servers were full at that moment.
func TestCallWaitsWhileServersAreFull(t *testing.T) {
	for _, call := range []config.CallKind{config.CallIdempotent, config.CallAtMostOnce} {
		route := unaryRoute(call)
		route.Timeout, route.TargetLatency = 800*time.Millisecond, 120*time.Millisecond
		e := newTestEntry(t, route, newBackend(t, refuseFirst(1)), newBackend(t, refuseFirst(1)))
		started := time.Now()
		assert.Equal(t, e.sendContent(t, "order 7", "", false), http.StatusOK)
		assert.Assert(t, time.Since(started) < route.Timeout)
	}
}

// Guards against a call that waits in vain: it is refused as not executed while its client
// still waits, and servers get few requests for it.
func TestCallIsRefusedWhenServersStayFull(t *testing.T) {
	route := unaryRoute(config.CallAtMostOnce)
	route.Timeout = 800 * time.Millisecond
	first, second := newBackend(t, refuse), newBackend(t, refuse)
	e := newTestEntry(t, route, first, second)
	response, _, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Assert(t, first.count()+second.count() <= maxCallRefusals+1)
}

// Guards against a server's own error that is replaced by one of the entry, and against an
// idempotent call that is given up after a lost answer, because no other server is left.
func TestOnlyServerLeft(t *testing.T) {
	broken := newBackend(t, respond(500, "broken"))
	e := newTestEntry(t, unaryRoute(config.CallIdempotent), broken)
	response, body, err := e.send(t, http.MethodGet)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 500)
	assert.Equal(t, body, "broken")
	assert.Equal(t, broken.count(), 1)

	for call, want := range map[config.CallKind]int{config.CallIdempotent: http.StatusOK, config.CallAtMostOnce: http.StatusBadGateway} {
		var lost atomic.Bool
		only := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
			if !lost.Swap(true) {
				return false
			}
			return respond(200, "done")(b, r, conn)
		})
		e := newTestEntry(t, unaryRoute(call), only)
		assert.Equal(t, e.sendContent(t, "order 7", "", false), want)
	}
}

// Guards against calls that go to a server whose answers say that it is full of the
// requests of other entries, of which this one has not heard yet.
func TestStatedLoadCounts(t *testing.T) {
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), newBackend(t, hang), newBackend(t, hang))
	now := time.Now()
	e.fleet.recordLoad(now, "s0", 6)
	chosen, found := e.fleet.chooseServer(now, "app", nil, 0)
	assert.Assert(t, found)
	assert.Equal(t, chosen.ID, "s1")
	e.fleet.reserve(map[string]usage{"s1": {requests: 8}})
	chosen, _ = e.fleet.chooseServer(now, "app", nil, 0)
	assert.Equal(t, chosen.ID, "s0")
	// What was stated long ago is over.
	e.fleet.recordLoad(now.Add(-2*statedLoadTTL), "s0", 30)
	chosen, _ = e.fleet.chooseServer(now, "app", nil, 0)
	assert.Equal(t, chosen.ID, "s0")
}
