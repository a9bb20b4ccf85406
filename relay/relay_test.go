package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

// testCodec uses its own header names.
type testCodec struct{}

func (testCodec) ParseRequest(h http.Header) RequestInfo {
	last, err := strconv.ParseInt(h.Get("Last"), 10, 64)
	if err != nil {
		last = -1
	}
	milliseconds, _ := strconv.Atoi(h.Get("Time")) // 0 if none is stated
	var parts []string
	if text := h.Get("Parts"); text != "" {
		parts = strings.Split(text, ",")
		parts = parts[:len(parts)-1]
	}
	return RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), LastEvent: last, PromptTokens: 100, ExpectedAnswerTokens: 50, PromptParts: parts, Timeout: time.Duration(milliseconds) * time.Millisecond}
}

func (testCodec) EncodeRequest(h http.Header, info ForwardInfo) {
	h.Del("Key")
	h.Set("Team", info.Team)
	h.Set("Rank", strconv.Itoa(info.Rank))
	h.Set("Instance", info.Instance)
	if info.LastEvent >= 0 {
		h.Set("Last", strconv.FormatInt(info.LastEvent, 10))
	}
}

func (testCodec) ParseResponse(h http.Header) ResponseInfo {
	return ResponseInfo{ID: h.Get("Id"), NotExecuted: h.Get("Not-Run") != "", Signed: h.Get("Signed") != "", FailedAddress: h.Get("Culprit"), RetryAfter: h.Get("Retry-After"), RateLimit: h.Get("Limit"), Leaving: h.Get("Leaving") != ""}
}

// testEngines returns configured reports and records reroutes.
type testEngines struct {
	mu       sync.Mutex
	stalled  []StalledRequest
	rerouted [][]pipeline.Hop
	// unavailable are the addresses of engines that cannot run their stage.
	unavailable map[string]bool
	onReroute   func()
}

func (e *testEngines) Status(context.Context, string) (EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineStatus{Stalled: e.stalled}, nil
}

func (e *testEngines) AssignLayers(context.Context, Server, placement.Range, int64) (OrderOutcome, error) {
	return OrderStarted, nil
}

func (e *testEngines) Reroute(_ context.Context, _ Server, _ string, path []pipeline.Hop) (OrderOutcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range path {
		if e.unavailable[h.Address] {
			return OrderConflict, &StageUnavailableError{h.Address}
		}
	}
	e.rerouted = append(e.rerouted, path)
	if e.onReroute != nil {
		e.onReroute()
	}
	return OrderAlreadyApplied, nil
}

// backend is a server whose connections are handled by a script. The script
// handles each request and returns false to close the connection.
type backend struct {
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
	// gone receives a value for each connection that the entry closed while a
	// script waited for it.
	gone chan struct{}
	// refused is the connection on which a request was refused last.
	refused net.Conn
	// again is the listener of a server that accepts connections once more, or nil.
	again net.Listener
}

// listenAgain makes a server whose listener is closed accept connections, which it does not
// read.
func (b *backend) listenAgain() {
	again, err := net.Listen("tcp4", b.listener.Addr().String())
	if err != nil {
		return // the test fails then
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.again = again
}

func (b *backend) close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.again != nil {
		b.again.Close()
	}
}

// refusedOn returns the connection on which a request was refused last.
func (b *backend) refusedOn() net.Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

type script func(b *backend, r *http.Request, conn net.Conn) bool

func newBackend(t *testing.T, handle script) *backend {
	return newRawBackend(t, func(b *backend, conn net.Conn) { b.serve(conn, handle) })
}

// newRawBackend returns a server whose connections are served by a function, which closes
// them.
func newRawBackend(t *testing.T, serve func(b *backend, conn net.Conn)) *backend {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &backend{listener: listener, gone: make(chan struct{}, 10)}
	t.Cleanup(b.close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(b, conn)
		}
	}()
	return b
}

func (b *backend) serve(conn net.Conn, handle script) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		b.record(r)
		if !handle(b, r, conn) {
			return
		}
	}
}

// record counts a request that has arrived.
func (b *backend) record(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
}

func (b *backend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

func (b *backend) address() string { return b.listener.Addr().String() }

func write(conn net.Conn, format string, args ...any) {
	// A failed write shows up elsewhere in a test that closed the connection.
	_, _ = fmt.Fprintf(conn, strings.ReplaceAll(format, "\n", "\r\n"), args...)
}

// respond sends a signed response with a status and a body.
func respond(status int, body string) script {
	return func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, "HTTP/1.1 %d X\nId: %s\nSigned: 1\nContent-Length: %d\n\n%s", status, r.Header.Get("Id"), len(body), body)
		return true
	}
}

