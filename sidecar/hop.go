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
	instance string
	address  string
	zone     string
	queue    *link.Queue[*wire.HopFrame]
	conn     *link.Conn
	// The fields below are guarded by the server's lock. sent holds the frames
	// that wait for an acknowledgement, ackedAt is when the last one came.
	sent    []sentFrame
	ackedAt time.Time
	// perByte is the average time until an acknowledgement, in seconds per byte.
	perByte float64
	writing bool
	times   frameTimes
}

const (
	// ackPatience is how long a peer may take to acknowledge a frame on a link
	// that moves nothing. The peer acknowledges a frame before it acts on it.
	ackPatience = 250 * time.Millisecond
	// ackFactor bounds it in the time that frames of that size usually take.
	ackFactor        = 4
	ackWatchInterval = 50 * time.Millisecond
	ackGain          = 0.125
)

var errUnacknowledged = errors.New("the next stage does not acknowledge frames")

// sentFrame is a frame that waits for its acknowledgement.
type sentFrame struct {
	sequence uint64
	bytes    int
	at       time.Time
}

// The methods of hop below must be called with the server's lock held.

// unacknowledged tells whether frames wait for the peer, and whether they wait
// for longer than a link that moves explains.
func (h *hop) unacknowledged(now time.Time) (waiting, stuck bool) {
	if len(h.sent) == 0 {
		return false, false
	}
	bytes := 0
	for _, f := range h.sent {
		bytes += f.bytes
	}
	since := h.sent[0].at
	if h.ackedAt.After(since) {
		since = h.ackedAt
	}
	if h.writing && h.conn.LastWrite().After(since) {
		since = h.conn.LastWrite()
	}
	usual := time.Duration(h.perByte * float64(bytes) * float64(time.Second))
	return true, now.Sub(since) > max(ackPatience, ackFactor*usual)
}

func (h *hop) acknowledge(sequence uint64, now time.Time) {
	for len(h.sent) > 0 && h.sent[0].sequence <= sequence {
		f := h.sent[0]
		h.sent = h.sent[1:]
		took := now.Sub(f.at).Seconds() / float64(max(f.bytes, 1))
		h.perByte += ackGain * (took - h.perByte)
		h.times.add(f.bytes, now.Sub(f.at))
	}
	h.ackedAt = now
}

// isForwarding tells whether a step's output is on its way over a link that moves.
func (s *Server) isForwarding(a *stageAttempt, now time.Time) bool {
	if a.isLast() {
		return false
	}
	h := s.hops[a.next().Address]
	if h == nil {
		return false
	}
	waiting, stuck := h.unacknowledged(now)
	return waiting && !stuck
}

// watchAcks ends a hop whose peer takes frames but does not act on them, long
// before the connection counts as silent.
func (s *Server) watchAcks(ctx context.Context, h *hop) error {
	ticker := time.NewTicker(ackWatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.mu.Lock()
			_, stuck := h.unacknowledged(now)
			s.mu.Unlock()
			if stuck {
				return errUnacknowledged
			}
		}
	}
}

func (h *hop) pushStep(step *wire.Step) {
	h.queue.Push(&wire.HopFrame{Steps: []*wire.Step{step}})
}

func (h *hop) pushToken(token *wire.Token) {
	h.queue.Push(&wire.HopFrame{Tokens: []*wire.Token{token}})
}

// hopTo returns the hop to a stage, opening it at first use. It must be
// called with the lock held.
func (s *Server) hopTo(stage *wire.Stage) *hop {
	address := stage.Address
	h := s.hops[address]
	if h == nil {
		h = &hop{instance: stage.Instance, address: address, zone: stage.Zone, queue: link.NewQueue[*wire.HopFrame](maxQueuedSteps)}
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
	if s.background.Err() != nil || errors.Is(err, errHopIdle) {
		return
	}
	s.failHop(h.address, err)
}

// hopIdle is how long a hop without steps is kept open. Chains vary, so that a
// sidecar would otherwise come to send heartbeats to every stage there is.
const hopIdle = 30 * time.Second

var errHopIdle = errors.New("the hop carried no steps")

// closeIdleHop closes a hop that nothing waits for. The next step opens another.
func (s *Server) closeIdleHop(h *hop) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiting := len(h.queue.Ready()) > 0 || len(h.sent) > 0; waiting {
		return false
	}
	h.queue.Close()
	delete(s.hops, h.address)
	return true
}

