package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrHeartbeatTimeout is the cause of closing a stream that received no frame for longer than
// the timeout.
var ErrHeartbeatTimeout = errors.New("stream was silent for longer than the limit")

// LivenessMonitor monitors the liveness of a stream: it expires when no frame from the
// peer arrives within a timeout. It is safe for concurrent use.
type LivenessMonitor struct {
	timeout   atomic.Int64
	lastFrame atomic.Int64

	mu sync.Mutex
	// timer is set from Start until the monitor expires or is stopped.
	timer     *time.Timer
	onTimeout func()
}

// NewLivenessMonitor returns a monitor whose timeout starts at the time now.
func NewLivenessMonitor(now time.Time, timeout time.Duration) *LivenessMonitor {
	s := &LivenessMonitor{}
	s.timeout.Store(int64(timeout))
	s.lastFrame.Store(now.UnixNano())
	return s
}

// SetTimeout changes the timeout. A new timeout starts at the time now, because the
// peer could not know of it before.
func (s *LivenessMonitor) SetTimeout(now time.Time, timeout time.Duration) {
	if s.timeout.Swap(int64(timeout)) == int64(timeout) {
		return
	}
	s.lastFrame.Store(now.UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Reset(timeout)
	}
}

// ObserveFrame records the receipt of a frame. It returns false if the timeout had already
// passed: after a pause, the process must not act on frames that were left in its
// buffers, because the state that they refer to has expired.
func (s *LivenessMonitor) ObserveFrame(now time.Time) bool {
	if s.Expired(now) {
		return false
	}
	s.lastFrame.Store(now.UnixNano())
	return true
}

// Expired reports whether no frame has been received for longer than the timeout.
func (s *LivenessMonitor) Expired(now time.Time) bool {
	return now.UnixNano()-s.lastFrame.Load() > s.timeout.Load()
}

// Watch blocks until the timeout passes without a frame and returns ErrHeartbeatTimeout, or
// returns nil when ctx is done first.
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

// Start calls onTimeout once when the timeout has passed without a frame, unless
// stop is called first. It uses a timer instead of a goroutine, because in a process
// with hundreds of idle streams the goroutine stacks would cost memory.
func (s *LivenessMonitor) Start(onTimeout func()) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onTimeout = onTimeout
	s.timer = time.AfterFunc(time.Duration(s.timeout.Load()), s.timerFired)
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

// timerFired calls onTimeout if the timeout has passed.
func (s *LivenessMonitor) timerFired() {
	if s.expireOrRearm() {
		s.onTimeout()
	}
}

// expireOrRearm reports whether the timeout has passed. Otherwise it resets the
// timer to the remaining time.
func (s *LivenessMonitor) expireOrRearm() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return false
	}
	remaining := time.Until(time.Unix(0, s.lastFrame.Load()+s.timeout.Load()))
	if remaining > 0 {
		s.timer.Reset(remaining)
		return false
	}
	s.timer = nil
	return true
}
