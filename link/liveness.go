package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrHeartbeatTimeout is the cause of closing a stream that received no frame for
// longer than the timeout.
var ErrHeartbeatTimeout = errors.New("stream was silent for longer than the limit")

// LivenessMonitor monitors a stream: it expires when no frame from the peer arrives
// within a timeout. It is safe for concurrent use.
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
	m := &LivenessMonitor{}
	m.timeout.Store(int64(timeout))
	m.lastFrame.Store(now.UnixNano())
	return m
}

// SetTimeout changes the timeout. A new timeout starts at the time now, because the
// peer could not know of it before.
func (m *LivenessMonitor) SetTimeout(now time.Time, timeout time.Duration) {
	if m.timeout.Swap(int64(timeout)) == int64(timeout) {
		return
	}
	m.lastFrame.Store(now.UnixNano())
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer != nil {
		m.timer.Reset(timeout)
	}
}

// ObserveFrame records the receipt of a frame. It returns false if the timeout had
// already passed: after a pause, the process must not act on frames that were left in
// its buffers, because the state that they refer to has expired.
func (m *LivenessMonitor) ObserveFrame(now time.Time) bool {
	if m.Expired(now) {
		return false
	}
	m.lastFrame.Store(now.UnixNano())
	return true
}

// Expired reports whether no frame has been received for longer than the timeout.
func (m *LivenessMonitor) Expired(now time.Time) bool {
	return now.UnixNano()-m.lastFrame.Load() > m.timeout.Load()
}

// Watch blocks until the timeout passes without a frame and returns
// ErrHeartbeatTimeout, or returns nil when ctx is done first.
func (m *LivenessMonitor) Watch(ctx context.Context) error {
	expired := make(chan struct{})
	stop := m.Start(func() { close(expired) })
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
func (m *LivenessMonitor) Start(onTimeout func()) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onTimeout = onTimeout
	m.timer = time.AfterFunc(time.Duration(m.timeout.Load()), m.timerFired)
	return m.stop
}

func (m *LivenessMonitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
}

// timerFired calls onTimeout if the timeout has passed.
func (m *LivenessMonitor) timerFired() {
	if m.expireOrRearm() {
		m.onTimeout()
	}
}

// expireOrRearm reports whether the timeout has passed. Otherwise it resets the
// timer to the remaining time.
func (m *LivenessMonitor) expireOrRearm() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer == nil {
		return false
	}
	remaining := time.Until(time.Unix(0, m.lastFrame.Load()+m.timeout.Load()))
	if remaining > 0 {
		m.timer.Reset(remaining)
		return false
	}
	m.timer = nil
	return true
}
