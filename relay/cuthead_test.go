package relay

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
)

// cutAnswer is an answer that its server breaks off.
type cutAnswer struct {
	head, body string
	// framed is set unless the answer ends with its connection.
	framed bool
	whole  string
}

func cutAnswers(route config.Route) map[string]cutAnswer {
	if route.CallKind == config.CallStream {
		first := event(1)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(first), first)
		head := "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n"
		return map[string]cutAnswer{
			"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n", chunk + "0\r\n\r\n", true, first},
			"end of connection": {head + "\r\n", first, false, first},
		}
	}
	const body = "the whole body"
	head := "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/plain\r\n"
	return map[string]cutAnswer{
		"length":            {head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body, true, body},
		"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), true, body},
		"end of connection": {head + "\r\n", body, false, body},
	}
}

// cutAt returns a script that sends a part of an answer and then closes or resets.
func (a cutAnswer) cutAt(before string, n *atomic.Int32, reset bool) script {
	return func(_ *backend, r *http.Request, conn net.Conn) bool {
		text := before + fmt.Sprintf(a.head, r.Header.Get("Id")) + a.body
		_, _ = io.WriteString(conn, text[:min(int(n.Load()), len(text))])
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// Guards against an answer that looks complete although its server stopped in the middle
// of its head or body, whatever comes before the head, however the body is framed and the
// connection ends, and whether another server is asked.
func TestAnswerCutInItsHeadIsNotComplete(t *testing.T) {
	for kind, route := range requestKinds {
		for framing, answer := range cutAnswers(route) {
			for beforeName, before := range map[string]string{
				"nothing": "", "103": "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n", "100": "HTTP/1.1 100 Continue\r\n\r\n",
			} {
				for _, reset := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/%s before/reset %v", kind, framing, beforeName, reset), func(t *testing.T) {
						t.Parallel()
						testCutAnswer(t, route, answer, before, reset)
					})
				}
			}
		}
	}
}

func testCutAnswer(t *testing.T, route config.Route, answer cutAnswer, before string, reset bool) {
	var cut, never atomic.Int32
	never.Store(math.MaxInt32)
	first := newBackend(t, answer.cutAt(before, &cut, reset))
	second := newBackend(t, answer.cutAt("", &never, false))
	end := len(before) + len(fmt.Sprintf(answer.head, "id-1"))
	if answer.framed {
		end += len(answer.body)
	}
	step := 1
	if before != "" {
		step = 4 // cases without it try each byte
	}
	for n := 0; n < end; n += step {
		cut.Store(int32(n))
		if !route.Resumable {
			// A resumable stream waits for another engine first, and the others show what it
			// would get then.
			checkCutAlone(t, newTestEntry(t, route, first), answer, reset, n)
		}
		if route.CallKind != config.CallIdempotent && !route.Resumable {
			continue
		}
		repeated := newTestEntry(t, route, first, second)
		repeated.preferFirst()
		response, body, err := repeated.send(t, http.MethodPost)
		repeated.server.Close()
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, answer.whole)
	}
	assert.Assert(t, first.count() >= end/step)
}

// checkCutAlone checks what a client gets if there is no other server.
func checkCutAlone(t *testing.T, alone *testEntry, answer cutAnswer, reset bool, n int) {
	t.Helper()
	response, body, err := alone.send(t, http.MethodPost)
	alone.server.Close()
	complete := err == nil && response.StatusCode == http.StatusOK
	// A stream whose last event has arrived may be taken for complete.
	whole := !reset && body == answer.whole
	assert.Assert(t, !complete || whole, "cut at %d: %q", n, body)
	assert.Assert(t, complete || err != nil || response.Header.Get("Signed") == "", "cut at %d: a failure is signed", n)
}
