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
	// bufferedAnswer is the size up to which an answer is read whole before its
	// first byte is passed on, so that a broken one can be replaced.
	bufferedAnswer = 256 << 10
	// busyRetry is when a caller may come back to busy servers: about the time
	// in which a place becomes free.
	busyRetry = 100 * time.Millisecond
	// noServerRetry is when a caller may come back while no server is known.
	noServerRetry = 500 * time.Millisecond
	// maxUnsent bounds the servers that are tried without a byte sent to them.
	maxUnsent = 3
)

// verdict says how a request goes on after one server.
type verdict int

const (
	// answered means that the caller has its answer.
	answered verdict = iota
	// notSent means that the server could not be reached.
	notSent
	// notRun means that the server has not run the request and never will.
	notRun
	// mayHaveRun means that the request may have run without an answer.
	mayHaveRun
)

// plain sends a call to a server of a plain service, and to another one where
// that is allowed: always when the request has certainly not run, otherwise only
// when the route allows it to be repeated.
func (q *request) plain() {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	budget := q.budget(q.target)
	budget.Success(time.Now())
	for {
		server, place, found := q.fleet.chooseServer(time.Now(), q.target, q.avoid)
		if !found {
			q.refuseOrFail(q.ranBefore, "no server is available", noServerRetry)
			return
		}
		v, err := q.tryServer(ctx, server)
		place.release()
		if v == answered {
			return
		}
		q.avoid[server.ID] = true
		if ctx.Err() != nil {
			q.ranBefore = q.ranBefore || v == mayHaveRun
			q.timedOut()
			return
		}
		if !q.mayRepeat(ctx, v, q.plainLimits(), q.route.CallKind != config.CallAtMostOnce, 0) {
			q.refuseOrFail(q.ranBefore, detailOf(err), busyRetry)
			return
		}
	}
}

func detailOf(err error) string {
	if err == nil {
		return "the server refused the request"
	}
	return err.Error()
}

func (q *request) plainLimits() retry.Limits {
	return retry.Limits{Attempts: q.route.MaxAttempts, Unsent: maxUnsent}
}

