package daemon

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func noLimits() (header, idle time.Duration) { return 0, 0 }

func pipeConn() (*idleConn, net.Conn) {
	server, client := net.Pipe()
	return &idleConn{Conn: server, limits: noLimits}, client
}

// Guards against a kept connection that is closed while the next request is
// arriving: the request would be passed on and its answer lost.
func TestRequestThatHasBegunIsNotCutOff(t *testing.T) {
	s := newIdleConns(noLimits)
	c, client := pipeConn()
	s.conns[c] = struct{}{}
	s.observe(c, http.StateIdle)
	go func() { _, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
	first := make([]byte, 1)
	_, err := c.Read(first)
	assert.NilError(t, err)
	s.leave()
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	rest := make([]byte, 100)
	n, err := c.Read(rest)
	assert.NilError(t, err)
	assert.Assert(t, n > 0)
}

// Guards against connections that stay open for later requests after the
// process was asked to stop: an idle one ends at once, a busy one with its
// request, and a new one is kept for its first request.
func TestIdleConnectionsEnd(t *testing.T) {
	s := newIdleConns(noLimits)
	idle, _ := pipeConn()
	busy, busyClient := pipeConn()
	fresh, freshClient := pipeConn()
	for _, c := range []*idleConn{idle, busy, fresh} {
		s.conns[c] = struct{}{}
	}
	s.observe(idle, http.StateIdle)
	go func() { _, _ = io.WriteString(busyClient, "x") }()
	_, err := busy.Read(make([]byte, 1))
	assert.NilError(t, err)
	s.leave()

	assert.NilError(t, idle.SetReadDeadline(time.Now().Add(time.Hour)))
	_, err = idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)

	s.observe(busy, http.StateIdle)
	assert.NilError(t, busy.SetReadDeadline(time.Now().Add(time.Hour)))
	_, err = busy.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)

	go func() { _, _ = io.WriteString(freshClient, "x") }()
	_, err = fresh.Read(make([]byte, 1))
	assert.NilError(t, err)
}

// Guards against operators' limits for headers and idle connections that are read
// and never applied.
func TestOperatorsLimitsHold(t *testing.T) {
	c, client := pipeConn()
	c.limits = func() (header, idle time.Duration) { return time.Millisecond, time.Hour }
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)

	c.setIdle()
	c.limits = func() (header, idle time.Duration) { return time.Hour, time.Millisecond }
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)

	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	go func() { _, _ = io.WriteString(client, "x") }()
	_, err = c.Read(make([]byte, 1))
	assert.NilError(t, err)
}