// failHop reports every attempt whose neighbour is behind the failed hop.
func (s *Server) failHop(address string, cause error) {
	reason := "hop closed"
	if cause != nil {
		reason = cause.Error()
	}
	for _, a := range s.attempts {
		if !s.ledger.IsCurrent(a.key) {
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
	conn, err := s.opts.Dialer.Dial(ctx, h.instance, h.address)
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
	silence := link.NewLivenessMonitor(time.Now(), link.HeartbeatTimeout)
	group.Go(func() error { return s.receiveAcks(stream, h, silence) })
	group.Go(func() error {
		// Closing the connection ends the receiving side as well.
		defer func() { _ = conn.Close() }()
		return s.sendHop(ctx, stream, h)
	})
	group.Go(func() error { return silence.Watch(ctx) })
	group.Go(func() error { return s.watchAcks(ctx, h) })
	return group.Wait()
}

func (s *Server) sendHop(ctx context.Context, stream wire.DRPCSidecar_HopClient, h *hop) error {
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	var sequence uint64
	used := time.Now()
	for {
		// Without steps and tokens the frame is a heartbeat.
		frames := []*wire.HopFrame{{From: s.opts.ID}}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case at := <-ticker.C:
			if at.Sub(used) > hopIdle && s.closeIdleHop(h) {
				return errHopIdle
			}
		case <-h.queue.Ready():
			used = time.Now()
			queued, open := h.queue.Take()
			if !open {
				return errors.New("too many steps wait for the next stage")
			}
			frames = hopFrames(s.opts.ID, queued)
		}
		for _, frame := range frames {
			sequence++
			frame.Sequence = sequence
			if err := s.writeFrame(stream, h, frame); err != nil {
				return err
			}
		}
	}
}

// maxFrameActivation bounds the activations in one frame, well below what the
// peer accepts as one message. A long prompt's activation exceeds it.
const maxFrameActivation = 4 << 20

// hopFrames joins what waits into as few frames as the bound allows.
func hopFrames(from string, queued []*wire.HopFrame) []*wire.HopFrame {
	frame := &wire.HopFrame{From: from}
	frames := []*wire.HopFrame{frame}
	size := 0
	for _, q := range queued {
		frame.Tokens = append(frame.Tokens, q.Tokens...)
		for _, step := range q.Steps {
			for _, part := range splitStep(step) {
				if size > 0 && size+len(part.Activation) > maxFrameActivation {
					frame = &wire.HopFrame{From: from}
					frames = append(frames, frame)
					size = 0
				}
				frame.Steps = append(frame.Steps, part)
				size += len(part.Activation)
			}
		}
	}
	return frames
}

// splitStep cuts a step whose activation does not fit into one frame.
func splitStep(step *wire.Step) []*wire.Step {
	if len(step.Activation) <= maxFrameActivation {
		return []*wire.Step{step}
	}
	var parts []*wire.Step
	for rest := step.Activation; len(rest) > 0; {
		n := min(len(rest), maxFrameActivation)
		parts = append(parts, &wire.Step{
			Request: step.Request, Attempt: step.Attempt, Index: step.Index, Activation: rest[:n], More: n < len(rest),
		})
		rest = rest[n:]
	}
	return parts
}

func (s *Server) setHopConn(h *hop, conn *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.conn = conn
}

// writeFrame sends a frame and notes that its acknowledgement is awaited.
func (s *Server) writeFrame(stream wire.DRPCSidecar_HopClient, h *hop, frame *wire.HopFrame) error {
	sent := sentFrame{sequence: frame.Sequence, bytes: frameBytes(frame), at: time.Now()}
	s.mu.Lock()
	h.sent = append(h.sent, sent)
	h.writing = true
	s.mu.Unlock()
	err := stream.Send(frame)
	s.mu.Lock()
	h.writing = false
	s.mu.Unlock()
	return errors.WithStack(err)
}

// frameBytes is the size of a frame's activations, which make up large frames.
func frameBytes(frame *wire.HopFrame) int {
	total := 0
	for _, step := range frame.Steps {
		total += len(step.Activation)
	}
	return total
}

func (s *Server) receiveAcks(stream wire.DRPCSidecar_HopClient, h *hop, silence *link.LivenessMonitor) error {
	for {
		ack, err := stream.Recv()
		if err != nil {
			return errors.WithStack(err)
		}
		if !silence.ObserveFrame(time.Now()) {
			return link.ErrHeartbeatTimeout
		}
		s.mu.Lock()
		h.acknowledge(ack.Sequence, time.Now())
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
	if err := s.authorize(stream.Context(), "sidecar", ""); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(stream.Context())
	silence := link.NewLivenessMonitor(time.Now(), link.HeartbeatTimeout)
	group.Go(func() error { return s.receiveHop(stream, silence) })
	group.Go(func() error { return silence.Watch(ctx) })
	// A blocked Recv returns only once the connection is closed.
	group.Go(func() error { <-ctx.Done(); link.Abort(stream.Context()); return nil })
	return group.Wait()
}

func (s *Server) receiveHop(stream wire.DRPCSidecar_HopStream, silence *link.LivenessMonitor) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return errors.WithStack(err)
		}
		if !silence.ObserveFrame(time.Now()) {
			return link.ErrHeartbeatTimeout
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
	if step.More || len(a.partial) > 0 {
		if len(a.partial)+len(step.Activation) > maxActivationBytes {
			return wire.RefusalReason_REFUSAL_OVERLOADED
		}
		a.partial = append(a.partial, step.Activation...)
	}
	if step.More {
		return wire.RefusalReason_REFUSAL_UNSPECIFIED
	}
	engineStep := s.engineStep(a, step.Index)
	engineStep.Activation = step.Activation
	if len(a.partial) > 0 {
		engineStep.Activation = a.partial
		a.partial = nil
	}
	return s.offer(a, engineStep)
}

// maxActivationBytes bounds the activation of one step that arrives in parts.
const maxActivationBytes = 256 << 20

func (s *Server) handleHopToken(token *wire.Token) wire.RefusalReason {
	a := s.current(token.Request, token.Attempt)
	if a == nil {
		return wire.RefusalReason_REFUSAL_UNKNOWN_ATTEMPT
	}
	return s.continueWith(a, token)
}
