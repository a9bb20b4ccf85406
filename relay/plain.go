package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/retry"
)

const (
	// maxBufferedResponse is the size up to which an answer is read whole before its
	// first byte is passed on, so that a broken one can be replaced.
	maxBufferedResponse = 256 << 10
	// busyRetryAfter is when a caller may come back to busy servers: about the time
	// in which a place becomes free.
	busyRetryAfter = 100 * time.Millisecond
	// noServerRetryAfter is when a caller may come back while no server is known.
	noServerRetryAfter = 500 * time.Millisecond
	// maxUnsentAttempts bounds the servers that are tried without a byte sent to them.
	maxUnsentAttempts = 3
)

// attemptResult says how a request goes on after one server.
type attemptResult int

const (
	// answered means that the caller has its answer.
	answered attemptResult = iota
	// notSent means that the server could not be reached.
	notSent
	// notExecuted means that the server has not run the request and never will.
	notExecuted
	// mayHaveExecuted means that the request may have run without an answer.
	mayHaveExecuted
)

// serveUnary sends a call to a server of a plain service, and to another one where
// that is allowed: always when the request has certainly not run, otherwise only
// when the route allows it to be repeated.
func (q *request) serveUnary() {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	budget := q.budget(q.target)
	budget.Success(time.Now())
	for {
		server, place, found := q.fleet.chooseServer(time.Now(), q.target, q.avoid)
		if !found {
			q.refuseOrFail(q.maybeExecuted, "no server is available", noServerRetryAfter)
			return
		}
		v, err := q.tryServer(ctx, server)
		place.release()
		if v == answered {
			return
		}
		q.avoid[server.ID] = true
		if ctx.Err() != nil {
			q.maybeExecuted = q.maybeExecuted || v == mayHaveExecuted
			q.failTimeout()
			return
		}
		if !q.allowRetry(ctx, v, q.unaryLimits(), q.route.Call != config.CallAtMostOnce, 0) {
			q.refuseOrFail(q.maybeExecuted, errorDetail(err), busyRetryAfter)
			return
		}
	}
}

func errorDetail(err error) string {
	if err == nil {
		return "the server refused the request"
	}
	return err.Error()
}

func (q *request) unaryLimits() retry.Limits {
	return retry.Limits{Attempts: q.route.MaxAttempts, Unsent: maxUnsentAttempts}
}

// allowRetry counts an attempt and decides whether another one follows. It waits
// with patience for room in the budget for repeats.
func (q *request) allowRetry(ctx context.Context, v attemptResult, limits retry.Limits, repeatable bool, patience time.Duration) bool {
	outcome := map[attemptResult]retry.Outcome{notSent: retry.Unsent, notExecuted: retry.Refused, mayHaveExecuted: retry.Unknown}[v]
	q.attempts.Count(outcome)
	q.maybeExecuted = q.maybeExecuted || v == mayHaveExecuted
	if !limits.Allow(q.attempts, outcome, repeatable) {
		return false
	}
	if v == notSent {
		// Nothing was asked of a server that could not be reached.
		return true
	}
	for waited := time.Duration(0); !q.budget(q.target).Take(time.Now(), false); waited += pathRetryInterval {
		if waited >= patience || ctx.Err() != nil {
			return false
		}
		sleep(ctx, pathRetryInterval)
	}
	return true
}

// refuseOrFail gives the final answer when no server answered.
func (q *request) refuseOrFail(ran bool, detail string, after time.Duration) {
	if ran {
		q.fail(problem.OutcomeUnknown, detail)
		return
	}
	q.refuse(q.retryLater(problem.NoBackend, detail, after))
}

// failTimeout answers when the time is over or the caller has left.
func (q *request) failTimeout() {
	if q.r.Context().Err() != nil {
		q.outcome = outcomeClientGone
		return
	}
	q.fail(problem.DeadlineExceeded, "the time for this request is over")
}

