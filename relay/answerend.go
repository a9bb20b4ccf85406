package relay

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/answerend"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

const (
	// maxRepeatableEndCheck is maxEndCheck for a call that another server may answer.
	maxRepeatableEndCheck = minSilence
	// endCheckInterval is the time between two questions.
	endCheckInterval = 100 * time.Millisecond
)

// end returns how the body of the response has ended, after a read has returned an error.
func (x *exchange) end(err error) answerend.End {
	switch {
	case !errors.Is(err, io.EOF):
		return answerend.Cut
	case len(x.response.TransferEncoding) > 0:
		return answerend.LastChunk
	case x.response.ContentLength >= 0 || x.response.Body == http.NoBody:
		return answerend.LengthReached
	}
	return answerend.Closed
}

// isWholeCall reports whether the answer of a server is whole, once it has ended in order.
// A server is asked only if nothing else shows it.
func (q *request) isWholeCall(ctx context.Context, x *exchange, server Server, wait time.Duration) bool {
	evidence := answerend.Evidence{End: x.end(io.EOF)}
	if evidence.End.NeedsProcesses() {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		evidence.Processes = []answerend.Process{q.askServer(ctx, server)}
	}
	return evidence.IsWhole()
}

// endCheckTime returns how long a call waits for its server to show that it still works,
// before any of the answer is passed on.
func (q *request) endCheckTime() time.Duration {
	if q.mayRetryFailure() && q.hasOtherServer() {
		return maxRepeatableEndCheck
	}
	return maxEndCheck
}

// askServer finds out whether the process that has answered still works. It opens a
// connection and sends nothing, so that it costs the server no slot, and one that has asked
// for a pause gets no request. It waits for one that accepts no connection: it may be silent
// for a moment, or have too many. A refused connection shows that nothing listens.
func (e *Entry) askServer(ctx context.Context, server Server) answerend.Process {
	for {
		ends, err := e.pool.probe(ctx, server.Address)
		now, known := e.fleet.byAddress(server.Address)
		switch {
		case known && (now.ID != server.ID || endedExchange{server: server}.hasRestarted(now)):
			return answerend.Restarted
		case errors.Is(err, syscall.ECONNREFUSED):
			return answerend.Crashed
		case err == nil && !ends && e.fleet.isLeaving(server.ID):
			return answerend.Leaving
		case err == nil && !ends:
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
