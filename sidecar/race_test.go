package sidecar

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/standin"
	"github.com/sapphirefield/sapphirefield/wire"
)

// harness is a sidecar with a simulated engine that serves all layers of a model.
type harness struct {
	*Server
	engine *standin.Engine
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWith(t, func(engine http.Handler) http.Handler { return engine })
}

// newHarnessWith returns a harness whose engine is reached through a wrapper.
func newHarnessWith(t *testing.T, wrap func(engine http.Handler) http.Handler) *harness {
	t.Helper()
	network := standin.NewNetwork()
	engine := standin.NewEngine(standin.EngineOptions{Model: "m", Limit: 4, Layers: 4, StepTime: time.Millisecond})
	backend := &http.Server{Handler: wrap(engine.Handler())}
	h := &harness{engine: engine}
	h.Server = New(Options{
		ID: "s", Model: "m", Layers: &wire.LayerRange{Limit: 4}, Backend: "http://engine",
		DialBackend: network.Dialer("s"), Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	engineListener, listener := network.Listen("engine"), network.Listen("s")
	wg.Go(func() { _ = backend.Serve(engineListener) })
	wg.Go(func() { _ = h.Serve(ctx, listener) })
	synctest.Wait()
	t.Cleanup(func() {
		cancel()
		_ = backend.Close()
		wg.Wait()
	})
	return h
}

func (h *harness) openFrame(number uint32) *wire.WorkUp {
	return &wire.WorkUp{Body: &wire.WorkUp_Open{Open: &wire.Open{
		Request: "r", Attempt: number, Incarnation: h.Incarnation(), Model: "m", MaxTokens: 3,
		Chain: []*wire.Stage{{Instance: "s", Address: "s", Layers: &wire.LayerRange{Limit: 4}}},
	}}}
}

func startFrame(number uint32) *wire.WorkUp {
	return &wire.WorkUp{Body: &wire.WorkUp_Start{Start: &wire.Start{Request: "r", Attempt: number, Prompt: "p"}}}
}

func (h *harness) handle(frames ...*wire.WorkUp) {
	for _, frame := range frames {
		h.handleWork("e", frame, time.Now())
	}
}

// Guards against a Release of an earlier attempt that arrives after the Open of
// a later one and frees the later attempt or its KV cache.
func TestLateReleaseKeepsNewerAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.handle(h.openFrame(1), startFrame(1))
		time.Sleep(time.Millisecond / 2)
		h.handle(h.openFrame(2), startFrame(2))
		time.Sleep(10 * time.Millisecond)
		h.handle(&wire.WorkUp{Body: &wire.WorkUp_Release{Release: &wire.Release{Request: "r", Attempt: 1}}})
		h.cancelInEngine(attempt.Key{Request: "r", Number: 1})
		synctest.Wait()
		assert.Equal(t, h.InProgress(), 1)
		assert.Equal(t, h.engine.Requests(), 1)
		h.handle(&wire.WorkUp{Body: &wire.WorkUp_Release{Release: &wire.Release{Request: "r", Attempt: 2}}})
		synctest.Wait()
		assert.Equal(t, h.InProgress(), 0)
		assert.Equal(t, h.engine.Requests(), 0)
	})
}

// Guards against running a step of a replaced attempt that was queued for the
// engine: it would take the KV cache away from the newer attempt.
func TestStepOfReplacedAttemptDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engine.Hang()
		h.handle(h.openFrame(1), startFrame(1))
		time.Sleep(time.Millisecond)
		h.handle(h.openFrame(2), startFrame(2), h.openFrame(3), startFrame(3))
		h.engine.Resume()
		time.Sleep(50 * time.Millisecond)
		// Attempt 1 ran one step in the engine, the queued step of attempt 2 did not
		// run, and attempt 3 generated 3 tokens; each step runs 4 layers.
		assert.Equal(t, h.engine.LayerExecutions(), int64(4*(1+3)))
	})
}

// Guards against accepting an Open that arrives after that of a newer attempt.
func TestLateOpenIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.handle(h.openFrame(2), h.openFrame(1))
		assert.Assert(t, h.currentAttempt("r", 2) != nil)
		assert.Assert(t, h.currentAttempt("r", 1) == nil)
	})
}
