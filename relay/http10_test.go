package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
)

// sendHTTP10 sends a request of HTTP/1.0, to which an answer of unknown length ends with its
// connection, and returns the body and whether the answer looks complete.
func (e *testEntry) sendHTTP10(t *testing.T) (body string, complete bool) {
	t.Helper()
	e.sent++
	conn := e.dialClient(t)
	defer conn.Close()
	_, err := fmt.Fprintf(conn, "POST /x HTTP/1.0\r\nHost: h\r\nId: id-%d\r\nKey: %s\r\nContent-Length: 4\r\n\r\nbody", e.sent, testKey)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err == nil && response.StatusCode == http.StatusOK
}

// Guards against a broken answer that looks complete to a client of HTTP/1.0, for which only
// the end of its connection ends an answer of unknown length.
func TestBrokenAnswerIsNotWholeForClientOfHTTP10(t *testing.T) {
	long := strings.Repeat("x", maxBufferedResponse+1)
	chunked := func(body, end string) script {
		return func(_ *backend, r *http.Request, conn net.Conn) bool {
			write(conn, streamHeader, r.Header.Get("Id"))
			writeChunk(conn, body)
			_, _ = io.WriteString(conn, end)
			return false
		}
	}
	const lastChunk = "0\r\n\r\n"
	call, stream := unaryRoute(config.CallAtMostOnce), streamRoute(false)
	for name, c := range map[string]struct {
		route  config.Route
		handle script
		want   string // empty if the answer breaks off
	}{
		"long call, in chunks, cut":              {call, chunked(long, ""), ""},
		"long call, in chunks, whole":            {call, chunked(long, lastChunk), long},
		"long call without a length, reset":      {call, unframed(unframedCall, long, true), ""},
		"long call without a length, whole":      {call, unframed(unframedCall, long, false), long},
		"stream in chunks, cut":                  {stream, chunked(event(1), ""), ""},
		"stream in chunks, whole":                {stream, chunked(event(1), lastChunk), event(1)},
		"stream without a length, reset":         {stream, unframed(unframedStream, event(1), true), ""},
		"stream without a length, in an event":   {stream, unframed(unframedStream, event(1)+"id: 2", false), ""},
		"stream without a length, whole":         {stream, unframed(unframedStream, event(1), false), event(1)},
		"stream in chunks, malformed after that": {stream, chunked(event(1), "no chunk\r\n"), ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range earlyRepeats {
				body, complete := newTestEntry(t, c.route, newBackend(t, c.handle)).sendHTTP10(t)
				assert.Equal(t, complete, c.want != "", "%d bytes", len(body))
				assert.Assert(t, !complete || body == c.want)
			}
		})
	}
}