// refuse responds that the request was not executed.
func refuse(b *backend, r *http.Request, conn net.Conn) bool {
	b.mu.Lock()
	b.refused = conn
	b.mu.Unlock()
	write(conn, "HTTP/1.1 503 X\nId: %s\nNot-Run: 1\nContent-Length: 0\n\n", r.Header.Get("Id"))
	return true
}

// reset closes the connection without a response.
func reset(*backend, *http.Request, net.Conn) bool { return false }

const (
	streamHeader = "HTTP/1.1 200 OK\nId: %s\nSigned: 1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
	testKey      = "key"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// writeChunk writes a chunk without converting its line ends.
func writeChunk(conn net.Conn, text string) {
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
}

// events sends n events after the last one named in the request, and ends the
// stream if end is set.
func events(n int, end bool) script {
	return func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, streamHeader, r.Header.Get("Id"))
		last, err := strconv.Atoi(r.Header.Get("Last"))
		if err != nil {
			last = 0
		}
		for i := range n {
			writeChunk(conn, event(last+1+i))
		}
		if !end {
			return false
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	}
}

// testEntry is an entry with servers of a non-pipeline service or engines of a
// model.
type testEntry struct {
	*Entry
	server  *httptest.Server
	engines *testEngines
	// sent counts requests: each gets its own ID, like the attempts of real
	// clients.
	sent int
}

func newTestEntry(t *testing.T, route config.Route, backends ...*backend) *testEntry {
	engines := &testEngines{}
	e := New(Options{
		Settings: Settings{Instance: "e", RetryRatio: 0.2, RetryExtra: 1000, RetryWindow: 10 * time.Second},
		Engines:  engines, HeaderCodec: testCodec{}, Logger: &log.Logger{Level: log.PanicLevel}, Random: rand.New(rand.NewPCG(1, 2)),
	})
	e.applyTestConfiguration(route)
	servers := map[string]Server{}
	for i, b := range backends {
		id := fmt.Sprintf("s%d", i)
		servers[id] = Server{
			Instance: membership.Instance{ID: id, Service: route.Targets[0].Backend, Zone: "a", Address: b.address()},
			Slots:    10, Accelerator: "gpu", Layers: placement.Range{First: 0, Limit: 8},
		}
	}
	e.fleet.setServers(time.Now(), servers)
	server := serveClients(t, e, nil)
	return &testEntry{Entry: e, server: server, engines: engines}
}

// serveClients serves an entry on a listener as package daemon does; nil means a new one.
func serveClients(t *testing.T, e *Entry, l net.Listener) *httptest.Server {
	server := httptest.NewUnstartedServer(e)
	if l != nil {
		server.Listener.Close()
		server.Listener = l
	}
	server.Listener, server.Config.ConnContext = clientconn.NewListener(server.Listener), clientconn.WithConn
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func (e *Entry) applyTestConfiguration(route config.Route) {
	team := config.NewTeam()
	team.Name, team.KeyHashes = "team", []string{config.HashKey(testKey)}
	e.current.Store(newRevision(Configuration{Revision: 1, Document: &config.Document{
		Accelerators: []config.Accelerator{{Kind: "gpu", MemoryBytes: 1 << 40}},
		Models:       []config.Model{{Name: "llm", Layers: 8, BytesPerLayer: 1, KVBytesPerTokenLayer: 1, StepTime: time.Millisecond, PromptTokensPerSecond: 1e6}},
		Teams:        []config.Team{team},
		Routes:       []config.Route{route},
	}}))
}

func unaryRoute(call config.CallKind) config.Route {
	return config.Route{
		Name: "r", Host: "h", PathPrefix: "/", Targets: []config.RouteTarget{{Backend: "app", Weight: 1}}, CallKind: call,
		Timeout: 5 * time.Second, MaxAttempts: 2,
	}
}

func streamRoute(resumable bool) config.Route {
	r := unaryRoute(config.CallStream)
	r.Targets[0].Backend, r.Resumable = "llm", resumable
	return r
}

// requestKinds are routes for each kind of request.
var requestKinds = map[string]config.Route{
	"idempotent": unaryRoute(config.CallIdempotent), "at most once": unaryRoute(config.CallAtMostOnce),
	"stream": streamRoute(false), "resumable stream": streamRoute(true),
}

// newRequest returns a request of a client with an ID of its own.
func (e *testEntry) newRequest(ctx context.Context, t *testing.T, method string, body io.Reader) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, e.server.URL+"/x?q=1", body)
	assert.NilError(t, err)
	request.Host = "h"
	e.sent++
	request.Header.Set("Id", fmt.Sprintf("id-%d", e.sent))
	request.Header.Set("Key", testKey)
	return request
}

