package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sapphirefield/sapphirefield/problem"
)

// stoppingRetryAfter is the Retry-After time of a request that a stopping process does
// not take; up to as much is added at random. Its client reaches another entry.
const stoppingRetryAfter = 100 * time.Millisecond

// shutdown is the planned end of a process.
type shutdown struct {
	// limit is when the process ends whatever is in progress; nil while there is no end.
	limit atomic.Pointer[time.Time]
	// refusing is set once requests that may outlast the limit are refused.
	refusing atomic.Bool
	// ended is done once the limit has come.
	ended context.Context
	end   context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// takes reports whether a request with a deadline may still be begun.
func (s *shutdown) takes(deadline time.Time) bool {
	limit := s.limit.Load()
	return limit == nil || !s.refusing.Load() || !deadline.After(*limit)
}

// SetShutdownLimit tells the entry when its process ends.
func (e *Entry) SetShutdownLimit(limit time.Time) { e.shutdown.limit.Store(&limit) }

// EndRequests ends all requests in progress. Each client gets an answer: a refusal if
// nothing was sent to a server, a failure if a server may have executed the request, and
// a stream that has begun is broken off, so that it does not look complete.
func (e *Entry) EndRequests() { e.shutdown.end() }

// refuseWhileStopping refuses a request that might be cut off by the end of the process.
func (q *request) refuseWhileStopping() *problem.Problem {
	if q.shutdown.takes(q.deadline) {
		return nil
	}
	return q.stoppingProblem()
}

func (q *request) stoppingProblem() *problem.Problem {
	after := stoppingRetryAfter + time.Duration(q.fleet.randomFloat()*float64(stoppingRetryAfter))
	return q.retryLater(problem.Overloaded, "this instance is shutting down", after)
}

// workContext returns the context of the work for a request, which ends at its deadline,
// when its client leaves or when the process ends.
func (q *request) workContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	stop := context.AfterFunc(q.shutdown.ended, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// awaitWhile runs work that is not for one request alone, and waits for it until ctx ends. The
// work goes on then, so it must not use what belongs to the request.
func awaitWhile(ctx context.Context, work func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// isEnded reports whether the process ends, which cuts off all requests.
func (s *shutdown) isEnded() bool { return s.ended.Err() != nil }
