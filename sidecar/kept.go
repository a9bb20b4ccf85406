package sidecar

import (
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// keptLife is how long the answer of a plain call is kept for an entry that
	// lost its connection. It exceeds the silence limit and a reconnection.
	keptLife = 10 * time.Second
	// keptBytes bounds the kept answers of all calls, keptCallBytes that of one.
	keptBytes     = 32 << 20
	keptCallBytes = 4 << 20
)

// keptAnswer holds the frames of a plain call's answer until its entry
// acknowledges them with a Release.
type keptAnswer struct {
	frames []*wire.WorkDown
	bytes  int
	// dropped is set when the answer grew too large to keep.
	dropped bool
	endedAt time.Time
}

// The methods below must be called with the lock held.

// answer sends a frame of a call's answer and keeps it.
func (s *Server) answer(c *call, frame *wire.WorkDown) {
	c.kept.frames = append(c.kept.frames, frame)
	size := len(frame.GetCallBody().GetData())
	c.kept.bytes += size
	s.keptBytes += size
	if c.kept.bytes > keptCallBytes {
		s.dropKept(&c.kept)
	}
	s.toEntry(c.entry, frame)
}

func (s *Server) dropKept(k *keptAnswer) {
	s.keptBytes -= k.bytes
	*k = keptAnswer{dropped: true, endedAt: k.endedAt}
}

// keep holds a call that ended until its entry releases it.
func (s *Server) keep(c *call, now time.Time) {
	c.kept.endedAt = now
	c.body = nil
	s.ended[c.key] = c
	for s.keptBytes > keptBytes {
		oldest := s.oldestKept()
		if oldest == nil {
			return
		}
		s.forgetKept(oldest)
	}
}

func (s *Server) oldestKept() *call {
	var oldest *call
	for _, c := range s.ended {
		if c.kept.bytes > 0 && (oldest == nil || c.kept.endedAt.Before(oldest.kept.endedAt)) {
			oldest = c
		}
	}
	return oldest
}

func (s *Server) forgetKept(c *call) {
	s.dropKept(&c.kept)
	delete(s.ended, c.key)
}

// expireKept forgets answers that nobody asked for.
func (s *Server) expireKept(now time.Time) {
	for _, c := range s.ended {
		if now.Sub(c.kept.endedAt) > keptLife {
			s.forgetKept(c)
		}
	}
}

// handleRecall tells an entry that came back what became of a call. A call that
// never arrived whole is refused for good, so that it may go elsewhere.
func (s *Server) handleRecall(entry string, r *wire.Recall, now time.Time) {
	key := attempt.Key{Request: r.Request, Number: r.Attempt}
	c := s.calls[key]
	if c == nil {
		c = s.ended[key]
	}
	switch {
	case c == nil:
		s.recallUnknown(entry, key, now)
	case c.entry != entry:
		return
	case !c.begun && s.calls[key] != nil:
		s.endCall(c, attempt.ExecutedNo, now)
		s.refuse(entry, key, wire.RefusalReason_REFUSAL_WITHDRAWN)
	case c.kept.dropped:
		s.toEntry(entry, failedFrame(key, attempt.ExecutedYes, "the answer is no longer kept"))
	default:
		for _, frame := range c.kept.frames {
			s.toEntry(entry, frame)
		}
	}
}

func (s *Server) recallUnknown(entry string, key attempt.Key, now time.Time) {
	executed := s.ledger.Withdraw(key, now)
	if executed == attempt.ExecutedNo {
		s.refuse(entry, key, wire.RefusalReason_REFUSAL_WITHDRAWN)
		return
	}
	s.toEntry(entry, failedFrame(key, executed, "the answer is no longer kept"))
}

func failedFrame(key attempt.Key, executed attempt.Executed, reason string) *wire.WorkDown {
	return &wire.WorkDown{Body: &wire.WorkDown_Failed{Failed: &wire.Failed{
		Request: key.Request, Attempt: key.Number, Executed: executed.Wire(), Reason: reason,
	}}}
}
