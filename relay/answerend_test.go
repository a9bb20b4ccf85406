package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

const unframedCall = "HTTP/1.1 200 OK\nId: %s\nSigned: 1\n\n"

// cutOff sends part of an answer without a length and crashes: its system closes the
// connection without a reset and accepts no other one.
func cutOff(header, part string) script {
	return func(b *backend, r *http.Request, conn net.Conn) bool {
		b.listener.Close()
		return unframed(header, part, false)(b, r, conn)
	}
}

// Guards against a part of an answer that is passed on as the whole one, because its
// server has crashed and the answer states no length.
func TestAnswerOfCrashedServerIsNotWhole(t *testing.T) {
	long := strings.Repeat("x", maxBufferedResponse+1)
	for name, c := range map[string]struct {
		call config.CallKind
		part string
		want string
	}{
		"may not be repeated": {config.CallAtMostOnce, "half", "502"},
		"may be repeated":     {config.CallIdempotent, "half", "whole"},
		"partly passed on":    {config.CallIdempotent, long, "broken off"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, unaryRoute(c.call), newBackend(t, cutOff(unframedCall, c.part)), newBackend(t, respond(200, "whole")))
			e.preferFirst()
			response, body, err := e.send(t, http.MethodPost)
			switch c.want {
			case "whole":
				assert.NilError(t, err)
				assert.Equal(t, body, "whole")
			case "502":
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusBadGateway)
			default:
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			}
		})
	}
}

// pausesAfterFirst makes connections after the first one wait until a pause is over.
func pausesAfterFirst(dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	var until time.Time
	return func(ctx context.Context, address string) (net.Conn, error) {
		if until.IsZero() {
			until = time.Now().Add(enginePause)
			return dial(ctx, address)
		}
		sleep(ctx, time.Until(until))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return dial(ctx, address)
	}
}

// Guards against a whole answer without a length that is broken off because its server,
// which is sound, accepts no connection for a second.
func TestUnframedAnswerIsWholeThoughItsServerPausesAfterwards(t *testing.T) {
	for name, size := range map[string]int{"buffered": 100, "partly passed on": maxBufferedResponse + 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := strings.Repeat("x", size)
			e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), newBackend(t, unframed(unframedCall, whole, false)))
			e.pool.dial = pausesAfterFirst(e.pool.dial)
			_, body, err := e.send(t, http.MethodPost)
			assert.NilError(t, err)
			assert.Assert(t, body == whole)
		})
	}
}

// Guards against an answer that counts as whole because another process than the one that
// began it accepts connections.
func TestAnswerOfRestartedServerIsNotWhole(t *testing.T) {
	var e *testEntry
	b := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
		servers := withoutServer(e.fleet.snapshot(), "")
		restarted := servers["s0"]
		restarted.StartTimeMillis = 1
		servers["s0"] = restarted
		e.fleet.setServers(time.Now(), servers)
		return unframed(unframedCall, "half", false)(b, r, conn)
	})
	e = newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	response, _, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
}

// usePathWithSpare makes an entry prefer a path of two engines over a third engine.
func (e *testEntry) usePathWithSpare(head, later, spare *backend) {
	servers := map[string]Server{}
	for id, s := range map[string]Server{
		"head":  {Instance: membership.Instance{Address: head.address()}, Layers: placement.Range{First: 0, Limit: 4}},
		"later": {Instance: membership.Instance{Address: later.address()}, Layers: placement.Range{First: 4, Limit: 8}},
		"spare": {Instance: membership.Instance{Address: spare.address()}, Layers: placement.Range{First: 0, Limit: 8}},
	} {
		s.ID, s.Service, s.Zone, s.Slots, s.Accelerator = id, "llm", "a", 10, "gpu"
		servers[id] = s
	}
	e.fleet.setServers(time.Now(), servers)
	e.fleet.reserve(map[string]usage{"spare": {requests: 5, tokens: 1e6}})
}

// Guards against a stream that looks complete because its first engine works, although a
// later one of its path does not, for which the first one has cut it off.
func TestUnframedStreamIsNotWholeWithoutLaterEngine(t *testing.T) {
	for name, lose := range map[string]func(e *testEntry, later *backend){
		"crashed": func(_ *testEntry, later *backend) { later.listener.Close() },
		"hangs, though it accepts connections": func(e *testEntry, later *backend) {
			e.engines.mu.Lock()
			defer e.engines.mu.Unlock()
			e.engines.stalled = []StalledRequest{{RequestID: "id-0", BlockedOn: later.address()}}
		},
		"lost, and the path was changed": func(e *testEntry, _ *backend) { e.fleet.markLost(time.Now(), "later") },
	} {
		for _, resumable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resumable %t", name, resumable), func(t *testing.T) {
				t.Parallel()
				later, spare := newBackend(t, nil), newBackend(t, events(1, true))
				var e *testEntry
				head := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
					unframed(unframedStream, event(1), false)(b, r, conn)
					time.Sleep(stallCheckDelay)
					lose(e, later)
					time.Sleep(2 * stallCheckDelay)
					return false
				})
				e = newTestEntry(t, streamRoute(resumable), head)
				e.usePathWithSpare(head, later, spare)
				_, body, err := e.send(t, http.MethodGet)
				if resumable {
					assert.NilError(t, err)
					assert.Equal(t, body, event(1)+event(2))
				} else {
					assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				}
				assert.Equal(t, head.count(), 1)
			})
		}
	}
}

