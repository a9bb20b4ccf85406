package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/memlimit"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/quarantine"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	bodyChunkBytes = 32 << 10
	// defaultCallTimeout applies to calls of a service without a timeout.
	defaultCallTimeout = 30 * time.Second
)

// hopByHopHeaders lists the headers that are not forwarded (RFC 9110).
// Authorization holds the team's key for sapphirefield, which is not meant for
// the backend server.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Authorization": true, "Host": true, "Content-Length": true,
}

// serveUnary forwards a call to a server of the service named by the first path
// segment.
func (s *Server) serveUnary(w http.ResponseWriter, r *http.Request) {
	s.metrics.requests.Inc(1)
	start := now()
	defer func() { s.metrics.calls.UpdateSince(start) }()
	c, prob := s.prepareCall(w, r)
	if prob != nil {
		s.refuse(w, prob)
		return
	}
	defer c.releaseMemory()
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout)
	defer cancel()
	response, prob := c.dispatch(ctx)
	if r.Context().Err() == nil {
		s.observeRequest("", c.service.Name, c.admission.Team, start, prob)
	}
	if prob != nil {
		s.refuse(w, prob)
		return
	}
	response.write(w)
}

// dispatch runs a call; one with an idempotency key needs a claim first.
func (c *unaryCall) dispatch(ctx context.Context) (*unaryResponse, *problem.Problem) {
	if c.keyed != nil {
		return c.runKeyed(ctx, c.keyed)
	}
	return c.admitAndRun(ctx)
}

// admitAndRun waits until the call is admitted, then runs it.
func (c *unaryCall) admitAndRun(ctx context.Context) (*unaryResponse, *problem.Problem) {
	if prob := c.server.crashes.check(c.id, c.content); prob != nil {
		return nil, prob
	}
	release, prob := c.server.admitter.acquire(ctx, servicePoolKey(c.service.Name), c.admission)
	if prob != nil {
		prob.RequestID = c.id
		return nil, prob
	}
	start := now()
	response, prob := c.run(ctx)
	outcome := admission.Outcome{Result: admission.Completed, TimeToFirstToken: time.Since(start)}
	if prob != nil {
		outcome.Result = admission.Failed
	}
	release(outcome)
	return response, prob
}

// content stands for what a client repeats when it sends the call again.
func (c *unaryCall) content() string {
	return quarantine.ContentPart(c.body, c.admission.Team, c.service.Name, c.method, c.path)
}

// unaryCall is one client call to a server of a non-pipeline service.
type unaryCall struct {
	server     *Server
	id         string
	service    *config.Service
	method     string
	path       string
	headers    []*wire.Header
	body       []byte
	timeout    time.Duration
	idempotent bool
	admission  admission.Request
	keyed      *keyedCall
	request    *attempt.Request
	exclude    map[string]bool
	// heldMemory is what the call's responses count in the server's responseMemory.
	heldMemory int64
}

func (s *Server) prepareCall(w http.ResponseWriter, r *http.Request) (*unaryCall, *problem.Problem) {
	idx, team, prob := s.authenticate(r)
	if prob != nil {
		return nil, prob
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	service, prob := idx.teamService(team, name)
	if prob != nil {
		return nil, prob
	}
	limit := s.opts.MaxBodyBytes
	if service.MaxBodyBytes > 0 {
		limit = min(limit, service.MaxBodyBytes)
	}
	body, prob := s.readBody(w, r, limit)
	if prob != nil {
		return nil, prob
	}
	if !clientconn.Admitted(r.Context()) {
		return nil, tooManyClientsProblem()
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+name)
	if path == "" {
		path = "/"
	}
	c := &unaryCall{
		server: s, id: s.newRequestID(), service: service, method: r.Method, path: path, body: body,
		headers: forwardedHeaders(r.Header), timeout: service.Timeout, idempotent: isIdempotent(service, r.Method, path),
		exclude: make(map[string]bool),
	}
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	if c.timeout <= 0 {
		c.timeout = defaultCallTimeout
	}
	c.admission = admissionRequest(idx.doc, team, c.id, "", service.Name)
	c.keyed, prob = c.newKeyedCall(team.Name, r.Header.Get(idempotencyKeyHeader))
	return c, prob
}

// readBody reads the body of a request. Its memory counts until the request has ended.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *problem.Problem) {
	body, err := s.bodies.Read(http.MaxBytesReader(w, r.Body, limit), memlimit.BodySize{Stated: r.ContentLength, Most: limit})
	if err != nil {
		s.bodies.Release(body)
		return nil, bodyProblem(err)
	}
	context.AfterFunc(r.Context(), func() { s.bodies.Release(body) })
	return body, nil
}

// tooManyClientsProblem is the answer to a client whose connection was given up for others.
func tooManyClientsProblem() *problem.Problem {
	return problem.NotExecuted(problem.Overloaded, "too many clients are connected")
}

// noBodyMemoryRetryAfter is the Retry-After time while there is no memory for another body.
const noBodyMemoryRetryAfter = time.Second

func bodyProblem(err error) *problem.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return problem.NotExecuted(problem.BodyTooLarge, tooLarge.Error())
	}
	if errors.Is(err, memlimit.ErrNoBodyMemory) {
		p := problem.NotExecuted(problem.Overloaded, err.Error())
		p.RetryAfter = noBodyMemoryRetryAfter
		return p
	}
	return problem.NotExecuted(problem.InvalidRequest, "the body ended early")
}

// connectionHeaders returns the headers that the Connection header lists as
// hop-by-hop.
func connectionHeaders(header http.Header) map[string]bool {
	hopByHop := make(map[string]bool)
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return hopByHop
}

