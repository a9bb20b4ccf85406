package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/answerend"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/problem"
)

const (
	// maxEndCheck bounds the wait for the end of the request's write and for the server if
	// an answer has ended with its connection, and the request may not be repeated or the
	// client has all events by then. A server that has fallen silent for a moment answers
	// later.
	maxEndCheck = minPatience
	// maxRepeatableEndCheck is the same for a call that another server may answer.
	maxRepeatableEndCheck = minSilence
	// endCheckInterval is the time between two questions.
	endCheckInterval = 100 * time.Millisecond
)

// end returns how the body of the response has ended, after a read has returned an error.
func (x *exchange) end(err error) answerend.End {
	if !errors.Is(err, io.EOF) {
		return answerend.Cut
	}
	return answerend.InOrder(x.response.ContentLength, len(x.response.TransferEncoding) > 0, x.response.Body != http.NoBody)
}

// requestKind returns what may follow an answer of the route that is not whole.
func requestKind(route *config.Route) answerend.Kind {
	switch {
	case route.Resumable:
		return answerend.ResumableStream
	case route.CallKind == config.CallStream:
		return answerend.Stream
	case route.CallKind == config.CallIdempotent:
		return answerend.Idempotent
	}
	return answerend.AtMostOnce
}

// isRepeatable reports whether the request may be sent again although a server may have run
// it.
func (q *request) isRepeatable() bool { return requestKind(q.route).Repeats() && q.mayRepeat() }

// endWithout ends a request that gets no whole answer, after its last attempt. The refusal
// is for a client that has got nothing of an answer, if no server has run the request.
func (q *request) endWithout(end answerend.End, refusal *problem.Problem) {
	r := answerend.Request{Kind: requestKind(q.route), PassedOn: !q.firstByte.IsZero(), NotRun: !q.maybeExecuted, NoRetry: true}
	switch answerend.Decide(r, answerend.Evidence{End: end}) {
	case answerend.Nobody:
		q.outcome, q.detail = outcomeClientGone, refusal.Detail
	case answerend.BrokenOff:
		// The client's connection is closed, so that the answer does not look complete.
		q.outcome, q.detail = outcomeAborted, refusal.Detail
		panic(http.ErrAbortHandler)
	case answerend.Refused:
		q.refuse(refusal)
	default:
		code := problem.OutcomeUnknown
		if end == answerend.TimeOver {
			code = problem.DeadlineExceeded
		}
		q.fail(code, refusal.Detail)
	}
}

// endUnfinished ends a request whose time is over, whose client has left or whose process ends.
func (q *request) endUnfinished() {
	switch {
	case q.r.Context().Err() != nil:
		q.endWithout(answerend.ClientLeft, &problem.Problem{})
	case q.shutdown.isEnded():
		q.endWithout(answerend.Stopped, q.stoppingProblem())
	default:
		q.endWithout(answerend.TimeOver, &problem.Problem{Detail: "the time for this request is over"})
	}
}

// isWholeCall reports whether the answer of a server is whole, once it has ended in order.
// A server is asked only if nothing else shows it, and only once the request is written.
func (q *request) isWholeCall(ctx context.Context, x *exchange, server Server) bool {
	evidence := answerend.Evidence{End: x.end(io.EOF)}
	if evidence.End.NeedsEvidence() {
		ctx, cancel := context.WithTimeout(ctx, q.endCheckTime())
		defer cancel()
		if evidence.RequestSent = x.awaitRequestWritten(ctx); evidence.RequestSent {
			evidence.Processes = []answerend.Process{q.askServer(ctx, server)}
		}
	}
	return evidence.IsWhole()
}

// endCheckTime returns how long a call waits for its server to show that it still works.
func (q *request) endCheckTime() time.Duration {
	if q.firstByte.IsZero() && q.mayRetryFailure() && q.hasOtherServer() {
		return maxRepeatableEndCheck
	}
	return maxEndCheck
}

