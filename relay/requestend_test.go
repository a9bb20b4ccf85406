package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

const (
	// testRequestTime is a request's time in these tests, and lateTime how long after its
	// begin something happens shortly before the end.
	testRequestTime = time.Second
	lateTime        = testRequestTime - 20*time.Millisecond
	// endLimit is how long after its end a request may still be in progress.
	endLimit = 100 * time.Millisecond
	// testLimit is how long what never answers is waited for.
	testLimit = time.Minute
)

// mutePlatform answers neither status queries nor orders, nor is its store read.
type mutePlatform struct{ muteEngines }

func (*mutePlatform) Reroute(ctx context.Context, _ Server, _ string, _ []pipeline.Hop) (OrderOutcome, error) {
	<-ctx.Done()
	return OrderUnknown, ctx.Err()
}

type muteStore struct{ *scriptedStore }

func (muteStore) ReadLatest(ctx context.Context, _ Topic) (RecordBatch, error) {
	<-ctx.Done()
	return RecordBatch{}, ctx.Err()
}

// endingClient is a client that stops sending or reading.
type endingClient struct {
	header     http.Header
	reads      bool
	sends      sending
	sendBy     chan struct{}
	endContext context.CancelFunc
	writeBy    time.Time
	status     int
}

func newEndingClient() *endingClient {
	return &endingClient{header: http.Header{}, reads: true, sendBy: make(chan struct{})}
}

func (c *endingClient) Header() http.Header    { return c.header }
func (c *endingClient) WriteHeader(status int) { c.status = status }
func (c *endingClient) Flush()                 {}

func (c *endingClient) Write(p []byte) (int, error) {
	if c.reads {
		return len(p), nil
	}
	wait := testLimit
	if !c.writeBy.IsZero() {
		wait = time.Until(c.writeBy)
	}
	time.Sleep(wait)
	return 0, os.ErrDeadlineExceeded
}

func (c *endingClient) SetWriteDeadline(t time.Time) error {
	c.writeBy = t
	return nil
}

// SetReadDeadline ends the request's context, as http.Server does once the deadline is over.
func (c *endingClient) SetReadDeadline(time.Time) error {
	close(c.sendBy)
	c.endContext()
	return nil
}

// unsentBody is a body that does not arrive, or only as its time ends.
type unsentBody struct{ *endingClient }

func (b unsentBody) Read([]byte) (int, error) {
	<-b.sendBy
	if b.sends == atTheEnd {
		return 0, io.EOF
	}
	return 0, os.ErrDeadlineExceeded
}

// sending is when a client sends the body of its request.
type sending int

const (
	atOnce sending = iota
	never
	atTheEnd
)

// lateEnd sends an event, or the begin of a long answer, and ends the connection shortly
// before the request's time is over.
func lateEnd(head string) script {
	return func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, "%s", fmt.Sprintf(head, r.Header.Get("Id")))
		time.Sleep(lateTime)
		return false
	}
}

const (
	unframedHead = "HTTP/1.1 200 OK\nId: %s\nSigned: 1\nContent-Type: text/event-stream\n\n"
	longHead     = "HTTP/1.1 200 OK\nId: %s\nSigned: 1\nContent-Length: 1000000\n\n"
)

