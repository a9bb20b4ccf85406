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

// callCluster has plain servers that take a while for a booking.
func callCluster(t *testing.T, servers int) (*Cluster, *Client) {
	return testCluster(t, ClusterOptions{Stages: 1, Replicas: 1, PlainServers: servers, PlainDelay: 500 * time.Millisecond})
}

func (c *Cluster) runs(reference string) int {
	runs := 0
	for _, n := range c.Nodes {
		if n.Plain != nil {
			runs += n.Plain.Executions(reference)
		}
	}
	return runs
}

// during runs fault while a booking is in progress and returns the caller's answer.
func during(t *testing.T, client *Client, after time.Duration, fault func()) (status int, body string, took time.Duration) {
	t.Helper()
	began := time.Now()
	timer := time.AfterFunc(after, fault)
	defer timer.Stop()
	status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "shift-7"})
	assert.NilError(t, err)
	return status, body, time.Since(began)
}

// Guards against "unknown" for a call whose outcome the sidecar knows: its
// connection is lost or goes silent while the call runs, or before it arrives.
func TestCallSurvivesItsConnection(t *testing.T) {
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
				cluster, client := callCluster(t, 1)
				if test.after == 0 {
					test.fault(cluster, "orders-0")
				}
				status, body, took := during(t, client, max(test.after, time.Millisecond), func() {
					if test.after > 0 {
						test.fault(cluster, "orders-0")
					}
				})
				t.Log("answered after", took)
				assert.Equal(t, status, http.StatusCreated, body)
				assert.Equal(t, cluster.runs("shift-7"), 1)
			})
		})
	}
}

// Guards R3 and R4: a restarted sidecar knows nothing of the call, so that the
// caller must hear "unknown" and no other server may run it.
func TestCallOnRestartedSidecarIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := callCluster(t, 2)
		status, body, _ := during(t, client, 100*time.Millisecond, func() {
			for _, n := range cluster.Nodes {
				if n.Plain != nil && n.Sidecar.InProgress() > 0 {
					assert.Check(t, cluster.Restart(n.ID))
				}
			}
		})
		assert.Equal(t, status, http.StatusBadGateway, body)
		assert.Assert(t, strings.Contains(body, `"executed":"unknown"`), body)
		assert.Equal(t, cluster.runs("shift-7"), 1)
	})
}

// Guards against making an idempotent call wait for a lost connection.
func TestIdempotentCallGoesElsewhereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := callCluster(t, 2)
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
		began := time.Now()
		status, _, err := client.Call(t.Context(), http.MethodGet, bookingPath+"/none", nil)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusNotFound)
		assert.Assert(t, time.Since(began) < 350*time.Millisecond, "took %s", time.Since(began))
	})
}

// rawBackend answers every connection with the same bytes and closes it.
func rawBackend(t *testing.T, listener net.Listener, answer string) (requests *int) {
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
				_, _ = io.WriteString(conn, answer)
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

// Guards against passing on an answer that the backend server cut short, and
// against the HTTP client's own repetition of a request that got no answer.
func TestAnswerCutShort(t *testing.T) {
	cases := []struct{ name, answer, executed string }{
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
				cluster, client := callCluster(t, 1)
				requests := rawBackend(t, cluster.opts.Network.Listen("orders-0"+backendSuffix), test.answer)
				status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "r"})
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusBadGateway, body)
				assert.Assert(t, strings.Contains(body, `"executed":"`+test.executed+`"`), body)
				assert.Equal(t, *requests, 1)
			})
		})
	}
}

// Guards the promise of "not run" when a caller leaves: the withdrawn call is
// freed at the sidecar, and nothing stays open in the entry.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := callCluster(t, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := client.Call(ctx, http.MethodPost, bookingPath, map[string]string{"reference": "shift-7"})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cluster.Entry.InProgress(), 0)
		assert.Equal(t, cluster.Node("orders-0").Sidecar.InProgress(), 0)
	})
}
