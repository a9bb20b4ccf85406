package sidecar

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirefield/sapphirefield/wire"
)

// Holding is what an engine serves. Without layers it serves nothing.
type Holding struct {
	Version string
	Layers  *wire.LayerRange
}

// drainPollInterval is how often Vacate looks whether the attempts have ended.
const drainPollInterval = 20 * time.Millisecond

// helloFrame is the sidecar's greeting; it must be called with the lock held.
func (s *Server) helloFrame() *wire.WorkDown {
	return &wire.WorkDown{Body: &wire.WorkDown_Hello{Hello: &wire.Hello{
		Id: s.opts.ID, Incarnation: s.incarnation, Zone: s.opts.Zone, Service: s.opts.Service,
		Model: s.opts.Model, Layers: s.serving.Layers, Version: s.serving.Version, Placed: s.opts.Placed,
		Draining: s.ledger.Draining(),
	}}}
}

// Hold sets what the engine serves and tells all entries. Attempts that were
// opened before go on.
func (s *Server) Hold(h Holding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serving.Version == h.Version && proto.Equal(s.serving.Layers, h.Layers) {
		return
	}
	s.serving = h
	for _, e := range s.entries {
		e.push(s.helloFrame())
	}
}

// Vacate makes the engine free for an order: it takes no new work, waits up to
// grace for the attempts in progress, and fails those that are left, so that
// their entries move them to other engines by replay.
func (s *Server) Vacate(ctx context.Context, grace time.Duration) {
	s.Hold(Holding{})
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	deadline := time.Now().Add(grace)
	for !s.hasNoAttempts() && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	s.failAttempts()
}

func (s *Server) hasNoAttempts() bool {
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
		s.reportFailure(a, "engine moves to another range or version", a.open.Position)
		s.closeAttempt(request, a, now)
	}
	s.checkDrained()
}

// EngineLost tells that the engine does not answer questions about its state.
// An idle engine is not missed by any step.
func (s *Server) EngineLost(ctx context.Context, cause error) {
	if s.isEngineUp() {
		s.handleEngineFailure(ctx, cause)
	}
}
