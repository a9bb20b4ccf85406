package relay

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/memlimit"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/retry"
)

// request is a client request and its state.
type request struct {
	*Entry
	w        http.ResponseWriter
	r        *http.Request
	info     RequestInfo
	revision *revision
	route    *config.Route
	team     string
	// teamWeight and rank order the request under load; rank 0, of rankOrder, is
	// served first.
	teamWeight float64
	rank       int
	target     string
	body       []byte
	// bodyTimedOut is set if the body did not arrive in time. http.Server ends
	// the request's context then, although the client is still there.
	bodyTimedOut bool
	started      time.Time
	// client records when the client leaves, phase how far the request has come, and
	// sentAt when it was last sent to a server.
	client *clientWatch
	phase  phase
	sentAt time.Time
	// deadline is the earlier of the client's deadline and the route's timeout.
	// bootDeadline is the same by bootclock.
	deadline, bootDeadline time.Time
	// attempts counts the attempts that ended without a response, sentCount the
	// servers to which the request was sent.
	attempts  retry.AttemptCounts
	sentCount int
	// maybeExecuted is set once an earlier server may have executed the request.
	maybeExecuted bool
	// probesBlock is set if the request is let through to find out whether a blocked
	// part of its prompt, or its content, still crashes servers. It is not repeated.
	probesBlock bool
	// contentPart stands for the whole content of the request once it was needed.
	contentPart string
	// avoid holds servers that failed this request.
	avoid map[string]bool
	// outcome, status and detail are written to the request's log line.
	outcome outcome
	status  int
	detail  string
	path    string
	// zoneCrossings counts the zone changes along the path.
	zoneCrossings int
	// cause is the reason why no path was found. waited is how long the request
	// waited for paths; waiting and expectedWait describe the queue when it was
	// refused.
	cause                string
	waiting              int
	waited, expectedWait time.Duration
	// responded is set once a complete response has been written.
	responded bool
	// firstByte is when the first byte of the response was sent to the client.
	firstByte time.Time
	// longestGap is the longest time between two events of a stream.
	longestGap time.Duration
}

// outcome describes how a request ended.
type outcome string

const (
	outcomeAnswered   outcome = "answered"
	outcomeRefused    outcome = "refused"
	outcomeFailed     outcome = "failed"
	outcomeClientGone outcome = "caller_gone"
	outcomeAborted    outcome = "broken_off"
)

// ServeHTTP handles a client request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := clientconn.NewContext(r.Context())
	defer cancel()
	r = r.WithContext(ctx)
	q := &request{Entry: e, w: w, r: r, info: e.headerCodec.ParseRequest(r.Header), started: time.Now(), avoid: map[string]bool{}, phase: phaseArriving}
	e.inFlight.add(1)
	defer e.inFlight.add(-1)
	q.client = watchClient(ctx)
	defer q.logFinished()
	defer q.releaseBody()
	if !r.ProtoAtLeast(1, 1) {
		// Without chunks, the end of the connection ends an answer of unknown length.
		end := clientconn.ResetUnlessWhole(ctx)
		defer func() { end(q.responded) }()
	}
	if e.isDraining() && !clientconn.ClosesWhenIdle(ctx) {
		w.Header().Set("Connection", "close")
	}
	if p := q.admit(); p != nil {
		q.refuse(p)
		return
	}
	if !clientconn.Admitted(ctx) {
		q.refuse(q.retryLater(problem.Overloaded, "too many clients are connected", tooManyClientsRetryAfter))
		return
	}
	q.phase = phaseWaiting
	if q.route.CallKind == config.CallStream {
		q.serveStream()
	} else {
		q.serveUnary()
	}
	if !q.responded {
		// http.Server would send an empty 200 response, or end a stream as if it were
		// complete. Both reach a client that has closed only its sending side.
		panic(http.ErrAbortHandler)
	}
}