func (e *testEntry) send(t *testing.T, method string) (*http.Response, string, error) {
	t.Helper()
	request := e.newRequest(t.Context(), t, method, strings.NewReader("body"))
	response, err := e.server.Client().Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// preferFirst makes the entry try the first server before the second.
func (e *testEntry) preferFirst() {
	e.fleet.reserve(map[string]usage{"s1": {requests: 3, tokens: 1e6}})
}

// Guards against a request that is modified on its way, and against forwarding
// a client's API key to a server.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	b := newBackend(t, respond(200, "answer"))
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	response, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, body, "answer")
	r := b.requests[0]
	assert.Equal(t, r.Method+" "+r.RequestURI+" "+r.Host, "POST /x?q=1 h")
	assert.Equal(t, r.ContentLength, int64(4))
	assert.Equal(t, r.Header.Get("Team"), "team")
	assert.Equal(t, r.Header.Get("Instance"), "s0")
	assert.Equal(t, r.Header.Get("Key"), "")
}

// Guards against an at-most-once request that is resent after its connection
// broke, or that is reported as not executed.
func TestAtMostOnceIsNotRetried(t *testing.T) {
	first, second := newBackend(t, reset), newBackend(t, respond(200, "again"))
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), first, second)
	e.preferFirst()
	response, _, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, first.count(), 1)
	assert.Equal(t, second.count(), 0)
}

// Guards against forwarding a refusal although another server is free.
func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	first, second := newBackend(t, refuse), newBackend(t, respond(200, "second"))
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), first, second)
	e.preferFirst()
	_, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, body, "second")
}

// Guards against a retryable request that fails with its first server.
func TestIdempotentIsRetried(t *testing.T) {
	for name, broken := range map[string]script{"reset": reset, "failure": respond(500, "broken")} {
		first, second := newBackend(t, broken), newBackend(t, respond(200, "second"))
		e := newTestEntry(t, unaryRoute(config.CallIdempotent), first, second)
		e.preferFirst()
		_, body, err := e.send(t, http.MethodGet)
		assert.NilError(t, err)
		assert.Equal(t, body, "second", name)
	}
}

// Guards against forwarding a status that tells the client that the request
// was not executed, when the server sent it without the not-executed mark and
// may have executed the request.
func TestUnmarkedRefusalIsNotForwarded(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), newBackend(t, respond(status, "busy")))
		response, _, err := e.send(t, http.MethodPost)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusBadGateway, "server answered %d", status)
		assert.Equal(t, response.Header.Get("Signed"), "")
	}
}

// Guards against a late response to another request that reaches this client.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	b := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
		write(conn, "HTTP/1.1 200 OK\nId: other\nSigned: 1\nContent-Length: 5\n\nother")
		return respond(200, "mine")(b, r, conn)
	})
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	_, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, body, "mine")
	assert.Equal(t, len(e.pool.idle[b.address()]), 0)
}

// Guards against bytes after a response that are taken for the next response.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	b := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
		respond(200, "mine")(b, r, conn)
		// They may arrive before or after the next request is sent.
		write(conn, "HTTP/1.1 200 OK\nId: %s\nSigned: 1\nContent-Length: 5\n\nstale", r.Header.Get("Id"))
		return true
	})
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	for range 3 {
		_, body, err := e.send(t, http.MethodPost)
		assert.NilError(t, err)
		assert.Equal(t, body, "mine")
	}
}

// Guards against a truncated response that looks complete, and against an
// unsigned one.
func TestBrokenResponsesAreNotForwarded(t *testing.T) {
	for name, format := range map[string]string{
		"cut":      "HTTP/1.1 200 OK\nId: id-1\nSigned: 1\nContent-Length: 50\n\nbegin",
		"unsigned": "HTTP/1.1 200 OK\nId: id-1\nContent-Length: 5\n\nbegin",
		"noise":    "nonsense\n\n",
	} {
		b := newBackend(t, func(_ *backend, _ *http.Request, conn net.Conn) bool {
			write(conn, format)
			return false
		})
		response, body, err := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b).send(t, http.MethodPost)
		assert.NilError(t, err, name)
		assert.Equal(t, response.StatusCode, http.StatusBadGateway, name)
		assert.Assert(t, !strings.Contains(body, "begin"), name)
	}
}

