package sidecar

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/wire"
)

// maxQueuedFrames limits the frames queued for one entry. An entry whose queue
// overflows loses its stream and its attempts.
const maxQueuedFrames = 1 << 16

// entryState is the sidecar's state of one entry.
type entryState struct {
	incarnation string
	// queue holds the frames for the entry's stream; nil while there is no stream.
	queue          *link.Queue[*wire.WorkDown]
	disconnectedAt time.Time
}

func (e *entryState) push(frame *wire.WorkDown) {
	if e.queue != nil {
		e.queue.Push(frame)
	}
}

// Work serves the stream of one entry.
func (s *Server) Work(stream wire.DRPCSidecar_WorkStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.WithStack(err)
	}
	hello := first.GetHello()
	if hello == nil || hello.Id == "" {
		return errors.New("the first frame of a work stream must be a hello with an id")
	}
	if err := s.authorize(stream.Context(), "entry", hello.Id); err != nil {
		return err
	}
	queue := link.NewQueue[*wire.WorkDown](maxQueuedFrames)
	s.attachEntry(hello, queue)
	defer s.detachEntry(hello.Id, queue)

	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	// Closing the connection is the only way to unblock Recv.
	stopAbort := context.AfterFunc(ctx, func() { link.Abort(stream.Context()) })
	defer stopAbort()
	liveness := link.NewLivenessMonitor(time.Now(), link.HeartbeatTimeout)
	stopWatch := liveness.Start(func() { cancel(link.ErrHeartbeatTimeout) })
	defer stopWatch()
	interval := new(atomic.Int64)
	interval.Store(int64(link.HeartbeatInterval))
	var sender sync.WaitGroup
	sender.Go(func() { cancel(s.sendWork(ctx, stream, queue, interval)) })
	cancel(s.receiveWork(stream, hello, liveness, interval))
	// The connection must be closed before Work returns, even if the AfterFunc above
	// has not run yet.
	link.Abort(stream.Context())
	sender.Wait()
	return context.Cause(ctx)
}

func (s *Server) attachEntry(hello *wire.Hello, queue *link.Queue[*wire.WorkDown]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[hello.Id]
	if e != nil && e.incarnation != hello.Incarnation {
		s.closeEntryAttempts(hello.Id, time.Now())
		e = nil
	}
	if e == nil {
		e = &entryState{incarnation: hello.Incarnation}
		s.entries[hello.Id] = e
	}
	if e.queue != nil {
		e.queue.Close()
	}
	s.markAwaitingResume(hello.Id, time.Now())
	e.queue = queue
	e.push(s.helloFrame())
	e.push(&wire.WorkDown{Body: &wire.WorkDown_Load{Load: s.loadReport()}})
	logevent.Write(s.opts.Logger, logevent.SidecarConnected).Str("id", s.opts.ID).Str("entry", hello.Id).Msg("")
}

// markAwaitingResume marks the attempts of an entry that reconnected, so that
// those it does not resume are closed. Otherwise an attempt whose Release was
// lost with the old connection would stay open forever.
func (s *Server) markAwaitingResume(id string, now time.Time) {
	for _, a := range s.attempts {
		if a.entry == id {
			a.awaitingResumeSince = now
		}
	}
}

func (s *Server) detachEntry(id string, queue *link.Queue[*wire.WorkDown]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue.Close()
	e := s.entries[id]
	if e != nil && e.queue == queue {
		e.queue = nil
		e.disconnectedAt = time.Now()
	}
}

// receiveWork handles the entry's frames until the stream ends.
func (s *Server) receiveWork(stream wire.DRPCSidecar_WorkStream, hello *wire.Hello, liveness *link.LivenessMonitor, interval *atomic.Int64) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return errors.WithStack(err)
		}
		now := time.Now()
		if !liveness.ObserveFrame(now) {
			return link.ErrHeartbeatTimeout
		}
		if heartbeat := frame.GetHeartbeat(); heartbeat != nil {
			peerInterval := time.Duration(heartbeat.IntervalMs) * time.Millisecond
			interval.Store(int64(peerInterval))
			liveness.SetTimeout(now, link.HeartbeatTimeoutFor(peerInterval))
		}
		s.handleWork(hello.Id, frame, now)
	}
}

// sendWork writes queued frames and, as heartbeats, load reports.
func (s *Server) sendWork(ctx context.Context, stream wire.DRPCSidecar_WorkStream, queue *link.Queue[*wire.WorkDown], interval *atomic.Int64) error {
	var heartbeats link.HeartbeatScheduler
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if !heartbeats.Due(now, time.Duration(interval.Load())) {
				continue
			}
			s.mu.Lock()
			load := s.loadReport()
			s.mu.Unlock()
			if err := stream.Send(&wire.WorkDown{Body: &wire.WorkDown_Load{Load: load}}); err != nil {
				return errors.WithStack(err)
			}
		case <-queue.Ready():
			frames, open := queue.Take()
			for _, frame := range mergeTokens(frames) {
				if err := stream.Send(frame); err != nil {
					return errors.WithStack(err)
				}
			}
			if !open {
				return errors.New("stream was replaced, or its entry reads too slowly")
			}
		}
	}
}

