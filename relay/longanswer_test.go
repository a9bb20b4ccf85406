package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
)

// longBody is longer than what is read before any of an answer is forwarded.
var longBody = strings.Repeat("0123456789abcdef", 3*maxBufferedResponse/16)

const endOfConnection = "end of connection"

// frameBody returns the head of an answer and its body, as bytes of the connection.
func frameBody(status int, framing, body string) (head, framed string) {
	head = fmt.Sprintf("HTTP/1.1 %d X\r\n", status) + "Id: %s\r\nSigned: 1\r\nContent-Type: text/plain\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body
	case "chunks":
		var chunks strings.Builder
		for rest := body; rest != ""; {
			n := min(len(rest), 10_000)
			fmt.Fprintf(&chunks, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n", chunks.String() + "0\r\n\r\n"
	}
	return head + "Connection: close\r\n\r\n", body
}

// pauseInBody answers with the long body and falls silent before a part of it. A deaf server
// accepts no connection from then on, or until it goes on if the answer ends with its
// connection: it could not be told from one that has crashed in the middle.
func pauseInBody(status int, framing string, at float64, pause time.Duration, deaf bool) script {
	return func(b *backend, r *http.Request, conn net.Conn) bool {
		head, body := frameBody(status, framing, longBody)
		write(conn, strings.ReplaceAll(head, "\r\n", "\n"), r.Header.Get("Id"))
		n := int(at * float64(len(body)))
		// A failed write shows in the client's answer.
		_, _ = io.WriteString(conn, body[:n])
		if deaf {
			b.listener.Close()
		}
		time.Sleep(pause)
		if deaf && framing == endOfConnection {
			b.listenAgain()
		}
		_, _ = io.WriteString(conn, body[n:])
		return framing != endOfConnection
	}
}

// answerCounter counts the requests of clients by what their clients got.
type answerCounter struct {
	mu                  sync.Mutex
	whole               int
	lost, failed, wrong []string
}

// count sends a request. One without a whole answer or a refusal is lost.
func (c *answerCounter) count(name string, status int, want string, client *http.Client, r *http.Request) {
	response, err := client.Do(r)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.lost = append(c.lost, fmt.Sprintf("%s: %v", name, err))
	case response.StatusCode != status:
		c.failed = append(c.failed, fmt.Sprintf("%s: %d", name, response.StatusCode))
	case string(body) != want:
		c.wrong = append(c.wrong, name)
	default:
		c.whole++
	}
}

// check fails the test unless all requests have been answered whole.
func (c *answerCounter) check(t *testing.T) {
	t.Helper()
	for kind, names := range map[string][]string{"lost": c.lost, "failed": c.failed, "wrong": c.wrong} {
		assert.Check(t, len(names) == 0, "%d whole, %d %s:\n%s", c.whole, len(names), kind, strings.Join(names, "\n"))
	}
}

// Guards against a long answer that is cut in its middle because its server, which is
// sound, falls silent: what the client has of it no other server can complete.
func TestLongAnswerOutlastsPauseOfItsServer(t *testing.T) {
	var answers answerCounter
	var clients sync.WaitGroup
	play := func(route config.Route, status int, framing string, at float64, pause time.Duration, alone, deaf bool) {
		backends := []*backend{newBackend(t, pauseInBody(status, framing, at, pause, deaf))}
		if !alone {
			backends = append(backends, newBackend(t, pauseInBody(status, framing, 0, 0, false)))
		}
		route.Timeout = 4 * time.Second // a pause may take more than half of it
		e := newTestEntry(t, route, backends...)
		e.preferFirst()
		r := e.newRequest(t.Context(), t, http.MethodPost, strings.NewReader("body"))
		name := fmt.Sprintf("%s, %s, %v at %v, alone %t, deaf %t", route.CallKind, framing, pause, at, alone, deaf)
		clients.Go(func() { answers.count(name, status, longBody, e.server.Client(), r) })
	}
	for _, framing := range []string{"length", "chunks", endOfConnection} {
		for _, at := range []float64{0.1, 0.6, 0.95} {
			for _, pause := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
				for _, alone := range []bool{true, false} {
					for _, deaf := range []bool{true, false} {
						play(unaryRoute(config.CallIdempotent), http.StatusOK, framing, at, pause, alone, deaf)
						play(unaryRoute(config.CallAtMostOnce), http.StatusOK, framing, at, pause, alone, deaf)
						// The engine of a stream may fail it with an answer that is no stream.
						play(streamRoute(true), http.StatusInternalServerError, framing, at, pause, alone, deaf)
						play(streamRoute(false), http.StatusInternalServerError, framing, at, pause, alone, deaf)
					}
				}
			}
		}
	}
	clients.Wait()
	answers.check(t)
}