// Guards against error responses with the wrong status: an unknown route or an
// unauthorized request must not look like a server failure.
func TestErrorResponses(t *testing.T) {
	e := newTestEntry(t, unaryRoute(config.CallIdempotent))
	response, _, err := e.send(t, http.MethodGet)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Retry-After"), "0.5")
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, e.server.URL+"/x", nil)
	assert.NilError(t, err)
	for host, want := range map[string]int{"h": http.StatusUnauthorized, "other": http.StatusNotFound} {
		request.Host = host
		response, err := e.server.Client().Do(request)
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, want)
	}
	rev := *e.current.Load()
	rev.Limits.HeaderBytes = 50
	e.current.Store(&rev)
	response, _, err = e.send(t, http.MethodGet)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	e.current.Store(nil)
	response, _, err = e.send(t, http.MethodGet)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

// Guards against refusals after all entries have restarted at once: clients come back
// before the configuration is read, and some come back only once.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	b := newBackend(t, respond(200, "answer"))
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	rev := e.current.Swap(nil)
	time.AfterFunc(2*startupCheckInterval, func() { e.current.Store(rev) })
	response, _, err := e.send(t, http.MethodGet)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a stream that is refused although its client would wait: five engines
// are full for a moment, the sixth is not.
func TestStreamOutlivesRefusalsOfFullEngines(t *testing.T) {
	full := []*backend{}
	for range 5 {
		full = append(full, newBackend(t, refuse))
	}
	e := newTestEntry(t, streamRoute(true), append(full, newBackend(t, events(2, true)))...)
	response, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, body, eventsText(2))
}

func eventsText(n int) string {
	var all strings.Builder
	for i := range n {
		all.WriteString(event(i + 1))
	}
	return all.String()
}

// Guards against a stream that loses, repeats or merges events when its engine
// fails and another one resumes it.
func TestStreamResumesAfterLastEvent(t *testing.T) {
	first := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
		events(3, false)(b, r, conn)
		writeChunk(conn, "id: 4\ndata: hal")
		return false
	})
	second := newBackend(t, events(2, true))
	e := newTestEntry(t, streamRoute(true), first, second)
	e.preferFirst()
	response, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, body, eventsText(5))
	assert.Equal(t, second.requests[0].Header.Get("Last"), "3")
}

// Guards against a non-resumable stream that looks complete after it broke
// off.
func TestNonResumableStreamBreaksOff(t *testing.T) {
	first, second := newBackend(t, events(3, false)), newBackend(t, events(2, true))
	e := newTestEntry(t, streamRoute(false), first, second)
	e.preferFirst()
	_, _, err := e.send(t, http.MethodPost)
	assert.Assert(t, err != nil)
	assert.Equal(t, second.count(), 0)
}

// Guards against an engine that keeps working after its client has
// disconnected.
func TestClientDisconnectEndsAttempt(t *testing.T) {
	started := make(chan struct{})
	b := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
		write(conn, streamHeader, r.Header.Get("Id"))
		writeChunk(conn, event(1))
		close(started)
		_, _ = conn.Read(make([]byte, 1))
		b.gone <- struct{}{}
		return false
	})
	e := newTestEntry(t, streamRoute(true), b)
	ctx, cancel := context.WithCancel(t.Context())
	request := e.newRequest(ctx, t, http.MethodPost, nil)
	response, err := e.server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	<-started
	cancel()
	<-b.gone
	assert.Equal(t, b.count(), 1)
}

// Guards against a stream that waits for a dead engine on its path instead of
// taking another path.
func TestStreamIsReroutedAroundStalledEngine(t *testing.T) {
	testReroute(t, func(e *testEntry, dead string) {
		e.engines.mu.Lock()
		defer e.engines.mu.Unlock()
		e.engines.stalled = []StalledRequest{{RequestID: "id-1", BlockedOn: dead}}
	})
}

// Guards against a stream that is silent until its first engine reports what
// it waits for, although refusals of other requests have already named the
// dead engine.
func TestStreamIsReroutedAroundSuspect(t *testing.T) {
	testReroute(t, func(e *testEntry, _ string) {
		e.fleet.applyPeerSuspects(time.Now().Add(time.Minute), []uint64{serverHash("dead")})
	})
}

