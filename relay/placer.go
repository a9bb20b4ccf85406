package relay

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/lease"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/placement"
)

const (
	// placeInterval is how often the lease holder looks for engines that need
	// layers.
	placeInterval = 250 * time.Millisecond
	// quietInterval is the same for a large fleet whose engines all hold layers. Empty
	// engines may wait longer than that.
	quietInterval = time.Second
	// leaseInterval is the wait after a failed call for the lease.
	leaseInterval = 500 * time.Millisecond
	// holderCheckInterval is how often an entry checks whether another one still
	// announces that it holds the lease.
	holderCheckInterval = 100 * time.Millisecond
	// takeoverStep is the time between the claims of the first two entries that may take
	// over the lease. All of them may learn at the same moment that it is free; the first
	// one's message reaches the others within it.
	takeoverStep = 50 * time.Millisecond
	// leaseWait is how long a read of the lease topic waits for a change.
	leaseWait = 500 * time.Millisecond
	// maxSettleTime bounds the wait for all engines to register before the first
	// plan.
	maxSettleTime = 4 * time.Second
	// concurrentOrders is the number of orders sent in parallel.
	concurrentOrders = 8
	// orderMargin is added to the expected load time before an order counts as
	// lost.
	orderMargin = 3 * time.Second
	// leaseKey is the key of the only record in the lease topic.
	leaseKey = "placer"
)

// placer assigns layers to engines while this entry holds the lease.
type placer struct {
	*Entry
	// now reads the clock by which the lease is measured.
	now func() time.Time
	// leaseMu guards lease. It is not held during calls.
	leaseMu sync.Mutex
	lease   *lease.Elector
	// pendingOrders are the orders, by server, that the servers' records do not
	// reflect yet.
	pendingOrders map[string]pendingOrder
	// modelStates holds the observations of each model's engines.
	modelStates map[string]*modelState
	// lastPolled is when engines were last asked for their status, and pollTurns which.
	lastPolled time.Time
	pollTurns  pollTurns
}

// modelState holds observations of one model's engines over time.
type modelState struct {
	// engineCount is the number of engines; it last changed at countChangedAt.
	engineCount                 int
	countChangedAt, firstSeenAt time.Time
	// emptySince is when an engine was first seen without layers.
	emptySince map[string]time.Time
	// quietUntil is when a large fleet that needs no orders is evaluated again.
	quietUntil time.Time
	// unreplicatedSince is the time since when some layer has had at most one copy.
	unreplicatedSince time.Time
}

// modelState returns the observations of a model's engines.
func (p *placer) modelState(model string) *modelState {
	s := p.modelStates[model]
	if s == nil {
		s = &modelState{emptySince: map[string]time.Time{}}
		p.modelStates[model] = s
	}
	return s
}

type pendingOrder struct {
	model     string
	startTime int64
	// isMove is set for an order to an engine that held other layers.
	isMove    bool
	layers    placement.Range
	expiresAt time.Time
}

func newPlacer(e *Entry) *placer {
	return &placer{
		Entry: e, now: bootclock.Now, lease: lease.New(e.settings.Instance, lease.DefaultOptions()),
		pendingOrders: map[string]pendingOrder{}, modelStates: map[string]*modelState{},
	}
}

// runPlacer acquires the lease, and places layers and polls the engines while it is held.
func (e *Entry) runPlacer(ctx context.Context) error { return newPlacer(e).run(ctx) }

// run keeps the lease apart from the work that needs it: engines that do not answer must
// keep this entry neither from renewing its lease nor from releasing it.
func (p *placer) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.runLease(ctx) })
	group.Go(func() error { return p.whileHolding(ctx, p.placeModels) })
	group.Go(func() error { return p.whileHolding(ctx, p.pollEngines) })
	return group.Wait()
}

// whileHolding repeats work while this entry holds the lease.
func (p *placer) whileHolding(ctx context.Context, work func(context.Context)) error {
	for ctx.Err() == nil {
		if p.holdsLease() {
			work(ctx)
		}
		sleep(ctx, placeInterval)
	}
	return ctx.Err()
}

