package demo

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// assertIdle checks that the entry, sidecars and engines hold no request.
func assertIdle(t *testing.T, c *Cluster) {
	t.Helper()
	assert.Equal(t, c.Entry.InProgress(), 0)
	for _, n := range c.Nodes {
		assert.Equal(t, n.Sidecar.InProgress(), 0, n.ID)
		if n.Engine != nil {
			assert.Equal(t, n.Engine.Requests(), 0, n.ID)
		}
	}
}

// Guards against leaks when a client disconnects during a stream.
func TestClientDisconnectsDuringStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, hangOptions())
		ctx, cancel := context.WithCancel(t.Context())
		_, err := client.Complete(ctx, Model, testPrompt, demoTokens, func(n int) {
			if n == hangToken {
				cancel()
			}
		})
		assert.ErrorIs(t, err, context.Canceled)
		time.Sleep(time.Second)
		assertIdle(t, cluster)
	})
}

// Guards against a request that stays open because its client does not read the
// response.
func TestClientReadsNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, hangOptions())
		resp, err := client.do(t.Context(), http.MethodPost, "/v1/completions", map[string]any{
			"model": Model, "prompt": testPrompt, "max_tokens": demoTokens, "stream": true,
		})
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		time.Sleep(time.Minute)
		assertIdle(t, cluster)
	})
}

// Guards against a drain that is blocked by a client that never completes its
// request body.
func TestClientSendsIncompleteBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, _ := testCluster(t, hangOptions())
		conn, err := cluster.opts.Network.Dialer("caller")(t.Context(), "", EntryID)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer " + Key +
			"\r\nContent-Length: 100\r\n\r\n{"))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, cluster.Entry.InProgress(), 1)
		cluster.Entry.Drain()
		time.Sleep(time.Minute)
		assert.Assert(t, isClosed(cluster.Entry.Drained()))
	})
}

// Tests request and response bodies that need many frames.
func TestLargeBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := slowPlainCluster(t, 1)
		reference := strings.Repeat("0123456789abcdef", 1<<17)
		status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": reference})
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusCreated)
		assert.Assert(t, strings.Contains(body, reference))
		assert.Equal(t, cluster.executions(reference), 1)
		synctest.Wait()
		assertIdle(t, cluster)
	})
}

// Guards against mixing up the tokens of requests that share frames.
func TestConcurrentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, ClusterOptions{Stages: 3, Replicas: 1, StepTime: 2 * time.Millisecond})
		const requests = 64
		errs := make(chan error, requests)
		for i := range requests {
			go func() {
				_, err := complete(t.Context(), client, strings.Repeat("press ", i+1), nil)
				errs <- err
			}()
		}
		for range requests {
			assert.NilError(t, <-errs)
		}
		synctest.Wait()
		assertIdle(t, cluster)
	})
}
