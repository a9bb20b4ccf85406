package entry

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	bodyChunkBytes = 32 << 10
	// defaultCallTimeout bounds a call of a service that sets no timeout.
	defaultCallTimeout = 30 * time.Second
)

// hopHeaders concern one connection only and are not passed on (RFC 9110).
// Authorization is the team's key for sapphirefield, not for the backend server.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Authorization": true, "Host": true, "Content-Length": true,
}

// servePlain passes a call to a server of the service that the path begins with.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	s.meters.requests.Inc(1)
	began := now()
	defer func() { s.meters.calls.UpdateSince(began) }()
	c, refused := s.prepareCall(w, r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout)
	defer cancel()
	answer, refused := c.runOnce(ctx)
	if r.Context().Err() == nil {
		s.observeEnd("", c.service.Name, c.admission.Team, began, refused)
	}
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	answer.write(w)
}

// runOnce runs a call, after its claim where it has an idempotency key.
func (c *plainCall) runOnce(ctx context.Context) (*plainAnswer, *problem.Problem) {
	if c.keyed != nil {
		return c.runKeyed(ctx, c.keyed)
	}
	return c.admitAndRun(ctx)
}

// admitAndRun waits for capacity before the call runs.
func (c *plainCall) admitAndRun(ctx context.Context) (*plainAnswer, *problem.Problem) {
	release, refused := c.server.admitter.acquire(ctx, servicePool(c.service.Name), c.admission)
	if refused != nil {
		refused.RequestID = c.id
		return nil, refused
	}
	began := now()
	answer, refused := c.run(ctx)
	outcome := admission.Outcome{Result: admission.Completed, TimeToFirstToken: time.Since(began)}
	if refused != nil {
		outcome.Result = admission.Failed
	}
	release(outcome)
	return answer, refused
}

// plainCall is one call on its way to a plain server.
type plainCall struct {
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
}

func (s *Server) prepareCall(w http.ResponseWriter, r *http.Request) (*plainCall, *problem.Problem) {
	x, team, refused := s.authenticate(r)
	if refused != nil {
		return nil, refused
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	service, refused := x.teamService(team, name)
	if refused != nil {
		return nil, refused
	}
	limit := s.opts.MaxBodyBytes
	if service.MaxBodyBytes > 0 {
		limit = min(limit, service.MaxBodyBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, bodyProblem(err)
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+name)
	if path == "" {
		path = "/"
	}
	c := &plainCall{
		server: s, id: s.newRequestID(), service: service, method: r.Method, path: path, body: body,
		headers: passedHeaders(r.Header), timeout: service.Timeout, idempotent: isIdempotent(service, r.Method, path),
		exclude: make(map[string]bool),
	}
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	if c.timeout <= 0 {
		c.timeout = defaultCallTimeout
	}
	c.admission = admissionRequest(x.doc, team, c.id, "", service.Name)
	c.keyed, refused = c.newKeyedCall(team.Name, r.Header.Get(keyHeader))
	return c, refused
}

func bodyProblem(err error) *problem.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return problem.NotExecuted(problem.BodyTooLarge, tooLarge.Error())
	}
	return problem.NotExecuted(problem.InvalidRequest, "the body ended early")
}

