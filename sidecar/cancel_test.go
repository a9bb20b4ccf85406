package sidecar

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/wire"
)

// delaySteps delays the steps on their way to an engine, so that whatever is sent after
// them arrives first.
func delaySteps(engine http.Handler, delay time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/steps" {
			time.Sleep(delay)
		}
		engine.ServeHTTP(w, r)
	})
}

func releaseFrame(number uint32) *wire.WorkUp {
	return &wire.WorkUp{Body: &wire.WorkUp_Release{Release: &wire.Release{Request: "r", Attempt: number}}}
}

// Guards against an engine that keeps a request for good after its client has left,
// because the order to drop it overtook a step of it.
func TestCancelThatOvertakesStepFreesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 5 * time.Millisecond
		h := newHarnessWith(t, func(engine http.Handler) http.Handler { return delaySteps(engine, delay) })
		h.handle(h.openFrame(1), startFrame(1))
		time.Sleep(delay / 2)
		h.handle(releaseFrame(1))
		time.Sleep(time.Second)
		assert.Equal(t, h.engine.Requests(), 0)
	})
}

// Guards against a second order to drop a request that takes the KV cache from an attempt
// which has replaced the first one.
func TestCancelAfterStepKeepsNewerAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 5 * time.Millisecond
		h := newHarnessWith(t, func(engine http.Handler) http.Handler { return delaySteps(engine, delay) })
		h.handle(h.openFrame(1), startFrame(1))
		time.Sleep(delay / 2)
		h.handle(h.openFrame(2), startFrame(2))
		time.Sleep(time.Second)
		// Attempt 1 ran one step, attempt 2 all three.
		assert.Equal(t, h.engine.LayerExecutions(), int64(4*(1+3)))
		assert.Equal(t, h.engine.Requests(), 1)
		h.handle(releaseFrame(2))
		time.Sleep(time.Second)
		assert.Equal(t, h.engine.Requests(), 0)
	})
}