// mayRepeat counts an attempt and decides whether another one follows. It waits
// with patience for room in the budget for repeats.
func (q *request) mayRepeat(ctx context.Context, v verdict, limits retry.Limits, repeatable bool, patience time.Duration) bool {
	outcome := map[verdict]retry.Outcome{notSent: retry.Unsent, notRun: retry.Refused, mayHaveRun: retry.Unknown}[v]
	q.attempts.Count(outcome)
	q.ranBefore = q.ranBefore || v == mayHaveRun
	if !limits.Allow(q.attempts, outcome, repeatable) {
		return false
	}
	if v == notSent {
		// Nothing was asked of a server that could not be reached.
		return true
	}
	for waited := time.Duration(0); !q.budget(q.target).Take(time.Now(), false); waited += choosePause {
		if waited >= patience || ctx.Err() != nil {
			return false
		}
		sleep(ctx, choosePause)
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

// timedOut answers when the time is over or the caller has left.
func (q *request) timedOut() {
	if q.r.Context().Err() != nil {
		q.outcome = outcomeCallerGone
		return
	}
	q.fail(problem.DeadlineExceeded, "the time for this request is over")
}

// tryServer sends the request to one server and passes its answer on.
func (q *request) tryServer(ctx context.Context, server Server) (verdict, error) {
	q.path = server.ID
	x, err := q.pool.send(ctx, q.wire, server.Address, q.outbound(ForwardInfo{Instance: server.ID, LastEvent: -1}))
	if errors.Is(err, errNotSent) {
		q.fleet.observe(time.Now(), server.ID, membership.ConnectionRefused)
		return notSent, err
	}
	q.sends++
	if err != nil {
		if ctx.Err() == nil {
			q.fleet.observe(time.Now(), server.ID, membership.ConnectionLost)
		}
		return mayHaveRun, err
	}
	if x.answer.NotExecuted {
		q.drop(x)
		q.observeRefusal(server, x)
		return notRun, errors.Errorf("server answered %d", x.response.StatusCode)
	}
	v, err := q.passAnswer(x)
	if v == answered {
		q.fleet.observe(time.Now(), server.ID, membership.Heartbeat)
	}
	return v, err
}

// observeRefusal takes a refusal as evidence: another server at the address, or load.
func (q *request) observeRefusal(server Server, x *exchange) {
	if x.response.StatusCode == http.StatusMisdirectedRequest {
		q.fleet.observe(time.Now(), server.ID, membership.ConnectionRefused)
		return
	}
	q.fleet.observe(time.Now(), server.ID, membership.Overloaded)
}

// maxRefusalBytes bounds the body of a refusal that is read to keep its connection.
const maxRefusalBytes = 16 << 10

// drop reads the rest of an answer that is not passed on.
func (q *request) drop(x *exchange) {
	if _, err := io.CopyN(io.Discard, x.response.Body, maxRefusalBytes); !errors.Is(err, io.EOF) {
		x.abandon()
		return
	}
	x.finish()
}

// promisesNotRun are the statuses that tell a caller that its request has not
// run. A server's answer with one of them, but without the server's promise, may
// come from a request that ran.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passAnswer reads an answer and passes it on whole. An answer that breaks off
// before its first byte was passed on leaves the caller without an answer.
func (q *request) passAnswer(x *exchange) (verdict, error) {
	if promisesNotRun(x.response.StatusCode) || !x.answer.Signed {
		q.drop(x)
		return mayHaveRun, errors.Errorf("server answered %d without a promise or signature", x.response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(x.response.Body, bufferedAnswer+1))
	if err != nil {
		x.abandon()
		return mayHaveRun, errors.Wrap(err, "answer broke off")
	}
	if x.response.StatusCode >= http.StatusInternalServerError && q.mayTryAgain() {
		x.finish()
		return mayHaveRun, errors.Errorf("server answered %d", x.response.StatusCode)
	}
	q.passHeader(x)
	q.outcome, q.status, q.firstByte = outcomeAnswered, x.response.StatusCode, time.Now()
	if len(body) > bufferedAnswer {
		return answered, q.passLong(x, body)
	}
	x.finish()
	q.writeWhole(x.response, body)
	return answered, nil
}

// mayTryAgain tells whether a failure that the server reports leads to another
// server instead of the caller.
func (q *request) mayTryAgain() bool {
	// The present attempt is not counted yet.
	if q.route.CallKind != config.CallIdempotent || q.attempts.Sent+1 >= q.route.MaxAttempts {
		return false
	}
	return q.budget(q.target).Left(time.Now()) >= 1
}

func (q *request) writeWhole(response *http.Response, body []byte) {
	if q.r.Method == http.MethodHead && response.ContentLength >= 0 {
		q.w.Header().Set("Content-Length", response.Header.Get("Content-Length"))
	} else {
		setLength(q.w.Header(), int64(len(body)))
	}
	q.w.WriteHeader(response.StatusCode)
	if _, err := q.w.Write(body); err != nil {
		q.outcome = outcomeCallerGone
	}
}

// passLong passes a long answer on as it arrives. When it breaks off, the
// caller's connection is closed, so that the answer does not look complete.
func (q *request) passLong(x *exchange, begin []byte) error {
	if x.response.ContentLength >= 0 {
		setLength(q.w.Header(), x.response.ContentLength)
	}
	q.w.WriteHeader(x.response.StatusCode)
	_, err := q.w.Write(begin)
	if err == nil {
		_, err = io.Copy(q.w, x.response.Body)
	}
	if err != nil {
		x.abandon()
		q.outcome, q.detail = outcomeBrokenOff, err.Error()
		panic(http.ErrAbortHandler)
	}
	x.finish()
	return nil
}
