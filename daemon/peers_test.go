package daemon

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logservice"
)

// Guards against a new process that queries peers before it knows any, and then
// has no revision until the next query.
func TestPeerQueryWaitsForInstanceList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		peers := newPeerClient("entry-1", link.Dialer{DialContext: func(context.Context, string, string) (net.Conn, error) {
			dials.Add(1)
			return nil, errors.New("not reachable")
		}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			peers.States(ctx, 0)
		}()
		synctest.Wait()
		peers.setInstances([]logservice.Instance{{ID: "engine-0", Address: "127.0.0.1:1"}})
		<-done
		assert.Equal(t, dials.Load(), int32(1))
		peers.setInstances(nil)
		peers.setInstances(nil)
		// Without a list, the query must end with its context.
		newPeerClient("entry-2", link.Dialer{}).States(ctx, 0)
	})
}