// Guards against a stream whose new path contains a second dead engine.
func TestRerouteAvoidsUnavailableStage(t *testing.T) {
	testReroute(t, func(e *testEntry, dead string) {
		second := testServer("second", 4, 8)
		second.Service, second.Accelerator, second.Slots = "llm", "gpu", 10
		servers := e.fleet.snapshot()
		servers["second"] = second
		e.fleet.setServers(time.Now(), servers)
		e.engines.mu.Lock()
		defer e.engines.mu.Unlock()
		e.engines.unavailable = map[string]bool{second.Address: true}
		e.engines.stalled = []StalledRequest{{RequestID: "id-1", BlockedOn: dead}}
	})
}

// deadAddress is that of an engine that does not respond.
const deadAddress = "127.0.0.1:1"

// useEnginesWithSpare makes streams run through a first engine and one that is dead, whose
// layers a third engine, which is not preferred, holds as well.
func (e *testEntry) useEnginesWithSpare(head *backend) {
	servers := map[string]Server{}
	for id, layers := range map[string]placement.Range{"head": {First: 0, Limit: 4}, "dead": {First: 4, Limit: 8}, "spare": {First: 4, Limit: 8}} {
		servers[id] = Server{
			Instance: membership.Instance{ID: id, Service: "llm", Zone: "a", Address: head.address()},
			Slots:    10, Accelerator: "gpu", Layers: layers,
		}
	}
	lost := servers["dead"]
	lost.Address = deadAddress
	servers["dead"] = lost
	e.fleet.setServers(time.Now(), servers)
	e.fleet.reserve(map[string]usage{"spare": {requests: 5, tokens: 1e6}})
}

// testReroute runs a stream whose second engine stops, and expects it to
// continue along another path once prepare has informed the entry of the dead
// engine.
func testReroute(t *testing.T, prepare func(e *testEntry, dead string)) {
	t.Helper()
	resume := make(chan struct{})
	var e *testEntry
	head := newBackend(t, func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, streamHeader, r.Header.Get("Id"))
		writeChunk(conn, event(1))
		prepare(e, deadAddress)
		<-resume
		writeChunk(conn, event(2))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	e = newTestEntry(t, streamRoute(true), head)
	e.useEnginesWithSpare(head)
	e.engines.onReroute = func() { close(resume) }
	_, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, body, eventsText(2))
	assert.Equal(t, len(e.engines.rerouted), 1)
	assert.Equal(t, e.engines.rerouted[0][1].Engine, "spare")
	assert.Equal(t, head.count(), 1)
}

// Guards against requests that hold capacity after they have ended.
func TestReservationsAreReleased(t *testing.T) {
	first, second := newBackend(t, events(1, false)), newBackend(t, events(1, true))
	e := newTestEntry(t, streamRoute(true), first, second)
	for range 3 {
		_, _, _ = e.send(t, http.MethodPost)
	}
	e.server.Close()
	assert.Equal(t, len(e.fleet.local), 0)
}

// Guards against aborting the last permitted attempt of a stream after a
// silence: there is no better option, and its engine may still continue.
func TestLastAttemptIsNotAbandonedForSilence(t *testing.T) {
	first := newBackend(t, events(2, false))
	second := newBackend(t, func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, streamHeader, r.Header.Get("Id"))
		writeChunk(conn, event(3))
		time.Sleep(maxSilence + maxStallCheckDelay + 200*time.Millisecond)
		writeChunk(conn, event(4))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	e := newTestEntry(t, streamRoute(true), first, second)
	e.preferFirst()
	_, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, body, eventsText(4))
}

// Guards against abandoning an attempt for a retry that finds no path: the
// engine was silent for a while and would have continued.
func TestAttemptIsNotAbandonedWithoutAlternativePath(t *testing.T) {
	only := newBackend(t, func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, streamHeader, r.Header.Get("Id"))
		writeChunk(conn, event(1))
		time.Sleep(maxSilence + maxStallCheckDelay + 200*time.Millisecond)
		writeChunk(conn, event(2))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	e := newTestEntry(t, streamRoute(true), only)
	_, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, body, eventsText(2))
	assert.Equal(t, only.count(), 1)
}

// Guards against a stream that is aborted because the retry budget is
// momentarily exhausted.
func TestStartedStreamWaitsForRetryBudget(t *testing.T) {
	first, second := newBackend(t, events(2, false)), newBackend(t, events(1, true))
	e := newTestEntry(t, streamRoute(true), first, second)
	e.preferFirst()
	budget := e.budget("llm")
	for budget.Take(time.Now(), false) {
	}
	go func() {
		time.Sleep(4 * pathRetryInterval)
		for range 20 {
			budget.RecordRequest(time.Now())
		}
	}()
	_, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, body, eventsText(3))
}
