package relay

import (
	"context"
	"time"

	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/membership"
)

const (
	// returnCheckInterval is how often lost engines are looked for.
	returnCheckInterval = 250 * time.Millisecond
	// returnProbeTimeout bounds a probe.
	returnProbeTimeout = 300 * time.Millisecond
)

// dueReturnProbes returns the lost engines that are to be asked now.
func (f *fleet) dueReturnProbes(now time.Time) (due []Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.conditions.DueProbes(now) {
		if server, known := f.servers[id]; known {
			due = append(due, server)
		}
	}
	return due
}

// markReturned records that a lost engine responds. An engine with another start
// time has lost its layers; its next record tells which it holds.
func (f *fleet) markReturned(now time.Time, id string, startTimeMillis int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers[id].StartTimeMillis != startTimeMillis || !f.conditions.MarkWorking(id) {
		return false
	}
	f.membership.Observe(now, id, membership.Heartbeat)
	return true
}

// retryFailed takes servers back whose connections have failed.
func (f *fleet) retryFailed(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.conditions.TakeBack(now) {
		f.membership.Observe(now, id, membership.Heartbeat)
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
