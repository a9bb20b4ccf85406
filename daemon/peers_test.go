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

// Guards against a fresh process that asks for the revision before it knows
// any peer, and then stays without one until the next question.
func TestPeersAreAskedOnceListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked atomic.Int32
		peers := newPeerStates("entry-1", link.Dialer{DialContext: func(context.Context, string, string) (net.Conn, error) {
			asked.Add(1)
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
		peers.set([]logservice.Instance{{ID: "engine-0", Address: "127.0.0.1:1"}})
		<-done
		assert.Equal(t, asked.Load(), int32(1))
		peers.set(nil)
		peers.set(nil)
		// Without a list the question must end with its context.
		newPeerStates("entry-2", link.Dialer{}).States(ctx, 0)
	})
}
