package sidecar

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirefield/sapphirefield/wire"
)

// ServingState is what an engine serves. Without layers it serves nothing.
type ServingState struct {
	Version string
	Layers  *wire.LayerRange
}

// vacatePoll is how often Vacate looks whether the attempts have ended.
const vacatePoll = 20 * time.Millisecond

// hello is the sidecar's greeting; it must be called with the lock held.
func (s *Server) hello() *wire.WorkDown {
	return &wire.WorkDown{Body: &wire.WorkDown_Hello{Hello: &wire.Hello{
		Id: s.opts.ID, Incarnation: s.incarnation, Zone: s.opts.Zone, Service: s.opts.Service,
		Model: s.opts.Model, Layers: s.held.Layers, Version: s.held.Version, Placed: s.opts.Placed,
		Draining: s.ledger.Draining(),
	}}}
}

// SetServing sets what the engine serves and tells all entries. Attempts that were
// opened before go on.
func (s *Server) SetServing(h ServingState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held.Version == h.Version && proto.Equal(s.held.Layers, h.Layers) {
		return
	}
	s.held = h
	for _, e := range s.entries {
		e.push(s.hello())
	}
}

// DrainForOrder makes the engine free for an order: it takes no new work, waits up to
// grace for the attempts in progress, and fails those that are left, so that
// their entries move them to other engines by replay.
func (s *Server) DrainForOrder(ctx context.Context, grace time.Duration) {
	s.SetServing(ServingState{})
	ticker := time.NewTicker(vacatePoll)
	defer ticker.Stop()
	deadline := time.Now().Add(grace)
	for !s.isVacant() && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	s.failAttempts()
}

func (s *Server) isVacant() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts) == 0
}

// failAttempts gives up the attempts whose KV cache an order destroys.
func (s *Server) failAttempts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for request, a := range s.attempts {
		s.fail(a, "engine moves to another range or version", a.open.Position)
		s.closeAttempt(request, a, now)
	}
	s.checkIdle()
}

// MarkEngineDown tells that the engine does not answer questions about its state.
// An idle engine is not missed by any step.
func (s *Server) MarkEngineDown(ctx context.Context, cause error) {
	if s.isEngineUp() {
		s.engineFailed(ctx, cause)
	}
}
