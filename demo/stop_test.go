package demo

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that the end of a process cuts off without an answer, and
// against a booking that is then said not to have been made.
func TestEndOfProcessAnswersRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, ClusterOptions{Stages: 1, Replicas: 1, PlainServers: 1, PlainDelay: 20 * time.Second, StepTime: 20 * time.Second})
		type answer struct {
			status int
			body   string
			err    error
		}
		answers := make(chan answer, 2)
		go func() {
			status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "shift-7"})
			answers <- answer{status, body, err}
		}()
		go func() {
			status, body, err := client.Call(t.Context(), http.MethodPost, "/v1/completions", map[string]any{"model": Model, "prompt": testPrompt, "max_tokens": demoTokens})
			answers <- answer{status, body, err}
		}()
		time.Sleep(time.Second)
		cluster.Entry.Drain()
		cluster.Entry.EndRequests()
		for range 2 {
			a := <-answers
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, http.StatusGatewayTimeout, a.body)
			assert.Assert(t, !strings.Contains(a.body, `"executed":"no"`), a.body)
		}
		<-cluster.Entry.Drained()
		assert.Equal(t, cluster.executions("shift-7"), 1)
		time.Sleep(time.Minute)
	})
}
