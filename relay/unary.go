package relay

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/answerend"
	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/retry"
)

const (
	// maxBufferedResponse is the size up to which a response is read completely
	// before any of it is forwarded, so that the request can still be retried if
	// the response breaks off.
	maxBufferedResponse = 64 << 10
	// maxResponseBytes bounds the body of a response. A broken server may send
	// bytes without end.
	maxResponseBytes = 64 << 20
	// busyRetryAfter is the Retry-After time for busy servers: about the time until
	// one has free capacity.
	busyRetryAfter = 100 * time.Millisecond
	// noServerRetryAfter is the Retry-After time while no server is known.
	noServerRetryAfter = 500 * time.Millisecond
	// maxUnsentAttempts bounds the servers that are tried without sending any
	// bytes.
	maxUnsentAttempts = 3
)

// attemptResult is the outcome of sending a request to one server or path.
type attemptResult int

const (
	// answered means that the client has received its response.
	answered attemptResult = iota
	// notSent means that the server could not be reached.
	notSent
	// notExecuted means that the server has not executed the request and never
	// will.
	notExecuted
	// mayHaveExecuted means that the request may have been executed, without a
	// response.
	mayHaveExecuted
)

// serveUnary sends a request to a server of a non-pipeline service. It retries
// on another server if the request was certainly not executed, or if the route
// allows retries of requests that may have been executed.
func (q *request) serveUnary() {
	ctx, cancel := q.workContext()
	defer cancel()
	budget := q.budget(q.target)
	budget.RecordRequest(time.Now())
	if q.callRoom(q.target).isWaiting() && !q.awaitTurn(ctx) {
		q.endWaiting()
		return
	}
	for {
		if q.timeLeft() <= 0 || clientconn.Check(ctx) != nil {
			q.endUnfinished()
			return
		}
		// It may have been blocked since the last attempt.
		if p := q.blocked(); p != nil {
			q.endWithout(answerend.Cut, p)
			return
		}
		server, found := q.fleet.chooseServer(time.Now(), q.target, q.avoid, q.maxLimitWait())
		if !found {
			q.refuseWithoutServer()
			return
		}
		sleep(ctx, server.wait)
		result, err := q.tryReserved(ctx, server)
		if result == answered {
			return
		}
		q.avoid[server.ID] = true
		if clientconn.Check(ctx) != nil {
			q.maybeExecuted = q.maybeExecuted || result == mayHaveExecuted
			q.endUnfinished()
			return
		}
		step := q.nextStep(result)
		if step == admission.EndCall {
			// Another attempt would not help, so none is taken from the retry budget.
			q.countAttempt(result)
		}
		if step == admission.EndCall || !q.allowRetry(ctx, result, q.unaryLimits(), 0) {
			q.refuseOrFail(errorDetail(err), q.callRetryAfter())
			return
		}
		q.phase = phaseWaiting
		if step == admission.CallElsewhere {
			continue
		}
		clear(q.avoid)
		if !q.awaitTurn(ctx) {
			q.endWaiting()
			return
		}
	}
}

// tryReserved sends the request to a server and gives the reservation back, also when the
// response breaks off, which ends the request with a panic.
func (q *request) tryReserved(ctx context.Context, server chosenServer) (attemptResult, error) {
	defer server.reserved.release()
	return q.tryServer(ctx, server.Server)
}

// nextStep decides what follows an attempt without an answer, if another one is allowed.
func (q *request) nextStep(result attemptResult) admission.CallStep {
	now := time.Now()
	state := admission.CallState{Failure: admission.CallLost, OtherServer: q.fleet.hasServer(now, q.target, q.avoid), TimeLeft: q.timeLeft()}
	if result == notExecuted {
		state.Failure = admission.CallRefused
	}
	room := q.callRoom(q.target)
	if !state.OtherServer && state.Failure == admission.CallRefused {
		room.recordRefusal(now)
	}
	state.Wait, state.ServiceTime = room.expectedWait(now, q.waitingCall(), q.fleet.serviceSlots(q.target))
	return admission.NextCallStep(state)
}

// endWaiting ends a call whose turn did not come in time.
func (q *request) endWaiting() {
	if q.timeLeft() <= 0 || q.r.Context().Err() != nil || q.shutdown.isEnded() {
		q.endUnfinished()
		return
	}
	q.refuseOrFail("all servers are full", q.callRetryAfter())
}

// callRetryAfter returns the Retry-After time of a call that is refused: after those that
// wait, and spread over as long a time, so that clients do not return together.
func (q *request) callRetryAfter() time.Duration {
	after := max(busyRetryAfter, q.expectedWait)
	return after + time.Duration(q.fleet.randomFloat()*float64(after))
}

