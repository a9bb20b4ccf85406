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

// Guards the limit itself: a silent stream ends at the limit after its last
// frame, neither at the next heartbeat nor before.
func TestSilenceEndsAtTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silence := link.NewLivenessMonitor(time.Now(), link.HeartbeatTimeout)
		began := time.Now()
		time.AfterFunc(1700*time.Millisecond, func() { silence.ObserveFrame(time.Now()) })
		assert.ErrorIs(t, silence.Watch(t.Context()), link.ErrHeartbeatTimeout)
		assert.Equal(t, time.Since(began), 1700*time.Millisecond+link.HeartbeatTimeout)
	})
}

// Guards against a peer that connects and says nothing.
func TestServeDropsPeerWithoutData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		listener := network.Listen("server")
		go func() { served <- link.Serve(ctx, listener, nil, drpcmux.New()) }()
		conn, err := network.Dialer("client")(ctx, "", "server")
		assert.NilError(t, err)
		began := time.Now()
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(began), link.HeartbeatTimeout)
		cancel()
		assert.NilError(t, <-served)
		_ = conn.Close()
	})
}

// Guards the bounds of a queue: bulk data waits for the consumer, and a full
// queue closes instead of leaving a gap.
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

// A stopped watch must not end a stream that has been replaced, and a changed
// limit must move the timer in both directions.
func TestSilenceStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ended := make(chan time.Duration, 1)
		silence := link.NewLivenessMonitor(began, 30*time.Second)
		stop := silence.Start(func() { ended <- time.Since(began) })
		time.Sleep(5 * time.Second)
		silence.SetTimeout(time.Now(), link.HeartbeatTimeout)
		assert.Equal(t, <-ended, 5*time.Second+link.HeartbeatTimeout)
		stop()

		stop = silence.Start(func() { t.Error("a stopped watch reported silence") })
		stop()
		silence.SetTimeout(time.Now(), time.Second)
		time.Sleep(time.Minute)
	})
}
