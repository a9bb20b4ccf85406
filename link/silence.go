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
	limit atomic.Int64
	last  atomic.Int64
	// changed wakes Watch after a change of the limit.
	changed chan struct{}
}

// NewSilence returns a watch that starts now.
func NewSilence(now time.Time, limit time.Duration) *Silence {
	s := &Silence{changed: make(chan struct{}, 1)}
	s.limit.Store(int64(limit))
	s.last.Store(now.UnixNano())
	return s
}

// SetLimit changes the limit. A new limit counts from now, because the peer
// could not know of it before.
func (s *Silence) SetLimit(now time.Time, limit time.Duration) {
	if s.limit.Swap(int64(limit)) == int64(limit) {
		return
	}
	s.last.Store(now.UnixNano())
	select {
	case s.changed <- struct{}{}:
	default:
	}
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
	return now.UnixNano()-s.last.Load() > s.limit.Load()
}

// Watch returns ErrSilent as soon as the stream has been silent for the limit,
// or nil when ctx ends first.
func (s *Silence) Watch(ctx context.Context) error {
	timer := time.NewTimer(time.Duration(s.limit.Load()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.changed:
		}
		left := time.Until(time.Unix(0, s.last.Load()+s.limit.Load()))
		if left <= 0 {
			return ErrSilent
		}
		timer.Reset(left)
	}
}
