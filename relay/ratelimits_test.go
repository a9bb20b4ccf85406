package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
	"github.com/sapphirefield/sapphirefield/ratelimit"
)

// The promise about a stated limit: in any limitWindow, a server gets at most
// limitFactor times its limit, and limitExtra requests more, from the entries that
// were told toldDelay before. A restart excuses an entry for restartExcuse.
const (
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitExtra    = 5
	toldDelay     = 500 * time.Millisecond
	restartExcuse = 3 * time.Second
)

// limitedServer is a server or engine that states a rate limit in all answers. It is
// reached through net.Pipe, so that the test can run in virtual time.
type limitedServer struct {
	limit float64
	mu    sync.Mutex
	// told is when each entry first got an answer with the limit since its start.
	told     map[string]time.Time
	arrivals []limitedArrival
	served   int
	conns    []net.Conn
}

type limitedArrival struct {
	at    time.Time
	entry string
}

func newLimitedServer(limit float64) *limitedServer {
	return &limitedServer{limit: limit, told: map[string]time.Time{}}
}

// arrive records a request of an entry.
func (s *limitedServer) arrive(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.served++
	if at, told := s.told[entry]; told && now.Sub(at) >= toldDelay {
		s.arrivals = append(s.arrivals, limitedArrival{now, entry})
	}
	if _, told := s.told[entry]; !told {
		s.told[entry] = now
	}
}

// restart forgets that an entry was told.
func (s *limitedServer) restart(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[entry] = time.Now().Add(restartExcuse - toldDelay)
}

// busiestWindow returns the largest number of requests in a window.
func (s *limitedServer) busiestWindow() (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, last := range s.arrivals {
		first := slices.IndexFunc(s.arrivals, func(a limitedArrival) bool { return last.at.Sub(a.at) < limitWindow })
		most = max(most, i-first+1)
	}
	return most
}

func (s *limitedServer) allowed() int {
	return int(limitFactor*s.limit*limitWindow.Seconds()) + limitExtra
}

// dial returns a connection of an entry to the server.
func (s *limitedServer) dial(t *testing.T, entry string, handle script) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		s.mu.Lock()
		s.conns = append(s.conns, far)
		s.mu.Unlock()
		b := &backend{gone: make(chan struct{}, 1)}
		go b.serve(far, func(b *backend, r *http.Request, conn net.Conn) bool {
			s.arrive(entry)
			return handle(b, r, conn)
		})
		return near, nil
	}
}

// close ends all connections.
func (s *limitedServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.Close()
	}
}

// limitedEngineClient counts status queries as requests of an entry.
type limitedEngineClient struct {
	testEngines
	server *limitedServer
	entry  string
}

func (c *limitedEngineClient) Status(context.Context, string) (EngineStatus, error) {
	c.server.arrive(c.entry)
	return EngineStatus{Layers: placement.Range{First: 0, Limit: 8}, RateLimit: strconv.FormatFloat(c.server.limit, 'f', -1, 64)}, nil
}

// limitedFleet is a number of entries before one limited server.
type limitedFleet struct {
	t       *testing.T
	server  *limitedServer
	route   config.Route
	store   *scriptedStore
	entries []*peers
	random  *rand.Rand
	sent    atomic.Int64
}

func newLimitedFleet(t *testing.T, server *limitedServer, route config.Route, entries int) *limitedFleet {
	f := &limitedFleet{t: t, server: server, route: route, store: newScriptedStore(), random: rand.New(rand.NewPCG(1, 2))}
	for i := range entries {
		f.store.add(TopicEntries, entryName(i), entryRecord{Zone: "a"})
	}
	for i := range entries {
		f.entries = append(f.entries, f.startEntry(i))
	}
	return f
}

func entryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

