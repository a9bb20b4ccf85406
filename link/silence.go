package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrHeartbeatTimeout ends a stream that carried nothing for longer than the limit.
var ErrHeartbeatTimeout = errors.New("stream was silent for longer than the limit")

// LivenessMonitor tells when a stream last carried a frame from the peer. It is safe
// for concurrent use.
type LivenessMonitor struct {
	limit atomic.Int64
	last  atomic.Int64

	mu sync.Mutex
	// timer is set between Start and the end of the watch.
	timer  *time.Timer
	silent func()
}

// NewLivenessMonitor returns a watch that starts now.
func NewLivenessMonitor(now time.Time, limit time.Duration) *LivenessMonitor {
	s := &LivenessMonitor{}
	s.limit.Store(int64(limit))
	s.last.Store(now.UnixNano())
	return s
}

// SetTimeout changes the limit. A new limit counts from now, because the peer
// could not know of it before.
func (s *LivenessMonitor) SetTimeout(now time.Time, limit time.Duration) {
	if s.limit.Swap(int64(limit)) == int64(limit) {
		return
	}
	s.last.Store(now.UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Reset(limit)
	}
}

// ObserveFrame records a frame. It returns false when the stream had already been
// silent for too long: a paused process must not act on frames that waited in
// its buffers, because what it knew about them has expired.
func (s *LivenessMonitor) ObserveFrame(now time.Time) bool {
	if s.Expired(now) {
		return false
	}
	s.last.Store(now.UnixNano())
	return true
}

// Expired tells whether the stream has been silent for longer than the limit.
func (s *LivenessMonitor) Expired(now time.Time) bool {
	return now.UnixNano()-s.last.Load() > s.limit.Load()
}

// Watch returns ErrHeartbeatTimeout as soon as the stream has been silent for the limit,
// or nil when ctx ends first.
func (s *LivenessMonitor) Watch(ctx context.Context) error {
	expired := make(chan struct{})
	stop := s.Start(func() { close(expired) })
	defer stop()
	select {
	case <-ctx.Done():
		return nil
	case <-expired:
		return ErrHeartbeatTimeout
	}
}

// Start calls silent once when the limit has passed without a frame, unless
// stop is called before. It holds a timer and no goroutine, because a process
// with hundreds of idle streams pays for the stack of each goroutine.
func (s *LivenessMonitor) Start(silent func()) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.timer = time.AfterFunc(time.Duration(s.limit.Load()), s.check)
	return s.stop
}

func (s *LivenessMonitor) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// check ends the watch when the limit has passed, and otherwise waits for the rest.
func (s *LivenessMonitor) check() {
	if s.ended() {
		s.silent()
	}
}

func (s *LivenessMonitor) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return false
	}
	left := time.Until(time.Unix(0, s.last.Load()+s.limit.Load()))
	if left > 0 {
		s.timer.Reset(left)
		return false
	}
	s.timer = nil
	return true
}
