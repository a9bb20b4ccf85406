package relay

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/lease"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/placement"
)

const (
	// placeInterval is how often the holder of the lease looks for engines that need layers.
	placeInterval = 250 * time.Millisecond
	// leaseInterval is how often the lease is looked at.
	leaseInterval = 500 * time.Millisecond
	// leaseWait is how long a read of the lease waits for a change.
	leaseWait = 500 * time.Millisecond
	// maxSettleTime bounds the wait for all engines to appear before the first plan.
	maxSettleTime = 4 * time.Second
	// concurrentOrders is the number of orders given at once.
	concurrentOrders = 8
	// orderMargin is added to the time of a load before an order counts as lost.
	orderMargin = 3 * time.Second
	// leaseKey is the key of the only record in the topic of the lease.
	leaseKey = "placer"
)

// placer gives engines their layers while this entry holds the lease.
type placer struct {
	*Entry
	lease *lease.Machine
	// pendingOrders are the orders whose effect the servers' records do not show yet, by server.
	pendingOrders map[string]pendingOrder
	// modelStates are the observations of each model's engines.
	modelStates map[string]*modelState
	// releasingHolder is the holder that says that it no longer acts, since a time.
	releasingHolder string
	releasingSince  time.Time
	// lastPolled is when the engines were last asked for their state.
	lastPolled time.Time
}

// modelState is what was seen of one model's engines over time.
type modelState struct {
	// engineCount is the number of engines when it last changed, at settled.
	engineCount                 int
	countChangedAt, firstSeenAt time.Time
	// emptySince is when an engine was first seen without layers.
	emptySince map[string]time.Time
	// almostLostSince is since when some layers are almost lost.
	almostLostSince time.Time
}

// modelState returns the observations of a model's engines.
func (p *placer) modelState(model string) *modelState {
	w := p.modelStates[model]
	if w == nil {
		w = &modelState{emptySince: map[string]time.Time{}}
		p.modelStates[model] = w
	}
	return w
}

type pendingOrder struct {
	startTime int64
	layers    placement.Range
	expiresAt time.Time
}

// runPlacer holds or waits for the lease, and places layers while it is held.
func (e *Entry) runPlacer(ctx context.Context) error {
	p := &placer{
		Entry: e, lease: lease.New(e.settings.Instance, lease.DefaultOptions()), pendingOrders: map[string]pendingOrder{},
		modelStates: map[string]*modelState{},
	}
	next := int64(-1)
	for ctx.Err() == nil {
		next = p.leaseStep(ctx, next)
		if !p.lease.Holds(time.Now()) {
			p.leaseTerm.Store(0)
			p.fleet.clearSlowdowns()
			continue
		}
		p.leaseTerm.Store(p.lease.Term())
		p.placeModels(ctx)
		p.pollEngines(ctx)
		sleep(ctx, placeInterval)
	}
	return ctx.Err()
}

// leaseStep reads the topic unless the lease is held, and appends a claim when
// one is due. It returns the offset to read from, or -1 to begin anew.
func (p *placer) leaseStep(ctx context.Context, next int64) int64 {
	if p.hearsLeaseHolder() {
		sleep(ctx, leaseInterval)
		return next
	}
	if !p.lease.Holds(time.Now()) {
		changes, err := p.readTopic(ctx, TopicLease, next, leaseWait)
		if errors.Is(err, ErrExpired) {
			return -1
		}
		if err != nil {
			sleep(ctx, leaseInterval)
			return next
		}
		next = changes.Next
		p.lease.Observe(time.Now(), next, lastClaim(changes.Records))
		p.observeRelease(time.Now())
	}
	claim, at, due := p.lease.Due(time.Now())
	if !due {
		return next
	}
	return p.appendClaim(ctx, claim, at, next)
}

// releaseConfirmTime is how long the holder must say that it no longer acts before it
// is believed. A message may be older than the claim.
const releaseConfirmTime = 700 * time.Millisecond

// observeRelease looks whether the holder itself says that it no longer acts.
func (p *placer) observeRelease(now time.Time) {
	for _, m := range p.fleet.freshMessages(now) {
		if m.entry != p.lease.Holder() || m.term > 0 {
			continue
		}
		if p.releasingHolder != m.entry {
			p.releasingHolder, p.releasingSince = m.entry, now
		} else if now.Sub(p.releasingSince) >= releaseConfirmTime {
			p.lease.Released(m.entry)
			p.releasingHolder = ""
		}
		return
	}
	p.releasingHolder = ""
}

