package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/standin"
)

const (
	// crashDowntime is how long a crashed backend server is gone, crashInterval the time
	// between two requests that crash servers.
	crashDowntime = time.Second
	crashInterval = 3 * time.Second
	// tolerableCrashes is the number of crashes after which a request must be known, and
	// lateCrashes how many more it may cause.
	tolerableCrashes = 3
	lateCrashes      = 3
)

// crashOn makes the backend servers of a cluster crash under requests with one content,
// and returns the number of crashes.
func crashOn(c *Cluster, content string) *atomic.Int64 {
	var crashes atomic.Int64
	for _, n := range c.Nodes {
		crash := func() {
			crashes.Add(1)
			n.crashBackend(crashDowntime)
		}
		if n.Plain != nil {
			n.Plain.CrashOn(content, crash)
		} else {
			n.Engine.CrashOn(content, crash)
		}
	}
	return &crashes
}

// Guards against one call that crashes server after server each time it comes, while
// others are sound.
func TestCallThatCrashesServersIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, ClusterOptions{Stages: 1, Replicas: 1, PlainServers: 3})
		crashes := crashOn(cluster, "bad")
		for i := range 16 {
			before := crashes.Load()
			status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "bad"})
			assert.NilError(t, err)
			assert.Equal(t, status == http.StatusServiceUnavailable, crashes.Load() == before, "%d %s", status, body)
			time.Sleep(crashInterval)
			status, body, err = client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": fmt.Sprint("good-", i)})
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusCreated, body)
		}
		assert.Assert(t, crashes.Load() <= tolerableCrashes+lateCrashes, "%d crashes", crashes.Load())
		status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "bad"})
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(body, `"request_blocked"`), body)
	})
}

// Guards against the crashes of a server that count as one because it has answered nothing
// in between.
func TestCrashesCountWithoutAnswersInBetween(t *testing.T) {
	calls := map[string]func(*testing.T, *Client, int) error{
		"call": func(t *testing.T, client *Client, _ int) error {
			_, _, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "bad"})
			return err
		},
		"keyed call": func(t *testing.T, client *Client, i int) error {
			client.IdempotencyKey = fmt.Sprint("key-", i)
			_, _, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "bad"})
			return err
		},
		"language request": func(t *testing.T, client *Client, _ int) error {
			// It fails, or is refused.
			_, _ = client.Complete(t.Context(), Model, "bad", 4, nil)
			return nil
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster, client := testCluster(t, ClusterOptions{Stages: 1, Replicas: 1, PlainServers: 1, Claims: &standin.MemoryLog{}})
				crashes := crashOn(cluster, "bad")
				time.Sleep(time.Second) // the log is read once before keys are accepted
				for i := range 16 {
					assert.NilError(t, call(t, client, i))
					time.Sleep(2 * crashInterval)
				}
				assert.Assert(t, crashes.Load() <= tolerableCrashes+lateCrashes, "%d crashes", crashes.Load())
			})
		})
	}
}

// Guards against crashes that are not counted because the client has left before them.
func TestCrashUnderAbandonedCallCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, ClusterOptions{Stages: 1, Replicas: 1, PlainServers: 3})
		const workTime = 50 * time.Millisecond
		var crashes atomic.Int64
		leave := func() {}
		for _, n := range cluster.Nodes {
			if n.Plain != nil {
				n.Plain.CrashOn("bad", func() {
					leave()
					time.Sleep(workTime)
					crashes.Add(1)
					n.crashBackend(crashDowntime)
				})
			}
		}
		for range 16 {
			ctx, cancel := context.WithCancel(t.Context())
			leave = cancel
			_, _, _ = client.Call(ctx, http.MethodPost, bookingPath, map[string]string{"reference": "bad"}) // it ends with the context
			cancel()
			time.Sleep(crashInterval)
		}
		assert.Assert(t, crashes.Load() <= tolerableCrashes+lateCrashes, "%d crashes", crashes.Load())
	})
}

// Guards against a call that crashes server after server because the errors that servers
// answer in between are taken for answers.
func TestCallThatFailsOrCrashesServersIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, ClusterOptions{Stages: 1, Replicas: 1, PlainServers: 3})
		crashes := crashOn(cluster, "bad")
		fails := false
		for _, n := range cluster.Nodes {
			if n.Plain != nil {
				n.Plain.FailWhen(func(reference string) bool { return fails && reference == "bad" })
			}
		}
		for i := range 16 {
			fails = i%2 == 1
			_, _, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "bad"})
			assert.NilError(t, err)
			time.Sleep(crashInterval)
		}
		assert.Assert(t, crashes.Load() <= tolerableCrashes+lateCrashes, "%d crashes", crashes.Load())
	})
}

// Guards against a call with an idempotency key that crashes server after server, under
// the same key or a new one, and against a block that hides the stored outcome of a key.
func TestKeyedCallThatCrashesServersIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, ClusterOptions{Stages: 1, Replicas: 1, PlainServers: 3, Claims: &standin.MemoryLog{}})
		crashes := crashOn(cluster, "bad")
		call := func(key, reference string) (int, string) {
			client.IdempotencyKey = key
			defer func() { client.IdempotencyKey = "" }()
			status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": reference})
			assert.NilError(t, err)
			return status, body
		}
		time.Sleep(time.Second) // the log is read once before keys are accepted
		for i := range 10 {
			key := fmt.Sprint("key-", i)
			before := crashes.Load()
			status, body := call(key, "bad")
			assert.Equal(t, status == http.StatusServiceUnavailable, crashes.Load() == before, "%d %s", status, body)
			if crashes.Load() > before {
				// The same key again runs nothing: its outcome is unknown for good.
				after := crashes.Load()
				status, _ = call(key, "bad")
				assert.Equal(t, status, http.StatusBadGateway)
				assert.Equal(t, crashes.Load(), after)
			}
			time.Sleep(crashInterval)
			status, body = call(fmt.Sprint("good-key-", i), fmt.Sprint("good-", i))
			assert.Equal(t, status, http.StatusCreated, body)
		}
		assert.Assert(t, crashes.Load() <= tolerableCrashes+lateCrashes, "%d crashes", crashes.Load())
		status, _ := call("key-0", "bad")
		assert.Equal(t, status, http.StatusBadGateway)
		status, body := call("good-key-0", "good-0")
		assert.Equal(t, status, http.StatusCreated, body)
	})
}

// Guards against a language request that crashes engine after engine, at each stage of
// its chains.
func TestLanguageRequestThatCrashesEnginesIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, ClusterOptions{Stages: 2, Replicas: 3, PlainServers: 1})
		crashes := crashOn(cluster, "bad")
		for i := range 8 {
			_, err := client.Complete(t.Context(), Model, "bad", 4, nil)
			assert.Assert(t, err != nil)
			time.Sleep(2 * crashInterval)
			_, err = client.Complete(t.Context(), Model, fmt.Sprint("good ", i), 4, nil)
			assert.NilError(t, err)
		}
		assert.Assert(t, crashes.Load() <= tolerableCrashes+lateCrashes, "%d crashes", crashes.Load())
	})
}