// endless sends data without end.
func endless(head, data string) script {
	return func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, "%s", fmt.Sprintf(head, r.Header.Get("Id")))
		for i := 1; ; i++ {
			if _, err := io.WriteString(conn, fmt.Sprintf(data, i)); err != nil {
				return false
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// endCase is what a request waits for.
type endCase struct {
	route   config.Route
	handle  script
	prepare func(e *Entry, c *endingClient)
}

// start returns an entry and a client for the case, whose requests have the given time.
func (c endCase) start(t *testing.T, timeout time.Duration) (*Entry, *endingClient) {
	c.route.Timeout = timeout
	e, client := newBubbleEntry(t, c.route, c.handle), newEndingClient()
	if c.prepare != nil {
		c.prepare(e, client)
	}
	return e, client
}

// endCases has each place where a request waits.
func endCases() map[string]endCase {
	stream, call := streamRoute(true), unaryRoute(config.CallIdempotent)
	dialNever := func(e *Entry, _ *endingClient) {
		e.pool.dial = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	noReading := func(_ *Entry, c *endingClient) { c.reads = false }
	return map[string]endCase{
		"engine accepts no connection":       {stream, hang, dialNever},
		"engine is silent":                   {stream, hang, nil},
		"engine is lost late":                {stream, lateEnd(streamHeader), nil},
		"engine is lost late after an event": {stream, lateEnd(streamHeader + "10\nid: 1\ndata: xx\n\n\n"), nil},
		"engine ends a stream late":          {stream, lateEnd(unframedHead + "id: 1\ndata: x\n\n"), nil},
		"engine refuses":                     {stream, refuse, nil},
		"engine ends each stream at once":    {stream, reset, nil},
		"no engine":                          {stream, hang, func(e *Entry, _ *endingClient) { e.fleet.setServers(time.Now(), nil) }},
		"engines have no room": {stream, hang, func(e *Entry, _ *endingClient) {
			e.fleet.reserve(map[string]usage{"s0": {usedSlots: 10}, "s1": {usedSlots: 10}})
		}},
		"later engine is lost":               {stream, lateEnd(streamHeader), func(e *Entry, _ *endingClient) { e.loseLaterEngineLate() }},
		"client does not read the stream":    {stream, endless(streamHeader, "10\r\nid: %06d\ndata\n\n\r\n"), noReading},
		"client does not read the answer":    {call, respond(200, strings.Repeat("x", 1000)), noReading},
		"client does not read a long answer": {call, endless(longHead, strings.Repeat("x", 10000)+"%d"), noReading},
		"client does not read a refusal":     {call, refuse, noReading},
		"server accepts no connection":       {call, hang, dialNever},
		"server is silent":                   {call, hang, nil},
		"server is lost late":                {call, lateEnd(longHead), nil},
		"server goes on without end":         {call, endless(longHead, strings.Repeat("x", 10)+"%d"), nil},
		"servers refuse":                     {call, refuse, nil},
		"body does not arrive":               {call, hang, func(_ *Entry, c *endingClient) { c.sends = never }},
		"body arrives at the last moment":    {call, hang, func(_ *Entry, c *endingClient) { c.sends = atTheEnd }},
		"store is silent after a pause":      {call, hang, func(e *Entry, _ *endingClient) { e.pause.beat(bootclock.Now().Add(-2 * maxPulseAge)) }},
		"no configuration yet":               {call, hang, func(e *Entry, _ *endingClient) { e.current.Store(nil); e.fleet.startedAt = time.Now() }},
		"no server is known yet":             {call, hang, func(e *Entry, _ *endingClient) { e.fleet.setServers(time.Now(), nil); e.fleet.startedAt = time.Now() }},
	}
}

// Guards against a request that goes on after its time is over, because it waits for an
// engine, a server, the store or its client.
func TestNothingOutlivesTimeOfRequest(t *testing.T) {
	for name, test := range endCases() {
		for _, timeout := range []time.Duration{testRequestTime, testRequestTime / 10} {
			t.Run(fmt.Sprintf("%s, %s", name, timeout), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e, client := test.start(t, timeout)
					over := serveUntilEnd(t, e, client, timeout)
					assert.Assert(t, over <= timeout+endLimit, "went on for %s after its end", over-timeout)
				})
			})
		}
	}
}

// Guards against a request that gets no answer at the end of its process, because it waits
// for something then.
func TestEachRequestIsAnsweredAtEndOfProcess(t *testing.T) {
	for name, test := range endCases() {
		for _, end := range []time.Duration{testRequestTime, testRequestTime / 5} {
			t.Run(fmt.Sprintf("%s, %s", name, end), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e, client := test.start(t, testLimit)
					time.AfterFunc(end, e.EndRequests)
					if !client.reads {
						return // its connection ends with the process
					}
					over := serveUntilEnd(t, e, client, testLimit)
					assert.Assert(t, over <= end+endLimit, "went on for %s", over-end)
					assert.Assert(t, client.status != 0, "no answer")
				})
			})
		}
	}
}

