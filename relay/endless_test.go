package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/eventstream"
)

// endlessServer sends start and then repeats part until the entry closes the
// connection. It is connected by synchronous pipes, so sent counts exactly the
// bytes that the entry has taken.
type endlessServer struct {
	start, part string
	sent        atomic.Int64
	closed      chan struct{}
	dialed      atomic.Int64
}

func (s *endlessServer) dial(context.Context, string) (net.Conn, error) {
	local, remote := net.Pipe()
	go func() {
		_, _ = io.Copy(io.Discard, remote)
	}()
	if s.dialed.Add(1) > 1 {
		// It carries no request and only finds out whether the server still runs.
		return local, nil
	}
	go func() {
		defer close(s.closed)
		for text := s.start; ; text = s.part {
			n, err := io.WriteString(remote, text)
			s.sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return local, nil
}

// Guards against a server that sends a header, an event or a body without end
// and so makes the entry run out of memory or hold the request until its
// deadline.
func TestEndlessResponsesAreCut(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nId: id-1\r\nSigned: 1\r\n"
	kilobyte := strings.Repeat("x", 1<<10)
	const slack = 3 * streamBufferSize
	for name, test := range map[string]struct {
		route       config.Route
		start, part string
		limit       int64
	}{
		"header line":             {unaryRoute(config.CallAtMostOnce), header + "Endless: ", kilobyte, maxHeaderBytes},
		"status line":             {unaryRoute(config.CallAtMostOnce), "HTTP/1.1 200 ", kilobyte, maxHeaderBytes},
		"header fields":           {unaryRoute(config.CallAtMostOnce), header, "A: " + kilobyte + "\r\n", maxHeaderBytes},
		"informational responses": {unaryRoute(config.CallAtMostOnce), "", "HTTP/1.1 103 Early Hints\r\n\r\n", slack},
		"responses to others": {
			unaryRoute(config.CallAtMostOnce), "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n", slack,
		},
		"body of a response to another": {
			unaryRoute(config.CallAtMostOnce), "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", kilobyte, maxStrayBytes,
		},
		"body":             {unaryRoute(config.CallAtMostOnce), header + "\r\n", strings.Repeat(kilobyte, 32), maxResponseBytes},
		"chunk extensions": {unaryRoute(config.CallAtMostOnce), header + "Transfer-Encoding: chunked\r\n\r\n1;", kilobyte, slack},
		"trailer": {
			unaryRoute(config.CallAtMostOnce), header + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + kilobyte + "\r\n", slack,
		},
		"header of a stream": {streamRoute(true), header, "A: " + kilobyte + "\r\n", 2 * maxHeaderBytes},
		"event":              {streamRoute(true), header + "\r\nid: 1\ndata: ", kilobyte, 2 * eventstream.MaxEventBytes},
		"event of many lines": {
			streamRoute(true), header + "\r\nid: 1\n", "data: " + kilobyte + "\n", 2 * eventstream.MaxEventBytes,
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, test.route, newBackend(t, reset))
			server := &endlessServer{start: test.start, part: test.part, closed: make(chan struct{})}
			e.pool.dial = server.dial
			response, _, err := e.send(t, http.MethodPost)
			if err == nil {
				assert.Equal(t, response.StatusCode, http.StatusBadGateway)
			}
			<-server.closed
			assert.Assert(t, server.sent.Load() <= test.limit+slack, "%d bytes were read", server.sent.Load())
		})
	}
}

// Guards against a request that waits for the rest of a refusal, or for a header
// that arrives byte by byte, while another server is free.
func TestDrippingServerDoesNotHoldRequest(t *testing.T) {
	for name, broken := range map[string]script{
		"refusal without its body": func(b *backend, r *http.Request, conn net.Conn) bool {
			write(conn, "HTTP/1.1 503 X\nId: %s\nNot-Run: 1\nContent-Length: 9\n\n", r.Header.Get("Id"))
			_, _ = conn.Read(make([]byte, 1))
			return false
		},
		"header byte by byte": func(b *backend, r *http.Request, conn net.Conn) bool {
			write(conn, "HTTP/1.1 200 X\nId: ")
			return dripUntilClosed(conn, "x")
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newBackend(t, broken), newBackend(t, respond(200, "second"))
			e := newTestEntry(t, unaryRoute(config.CallIdempotent), first, second)
			e.preferFirst()
			_, body, err := e.send(t, http.MethodGet)
			assert.NilError(t, err)
			assert.Equal(t, body, "second")
		})
	}
}

