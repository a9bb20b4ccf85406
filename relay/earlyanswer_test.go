package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
)

// earlyEnd ends the connection of a server that has answered before it has read the
// body of the request.
type earlyEnd func(conn *net.TCPConn, body io.Reader)

func resetEarly(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }

// closeEarly leaves the body unread, so that the system of the server resets the connection.
func closeEarly(*net.TCPConn, io.Reader) {}

func halfCloseEarly(conn *net.TCPConn, body io.Reader) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, body)
}

// answerEarly returns a server that answers once it has the header of a request.
func answerEarly(t *testing.T, header, body string, end earlyEnd) *backend {
	return newRawBackend(t, func(b *backend, conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return // a connection that shows whether the server works
		}
		b.record(r)
		write(conn, header, r.Header.Get("Id"))
		_, _ = io.WriteString(conn, body)
		end(conn.(*net.TCPConn), r.Body)
	})
}

// earlyAnswer returns an answer without a length to a request of a kind, and its body.
func earlyAnswer(route config.Route) (header, body string) {
	if route.CallKind == config.CallStream {
		return unframedStream, event(1) + event(2)
	}
	return unframedCall, strings.Repeat("x", 200)
}

// upload sends a request with a body of some bytes, and reports whether the client gets
// an answer with the status that looks complete.
func (e *testEntry) upload(t *testing.T, bytesSent int) (status int, body string, complete bool) {
	t.Helper()
	response, err := e.server.Client().Do(e.newRequest(t.Context(), t, http.MethodPost, bytes.NewReader(make([]byte, bytesSent))))
	if err != nil {
		return 0, "", false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err == nil
}

const (
	smallUpload = 64 << 10
	// largeUpload does not fit into the buffers of a connection.
	largeUpload = 4 << 20
	// earlyRepeats is how often a case is tried whose outcome depends on a race.
	earlyRepeats = 4
)

// Guards against a part of an answer that is passed on as a whole one: its server answers a
// long upload at once without a length and resets the connection. The system tells the
// reset once only, to the write of the upload or to the read of the answer.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	for kind, route := range requestKinds {
		for name, end := range map[string]earlyEnd{"reset": resetEarly, "closed with the upload unread": closeEarly} {
			for _, size := range []int{smallUpload, 1 << 20, largeUpload} {
				t.Run(fmt.Sprintf("%s, %s, %d KB", kind, name, size>>10), func(t *testing.T) {
					t.Parallel()
					header, part := earlyAnswer(route)
					b := answerEarly(t, header, part, end)
					for range earlyRepeats {
						status, _, complete := newTestEntry(t, route, b).upload(t, size)
						assert.Check(t, !complete || status >= http.StatusInternalServerError, "complete with status %d", status)
					}
				})
			}
		}
	}
}

// Guards against early answers of sound servers that are taken for broken ones.
func TestEarlyAnswerOfSoundServerIsWhole(t *testing.T) {
	const refusal = "not allowed"
	for kind, route := range requestKinds {
		header, body := earlyAnswer(route)
		framed, chunked := withField(header, fmt.Sprintf("Content-Length: %d", len(body))), withField(header, "Transfer-Encoding: chunked")
		for name, c := range map[string]struct {
			header, body string
			end          earlyEnd
			status       int
			want         string
		}{
			"no length, then a half-close": {header, body, halfCloseEarly, http.StatusOK, body},
			"a length, then a close":       {framed, body, closeEarly, http.StatusOK, body},
			"a length, then a reset":       {framed, body, resetEarly, http.StatusOK, body},
			"chunks, then a close":         {chunked, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), closeEarly, http.StatusOK, body},
			"after 100 and 103":            {"HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early Hints\nLink: <a>\n\n" + framed, body, closeEarly, http.StatusOK, body},
			"413, then a close":            {refusalHeader(http.StatusRequestEntityTooLarge, refusal), refusal, closeEarly, http.StatusRequestEntityTooLarge, refusal},
			"401, then a close":            {refusalHeader(http.StatusUnauthorized, refusal), refusal, closeEarly, http.StatusUnauthorized, refusal},
		} {
			for _, size := range []int{smallUpload, largeUpload} {
				t.Run(fmt.Sprintf("%s, %s, %d KB", kind, name, size>>10), func(t *testing.T) {
					t.Parallel()
					b := answerEarly(t, c.header, c.body, c.end)
					for range earlyRepeats {
						status, got, complete := newTestEntry(t, route, b).upload(t, size)
						assert.Assert(t, complete)
						assert.Equal(t, status, c.status)
						assert.Equal(t, got, c.want)
					}
				})
			}
		}
	}
}

