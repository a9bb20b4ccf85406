package relay

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
)

const (
	// tolerableCrashes is the number of crashes after which a request must be known,
	// and lateArrivals how often it may reach servers thereafter.
	tolerableCrashes = 3
	lateArrivals     = 3
)

// newCrashTest returns entries before the same servers, which end when they begin to run
// a request with the header Crash.
func newCrashTest(t *testing.T, route config.Route, servers, entries int) (*crashingBackends, []*testEntry) {
	c := newCrashingBackends(t, servers)
	c.unary = route.CallKind != config.CallStream
	var all []*testEntry
	for range entries {
		e := newTestEntry(t, route, c.backends...)
		engines := &crashedEngines{backends: c}
		e.Entry.engines, e.stallChecker.engines = engines, engines
		all = append(all, e)
	}
	return c, all
}

// sendContent sends a request with a body, one that crashes servers or a sound one. parts
// are those of its prompt, or empty.
func (e *testEntry) sendContent(t *testing.T, body, parts string, crash bool) int {
	t.Helper()
	request := e.newRequest(t.Context(), t, http.MethodPost, strings.NewReader(body))
	if parts != "" {
		request.Header.Set("Parts", parts)
	}
	if crash {
		request.Header.Set("Crash", "1")
	}
	response, err := e.server.Client().Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	// A stream that breaks off is a crash as well.
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Guards against one request that crashes server after server: it comes again, each time
// with a new ID and through any entry, while others with the same target are sound.
func TestRequestThatCrashesServersIsBlocked(t *testing.T) {
	routes := map[string]config.Route{
		"idempotent": unaryRoute(config.CallIdempotent), "at most once": unaryRoute(config.CallAtMostOnce),
		"stream": streamRoute(true), "stream that may run once": streamRoute(false),
	}
	for kind, route := range routes {
		for _, entries := range []int{1, 4} {
			for _, parts := range []string{"", "shared,own"} {
				if parts != "" && route.CallKind != config.CallStream {
					continue
				}
				t.Run(fmt.Sprintf("%s/%d entries/parts %q", kind, entries, parts), func(t *testing.T) {
					c, all := newCrashTest(t, route, 24, entries)
					plain := make([]*Entry, 0, entries)
					for _, e := range all {
						plain = append(plain, e.Entry)
					}
					late := 0
					for i := range 16 {
						e := all[i%entries]
						known, before := c.arrivals() >= tolerableCrashes, c.arrivals()
						status := e.sendContent(t, "order 7", parts, true)
						if known {
							late += c.arrivals() - before
						}
						// A request that reached a server must not be said not to have run.
						assert.Equal(t, status == http.StatusServiceUnavailable, c.arrivals() == before, "status %d", status)
						assert.Equal(t, e.sendContent(t, fmt.Sprint("order 8.", i), parts, false), http.StatusOK)
						exchangeEvidence(time.Now(), plain...)
						for _, e := range plain {
							e.prompts.decide(time.Now().Add(time.Second))
						}
						exchangeEvidence(time.Now(), plain...)
					}
					assert.Assert(t, late <= lateArrivals, "%d requests reached servers after the third crash, %d in all", late, c.arrivals())
					for i, e := range all {
						assert.Equal(t, e.sendContent(t, "order 7", parts, true), http.StatusServiceUnavailable)
						assert.Equal(t, e.sendContent(t, fmt.Sprint("order 9.", i), parts, false), http.StatusOK)
					}
				})
			}
		}
	}
}