// hearsLeaseHolder tells whether another entry says that it holds the lease. While it
// does, the topic need not be read.
func (p *placer) hearsLeaseHolder() bool {
	if p.lease.Holds(time.Now()) {
		return false
	}
	for _, m := range p.fleet.freshMessages(time.Now()) {
		if m.term > 0 {
			return true
		}
	}
	return false
}

func lastClaim(records []Record) *lease.Claim {
	for i := len(records) - 1; i >= 0; i-- {
		var claim lease.Claim
		if json.Unmarshal(records[i].Value, &claim) == nil && claim.Holder != "" {
			return &claim
		}
	}
	return nil
}

// appendClaim appends a claim and returns the offset to read from.
func (p *placer) appendClaim(ctx context.Context, claim lease.Claim, at, next int64) int64 {
	value, err := json.Marshal(claim)
	if err != nil {
		return next
	}
	began := time.Now()
	end, err := p.store.Append(ctx, TopicLease, Record{Key: leaseKey, Value: value}, at)
	if err != nil {
		if !errors.Is(err, ErrUnavailable) {
			p.lease.Refused()
			return -1
		}
		sleep(ctx, leaseInterval)
		return next
	}
	if claim.Term != p.lease.Term() {
		logevent.Write(p.logger, logevent.LeaseTaken).Int64("term", claim.Term).Int64("offset", at).Msg("")
	}
	p.lease.Appended(began, claim, end)
	return end
}

// placeModels orders engines that hold nothing to take layers.
func (p *placer) placeModels(ctx context.Context) {
	rev := p.current.Load()
	if rev == nil {
		return
	}
	for name, model := range rev.models {
		// A model whose weights are not described cannot be divided.
		if model.Layers > 0 && model.BytesPerLayer > 0 && model.KVBytesPerTokenLayer > 0 {
			p.placeModel(ctx, rev, name, model)
		}
	}
}

func (p *placer) placeModel(ctx context.Context, rev *revision, name string, model *config.Model) {
	now := time.Now()
	servers := p.fleet.snapshot()
	engines, holding := p.placementEngines(now, rev, name, servers)
	watch := p.modelState(name)
	if !holding && !watch.hasSettled(now, len(engines), p.settings.Heartbeat) {
		return
	}
	options := rev.relayOptions(model)
	almostLost := placement.AlmostLost(engines, placementModel(model), options)
	timing := placement.RelayTiming{
		Waiting: watch.waitingEngines(now, engines),
		MayMove: watch.almostLostFor(now, almostLost) >= moveDelay && len(p.pendingOrders) == 0,
	}
	orders, err := placement.RelayOrders(engines, timing, placementModel(model), options)
	if err != nil {
		logevent.Write(p.logger, logevent.PlanNotMade).Str("model", name).Int("engines", len(engines)).Str("cause", err.Error()).Msg("")
		sleep(ctx, leaseInterval)
		return
	}
	group := errgroup.Group{}
	group.SetLimit(concurrentOrders)
	var undone serverSet
	for _, o := range orders {
		server := servers[o.Engine]
		until := now.Add(loadTime(model, o.Range, len(orders)) + orderMargin)
		p.pendingOrders[server.ID] = pendingOrder{startTime: server.Born, layers: o.Range, expiresAt: until}
		group.Go(func() error {
			if !p.orderLayers(ctx, server, o.Range) {
				undone.add(server.ID)
			}
			return nil
		})
	}
	_ = group.Wait() // orders report their own failures
	for _, id := range undone.ids {
		delete(p.pendingOrders, id)
	}
}

// relayOptions says what a model's requests need, and what the thinnest link
// between zones carries of them.
func (rev *revision) relayOptions(m *config.Model) placement.RelayOptions {
	o := placement.RelayOptions{
		RequestTokens: m.PromptTokens + m.AnswerTokens, RunTime: m.AnswerTokens * m.StepTime.Seconds(),
	}
	passed := o.RequestTokens * float64(m.ActivationBytes)
	for zones, l := range rev.links {
		if zones[0] == zones[1] || l.BytesPerSecond <= 0 || passed <= 0 {
			continue
		}
		if rate := l.BytesPerSecond / passed; o.CrossingRate == 0 || rate < o.CrossingRate {
			o.CrossingRate = rate
		}
	}
	return o
}

