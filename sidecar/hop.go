package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/wire"
)

// hop is the outgoing stream to one other stage. All steps and tokens that
// wait are sent in one frame.
type hop struct {
	address string
	queue   *link.Queue[*wire.HopFrame]
	conn    *link.Conn
	// sent and acked count frames; both are guarded by the server's lock.
	sent, acked uint64
	// ackedAt is when the peer last acknowledged a frame or was owed nothing.
	ackedAt time.Time
}

// forwardPatience is how long a link may show no sign of transfer before what
// waits on it counts as stuck. The peer acknowledges a frame before it acts on it.
const forwardPatience = 250 * time.Millisecond

// isForwarding tells whether a step's output is on its way over a link that moves.
// It must be called with the lock held.
func (s *Server) isForwarding(a *stageAttempt, now time.Time) bool {
	if a.isLast() {
		return false
	}
	h := s.hops[a.next().Address]
	if h == nil || h.sent == h.acked {
		return false
	}
	moved := h.ackedAt
	if h.conn != nil && h.conn.LastWrite().After(moved) {
		moved = h.conn.LastWrite()
	}
	return now.Sub(moved) < forwardPatience
}

func (h *hop) pushStep(step *wire.Step) {
	h.queue.Push(&wire.HopFrame{Steps: []*wire.Step{step}})
}

func (h *hop) pushToken(token *wire.Token) {
	h.queue.Push(&wire.HopFrame{Tokens: []*wire.Token{token}})
}

// hopTo returns the hop to an address, opening it at first use. It must be
// called with the lock held.
func (s *Server) hopTo(address string) *hop {
	h := s.hops[address]
	if h == nil {
		h = &hop{address: address, queue: link.NewQueue[*wire.HopFrame](maxQueuedSteps)}
		s.hops[address] = h
		s.start(func() { s.runHop(h) })
	}
	return h
}

// runHop serves one outgoing stream until it fails or idles, then gives up the
// attempts that used it.
func (s *Server) runHop(h *hop) {
	err := s.driveHop(s.background, h)
	h.queue.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hops[h.address] == h {
		delete(s.hops, h.address)
	}
	if s.background.Err() != nil {
		return
	}
	s.failHop(h.address, err)
}

// failHop reports every attempt whose neighbour is behind the failed hop.
func (s *Server) failHop(address string, cause error) {
	reason := "hop closed"
	if cause != nil {
		reason = cause.Error()
	}
	for _, a := range s.attempts {
		if !s.ledger.Current(a.key) {
			continue
		}
		if !a.isLast() && a.next().Address == address {
			s.fail(a, reason, a.open.Position+1)
		}
		if a.isLast() && !a.isFirst() && a.open.Chain[0].Address == address {
			s.fail(a, reason, 0)
		}
	}
}

