package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/bootclock"
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
)

// errServerSilent means that a server neither answers nor accepts connections.
var errServerSilent = errors.New("the server is silent and accepts no connection")

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

// watchSilence looks after a server that does not answer the request, until the returned
// function is called. A server that accepts no connection gets no new requests. The
// attempt ends if another one may follow; otherwise its answer is still waited for.
func (q *request) watchSilence(ctx context.Context, server Server) (watched context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	delay := max(minSilence, silenceTargets*q.route.TargetLatency)
	var timer *time.Timer
	// It is started once the variable is set, which the function reads.
	timer = time.AfterFunc(time.Hour, func() {
		if ctx.Err() != nil {
			return
		}
		if q.silenceProbes.start(time.Now(), server.Address) && q.pool.hasCrashed(ctx, server.Address) &&
			ctx.Err() == nil && !q.pause.wasHeldUp(bootclock.Now()) {
			q.fleet.observe(time.Now(), server.ID, membership.ConnectionLost)
			if q.mayRetryFailure() {
				cancel(errServerSilent)
				return
			}
		}
		timer.Reset(delay)
	})
	timer.Reset(delay)
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}
