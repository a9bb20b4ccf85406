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
	// settleLimit bounds the wait for all engines to appear before the first plan.
	settleLimit = 4 * time.Second
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
	machine *lease.Elector
	// pending are the orders whose effect the servers' records do not show yet, by server.
	pending map[string]pendingOrder
	// models are the observations of each model's engines.
	models map[string]*modelWatch
	// releasing is the holder that says that it no longer acts, since a time.
	releasing      string
	releasingSince time.Time
	// surveyed is when the engines were last asked for their state.
	surveyed time.Time
}

// modelWatch is what was seen of one model's engines over time.
type modelWatch struct {
	// seen is the number of engines when it last changed, at settled.
	seen           int
	settled, first time.Time
	// emptySince is when an engine was first seen without layers.
	emptySince map[string]time.Time
	// shortSince is since when some layers are almost lost.
	shortSince time.Time
}

// watch returns the observations of a model's engines.
func (p *placer) watch(model string) *modelWatch {
	w := p.models[model]
	if w == nil {
		w = &modelWatch{emptySince: map[string]time.Time{}}
		p.models[model] = w
	}
	return w
}

type pendingOrder struct {
	born   int64
	layers placement.Range
	until  time.Time
}

// keepLease holds or waits for the lease, and places layers while it is held.
func (e *Entry) keepLease(ctx context.Context) error {
	p := &placer{
		Entry: e, machine: lease.New(e.settings.Instance, lease.DefaultOptions()), pending: map[string]pendingOrder{},
		models: map[string]*modelWatch{},
	}
	next := int64(-1)
	for ctx.Err() == nil {
		next = p.stepLease(ctx, next)
		if !p.machine.Holds(time.Now()) {
			p.term.Store(0)
			p.fleet.forgetSlowdowns()
			continue
		}
		p.term.Store(p.machine.Term())
		p.place(ctx)
		p.survey(ctx)
		sleep(ctx, placeInterval)
	}
	return ctx.Err()
}

// stepLease reads the topic unless the lease is held, and appends a claim when
// one is due. It returns the offset to read from, or -1 to begin anew.
func (p *placer) stepLease(ctx context.Context, next int64) int64 {
	if p.hearsHolder() {
		sleep(ctx, leaseInterval)
		return next
	}
	if !p.machine.Holds(time.Now()) {
		changes, err := p.readTopic(ctx, TopicLease, next, leaseWait)
		if errors.Is(err, ErrExpired) {
			return -1
		}
		if err != nil {
			sleep(ctx, leaseInterval)
			return next
		}
		next = changes.NextOffset
		p.machine.Observe(time.Now(), next, lastClaim(changes.Records))
		p.observeRelease(time.Now())
	}
	claim, at, due := p.machine.DueClaim(time.Now())
	if !due {
		return next
	}
	return p.claim(ctx, claim, at, next)
}

// releaseAfter is how long the holder must say that it no longer acts before it
// is believed. A message may be older than the claim.
const releaseAfter = 700 * time.Millisecond

// observeRelease looks whether the holder itself says that it no longer acts.
func (p *placer) observeRelease(now time.Time) {
	for _, m := range p.fleet.heard(now) {
		if m.entry != p.machine.Holder() || m.term > 0 {
			continue
		}
		if p.releasing != m.entry {
			p.releasing, p.releasingSince = m.entry, now
		} else if now.Sub(p.releasingSince) >= releaseAfter {
			p.machine.ObserveRelease(m.entry)
			p.releasing = ""
		}
		return
	}
	p.releasing = ""
}