// withField returns the header of an answer with another field.
func withField(header, field string) string {
	return strings.TrimSuffix(header, "\n") + field + "\n\n"
}

func refusalHeader(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\nId: %%s\nSigned: 1\nContent-Length: %d\n\n", status, len(body))
}

// orderedConn is a connection to a server that answers a long upload at once and ends the
// connection. The write of the body and the read of the end happen in a fixed order.
type orderedConn struct {
	net.Conn
	answer io.Reader
	// writeBody is called for the second write, and beforeEnd before the end is read.
	writeBody func() error
	beforeEnd func()
	writes    atomic.Int32
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *orderedConn) Read(p []byte) (int, error) {
	n, err := c.answer.Read(p)
	if n == 0 && err != nil {
		c.beforeEnd()
	}
	return n, err
}

func (c *orderedConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) == 1 {
		return len(p), nil // the header
	}
	if err := c.writeBody(); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *orderedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

func (c *orderedConn) SetDeadline(time.Time) error     { return nil }
func (c *orderedConn) SetReadDeadline(time.Time) error { return nil }

// Guards against an answer without a length that counts as whole before it is known how the
// write of its request has ended, in each order of the two.
func TestAnswerWithoutLengthSaysNothingUntilRequestIsWritten(t *testing.T) {
	for kind, route := range requestKinds {
		for name, c := range map[string]struct {
			// endFirst is set if the end is read before the write ends.
			endFirst bool
			writeErr error
			// hangs is set if the write does not end before the connection is closed.
			hangs bool
			whole bool
		}{
			"the write fails, then the answer ends":    {writeErr: syscall.ECONNRESET},
			"the answer ends, then the write fails":    {endFirst: true, writeErr: syscall.ECONNRESET},
			"the answer ends, and the write goes on":   {endFirst: true, hangs: true},
			"the write succeeds, then the answer ends": {whole: true},
			"the answer ends, then the write succeeds": {endFirst: true, whole: true},
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				e := newTestEntry(t, route, newBackend(t, respond(http.StatusServiceUnavailable, "")))
				e.dialOnce(func() net.Conn {
					header, body := earlyAnswer(route)
					ended, written := make(chan struct{}), make(chan struct{})
					conn := &orderedConn{closed: make(chan struct{})}
					conn.answer = strings.NewReader(strings.ReplaceAll(fmt.Sprintf(header, "id-1"), "\n", "\r\n") + body)
					conn.writeBody = func() error {
						defer close(written)
						if c.endFirst {
							<-ended
							time.Sleep(writeDelay)
						}
						if c.hangs {
							<-conn.closed
							return net.ErrClosed
						}
						return c.writeErr
					}
					conn.beforeEnd = func() {
						if !c.endFirst {
							<-written
						}
						close(ended)
					}
					return conn
				})
				status, _, complete := e.upload(t, smallUpload)
				assert.Equal(t, complete && status == http.StatusOK, c.whole, "status %d", status)
			})
		}
	}
}

// writeDelay is how long the end of a write comes after that of the answer.
const writeDelay = 20 * time.Millisecond

// dialOnce makes the first connection to a server a given one. Others are real.
func (e *testEntry) dialOnce(first func() net.Conn) {
	dial, taken := e.pool.dial, atomic.Bool{}
	e.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		if taken.CompareAndSwap(false, true) {
			return first(), nil
		}
		return dial(ctx, address)
	}
}

// Guards against a stream that looks complete although its engine has reset it: while the
// engine was silent, the entry had looked for bytes of it without reading them, and the
// system told the reset to that look only.
func TestStreamResetWhileItIsLookedAtIsNotWhole(t *testing.T) {
	t.Parallel()
	resets, isReset, refused := make(chan struct{}), make(chan struct{}), atomic.Bool{}
	silent := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
		unframed(unframedStream, event(1), false)(b, r, conn)
		<-resets
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		close(isReset)
		return false
	})
	other := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
		if refused.Swap(true) {
			return eventsUpTo(3)(b, r, conn)
		}
		close(resets)
		<-isReset
		time.Sleep(4 * pauseCheckInterval)
		return refuse(b, r, conn)
	})
	_, body, err := newPausingEntry(t, true, silent, other).send(t, http.MethodPost)
	assert.Assert(t, err != nil || body == eventsText(3), "complete with %q", body)
}