// dripUntilClosed sends text every few milliseconds until the connection is
// closed.
func dripUntilClosed(conn net.Conn, text string) bool {
	for {
		time.Sleep(20 * time.Millisecond)
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
	}
}

// Guards against a stalled engine that keeps a stream from being resumed
// elsewhere by sending comments, repeated events or parts of an event.
func TestDrippingStreamIsResumed(t *testing.T) {
	for name, drip := range map[string]string{
		"comments":        "4\r\n: \n\n\r\n",
		"repeated events": "10\r\nid: 2\ndata: x \n\n\r\n",
		"part of event":   "1\r\nx\r\n",
		"chunk size":      "0",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
				events(2, false)(b, r, conn)
				return dripUntilClosed(conn, drip)
			})
			second := newBackend(t, events(1, true))
			e := newTestEntry(t, streamRoute(true), first, second)
			e.preferFirst()
			_, body, err := e.send(t, http.MethodPost)
			assert.NilError(t, err)
			assert.Equal(t, strings.ReplaceAll(body, ": \n\n", ""), eventsText(3))
			assert.Equal(t, second.requests[0].Header.Get("Last"), "2")
		})
	}
}

// Guards against a stream that is held until its deadline because it cannot be
// resumed and its engine goes on sending comments.
func TestDrippingStreamThatCannotBeResumedIsBrokenOff(t *testing.T) {
	b := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
		events(1, false)(b, r, conn)
		dripUntilClosed(conn, "4\r\n: \n\n\r\n")
		b.gone <- struct{}{}
		return false
	})
	route := streamRoute(false)
	route.Timeout = time.Hour
	_, _, err := newTestEntry(t, route, b).send(t, http.MethodPost)
	assert.Assert(t, err != nil)
	<-b.gone
}

// Guards against cutting a slow but sound stream: pauses inside a chunk, inside
// its size and between events must not end a stream that cannot be resumed.
func TestSlowStreamIsNotCut(t *testing.T) {
	const pause = maxSilence + 2*maxStallCheckDelay
	b := newBackend(t, func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, streamHeader, r.Header.Get("Id"))
		writeChunk(conn, event(1))
		second, third := fmt.Sprintf("%x\r\n%s\r\n", len(event(2)), event(2)), fmt.Sprintf("%x\r\n%s\r\n", len(event(3)), event(3))
		_, _ = io.WriteString(conn, "0")
		time.Sleep(pause)
		_, _ = io.WriteString(conn, second)
		time.Sleep(suspectCheckInterval)
		_, _ = io.WriteString(conn, third[:8])
		time.Sleep(pause)
		_, _ = io.WriteString(conn, third[8:]+"0\r\n\r\n")
		return true
	})
	route := streamRoute(false)
	route.Timeout = time.Minute
	_, body, err := newTestEntry(t, route, b).send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, body, eventsText(3))
}

// Guards against a late response to an earlier request that reaches a client
// whose request carries no ID.
func TestRequestWithoutIDGetsItsOwnConnection(t *testing.T) {
	b := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
		respond(200, "mine")(b, r, conn)
		time.Sleep(50 * time.Millisecond)
		write(conn, "HTTP/1.1 200 OK\nSigned: 1\nContent-Length: 5\n\nstale")
		return true
	})
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	for range 3 {
		request := e.newRequest(t.Context(), t, http.MethodPost, nil)
		request.Header.Del("Id")
		response, err := e.server.Client().Do(request)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, string(body), "mine")
	}
	assert.Equal(t, len(e.pool.idle), 0)
}

// Guards against an event that is held back although it has arrived whole, because
// the next one has arrived in part.
func TestCompleteEventIsNotHeldBack(t *testing.T) {
	received := make(chan struct{})
	var held atomic.Bool
	b := newBackend(t, func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, streamHeader, r.Header.Get("Id"))
		second := fmt.Sprintf("%x\r\n%s\r\n", len(event(2)), event(2))
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n%s", len(event(1)), event(1), second[:8])
		select {
		case <-received:
		case <-time.After(maxSilence / 2):
			held.Store(true)
		}
		_, _ = io.WriteString(conn, second[8:]+"0\r\n\r\n")
		return true
	})
	e := newTestEntry(t, streamRoute(true), b)
	request := e.newRequest(t.Context(), t, http.MethodPost, nil)
	response, err := e.server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	first := make([]byte, len(event(1)))
	_, err = io.ReadFull(response.Body, first)
	assert.NilError(t, err)
	close(received)
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(first)+string(rest), eventsText(2))
	assert.Assert(t, !held.Load())
}
