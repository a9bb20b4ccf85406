package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/quarantine"
)

// crashingBackends are engines that end when they begin to answer a request with
// the part "bad" or the header Crash.
type crashingBackends struct {
	// unary is set if they are servers of a non-pipeline service.
	unary bool
	// backAtOnce is set if they restart so fast that their ports stay open.
	backAtOnce bool
	backends   []*backend
	mu         sync.Mutex
	conns      map[*backend][]net.Conn
	crashed    map[string]bool
	// arrived counts the requests with the part that reached an engine.
	arrived int
	// newIDs is set if the processes of a server that restarts have different IDs. ids are
	// those that its requests must name, by its address.
	newIDs bool
	ids    map[string]string
	// answer is given in place of a crash, and arrival is called before one, unless they
	// are nil.
	answer  script
	arrival func()
}

// setAnswer makes servers answer the bad requests of a round, if choose gives an answer.
func (c *crashingBackends) setAnswer(choose func(round int) script, round int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = nil
	if choose != nil {
		c.answer = choose(round)
	}
}

func (c *crashingBackends) onArrival(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrival = f
}

func newCrashingBackends(t *testing.T, n int) *crashingBackends {
	c := &crashingBackends{conns: map[*backend][]net.Conn{}, crashed: map[string]bool{}, ids: map[string]string{}}
	for range n {
		c.backends = append(c.backends, newBackend(t, c.handle))
	}
	return c
}

func (c *crashingBackends) handle(b *backend, r *http.Request, conn net.Conn) bool {
	c.mu.Lock()
	c.conns[b] = append(c.conns[b], conn)
	bad := strings.Contains(r.Header.Get("Parts"), "bad,") || r.Header.Get("Crash") != ""
	answer, arrival := c.answer, c.arrival
	if id, restarted := c.ids[b.address()]; restarted && id != r.Header.Get("Instance") {
		c.mu.Unlock()
		write(conn, "HTTP/1.1 421 X\nId: %s\nNot-Run: 1\nContent-Length: 0\n\n", r.Header.Get("Id"))
		return true
	}
	if bad && answer == nil {
		c.arrived++
		c.crashed[b.address()] = true
		if c.newIDs {
			c.ids[b.address()] = r.Header.Get("Instance") + "x"
		}
	}
	c.mu.Unlock()
	if bad && answer != nil {
		return answer(b, r, conn)
	}
	if bad && arrival != nil {
		arrival()
		time.Sleep(clientLeaveTime)
	}
	switch {
	case !bad && c.unary:
		return respond(200, "sound")(b, r, conn)
	case !bad:
		return events(3, true)(b, r, conn)
	case !c.unary:
		write(conn, streamHeader, r.Header.Get("Id"))
	}
	if !c.backAtOnce {
		b.listener.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.conns[b] {
		other.Close()
	}
	return false
}

func (c *crashingBackends) arrivals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrived
}

// clientLeaveTime is how long a server works on a request after its client has left.
const clientLeaveTime = 20 * time.Millisecond

// crashedEngines reports ErrNoResponse for engines that have ended.
type crashedEngines struct {
	testEngines
	backends *crashingBackends
}

func (e *crashedEngines) Status(ctx context.Context, address string) (EngineStatus, error) {
	e.backends.mu.Lock()
	crashed := e.backends.crashed[address] && !e.backends.backAtOnce
	_, restarted := e.backends.ids[address]
	e.backends.mu.Unlock()
	if crashed {
		return EngineStatus{}, ErrNoResponse
	}
	status, err := e.testEngines.Status(ctx, address)
	if restarted {
		status.StartTimeMillis = 1
	}
	return status, err
}

// sendParts sends a stream request with a prompt of the given parts.
func (e *testEntry) sendParts(t *testing.T, parts string) (status int, body string) {
	t.Helper()
	request := e.newRequest(t.Context(), t, http.MethodPost, nil)
	request.Header.Set("Parts", parts)
	response, err := e.server.Client().Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(data)
}

// Guards against requests with one prompt part that crash engine after engine,
// each request a new one, while others with the same first part are sound.
func TestPromptPartThatCrashesEnginesIsBlocked(t *testing.T) {
	c := newCrashingBackends(t, 12)
	e := newTestEntry(t, streamRoute(true), c.backends...)
	engines := &crashedEngines{backends: c}
	e.Entry.engines, e.stallChecker.engines = engines, engines
	for i := range 10 {
		status, body := e.sendParts(t, fmt.Sprintf("shared,good,own%d", i))
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, strings.Count(body, "id:"), 3)
		e.sendParts(t, fmt.Sprintf("shared,bad,own-bad%d", i))
		// Suspicions are judged once those of other entries have had time to arrive.
		e.crashes.decide(time.Now().Add(time.Second))
	}
	const permitted = 5
	assert.Assert(t, c.arrivals() <= permitted, "%d requests with the part reached an engine", c.arrivals())
	status, _ := e.sendParts(t, "shared,bad,last")
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// Guards against a request that crashed its engine and is said not to have run.
func TestRequestThatCrashedItsEngineIsNotRefused(t *testing.T) {
	c := newCrashingBackends(t, 4)
	e := newTestEntry(t, streamRoute(true), c.backends...)
	engines := &crashedEngines{backends: c}
	e.Entry.engines, e.stallChecker.engines = engines, engines
	status, _ := e.sendParts(t, "shared,bad,own")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, c.arrivals(), 2)
	// Two engines have crashed under the part: the next request is not repeated.
	status, _ = e.sendParts(t, "shared,bad,other")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, c.arrivals(), 3)
}

