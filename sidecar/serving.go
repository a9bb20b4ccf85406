package sidecar

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirefield/sapphirefield/wire"
)

// ServingState is the model version and the layer range that an engine serves.
// Without layers the engine takes no work.
type ServingState struct {
	Version string
	Layers  *wire.LayerRange
}

// drainPollInterval is how often DrainForOrder checks whether all attempts have
// ended.
const drainPollInterval = 20 * time.Millisecond

// helloFrame returns the sidecar's Hello message. It must be called with the lock
// held.
func (s *Server) helloFrame() *wire.WorkDown {
	return &wire.WorkDown{Body: &wire.WorkDown_Hello{Hello: &wire.Hello{
		Id: s.opts.ID, Incarnation: s.incarnation, Zone: s.opts.Zone, Service: s.opts.Service,
		Model: s.opts.Model, Layers: s.serving.Layers, Version: s.serving.Version, Placed: s.opts.Placed,
		Draining: s.ledger.Draining(),
	}}}
}

// SetServing sets what the engine serves and notifies all connected entries.
// Open attempts continue.
func (s *Server) SetServing(h ServingState) {
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

// DrainForOrder drains the engine before a placement order changes its layers
// or version. New attempts are refused, and those still open after grace are
// reported as failed, so that their entries replay them on other engines.
func (s *Server) DrainForOrder(ctx context.Context, grace time.Duration) {
	s.SetServing(ServingState{})
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

// failAttempts reports all open attempts as failed and closes them, because the
// order destroys their KV caches.
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

// MarkEngineDown marks the engine as down after it did not respond to a request
// for its state. Without it the failure of an idle engine would not be noticed,
// because no step fails.
func (s *Server) MarkEngineDown(ctx context.Context, cause error) {
	if s.isEngineUp() {
		s.handleEngineFailure(ctx, cause)
	}
}