// admit determines the route and the team and reads the body.
func (q *request) admit() *problem.Problem {
	if q.pause.wasHeldUp(bootclock.Now()) && !q.awaitConfirmation() {
		return q.retryLater(problem.NoBackend, "the configuration could not be read again in time", noConfigurationRetryAfter)
	}
	q.awaitStartup()
	if q.shutdown.isEnded() {
		return q.stoppingProblem()
	}
	q.revision = q.current.Load()
	rev := q.revision
	if rev == nil {
		return q.retryLater(problem.NoBackend, "no configuration is in force yet", noConfigurationRetryAfter)
	}
	if limit := rev.Limits.HeaderBytes; limit > 0 && headerBytes(q.r) > limit {
		return problem.NotExecuted(problem.HeaderTooLarge, "the header is larger than allowed")
	}
	path := q.r.URL.EscapedPath()
	q.route = rev.routes.Find(q.r.Host, path)
	if q.route == nil {
		return problem.NotExecuted(problem.UnknownRoute, "no route leads to this host and path")
	}
	team := rev.keys.Team(strings.TrimSpace(q.info.Key))
	if team == nil && !q.route.Anonymous {
		return problem.NotExecuted(problem.Unauthorized, "the key is not known")
	}
	q.rank = rev.rank(q.route, team)
	if team != nil {
		q.team, q.teamWeight = team.Name, team.Weight
	}
	if p := q.blockedPrompt(); p != nil {
		return p
	}
	timeout := q.route.EffectiveTimeout(q.info.Timeout)
	q.deadline, q.bootDeadline = q.started.Add(timeout), bootclock.Now().Add(timeout)
	q.limitWriting()
	if p := q.refuseWhileStopping(); p != nil {
		return p
	}
	q.target = q.route.PickTarget(q.fleet.randomFloat())
	if p := q.readBody(rev.Limits.BodyBytes); p != nil {
		return p
	}
	return q.blockedContent()
}

// blockedPrompt refuses a request with a prompt part that crashes engines.
func (q *request) blockedPrompt() *problem.Problem { return q.refuseIfBlocked(q.info.PromptParts) }

// noBodyMemoryRetryAfter is the Retry-After time while there is no memory for another body: a
// few times what a body takes to arrive.
const noBodyMemoryRetryAfter = 500 * time.Millisecond

// tooManyClientsRetryAfter is the Retry-After time when the client's connection was given up
// for others: about the time until one that waits for its client has ended.
const tooManyClientsRetryAfter = time.Second

// noConfigurationRetryAfter is roughly the time that a new process takes to
// read the configuration.
const noConfigurationRetryAfter = 500 * time.Millisecond

// knownTimeout returns the request's time as far as it is known before its route is: the
// client's limit, and the timeout of the route that it would take now. It is 0 if neither is.
func (q *request) knownTimeout() time.Duration {
	if rev := q.current.Load(); rev != nil {
		if route := rev.routes.Find(q.r.Host, q.r.URL.EscapedPath()); route != nil {
			return route.EffectiveTimeout(q.info.Timeout)
		}
	}
	return q.info.Timeout
}

// awaitConfirmation waits for the configuration after a pause of the process, and reports
// whether it was read again, or the store found silent, within the request's time.
func (q *request) awaitConfirmation() bool {
	ctx, cancel := context.WithCancel(q.r.Context())
	defer cancel()
	if timeout := q.knownTimeout(); timeout > 0 {
		ctx, cancel = context.WithDeadline(ctx, q.started.Add(timeout))
		defer cancel()
	}
	awaitWhile(ctx, q.confirmConfiguration)
	return ctx.Err() == nil
}

const (
	// maxStartupWaitFraction bounds the wait for a process that has just started, as a
	// fraction of the time that the client has.
	maxStartupWaitFraction = 1.0 / 3
	startupCheckInterval   = 10 * time.Millisecond
	// startupTime is how long after its start a process expects to hear of the
	// configuration and of servers.
	startupTime = 2 * time.Second
)

