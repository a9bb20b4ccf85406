package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// answerWith writes a response with some header lines and a body.
func answerWith(head, body string) script {
	return func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, "HTTP/1.1 "+head+"\nId: %s\n\n", r.Header.Get("Id"))
		_, _ = io.WriteString(conn, body)
		return false
	}
}

// Guards against a stream that has begun and broken off, and in which the client finds the
// error that the next engine has answered, or that ends as if it were complete.
func TestErrorOfNextEngineStaysOutOfStream(t *testing.T) {
	const text = "{\"error\":\"engine failed\"}\n\n"
	for name, next := range map[string]script{
		"error":                 respond(http.StatusInternalServerError, text),
		"refusal":               refuse,
		"error without length":  answerWith("500 X\nSigned: 1", text),
		"unsigned success":      answerWith("200 OK\nContent-Type: text/event-stream", event(4)+event(5)),
		"success of other type": answerWith("200 OK\nSigned: 1\nContent-Type: application/json\nContent-Length: 27", text),
		"empty other type":      answerWith("200 OK\nSigned: 1\nContent-Type: text/plain\nContent-Length: 0", ""),
		"error as events":       answerWith("200 OK\nSigned: 1\nContent-Type: text/event-stream\nContent-Length: 27", text),
		"head within events": answerWith("200 OK\nSigned: 1\nContent-Type: text/event-stream",
			"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 27\r\n\r\n"+text),
		"head within later events": answerWith("200 OK\nSigned: 1\nContent-Type: text/event-stream",
			event(4)+"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 27\r\n\r\n"+text),
	} {
		t.Run(name, func(t *testing.T) {
			first := newBackend(t, func(_ *backend, r *http.Request, conn net.Conn) bool {
				write(conn, "HTTP/1.1 200 OK\nId: %s\nSigned: 1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n", r.Header.Get("Id"))
				for i := range 3 {
					writeChunk(conn, event(i+1))
				}
				writeChunk(conn, "id: 4\ndata: hal")
				return false
			})
			e := newTestEntry(t, streamRoute(true), first, newBackend(t, next))
			e.preferFirst()
			_, body, err := e.send(t, http.MethodPost)
			assert.Assert(t, err != nil, "the stream looks complete: %q", body)
			assert.Assert(t, strings.HasPrefix(eventsText(4), body), "%q", body)
		})
	}
}

// Guards against a success without a signature that is passed on when a stream begins.
func TestUnsignedStreamIsNotForwarded(t *testing.T) {
	e := newTestEntry(t, streamRoute(false), newBackend(t, answerWith("200 OK\nContent-Type: text/event-stream", event(1)+event(2))))
	response, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway, body)
}
