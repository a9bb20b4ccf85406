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

func request(id string, deadline time.Duration) admission.Request {
	return admission.Request{ID: id, Team: "t", Weight: 1, Cost: 1, Deadline: now().Add(deadline)}
}

// Guards against a request that waits forever: a freed place must wake the
// next request, and a request that cannot be served in time must be answered
// with a time to come back.
func TestAdmitterWakesAndSheds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		a.setCapacity("p", 1, 1)
		release, refused := a.acquire(t.Context(), "p", request("first", time.Minute))
		assert.Assert(t, refused == nil)

		woken := make(chan *problem.Problem, 1)
		go func() {
			release, refused := a.acquire(t.Context(), "p", request("second", time.Minute))
			if refused == nil {
				release(admission.Outcome{Result: admission.Completed})
			}
			woken <- refused
		}()
		synctest.Wait()
		release(admission.Outcome{Result: admission.Completed, TimeToFirstToken: time.Millisecond})
		assert.Assert(t, <-woken == nil)

		_, refused = a.acquire(t.Context(), "none", request("third", time.Second))
		assert.Equal(t, refused.Code, problem.NoBackend)
		assert.Equal(t, refused.Executed, problem.ExecutedNo)
		assert.Assert(t, refused.RetryAfter > 0)
	})
}

// Guards against capacity that leaks when a caller goes away while it waits.
func TestAdmitterForgetsAbandonedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		a.setCapacity("p", 1, 1)
		release, _ := a.acquire(t.Context(), "p", request("first", time.Minute))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, refused := a.acquire(ctx, "p", request("gone", time.Minute))
		assert.Equal(t, refused.Executed, problem.ExecutedNo)
		release(admission.Outcome{Result: admission.Completed})
		_, refused = a.acquire(t.Context(), "p", request("next", time.Minute))
		assert.Assert(t, refused == nil)
	})
}
