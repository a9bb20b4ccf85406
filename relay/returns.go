package relay

import (
	"context"
	"time"

	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/membership"
)

const (
	// firstReturnProbe is how long after its loss an engine is first asked whether it
	// works. The time doubles with each probe, up to maxReturnProbe.
	firstReturnProbe = 500 * time.Millisecond
	maxReturnProbe   = 8 * time.Second
	// returnCheckInterval is how often lost engines are looked for.
	returnCheckInterval = 250 * time.Millisecond
	// returnProbeTimeout bounds a probe.
	returnProbeTimeout = 300 * time.Millisecond
)

// lostEngine is an engine that was found not to work. Its record in the store may
// stay as it is when it works again, so that it is asked itself.
type lostEngine struct {
	// since is when the loss was found.
	since time.Time
	// probeAt is the time of the next probe.
	probeAt time.Time
}

// dueReturnProbes returns the lost engines that are to be asked now.
func (f *fleet) dueReturnProbes(now time.Time) (due []Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, l := range f.lost {
		server, known := f.servers[id]
		if !known || now.Before(l.probeAt) {
			continue
		}
		l.probeAt = now.Add(min(max(now.Sub(l.since), firstReturnProbe), maxReturnProbe))
		due = append(due, server)
	}
	return due
}

// markReturned records that a lost engine responds. An engine with another start
// time has lost its layers; its next record tells which it holds.
func (f *fleet) markReturned(now time.Time, id string, startTimeMillis int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost[id] == nil || f.servers[id].StartTimeMillis != startTimeMillis {
		return false
	}
	delete(f.lost, id)
	f.membership.Observe(now, id, membership.Heartbeat)
	return true
}

// retryFailedAfter is how long after a failed connection a server of a non-pipeline
// service is taken back. The membership then leaves it out for a time that grows
// with each failure.
const retryFailedAfter = 250 * time.Millisecond

// retryFailed takes servers back whose connections have failed. Nothing else shows
// that they work: their records need not change, and they get no requests.
func (f *fleet) retryFailed(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, at := range f.failedAt {
		if now.Sub(at) < retryFailedAfter {
			continue
		}
		delete(f.failedAt, id)
		if f.lost[id] == nil {
			f.membership.Observe(now, id, membership.Heartbeat)
		}
	}
}

// runReturnProbes takes failed servers back and asks lost engines whether they work again.
func (e *Entry) runReturnProbes(ctx context.Context) error {
	for sleep(ctx, returnCheckInterval); ctx.Err() == nil; sleep(ctx, returnCheckInterval) {
		e.fleet.retryFailed(time.Now())
		for _, server := range e.fleet.dueReturnProbes(time.Now()) {
			go e.probeReturn(ctx, server)
		}
	}
	return ctx.Err()
}

func (e *Entry) probeReturn(ctx context.Context, server Server) {
	ctx, cancel := context.WithTimeout(ctx, returnProbeTimeout)
	defer cancel()
	status, err := e.engines.Status(ctx, server.Address)
	if err != nil {
		return
	}
	if e.fleet.markReturned(time.Now(), server.ID, status.StartTimeMillis) {
		logevent.Write(e.logger, logevent.EngineReturned).Str("server", server.ID).Msg("")
	}
}