// loadTime is how long a load takes when a number of them run at once.
func loadTime(m *config.Model, r placement.Range, loads int) time.Duration {
	share := float64(r.Limit-r.First) / float64(m.Layers)
	crowd := max(float64(loads)/float64(max(m.ConcurrentLoads, 1)), 1)
	return time.Duration(m.LoadTime.Seconds() * share * crowd * float64(time.Second))
}

// placementEngines returns a model's engines as placement sees them, with pending
// orders as if they were carried out, and whether any engine holds layers.
func (p *placer) placementEngines(now time.Time, rev *revision, model string, servers map[string]Server) (engines []placement.RelayEngine, holding bool) {
	for id, s := range servers {
		kind := rev.accelerators[s.Accelerator]
		if s.Service != model || s.Leaving || kind == nil || p.fleet.lostFor(now, id) >= permanentLossAfter {
			continue
		}
		layers := s.Holds
		if o, ordered := p.pendingOrders[id]; ordered {
			if o.startTime != s.Born || layers == o.layers || now.After(o.expiresAt) {
				delete(p.pendingOrders, id)
			} else {
				layers = o.layers
			}
		}
		holding = holding || layers != (placement.Range{})
		engines = append(engines, placement.RelayEngine{
			Name: id, Zone: s.Zone, MemoryBytes: kind.MemoryBytes, StepFactor: factor(kind.StepFactor), Holds: layers,
		})
	}
	return engines, holding
}

// moveDelay is how long layers must be almost lost before another engine moves to
// them. Engines that crash often come back sooner.
const moveDelay = 3 * time.Second

// almostLostFor returns how long some layers have been almost lost. One move must be
// done before the next, so callers look for pending orders as well.
func (w *modelState) almostLostFor(now time.Time, almostLost bool) time.Duration {
	if !almostLost {
		w.almostLostSince = time.Time{}
		return 0
	}
	if w.almostLostSince.IsZero() {
		w.almostLostSince = now
	}
	return now.Sub(w.almostLostSince)
}

// maxEmptyWait is how long a new engine stays empty while no layers are short. In a
// release the engine that it replaces is marked as leaving within this time.
const maxEmptyWait = 2500 * time.Millisecond

// waitingEngines returns the engines that may stay empty for now.
func (w *modelState) waitingEngines(now time.Time, engines []placement.RelayEngine) map[string]bool {
	waiting := map[string]bool{}
	since := map[string]time.Time{}
	for _, e := range engines {
		if e.Holds != (placement.Range{}) {
			continue
		}
		at, known := w.emptySince[e.Name]
		if !known {
			at = now
		}
		since[e.Name] = at
		waiting[e.Name] = now.Sub(at) < maxEmptyWait
	}
	w.emptySince = since
	return waiting
}

// permanentLossAfter is how long an engine must be lost before others take its layers.
// An engine that is back by then has lost them anyway, unless it merely paused.
const permanentLossAfter = 600 * time.Millisecond

// hasSettled tells whether the number of engines has stayed the same for longer
// than they take to register, so that the first plan covers all of them.
func (w *modelState) hasSettled(now time.Time, engines int, heartbeat time.Duration) bool {
	if engines == 0 {
		return false
	}
	if w.firstSeenAt.IsZero() {
		w.firstSeenAt = now
	}
	if engines != w.engineCount {
		w.engineCount, w.countChangedAt = engines, now
	}
	quiet := now.Sub(w.countChangedAt) >= heartbeat*5/4
	return quiet || now.Sub(w.firstSeenAt) >= maxSettleTime
}

// orderLayers gives one order and tells whether the engine may carry it out. It names
// the number of orders that the engine has begun, so that the engine refuses it
// if it arrives after a newer one.
func (p *placer) orderLayers(ctx context.Context, server Server, r placement.Range) bool {
	outcome := OrderUnknown
	report, err := p.engines.Report(ctx, server.Address)
	if err == nil && report.Busy {
		outcome = OrderBusy
	} else if err == nil {
		outcome, err = p.engines.Place(ctx, server, r, report.Orders)
	}
	line := logevent.Write(p.logger, logevent.OrderGiven).Str("server", server.ID).Str("zone", server.Zone).Int64("born", server.Born).
		Int("first", r.First).Int("limit", r.Limit).Int64("orders", report.Orders).Int64("term", p.lease.Term()).
		Str("outcome", string(outcome))
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("")
	return outcome == OrderBegun || outcome == OrderHolds || outcome == OrderUnknown
}
