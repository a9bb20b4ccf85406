package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/sapphirefield/sapphirefield/config"
)

// departures are the ways in which a client leaves while its request is in progress.
var departures = map[string]func(t *testing.T, conn *net.TCPConn){
	"close":      func(t *testing.T, conn *net.TCPConn) { assert.NilError(t, conn.Close()) },
	"half-close": func(t *testing.T, conn *net.TCPConn) { assert.NilError(t, conn.CloseWrite()) },
	"reset":      resetConn,
	"close behind a part of the next head": func(t *testing.T, conn *net.TCPConn) {
		sendText(t, conn, "POST /x HTTP/1.1\r\nHo")
		assert.NilError(t, conn.Close())
	},
	"reset behind a part of the next head": func(t *testing.T, conn *net.TCPConn) {
		sendText(t, conn, "POST /x HTTP/1.1\r\nHo")
		resetConn(t, conn)
	},
	"close behind the next request": func(t *testing.T, conn *net.TCPConn) {
		sendText(t, conn, clientRequest("next", ""))
		assert.NilError(t, conn.Close())
	},
	"half-close behind the next request": func(t *testing.T, conn *net.TCPConn) {
		sendText(t, conn, clientRequest("next", ""))
		assert.NilError(t, conn.CloseWrite())
	},
	"close behind half of the next body": func(t *testing.T, conn *net.TCPConn) {
		sendText(t, conn, clientRequest("next", "Content-Length: 100\r\n")+"half")
		assert.NilError(t, conn.Close())
	},
	"close behind more than is buffered": func(t *testing.T, conn *net.TCPConn) {
		sendText(t, conn, clientRequest("next", "Content-Length: 100000\r\n")+string(make([]byte, 50000)))
		assert.NilError(t, conn.Close())
	},
}

func resetConn(t *testing.T, conn *net.TCPConn) {
	assert.NilError(t, conn.SetLinger(0))
	assert.NilError(t, conn.Close())
}

func sendText(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

// clientRequest returns the head of a request with further header lines.
func clientRequest(id, lines string) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: %s\r\n%s\r\n", id, testKey, lines)
}

func (e *testEntry) dialClient(t *testing.T) *net.TCPConn {
	conn, err := net.Dial("tcp4", e.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// leaveScene is a place where a request can be when its client leaves. The scene's
// servers work until their connection ends.
type leaveScene struct {
	route    config.Route
	backends []*backend
	prepare  func(e *testEntry)
	// reached receives a value when the request is at its place.
	reached chan struct{}
	// afterwards lets a request go on that has not been sent, if its client had not left.
	afterwards func(e *testEntry)
}

func newLeaveScene() *leaveScene { return &leaveScene{reached: make(chan struct{}, 10)} }

// works is the script of a server that works on a request, after some events of a
// stream, until its connection ends.
func (s *leaveScene) works(events ...int) script {
	return func(b *backend, r *http.Request, conn net.Conn) bool {
		if len(events) > 0 {
			write(conn, streamHeader, r.Header.Get("Id"))
		}
		for _, id := range events {
			writeChunk(conn, event(id))
		}
		s.reached <- struct{}{}
		_, _ = conn.Read(make([]byte, 1))
		b.gone <- struct{}{}
		return false
	}
}

// leaveScenes are the places of streams and calls.
var leaveScenes = map[string]func(t *testing.T) *leaveScene{
	"stream sent": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route, s.backends = streamRoute(true), []*backend{newBackend(t, s.works())}
		return s
	},
	"stream answered in part": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route, s.backends = streamRoute(true), []*backend{newBackend(t, s.works(1, 2))}
		return s
	},
	"stream that may not be resumed": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route, s.backends = streamRoute(false), []*backend{newBackend(t, s.works(1))}
		return s
	},
	"stream resumed": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route = streamRoute(true)
		s.backends = []*backend{newBackend(t, events(2, false)), newBackend(t, s.works(3))}
		s.prepare = (*testEntry).preferFirst
		return s
	},
	"stream refused and sent to another engine": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route = streamRoute(true)
		s.backends = []*backend{newBackend(t, refuse), newBackend(t, s.works())}
		s.prepare = (*testEntry).preferFirst
		return s
	},
	"stream rerouted": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route = streamRoute(true)
		rerouted := make(chan struct{})
		head := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
			write(conn, streamHeader, r.Header.Get("Id"))
			writeChunk(conn, event(1))
			<-rerouted
			return s.works()(b, r, conn)
		})
		s.backends = []*backend{head}
		s.prepare = func(e *testEntry) {
			e.useEnginesWithSpare(head)
			e.engines.stalled = []StalledRequest{{RequestID: "id-1", BlockedOn: deadAddress}}
			e.engines.onReroute = func() { close(rerouted) }
		}
		return s
	},
	"call sent": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route, s.backends = unaryRoute(config.CallIdempotent), []*backend{newBackend(t, s.works())}
		return s
	},
	"call that may run once sent": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route, s.backends = unaryRoute(config.CallAtMostOnce), []*backend{newBackend(t, s.works())}
		return s
	},
	"call repeated": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route = unaryRoute(config.CallIdempotent)
		s.backends = []*backend{newBackend(t, reset), newBackend(t, s.works())}
		s.prepare = (*testEntry).preferFirst
		return s
	},
	"call refused and sent to another server": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route = unaryRoute(config.CallAtMostOnce)
		s.backends = []*backend{newBackend(t, refuse), newBackend(t, s.works())}
		s.prepare = (*testEntry).preferFirst
		return s
	},
}

