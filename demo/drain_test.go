package demo

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a drain that interrupts a completion: draining stages must finish
// it, refuse the next request as not executed, and count as drained only afterwards.
func TestStageDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, ClusterOptions{Stages: 2, Replicas: 1, StepTime: 2 * time.Millisecond})
		_, err := complete(t.Context(), client, testPrompt, func(n int) {
			if n != hangToken {
				return
			}
			for _, node := range cluster.Nodes {
				node.Sidecar.Drain()
				assert.Assert(t, !isClosed(node.Sidecar.Drained()))
				assert.Equal(t, len(node.Sidecar.AttemptsInProgress()), 1)
			}
		})
		assert.NilError(t, err)
		synctest.Wait()
		for _, node := range cluster.Nodes {
			assert.Assert(t, isClosed(node.Sidecar.Drained()), node.ID)
		}
		_, err = client.Complete(t.Context(), Model, testPrompt, 5, nil)
		assert.ErrorContains(t, err, `"executed":"no"`)
		assert.Equal(t, cluster.Entry.Recoveries(), int64(0))
	})
}

// Guards against a drain that loses a call on a plain server: the booking in
// progress must be answered, the sidecar must count as drained only once the entry
// has the whole response, and the next booking must go to another server.
func TestPlainServerDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := slowPlainCluster(t, 2)
		var draining *Node
		status, body, _ := bookWithFault(t, client, 100*time.Millisecond, func() {
			for _, n := range cluster.Nodes {
				if n.Plain != nil && n.Sidecar.InProgress() > 0 {
					draining = n
					n.Sidecar.Drain()
					assert.Check(t, !isClosed(n.Sidecar.Drained()))
				}
			}
		})
		assert.Equal(t, status, http.StatusCreated, body)
		synctest.Wait()
		assert.Assert(t, isClosed(draining.Sidecar.Drained()))
		status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "shift-8"})
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusCreated, body)
		assert.Equal(t, draining.Plain.Executions("shift-8"), 0)
		assert.Equal(t, cluster.executions("shift-8"), 1)
	})
}

// Guards against an entry drain that loses a call: the call in progress must be
// answered with a request to close the connection, and a new call must be refused
// as not executed.
func TestEntryDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := slowPlainCluster(t, 1)
		time.AfterFunc(100*time.Millisecond, func() {
			assert.Check(t, len(cluster.Entry.RequestsInProgress()) == 1)
			cluster.Entry.Drain()
			assert.Check(t, !isClosed(cluster.Entry.Drained()))
		})
		resp, err := client.do(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "shift-7"})
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		assert.Equal(t, resp.StatusCode, http.StatusCreated)
		assert.Assert(t, resp.Close, "the client is not asked to close its connection")
		synctest.Wait()
		assert.Assert(t, isClosed(cluster.Entry.Drained()))
		status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "shift-8"})
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable, body)
		assert.Equal(t, cluster.executions("shift-8"), 0)
	})
}