// startEntry starts an entry that knows nothing but the store.
func (f *limitedFleet) startEntry(i int) *peers {
	name := entryName(i)
	e := New(Options{
		Settings: Settings{Instance: name, RetryRatio: 0.2, RetryExtra: 1000, RetryWindow: 10 * time.Second}, Store: f.store,
		Engines: &limitedEngineClient{server: f.server, entry: name}, HeaderCodec: testCodec{},
		Logger: &log.Logger{Level: log.PanicLevel}, Random: rand.New(rand.NewPCG(1, uint64(i))),
	})
	e.applyTestConfiguration(f.route)
	service := f.route.Targets[0].Backend
	e.fleet.setServers(time.Now(), map[string]Server{"s": {
		Instance: membership.Instance{ID: "s", Service: service, Zone: "a", Address: "s:1"},
		Slots:    1000, Accelerator: "gpu", Layers: placement.Range{First: 0, Limit: 8},
	}})
	limit := strconv.FormatFloat(f.server.limit, 'f', -1, 64)
	handle := respondWith(200, "Limit: "+limit+"\n", "done")
	if f.route.CallKind == config.CallStream {
		handle = func(_ *backend, r *http.Request, conn net.Conn) bool {
			write(conn, "HTTP/1.1 200 OK\nId: %s\nSigned: 1\nLimit: %s\nTransfer-Encoding: chunked\n\n", r.Header.Get("Id"), limit)
			writeChunk(conn, event(1))
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return true
		}
	}
	e.pool.dial = f.server.dial(f.t, name, handle)
	p := &peers{Entry: e, startNanos: time.Now().UnixNano(), addresses: map[string]peerAddress{}}
	batch, err := f.store.ReadLatest(f.t.Context(), TopicEntries)
	assert.NilError(f.t, err)
	p.applyEntries(update{records: batch.Records, complete: true})
	return p
}

// send sends a request through an entry and waits for its answer.
func (f *limitedFleet) send(p *peers) {
	method := http.MethodGet
	if f.route.CallKind == config.CallAtMostOnce {
		method = http.MethodPost
	}
	r := httptest.NewRequestWithContext(f.t.Context(), method, "http://h/x", strings.NewReader(""))
	r.Header.Set("Id", fmt.Sprint("id-", f.sent.Add(1)))
	r.Header.Set("Key", testKey)
	// A request without an answer ends with http.ErrAbortHandler.
	defer func() { _ = recover() }()
	p.ServeHTTP(httptest.NewRecorder(), r)
}

// exchangeMessages delivers a message of each entry to all others.
func (f *limitedFleet) exchangeMessages(sequence int64) {
	for _, from := range f.entries {
		m, err := decodeMessage(from.message(sequence).encode(demandVersion))
		assert.NilError(f.t, err)
		for _, to := range f.entries {
			if to != from {
				to.handleMessage(m, netip.AddrPort{})
			}
		}
	}
}

// run plays a time of traffic that uses every entry: in bursts, with quiet times
// between them, and restarts half of the entries in the middle.
func (f *limitedFleet) run(duration time.Duration, connected bool) {
	const step = 100 * time.Millisecond
	holder := newPlacer(f.entries[0].Entry)
	holder.leaseTerm.Store(1)
	for i := range int(duration / step) {
		if connected {
			f.exchangeMessages(int64(i) + 1)
		}
		if i == int(duration/step)/2 {
			for n := range len(f.entries) / 2 {
				n = len(f.entries) - 1 - n
				f.server.restart(entryName(n))
				f.entries[n] = f.startEntry(n)
			}
		}
		holder.pollEngines(f.t.Context())
		var wg sync.WaitGroup
		// Three quiet seconds in each seven: shares that add up while nobody needs
		// them would be spent at once.
		if i/10%7 < 4 {
			for _, p := range f.entries {
				for range 1 + f.random.IntN(3) {
					wg.Go(func() { f.send(p) })
				}
			}
		}
		wg.Wait()
		time.Sleep(step)
	}
}