// connectionHeaders are those that the caller's connection header names as its own.
func connectionHeaders(header http.Header) map[string]bool {
	nominated := make(map[string]bool)
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			nominated[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return nominated
}

func passedHeaders(header http.Header) []*wire.Header {
	var headers []*wire.Header
	nominated := connectionHeaders(header)
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if hopHeaders[name] || nominated[name] {
			continue
		}
		for _, value := range header[name] {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}

// run sends the call to one server after another for as long as it certainly
// was not run, or may be repeated.
func (c *plainCall) run(ctx context.Context) (*plainAnswer, *problem.Problem) {
	c.request = attempt.NewRequest(c.idempotent)
	for c.request.MayStartAttempt() && c.request.Latest() < maxAttempts {
		if c.request.Executed() != attempt.ExecutedNo && !c.server.mayRepeat(c.service.Name) {
			return nil, c.giveUp(problem.BackendFailed, "the call failed, and too many calls are being repeated already")
		}
		p := c.server.peers.pick(c.service.Name, c.exclude)
		if p == nil {
			return nil, c.giveUp(problem.NoBackend, "no server of the service is available")
		}
		c.exclude[p.id] = true
		answer, refused := c.runAttempt(ctx, p)
		if answer != nil || refused != nil {
			return answer, refused
		}
	}
	if c.request.Executed() == attempt.ExecutedNo {
		return nil, c.giveUp(problem.NoBackend, "every server of the service refused the call")
	}
	return nil, c.giveUp(problem.BackendFailed, "the connection to the server was lost before its answer was whole")
}

func (c *plainCall) giveUp(code problem.Code, detail string) *problem.Problem {
	p := problem.NotExecuted(code, detail)
	p.Executed = problem.Executed(c.request.Executed().String())
	p.RequestID = c.id
	return p
}

// runAttempt returns nil, nil when the attempt failed and another may be tried.
func (c *plainCall) runAttempt(ctx context.Context, p *peer) (*plainAnswer, *problem.Problem) {
	number := c.request.StartAttempt()
	ex := newExchange(attemptKey(c.id, number))
	sent := now()
	if !p.begin(ex, c.callFrame(number)) {
		c.request.Observe(number, attempt.ExecutedNo)
		return nil, nil
	}
	defer p.forget(ex.key)
	c.sendBody(p, number)
	run := &callRun{call: c, peer: p, ex: ex, answer: newPlainAnswer(), sent: sent}
	timer := time.NewTimer(c.timeout)
	defer timer.Stop()
	run.timer = timer
	for {
		select {
		case <-ctx.Done():
			return nil, c.withdraw(p, ex, sent)
		case <-timer.C:
			return nil, nil
		case <-ex.events.Ready():
			events, open := ex.events.Take()
			for _, event := range events {
				over, whole := run.handle(event)
				if whole {
					run.release()
					c.server.succeeded(c.service.Name)
					return run.answer, nil
				}
				if over {
					return nil, nil
				}
			}
			if !open {
				return nil, nil
			}
		}
	}
}

func (c *plainCall) callFrame(number uint32) func(string) *wire.WorkUp {
	return func(incarnation string) *wire.WorkUp {
		return &wire.WorkUp{Body: &wire.WorkUp_Call{Call: &wire.Call{
			Request: c.id, Attempt: number, Incarnation: incarnation, Method: c.method, Path: c.path,
			Headers: c.headers, HasBody: len(c.body) > 0, TimeoutMs: c.timeout.Milliseconds(),
		}}}
	}
}

func (c *plainCall) sendBody(p *peer, number uint32) {
	var sequence uint64
	for rest := c.body; len(rest) > 0; sequence++ {
		n := min(len(rest), bodyChunkBytes)
		p.push(&wire.WorkUp{Body: &wire.WorkUp_CallBody{CallBody: &wire.CallBody{
			Request: c.id, Attempt: number, Sequence: sequence, Data: rest[:n], Last: n == len(rest),
		}}})
		rest = rest[n:]
	}
}

// withdrawTimeout bounds the wait for a sidecar's answer to a withdrawal.
const withdrawTimeout = time.Second

// withdraw ends an attempt whose caller waits no longer, and finds out whether it ran.
func (c *plainCall) withdraw(p *peer, ex *exchange, sent time.Time) *problem.Problem {
	p.push(&wire.WorkUp{Body: &wire.WorkUp_Withdraw{Withdraw: &wire.Withdraw{
		Request: ex.key.Request, Attempt: ex.key.Number,
	}}})
	timer := time.NewTimer(withdrawTimeout)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return c.giveUp(problem.DeadlineExceeded, "the call did not end in time")
		case <-ex.events.Ready():
			events, _ := ex.events.Take()
			for _, event := range events {
				ack := event.frame.GetWithdrawAck()
				if ack == nil && event.kind == peerFrame {
					continue
				}
				c.request.ObserveWithdrawal(ex.key.Number, attempt.FromWire(ack.GetExecuted()), sent, now())
				return c.giveUp(problem.DeadlineExceeded, "the call did not end in time")
			}
		}
	}
}
