package link_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/standin"
)

// A stream without frames must expire exactly one timeout after its last frame,
// neither at the next heartbeat nor before.
func TestWatchExpiresAtTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor := link.NewLivenessMonitor(time.Now(), link.HeartbeatTimeout)
		start := time.Now()
		time.AfterFunc(1700*time.Millisecond, func() { monitor.ObserveFrame(time.Now()) })
		assert.ErrorIs(t, monitor.Watch(t.Context()), link.ErrHeartbeatTimeout)
		assert.Equal(t, time.Since(start), 1700*time.Millisecond+link.HeartbeatTimeout)
	})
}

// A peer that connects and sends no data must be disconnected.
func TestServeDropsPeerWithoutData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		listener := network.Listen("server")
		go func() { done <- link.Serve(ctx, listener, nil, drpcmux.New()) }()
		conn, err := network.Dialer("client")(ctx, "", "server")
		assert.NilError(t, err)
		start := time.Now()
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(start), link.HeartbeatTimeout)
		cancel()
		assert.NilError(t, <-done)
		_ = conn.Close()
	})
}

// WaitBelow must block until the consumer takes items, and a full queue must close
// instead of dropping an item.
func TestQueueBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := link.NewQueue[int](3)
		for i := range 3 {
			assert.Assert(t, q.Push(i))
		}
		time.AfterFunc(time.Second, func() { q.Take() })
		assert.NilError(t, q.WaitBelow(t.Context(), 3))
		for i := range 3 {
			assert.Assert(t, q.Push(i))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, errors.Is(q.WaitBelow(ctx, 3), context.DeadlineExceeded))
		assert.Assert(t, !q.Push(3))
		items, open := q.Take()
		assert.DeepEqual(t, items, []int{0, 1, 2})
		assert.Assert(t, !open)
	})
}

// A stopped monitor must not close a stream that has been replaced, and a changed
// timeout must reset a running timer but not start a stopped one.
func TestMonitorStopAndTimeoutChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		expired := make(chan time.Duration, 1)
		monitor := link.NewLivenessMonitor(start, 30*time.Second)
		stop := monitor.Start(func() { expired <- time.Since(start) })
		time.Sleep(5 * time.Second)
		monitor.SetTimeout(time.Now(), link.HeartbeatTimeout)
		assert.Equal(t, <-expired, 5*time.Second+link.HeartbeatTimeout)
		stop()

		stop = monitor.Start(func() { t.Error("a stopped monitor expired") })
		stop()
		monitor.SetTimeout(time.Now(), time.Second)
		time.Sleep(time.Minute)
	})
}
