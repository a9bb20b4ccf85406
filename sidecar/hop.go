package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/wire"
)

// hop is the outgoing stream to one other stage. Queued steps and tokens are
// sent together in as few frames as possible.
type hop struct {
	instance string
	address  string
	zone     string
	queue    *link.Queue[*wire.HopFrame]
	conn     *link.Conn
	// The fields below are guarded by the server's lock. unacked holds the frames
	// that have not been acknowledged; lastAckAt is when the last acknowledgement
	// arrived.
	unacked   []sentFrame
	lastAckAt time.Time
	// ackSecondsPerByte is the moving average of the time until a frame is
	// acknowledged, per byte of its activations.
	ackSecondsPerByte float64
	writing           bool
	ackTimes          frameTimes
}

const (
	// minAckTimeout is the minimum timeout for acknowledgements, on a link without
	// any transfer. It can be short, because the peer acknowledges a frame before
	// the engine runs its steps.
	minAckTimeout = 250 * time.Millisecond
	// ackTimeoutFactor is the timeout as a multiple of the time expected for the
	// unacknowledged bytes.
	ackTimeoutFactor = 4
	ackCheckInterval = 50 * time.Millisecond
	// ackTimeGain is the weight of a new sample in hop.ackSecondsPerByte.
	ackTimeGain = 0.125
)

var errUnacknowledged = errors.New("the next stage does not acknowledge frames")

// sentFrame is a frame that has not been acknowledged.
type sentFrame struct {
	sequence uint64
	bytes    int
	sentAt   time.Time
}

// The methods of hop below must be called with the server's lock held.

// ackStatus reports whether frames are unacknowledged, and whether for longer
// than the transfer over a working link explains.
func (h *hop) ackStatus(now time.Time) (pending, overdue bool) {
	if len(h.unacked) == 0 {
		return false, false
	}
	bytes := 0
	for _, f := range h.unacked {
		bytes += f.bytes
	}
	since := h.unacked[0].sentAt
	if h.lastAckAt.After(since) {
		since = h.lastAckAt
	}
	if h.writing && h.conn.LastWrite().After(since) {
		since = h.conn.LastWrite()
	}
	expected := time.Duration(h.ackSecondsPerByte * float64(bytes) * float64(time.Second))
	return true, now.Sub(since) > max(minAckTimeout, ackTimeoutFactor*expected)
}

func (h *hop) acknowledge(sequence uint64, now time.Time) {
	for len(h.unacked) > 0 && h.unacked[0].sequence <= sequence {
		f := h.unacked[0]
		h.unacked = h.unacked[1:]
		secondsPerByte := now.Sub(f.sentAt).Seconds() / float64(max(f.bytes, 1))
		h.ackSecondsPerByte += ackTimeGain * (secondsPerByte - h.ackSecondsPerByte)
		h.ackTimes.add(f.bytes, now.Sub(f.sentAt))
	}
	h.lastAckAt = now
}

// isForwarding reports whether frames to the attempt's next stage are
// unacknowledged but not overdue.
func (s *Server) isForwarding(a *stageAttempt, now time.Time) bool {
	if a.isLast() {
		return false
	}
	h := s.hops[a.next().Address]
	if h == nil {
		return false
	}
	pending, overdue := h.ackStatus(now)
	return pending && !overdue
}

