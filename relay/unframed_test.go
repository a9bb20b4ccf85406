package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
)

const unframedStream = "HTTP/1.1 200 OK\nId: %s\nSigned: 1\nContent-Type: text/event-stream\n\n"

// unframed sends an answer with neither a length nor chunks, which ends with its
// connection.
func unframed(header, body string, abort bool) script {
	return func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, header, r.Header.Get("Id"))
		_, _ = io.WriteString(conn, body)
		if abort {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// Guards against an answer without a length that is cut off or looks complete though
// it is not, and against using its connection again.
func TestUnframedAnswers(t *testing.T) {
	b := newBackend(t, unframed("HTTP/1.1 200 OK\nId: %s\nSigned: 1\n\n", "the whole body", false))
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	for range 2 {
		response, body, err := e.send(t, http.MethodPost)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, "the whole body")
	}
	assert.Equal(t, len(e.pool.idle), 0)

	b = newBackend(t, unframed("HTTP/1.1 200 OK\nId: %s\nSigned: 1\n\n", "half", true))
	e = newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	response, _, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
}

func TestUnframedStreams(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		complete bool
	}{
		"ends at an event":       {event(1) + event(2), true},
		"ends inside an event":   {event(1) + "id: 2\ndata", false},
		"ends before any event":  {"", false},
		"ends after a comment":   {event(1) + ": end\n\n", true},
		"nothing but a comment":  {": begin\n\n", false},
		"inside the first event": {"id: 1\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, unframed(unframedStream, c.body, false))
			e := newTestEntry(t, streamRoute(false), b)
			response, _, err := e.send(t, http.MethodGet)
			whole := err == nil && response.StatusCode == http.StatusOK
			assert.Equal(t, whole, c.complete)
			assert.Equal(t, len(e.pool.idle), 0)
		})
	}
}

// Guards against a stream that looks complete although its engine has crashed between
// two events.
func TestUnframedStreamOfCrashedEngineGoesOn(t *testing.T) {
	first := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
		b.listener.Close()
		return unframed(unframedStream, event(1)+event(2), false)(b, r, conn)
	})
	second := newBackend(t, events(2, true))
	e := newTestEntry(t, streamRoute(true), first, second)
	engines := &crashedEngines{backends: &crashingBackends{crashed: map[string]bool{first.address(): true}}}
	e.Entry.engines = engines
	e.preferFirst()
	_, body, err := e.send(t, http.MethodGet)
	assert.NilError(t, err)
	assert.Equal(t, body, event(1)+event(2)+event(3)+event(4))
	// Without another attempt, the client must see that the stream broke off.
	last := newBackend(t, unframed(unframedStream, event(1), false))
	e = newTestEntry(t, streamRoute(false), last)
	e.Entry.engines = &crashedEngines{backends: &crashingBackends{crashed: map[string]bool{last.address(): true}}}
	_, _, err = e.send(t, http.MethodGet)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a stream that looks complete although nobody has asked whether its
// engine still works: it wants no status queries now.
func TestUnframedStreamOfEngineThatIsNotAskedGoesOn(t *testing.T) {
	for _, cause := range []error{errServerPaused, errServerLimited} {
		first, second := newBackend(t, unframed(unframedStream, event(1), false)), newBackend(t, events(1, true))
		e := newTestEntry(t, streamRoute(true), first, second)
		e.Entry.engines = &silentEngines{cause: cause}
		e.preferFirst()
		_, body, err := e.send(t, http.MethodGet)
		assert.NilError(t, err)
		assert.Equal(t, body, event(1)+event(2))
		e = newTestEntry(t, streamRoute(false), first)
		e.Entry.engines = &silentEngines{cause: cause}
		_, _, err = e.send(t, http.MethodGet)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// silentEngines get no status queries, for a reason.
type silentEngines struct {
	testEngines
	cause error
}

func (e *silentEngines) Status(context.Context, string) (EngineStatus, error) {
	return EngineStatus{}, e.cause
}

// Guards against a server that counts as busier for good because a long answer broke off.
func TestBrokenLongAnswerGivesCapacityBack(t *testing.T) {
	const header = "HTTP/1.1 200 OK\nId: %s\nSigned: 1\n\n"
	b := newBackend(t, unframed(header, strings.Repeat("x", 2*maxBufferedResponse), true))
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	_, _, err := e.send(t, http.MethodPost)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	for e.InProgress() > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, len(e.fleet.localUsage(time.Now())), 0)
}