// serveUntilEnd sends a request to an entry and returns how long it was in progress.
func serveUntilEnd(t *testing.T, e *Entry, client *endingClient, timeout time.Duration) time.Duration {
	var body io.Reader = strings.NewReader("body")
	if client.sends != atOnce {
		body = unsentBody{client}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client.endContext = cancel
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/x", body)
	assert.NilError(t, err)
	r.RequestURI = r.URL.RequestURI()
	r.Header.Set("Id", "id")
	r.Header.Set("Key", testKey)
	if e.current.Load() == nil {
		r.Header.Set("Time", strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	started := time.Now()
	func() {
		defer func() {
			if p := recover(); p != nil && !errors.Is(p.(error), http.ErrAbortHandler) {
				panic(p)
			}
		}()
		e.ServeHTTP(client, r)
	}()
	over := time.Since(started)
	time.Sleep(testLimit) // what goes on without the request
	e.pool.closeExpired(time.Now().Add(time.Hour))
	return over
}

// newBubbleEntry returns an entry for tests whose time is not real. Its two servers handle
// requests with the same script; nothing else answers.
func newBubbleEntry(t *testing.T, route config.Route, handle script) *Entry {
	platform := &mutePlatform{}
	e := New(Options{
		Settings: Settings{Instance: "e", RetryRatio: 0.2, RetryExtra: 1000, RetryWindow: 10 * time.Second}, Store: muteStore{newScriptedStore()},
		Engines: platform, HeaderCodec: testCodec{}, Logger: &log.Logger{Level: log.PanicLevel}, Random: rand.New(rand.NewPCG(1, 2)),
	})
	e.applyTestConfiguration(route)
	servers := map[string]Server{}
	for _, id := range []string{"s0", "s1"} {
		servers[id] = Server{
			Instance: membership.Instance{ID: id, Service: route.Targets[0].Backend, Zone: "a", Address: id},
			Slots:    10, Accelerator: "gpu", Layers: placement.Range{First: 0, Limit: 8},
		}
	}
	e.fleet.setServers(time.Now(), servers)
	e.fleet.startedAt, e.stallChecker.startedAt = time.Now().Add(-settleTime), time.Now().Add(-settleTime)
	e.pool.dial = func(context.Context, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go (&backend{}).serve(theirs, handle)
		return ours, nil
	}
	return e
}

// loseLaterEngineLate gives the model paths of two engines, of which the second is lost
// shortly before the end of the request.
func (e *Entry) loseLaterEngineLate() {
	servers := e.fleet.snapshot()
	for id, layers := range map[string]placement.Range{"s0": {First: 0, Limit: 4}, "s1": {First: 4, Limit: 8}, "s2": {First: 4, Limit: 8}} {
		s := servers["s0"]
		s.ID, s.Address, s.Layers = id, id, layers
		servers[id] = s
	}
	e.fleet.setServers(time.Now(), servers)
	time.AfterFunc(lateTime, func() {
		for _, id := range []string{"s1", "s2"} {
			e.fleet.markLost(time.Now(), id)
		}
	})
}

// Guards against a client that does not read and holds its request and the engine's room
// beyond the request's time, and against one that is cut off by the end of an earlier request.
func TestClientThatDoesNotReadIsLeftInTime(t *testing.T) {
	route := streamRoute(true)
	route.Timeout = testRequestTime / 2
	e := newTestEntry(t, route, newBackend(t, endless(streamHeader, "10000\r\nid: %06d\ndata: "+strings.Repeat("x", 1<<16-19)+"\n\n\r\n")))
	conn, err := net.Dial("tcp4", e.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	write(conn, "POST /x HTTP/1.1\nHost: h\nId: id\nKey: %s\nContent-Length: 0\n\n", testKey)
	for e.InProgress() == 0 {
		time.Sleep(time.Millisecond)
	}
	for until := time.Now().Add(4 * route.Timeout); e.InProgress() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, e.InProgress(), 0)
	assert.Equal(t, len(e.fleet.localUsage(time.Now())), 0)

	e = newTestEntry(t, unaryRoute(config.CallIdempotent), newBackend(t, respond(200, "done")))
	e.current.Load().Document.Routes[0].Timeout = route.Timeout
	reused := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if info.Reused {
			reused++
		}
	}}
	for range 2 {
		request := e.newRequest(httptrace.WithClientTrace(t.Context(), trace), t, http.MethodPost, nil)
		response, err := e.server.Client().Do(request)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		response.Body.Close()
		time.Sleep(route.Timeout + 2*endLimit)
	}
	assert.Equal(t, reused, 1)
}
