package entry

import (
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/config"
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

// Guards against an entry that reports itself ready between a connection and the update
// of the routing that follows it: the first calls would be refused for want of a server.
// The log line of a connection is written in that moment.
func TestReadyEntryHasServers(t *testing.T) {
	var s *Server
	checked := false
	doc := testDocument()
	writer := log.WriterFunc(func(*log.Entry) (int, error) {
		assert.Assert(t, s.Ready())
		release, prob := s.admitter.acquire(t.Context(), servicePoolKey("orders"), admissionRequest(doc, &doc.Teams[0], "request", "", "orders"))
		assert.Assert(t, prob == nil, "refused: %v", prob)
		release(admission.Outcome{})
		assert.Assert(t, s.peers.pick("orders", nil) != nil)
		checked = true
		return 0, nil
	})
	s = New(t.Context(), Options{
		ID: "entry-0", Logger: &log.Logger{Writer: writer}, Config: func() *config.Document { return doc },
	})
	p := &peer{server: s, id: "orders-0", service: "orders", pending: make(map[attempt.Key]pendingExchange)}
	s.peers.byID[p.id] = p
	s.members.view.ObserveList(now(), []membership.Instance{{ID: p.id, Service: p.service}})
	p.handleConnected(&wire.Hello{Service: "orders"}, link.NewQueue[*wire.WorkUp](1))
	assert.Assert(t, checked)
}