// maxLimitWait returns how long the request may wait for its turn at a server with a
// rate limit.
func (q *request) maxLimitWait() time.Duration {
	return min(maxLimitWait, time.Duration(float64(q.timeLeft())*maxLimitWaitFraction))
}

// refuseWithoutServer ends a request for which no server is available: all are gone,
// have failed, have asked for a pause or state a rate limit that leaves no room.
func (q *request) refuseWithoutServer() {
	now := time.Now()
	q.cause = q.fleet.explainUnavailable(now, q.target, q.avoid)
	after, detail := max(noServerRetryAfter, q.fleet.pauseLeft(now, q.target)), "no server is available"
	if wait := q.fleet.limitWait(now, q.target); wait > 0 {
		// Clients that are refused at the same time must not return together.
		wait = min(wait, maxLimitRetryAfter)
		after, detail = wait+time.Duration(q.fleet.randomFloat()*float64(wait)), "the servers' rate limits leave no room"
	}
	q.refuseOrFail(detail, after)
}

func errorDetail(err error) string {
	if err == nil {
		return "the server refused the request"
	}
	return err.Error()
}

func (q *request) unaryLimits() retry.Limits {
	return retry.Limits{Attempts: q.route.MaxAttempts, Unsent: maxUnsentAttempts, Refusals: maxCallRefusals}
}

// countAttempt records an attempt without a response and returns its outcome.
func (q *request) countAttempt(result attemptResult) retry.Outcome {
	outcome := map[attemptResult]retry.Outcome{notSent: retry.Unsent, notExecuted: retry.Refused, mayHaveExecuted: retry.Unknown}[result]
	q.attempts.Count(outcome)
	q.maybeExecuted = q.maybeExecuted || result == mayHaveExecuted
	return outcome
}

// allowRetry counts an attempt and decides whether another one follows. It
// waits up to maxWait for the retry budget.
func (q *request) allowRetry(ctx context.Context, result attemptResult, limits retry.Limits, maxWait time.Duration) bool {
	outcome := q.countAttempt(result)
	if !limits.Allow(q.attempts, outcome, q.isRepeatable()) {
		return false
	}
	if result == notSent {
		// No request was sent, so the retry adds no load.
		return true
	}
	for waited := time.Duration(0); !q.takeRetry(); waited += pathRetryInterval {
		if waited >= maxWait || ctx.Err() != nil {
			return false
		}
		sleep(ctx, pathRetryInterval)
	}
	return true
}

// refuseOrFail ends a request for which no server responded.
func (q *request) refuseOrFail(detail string, after time.Duration) {
	q.endWithout(answerend.Cut, q.retryLater(problem.NoBackend, detail, after))
}

// tryServer sends the request to one server and forwards its response.
func (q *request) tryServer(ctx context.Context, server Server) (attemptResult, error) {
	q.path = server.ID
	watched, stop := q.watchSilence(ctx, server)
	defer stop()
	q.phase = phaseConnecting
	sentAt := time.Now()
	x, err := q.pool.send(watched, q.headerCodec, server.Address, q.buildOutbound(ForwardInfo{Instance: server.ID, LastEvent: -1}))
	if errors.Is(err, errNotSent) {
		// The connection also fails when the client leaves or this process is held up.
		if ctx.Err() == nil && !q.pause.wasHeldUp(bootclock.Now()) {
			q.fleet.observe(time.Now(), server.ID, membership.ConnectionRefused)
		}
		return notSent, err
	}
	q.recordSent(sentAt)
	if err != nil {
		if watched.Err() != nil && ctx.Err() == nil {
			return mayHaveExecuted, errServerSilent
		}
		if ctx.Err() != nil {
			q.reportLeft(server)
			return mayHaveExecuted, err
		}
		q.fleet.observe(time.Now(), server.ID, membership.ConnectionLost)
		q.reportCrash(ctx, server, err)
		return mayHaveExecuted, err
	}
	q.observeResponse(server.ID, q.info.ID, x)
	if x.info.NotExecuted {
		x.discard()
		q.recordRefusal(server, x)
		return notExecuted, errors.Errorf("server answered %d", x.response.StatusCode)
	}
	result, err := q.forwardResponse(ctx, x, server)
	switch {
	case result == answered:
		q.callRoom(q.target).recordAnswer(time.Since(sentAt))
		q.fleet.observe(time.Now(), server.ID, membership.Heartbeat)
		if q.status < http.StatusInternalServerError {
			// A server may fail a request before it comes to what crashes it.
			q.observeAnswered()
		}
	case errors.Is(err, errBrokenOff):
		q.reportCrash(ctx, server, err)
	}
	return result, err
}