// runLease acquires the lease, renews it, and releases it when it could not be renewed.
func (p *placer) runLease(ctx context.Context) error {
	next := fromStart
	for ctx.Err() == nil {
		p.observeEra(p.store.Era())
		if !p.holdsLease() {
			p.release()
		}
		next = p.leaseStep(ctx, next)
		if p.holdsLease() {
			if term := p.term(); p.leaseTerm.Swap(term) != term {
				p.sendNow.fire()
			}
			sleep(ctx, min(placeInterval, p.permissionLeft()))
		}
	}
	return ctx.Err()
}

func (p *placer) observeEra(era int64) {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	p.lease.ObserveEra(p.now(), era)
}

// holdsLease reports whether this entry may act as the holder of the lease. After a
// restore of the store, its claim may be lost, and it must claim the lease again.
func (p *placer) holdsLease() bool {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	return p.lease.Holds(p.now()) && p.lease.Era() == p.store.Era()
}

func (p *placer) term() int64 {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	return p.lease.Term()
}

// permissionLeft returns how long this entry may still act as the holder of the lease
// without another renewal, or 0.
func (p *placer) permissionLeft() time.Duration {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	return p.lease.Remaining(p.now())
}

// release ends this entry's term, if it has one, and tells the others.
func (p *placer) release() {
	if held := p.leaseTerm.Load(); held > 0 {
		p.leaseMu.Lock()
		// A term that is lost with an era of the store is not announced: others would
		// claim the lease by what they know of the era before.
		p.leaseTerm.Store(-p.lease.Release())
		p.leaseMu.Unlock()
		p.sendNow.fire()
		logevent.Write(p.logger, logevent.LeaseReleased).Int64("term", held).Msg("")
	}
	p.fleet.clearSlowdowns()
}

// leaseStep reads the lease topic unless the lease is held, and appends a
// claim when one is due. It returns the position for the next read.
func (p *placer) leaseStep(ctx context.Context, next Position) Position {
	if p.hasLiveLeaseHolder() {
		sleep(ctx, holderCheckInterval)
		return next
	}
	if !p.holdsLease() {
		var ok bool
		if next, ok = p.readLease(ctx, next); !ok {
			return next
		}
	}
	claim, at, due := p.dueClaim()
	if !due || !p.claimsAlone() && !p.awaitTakeoverTurn(ctx) {
		return next
	}
	return p.appendClaim(ctx, claim, at, next)
}

// claimsAlone reports whether no other entry claims the lease when this one does.
func (p *placer) claimsAlone() bool {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	return p.lease.ClaimsAlone(p.now())
}

// awaitTakeoverTurn lets the entries with earlier names claim the lease first, and reports
// whether none of them holds it then. The wait grows with the logarithm of their number,
// because all of them may be cut off from the store: 0.43 s with 400 entries.
func (p *placer) awaitTakeoverTurn(ctx context.Context) bool {
	earlier := 0
	for _, m := range p.fleet.freshMessages(time.Now()) {
		// An entry that has just released the lease could not reach the store.
		if m.sender < p.settings.Instance && m.term >= 0 {
			earlier++
		}
	}
	for left := time.Duration(math.Log2(1+float64(earlier)) * float64(takeoverStep)); left > 0; left -= takeoverStep {
		sleep(ctx, min(left, takeoverStep))
		if p.hasLiveLeaseHolder() {
			return false
		}
	}
	return ctx.Err() == nil
}

