package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/lease"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/placement"
)

// Guards against a process that was stopped or suspended for seconds and then
// serves requests on routes or with keys that were removed meanwhile.
func TestConfigurationIsReadAgainAfterPause(t *testing.T) {
	b := newBackend(t, respond(200, "answer"))
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	store := newScriptedStore()
	e.store = store
	// The new configuration has no routes.
	store.add(TopicConfiguration, "c", 7)
	now := bootclock.Now()
	e.pause.beat(now)
	response, _, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)

	e.pause.beat(now.Add(-maxPulseAge - time.Second))
	response, _, err = e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	assert.Equal(t, e.Revision(), int64(7))
	assert.Assert(t, !e.pause.wasHeldUp(bootclock.Now()))
	assert.Equal(t, b.count(), 1)
}

// Guards against an older configuration that replaces a newer one when two reads
// end at the same time.
func TestConfigurationNeverGoesBack(t *testing.T) {
	store := newScriptedStore()
	e := newStoreEntry(store)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 1000 {
			e.applyConfiguration(configurationRecord(t, 2*i))
		}
	}()
	last := int64(0)
	for i := range 1000 {
		e.applyConfiguration(configurationRecord(t, 2*i+1))
		assert.Assert(t, e.Revision() >= last)
		last = e.Revision()
	}
	<-done
	assert.Equal(t, e.Revision(), int64(1999))
}

func configurationRecord(t *testing.T, revision int) Record {
	store := newScriptedStore()
	store.add(TopicConfiguration, "c", revision)
	batch, err := store.ReadLatest(t.Context(), TopicConfiguration)
	assert.NilError(t, err)
	return batch.Records[0]
}

// orderCounter counts the orders that engines receive.
type orderCounter struct {
	testEngines
	orders, queries atomic.Int64
}

func (c *orderCounter) Status(ctx context.Context, address string) (EngineStatus, error) {
	c.queries.Add(1)
	return c.testEngines.Status(ctx, address)
}

func (c *orderCounter) AssignLayers(ctx context.Context, s Server, r placement.Range, n int64) (OrderOutcome, error) {
	c.orders.Add(1)
	return c.testEngines.AssignLayers(ctx, s, r, n)
}

// Guards against an order of a holder whose lease ran out while it was held up
// between its plan and the order.
func TestOrderIsNotSentAfterLeaseExpires(t *testing.T) {
	e := newStoreEntry(newScriptedStore())
	engines := &orderCounter{}
	e.engines = engines
	options := lease.DefaultOptions()
	p := newPlacer(e)
	p.lease.ObserveEra(bootclock.Now(), e.store.Era())
	claim := lease.Claim{Holder: "e", Term: 1, Era: e.store.Era()}
	p.lease.AppendSucceeded(bootclock.Now(), claim, 1)
	assert.Assert(t, p.orderLayers(t.Context(), Server{}, placement.Range{Limit: 1}))
	assert.Equal(t, engines.orders.Load(), int64(1))
	p.lease.AppendSucceeded(bootclock.Now().Add(-options.RenewDeadline), claim, 1)
	assert.Assert(t, !p.orderLayers(t.Context(), Server{}, placement.Range{Limit: 1}))
	assert.Equal(t, engines.orders.Load(), int64(1))
}

// Guards against layers that are loaded again, or taken away, because the store has
// come back with an older record of an engine.
func TestOrderIsNotSentOnOutdatedRecord(t *testing.T) {
	e := newStoreEntry(newScriptedStore())
	engines := &orderCounter{}
	e.engines = engines
	p := newPlacer(e)
	p.lease.ObserveEra(bootclock.Now(), e.store.Era())
	p.lease.AppendSucceeded(bootclock.Now(), lease.Claim{Holder: "e", Term: 1, Era: e.store.Era()}, 1)
	server := Server{Layers: placement.Range{First: 4, Limit: 8}}
	assert.Assert(t, !p.orderLayers(t.Context(), server, placement.Range{Limit: 1}))
	assert.Equal(t, engines.orders.Load(), int64(0))
	assert.Assert(t, p.orderLayers(t.Context(), Server{}, placement.Range{Limit: 1}))
	assert.Equal(t, engines.orders.Load(), int64(1))
}

// Guards against two holders: a message of the holder from before its claim must
// not count as a release, although the holder is held up and sends nothing newer.
func TestOldMessageIsNoRelease(t *testing.T) {
	e := newStoreEntry(newScriptedStore())
	now := time.Now()
	p := newPlacer(e)
	p.lease.Observe(bootclock.Now(), 1, &lease.Claim{Holder: "holder", Term: 3})
	for i, term := range []int64{0, 0, -2} {
		e.fleet.applyPeerMessage(now, message{sender: "holder", startNanos: 1, sequence: int64(i + 1), term: term})
		p.observeReleases(now)
		_, _, due := p.lease.DueClaim(bootclock.Now())
		assert.Assert(t, !due)
	}
	e.fleet.applyPeerMessage(now, message{sender: "holder", startNanos: 1, sequence: 9, term: -3})
	p.observeReleases(now)
	_, _, due := p.lease.DueClaim(bootclock.Now())
	assert.Assert(t, due)
}

// Guards against a request that is sent on after its deadline because the machine
// was suspended, which the monotonic clock does not show.
func TestRequestIsNotSentAfterSuspension(t *testing.T) {
	b := newBackend(t, respond(200, "answer"))
	e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	q := &request{Entry: e.Entry, deadline: time.Now().Add(time.Hour), bootDeadline: bootclock.Now().Add(-time.Second)}
	assert.Assert(t, q.timeLeft() <= 0)
	q.bootDeadline = bootclock.Now().Add(time.Minute)
	assert.Assert(t, q.timeLeft() > 0 && q.timeLeft() <= time.Minute)
}

// Guards against an order that exceeds the rate limit of an engine without layers: its
// slot is taken by the status query before it.
func TestOrderToLimitedEngineFollowsStatus(t *testing.T) {
	e := newStoreEntry(newScriptedStore())
	engines := &orderCounter{}
	e.engines = engines
	p := newPlacer(e)
	p.lease.ObserveEra(bootclock.Now(), e.store.Era())
	p.lease.AppendSucceeded(bootclock.Now(), lease.Claim{Holder: "e", Term: 1, Era: e.store.Era()}, 1)
	server := Server{Instance: membership.Instance{ID: "s", Address: "a:1"}}
	assert.Assert(t, p.orderLayers(t.Context(), server, placement.Range{Limit: 1}))
	assert.Equal(t, engines.queries.Load(), int64(0))
	e.fleet.setServers(time.Now(), map[string]Server{"s": server})
	e.observeRateLimit("s", "in the test", "1", time.Now())
	assert.Assert(t, p.orderLayers(t.Context(), server, placement.Range{Limit: 1}))
	assert.Equal(t, engines.queries.Load(), int64(1))
}
