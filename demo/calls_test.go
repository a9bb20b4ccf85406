package demo

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const bookingPath = "/" + Service + "/bookings"

// slowPlainCluster returns a cluster whose plain servers take 500 ms for a booking.
func slowPlainCluster(t *testing.T, servers int) (*Cluster, *Client) {
	return testCluster(t, ClusterOptions{Stages: 1, Replicas: 1, PlainServers: servers, PlainDelay: 500 * time.Millisecond})
}

func (c *Cluster) executions(reference string) int {
	executions := 0
	for _, n := range c.Nodes {
		if n.Plain != nil {
			executions += n.Plain.Executions(reference)
		}
	}
	return executions
}

// bookWithFault sends a booking, calls fault after the given time and returns the
// response.
func bookWithFault(t *testing.T, client *Client, after time.Duration, fault func()) (status int, body string, took time.Duration) {
	t.Helper()
	start := time.Now()
	timer := time.AfterFunc(after, fault)
	defer timer.Stop()
	status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "shift-7"})
	assert.NilError(t, err)
	return status, body, time.Since(start)
}

// Guards against reporting an unknown outcome although the sidecar knows it, when
// the entry's connection closes or goes silent during the call or before it arrives.
func TestCallSurvivesConnectionLoss(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
		fault func(c *Cluster, node string)
	}{
		{"closed while running", 100 * time.Millisecond, func(c *Cluster, node string) { c.opts.Network.CloseBetween(EntryID, node) }},
		{"silent while running", 100 * time.Millisecond, func(c *Cluster, node string) { c.opts.Network.BlackholeBetween(EntryID, node) }},
		{"silent before it arrives", 0, func(c *Cluster, node string) { c.opts.Network.BlackholeBetween(EntryID, node) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster, client := slowPlainCluster(t, 1)
				if test.after == 0 {
					test.fault(cluster, "orders-0")
				}
				status, body, took := bookWithFault(t, client, max(test.after, time.Millisecond), func() {
					if test.after > 0 {
						test.fault(cluster, "orders-0")
					}
				})
				t.Log("answered after", took)
				assert.Equal(t, status, http.StatusCreated, body)
				assert.Equal(t, cluster.executions("shift-7"), 1)
			})
		})
	}
}

// Guards against a false outcome and against a second execution: a restarted
// sidecar has no record of the call, so the outcome must be reported as unknown and
// no other server may execute the call.
func TestCallOutcomeIsUnknownAfterSidecarRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := slowPlainCluster(t, 2)
		status, body, _ := bookWithFault(t, client, 100*time.Millisecond, func() {
			for _, n := range cluster.Nodes {
				if n.Plain != nil && n.Sidecar.InProgress() > 0 {
					assert.Check(t, cluster.Restart(n.ID))
				}
			}
		})
		assert.Equal(t, status, http.StatusBadGateway, body)
		assert.Assert(t, strings.Contains(body, `"executed":"unknown"`), body)
		assert.Equal(t, cluster.executions("shift-7"), 1)
	})
}

// Guards against an idempotent call that waits for a lost connection instead of
// being retried on another server.
func TestIdempotentCallIsRetriedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := slowPlainCluster(t, 2)
		for _, n := range cluster.Nodes {
			if n.Plain != nil {
				n.Plain.SetLookupDelay(200 * time.Millisecond)
			}
		}
		time.AfterFunc(100*time.Millisecond, func() {
			for _, n := range cluster.Nodes {
				if n.Plain != nil && n.Sidecar.InProgress() > 0 {
					cluster.opts.Network.CloseBetween(EntryID, n.ID)
				}
			}
		})
		start := time.Now()
		status, _, err := client.Call(t.Context(), http.MethodGet, bookingPath+"/none", nil)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusNotFound)
		assert.Assert(t, time.Since(start) < 350*time.Millisecond, "took %s", time.Since(start))
	})
}

// fixedResponseBackend sends the same bytes on every connection and closes it. It
// returns a counter of the requests received.
func fixedResponseBackend(t *testing.T, listener net.Listener, response string) (requests *int) {
	requests = new(int)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				*requests++
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, response)
			}
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return requests
}

// Guards against forwarding a response that the backend server truncated, and
// against the HTTP client's automatic retry of a request without a response.
func TestTruncatedResponse(t *testing.T) {
	cases := []struct{ name, response, executed string }{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", "yes"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "yes"},
		{"HTTP/1.0 without length", "HTTP/1.0 200 OK\r\n\r\nabc", "yes"},
		{"HTTP/1.1 ended by close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", "yes"},
		{"inside the head", "HTTP/1.1 200 OK\r\nContent-Le", "unknown"},
		{"no answer", "", "unknown"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster, client := slowPlainCluster(t, 1)
				requests := fixedResponseBackend(t, cluster.opts.Network.Listen("orders-0"+backendSuffix), test.response)
				status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "r"})
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusBadGateway, body)
				assert.Assert(t, strings.Contains(body, `"executed":"`+test.executed+`"`), body)
				assert.Equal(t, *requests, 1)
			})
		})
	}
}

// Guards against leaks when a client disconnects during a call: the sidecar must
// release the withdrawn call, and the entry must keep no request open.
func TestClientDisconnectsDuringCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := slowPlainCluster(t, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := client.Call(ctx, http.MethodPost, bookingPath, map[string]string{"reference": "shift-7"})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cluster.Entry.InProgress(), 0)
		assert.Equal(t, cluster.Node("orders-0").Sidecar.InProgress(), 0)
	})
}
