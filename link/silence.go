package link

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrSilent ends a stream that carried nothing for longer than the limit.
var ErrSilent = errors.New("stream was silent for longer than the limit")

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

// Watch returns ErrSilent as soon as the stream has been silent for the limit,
// or nil when ctx ends first.
func (s *Silence) Watch(ctx context.Context) error {
	timer := time.NewTimer(s.limit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		left := time.Until(time.Unix(0, s.last.Load()).Add(s.limit))
		if left <= 0 {
			return ErrSilent
		}
		timer.Reset(left)
	}
}
