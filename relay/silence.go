package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/membership"
)

const (
	// minSilence is the least time without an answer after which a server of a
	// non-pipeline service is asked for a connection, and silenceTargets the same in
	// multiples of the route's target. A server that is merely busy accepts one.
	minSilence     = 250 * time.Millisecond
	silenceTargets = 2
	// silenceProbeInterval is the time between two such connections to one server,
	// however many requests wait for it.
	silenceProbeInterval = 500 * time.Millisecond
	// minSilenceCheck is the least time between two checks of a server that does not
	// answer.
	minSilenceCheck = 50 * time.Millisecond
)

// errServerSilent means that a server does not answer, or accepts no connection either.
var errServerSilent = errors.New("the server does not answer")

// silenceProbes keeps many waiting requests from probing one server at the same time.
type silenceProbes struct {
	mu sync.Mutex
	at map[string]time.Time
}

// start reports whether a server may be probed now.
func (p *silenceProbes) start(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.at[address]) < silenceProbeInterval {
		return false
	}
	if p.at == nil {
		p.at = map[string]time.Time{}
	}
	for other, at := range p.at {
		if now.Sub(at) >= silenceProbeInterval {
			delete(p.at, other)
		}
	}
	p.at[address] = now
	return true
}

// leaveUnanswered records and logs that a server has left the request without an answer
// for too long.
func (q *request) leaveUnanswered(server string, sentAt time.Time) {
	if q.pause.wasHeldUp(bootclock.Now()) || !q.fleet.leaveUnanswered(time.Now(), sentAt, server) {
		return
	}
	logevent.Write(q.logger, logevent.ServerLeavesUnanswered).Str("server", server).Str("request", q.info.ID).
		Dur("waited_ms", time.Since(sentAt)).Msg("")
}

// watchSilence looks after a server that does not answer the request, until the returned
// function is called. A server that accepts no connection gets no new requests. The
// attempt ends if another server may follow; otherwise its answer is still waited for. A
// server that accepts connections may be busy: new requests prefer others, and the
// attempt ends only once the rest of the request's time is needed for another one.
func (q *request) watchSilence(ctx context.Context, server Server) (watched context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	sentAt := time.Now()
	q.fleet.recordSent(sentAt, server.ID)
	delay := max(minSilence, silenceTargets*q.route.TargetLatency)
	leaveAt := sentAt.Add(max(delay, q.timeLeft()/2))
	var checking sync.Mutex
	var timer *time.Timer
	// It is started once the variable is set, which the function reads.
	timer = time.AfterFunc(time.Hour, func() {
		checking.Lock()
		defer checking.Unlock()
		if ctx.Err() != nil {
			return
		}
		if q.shouldLeave(ctx, server, sentAt, leaveAt) {
			cancel(errServerSilent)
			return
		}
		next := delay
		if left := time.Until(leaveAt); left > 0 {
			next = max(min(delay, left), minSilenceCheck)
		}
		timer.Reset(next)
	})
	timer.Reset(delay)
	return ctx, func() {
		timer.Stop()
		cancel(nil)
		// A check that is under way reads the request.
		checking.Lock()
		defer checking.Unlock()
	}
}

// busyServiceTimes is how many times as long as usual a call waits before its server is
// taken for one that does not answer: under overload, all calls take long.
const busyServiceTimes = 8

// shouldLeave records that a server has not answered a call for long, and reports whether
// the call should go to another one.
func (q *request) shouldLeave(ctx context.Context, server Server, sentAt, leaveAt time.Time) bool {
	crashed := q.silenceProbes.start(time.Now(), server.Address) && q.pool.hasCrashed(ctx, server.Address)
	if ctx.Err() != nil || q.pause.wasHeldUp(bootclock.Now()) {
		return false
	}
	if crashed {
		q.fleet.observe(time.Now(), server.ID, membership.ConnectionLost)
		return q.mayRetryFailure() && q.hasOtherServer()
	}
	if time.Since(sentAt) >= busyServiceTimes*q.callRoom(q.target).serviceTime() {
		q.leaveUnanswered(server.ID, sentAt)
	}
	return !time.Now().Before(leaveAt) && q.mayRetryFailure() && q.fleet.hasAnsweringServer(time.Now(), q.target, q.avoid, server.ID)
}