func forwardedHeaders(header http.Header) []*wire.Header {
	var headers []*wire.Header
	hopByHop := connectionHeaders(header)
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if hopByHopHeaders[name] || hopByHop[name] {
			continue
		}
		for _, value := range header[name] {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}

// run sends the call to one server after another, while it either was certainly
// not executed or may be retried.
func (c *unaryCall) run(ctx context.Context) (*unaryResponse, *problem.Problem) {
	c.request = attempt.NewRequest(c.idempotent)
	for c.request.MayStartAttempt() && c.request.Latest() < maxAttempts {
		if clientconn.Check(ctx) != nil {
			return nil, c.newProblem(problem.DeadlineExceeded, "the call ended before it was sent")
		}
		if c.request.Executed() != attempt.ExecutedNo && !c.server.crashes.mayRepeat(c.content) {
			break
		}
		if c.request.Executed() != attempt.ExecutedNo && !c.server.takeRetry(c.service.Name) {
			return nil, c.newProblem(problem.BackendFailed, "the call failed, and too many calls are being repeated already")
		}
		p := c.server.peers.pick(c.service.Name, c.exclude)
		if p == nil {
			return nil, c.newProblem(problem.NoBackend, "no server of the service is available")
		}
		c.exclude[p.id] = true
		response, prob := c.runAttempt(ctx, p)
		if response != nil || prob != nil {
			return response, prob
		}
	}
	if c.request.Executed() == attempt.ExecutedNo {
		return nil, c.newProblem(problem.NoBackend, "every server of the service refused the call")
	}
	return nil, c.newProblem(problem.BackendFailed, "the connection to the server was lost before its answer was whole")
}

func (c *unaryCall) newProblem(code problem.Code, detail string) *problem.Problem {
	p := problem.NotExecuted(code, detail)
	p.Executed = problem.Executed(c.request.Executed().String())
	p.RequestID = c.id
	return p
}

// runAttempt returns nil, nil if the attempt failed and another may be tried.
func (c *unaryCall) runAttempt(ctx context.Context, p *peer) (*unaryResponse, *problem.Problem) {
	number := c.request.StartAttempt()
	ex := newExchange(attemptKey(c.id, number))
	sent := now()
	if !p.startExchange(ex, c.callFrame(number)) {
		c.request.Observe(number, attempt.ExecutedNo)
		return nil, nil
	}
	abandoned := false
	defer func() {
		if !abandoned {
			p.removeExchange(ex.key)
		}
	}()
	c.sendBody(p, number)
	a := &unaryAttempt{call: c, peer: p, ex: ex, response: newUnaryResponse(), sent: sent}
	timer := time.NewTimer(c.timeout)
	defer timer.Stop()
	a.timer = timer
	for {
		select {
		case <-ctx.Done():
			prob := c.withdraw(p, ex, sent)
			// The server may have crashed under the call, which nobody waits for any more.
			abandoned = true
			p.abandonExchange(ex, func(failed *wire.Failed) { a.observeFailure(failed) })
			return nil, prob
		case <-timer.C:
			return nil, nil
		case <-ex.events.Ready():
			events, open := ex.events.Take()
			for _, event := range events {
				done, complete := a.handle(event)
				if complete {
					a.release()
					c.server.recordSuccess(c.service.Name)
					if a.response.head.GetStatus() < http.StatusInternalServerError {
						// A server may fail a request before it comes to what crashes it.
						c.server.crashes.observeAnswered(c.content)
					}
					return a.response, nil
				}
				if done {
					return nil, nil
				}
			}
			if !open {
				return nil, nil
			}
		}
	}
}

func (c *unaryCall) callFrame(number uint32) func(string) *wire.WorkUp {
	return func(incarnation string) *wire.WorkUp {
		return &wire.WorkUp{Body: &wire.WorkUp_Call{Call: &wire.Call{
			Request: c.id, Attempt: number, Incarnation: incarnation, Method: c.method, Path: c.path,
			Headers: c.headers, HasBody: len(c.body) > 0, TimeoutMs: c.timeout.Milliseconds(),
		}}}
	}
}

func (c *unaryCall) sendBody(p *peer, number uint32) {
	var sequence uint64
	for remaining := c.body; len(remaining) > 0; sequence++ {
		n := min(len(remaining), bodyChunkBytes)
		p.enqueue(&wire.WorkUp{Body: &wire.WorkUp_CallBody{CallBody: &wire.CallBody{
			Request: c.id, Attempt: number, Sequence: sequence, Data: remaining[:n], Last: n == len(remaining),
		}}})
		remaining = remaining[n:]
	}
}

// withdrawTimeout limits the wait for a sidecar's acknowledgement of a withdrawal.
const withdrawTimeout = time.Second

// withdraw cancels the attempt when the client's deadline has passed or the
// client has left, and finds out whether the call was executed.
func (c *unaryCall) withdraw(p *peer, ex *exchange, sent time.Time) *problem.Problem {
	p.enqueue(&wire.WorkUp{Body: &wire.WorkUp_Withdraw{Withdraw: &wire.Withdraw{
		Request: ex.key.Request, Attempt: ex.key.Number,
	}}})
	timer := time.NewTimer(withdrawTimeout)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return c.newProblem(problem.DeadlineExceeded, "the call did not end in time")
		case <-ex.events.Ready():
			events, _ := ex.events.Take()
			for _, event := range events {
				ack := event.frame.GetWithdrawAck()
				if ack == nil && event.kind == peerFrame {
					continue
				}
				c.request.ObserveWithdrawal(ex.key.Number, attempt.FromWire(ack.GetExecuted()), sent, now())
				return c.newProblem(problem.DeadlineExceeded, "the call did not end in time")
			}
		}
	}
}
