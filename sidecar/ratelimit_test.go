package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/standin"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// statedRate is the limit that the server states, in requests per second.
	statedRate = 2.0
	// In any limitWindow, limitFactor times the limit and limitExtra requests more are
	// permitted.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// arrivals records when requests reached a server.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// check checks that the limit was kept, and used while there was work.
func (a *arrivals) check(t *testing.T, duration time.Duration) {
	t.Helper()
	allowed := int(limitFactor*statedRate*limitWindow.Seconds()) + limitExtra
	first := 0
	for i, at := range a.times {
		for at.Sub(a.times[first]) >= limitWindow {
			first++
		}
		assert.Assert(t, i-first+1 <= allowed, "%d requests in a window, %d allowed", i-first+1, allowed)
	}
	assert.Assert(t, float64(len(a.times)) >= 0.9*statedRate*duration.Seconds(), "only %d requests", len(a.times))
}

// plainSidecar is a sidecar beside a plain server.
type plainSidecar struct{ *Server }

func startPlainSidecar(t *testing.T, handler http.Handler) plainSidecar {
	t.Helper()
	network := standin.NewNetwork()
	backend := &http.Server{Handler: handler}
	s := New(Options{ID: "s", Backend: "http://app", DialBackend: network.Dialer("s"), Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	appListener, listener := network.Listen("app"), network.Listen("s")
	wg.Go(func() { _ = backend.Serve(appListener) })
	wg.Go(func() { _ = s.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		_ = backend.Close()
		wg.Wait()
	})
	synctest.Wait()
	return plainSidecar{s}
}

// call sends a call with a number of its own, as one of several entries.
func (s plainSidecar) call(number int) {
	s.handleWork(fmt.Sprint("entry-", number%5), &wire.WorkUp{Body: &wire.WorkUp_Call{Call: &wire.Call{
		Request: fmt.Sprint("r", number), Attempt: 1, Incarnation: s.Incarnation(), Method: http.MethodPost, Path: "/",
	}}}, time.Now())
}

// Guards against calls to a server beyond the limit that it states, and against a limit
// that outlives its end.
func TestCallsKeepRateLimitOfServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received arrivals
		limited := true
		s := startPlainSidecar(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			received.add()
			if limited {
				w.Header().Set("Rate-Limit", fmt.Sprint(statedRate))
			}
		}))
		const duration, step = 20 * time.Second, 20 * time.Millisecond
		sent := 0
		call := func() {
			sent++
			s.call(sent)
			time.Sleep(step)
			synctest.Wait()
		}
		call()
		for range int(duration / step) {
			call()
		}
		received.check(t, duration)
		limited = false
		before := len(received.times)
		for range int(duration / step) {
			call()
		}
		assert.Assert(t, len(received.times)-before > int(0.9*float64(duration/step)))
	})
}

// Guards against new work for an engine beyond the limit that it states, while attempts
// in progress go on.
func TestStagesKeepRateLimitOfEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		var opened arrivals
		h.observeResponse(&http.Response{StatusCode: http.StatusOK, Header: http.Header{"Rate-Limit": {fmt.Sprint(statedRate)}}}, time.Now())
		const duration, step = 20 * time.Second, 20 * time.Millisecond
		for i := range int(duration / step) {
			frame := h.openFrame(1)
			frame.GetOpen().Request = fmt.Sprint("r", i)
			before := h.InProgress()
			h.handle(frame)
			if h.InProgress() > before {
				opened.add()
			}
			time.Sleep(step)
		}
		opened.check(t, duration)
		// Another attempt of a request that the engine holds is no new request.
		h.handle(h.openFrame(1))
		for range 100 {
			time.Sleep(step)
			h.handle(h.openFrame(1))
		}
		if h.currentAttempt("r", 1) == nil {
			t.Fatal("the engine never had room")
		}
		h.handle(h.openFrame(2))
		assert.Assert(t, h.currentAttempt("r", 2) != nil)
	})
}

// Guards against calls to a server that has asked to be left alone, and against one that
// gets nothing after its pause.
func TestServerThatAskedForPauseGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received arrivals
		s := startPlainSidecar(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			received.add()
			if len(received.times) == 1 {
				w.Header().Set("Retry-After", "2.5")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		const step = 100 * time.Millisecond
		for i := range 40 {
			s.call(i)
			time.Sleep(step)
			synctest.Wait()
		}
		pause := received.times[1].Sub(received.times[0])
		assert.Assert(t, pause >= 2500*time.Millisecond && pause < 2500*time.Millisecond+2*step, "%s", pause)
		assert.Assert(t, len(received.times) > 10)
	})
}

// Guards against a broken server that makes its sidecar run out of memory or hold a call
// for long: a header or a body without end.
func TestEndlessResponsesOfServerAreCut(t *testing.T) {
	for name, endless := range map[string]http.HandlerFunc{
		"header": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nEndless: ")
			for err == nil {
				_, err = io.WriteString(conn, strings.Repeat("x", 1<<10))
			}
		},
		"body": func(w http.ResponseWriter, _ *http.Request) {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(w, strings.Repeat("x", 1<<16))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := make(chan struct{})
				s := startPlainSidecar(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					defer close(ended)
					endless(w, r)
				}))
				s.call(1)
				select {
				case <-ended:
				case <-time.After(defaultCallTimeout / 2):
					t.Fatal("the sidecar still reads")
				}
				synctest.Wait()
				assert.Equal(t, s.InProgress(), 0)
			})
		})
	}
}
