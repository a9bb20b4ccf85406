package relay

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/sapphirefield/sapphirefield/config"
)

// enginePause is how long a sound engine falls silent, its status queries included.
const enginePause = 1200 * time.Millisecond

// pauseIn answers with a stream of five events and falls silent after a number of bytes of
// the answer.
func pauseIn(place string) script {
	return func(_ *backend, r *http.Request, conn net.Conn) bool {
		head := strings.ReplaceAll(fmt.Sprintf(streamHeader, r.Header.Get("Id")), "\n", "\r\n")
		chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
		answer := head + chunk(event(1)) + chunk(event(2)) + chunk(event(3)[:5]) + chunk(event(3)[5:]) + chunk(event(4)) + chunk(event(5)) + "0\r\n\r\n"
		at := map[string]int{
			"before the head": 0, "in the head": len(head) / 2, "after the head": len(head),
			"between events": strings.Index(answer, chunk(event(2))), "in an event": strings.Index(answer, chunk(event(3)[5:])),
			"before the end": len(answer) - len("0\r\n\r\n"),
		}[place]
		_, _ = conn.Write([]byte(answer[:at])) // a failed write shows in the client's answer
		time.Sleep(enginePause)
		_, _ = conn.Write([]byte(answer[at:]))
		return true
	}
}

var pausePlaces = []string{"before the head", "in the head", "after the head", "between events", "in an event", "before the end"}

// Guards against a stream that is failed or broken off because its engine, which is sound,
// falls silent for a second, although no other engine takes it over.
func TestStreamOutlastsPauseOfItsEngine(t *testing.T) {
	others := map[string][]script{"alone": nil, "other refuses": {refuse}, "other is silent": {hang}}
	for _, resumable := range []bool{true, false} {
		for _, place := range pausePlaces {
			for name, scripts := range others {
				t.Run(fmt.Sprintf("%s, %s, resumable %t", place, name, resumable), func(t *testing.T) {
					t.Parallel()
					backends := []*backend{newBackend(t, pauseIn(place))}
					for _, handle := range scripts {
						backends = append(backends, newBackend(t, handle))
					}
					e := newPausingEntry(t, resumable, backends...)
					response, body, err := e.send(t, http.MethodPost)
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusOK, body)
					assert.Equal(t, body, eventsText(5))
				})
			}
		}
	}
}

// Guards against a stream that is failed because a later engine of its path falls silent
// for a second, while no other engine holds its layers.
func TestStreamOutlastsPauseOfLaterEngine(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		for _, place := range pausePlaces {
			t.Run(fmt.Sprintf("%s, resumable %t", place, resumable), func(t *testing.T) {
				t.Parallel()
				head := newBackend(t, pauseIn(place))
				e := newTestEntry(t, streamRoute(resumable), head)
				e.useEnginesWithSpare(head)
				e.fleet.setServers(time.Now(), withoutServer(e.fleet.snapshot(), "spare"))
				e.engines.stalled = []StalledRequest{{RequestID: "id-1", BlockedOn: deadAddress}}
				_, body, err := e.send(t, http.MethodPost)
				assert.NilError(t, err)
				assert.Equal(t, body, eventsText(5))
			})
		}
	}
}

func withoutServer(servers map[string]Server, id string) map[string]Server {
	left := maps.Clone(servers)
	delete(left, id)
	return left
}

// pausingEngines answer status queries once a pause is over.
type pausingEngines struct {
	testEngines
	until time.Time
}

func (e *pausingEngines) Status(ctx context.Context, _ string) (EngineStatus, error) {
	sleep(ctx, min(time.Until(e.until), time.Second))
	if time.Now().Before(e.until) {
		return EngineStatus{}, ErrNoResponse
	}
	return EngineStatus{}, nil
}

// Guards against a whole stream that is broken off because its sound engine falls silent
// right after the end, which only the end of its connection shows.
func TestStreamIsWholeThoughItsEnginePausesAfterwards(t *testing.T) {
	e := newTestEntry(t, streamRoute(false), newBackend(t, unframed(unframedStream, event(1)+event(2), false)))
	e.Entry.engines = &pausingEngines{until: time.Now().Add(enginePause)}
	e.stallChecker.startedAt = time.Now().Add(-settleTime)
	_, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, body, eventsText(2))
}

// Guards against a call that is failed because its server, which accepts no connection
// for a second either, is taken for crashed, although no other server could answer it.
func TestCallOutlastsPauseOfItsServer(t *testing.T) {
	for _, call := range []config.CallKind{config.CallIdempotent, config.CallAtMostOnce} {
		t.Run(string(call), func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
				b.listener.Close()
				time.Sleep(enginePause)
				return respond(200, "done")(b, r, conn)
			})
			_, body, err := newTestEntry(t, unaryRoute(call), b).send(t, http.MethodPost)
			assert.NilError(t, err)
			assert.Equal(t, body, "done")
		})
	}
}

// eventsUpTo sends the events after the last one named in the request, up to a given one.
func eventsUpTo(n int) script {
	return func(b *backend, r *http.Request, conn net.Conn) bool {
		last, _ := strconv.Atoi(r.Header.Get("Last")) // 0 if none is named
		return events(n-last, true)(b, r, conn)
	}
}

// newPausingEntry returns an entry whose engines answer no status queries, and which prefers
// the first one.
func newPausingEntry(t *testing.T, resumable bool, backends ...*backend) *testEntry {
	e := newTestEntry(t, streamRoute(resumable), backends...)
	e.fleet.startedAt = time.Now().Add(-settleTime)
	e.stallChecker.engines, e.stallChecker.startedAt = &muteEngines{}, time.Now().Add(-settleTime)
	if len(backends) > 1 {
		e.fleet.reserve(map[string]usage{"s1": {requests: 3}})
	}
	return e
}

// Guards against streams that leave a silent engine together and are broken off, because
// another engine, or the retry budget, has room for some of them only.
func TestStreamsLeaveSilentEngineOnlyWithPlaceElsewhere(t *testing.T) {
	const streams = 6
	for name, prepare := range map[string]func(e *testEntry){
		"retry budget": func(e *testEntry) { e.settings.RetryExtra = 2 * assumedEntries },
		"room":         func(e *testEntry) { e.fleet.reserve(map[string]usage{"s1": {usedSlots: 8}}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newPausingEntry(t, true, newBackend(t, pauseIn("between events")), newBackend(t, eventsUpTo(5)))
			e.fleet.reserve(map[string]usage{"s1": {requests: 6}})
			prepare(e)
			var clients sync.WaitGroup
			for range streams {
				request := e.newRequest(t.Context(), t, http.MethodPost, strings.NewReader("body"))
				clients.Go(func() {
					response, err := e.server.Client().Do(request)
					if !assert.Check(t, is.Nil(err)) {
						return
					}
					defer response.Body.Close()
					body, err := io.ReadAll(response.Body)
					assert.Check(t, is.Nil(err))
					assert.Check(t, string(body) == eventsText(5), string(body))
				})
			}
			clients.Wait()
		})
	}
}
