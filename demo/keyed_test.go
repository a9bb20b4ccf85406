package demo

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/standin"
)

// replaceEntry ends the entry at once and starts another one before the same servers.
func (c *Cluster) replaceEntry(ctx context.Context, stop context.CancelFunc) error {
	stop()
	synctest.Wait()
	if err := c.startEntry(ctx); err != nil {
		return err
	}
	return c.waitReady(ctx)
}

// Guards against a booking that is made twice, or said not to have been made, when the
// outcome of its key is not recorded: the log is away, or the entry ends between the
// server's answer and the record.
func TestKeyedCallRunsOnceWithoutRecordedOutcome(t *testing.T) {
	for name, test := range map[string]struct {
		// endAfter is when the entry ends after the call was sent; 0 means that it does
		// not, and that the log accepts no outcome.
		endAfter   time.Duration
		wantStatus int
	}{
		"log away":                   {0, http.StatusCreated},
		"entry ends while it runs":   {250 * time.Millisecond, 0},
		"entry ends with the answer": {500 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				claims := &standin.MemoryLog{}
				ctx, stopAll := context.WithCancel(t.Context())
				defer stopAll()
				cluster, client := testCluster(t, ClusterOptions{Stages: 1, Replicas: 1, PlainServers: 2, PlainDelay: 500 * time.Millisecond, Claims: claims})
				entryCtx, stopEntry := context.WithCancel(ctx)
				defer stopEntry()
				assert.NilError(t, cluster.replaceEntry(entryCtx, func() {}))
				time.Sleep(time.Second) // the log is read once before keys are accepted
				client.IdempotencyKey = "key"
				book := func() (int, string) {
					status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "shift-7"})
					if err != nil {
						return 0, ""
					}
					return status, body
				}
				if test.endAfter == 0 {
					time.AfterFunc(250*time.Millisecond, func() { claims.FailAppends(true) })
				} else {
					time.AfterFunc(test.endAfter, stopEntry)
				}
				status, body := book()
				assert.Equal(t, status, test.wantStatus, body)
				time.Sleep(time.Second)
				assert.NilError(t, cluster.replaceEntry(ctx, stopEntry))
				claims.FailAppends(false)
				time.Sleep(5 * time.Second)
				status, body = book()
				assert.Equal(t, cluster.executions("shift-7"), 1)
				if status != http.StatusCreated {
					assert.Equal(t, status, http.StatusBadGateway, body)
					assert.Assert(t, strings.Contains(body, `"executed":"unknown"`), body)
				}
			})
		})
	}
}
