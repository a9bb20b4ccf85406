package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

// hang accepts a request and never answers it.
func hang(_ *backend, _ *http.Request, conn net.Conn) bool {
	_, _ = conn.Read(make([]byte, 1)) // returns when the entry closes the connection
	return false
}

// awaitUnanswered waits until an entry knows that a server leaves requests unanswered.
func (e *testEntry) awaitUnanswered(id string) {
	for known := false; !known; time.Sleep(time.Millisecond) {
		e.fleet.mu.Lock()
		known = e.fleet.conditions.Slowdown(time.Now(), id) > 0
		e.fleet.mu.Unlock()
	}
}

// Guards against streams of all entries that wait one after another for an engine that
// accepts requests and answers none, although its status is good.
func TestNewStreamsAvoidEngineThatAnswersNothing(t *testing.T) {
	hung, sound := newBackend(t, hang), newBackend(t, events(2, true))
	route := streamRoute(true)
	route.TargetLatency = 100 * time.Millisecond
	e := newTestEntry(t, route, hung, sound)
	first := make(chan string)
	e.fleet.reserve(map[string]usage{"s1": {requests: 3}})
	go func() {
		_, body, _ := e.send(t, http.MethodPost) // its answer is checked below
		first <- body
	}()
	e.awaitUnanswered("s0")
	for range 5 {
		_, body, err := e.send(t, http.MethodPost)
		assert.NilError(t, err)
		assert.Equal(t, body, eventsText(2))
	}
	assert.Equal(t, hung.count(), 1)
	// The others are told, and the stream that waited goes on elsewhere.
	assert.Equal(t, e.fleet.localUsage(time.Now())[serverHash("s0")].slowdown, condition.UnansweredSlowdown)
	assert.Equal(t, <-first, eventsText(2))
}

// newWatch returns the watch of a stream that was sent to the first engine of an entry a
// time ago.
func (e *testEntry) newWatch(t *testing.T, sent time.Duration) *eventWatch {
	route := &e.current.Load().Document.Routes[0]
	r := e.newRequest(t.Context(), t, http.MethodPost, nil)
	r.RequestURI = r.URL.RequestURI()
	q := &request{
		Entry: e.Entry, r: r, info: testCodec{}.ParseRequest(r.Header), revision: e.current.Load(), route: route, target: "llm",
		avoid: map[string]bool{}, deadline: time.Now().Add(time.Minute), bootDeadline: bootclock.Now().Add(time.Minute),
	}
	a := &attempt{
		streamRequest: &streamRequest{request: q, lastEventID: -1}, x: &exchange{conn: newConnection(nil)},
		hops: []pipeline.Hop{{Engine: "s0", First: 0, Limit: 8}},
	}
	w := newEventWatch(t.Context(), a)
	w.eventAt = w.eventAt.Add(-sent)
	return w
}

func (e *testEntry) isMarked(id string) bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.fleet.conditions.Slowdown(time.Now(), id) > 0
}

// Guards against a working engine that is left by streams of all entries because one of
// them is late: it has begun, the engine serves others, or all streams are late.
func TestSlowEngineIsNotTakenForSilent(t *testing.T) {
	const target = 600 * time.Millisecond
	for name, c := range map[string]struct {
		prepare func(e *testEntry, w *eventWatch)
		want    bool
	}{
		"silent":        {func(*testEntry, *eventWatch) {}, true},
		"not yet due":   {func(_ *testEntry, w *eventWatch) { w.eventAt = w.eventAt.Add(target / 2) }, false},
		"has begun":     {func(_ *testEntry, w *eventWatch) { w.answered = true }, false},
		"another path":  {func(_ *testEntry, w *eventWatch) { w.reroutes = 1 }, false},
		"serves others": {func(e *testEntry, _ *eventWatch) { e.fleet.recordAnswer("s0") }, false},
		// It may go on with what it has begun and begin nothing new.
		"has progress": {func(e *testEntry, w *eventWatch) { e.fleet.recordProgress(time.Now(), w.hops) }, true},
		"overload": {func(e *testEntry, _ *eventWatch) {
			for range 100 {
				e.fleet.recordFirstEvent(target / 2)
			}
		}, false},
	} {
		route := streamRoute(true)
		route.TargetLatency = target
		e := newTestEntry(t, route, newBackend(t, hang), newBackend(t, hang))
		w := e.newWatch(t, target+time.Millisecond)
		c.prepare(e, w)
		w.noteUnanswered()
		assert.Equal(t, e.isMarked("s0"), c.want, name)
	}
}