// tryServer sends the request to one server and passes its answer on.
func (q *request) tryServer(ctx context.Context, server Server) (attemptResult, error) {
	q.path = server.ID
	x, err := q.pool.send(ctx, q.headerCodec, server.Address, q.buildOutbound(Send{Instance: server.ID, LastEvent: -1}))
	if errors.Is(err, errNotSent) {
		q.fleet.observe(time.Now(), server.ID, membership.RefusedConnection)
		return notSent, err
	}
	q.sentCount++
	if err != nil {
		if ctx.Err() == nil {
			q.fleet.observe(time.Now(), server.ID, membership.EndOfStream)
		}
		return mayHaveExecuted, err
	}
	if x.info.NotRun {
		q.discardResponse(x)
		q.recordRefusal(server, x)
		return notExecuted, errors.Errorf("server answered %d", x.response.StatusCode)
	}
	v, err := q.forwardResponse(x)
	if v == answered {
		q.fleet.observe(time.Now(), server.ID, membership.Heartbeat)
	}
	return v, err
}

// recordRefusal takes a refusal as evidence: another server at the address, or load.
func (q *request) recordRefusal(server Server, x *exchange) {
	if x.response.StatusCode == http.StatusMisdirectedRequest {
		q.fleet.observe(time.Now(), server.ID, membership.RefusedConnection)
		return
	}
	q.fleet.observe(time.Now(), server.ID, membership.Overloaded)
}

// maxRefusalBytes bounds the body of a refusal that is read to keep its connection.
const maxRefusalBytes = 16 << 10

// discardResponse reads the rest of an answer that is not passed on.
func (q *request) discardResponse(x *exchange) {
	if _, err := io.CopyN(io.Discard, x.response.Body, maxRefusalBytes); !errors.Is(err, io.EOF) {
		x.close()
		return
	}
	x.release()
}

// impliesNotExecuted are the statuses that tell a caller that its request has not
// run. A server's answer with one of them, but without the server's promise, may
// come from a request that ran.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// forwardResponse reads an answer and passes it on whole. An answer that breaks off
// before its first byte was passed on leaves the caller without an answer.
func (q *request) forwardResponse(x *exchange) (attemptResult, error) {
	if impliesNotExecuted(x.response.StatusCode) || !x.info.Signed {
		q.discardResponse(x)
		return mayHaveExecuted, errors.Errorf("server answered %d without a promise or signature", x.response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(x.response.Body, maxBufferedResponse+1))
	if err != nil {
		x.close()
		return mayHaveExecuted, errors.Wrap(err, "answer broke off")
	}
	if x.response.StatusCode >= http.StatusInternalServerError && q.mayRetryFailure() {
		x.release()
		return mayHaveExecuted, errors.Errorf("server answered %d", x.response.StatusCode)
	}
	q.copyHeader(x)
	q.outcome, q.status, q.firstByte = outcomeAnswered, x.response.StatusCode, time.Now()
	if len(body) > maxBufferedResponse {
		return answered, q.forwardLong(x, body)
	}
	x.release()
	q.writeBuffered(x.response, body)
	return answered, nil
}

// mayRetryFailure tells whether a failure that the server reports leads to another
// server instead of the caller.
func (q *request) mayRetryFailure() bool {
	// The present attempt is not counted yet.
	if q.route.Call != config.CallIdempotent || q.attempts.Sent+1 >= q.route.MaxAttempts {
		return false
	}
	return q.budget(q.target).Left(time.Now()) >= 1
}

func (q *request) writeBuffered(response *http.Response, body []byte) {
	if q.r.Method == http.MethodHead && response.ContentLength >= 0 {
		q.w.Header().Set("Content-Length", response.Header.Get("Content-Length"))
	} else {
		setContentLength(q.w.Header(), int64(len(body)))
	}
	q.w.WriteHeader(response.StatusCode)
	if _, err := q.w.Write(body); err != nil {
		q.outcome = outcomeClientGone
	}
}

// forwardLong passes a long answer on as it arrives. When it breaks off, the
// caller's connection is closed, so that the answer does not look complete.
func (q *request) forwardLong(x *exchange, begin []byte) error {
	if x.response.ContentLength >= 0 {
		setContentLength(q.w.Header(), x.response.ContentLength)
	}
	q.w.WriteHeader(x.response.StatusCode)
	_, err := q.w.Write(begin)
	if err == nil {
		_, err = io.Copy(q.w, x.response.Body)
	}
	if err != nil {
		x.close()
		q.outcome, q.detail = outcomeAborted, err.Error()
		panic(http.ErrAbortHandler)
	}
	x.release()
	return nil
}