// unsentScenes are the places of requests on which no server works yet.
var unsentScenes = map[string]func(t *testing.T) *leaveScene{
	"stream waits for a path": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route, s.backends = streamRoute(true), []*backend{newBackend(t, events(1, true))}
		s.route.TargetLatency = leaveTimeout
		full := map[string]usage{"s0": {requests: 1000, tokens: 1e15, layerTokens: 1e15}}
		var reserved *reservation
		s.prepare = func(e *testEntry) {
			reserved = e.fleet.reserve(full)
			go s.awaitPhase(func() bool { return e.waitRoom("llm").outlook(time.Now(), 0, time.Second).waiting > 0 })
		}
		s.afterwards = func(*testEntry) { reserved.release() }
		return s
	},
	"call waits for its turn": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route, s.backends = unaryRoute(config.CallAtMostOnce), []*backend{newBackend(t, refuse)}
		s.prepare = func(e *testEntry) {
			go s.awaitPhase(func() bool { return e.callRoom("app").isWaiting() })
		}
		return s
	},
	"call connects": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route, s.backends = unaryRoute(config.CallIdempotent), []*backend{newBackend(t, respond(200, "answer"))}
		s.prepare = s.holdDial
		return s
	},
	"stream connects": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route, s.backends = streamRoute(true), []*backend{newBackend(t, events(1, true))}
		s.prepare = s.holdDial
		return s
	},
	"entry restarts": func(t *testing.T) *leaveScene {
		s := newLeaveScene()
		s.route, s.backends = unaryRoute(config.CallIdempotent), []*backend{newBackend(t, respond(200, "answer"))}
		s.prepare = func(e *testEntry) {
			e.current.Store(nil)
			e.fleet.startedAt = time.Now()
			go s.awaitPhase(func() bool { return e.InProgress() > 0 })
		}
		s.afterwards = func(e *testEntry) { e.applyTestConfiguration(s.route) }
		return s
	},
}

// awaitPhase reports that the request is at its place once condition holds.
func (s *leaveScene) awaitPhase(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
	s.reached <- struct{}{}
}

