package relay

import (
	"sync/atomic"
	"time"

	"github.com/sapphirefield/sapphirefield/problem"
)

// stoppingRetryAfter is the Retry-After time of a request that a stopping process does
// not take; up to as much is added at random. Most clients reach another entry then, and
// if all are stopping, this one is back soon.
const stoppingRetryAfter = time.Second

// shutdown is the planned end of a process.
type shutdown struct {
	// limit is when the process ends whatever is in progress; nil while there is no end.
	limit atomic.Pointer[time.Time]
	// refusing is set once requests that may outlast the limit are refused.
	refusing atomic.Bool
}

// takes reports whether a request with a deadline may still be begun.
func (s *shutdown) takes(deadline time.Time) bool {
	limit := s.limit.Load()
	return limit == nil || !s.refusing.Load() || !deadline.After(*limit)
}

// SetShutdownLimit tells the entry when its process ends.
func (e *Entry) SetShutdownLimit(limit time.Time) { e.shutdown.limit.Store(&limit) }

// refuseWhileStopping refuses a request that might be cut off by the end of the process.
func (q *request) refuseWhileStopping() *problem.Problem {
	if q.shutdown.takes(q.deadline) {
		return nil
	}
	after := stoppingRetryAfter + time.Duration(q.fleet.randomFloat()*float64(stoppingRetryAfter))
	return q.retryLater(problem.Overloaded, "this instance is shutting down", after)
}