// watchAcks returns an error when acknowledgements are overdue. It detects a peer
// that receives frames but does not handle them, long before the heartbeat
// timeout would.
func (s *Server) watchAcks(ctx context.Context, h *hop) error {
	ticker := time.NewTicker(ackCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.mu.Lock()
			_, overdue := h.ackStatus(now)
			s.mu.Unlock()
			if overdue {
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

// hopTo returns the hop to a stage and opens it on first use. It must be called
// with the lock held.
func (s *Server) hopTo(stage *wire.Stage) *hop {
	address := stage.Address
	h := s.hops[address]
	if h == nil {
		h = &hop{instance: stage.Instance, address: address, zone: stage.Zone, queue: link.NewQueue[*wire.HopFrame](maxQueuedSteps)}
		s.hops[address] = h
		s.startTask(func() { s.runHop(h) })
	}
	return h
}

// runHop runs a hop until it fails or its idle timeout passes. After a failure it
// reports the attempts that used the hop as failed.
func (s *Server) runHop(h *hop) {
	err := s.runHopStream(s.background, h)
	h.queue.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hops[h.address] == h {
		delete(s.hops, h.address)
	}
	if s.background.Err() != nil || errors.Is(err, errHopIdle) {
		return
	}
	s.failAttemptsOverHop(h.address, err)
}

// hopIdleTimeout is how long a hop without traffic stays open. Chains vary, so
// without it a sidecar would end up sending heartbeats to every other stage.
const hopIdleTimeout = 30 * time.Second

var errHopIdle = errors.New("hop idle timeout")

// closeIdleHop closes a hop without queued or unacknowledged frames and reports
// whether it did. The next step opens a new hop.
func (s *Server) closeIdleHop(h *hop) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if busy := len(h.queue.Ready()) > 0 || len(h.unacked) > 0; busy {
		return false
	}
	h.queue.Close()
	delete(s.hops, h.address)
	return true
}

// failAttemptsOverHop reports the attempts that send steps or tokens over the
// failed hop as failed. It must be called with the lock held.
func (s *Server) failAttemptsOverHop(address string, cause error) {
	reason := "hop closed"
	if cause != nil {
		reason = cause.Error()
	}
	for _, a := range s.attempts {
		if !s.ledger.IsCurrent(a.key) {
			continue
		}
		if !a.isLast() && a.next().Address == address {
			s.reportFailure(a, reason, a.open.Position+1)
		}
		if a.isLast() && !a.isFirst() && a.open.Chain[0].Address == address {
			s.reportFailure(a, reason, 0)
		}
	}
}

func (s *Server) runHopStream(ctx context.Context, h *hop) error {
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
	liveness := link.NewLivenessMonitor(time.Now(), link.HeartbeatTimeout)
	group.Go(func() error { return s.receiveAcks(stream, h, liveness) })
	group.Go(func() error {
		// Closing the connection also ends receiveAcks.
		defer func() { _ = conn.Close() }()
		return s.sendHopFrames(ctx, stream, h)
	})
	group.Go(func() error { return liveness.Watch(ctx) })
	group.Go(func() error { return s.watchAcks(ctx, h) })
	return group.Wait()
}

func (s *Server) sendHopFrames(ctx context.Context, stream wire.DRPCSidecar_HopClient, h *hop) error {
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	var sequence uint64
	lastUsed := time.Now()
	for {
		// A frame without steps and tokens is a heartbeat.
		frames := []*wire.HopFrame{{From: s.opts.ID}}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if now.Sub(lastUsed) > hopIdleTimeout && s.closeIdleHop(h) {
				return errHopIdle
			}
		case <-h.queue.Ready():
			lastUsed = time.Now()
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

// maxFrameActivationBytes limits the activations in one frame, well below the
// peer's message size limit. The activation of a long prompt exceeds it.
const maxFrameActivationBytes = 4 << 20

// hopFrames merges queued frames into as few frames as maxFrameActivationBytes
// allows.
func hopFrames(from string, queued []*wire.HopFrame) []*wire.HopFrame {
	frame := &wire.HopFrame{From: from}
	frames := []*wire.HopFrame{frame}
	size := 0
	for _, q := range queued {
		frame.Tokens = append(frame.Tokens, q.Tokens...)
		for _, step := range q.Steps {
			for _, part := range splitStep(step) {
				if size > 0 && size+len(part.Activation) > maxFrameActivationBytes {
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

// splitStep splits a step whose activation does not fit into one frame.
func splitStep(step *wire.Step) []*wire.Step {
	if len(step.Activation) <= maxFrameActivationBytes {
		return []*wire.Step{step}
	}
	var parts []*wire.Step
	for rest := step.Activation; len(rest) > 0; {
		n := min(len(rest), maxFrameActivationBytes)
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

// writeFrame sends a frame and records it as unacknowledged.
func (s *Server) writeFrame(stream wire.DRPCSidecar_HopClient, h *hop, frame *wire.HopFrame) error {
	sent := sentFrame{sequence: frame.Sequence, bytes: frameBytes(frame), sentAt: time.Now()}
	s.mu.Lock()
	h.unacked = append(h.unacked, sent)
	h.writing = true
	s.mu.Unlock()
	err := stream.Send(frame)
	s.mu.Lock()
	h.writing = false
	s.mu.Unlock()
	return errors.WithStack(err)
}

// frameBytes returns the size of a frame's activations; the rest of a frame is
// small.
func frameBytes(frame *wire.HopFrame) int {
	total := 0
	for _, step := range frame.Steps {
		total += len(step.Activation)
	}
	return total
}

func (s *Server) receiveAcks(stream wire.DRPCSidecar_HopClient, h *hop, liveness *link.LivenessMonitor) error {
	for {
		ack, err := stream.Recv()
		if err != nil {
			return errors.WithStack(err)
		}
		if !liveness.ObserveFrame(time.Now()) {
			return link.ErrHeartbeatTimeout
		}
		s.mu.Lock()
		h.acknowledge(ack.Sequence, time.Now())
		for _, refusal := range ack.Refusals {
			s.handleStepRefusal(refusal)
		}
		s.mu.Unlock()
	}
}

// handleStepRefusal reports an attempt as failed when the next stage refuses its
// step or token. A refusal as stale needs no action. The next stage accepts a
// repeat of its running or last completed step; it refuses an older one as out of
// order, which fails the attempt. It must be called with the lock held.
func (s *Server) handleStepRefusal(refusal *wire.HopRefusal) {
	a := s.currentAttempt(refusal.Request, refusal.Attempt)
	if a == nil || refusal.Reason == wire.RefusalReason_REFUSAL_STALE_ATTEMPT {
		return
	}
	stage := uint32(0)
	if !a.isLast() {
		stage = a.open.Position + 1
	}
	s.reportFailure(a, "the next stage refused a step: "+refusal.Reason.String(), stage)
}

// Hop serves an incoming stream of steps from the previous stage or of tokens
// from the last stage.
func (s *Server) Hop(stream wire.DRPCSidecar_HopStream) error {
	if err := s.authorize(stream.Context(), "sidecar", ""); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(stream.Context())
	liveness := link.NewLivenessMonitor(time.Now(), link.HeartbeatTimeout)
	group.Go(func() error { return s.receiveHopFrames(stream, liveness) })
	group.Go(func() error { return liveness.Watch(ctx) })
	// Closing the connection is the only way to unblock Recv.
	group.Go(func() error { <-ctx.Done(); link.Abort(stream.Context()); return nil })
	return group.Wait()
}

func (s *Server) receiveHopFrames(stream wire.DRPCSidecar_HopStream, liveness *link.LivenessMonitor) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return errors.WithStack(err)
		}
		if !liveness.ObserveFrame(time.Now()) {
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
	a := s.currentAttempt(step.Request, step.Attempt)
	if a == nil {
		return wire.RefusalReason_REFUSAL_UNKNOWN_ATTEMPT
	}
	if step.More || len(a.partialActivation) > 0 {
		if len(a.partialActivation)+len(step.Activation) > maxActivationBytes {
			return wire.RefusalReason_REFUSAL_OVERLOADED
		}
		a.partialActivation = append(a.partialActivation, step.Activation...)
	}
	if step.More {
		return wire.RefusalReason_REFUSAL_UNSPECIFIED
	}
	engineStep := s.newEngineStep(a, step.Index)
	engineStep.Activation = step.Activation
	if len(a.partialActivation) > 0 {
		engineStep.Activation = a.partialActivation
		a.partialActivation = nil
	}
	return s.offerStep(a, engineStep)
}

// maxActivationBytes limits the activation of one step that arrives in parts.
const maxActivationBytes = 256 << 20

func (s *Server) handleHopToken(token *wire.Token) wire.RefusalReason {
	a := s.currentAttempt(token.Request, token.Attempt)
	if a == nil {
		return wire.RefusalReason_REFUSAL_UNKNOWN_ATTEMPT
	}
	return s.startNextStep(a, token)
}
