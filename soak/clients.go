package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	// meanThinkTime is a client's mean pause between two requests.
	meanThinkTime = 60 * time.Millisecond
	// requestTimeout is how long a client waits for a response.
	requestTimeout = 4 * time.Second
	maxEvents      = 60
	// drainPropagationLimit is how long a server may still receive new requests
	// after it is marked as draining.
	drainPropagationLimit = 2 * time.Second
	// readinessInterval is the interval of the load balancer's readiness checks.
	readinessInterval = 200 * time.Millisecond
)

// loadBalancer tracks which entries are ready.
type loadBalancer struct {
	mu           sync.Mutex
	failedChecks []int
}

// pollReadiness checks an entry's readiness periodically; two consecutive
// failures take it out of rotation.
func (b *loadBalancer) pollReadiness(ctx context.Context, i int, e *entry) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		ready := e.isReady(client)
		b.mu.Lock()
		b.failedChecks[i]++
		if ready {
			b.failedChecks[i] = 0
		}
		b.mu.Unlock()
		sleep(ctx, readinessInterval)
	}
}

// readyEntries returns the indices of the entries in rotation.
func (b *loadBalancer) readyEntries() (indices []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, failures := range b.failedChecks {
		if failures < 2 {
			indices = append(indices, i)
		}
	}
	return indices
}

// loadClient sends requests over keep-alive connections, one at a time or pipelined.
type loadClient struct {
	*soakRun
	id          int
	random      *rand.Rand
	httpClients []*http.Client
	sent        int
	// channel is that of a client that pipelines, or nil.
	channel *channel
}

func (r *soakRun) newLoadClient(id int) *loadClient {
	c := &loadClient{soakRun: r, id: id, random: r.newRand(uint64(1000 + id))}
	for range r.entries {
		c.httpClients = append(c.httpClients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}})
	}
	return c
}

func (c *loadClient) run(ctx context.Context) {
	entry := -1
	for ctx.Err() == nil {
		ready := c.loadBalancer.readyEntries()
		if len(ready) == 0 {
			sleep(ctx, meanThinkTime)
			continue
		}
		// A client stays with an entry until a request fails there.
		if entry < 0 {
			entry = ready[c.random.IntN(len(ready))]
		}
		send := c.sendRequest
		if c.id%pipelineEvery == pipelineEvery-1 {
			send = c.sendPipelined
		}
		if !send(ctx, entry) {
			entry = -1
		}
		sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(meanThinkTime)))
	}
}

// randomRequest returns the client's next request.
func (c *loadClient) randomRequest(e *entry) platformtest.ClientRequest {
	c.sent++
	clientRequest := platformtest.ClientRequest{ID: fmt.Sprintf("%d-%d", c.id, c.sent), Timeout: requestTimeout, Method: http.MethodPost, Entry: e.processName()}
	switch c.random.IntN(4) {
	case 0:
		clientRequest.Target = platformtest.PathStream + "?n=" + clientRequest.ID
		clientRequest.Events, clientRequest.Body = 1+c.random.IntN(maxEvents), strings.Repeat("p", c.random.IntN(30_000))
	case 1:
		clientRequest.Target, clientRequest.Body = platformtest.PathAtMostOnce+clientRequest.ID, "book "+clientRequest.ID
	case 2:
		clientRequest.Target, clientRequest.Method = platformtest.PathIdempotent+clientRequest.ID, http.MethodGet
	default:
		clientRequest.Target, clientRequest.Method = platformtest.PathAlternating+clientRequest.ID, http.MethodGet
	}
	return clientRequest
}

// sendRequest sends a random request and reports whether it got a complete
// response with status 200.
func (c *loadClient) sendRequest(ctx context.Context, entryIndex int) bool {
	e := c.entries[entryIndex]
	sentAt, processNumber := time.Now(), e.processNumber()
	clientRequest := c.randomRequest(e)
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout+time.Second)
	defer cancel()
	request, err := clientRequest.HTTPRequest(requestCtx, "http://"+e.clientProxy.address())
	if err != nil {
		panic(err)
	}
	request, observed := observe(request, sentAt)
	response, err := c.httpClients[entryIndex].Do(request)
	var body []byte
	view := observed.view()
	if err == nil {
		defer response.Body.Close()
		body, err = io.ReadAll(response.Body)
		view = observed.view()
		view.status, view.complete, view.fromServer = response.StatusCode, err == nil, platformtest.IsResponseTo(response.Header, clientRequest.ID)
	}
	c.checkEnd(ctx, clientRequest, e, processNumber, view, response, string(body), err)
	return err == nil && response.StatusCode == http.StatusOK
}

// checkEnd checks a request that has ended; response is nil if there is none. The end of
// the soak, which ends ctx, ends requests too.
func (c *loadClient) checkEnd(ctx context.Context, request platformtest.ClientRequest, e *entry, processNumber int, view clientView, response *http.Response, body string, bodyErr error) {
	if ctx.Err() == nil {
		c.checkAnswer(request, e, processNumber, view)
	}
	if response == nil {
		if ctx.Err() == nil {
			c.report.count("no response")
			c.report.recordRequest(view.sentAt, false)
		}
		return
	}
	served := c.checkResponse(request, response, body, bodyErr)
	c.report.recordRequest(view.sentAt, served)
	c.checkExecutions(request, e, view.sentAt)
	c.checkLeaving(request, e, view.sentAt, response.Header)
	if served && strings.HasPrefix(request.Target, platformtest.PathAlternating) {
		c.checkActiveRevision(request.ID, e, processNumber, view.sentAt)
	}
}