// askServer finds out whether the process that has answered still works. An idle
// connection that stays open shows it. Otherwise it opens one and sends nothing, so that a
// server that has asked for a pause gets no request. It waits for one that accepts no
// connection: it may be silent for a moment, or have too many. A refused connection shows
// that nothing listens.
func (e *Entry) askServer(ctx context.Context, server Server) answerend.Process {
	works := e.pool.keepsIdle(ctx, server.Address)
	for {
		var err error
		if !works {
			var ends bool
			ends, err = e.pool.probe(ctx, server.Address)
			works = err == nil && !ends
		}
		now, known := e.fleet.byAddress(server.Address)
		switch {
		case known && (now.ID != server.ID || endedExchange{server: server}.hasRestarted(now)):
			return answerend.Restarted
		case errors.Is(err, syscall.ECONNREFUSED):
			return answerend.Crashed
		case works && e.fleet.isLeaving(server.ID):
			return answerend.Leaving
		case works:
			return answerend.Alive
		}
		sleep(ctx, endCheckInterval)
		if ctx.Err() != nil {
			return answerend.Unknown
		}
	}
}

// isWhole reports whether a stream that has ended in order is complete. One that ends with
// its connection looks the same if an engine of its path has crashed between two events, so
// all are asked whether they are there, once the request is written. If the stream was
// complete all the same, another attempt finds nothing left to send.
func (a *attempt) isWhole(ctx context.Context, err error, insideEvent bool) bool {
	evidence := answerend.Evidence{End: a.x.end(err), InsideEvent: insideEvent, NoEvent: a.progressSince.IsZero()}
	if evidence.End.NeedsEvidence() && !insideEvent && !evidence.NoEvent {
		ctx, cancel := context.WithTimeout(ctx, maxEndCheck)
		defer cancel()
		if evidence.RequestSent = a.x.awaitRequestWritten(ctx); evidence.RequestSent {
			evidence.Processes = a.askEngines(ctx)
		}
	}
	return evidence.IsWhole()
}

// askEngines finds out whether the engines of the path still work, all at the same time. No
// engine is asked if one of them is known to be lost.
func (a *attempt) askEngines(ctx context.Context) []answerend.Process {
	if lost, _ := a.fleet.unusable(a.hops[1:]); a.stageLost || len(lost) > 0 {
		return []answerend.Process{answerend.Crashed}
	}
	processes := make([]answerend.Process, len(a.hops))
	var asking sync.WaitGroup
	for stage := 1; stage < len(a.hops); stage++ {
		asking.Go(func() { processes[stage] = a.askServer(ctx, a.stageServer(stage)) })
	}
	processes[0] = a.askHead(ctx)
	asking.Wait()
	return processes
}

// askHead finds out whether the first engine works and waits for no other one of the path.
// One that must not be asked now is not known to. A crashed engine refuses the connection,
// and one that has fallen silent for a moment answers later.
func (a *attempt) askHead(ctx context.Context) answerend.Process {
	for {
		askedAt := time.Now()
		status, err := a.engines.Status(ctx, a.hops[0].Address)
		blocked := slices.ContainsFunc(a.hops[1:], func(h pipeline.Hop) bool { return slices.Contains(stalledAddresses(status), h.Address) })
		switch {
		case errors.Is(err, errServerPaused) || errors.Is(err, errServerLimited):
			return answerend.Unknown
		case errors.Is(err, ErrNoResponse) && ctx.Err() == nil && time.Since(askedAt) < stallTimeout:
			return answerend.Crashed
		case a.startTimes[0] > 0 && status.StartTimeMillis > a.startTimes[0]:
			return answerend.Restarted
		case !errors.Is(err, ErrNoResponse) && !blocked:
			return answerend.Alive
		}
		sleep(ctx, endCheckInterval)
		if ctx.Err() != nil {
			return answerend.Unknown
		}
	}
}

// stageServer returns an engine of the path as the process that it was when the request was
// sent along the path.
func (a *attempt) stageServer(stage int) Server {
	hop := a.hops[stage]
	server, known := a.fleet.snapshot()[hop.Engine]
	if !known {
		server.Instance = membership.Instance{ID: hop.Engine, Address: hop.Address}
	}
	server.StartTimeMillis = a.startTimes[stage]
	return server
}

// startTimesOf returns the start times of the engines of a path.
func (f *fleet) startTimesOf(hops []pipeline.Hop) []int64 {
	servers, times := f.snapshot(), make([]int64, len(hops))
	for i, h := range hops {
		times[i] = servers[h.Engine].StartTimeMillis
	}
	return times
}
