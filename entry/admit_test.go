package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/problem"
)

func testRequest(id string, deadline time.Duration) admission.Request {
	return admission.Request{ID: id, Team: "t", Weight: 1, Cost: 1, Deadline: now().Add(deadline)}
}

// Guards against a request that waits forever: released capacity must admit the
// next waiting request, and a request that cannot be served in time must be
// refused with a Retry-After time.
func TestAdmitterWakesAndSheds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		a.setCapacity("p", 1, 1)
		release, prob := a.acquire(t.Context(), "p", testRequest("first", time.Minute))
		assert.Assert(t, prob == nil)

		woken := make(chan *problem.Problem, 1)
		go func() {
			release, prob := a.acquire(t.Context(), "p", testRequest("second", time.Minute))
			if prob == nil {
				release(admission.Outcome{Result: admission.Completed})
			}
			woken <- prob
		}()
		synctest.Wait()
		release(admission.Outcome{Result: admission.Completed, TimeToFirstToken: time.Millisecond})
		assert.Assert(t, <-woken == nil)

		_, prob = a.acquire(t.Context(), "none", testRequest("third", time.Second))
		assert.Equal(t, prob.Code, problem.NoBackend)
		assert.Equal(t, prob.Executed, problem.ExecutedNo)
		assert.Assert(t, prob.RetryAfter > 0)
	})
}

// Guards against capacity that leaks when a client disconnects while it waits.
func TestAdmitterFreesCanceledWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		a.setCapacity("p", 1, 1)
		release, _ := a.acquire(t.Context(), "p", testRequest("first", time.Minute))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, prob := a.acquire(ctx, "p", testRequest("gone", time.Minute))
		assert.Equal(t, prob.Executed, problem.ExecutedNo)
		release(admission.Outcome{Result: admission.Completed})
		_, prob = a.acquire(t.Context(), "p", testRequest("next", time.Minute))
		assert.Assert(t, prob == nil)
	})
}