// Guards against streams that stay at an engine known to answer nothing until they are
// late: half of the time to their first event is left for another engine.
func TestStreamMovesInTime(t *testing.T) {
	route := streamRoute(true)
	route.TargetLatency = 600 * time.Millisecond
	e := newTestEntry(t, route, newBackend(t, hang), newBackend(t, events(2, true)))
	early, due := e.newWatch(t, route.TargetLatency/2-50*time.Millisecond), e.newWatch(t, route.TargetLatency/2)
	assert.NilError(t, due.check())
	due.checkAt = time.Time{}
	e.fleet.leaveUnanswered(time.Now(), time.Now(), "s0")
	assert.NilError(t, early.check())
	assert.ErrorIs(t, due.check(), errStreamStalled)
	due.answered = true
	assert.Assert(t, !due.shouldMoveInTime())
}

// Guards against a server that stays out of use although it answers again, and against many
// requests that find out at the same time.
func TestOneRequestTriesSilentServer(t *testing.T) {
	long := time.Now().Add(-time.Minute)
	e := newTestEntry(t, streamRoute(true), newBackend(t, events(60, true)))
	e.fleet.leaveUnanswered(long, long, "s0")
	assert.Assert(t, !e.isMarked("s0"))
	e.newWatch(t, 0)
	assert.Assert(t, e.isMarked("s0"))
	started := time.Now()
	_, _, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Assert(t, !e.isMarked("s0"))

	// An event shows that all engines of the path work.
	w := e.newWatch(t, 0)
	w.hops = append(w.hops, pipeline.Hop{Engine: "later"})
	w.recordProgress()
	assert.Assert(t, e.fleet.workedSince(started, "later"))

	calls := newTestEntry(t, unaryRoute(config.CallAtMostOnce), newBackend(t, respond(200, "done")))
	calls.fleet.leaveUnanswered(long, long, "s0")
	q := &request{Entry: calls.Entry, route: &config.Route{}, deadline: time.Now().Add(time.Minute), bootDeadline: bootclock.Now().Add(time.Minute)}
	_, stop := q.watchSilence(t.Context(), calls.fleet.snapshot()["s0"])
	stop()
	assert.Assert(t, calls.isMarked("s0"))
	assert.Equal(t, calls.sendContent(t, "order 7", "", false), http.StatusOK)
	assert.Assert(t, !calls.isMarked("s0"))
}

// Guards against a call that leaves one silent server for another one.
func TestCallStaysWithoutAnsweringServer(t *testing.T) {
	first, second := newBackend(t, hang), newBackend(t, hang)
	route := unaryRoute(config.CallIdempotent)
	route.Timeout, route.TargetLatency = 600*time.Millisecond, 120*time.Millisecond
	e := newTestEntry(t, route, first, second)
	e.fleet.leaveUnanswered(time.Now(), time.Now(), "s1")
	assert.Equal(t, e.sendContent(t, "first", "", false), http.StatusGatewayTimeout)
	assert.Equal(t, first.count()+second.count(), 1)
}

// Guards against calls that wait one after another for a server that accepts connections
// and answers nothing. An idempotent call goes to another server while its time allows.
func TestCallsLeaveServerThatAnswersNothing(t *testing.T) {
	for call, wantStatus := range map[config.CallKind]int{config.CallIdempotent: http.StatusOK, config.CallAtMostOnce: http.StatusGatewayTimeout} {
		hung, sound := newBackend(t, hang), newBackend(t, respond(200, "sound"))
		route := unaryRoute(call)
		route.Timeout, route.TargetLatency = 600*time.Millisecond, 120*time.Millisecond
		e := newTestEntry(t, route, hung, sound)
		e.preferFirst()
		assert.Equal(t, e.sendContent(t, "first", "", false), wantStatus)
		for range 5 {
			assert.Equal(t, e.sendContent(t, "later", "", false), http.StatusOK)
		}
		assert.Equal(t, hung.count(), 1)
	}
}

// Guards against a watch that goes on beside its request after the attempt: both use the
// request's servers, and Go ends a process that does so at the same time.
func TestSilenceWatchEndsWithItsAttempt(t *testing.T) {
	e := newTestEntry(t, unaryRoute(config.CallIdempotent), newBackend(t, hang))
	probing := make(chan struct{})
	var ended atomic.Bool
	e.pool.dial = func(ctx context.Context, _ string) (net.Conn, error) {
		close(probing)
		<-ctx.Done()
		time.Sleep(20 * time.Millisecond)
		ended.Store(true)
		return nil, ctx.Err()
	}
	q := &request{Entry: e.Entry, route: &config.Route{}, deadline: time.Now().Add(time.Minute), bootDeadline: bootclock.Now().Add(time.Minute)}
	_, stop := q.watchSilence(t.Context(), e.fleet.snapshot()["s0"])
	<-probing
	stop()
	assert.Assert(t, ended.Load(), "the watch goes on")
}