// Guards against a server in need that gets several times the limit which it states,
// from entries that have passed its answers on: with few entries and with many, that
// hear each other or are cut off from each other, while half of them restart.
func TestStatedLimitHoldsForAllEntriesTogether(t *testing.T) {
	routes := map[string]config.Route{
		"idempotent": unaryRoute(config.CallIdempotent), "at most once": unaryRoute(config.CallAtMostOnce), "stream": streamRoute(true),
	}
	for kind, route := range routes {
		for _, entries := range []int{4, 30} {
			for _, connected := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d entries/connected %t", kind, entries, connected), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						server := newLimitedServer(2)
						f := newLimitedFleet(t, server, route, entries)
						defer server.close()
						f.run(42*time.Second, connected)
						assert.Assert(t, server.busiestWindow() <= server.allowed(), "%d requests in a window, %d allowed", server.busiestWindow(), server.allowed())
						assert.Assert(t, server.served > 0)
					})
				})
			}
		}
	}
}

// Guards against an engine that gets more requests than its limit as the first of paths,
// against an engine in need that is used where another one is as good, and against
// streams that are refused because a later engine of every path has a limit: it gets no
// request from an entry.
func TestStatedLimitOfEnginesOnPaths(t *testing.T) {
	const rate = 2.0
	const duration, step = 40 * time.Second, 50 * time.Millisecond
	start := time.Now()
	request := pipeline.RelayRequest{PromptTokens: 100, AnswerTokens: 50}
	engine := func(id string, first, limit int) Server {
		s := testServer(id, first, limit)
		s.Service, s.Accelerator, s.Slots = "llm", "gpu", 1000
		return s
	}
	// run returns when paths went through each engine.
	run := func(limited string, servers ...Server) (passed map[string][]time.Duration, refused int, e *testEntry) {
		e = newTestEntry(t, streamRoute(true))
		known := map[string]Server{}
		for _, s := range servers {
			known[s.ID] = s
		}
		e.fleet.setServers(start, known)
		e.fleet.setLimitShare(start, ratelimit.Share{Entries: 1})
		e.fleet.observeRateLimit(start, limited, start, rate)
		passed = map[string][]time.Duration{}
		for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
			hops, reserved, err := e.fleet.choosePath(start.Add(elapsed), e.current.Load(), "llm", "team", request)
			if err != nil {
				refused++
				continue
			}
			reserved.release()
			for _, h := range hops {
				passed[h.Engine] = append(passed[h.Engine], elapsed)
			}
		}
		return passed, refused, e
	}
	first, last, other := engine("first", 0, 4), engine("last", 4, 8), engine("other", 4, 8)

	passed, refused, e := run("first", first, last)
	for i, at := range passed["first"] {
		n := 0
		for _, earlier := range passed["first"][:i+1] {
			if at-earlier < limitWindow {
				n++
			}
		}
		assert.Assert(t, n <= int(limitFactor*rate*limitWindow.Seconds())+limitExtra, "%d paths begin at the engine", n)
	}
	assert.Assert(t, float64(len(passed["first"])) >= 0.9*rate*duration.Seconds(), "only %d paths begin there", len(passed["first"]))
	assert.Assert(t, refused > 0)
	// A stream that begins there already goes on without a slot.
	going := request
	going.CurrentPath = []pipeline.Hop{{Engine: "first", First: 0, Limit: 4}, {Engine: "last", First: 4, Limit: 8}}
	_, _, err := e.fleet.choosePath(start.Add(duration), e.current.Load(), "llm", "team", going)
	assert.NilError(t, err)

	passed, refused, _ = run("last", first, last)
	assert.Equal(t, refused, 0)
	assert.Equal(t, len(passed["last"]), int(duration/step))

	passed, refused, _ = run("last", first, last, other)
	assert.Equal(t, refused, 0)
	assert.Assert(t, 5*len(passed["last"]) < len(passed["other"]), "%d paths through the engine in need, %d through the other", len(passed["last"]), len(passed["other"]))
}