// holdDial lets no connection to a server be completed before the request has ended.
func (s *leaveScene) holdDial(e *testEntry) {
	e.pool.dial = func(ctx context.Context, _ string) (net.Conn, error) {
		s.reached <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// Guards against a request that goes on after its client has left while it waited for a
// path, its turn, a connection or a process that restarts.
func TestUnsentRequestEndsWhenClientLeaves(t *testing.T) {
	for place, newScene := range unsentScenes {
		for way, leave := range departures {
			t.Run(place+"/"+way, func(t *testing.T) {
				s := newScene(t)
				s.route.Timeout = 2 * leaveTimeout
				e := newTestEntry(t, s.route, s.backends...)
				s.prepare(e)
				conn := e.dialClient(t)
				sendText(t, conn, clientRequest("id-1", ""))
				<-s.reached
				sent := countRequests(s.backends)
				leave(t, conn)
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					for e.InProgress() > 0 {
						time.Sleep(time.Millisecond)
					}
				}()
				select {
				case <-ended:
				case <-time.After(leaveTimeout):
					t.Fatal("the request goes on")
				}
				if s.afterwards != nil {
					s.afterwards(e)
				}
				time.Sleep(10 * time.Millisecond)
				assert.Equal(t, countRequests(s.backends), sent, "a request of a client that has left was sent")
			})
		}
	}
}

// leaveTimeout bounds the wait for a server to be left. The requests themselves would go
// on for longer.
const leaveTimeout = 3 * time.Second

// Guards against a server that works on for a client that has left, wherever the request
// is and however the client leaves.
func TestServerStopsWhenClientLeaves(t *testing.T) {
	for place, newScene := range leaveScenes {
		for way, leave := range departures {
			t.Run(place+"/"+way, func(t *testing.T) {
				t.Parallel()
				s := newScene(t)
				s.route.Timeout = 2 * leaveTimeout
				e := newTestEntry(t, s.route, s.backends...)
				if s.prepare != nil {
					s.prepare(e)
				}
				conn := e.dialClient(t)
				sendText(t, conn, clientRequest("id-1", ""))
				<-s.reached
				sent := countRequests(s.backends)
				leave(t, conn)
				last := s.backends[len(s.backends)-1]
				select {
				case <-last.gone:
				case <-time.After(leaveTimeout):
					t.Fatal("the server works on")
				}
				awaitIdle(t, e)
				assert.Equal(t, countRequests(s.backends), sent, "requests of a client that has left were sent")
			})
		}
	}
}

func countRequests(backends []*backend) (n int) {
	for _, b := range backends {
		n += b.count()
	}
	return n
}

// awaitIdle waits until the entry has closed all connections of clients, and so has
// handled all that they sent.
func awaitIdle(t *testing.T, e *testEntry) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := e.InProgress(); n > 0 {
			return poll.Continue("%d requests are in progress", n)
		}
		return poll.Success()
	}, poll.WithTimeout(leaveTimeout), poll.WithDelay(time.Millisecond))
}

// gatedListener accepts no connection until it is opened, as an entry that is paused, or
// has too little of a core. The kernel completes connections meanwhile.
type gatedListener struct {
	net.Listener
	open chan struct{}
	mu   sync.Mutex
	// ended counts the accepted connections that were closed.
	ended int
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.open
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type gatedConn struct {
	*net.TCPConn
	listener *gatedListener
	once     sync.Once
}

func (c *gatedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.ended++
	})
	return c.TCPConn.Close()
}

func (l *gatedListener) endedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// serveBehindGate serves the entry on another listener, which accepts nothing yet.
func (e *testEntry) serveBehindGate(t *testing.T) *gatedListener {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	gate := &gatedListener{Listener: inner, open: make(chan struct{})}
	e.server = serveClients(t, e.Entry, gate)
	return gate
}

// Guards against requests that are sent to a server although their clients left before
// the entry read them, as it does after a pause or with too little of a core. With idle
// connections to servers and one core, nothing lets the entry notice before it has sent
// the request.
func TestRequestOfClientThatLeftIsNotSent(t *testing.T) {
	const clients = 20
	routes := map[string]config.Route{
		"stream": streamRoute(true), "idempotent": unaryRoute(config.CallIdempotent), "at most once": unaryRoute(config.CallAtMostOnce),
	}
	for kind, route := range routes {
		for way, leave := range departures {
			for _, cores := range []int{1, runtime.NumCPU()} {
				t.Run(fmt.Sprintf("%s/%s/%d cores", kind, way, cores), func(t *testing.T) {
					answer := respond(200, "answer")
					if route.CallKind == config.CallStream {
						answer = events(1, true)
					}
					b := newBackend(t, answer)
					e := newTestEntry(t, route, b)
					fillPool(t, e, b, clients)
					warm := b.count()
					gate := e.serveBehindGate(t)
					for i := range clients {
						conn := e.dialClient(t)
						sendText(t, conn, clientRequest(fmt.Sprintf("left-%d", i), ""))
						leave(t, conn)
					}
					defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
					close(gate.open)
					poll.WaitOn(t, func(poll.LogT) poll.Result {
						if n := gate.endedCount(); n < clients {
							return poll.Continue("%d of %d connections have ended", n, clients)
						}
						return poll.Success()
					}, poll.WithTimeout(leaveTimeout), poll.WithDelay(time.Millisecond))
					awaitIdle(t, e)
					assert.Equal(t, b.count()-warm, 0, "of %d requests whose clients had left, some were sent", clients)
				})
			}
		}
	}
}

// fillPool leaves idle connections to a server.
func fillPool(t *testing.T, e *testEntry, b *backend, n int) {
	for range n {
		conn, err := e.pool.dial(t.Context(), b.address())
		assert.NilError(t, err)
		e.pool.put(b.address(), newConnection(conn), time.Minute)
	}
	_, _, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
}