// recordRefusal records a refusal as evidence that another server uses the
// address or that the server is overloaded.
func (q *request) recordRefusal(server Server, x *exchange) {
	if x.response.StatusCode == http.StatusMisdirectedRequest {
		q.fleet.observe(time.Now(), server.ID, membership.ConnectionRefused)
		q.crashes.recordReplaced(time.Now(), server, q.crashes.restartNotice())
		return
	}
	q.fleet.observe(time.Now(), server.ID, membership.Overloaded)
}

// impliesNotExecuted reports whether a status tells clients that the request
// was not executed. A server's response with such a status but without its
// not-executed mark may belong to a request that was executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// errBrokenOff means that a response ended early.
var errBrokenOff = errors.New("answer broke off")

// forwardResponse forwards a complete response. If the response breaks off
// before its first byte was forwarded, the client has received nothing and the
// request may be retried.
func (q *request) forwardResponse(ctx context.Context, x *exchange, server Server) (attemptResult, error) {
	if impliesNotExecuted(x.response.StatusCode) || !x.info.Signed {
		x.discard()
		return mayHaveExecuted, errors.Errorf("server answered %d without a promise or signature", x.response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(x.response.Body, maxBufferedResponse+1))
	if err != nil {
		x.close()
		return mayHaveExecuted, &exchangeError{errBrokenOff, err}
	}
	if x.response.StatusCode >= http.StatusInternalServerError && q.mayRetryFailure() && q.hasOtherServer() {
		x.release()
		return mayHaveExecuted, errors.Errorf("server answered %d", x.response.StatusCode)
	}
	isLong := len(body) > maxBufferedResponse
	switch {
	// No other server can complete what the client gets of a long answer, so the watch for
	// silent servers no longer ends it.
	case isLong && !x.detach(ctx):
		return mayHaveExecuted, errServerSilent
	case !isLong && !q.isWholeCall(ctx, x, server):
		x.close()
		return mayHaveExecuted, &exchangeError{errBrokenOff, io.ErrUnexpectedEOF}
	}
	q.copyHeader(x)
	q.phase = phaseAnswering
	q.outcome, q.status, q.firstByte = outcomeAnswered, x.response.StatusCode, time.Now()
	if isLong {
		return answered, q.forwardLong(ctx, x, server, body)
	}
	x.release()
	q.writeBuffered(x.response, body)
	return answered, nil
}

// mayRetryFailure reports whether an error status from the server leads to a
// retry instead of being forwarded to the client.
func (q *request) mayRetryFailure() bool {
	// The current attempt is not counted yet.
	if q.route.CallKind != config.CallIdempotent || q.attempts.Sent+1 >= q.route.MaxAttempts {
		return false
	}
	return q.budget(q.target).Left(time.Now()) >= 1
}

// hasOtherServer reports whether a server takes calls now, other than those that have
// failed the request, the one that it is at included. Without one, the client gets the
// error of the server that it has.
func (q *request) hasOtherServer() bool {
	avoid := maps.Clone(q.avoid)
	avoid[q.path] = true
	state := admission.CallState{Failure: admission.CallErrored, OtherServer: q.fleet.hasServer(time.Now(), q.target, avoid)}
	return admission.NextCallStep(state) == admission.CallElsewhere
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
		return
	}
	q.responded = true
}

// forwardLong streams a long response to the client. If it breaks off, the
// client's connection is closed, so that the response does not look complete.
func (q *request) forwardLong(ctx context.Context, x *exchange, server Server, prefix []byte) error {
	if x.response.ContentLength >= 0 {
		setContentLength(q.w.Header(), x.response.ContentLength)
	}
	q.w.WriteHeader(x.response.StatusCode)
	_, err := q.w.Write(prefix)
	if err == nil {
		err = copyLimited(q.w, x.response.Body, maxResponseBytes-int64(len(prefix)))
	}
	if err == nil && !q.isWholeCall(ctx, x, server) {
		err = errBrokenOff
	}
	if err != nil {
		x.close()
		q.outcome, q.detail = outcomeAborted, err.Error()
		panic(http.ErrAbortHandler)
	}
	x.release()
	q.responded = true
	return nil
}

var errResponseTooLarge = errors.New("response body is too large")

// copyLimited copies a body of at most limit bytes.
func copyLimited(w io.Writer, body io.Reader, limit int64) error {
	_, err := io.CopyN(w, body, limit+1)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = errResponseTooLarge
	}
	return err
}