// awaitStartup waits until this process knows a configuration and servers. When many
// entries restart at once, clients come back before that, and some come back only once.
func (q *request) awaitStartup() {
	if !q.isStartingUp(time.Now()) {
		return
	}
	limit := noConfigurationRetryAfter
	if timeout := q.knownTimeout(); timeout > 0 {
		limit = min(limit, time.Duration(float64(timeout)*maxStartupWaitFraction))
	}
	for q.isStartingUp(time.Now()) && time.Since(q.started) < limit && q.r.Context().Err() == nil && !q.shutdown.isEnded() {
		sleep(q.r.Context(), startupCheckInterval)
	}
}

// isStartingUp reports whether this process is about to learn what it needs to serve
// requests. After startupTime, requests are answered at once: the store may stay away.
func (e *Entry) isStartingUp(now time.Time) bool {
	return now.Sub(e.fleet.startedAt) < startupTime && (e.current.Load() == nil || len(e.fleet.snapshot()) == 0)
}

// headerBytes returns the smallest size that a request line and header may have had as the
// client sent them: http.Server does not keep spaces and line ends, and a header within the
// limit must not be refused for those that the client left out.
func headerBytes(r *http.Request) int64 {
	const lineEnd, separators, colon = len("\n"), len("  "), len(":")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + lineEnd + len("Host") + colon + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + colon + len(value) + lineEnd
		}
	}
	return int64(n + lineEnd)
}

// readBody reads the request's body until the deadline or the end of the process.
func (q *request) readBody(limit int64) *problem.Problem {
	if limit > 0 {
		q.r.Body = http.MaxBytesReader(q.w, q.r.Body, limit)
	}
	ctx, cancel := context.WithDeadline(q.shutdown.ended, q.deadline)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		// Without support for deadlines, the connection's own timeouts remain.
		_ = http.NewResponseController(q.w).SetReadDeadline(time.Unix(1, 0))
	})
	body, err := q.bodies.Read(q.r.Body, memlimit.BodySize{Stated: q.r.ContentLength, Most: limit})
	if !stop() {
		// The deadline may come into force only now, for the next request on the connection.
		q.w.Header().Set("Connection", "close")
		if err == nil {
			// http.Server takes the deadline for the end of the client.
			err = os.ErrDeadlineExceeded
		}
	}
	q.body = body
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return problem.NotExecuted(problem.BodyTooLarge, "the body is larger than allowed")
	case errors.Is(err, memlimit.ErrNoBodyMemory):
		return q.retryLater(problem.Overloaded, err.Error(), noBodyMemoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.bodyTimedOut = true
		return q.retryLater(problem.Overloaded, "the body did not arrive in time", noBodyMemoryRetryAfter)
	default:
		return problem.NotExecuted(problem.InvalidRequest, "the body could not be read")
	}
}

// releaseBody ends the use of the body. http.Server may keep the request in memory while it
// waits for a client that has been refused, so nothing refers to the body any more.
func (q *request) releaseBody() {
	q.bodies.Release(q.body)
	q.body = nil
}

// retryLater refuses a request that was not executed and tells the client when
// to retry.
func (q *request) retryLater(code problem.Code, detail string, after time.Duration) *problem.Problem {
	p := problem.NotExecuted(code, detail)
	p.RetryAfter, p.FractionalRetryAfter = after, true
	return p
}

// refuse responds that the request was not executed.
func (q *request) refuse(p *problem.Problem) {
	q.writeProblem(outcomeRefused, p)
}

// fail responds with an error that leaves open whether the request was
// executed.
func (q *request) fail(code problem.Code, detail string) {
	q.writeProblem(outcomeFailed, &problem.Problem{Code: code, Detail: detail, Executed: problem.ExecutedUnknown})
}