func (s *Server) driveHop(ctx context.Context, h *hop) error {
	conn, err := s.opts.Dialer.Dial(ctx, h.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	s.setHopConn(h, conn)
	stream, err := wire.NewDRPCSidecarClient(conn).Hop(ctx)
	if err != nil {
		return errors.WithStack(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	silence := link.NewSilence(time.Now(), link.SilenceLimit)
	group.Go(func() error { return s.receiveAcks(stream, h, silence) })
	group.Go(func() error {
		// Closing the connection ends the receiving side as well.
		defer func() { _ = conn.Close() }()
		return s.sendHop(ctx, stream, h, silence)
	})
	return group.Wait()
}

func (s *Server) sendHop(ctx context.Context, stream wire.DRPCSidecar_HopClient, h *hop, silence *link.Silence) error {
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	var sequence uint64
	for {
		frame := &wire.HopFrame{From: s.opts.ID}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if silence.Expired(now) {
				return errSilent
			}
		case <-h.queue.Ready():
			queued, open := h.queue.Take()
			if !open {
				return errors.New("too many steps wait for the next stage")
			}
			for _, q := range queued {
				frame.Steps = append(frame.Steps, q.Steps...)
				frame.Tokens = append(frame.Tokens, q.Tokens...)
			}
		}
		sequence++
		frame.Sequence = sequence
		s.countSent(h, time.Now())
		if err := stream.Send(frame); err != nil {
			return errors.WithStack(err)
		}
	}
}

func (s *Server) setHopConn(h *hop, conn *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.conn = conn
}

// countSent notes a frame that is about to be written.
func (s *Server) countSent(h *hop, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.sent == h.acked {
		h.ackedAt = now
	}
	h.sent++
}

func (s *Server) receiveAcks(stream wire.DRPCSidecar_HopClient, h *hop, silence *link.Silence) error {
	for {
		ack, err := stream.Recv()
		if err != nil {
			return errors.WithStack(err)
		}
		if !silence.Frame(time.Now()) {
			return errSilent
		}
		s.mu.Lock()
		h.acked = ack.Sequence
		h.ackedAt = time.Now()
		for _, refusal := range ack.Refusals {
			s.handleHopRefusal(refusal)
		}
		s.mu.Unlock()
	}
}

// handleHopRefusal gives up an attempt that the next stage does not know. A
// refusal of a stale or repeated step needs nothing.
func (s *Server) handleHopRefusal(refusal *wire.HopRefusal) {
	a := s.current(refusal.Request, refusal.Attempt)
	if a == nil || refusal.Reason == wire.RefusalReason_REFUSAL_STALE_ATTEMPT {
		return
	}
	stage := uint32(0)
	if !a.isLast() {
		stage = a.open.Position + 1
	}
	s.fail(a, "the next stage refused a step: "+refusal.Reason.String(), stage)
}

// Hop serves the incoming stream of the stage before, or of the last stage.
func (s *Server) Hop(stream wire.DRPCSidecar_HopStream) error {
	group, ctx := errgroup.WithContext(stream.Context())
	silence := link.NewSilence(time.Now(), link.SilenceLimit)
	group.Go(func() error { return s.receiveHop(stream, silence) })
	group.Go(func() error { return watchSilence(ctx, silence) })
	return group.Wait()
}

func (s *Server) receiveHop(stream wire.DRPCSidecar_HopStream, silence *link.Silence) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return errors.WithStack(err)
		}
		if !silence.Frame(time.Now()) {
			return errSilent
		}
		ack := s.handleHopFrame(frame)
		if err := stream.Send(ack); err != nil {
			return errors.WithStack(err)
		}
	}
}

func (s *Server) handleHopFrame(frame *wire.HopFrame) *wire.HopAck {
	s.mu.Lock()
	defer s.mu.Unlock()
	ack := &wire.HopAck{Sequence: frame.Sequence}
	for _, step := range frame.Steps {
		reason := s.handleHopStep(step)
		addRefusal(ack, step.Request, step.Attempt, step.Index, reason)
	}
	for _, token := range frame.Tokens {
		reason := s.handleHopToken(token)
		addRefusal(ack, token.Request, token.Attempt, token.Index, reason)
	}
	return ack
}

func addRefusal(ack *wire.HopAck, request string, number, index uint32, reason wire.RefusalReason) {
	if reason == wire.RefusalReason_REFUSAL_UNSPECIFIED {
		return
	}
	ack.Refusals = append(ack.Refusals, &wire.HopRefusal{Request: request, Attempt: number, Index: index, Reason: reason})
}

func (s *Server) handleHopStep(step *wire.Step) wire.RefusalReason {
	a := s.current(step.Request, step.Attempt)
	if a == nil {
		return wire.RefusalReason_REFUSAL_UNKNOWN_ATTEMPT
	}
	engineStep := s.engineStep(a, step.Index)
	engineStep.Activation = step.Activation
	return s.offer(a, engineStep)
}

func (s *Server) handleHopToken(token *wire.Token) wire.RefusalReason {
	a := s.current(token.Request, token.Attempt)
	if a == nil {
		return wire.RefusalReason_REFUSAL_UNKNOWN_ATTEMPT
	}
	return s.continueWith(a, token)
}

// watchSilence ends a stream on which the peer shows no sign of life.
func watchSilence(ctx context.Context, silence *link.Silence) error {
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if silence.Expired(now) {
				return errSilent
			}
		}
	}
}