// readLease reads the lease topic on from a position. It returns the next position, and
// whether the read was successful.
func (p *placer) readLease(ctx context.Context, next Position) (Position, bool) {
	p.observeReleases(time.Now())
	wait := leaseWait
	if _, _, due := p.dueClaim(); due {
		// Only the end of the topic is needed to claim the lease.
		wait = 0
	}
	batch, err := p.readTopic(ctx, TopicLease, next, ReadWait{Time: wait})
	if errors.Is(err, ErrExpired) || errors.Is(err, ErrRestored) {
		return fromStart, false
	}
	if err != nil {
		sleep(ctx, leaseInterval)
		return next, false
	}
	p.leaseMu.Lock()
	p.lease.ObserveEra(p.now(), batch.Next.Era)
	p.lease.Observe(p.now(), batch.Next.Offset, lastClaim(batch.Records))
	p.leaseMu.Unlock()
	p.observeReleases(time.Now())
	return batch.Next, true
}

func (p *placer) dueClaim() (claim lease.Claim, at int64, due bool) {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	return p.lease.DueClaim(p.now())
}

// observeReleases applies the terms that other entries announce to have released.
func (p *placer) observeReleases(now time.Time) {
	messages := p.fleet.freshMessages(now)
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	for _, m := range messages {
		if m.term < 0 {
			p.lease.ObserveRelease(m.sender, -m.term)
		}
	}
}

