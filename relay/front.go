package relay

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/retry"
)

// request is one request of a caller.
type request struct {
	*Entry
	w        http.ResponseWriter
	r        *http.Request
	call     RequestInfo
	revision *revision
	route    *config.Route
	team     string
	target   string
	body     []byte
	started  time.Time
	// deadline is when the caller stops waiting or the route's timeout passes.
	deadline time.Time
	// attempts counts the attempts that ended without an answer, sends the servers
	// to which the request was sent.
	attempts retry.AttemptCounts
	sends    int
	// ranBefore is set once an earlier server may have run the request.
	ranBefore bool
	// avoid holds servers that failed this request.
	avoid map[string]bool
	// outcome, status and detail go to the log line of the request.
	outcome outcome
	status  int
	detail  string
	path    string
	// crossings counts the changes of zone on the path.
	crossings int
	// cause says what kept the request from a path.
	cause string
	// firstByte is when the first byte of the answer went to the caller.
	firstByte time.Time
	// longestPause is the longest time between two events of a stream.
	longestPause time.Duration
}

// outcome says how a request ended.
type outcome string

const (
	outcomeAnswered   outcome = "answered"
	outcomeRefused    outcome = "refused"
	outcomeFailed     outcome = "failed"
	outcomeCallerGone outcome = "caller_gone"
	outcomeBrokenOff  outcome = "broken_off"
)

// ServeHTTP handles one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{Entry: e, w: w, r: r, call: e.wire.ParseRequest(r.Header), started: time.Now(), avoid: map[string]bool{}}
	e.running.add(1)
	defer e.running.add(-1)
	defer q.finished()
	if e.isDraining() {
		w.Header().Set("Connection", "close")
	}
	if p := q.admit(); p != nil {
		q.refuse(p)
		return
	}
	if q.route.CallKind == config.CallStream {
		q.stream()
		return
	}
	q.plain()
}

// admit finds the route and the team and reads the body.
func (q *request) admit() *problem.Problem {
	q.revision = q.current.Load()
	rev := q.revision
	if rev == nil {
		return q.retryLater(problem.NoBackend, "no configuration is in force yet", noConfigurationRetry)
	}
	if limit := rev.Limits.HeaderBytes; limit > 0 && headerBytes(q.r) > limit {
		return problem.NotExecuted(problem.HeaderTooLarge, "the header is larger than allowed")
	}
	path := q.r.URL.EscapedPath()
	q.route = rev.routes.Find(q.r.Host, path)
	if q.route == nil {
		return problem.NotExecuted(problem.UnknownRoute, "no route leads to this host and path")
	}
	team := rev.keys.Team(strings.TrimSpace(q.call.Key))
	if team == nil && !q.route.Anonymous {
		return problem.NotExecuted(problem.Unauthorized, "the key is not known")
	}
	if team != nil {
		q.team = team.Name
	}
	q.deadline = q.started.Add(q.route.EffectiveTimeout(q.call.Timeout))
	q.target = q.route.PickTarget(q.fleet.point())
	return q.readBody(rev.Limits.BodyBytes)
}

// noConfigurationRetry is about the time that a new process takes to read the configuration.
const noConfigurationRetry = 500 * time.Millisecond

// headerBytes is the size of a request's first line and header, as a caller writes them.
func headerBytes(r *http.Request) int64 {
	const lineEnd, separators = 2, 2
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + lineEnd + len("Host: ") + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(": ") + len(value) + lineEnd
		}
	}
	return int64(n + lineEnd)
}

func (q *request) readBody(limit int64) *problem.Problem {
	if limit > 0 {
		q.r.Body = http.MaxBytesReader(q.w, q.r.Body, limit)
	}
	body, err := io.ReadAll(q.r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return problem.NotExecuted(problem.BodyTooLarge, "the body is larger than allowed")
	case err != nil:
		return problem.NotExecuted(problem.InvalidRequest, "the body could not be read")
	}
	q.body = body
	return nil
}

// retryLater refuses a request that has not run and names a time to come back.
func (q *request) retryLater(code problem.Code, detail string, after time.Duration) *problem.Problem {
	p := problem.NotExecuted(code, detail)
	p.RetryAfter, p.FractionalRetryAfter = after, true
	return p
}

// refuse gives an own answer that says that the request has not run.
func (q *request) refuse(p *problem.Problem) {
	q.own(outcomeRefused, p)
}

// fail gives an own answer that promises nothing.
func (q *request) fail(code problem.Code, detail string) {
	q.own(outcomeFailed, &problem.Problem{Code: code, Detail: detail, Executed: problem.ExecutedUnknown})
}

func (q *request) own(how outcome, p *problem.Problem) {
	if q.r.Context().Err() != nil {
		q.outcome, q.detail = outcomeCallerGone, p.Detail
		return
	}
	p.RequestID = q.call.ID
	q.outcome, q.status, q.detail = how, p.Code.Status(), string(p.Code)+": "+p.Detail
	p.Write(q.w)
}

// outbound returns the request for a server.
func (q *request) outbound(send ForwardInfo) *outbound {
	header := passedHeader(q.r.Header)
	send.Team = q.team
	send.TimeLeft = time.Until(q.deadline)
	q.wire.EncodeRequest(header, send)
	return &outbound{
		method: q.r.Method, target: q.r.RequestURI, host: q.r.Host, header: header, body: q.body, id: q.call.ID,
	}
}

// passHeader copies the header of a server's answer.
func (q *request) passHeader(x *exchange) {
	header := q.w.Header()
	for name, values := range passedHeader(x.response.Header) {
		header[name] = values
	}
	if _, stated := header["Date"]; !stated {
		header["Date"] = nil
	}
}

func (q *request) finished() {
	q.counters.finished(q)
	if !q.logGate.allow(time.Now()) {
		return
	}
	line := logevent.Write(q.logger, logevent.RelayRequestFinished).
		Str("request", q.call.ID).Str("outcome", string(q.outcome)).Int("status", q.status).
		Int("attempts", q.sends).Dur("took_ms", time.Since(q.started))
	if q.route != nil {
		line = line.Str("route", q.route.Name).Str("target", q.target).Int64("revision", q.revision.Revision)
	}
	if !q.firstByte.IsZero() {
		line = line.Dur("first_ms", q.firstByte.Sub(q.started))
	}
	if q.longestPause > 0 {
		line = line.Dur("longest_pause_ms", q.longestPause)
	}
	if q.path != "" {
		line = line.Str("path", q.path).Int("crossings", q.crossings)
	}
	if q.detail != "" {
		line = line.Str("detail", q.detail)
	}
	if q.cause != "" {
		line = line.Str("cause", q.cause)
	}
	line.Msg("")
}

func setLength(h http.Header, n int64) { h.Set("Content-Length", strconv.FormatInt(n, 10)) }
