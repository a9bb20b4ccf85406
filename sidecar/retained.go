package sidecar

import (
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// retainedResponseTTL is how long the response of a plain call is retained for
	// an entry that lost its connection. It exceeds the heartbeat timeout plus the
	// time to reconnect.
	retainedResponseTTL = 10 * time.Second
	// maxRetainedBytes limits the retained responses of all calls,
	// maxRetainedCallBytes that of one call.
	maxRetainedBytes     = 32 << 20
	maxRetainedCallBytes = 4 << 20
)

// retainedResponse retains the frames of a plain call's response until the entry
// acknowledges them with a Release.
type retainedResponse struct {
	frames []*wire.WorkDown
	bytes  int
	// dropped is set once the response has been discarded, for example because it
	// exceeded maxRetainedCallBytes.
	dropped bool
	endedAt time.Time
}

// The methods below must be called with the lock held.

// sendResponseLocked sends a frame of a call's response and retains it.
func (s *Server) sendResponseLocked(c *call, frame *wire.WorkDown) {
	c.retained.frames = append(c.retained.frames, frame)
	size := len(frame.GetCallBody().GetData())
	c.retained.bytes += size
	s.retainedBytes += size
	if c.retained.bytes > maxRetainedCallBytes {
		s.dropResponse(&c.retained)
	}
	s.sendToEntry(c.entry, frame)
}

func (s *Server) dropResponse(r *retainedResponse) {
	s.retainedBytes -= r.bytes
	*r = retainedResponse{dropped: true, endedAt: r.endedAt}
}

// retainCall retains a finished call until its entry releases it. It forgets the
// oldest calls while the limit over all calls is exceeded.
func (s *Server) retainCall(c *call, now time.Time) {
	c.retained.endedAt = now
	c.body = nil
	s.endedCalls[c.key] = c
	for s.retainedBytes > maxRetainedBytes {
		oldest := s.oldestRetainedCall()
		if oldest == nil {
			return
		}
		s.forgetCall(oldest)
	}
}

func (s *Server) oldestRetainedCall() *call {
	var oldest *call
	for _, c := range s.endedCalls {
		if c.retained.bytes > 0 && (oldest == nil || c.retained.endedAt.Before(oldest.retained.endedAt)) {
			oldest = c
		}
	}
	return oldest
}

func (s *Server) forgetCall(c *call) {
	s.dropResponse(&c.retained)
	delete(s.endedCalls, c.key)
}

// expireRetainedCalls forgets calls that were not released within their TTL.
func (s *Server) expireRetainedCalls(now time.Time) {
	for _, c := range s.endedCalls {
		if now.Sub(c.retained.endedAt) > retainedResponseTTL {
			s.forgetCall(c)
		}
	}
}

// handleRecall tells an entry that reconnected the outcome of a call. A call
// whose request did not arrive completely is refused permanently, so that the
// entry can safely send it to another instance.
func (s *Server) handleRecall(entry string, r *wire.Recall, now time.Time) {
	key := attempt.Key{Request: r.Request, Number: r.Attempt}
	c := s.calls[key]
	if c == nil {
		c = s.endedCalls[key]
	}
	switch {
	case c == nil:
		s.handleUnknownRecall(entry, key, now)
	case c.entry != entry:
		return
	case !c.started && s.calls[key] != nil:
		s.endCall(c, attempt.ExecutedNo, now)
		s.refuse(entry, key, wire.RefusalReason_REFUSAL_WITHDRAWN)
	case c.retained.dropped:
		s.sendToEntry(entry, failedFrame(key, attempt.ExecutedYes, "the answer is no longer kept"))
	default:
		for _, frame := range c.retained.frames {
			s.sendToEntry(entry, frame)
		}
	}
}

func (s *Server) handleUnknownRecall(entry string, key attempt.Key, now time.Time) {
	executed := s.ledger.Withdraw(key, now)
	if executed == attempt.ExecutedNo {
		s.refuse(entry, key, wire.RefusalReason_REFUSAL_WITHDRAWN)
		return
	}
	s.sendToEntry(entry, failedFrame(key, executed, "the answer is no longer kept"))
}

func failedFrame(key attempt.Key, executed attempt.Executed, reason string) *wire.WorkDown {
	return &wire.WorkDown{Body: &wire.WorkDown_Failed{Failed: &wire.Failed{
		Request: key.Request, Attempt: key.Number, Executed: executed.Wire(), Reason: reason,
	}}}
}