// hasLiveLeaseHolder reports whether another entry announces that it holds the
// lease. As long as it does, the topic need not be read.
func (p *placer) hasLiveLeaseHolder() bool {
	if p.holdsLease() {
		return false
	}
	return p.fleet.hearsLeaseHolder(time.Now())
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

// appendClaim appends a claim and returns the position for the next read. A renewal ends
// with the permission to act, so that the term is released then and another entry can
// take over.
func (p *placer) appendClaim(ctx context.Context, claim lease.Claim, at int64, next Position) Position {
	value, err := json.Marshal(claim)
	if err != nil {
		return next
	}
	if left := p.permissionLeft(); left > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	startedAt := p.now()
	end, err := p.store.Append(ctx, TopicLease, Record{Key: leaseKey, Value: value}, Position{claim.Era, at})
	if err != nil {
		if !errors.Is(err, ErrUnavailable) {
			p.leaseMu.Lock()
			p.lease.AppendFailed()
			p.leaseMu.Unlock()
			return fromStart
		}
		sleep(ctx, leaseInterval)
		return next
	}
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	if claim.Term != p.lease.Term() {
		logevent.Write(p.logger, logevent.LeaseAcquired).Int64("term", claim.Term).Int64("offset", at).Msg("")
	}
	p.lease.AppendSucceeded(startedAt, claim, end.Offset)
	return end
}

// placeModels orders engines to load layers.
func (p *placer) placeModels(ctx context.Context) {
	rev := p.current.Load()
	if rev == nil {
		return
	}
	for name, model := range rev.models {
		// Layers cannot be distributed without the sizes of the model's weights and KV
		// cache.
		if model.Layers > 0 && model.BytesPerLayer > 0 && model.KVBytesPerTokenLayer > 0 {
			p.placeModel(ctx, rev, name, model)
		}
	}
}

func (p *placer) placeModel(ctx context.Context, rev *revision, name string, model *config.Model) {
	now, state := time.Now(), p.modelState(name)
	if now.Before(state.quietUntil) {
		return
	}
	servers := p.fleet.snapshot()
	engines, anyLoaded := p.placementEngines(now, rev, name, servers)
	if !anyLoaded && !state.hasSettled(now, len(engines), p.settings.Heartbeat) {
		return
	}
	room, limited := p.loadRoom(now, name, model, servers)
	options := rev.relayOptions(model)
	unreplicated := placement.HasUnreplicatedLayer(engines, placementModel(model), options)
	timing := placement.RelayOrderPolicy{
		MayStayEmpty: state.waitingEngines(now, engines),
		AllowMoves:   state.unreplicatedFor(now, unreplicated) >= moveDelay && p.movesAllowed(name, limited && room == 0),
		Loading:      p.loading(name),
		MaxLoads:     room, LimitLoads: limited,
	}
	orders, err := placement.RelayOrders(engines, timing, placementModel(model), options)
	if err != nil {
		logevent.Write(p.logger, logevent.PlanningFailed).Str("model", name).Int("engines", len(engines)).Str("cause", err.Error()).Msg("")
		sleep(ctx, leaseInterval)
		return
	}
	if len(orders)+len(p.pendingOrders)+len(state.emptySince) == 0 && len(engines) > maxSearchedEngines {
		state.quietUntil = now.Add(quietInterval)
	}
	if len(orders) > 0 {
		logevent.Write(p.logger, logevent.LayersPlanned).Str("model", name).Int("engines", len(engines)).Int("empty", len(state.emptySince)).
			Int("orders", len(orders)).Int("pending", len(p.pendingOrders)).Bool("first_plan", !anyLoaded).
			Bool("unreplicated", unreplicated).Bool("may_move", timing.AllowMoves).Int("room", room).Int64("term", p.term()).Msg("")
	}
	group := errgroup.Group{}
	group.SetLimit(concurrentOrders)
	var failed serverSet
	for _, o := range orders {
		server := servers[o.Engine]
		expiresAt := now.Add(loadTime(model, o.Range, len(orders)) + orderMargin)
		p.pendingOrders[server.ID] = pendingOrder{
			model: name, startTime: server.StartTimeMillis, isMove: server.Layers != (placement.Range{}), layers: o.Range, expiresAt: expiresAt,
		}
		group.Go(func() error {
			if !p.orderLayers(ctx, server, o.Range) {
				failed.add(server.ID)
			}
			return nil
		})
	}
	_ = group.Wait() // orderLayers logs failures
	for _, id := range failed.ids {
		delete(p.pendingOrders, id)
	}
}

// loadsInTurn is the number of loads that are in progress at most while requests are, as
// a multiple of those that do not slow each other down. It is more than 1 because the
// records of engines that have loaded arrive a little later.
const loadsInTurn = 2

// loadRoom returns how many engines may be ordered to load layers now, and whether that
// is limited at all. It answers the return of many engines at once under load: loads
// that share the weights' store would all end late, while a few at a time give capacity
// back from the first seconds on. Loads that an earlier holder of the lease has ordered
// count as well.
func (p *placer) loadRoom(now time.Time, name string, m *config.Model, servers map[string]Server) (room int, limited bool) {
	if m.ConcurrentLoads <= 0 || !p.fleet.serves(now, name) {
		return 0, false
	}
	loads := 0
	for id, s := range servers {
		_, pending := p.pendingOrders[id]
		if s.Service == name && (pending || s.Loading) {
			loads++
		}
	}
	return max(loadsInTurn*m.ConcurrentLoads-loads, 0), true
}

// loading returns the engines of a model whose orders are in progress.
func (p *placer) loading(model string) map[string]bool {
	loading := map[string]bool{}
	for id, o := range p.pendingOrders {
		if o.model == model {
			loading[id] = true
		}
	}
	return loading
}

// movesAllowed reports whether an engine of a model may be moved: one move is completed
// before the next, and other orders in progress may make it needless. While many engines
// wait for their turn to load, only moves are waited for.
func (p *placer) movesAllowed(model string, loadsWait bool) bool {
	for _, o := range p.pendingOrders {
		if o.model == model && (o.isMove || !loadsWait) {
			return false
		}
	}
	return true
}

// relayOptions returns what a model's requests need, and how many of them per
// second the slowest link between zones can carry.
func (rev *revision) relayOptions(m *config.Model) placement.RelayOptions {
	o := placement.RelayOptions{
		RequestTokens: m.PromptTokens + m.AnswerTokens, RequestSeconds: m.AnswerTokens * m.StepTime.Seconds(),
	}
	bytesPerRequest := o.RequestTokens * float64(m.ActivationBytes)
	for zones, l := range rev.links {
		if zones[0] == zones[1] || l.BytesPerSecond <= 0 || bytesPerRequest <= 0 {
			continue
		}
		if rate := l.BytesPerSecond / bytesPerRequest; o.LinkRequestsPerSecond == 0 || rate < o.LinkRequestsPerSecond {
			o.LinkRequestsPerSecond = rate
		}
	}
	return o
}

// loadTime returns the duration of a load when a number of them run at once.
func loadTime(m *config.Model, r placement.Range, loads int) time.Duration {
	share := float64(r.Limit-r.First) / float64(m.Layers)
	contention := max(float64(loads)/float64(max(m.ConcurrentLoads, 1)), 1)
	return time.Duration(m.LoadTime.Seconds() * share * contention * float64(time.Second))
}

// placementEngines returns a model's engines for the planner, with pending
// orders treated as completed, and whether any engine holds layers.
func (p *placer) placementEngines(now time.Time, rev *revision, model string, servers map[string]Server) (engines []placement.RelayEngine, anyLoaded bool) {
	for id, s := range servers {
		accelerator := rev.accelerators[s.Accelerator]
		if s.Service != model || s.Leaving || p.fleet.isLeaving(id) || accelerator == nil || p.fleet.lostFor(now, id) >= permanentLossAfter {
			continue
		}
		layers := s.Layers
		if o, pending := p.pendingOrders[id]; pending {
			if o.startTime != s.StartTimeMillis || layers == o.layers || now.After(o.expiresAt) {
				delete(p.pendingOrders, id)
			} else {
				layers = o.layers
			}
		}
		anyLoaded = anyLoaded || layers != (placement.Range{})
		engines = append(engines, placement.RelayEngine{
			Name: id, Zone: s.Zone, MemoryBytes: accelerator.MemoryBytes, StepFactor: factorOrOne(accelerator.StepFactor), Layers: layers,
		})
	}
	return engines, anyLoaded
}

// moveDelay is how long a layer must be down to at most one copy before
// another engine is moved to it. Crashed engines often return sooner.
const moveDelay = 3 * time.Second

// unreplicatedFor returns how long some layer has had at most one copy. A move
// must be completed before the next one starts, so callers check pending
// orders as well.
func (s *modelState) unreplicatedFor(now time.Time, unreplicated bool) time.Duration {
	if !unreplicated {
		s.unreplicatedSince = time.Time{}
		return 0
	}
	if s.unreplicatedSince.IsZero() {
		s.unreplicatedSince = now
	}
	return now.Sub(s.unreplicatedSince)
}

// maxEmptyWait is how long a new engine stays empty while no layers are short
// of copies. During a rolling release, the engine that it replaces is marked
// as leaving within this time.
const maxEmptyWait = 2500 * time.Millisecond

// waitingEngines returns the engines that may stay empty for now.
func (s *modelState) waitingEngines(now time.Time, engines []placement.RelayEngine) map[string]bool {
	waiting := map[string]bool{}
	since := map[string]time.Time{}
	for _, e := range engines {
		if e.Layers != (placement.Range{}) {
			continue
		}
		at, known := s.emptySince[e.Name]
		if !known {
			at = now
		}
		since[e.Name] = at
		waiting[e.Name] = now.Sub(at) < maxEmptyWait
	}
	s.emptySince = since
	return waiting
}

// permanentLossAfter is how long an engine must be lost before others take
// over its layers. An engine that returns within this time has lost its layers
// anyway, unless it was only paused.
const permanentLossAfter = 600 * time.Millisecond

// hasSettled reports whether the number of engines has been stable for longer
// than they take to register, so that the first plan covers all of them.
func (s *modelState) hasSettled(now time.Time, engines int, heartbeat time.Duration) bool {
	if engines == 0 {
		return false
	}
	if s.firstSeenAt.IsZero() {
		s.firstSeenAt = now
	}
	if engines != s.engineCount {
		s.engineCount, s.countChangedAt = engines, now
	}
	stable := now.Sub(s.countChangedAt) >= heartbeat*5/4
	return stable || now.Sub(s.firstSeenAt) >= maxSettleTime
}