// hearsHolder tells whether another entry says that it holds the lease. While it
// does, the topic need not be read.
func (p *placer) hearsHolder() bool {
	if p.machine.Holds(time.Now()) {
		return false
	}
	for _, m := range p.fleet.heard(time.Now()) {
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

// claim appends a claim and returns the offset to read from.
func (p *placer) claim(ctx context.Context, claim lease.Claim, at, next int64) int64 {
	value, err := json.Marshal(claim)
	if err != nil {
		return next
	}
	began := time.Now()
	end, err := p.store.Append(ctx, TopicLease, Record{Key: leaseKey, Value: value}, at)
	if err != nil {
		if !errors.Is(err, ErrUnavailable) {
			p.machine.AppendFailed()
			return -1
		}
		sleep(ctx, leaseInterval)
		return next
	}
	if claim.Term != p.machine.Term() {
		logevent.Write(p.logger, logevent.LeaseAcquired).Int64("term", claim.Term).Int64("offset", at).Msg("")
	}
	p.machine.AppendSucceeded(began, claim, end)
	return end
}

// place orders engines that hold nothing to take layers.
func (p *placer) place(ctx context.Context) {
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
	engines, holding := p.relayEngines(now, rev, name, servers)
	watch := p.watch(name)
	if !holding && !watch.hasSettled(now, len(engines), p.settings.Heartbeat) {
		return
	}
	options := rev.relayOptions(model)
	almostLost := placement.HasUnreplicatedLayer(engines, placementModel(model), options)
	timing := placement.RelayOrderPolicy{
		MayStayEmpty: watch.waiting(now, engines),
		AllowMoves:   watch.shortFor(now, almostLost) >= moveAfter && len(p.pending) == 0,
	}
	orders, err := placement.RelayOrders(engines, timing, placementModel(model), options)
	if err != nil {
		logevent.Write(p.logger, logevent.PlanningFailed).Str("model", name).Int("engines", len(engines)).Str("cause", err.Error()).Msg("")
		sleep(ctx, leaseInterval)
		return
	}
	group := errgroup.Group{}
	group.SetLimit(concurrentOrders)
	var undone serverSet
	for _, o := range orders {
		server := servers[o.Engine]
		until := now.Add(loadTime(model, o.Range, len(orders)) + orderMargin)
		p.pending[server.ID] = pendingOrder{born: server.StartTimeMillis, layers: o.Range, until: until}
		group.Go(func() error {
			if !p.order(ctx, server, o.Range) {
				undone.add(server.ID)
			}
			return nil
		})
	}
	_ = group.Wait() // orders report their own failures
	for _, id := range undone.ids {
		delete(p.pending, id)
	}
}

// relayOptions says what a model's requests need, and what the thinnest link
// between zones carries of them.
func (rev *revision) relayOptions(m *config.Model) placement.RelayOptions {
	o := placement.RelayOptions{
		RequestTokens: m.PromptTokens + m.AnswerTokens, RequestSeconds: m.AnswerTokens * m.StepTime.Seconds(),
	}
	passed := o.RequestTokens * float64(m.ActivationBytes)
	for zones, l := range rev.links {
		if zones[0] == zones[1] || l.BytesPerSecond <= 0 || passed <= 0 {
			continue
		}
		if rate := l.BytesPerSecond / passed; o.LinkRequestsPerSecond == 0 || rate < o.LinkRequestsPerSecond {
			o.LinkRequestsPerSecond = rate
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

// relayEngines returns a model's engines as placement sees them, with pending
// orders as if they were carried out, and whether any engine holds layers.
func (p *placer) relayEngines(now time.Time, rev *revision, model string, servers map[string]Server) (engines []placement.RelayEngine, holding bool) {
	for id, s := range servers {
		kind := rev.accelerators[s.Accelerator]
		if s.Service != model || s.Leaving || kind == nil || p.fleet.lostFor(now, id) >= lostForGood {
			continue
		}
		layers := s.Layers
		if o, ordered := p.pending[id]; ordered {
			if o.born != s.StartTimeMillis || layers == o.layers || now.After(o.until) {
				delete(p.pending, id)
			} else {
				layers = o.layers
			}
		}
		holding = holding || layers != (placement.Range{})
		engines = append(engines, placement.RelayEngine{
			Name: id, Zone: s.Zone, MemoryBytes: kind.MemoryBytes, StepFactor: factor(kind.StepFactor), Layers: layers,
		})
	}
	return engines, holding
}

// moveAfter is how long layers must be almost lost before another engine moves to
// them. Engines that crash often come back sooner.
const moveAfter = 3 * time.Second

// shortFor returns how long some layers have been almost lost. One move must be
// done before the next, so callers look for pending orders as well.
func (w *modelWatch) shortFor(now time.Time, almostLost bool) time.Duration {
	if !almostLost {
		w.shortSince = time.Time{}
		return 0
	}
	if w.shortSince.IsZero() {
		w.shortSince = now
	}
	return now.Sub(w.shortSince)
}

// emptyWait is how long a new engine stays empty while no layers are short. In a
// release the engine that it replaces is marked as leaving within this time.
const emptyWait = 2500 * time.Millisecond

// waiting returns the engines that may stay empty for now.
func (w *modelWatch) waiting(now time.Time, engines []placement.RelayEngine) map[string]bool {
	waiting := map[string]bool{}
	since := map[string]time.Time{}
	for _, e := range engines {
		if e.Layers != (placement.Range{}) {
			continue
		}
		at, known := w.emptySince[e.Name]
		if !known {
			at = now
		}
		since[e.Name] = at
		waiting[e.Name] = now.Sub(at) < emptyWait
	}
	w.emptySince = since
	return waiting
}

// lostForGood is how long an engine must be lost before others take its layers.
// An engine that is back by then has lost them anyway, unless it merely paused.
const lostForGood = 600 * time.Millisecond

// hasSettled tells whether the number of engines has stayed the same for longer
// than they take to register, so that the first plan covers all of them.
func (w *modelWatch) hasSettled(now time.Time, engines int, heartbeat time.Duration) bool {
	if engines == 0 {
		return false
	}
	if w.first.IsZero() {
		w.first = now
	}
	if engines != w.seen {
		w.seen, w.settled = engines, now
	}
	quiet := now.Sub(w.settled) >= heartbeat*5/4
	return quiet || now.Sub(w.first) >= settleLimit
}

// order gives one order and tells whether the engine may carry it out. It names
// the number of orders that the engine has begun, so that the engine refuses it
// if it arrives after a newer one.
func (p *placer) order(ctx context.Context, server Server, r placement.Range) bool {
	outcome := OrderUnknown
	report, err := p.engines.Status(ctx, server.Address)
	if err == nil && report.Busy {
		outcome = OrderBusy
	} else if err == nil {
		outcome, err = p.engines.AssignLayers(ctx, server, r, report.OrdersStarted)
	}
	line := logevent.Write(p.logger, logevent.OrderSent).Str("server", server.ID).Str("zone", server.Zone).Int64("born", server.StartTimeMillis).
		Int("first", r.First).Int("limit", r.Limit).Int64("orders", report.OrdersStarted).Int64("term", p.machine.Term()).
		Str("outcome", string(outcome))
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("")
	return outcome == OrderStarted || outcome == OrderAlreadyApplied || outcome == OrderUnknown
}