// exchangeEvidence gives each entry what the others tell.
func exchangeEvidence(now time.Time, entries ...*Entry) {
	for _, from := range entries {
		// An entry sends one message to all others.
		evidence := from.crashes.evidence(now)
		for _, to := range entries {
			if from != to {
				to.crashes.applyPeerEvidence(now, evidence)
			}
		}
	}
}

// Guards against entries that each see too few crashes to block a part.
func TestEntriesShareSuspicions(t *testing.T) {
	now := time.Now()
	entries := []*Entry{newStoreEntry(newScriptedStore()), newStoreEntry(newScriptedStore()), newStoreEntry(newScriptedStore())}
	// Only one entry knows that the first part is sound.
	entries[0].crashes.observeSound(now, []string{"shared"})
	for i, e := range entries {
		e.crashes.recordCrash(now, "r", crashedEngine{"engine", int64(i)}, []string{"shared", "bad"})
	}
	exchangeEvidence(now, entries...)
	exchangeEvidence(now, entries...)
	now = now.Add(time.Second)
	for _, e := range entries {
		e.crashes.decide(now)
		_, bad := e.crashes.blocked(now, []string{"bad"})
		_, shared := e.crashes.blocked(now, []string{"shared"})
		assert.Assert(t, bad && !shared)
	}
}

// Guards against an entry that blocks a part which another entry knows to be sound,
// and against a block that entries give back to each other.
func TestBlockOfSoundPartIsTakenBack(t *testing.T) {
	now := time.Now()
	wrong, right, third := newStoreEntry(newScriptedStore()), newStoreEntry(newScriptedStore()), newStoreEntry(newScriptedStore())
	wrong.crashes.adopt(now, quarantine.Block{Part: "a", Remaining: time.Minute}, "test")
	third.crashes.adopt(now, quarantine.Block{Part: "a", Remaining: time.Minute}, "test")
	right.crashes.observeSound(now, []string{"a"})
	for range 2 {
		exchangeEvidence(now, wrong, right, third)
	}
	for _, e := range []*Entry{wrong, right, third} {
		_, blocked := e.crashes.blocked(now, []string{"a"})
		assert.Assert(t, !blocked)
	}
}

// Guards against a part that crashes engines anew after all entries have ended at
// the same moment.
func TestBlockOutlivesEntries(t *testing.T) {
	store := newScriptedStore()
	first := newStoreEntry(store)
	now := time.Now()
	for i := range 3 {
		first.crashes.recordCrash(now, "r", crashedEngine{"engine", int64(i)}, []string{"bad"})
	}
	first.crashes.decide(now.Add(time.Second))
	first.crashes.saveChanges(t.Context())
	store.add(TopicBlockedParts, "over", blockRecord{now.Add(-time.Second).UnixMilli()})

	second := newStoreEntry(store)
	batch, err := store.ReadLatest(t.Context(), TopicBlockedParts)
	assert.NilError(t, err)
	second.crashes.applyRecords(now, batch.Records)
	block, blocked := second.crashes.blocked(now, []string{"other", "bad"})
	assert.Assert(t, blocked)
	assert.Equal(t, block.Part, "bad")
	_, blocked = second.crashes.blocked(now, []string{"over"})
	assert.Assert(t, !blocked)
	// The record of a block that is over is deleted.
	second.crashes.saveChanges(t.Context())
	assert.DeepEqual(t, store.topics[TopicBlockedParts][2], Record{Key: "over"})
}

// Guards against a record or message of another program that ends the process.
func TestUnreadableBlocksAreIgnored(t *testing.T) {
	e := newStoreEntry(newScriptedStore())
	e.crashes.applyRecords(time.Now(), []Record{{Key: "a", Value: []byte("x")}, {Key: "b"}, {Key: "c", Value: []byte("{}")}})
	e.crashes.applyPeerEvidence(time.Now(), evidence{blocks: []quarantine.Block{{Part: "d", Remaining: -time.Second}}})
	for _, part := range []string{"a", "b", "c", "d"} {
		_, blocked := e.crashes.blocked(time.Now(), []string{part})
		assert.Assert(t, !blocked, part)
	}
}

// Guards against a class of requests that is refused for minutes because its shared
// part was blocked in error while no request with it could be answered.
func TestBlockOfSoundPartEndsWithProbe(t *testing.T) {
	b := newBackend(t, events(3, true))
	e := newTestEntry(t, streamRoute(true), b)
	e.crashes.adopt(time.Now(), quarantine.Block{Part: "shared", Remaining: quarantine.BlockTime - 11*time.Second}, "test")
	status, _ := e.sendParts(t, "shared,own1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	e.leaseTerm.Store(1)
	status, _ = e.sendParts(t, "shared,own2")
	assert.Equal(t, status, http.StatusOK)
	e.leaseTerm.Store(0)
	status, _ = e.sendParts(t, "shared,own3")
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a probe that crashes a second engine, or a second probe at once.
func TestProbeIsNotRepeated(t *testing.T) {
	c := newCrashingBackends(t, 4)
	e := newTestEntry(t, streamRoute(true), c.backends...)
	engines := &crashedEngines{backends: c}
	e.Entry.engines, e.stallChecker.engines = engines, engines
	e.leaseTerm.Store(1)
	e.crashes.adopt(time.Now(), quarantine.Block{Part: "bad", Remaining: quarantine.BlockTime - 11*time.Second}, "test")
	for range 3 {
		e.sendParts(t, "shared,bad,own")
	}
	assert.Equal(t, c.arrivals(), 1)
}
