package link

import (
	"sync/atomic"
	"time"
)

// Silence tells when a stream last carried a frame from the peer. It is safe
// for concurrent use.
type Silence struct {
	limit time.Duration
	last  atomic.Int64
}

// NewSilence returns a watch that starts now.
func NewSilence(now time.Time, limit time.Duration) *Silence {
	s := &Silence{limit: limit}
	s.last.Store(now.UnixNano())
	return s
}

// Frame records a frame. It returns false when the stream had already been
// silent for too long: a paused process must not act on frames that waited in
// its buffers, because what it knew about them has expired.
func (s *Silence) Frame(now time.Time) bool {
	if s.Expired(now) {
		return false
	}
	s.last.Store(now.UnixNano())
	return true
}

// Expired tells whether the stream has been silent for longer than the limit.
func (s *Silence) Expired(now time.Time) bool {
	return now.UnixNano()-s.last.Load() > int64(s.limit)
}