// Guards against a limit that an entry learns only from answers of its own, and against
// one that outlives the process of the server that stated it.
func TestLimitIsToldToOtherEntriesAndEndsWithRestart(t *testing.T) {
	now := time.Now()
	server := testServer("s", 0, 8)
	entries := []*Entry{newStoreEntry(newScriptedStore()), newStoreEntry(newScriptedStore())}
	for _, e := range entries {
		e.fleet.setServers(now, map[string]Server{"s": server})
	}
	entries[0].observeRateLimit("s", "r", "1.3", now)
	m, err := decodeMessage(message{limits: entries[0].fleet.limitReports(time.Now())}.encode(demandVersion))
	assert.NilError(t, err)
	entries[1].applyPeerLimits("other", m.limits)
	assert.Assert(t, entries[1].fleet.isLimited("s"))
	entries[1].observeRateLimit("s", "r", "not a number", time.Now())
	assert.Assert(t, entries[1].fleet.isLimited("s"))
	server.StartTimeMillis++
	entries[1].fleet.setServers(now, map[string]Server{"s": server})
	assert.Assert(t, !entries[1].fleet.isLimited("s"))
	// The report is about the process before.
	entries[1].applyPeerLimits("other", m.limits)
	assert.Assert(t, !entries[1].fleet.isLimited("s"))
}

// Guards against orders that never come because their status query has used the slot,
// and against queries and orders that come on top of the limit.
func TestControlRequestsCountForLimit(t *testing.T) {
	server := newLimitedServer(2)
	e := newStoreEntry(newScriptedStore())
	s := testServer("s", 0, 8)
	e.fleet.setServers(time.Now(), map[string]Server{"s": s})
	client := &controlClient{EngineClient: &limitedEngineClient{server: server, entry: "e"}, entry: e, sent: metrics.NewCounter()}
	_, err := client.Status(t.Context(), s.Address)
	assert.NilError(t, err)
	assert.Assert(t, e.fleet.isLimited("s"))
	_, err = client.Status(t.Context(), s.Address)
	for ; err == nil; _, err = client.Status(t.Context(), s.Address) {
	}
	assert.ErrorIs(t, err, errServerLimited)
	before := e.fleet.limitWait(time.Now(), "model")
	outcome, err := client.AssignLayers(t.Context(), s, placement.Range{}, 0)
	assert.NilError(t, err)
	assert.Equal(t, outcome, OrderStarted)
	assert.Assert(t, e.fleet.limitWait(time.Now(), "model") > before)
	_, err = client.Reroute(t.Context(), s, "r", nil)
	assert.ErrorIs(t, err, errServerLimited)
}

// Guards against clients that are told to return long after the limit leaves room, or
// all at once.
func TestRefusalForLimitStatesWhenToReturn(t *testing.T) {
	b := newBackend(t, respondWith(200, "Limit: 0.5\n", "done"))
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	e.fleet.setLimitShare(time.Now(), ratelimit.Share{Entries: 4})
	after := map[string]bool{}
	for range 6 {
		response, _, err := e.send(t, http.MethodPost)
		assert.NilError(t, err)
		if response.StatusCode == http.StatusOK {
			continue
		}
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 0 && seconds <= 2*maxLimitRetryAfter.Seconds(), "%v", seconds)
		after[response.Header.Get("Retry-After")] = true
	}
	assert.Assert(t, len(after) > 1)
	assert.Assert(t, b.count() <= 2, "%d requests", b.count())
}

// Guards against an entry whose clients need a limited server alone, and which refuses
// most of them while the other entries leave their shares unused.
func TestUnusedSharesServeOtherEntries(t *testing.T) {
	for _, entries := range []int{4, 30} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newLimitedServer(2)
				f := newLimitedFleet(t, server, unaryRoute(config.CallAtMostOnce), entries)
				defer server.close()
				const duration, step = 60 * time.Second, 300 * time.Millisecond
				for i := range int(duration / step) {
					f.exchangeMessages(int64(i) + 1)
					for range 3 {
						f.send(f.entries[0])
						time.Sleep(step / 3)
					}
				}
				assert.Assert(t, server.busiestWindow() <= server.allowed(), "%d requests in a window, %d allowed", server.busiestWindow(), server.allowed())
				const useful = 0.9
				assert.Assert(t, float64(server.served) >= useful*server.limit*duration.Seconds(), "%d served", server.served)
			})
		})
	}
}