// checkResponse compares a response with the expected one and with the executions
// of the request, and reports whether the request was served.
func (c *loadClient) checkResponse(request platformtest.ClientRequest, response *http.Response, body string, bodyErr error) bool {
	fromServer := platformtest.IsResponseTo(response.Header, request.ID)
	switch status := response.StatusCode; {
	case status == http.StatusOK && !fromServer:
		c.report.addViolation("response content", "%s: status 200 without a server's signature", request.ID)
	case status == http.StatusOK && bodyErr == nil:
		want := platformtest.AppResponseBody(request.ID)
		if request.Events > 0 {
			want = expectedStream(request)
		}
		if body != want {
			c.report.addViolation("response content", "%s: response %.60q of %d bytes, want %d", request.ID, body, len(body), len(want))
		}
		return body == want
	case status == http.StatusOK && request.Events > 0 && !strings.HasPrefix(expectedStream(request), body):
		// A stream that its server cuts off may end inside an event; a client drops the incomplete event.
		if completeEvents := body[:strings.LastIndex(body, "\n\n")+2]; !strings.HasPrefix(expectedStream(request), completeEvents) {
			c.report.addViolation("event order", "%s: %.80q", request.ID, body)
		}
	case platformtest.ImpliesNotExecuted(status) && request.Method == http.MethodPost && request.Events == 0:
		c.recordNotExecuted(request.ID, status, len(c.fleet.Executions(request.ID)))
	case status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound:
		c.report.addViolation("request rejected", "%s: status %d", request.ID, status)
	}
	return false
}

// checkExecutions checks the servers that executed a request: no more than its
// route allows, and none that had been draining for longer than
// drainPropagationLimit when the request was sent.
func (c *loadClient) checkExecutions(request platformtest.ClientRequest, e *entry, sentAt time.Time) {
	executions := c.fleet.Executions(request.ID)
	if request.Events == 0 && len(executions) > platformtest.MaxAttempts {
		c.report.addViolation("attempts", "%s: executed on %d servers", request.ID, len(executions))
	}
	if !e.faultFreeSince(sentAt.Add(-drainPropagationLimit - minFaultFreeTime)) {
		return
	}
	for _, execution := range executions {
		if !execution.DrainStart.IsZero() && sentAt.Sub(execution.DrainStart) > drainPropagationLimit {
			c.report.addViolation("drain", "%s: executed on %s, which had been draining for %s when it was sent", request.ID, execution.Server, sentAt.Sub(execution.DrainStart))
		}
	}
}

// leavingTracker records which process was told by which server that it is leaving.
type leavingTracker struct {
	mu   sync.Mutex
	told map[string]map[string]time.Time // by process and server
}

// recordTold records that a process has been told by a server that it is leaving.
func (t *leavingTracker) recordTold(process, server string) {
	if t.told == nil {
		t.told = map[string]map[string]time.Time{}
	}
	if t.told[process] == nil {
		t.told[process] = map[string]time.Time{}
	}
	if t.told[process][server].IsZero() {
		t.told[process][server] = time.Now()
	}
}

// checkLeaving checks that a request was not sent to a server that had told the same
// process long before that it is leaving, and records what this answer tells. The word must
// be that of the server which names itself in the answer: the request may have run at others
// too, before or after.
func (c *loadClient) checkLeaving(request platformtest.ClientRequest, e *entry, sentAt time.Time, answer http.Header) {
	executions := c.fleet.Executions(request.ID)
	t := &c.leavingServers
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, execution := range executions {
		at, told := t.told[request.Entry][execution.Server]
		if told && sentAt.Sub(at) > drainPropagationLimit && e.faultFreeSince(at) {
			c.report.addViolation("leaving", "%s: executed on %s, which had told %s %s before", request.ID, execution.Server, request.Entry, sentAt.Sub(at))
		}
	}
	if answer.Get(platformtest.HeaderLeaving) == "" {
		return
	}
	server := answer.Get(platformtest.HeaderServer)
	saidBy := func(execution platformtest.Execution) bool { return execution.Server == server && execution.Leaving }
	if !slices.ContainsFunc(executions, saidBy) {
		c.report.addViolation("leaving", "%s: the client was told by %s that %q is leaving, which did not say so", request.ID, request.Entry, server)
		return
	}
	t.recordTold(request.Entry, server)
}

func expectedStream(request platformtest.ClientRequest) string {
	var b strings.Builder
	for i := range request.Events {
		b.WriteString(platformtest.EventText(request.ID, i))
	}
	return b.String()
}

// recordNotExecuted checks that a request whose response implies that it was not
// executed has not been executed yet, and records it for the check at the end of
// the soak.
func (c *loadClient) recordNotExecuted(id string, status, executions int) {
	if executions > 0 {
		c.report.addViolation("not executed", "%s: status %d after %d executions", id, status, executions)
		return
	}
	c.report.recordNotExecuted(id, status)
}
