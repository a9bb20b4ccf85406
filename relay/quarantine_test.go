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

	"gotest.tools/v3/assert"
)

// crashingBackends are engines that end when they begin to answer a request with
// the part "bad".
type crashingBackends struct {
	backends []*backend
	mu       sync.Mutex
	conns    map[*backend][]net.Conn
	crashed  map[string]bool
	// arrived counts the requests with the part that reached an engine.
	arrived int
}

func newCrashingBackends(t *testing.T, n int) *crashingBackends {
	c := &crashingBackends{conns: map[*backend][]net.Conn{}, crashed: map[string]bool{}}
	for range n {
		c.backends = append(c.backends, newBackend(t, c.handle))
	}
	return c
}

func (c *crashingBackends) handle(b *backend, r *http.Request, conn net.Conn) bool {
	c.mu.Lock()
	c.conns[b] = append(c.conns[b], conn)
	bad := strings.Contains(r.Header.Get("Parts"), "bad,")
	if bad {
		c.arrived++
		c.crashed[b.address()] = true
	}
	c.mu.Unlock()
	if !bad {
		return events(3, true)(b, r, conn)
	}
	write(conn, streamHeader, r.Header.Get("Id"))
	b.listener.Close()
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

// crashedEngines reports ErrNoResponse for engines that have ended.
type crashedEngines struct {
	testEngines
	backends *crashingBackends
}

func (e *crashedEngines) Status(ctx context.Context, address string) (EngineStatus, error) {
	e.backends.mu.Lock()
	crashed := e.backends.crashed[address]
	e.backends.mu.Unlock()
	if crashed {
		return EngineStatus{}, ErrNoResponse
	}
	return e.testEngines.Status(ctx, address)
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
	}
	const permitted = 5
	assert.Assert(t, c.arrivals() <= permitted, "%d requests with the part reached an engine", c.arrivals())
	status, _ := e.sendParts(t, "shared,bad,last")
	assert.Equal(t, status, http.StatusServiceUnavailable)
}
