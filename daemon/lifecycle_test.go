package daemon

import (
	"io"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/chart"
	"github.com/sapphirefield/sapphirefield/sidecar"
)

type fakeWorker struct {
	draining atomic.Bool
	idle     chan struct{}
	running  int
}

func (w *fakeWorker) Drain()                   { w.draining.Store(true) }
func (w *fakeWorker) Drained() <-chan struct{} { return w.idle }
func (w *fakeWorker) InProgress() int          { return w.running }

func testLifecycle(t *testing.T, w *fakeWorker, signals chan os.Signal) (*lifecycle, *[]chart.State) {
	l, err := newLifecycle()
	assert.NilError(t, err)
	revision := make(chan struct{})
	close(revision)
	states := new([]chart.State)
	l.worker, l.signals, l.revision, l.notice = w, signals, revision, 3*time.Second
	l.logger = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	l.onState = func(s chart.State) { *states = append(*states, s) }
	return l, states
}

// Guards R6: a signal must let requests end, unready before refusing.
func TestSignalDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWorker{idle: make(chan struct{}), running: 1}
		signals := make(chan os.Signal, 2)
		l, states := testLifecycle(t, w, signals)
		done := make(chan error, 1)
		go func() { done <- l.run(t.Context()) }()
		synctest.Wait()
		signals <- syscall.SIGTERM
		synctest.Wait()
		assert.Assert(t, !w.draining.Load(), "requests are refused before the load balancer could notice")
		time.Sleep(4 * time.Second)
		synctest.Wait()
		assert.Assert(t, w.draining.Load())
		close(w.idle)
		assert.NilError(t, <-done)
		assert.DeepEqual(t, *states, []chart.State{stateServing, stateUnready, stateDraining, stateClosing, stateStopped})
	})
}

// Guards the second signal: it must end the process at once and say what it cut.
func TestSecondSignalCutsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWorker{idle: make(chan struct{}), running: 2}
		signals := make(chan os.Signal, 2)
		l, _ := testLifecycle(t, w, signals)
		done := make(chan error, 1)
		go func() { done <- l.run(t.Context()) }()
		synctest.Wait()
		signals <- syscall.SIGTERM
		synctest.Wait()
		signals <- syscall.SIGTERM
		assert.ErrorContains(t, <-done, "2 requests in progress were cut off")
	})
}

// Guards against a drain that never ends when the settings bound it.
func TestDrainLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWorker{idle: make(chan struct{}), running: 1}
		signals := make(chan os.Signal, 1)
		l, _ := testLifecycle(t, w, signals)
		l.limit = time.Minute
		done := make(chan error, 1)
		go func() { done <- l.run(t.Context()) }()
		synctest.Wait()
		signals <- syscall.SIGTERM
		assert.ErrorContains(t, <-done, "cut off")
	})
}

// Guards against a sidecar that ends while entries that have not heard of the
// drain still send it work, which their callers would then hear "unknown" of.
func TestIdleSidecarLingers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		r := &sidecarRole{Server: sidecar.New(sidecar.Options{ID: "orders-0", Logger: logger}), drained: make(chan struct{})}
		r.Drain()
		<-r.Server.Drained()
		synctest.Wait()
		select {
		case <-r.Drained():
			t.Fatal("the sidecar ends at once")
		default:
		}
		<-r.Drained()
	})
}