// Guards against a stream that looks complete because another process than the one that
// began it says that it works.
func TestUnframedStreamOfRestartedEngineIsNotWhole(t *testing.T) {
	e := newTestEntry(t, streamRoute(false), newBackend(t, unframed(unframedStream, event(1), false)))
	servers := withoutServer(e.fleet.snapshot(), "")
	began := servers["s0"]
	began.StartTimeMillis = 1
	servers["s0"] = began
	e.fleet.setServers(time.Now(), servers)
	for _, startTime := range []int64{1, 2} {
		e.Entry.engines = &startedEngines{startTimeMillis: startTime}
		_, _, err := e.send(t, http.MethodGet)
		assert.Equal(t, err == nil, startTime == 1, "%d: %v", startTime, err)
	}
}

// Guards against a whole stream that is broken off because a later engine, which is sound,
// accepts no connection for a second after the end.
func TestUnframedStreamIsWholeThoughLaterEnginePausesAfterwards(t *testing.T) {
	later := newBackend(t, nil)
	head := newBackend(t, unframed(unframedStream, event(1)+event(2), false))
	e := newTestEntry(t, streamRoute(false), head)
	e.usePathWithSpare(head, later, newBackend(t, nil))
	e.pool.dial = pausesAfterFirst(e.pool.dial)
	_, body, err := e.send(t, http.MethodGet)
	assert.NilError(t, err)
	assert.Equal(t, body, eventsText(2))
	assert.Equal(t, head.count(), 1)
}

// Guards against questions to servers whose answers state their end, and against more than
// one connection for another.
func TestOnlyAnswersWithoutLengthCostAConnection(t *testing.T) {
	for name, c := range map[string]struct {
		handle script
		dials  int64
	}{
		"with a length":    {respond(200, "whole"), 1},
		"without a length": {unframed(unframedCall, "whole", false), 2},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), newBackend(t, c.handle))
			dial, dials := e.pool.dial, atomic.Int64{}
			e.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
				dials.Add(1)
				return dial(ctx, address)
			}
			_, body, err := e.send(t, http.MethodPost)
			assert.NilError(t, err)
			assert.Equal(t, body, "whole")
			assert.Equal(t, dials.Load(), c.dials)
		})
	}
}

// Guards against a whole answer that is broken off, and a connection that is paid, because
// its server is asked for another connection although an idle one shows that it works; and
// against one that is taken for open after a crash.
func TestIdleConnectionShowsWhetherServerWorks(t *testing.T) {
	for name, crash := range map[string]bool{"works, but resets further connections": false, "crashed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var conns []net.Conn
			b := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
				if !crash {
					return unframed(unframedCall, "all", false)(b, r, conn)
				}
				cutOff(unframedCall, "all")(b, r, conn)
				conn.Close()
				for _, c := range conns {
					c.Close()
				}
				return false
			})
			e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
			// One for the request and one that stays idle.
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			near, err := net.Dial("tcp4", listener.Addr().String())
			assert.NilError(t, err)
			far, err := listener.Accept()
			assert.NilError(t, err)
			conns = append(conns, far)
			defer far.Close()
			request, err := e.pool.dial(t.Context(), b.address())
			assert.NilError(t, err)
			e.pool.put(b.address(), newConnection(near), time.Minute)
			e.pool.put(b.address(), newConnection(request), time.Minute)
			e.pool.dial = func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNRESET }
			response, body, err := e.send(t, http.MethodPost)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode == http.StatusOK && body == "all", !crash)
		})
	}
}

// BenchmarkEndOfAnswer measures what the decision costs a request: each call, a call whose
// server is asked, and the start times that each attempt of a stream notes.
func BenchmarkEndOfAnswer(b *testing.B) {
	e := newStoreEntry(newScriptedStore())
	servers, hops := map[string]Server{}, []pipeline.Hop{}
	for id := range 4 {
		s := testServer(strconv.Itoa(id), id, id+1)
		servers[s.ID] = s
		hops = append(hops, pipeline.Hop{Engine: s.ID})
	}
	e.fleet.setServers(time.Now(), servers)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(b, err)
	defer listener.Close()
	server := Server{Instance: membership.Instance{Address: listener.Addr().String()}}
	q := &request{Entry: e, route: &config.Route{CallKind: config.CallAtMostOnce}}
	for name, length := range map[string]int64{"call with a length": 100, "call without a length": -1} {
		b.Run(name, func(b *testing.B) {
			x := &exchange{response: &http.Response{ContentLength: length}}
			b.ReportAllocs()
			for b.Loop() {
				if !q.isWholeCall(b.Context(), x, server) {
					b.Fatal("not whole")
				}
			}
		})
	}
	b.Run("attempt of a stream", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			e.fleet.startTimesOf(hops)
		}
	})
}
