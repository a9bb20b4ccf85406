package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	// callPause is the mean pause of a caller between two requests.
	callPause = 60 * time.Millisecond
	// callBudget is how long a caller waits for an answer.
	callBudget = 4 * time.Second
	maxEvents  = 60
	// drainLimit is how long after a server's mark requests may still reach it.
	drainLimit = 2 * time.Second
	// readyInterval is how often the load balancer asks the entries.
	readyInterval = 200 * time.Millisecond
)

// balancer knows which entries are ready.
type balancer struct {
	mu     sync.Mutex
	misses []int
}

// watch asks an entry whether it is ready; two misses take it out.
func (b *balancer) watch(ctx context.Context, i int, e *entry) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		ready := e.isReady(client)
		b.mu.Lock()
		b.misses[i]++
		if ready {
			b.misses[i] = 0
		}
		b.mu.Unlock()
		sleep(ctx, readyInterval)
	}
}

// ready returns the entries that callers are sent to.
func (b *balancer) ready() (indices []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, misses := range b.misses {
		if misses < 2 {
			indices = append(indices, i)
		}
	}
	return indices
}

// caller sends one request after another, on kept connections until they end.
type caller struct {
	*run
	id      int
	random  *rand.Rand
	clients []*http.Client
	sent    int
}

func (r *run) newCaller(id int) *caller {
	c := &caller{run: r, id: id, random: r.seeded(uint64(1000 + id))}
	for range r.entries {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}})
	}
	return c
}

func (c *caller) call(ctx context.Context) {
	entry := -1
	for ctx.Err() == nil {
		ready := c.balancer.ready()
		if len(ready) == 0 {
			sleep(ctx, callPause)
			continue
		}
		// A caller stays with an entry while its connection serves it.
		if entry < 0 {
			entry = ready[c.random.IntN(len(ready))]
		}
		if !c.one(ctx, entry) {
			entry = -1
		}
		sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(callPause)))
	}
}

// one sends a request and tells whether it was answered.
func (c *caller) one(ctx context.Context, entry int) bool {
	c.sent++
	call := platformtest.ClientRequest{ID: fmt.Sprintf("%d-%d", c.id, c.sent), Timeout: callBudget, Method: http.MethodPost}
	switch c.random.IntN(4) {
	case 0:
		call.Target = platformtest.PathStream + "?n=" + call.ID
		call.Events, call.Body = 1+c.random.IntN(maxEvents), strings.Repeat("p", c.random.IntN(30_000))
	case 1:
		call.Target, call.Body = platformtest.PathAtMostOnce+call.ID, "book "+call.ID
	case 2:
		call.Target, call.Method = platformtest.PathIdempotent+call.ID, http.MethodGet
	default:
		call.Target, call.Method = platformtest.PathAlternating+call.ID, http.MethodGet
	}
	began, boot := time.Now(), c.entries[entry].boot()
	limit, cancel := context.WithTimeout(ctx, callBudget+time.Second)
	defer cancel()
	request, err := call.HTTPRequest(limit, "http://"+c.entries[entry].callers.address())
	if err != nil {
		panic(err)
	}
	response, err := c.clients[entry].Do(request)
	if err != nil {
		if ctx.Err() == nil {
			c.report.count("no answer")
			c.report.outcome(began, false)
		}
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	served := c.check(call, response, string(body), err)
	c.report.outcome(began, served)
	c.checkRuns(call, c.entries[entry], began)
	if served && strings.HasPrefix(call.Target, platformtest.PathAlternating) {
		c.checkFlip(call.ID, c.entries[entry], boot, began)
	}
	return err == nil && response.StatusCode == http.StatusOK
}

// check compares an answer with what the request's servers did, and tells
// whether the request was served.
func (c *caller) check(call platformtest.ClientRequest, response *http.Response, body string, cut error) bool {
	signed := platformtest.IsResponseTo(response.Header, call.ID)
	switch status := response.StatusCode; {
	case status == http.StatusOK && !signed:
		c.report.broken("right answer", "%s: a success without a server's signature", call.ID)
	case status == http.StatusOK && cut == nil:
		want := platformtest.AppResponseBody(call.ID)
		if call.Events > 0 {
			want = events(call)
		}
		if body != want {
			c.report.broken("right answer", "%s: answer %.60q of %d bytes, want %d", call.ID, body, len(body), len(want))
		}
		return body == want
	case status == http.StatusOK && call.Events > 0 && !strings.HasPrefix(events(call), body):
		// A stream may break off in the middle of an event only when its server does; a caller drops that part.
		if whole := body[:strings.LastIndex(body, "\n\n")+2]; !strings.HasPrefix(events(call), whole) {
			c.report.broken("order of events", "%s: %.80q", call.ID, body)
		}
	case platformtest.ImpliesNotExecuted(status) && call.Method == http.MethodPost && call.Events == 0:
		c.later(call.ID, status, len(c.fleet.Executions(call.ID)))
	case status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound:
		c.report.broken("proper requests", "%s: answered %d", call.ID, status)
	}
	return false
}

// checkRuns looks at the servers that ran a request: no more than its route
// allows, and none that had been leaving for long when the request was sent.
func (c *caller) checkRuns(call platformtest.ClientRequest, e *entry, began time.Time) {
	runs := c.fleet.Executions(call.ID)
	if call.Events == 0 && len(runs) > platformtest.MaxAttempts {
		c.report.broken("attempts", "%s: ran at %d servers", call.ID, len(runs))
	}
	if !e.calmSince(began.Add(-drainLimit - touchTime)) {
		return
	}
	for _, run := range runs {
		if !run.DrainStart.IsZero() && began.Sub(run.DrainStart) > drainLimit {
			c.report.broken("drain", "%s: ran at %s, which had been leaving for %s when it was sent", call.ID, run.Server, began.Sub(run.DrainStart))
		}
	}
}

func events(call platformtest.ClientRequest) string {
	var b strings.Builder
	for i := range call.Events {
		b.WriteString(platformtest.EventText(call.ID, i))
	}
	return b.String()
}

// later looks whether a request that was said not to have run has run, at the
// answer and at the end of the soak.
func (c *caller) later(id string, status, runs int) {
	if runs > 0 {
		c.report.broken("not run", "%s: answered %d after %d runs", id, status, runs)
		return
	}
	c.report.refused(id, status)
}