// Guards against a long answer that is cut because it takes over half of its call's time,
// although its server never falls silent.
func TestLongAnswerMayTakeItsTime(t *testing.T) {
	steady := newBackend(t, func(_ *backend, r *http.Request, conn net.Conn) bool {
		head, body := frameBody(http.StatusOK, "length", longBody)
		write(conn, strings.ReplaceAll(head, "\r\n", "\n"), r.Header.Get("Id"))
		for part := len(body) / 30; body != ""; body = body[min(part, len(body)):] {
			_, _ = io.WriteString(conn, body[:min(part, len(body))])
			time.Sleep(100 * time.Millisecond)
		}
		return true
	})
	route := unaryRoute(config.CallIdempotent)
	e := newTestEntry(t, route, steady, newBackend(t, respond(http.StatusOK, "another answer")))
	e.preferFirst()
	_, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Assert(t, body == longBody, "%d of %d bytes", len(body), len(longBody))
}

// pauseInHead sends an answer and falls silent before a part of it, which is in its head or
// in what comes before that.
func (a cutAnswer) pauseInHead(before, at string, pause time.Duration) script {
	return func(_ *backend, r *http.Request, conn net.Conn) bool {
		text := before + fmt.Sprintf(a.head, r.Header.Get("Id")) + a.body
		n := strings.Index(text, at)
		_, _ = io.WriteString(conn, text[:n]) // a failed write shows in the client's answer
		time.Sleep(pause)
		_, _ = io.WriteString(conn, text[n:])
		return a.framed
	}
}

// Guards against a call or stream that is failed because its server, which is sound, falls
// silent inside the head of its answer: the limit is for heads that come without end.
func TestRequestOutlastsPauseInHeadOfAnswer(t *testing.T) {
	const earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
	var answers answerCounter
	var clients sync.WaitGroup
	for kind, route := range requestKinds {
		for framing, answer := range cutAnswers(route) {
			for _, before := range []string{"", earlyHints} {
				// After the first byte, in the status, in a field, before the body, and between heads.
				for _, at := range []string{"TTP/1.1 200", "200 OK", "igned", "\r\n\r\n", "HTTP/1.1 200"} {
					for _, pause := range []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond} {
						for _, alone := range []bool{true, false} {
							backends := []*backend{newBackend(t, answer.pauseInHead(before, at, pause))}
							if !alone {
								backends = append(backends, newBackend(t, answer.pauseInHead("", "HTTP", 0)))
							}
							e := newTestEntry(t, route, backends...)
							e.preferFirst()
							r := e.newRequest(t.Context(), t, http.MethodPost, strings.NewReader("body"))
							name := fmt.Sprintf("%s, %s, %v before %q, after %q, alone %t", kind, framing, pause, at, before, alone)
							clients.Go(func() { answers.count(name, http.StatusOK, answer.whole, e.server.Client(), r) })
						}
					}
				}
			}
		}
	}
	clients.Wait()
	answers.check(t)
}

// Guards against a head that comes byte by byte and holds a call that may run once until
// its time is over.
func TestDrippingHeadEndsCall(t *testing.T) {
	for _, gap := range []time.Duration{20 * time.Millisecond, 120 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(_ *backend, r *http.Request, conn net.Conn) bool {
				write(conn, "HTTP/1.1 200 OK\nId: %s\nDrip: ", r.Header.Get("Id"))
				for err := error(nil); err == nil; time.Sleep(gap) {
					_, err = io.WriteString(conn, "x")
				}
				return false
			})
			response, _, err := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b).send(t, http.MethodPost)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusBadGateway)
		})
	}
}