func (q *request) writeProblem(result outcome, p *problem.Problem) {
	p.RequestID = q.info.ID
	q.outcome, q.status, q.detail = result, p.Code.Status(), string(p.Code)+": "+p.Detail
	if q.r.Context().Err() != nil && !q.bodyTimedOut {
		q.outcome = outcomeClientGone
	}
	if !q.deadline.IsZero() {
		q.limitWriting()
	}
	// The context also ends when a client closes only its sending side, and such a
	// client still reads the response.
	p.Write(q.w)
	q.responded = true
}

// maxFinalWrite is how long after the end of its time a request still writes to its client.
const maxFinalWrite = 50 * time.Millisecond

// limitWriting ends writes to a client that does not read when the request's time is over.
// They would hold the request, and the room of its engines, for as long as the client likes.
// A request whose time is over already has time left for its last answer.
func (q *request) limitWriting() {
	end := time.Now()
	if q.deadline.After(end) {
		end = q.deadline
	}
	// Without support for deadlines, the end of the connection remains.
	_ = http.NewResponseController(q.w).SetWriteDeadline(end.Add(maxFinalWrite))
}

// buildOutbound returns the request to send to a server.
func (q *request) buildOutbound(info ForwardInfo) *outboundRequest {
	header := endToEndHeader(q.r.Header)
	info.Team, info.Rank, info.HasRank = q.team, q.rank, true
	info.TimeLeft = max(q.timeLeft(), time.Millisecond)
	q.headerCodec.EncodeRequest(header, info)
	return &outboundRequest{
		method: q.r.Method, target: q.r.RequestURI, host: q.r.Host, header: header, body: q.body, id: q.info.ID,
	}
}

// recordSent records that the request was sent to a server.
func (q *request) recordSent(at time.Time) {
	q.sentCount++
	q.phase, q.sentAt = phaseSent, at
}

// timeLeft returns the time until the deadline. It goes on while the machine is
// suspended.
func (q *request) timeLeft() time.Duration {
	return min(time.Until(q.deadline), q.bootDeadline.Sub(bootclock.Now()))
}

// copyHeader copies the header of a server's response to the client's.
func (q *request) copyHeader(x *exchange) {
	header := q.w.Header()
	for name, values := range endToEndHeader(x.response.Header) {
		header[name] = values
	}
	if _, stated := header["Date"]; !stated {
		header["Date"] = nil
	}
}

func (q *request) logFinished() {
	q.client.stop()
	q.requestMetrics.recordRequest(q)
	if !q.logLimiter.allow(time.Now()) {
		return
	}
	line := logevent.Write(q.logger, logevent.RelayRequestFinished).
		Str("request", q.info.ID).Str("outcome", string(q.outcome)).Int("status", q.status).
		Int("attempts", q.sentCount).Dur("took_ms", time.Since(q.started))
	if q.route != nil {
		line = line.Str("route", q.route.Name).Str("target", q.target).Int64("revision", q.revision.Revision)
	}
	if !q.firstByte.IsZero() {
		line = line.Dur("first_ms", q.firstByte.Sub(q.started))
	}
	if q.team != "" {
		line = line.Str("team", q.team).Int("rank", q.rank)
	}
	if q.waited >= passInterval {
		line = line.Dur("waited_ms", q.waited)
	}
	if q.expectedWait > 0 {
		line = line.Int("waiting", q.waiting).Dur("expected_wait_ms", q.expectedWait)
	}
	if q.longestGap > 0 {
		line = line.Dur("longest_pause_ms", q.longestGap)
	}
	if q.path != "" {
		line = line.Str("path", q.path).Int("crossings", q.zoneCrossings)
	}
	if q.outcome != outcomeAnswered && len(q.info.PromptParts) > 0 {
		line = line.Strs("parts", q.info.PromptParts)
	}
	if q.outcome == outcomeClientGone {
		line = q.describeClientLeft(line, time.Now())
	}
	if q.detail != "" {
		line = line.Str("detail", q.detail)
	}
	if q.cause != "" {
		line = line.Str("cause", q.cause)
	}
	line.Msg("")
}

func setContentLength(h http.Header, n int64) { h.Set("Content-Length", strconv.FormatInt(n, 10)) }