// mergeTokens merges adjacent token frames, so that an iteration with many
// requests of one entry sends one frame.
func mergeTokens(frames []*wire.WorkDown) []*wire.WorkDown {
	merged := frames[:0]
	var last *wire.Tokens
	for _, frame := range frames {
		tokens := frame.GetTokens()
		if tokens != nil && last != nil {
			last.Tokens = append(last.Tokens, tokens.Tokens...)
			continue
		}
		last = tokens
		merged = append(merged, frame)
	}
	return merged
}

func (s *Server) handleWork(entry string, frame *wire.WorkUp, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch body := frame.Body.(type) {
	case *wire.WorkUp_Open:
		s.handleOpen(entry, body.Open, now)
	case *wire.WorkUp_Start:
		s.handleStart(entry, body.Start)
	case *wire.WorkUp_Call:
		s.handleCall(entry, body.Call)
	case *wire.WorkUp_CallBody:
		s.handleCallBody(entry, body.CallBody, now)
	case *wire.WorkUp_Withdraw:
		s.handleWithdraw(entry, body.Withdraw, now)
	case *wire.WorkUp_Release:
		s.handleRelease(entry, body.Release, now)
	case *wire.WorkUp_Resume:
		s.handleResume(entry, body.Resume)
	case *wire.WorkUp_Heartbeat:
		// The entry measures the connection's round-trip time by the reply.
		s.sendToEntry(entry, &wire.WorkDown{Body: &wire.WorkDown_Heartbeat{Heartbeat: body.Heartbeat}})
	case *wire.WorkUp_Recall:
		s.handleRecall(entry, body.Recall, now)
	case *wire.WorkUp_Probe:
		s.handleProbe(entry, body.Probe, now)
	}
}

// sendToEntry queues a frame for an entry. It must be called with the lock held.
func (s *Server) sendToEntry(id string, frame *wire.WorkDown) {
	if e := s.entries[id]; e != nil {
		e.push(frame)
	}
}

func (s *Server) refuse(entry string, key attempt.Key, reason wire.RefusalReason) {
	logevent.Write(s.opts.Logger, logevent.AttemptRefused).Str("id", s.opts.ID).Str("request", key.Request).
		Uint32("attempt", key.Number).Str("reason", reason.String()).Msg("")
	s.sendToEntry(entry, &wire.WorkDown{Body: &wire.WorkDown_Refused{Refused: &wire.Refused{
		Request: key.Request, Attempt: key.Number, Reason: reason, Executed: wire.Executed_EXECUTED_NO,
	}}})
}

func (s *Server) handleWithdraw(entry string, w *wire.Withdraw, now time.Time) {
	key := attempt.Key{Request: w.Request, Number: w.Attempt}
	executed := s.ledger.Withdraw(key, now)
	if a := s.attempts[w.Request]; a != nil && a.key == key {
		s.closeAttempt(w.Request, a, now)
	}
	if c := s.calls[key]; c != nil {
		c.withdrawn = true
		c.cancel()
		if !c.started {
			s.endCall(c, attempt.ExecutedNo, now)
		}
	}
	s.sendToEntry(entry, &wire.WorkDown{Body: &wire.WorkDown_WithdrawAck{WithdrawAck: &wire.WithdrawAck{
		Request: w.Request, Attempt: w.Attempt, Executed: executed.Wire(),
	}}})
	s.checkDrained()
}

func (s *Server) handleRelease(entry string, r *wire.Release, now time.Time) {
	a := s.attempts[r.Request]
	if a != nil && a.entry == entry && a.key.Number <= r.Attempt {
		s.closeAttempt(r.Request, a, now)
	}
	s.deferredOpens = slices.DeleteFunc(s.deferredOpens, func(d deferredOpen) bool {
		return d.entry == entry && d.open.Request == r.Request && d.open.Attempt <= r.Attempt
	})
	if c := s.endedCalls[attempt.Key{Request: r.Request, Number: r.Attempt}]; c != nil {
		s.forgetCall(c)
	}
	s.checkDrained()
}

func wireRefusal(r attempt.Refusal) wire.RefusalReason {
	switch r {
	case attempt.RefusalDraining:
		return wire.RefusalReason_REFUSAL_DRAINING
	case attempt.RefusalStaleIncarnation:
		return wire.RefusalReason_REFUSAL_STALE_INCARNATION
	case attempt.RefusalWithdrawn:
		return wire.RefusalReason_REFUSAL_WITHDRAWN
	default:
		return wire.RefusalReason_REFUSAL_STALE_ATTEMPT
	}
}
