package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards against an entry that becomes ready with its first connection, and then
// refuses requests because it has no complete chain, and against one that becomes
// unready whenever the list contains a new instance.
func TestReadyOnlyAfterEverySidecarWasTried(t *testing.T) {
	ps := newPeerSet(t.Context(), nil)
	assert.Assert(t, !ps.triedAll(), "ready before the first list")
	first, slow := &peer{queue: link.NewQueue[*wire.WorkUp](1)}, &peer{}
	ps.byID["first"], ps.byID["slow"] = first, slow
	assert.Assert(t, !ps.triedAll(), "ready before every sidecar was tried")
	slow.setConnectTried()
	assert.Assert(t, ps.triedAll())
	ps.byID["new"] = &peer{}
	assert.Assert(t, ps.triedAll(), "unready because of a new instance")
}

// Guards against counting servers as usable that are connected but may not receive
// work yet, so that the first calls would be refused. It takes three servers,
// because membership ejects only a limited fraction of them.
func TestRefusedServerIsConnectedBeforeItIsUsable(t *testing.T) {
	ps, m := newPeerSet(t.Context(), nil), newMembers()
	var list []membership.Instance
	for _, id := range []string{"orders-0", "orders-1", "orders-2"} {
		ps.byID[id] = &peer{id: id, service: "orders", queue: link.NewQueue[*wire.WorkUp](1), load: &wire.Load{EngineUp: true}}
		list = append(list, membership.Instance{ID: id, Service: "orders"})
	}
	m.view.ObserveList(now(), list)
	assert.Equal(t, ps.countUsable(m), 3)
	m.view.Observe(now(), "orders-1", membership.ConnectionRefused)
	m.view.Observe(now(), "orders-1", membership.Heartbeat)
	assert.Equal(t, ps.countConnected(), 3)
	assert.Equal(t, ps.countUsable(m), 2)
}
