package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards against an entry that is ready at its first connection and refuses
// prompts for want of a whole chain, and against one that is unready again
// whenever the list names a new instance.
func TestEntrySettlesBeforeItIsReady(t *testing.T) {
	ps := newPeerSet(t.Context(), nil)
	assert.Assert(t, !ps.settled(), "settled before the first list")
	first, slow := &peer{queue: link.NewQueue[*wire.WorkUp](1)}, &peer{}
	ps.byID["first"], ps.byID["slow"] = first, slow
	assert.Assert(t, !ps.settled(), "settled before every sidecar was tried")
	slow.setTried()
	assert.Assert(t, ps.settled())
	ps.byID["new"] = &peer{}
	assert.Assert(t, ps.settled(), "unsettled by a new instance")
}

// Guards against an entry that counts as ready while servers that it is
// connected to may not receive work yet, and refuses the first calls. Three
// servers are needed, because membership never ejects more than a part.
func TestRefusedServerIsConnectedBeforeItIsUsable(t *testing.T) {
	ps, m := newPeerSet(t.Context(), nil), newMembers()
	var list []membership.Instance
	for _, id := range []string{"orders-0", "orders-1", "orders-2"} {
		ps.byID[id] = &peer{id: id, service: "orders", queue: link.NewQueue[*wire.WorkUp](1), load: &wire.Load{EngineUp: true}}
		list = append(list, membership.Instance{ID: id, Service: "orders"})
	}
	m.view.ObserveList(now(), list)
	assert.Equal(t, ps.ready(m), 3)
	m.view.Observe(now(), "orders-1", membership.ConnectionRefused)
	m.view.Observe(now(), "orders-1", membership.Heartbeat)
	assert.Equal(t, ps.connected(), 3)
	assert.Equal(t, ps.ready(m), 2)
}
