package admission

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Options configure a Controller.
type Options struct {
	// TargetUtilization is the target fraction of the capacity in use. The remaining
	// headroom keeps backend servers from queueing on every small burst.
	TargetUtilization float64
	// InitialServiceTime and InitialTimeToFirstToken are the estimates that are used
	// until requests complete.
	InitialServiceTime      time.Duration
	InitialTimeToFirstToken time.Duration
	// WaitMargin is added to the predicted wait of a new request, in standard
	// deviations. With it, borderline requests are shed on arrival rather than
	// queued and shed later.
	WaitMargin float64
	// MaxWaitFraction is the fraction of the time until its deadline that a request may
	// wait. A request that waits longer is shed even if it might still be served,
	// so that clients are not refused shortly before the deadline.
	MaxWaitFraction float64
	// MaxQueue is the maximum number of queued requests. It bounds memory when requests have no deadline.
	MaxQueue int
	// MinRetryAfter and MaxRetryAfter bound the retry delay of shed requests.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// ProbeInterval is how often one request is admitted although no request is
	// predicted to meet its deadline; only admitted requests correct the prediction.
	ProbeInterval time.Duration
	// LoadMaxAge is how long a load report is valid. Without a valid report, the entry uses an equal share.
	LoadMaxAge time.Duration
	// DemandWindow is the time constant of the demand average.
	DemandWindow time.Duration
}

// DefaultOptions returns the options that apply unless the settings override them.
func DefaultOptions() Options {
	return Options{
		TargetUtilization:       0.95,
		InitialServiceTime:      time.Second,
		InitialTimeToFirstToken: 100 * time.Millisecond,
		WaitMargin:              1,
		MaxWaitFraction:         0.5,
		MaxQueue:                10000,
		MinRetryAfter:           time.Second,
		MaxRetryAfter:           30 * time.Second,
		ProbeInterval:           time.Second,
		LoadMaxAge:              3 * time.Second,
		DemandWindow:            2 * time.Second,
	}
}

// Controller makes the admission decisions of one entry for one set of backend
// servers. It is not safe for concurrent use.
type Controller struct {
	options       Options
	random        *rand.Rand
	limiter       shareLimiter
	reserve       reservePolicy
	items         map[string]*item
	teams         map[string]*team
	classes       []*class
	queued        int
	runningCost   float64
	serviceTime   ewma
	ttft          medianEstimator
	lastAdmission time.Time
}

// New returns a controller without capacity, which sheds all requests until SetCapacity is called.
func New(options Options, random *rand.Rand) *Controller {
	return &Controller{
		options:     options,
		random:      random,
		limiter:     shareLimiter{options: options, demand: rateEstimator{window: options.DemandWindow}},
		items:       map[string]*item{},
		teams:       map[string]*team{},
		serviceTime: ewma{value: options.InitialServiceTime.Seconds()},
		ttft:        medianEstimator{value: options.InitialTimeToFirstToken.Seconds()},
	}
}

// SetCapacity sets the total capacity that all entries share.
func (c *Controller) SetCapacity(now time.Time, capacity Capacity) {
	c.limiter.setCapacity(capacity)
	for _, t := range c.teams {
		t.setRate(now, c.limiter.entries())
	}
}

// ObserveLoad adjusts the limit to the sum of the sidecars' latest load reports.
func (c *Controller) ObserveLoad(now time.Time, load Load) {
	unused := c.unusedReserve()
	// The unused reserve counts as used. The other entries are assumed to reserve
	// as much, because the same teams flood them.
	load.Running += unused * float64(c.limiter.entries())
	c.limiter.observeLoad(now, load, c.runningCost+unused, c.demand(now))
}

// unusedReserve returns the free capacity that is currently withheld from flooding flows.
func (c *Controller) unusedReserve() float64 {
	reserve := 0.0
	for _, k := range c.classes {
		if k.hasFlooding {
			reserve = max(reserve, k.unusedReserve(c.limiter.limit))
		}
	}
	return min(reserve, max(c.limiter.limit-c.runningCost, 0))
}

// Limit returns how many cost units the entry may currently run at once.
func (c *Controller) Limit() float64 {
	return c.limiter.limit
}

// Running returns the total cost of the running requests.
func (c *Controller) Running() float64 {
	return c.runningCost
}

// Queued returns the number of queued requests.
func (c *Controller) Queued() int {
	return c.queued
}

// demand returns the cost that would run concurrently if every offered request were admitted.
func (c *Controller) demand(now time.Time) float64 {
	return c.limiter.demand.at(now) * c.serviceTime.value
}

// Offer decides whether to admit, queue or shed a new request.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	r = withDefaults(r)
	if c.items[r.ID] != nil {
		return Decision{ID: r.ID, Verdict: Shed, Reason: DuplicateID}
	}
	c.limiter.expireReport(now)
	c.limiter.demand.add(now, r.Cost)
	t := c.team(now, r)
	k := c.class(r.Priority)
	k.offered.add(now, r.Cost)
	k.flow(t, r.Weight).offered.add(now, r.Cost)
	c.reserve.offersSinceRefresh++
	c.reserve.refresh(now, c.classes, c.limiter.limit, c.serviceTime.value)
	if c.limiter.limit <= 0 {
		return c.shed(r.ID, NoCapacity, 0)
	}
	token, wait := t.takeRateToken(now)
	if wait > 0 {
		return c.shed(r.ID, RateLimited, wait)
	}
	it := &item{request: r, team: t, class: k}
	if !r.Deadline.IsZero() {
		it.admitBy = now.Add(time.Duration(float64(r.Deadline.Sub(now)) * c.options.MaxWaitFraction))
	}
	d := c.decide(now, it)
	if d.Verdict == Shed {
		token.CancelAt(now)
	}
	return d
}

// decide admits, queues or sheds an item that is within the team's rate limit.
func (c *Controller) decide(now time.Time, it *item) Decision {
	if c.queued >= c.options.MaxQueue {
		return c.shed(it.request.ID, Overloaded, 0)
	}
	c.enqueue(it)
	if c.next() == it && c.fits(now, it) {
		return c.admit(now, it)
	}
	p := c.predict(now, it)
	if p.late(now, it, c.options.WaitMargin) {
		c.dequeue(it)
		return c.shed(it.request.ID, p.reason, p.lateness(now, it))
	}
	return Decision{ID: it.request.ID, Verdict: Queue}
}

// admit removes an item from its queue and admits it, or sheds it if it would
// miss its deadline even when started immediately.
func (c *Controller) admit(now time.Time, it *item) Decision {
	c.dequeue(it)
	p := prediction{reason: Overloaded, ttft: c.expectedTTFT()}
	probe := now.Sub(c.lastAdmission) >= c.options.ProbeInterval && it.request.Deadline.After(now)
	if !probe && p.late(now, it, 0) {
		return c.shed(it.request.ID, Overloaded, p.lateness(now, it))
	}
	it.running, it.admittedAt = true, now
	it.flow.charge(it.class, it.request.Cost*it.team.serviceTime.valueOr(c.serviceTime.value))
	it.team.runningRequests++
	it.flow.addRunningCost(c.classes, it.class, it.request.Cost)
	c.runningCost += it.request.Cost
	c.items[it.request.ID] = it
	c.lastAdmission = now
	return Decision{ID: it.request.ID, Verdict: Admit}
}

// Done records the end of an admitted request. It ignores unknown IDs, because the
// entry may report the end of a request twice. Call Tick afterwards to use the
// freed capacity.
func (c *Controller) Done(now time.Time, id string, outcome Outcome) {
	it := c.items[id]
	if it == nil || !it.running {
		return
	}
	c.finish(it)
	if outcome.TimeToFirstToken > 0 {
		c.ttft.add(outcome.TimeToFirstToken.Seconds())
	}
	switch outcome.Result {
	case Completed:
		serviceTime := now.Sub(it.admittedAt).Seconds()
		c.serviceTime.add(serviceTime)
		it.team.serviceTime.add(serviceTime)
	case RefusedOverloaded:
		c.limiter.reduceOnRefusal(now)
	}
}

// Cancel removes a request that its client abandoned, whether it is queued or running.
func (c *Controller) Cancel(_ time.Time, id string) {
	it := c.items[id]
	if it == nil {
		return
	}
	if it.running {
		c.finish(it)
		return
	}
	c.dequeue(it)
}

// finish releases the capacity of a running item.
func (c *Controller) finish(it *item) {
	delete(c.items, it.request.ID)
	it.team.runningRequests--
	it.flow.addRunningCost(c.classes, it.class, -it.request.Cost)
	c.runningCost -= it.request.Cost
	if len(c.items) == c.queued {
		// Nothing runs, so the sum is reset to discard accumulated floating-point error.
		c.runningCost = 0
	}
}

// Tick returns the queued requests that are now admitted or shed. Call it after
// every Done, Cancel, SetCapacity and ObserveLoad and at the time that NextTick
// returns, so that each decision is made as soon as it is certain.
func (c *Controller) Tick(now time.Time) []Decision {
	c.limiter.expireReport(now)
	c.reserve.refresh(now, c.classes, c.limiter.limit, c.serviceTime.value)
	var decisions []Decision
	for {
		decisions = append(decisions, c.admitFitting(now)...)
		late := c.shedLate(now)
		if len(late) == 0 {
			return decisions
		}
		// A large request that was shed may have blocked smaller ones that fit.
		decisions = append(decisions, late...)
	}
}

func (c *Controller) admitFitting(now time.Time) []Decision {
	var decisions []Decision
	for {
		it := c.next()
		if it == nil || !c.fits(now, it) {
			return decisions
		}
		decisions = append(decisions, c.admit(now, it))
	}
}

// NextTick returns when Tick should be called if no other event comes first. It
// returns false when no requests are queued.
func (c *Controller) NextTick(now time.Time) (time.Time, bool) {
	if c.queued == 0 {
		return time.Time{}, false
	}
	return now.Add(tickInterval), true
}

// tickInterval is how often queued requests are reevaluated. It bounds how long
// a request stays queued after it can no longer meet its deadline.
const tickInterval = 10 * time.Millisecond

// next returns the item to admit next, or nil.
func (c *Controller) next() *item {
	for _, k := range c.classes {
		if f := k.next(c.limiter.limit, c.limiter.limit-c.runningCost); f != nil {
			return f.queue[0]
		}
	}
	return nil
}

// fits reports whether an item's cost fits within the limit. An item larger than
// the whole limit runs alone, and only as often as the limit allows on average.
// Otherwise many entries, each with a share of less than one request, would each
// run one all the time.
func (c *Controller) fits(now time.Time, it *item) bool {
	limit, cost := c.limiter.limit, it.request.Cost
	if limit <= 0 {
		return false
	}
	if c.runningCost+cost <= limit+1e-9 {
		return true
	}
	if c.runningCost > 0 || cost <= limit {
		return false
	}
	interval := c.serviceTime.value * cost / limit
	return now.Sub(c.lastAdmission).Seconds() >= interval
}

func (c *Controller) shed(id string, reason Reason, retryAfter time.Duration) Decision {
	retryAfter = max(retryAfter, c.options.MinRetryAfter)
	// Jitter keeps clients that were shed together from retrying together.
	retryAfter += time.Duration(c.random.Float64() * float64(retryAfter))
	return Decision{ID: id, Verdict: Shed, Reason: reason, RetryAfter: min(retryAfter, c.options.MaxRetryAfter)}
}

// shedLate sheds the queued items that can no longer meet their deadline.
func (c *Controller) shedLate(now time.Time) []Decision {
	var late []*item
	var predictions []prediction
	higherCost := 0.0
	for _, k := range c.classes {
		for _, f := range k.sortedFlows() {
			costAhead := 0.0
			for i, it := range f.queue {
				p := c.predictAt(now, it, higherCost, costAhead, i)
				if p.late(now, it, 0) {
					late, predictions = append(late, it), append(predictions, p)
					continue
				}
				costAhead += it.request.Cost
			}
		}
		higherCost += k.queuedCost
	}
	var decisions []Decision
	for i, it := range late {
		c.dequeue(it)
		decisions = append(decisions, c.shed(it.request.ID, predictions[i].reason, predictions[i].lateness(now, it)))
	}
	return decisions
}

func (c *Controller) expectedTTFT() time.Duration {
	return time.Duration(c.ttft.value * float64(time.Second))
}

// predict estimates the wait of a queued item.
func (c *Controller) predict(now time.Time, it *item) prediction {
	higherCost := 0.0
	for _, k := range c.classes {
		if k == it.class {
			break
		}
		higherCost += k.queuedCost
	}
	costAhead, position := it.flow.queuedAhead(it)
	return c.predictAt(now, it, higherCost, costAhead, position)
}

// predictAt estimates the wait of an item, given the cost queued at higher
// priorities and the cost and number of the flow's items before it. A flow over
// its share drains its own queue at its share. A flow under its share waits at
// most for everything queued before it and overtakes flows over their share.
func (c *Controller) predictAt(now time.Time, it *item, higherCost, costAhead float64, position int) prediction {
	k, f := it.class, it.flow
	serviceTime := max(c.serviceTime.value, 1e-6)
	ownCost := costAhead + it.request.Cost
	spare := c.limiter.limit - c.runningCost
	rate := c.drainRate(now, k)
	wait := max(higherCost+k.queuedCost-f.queuedCost+ownCost-spare, 0) / rate
	if shareRate := k.sharePerWeight * f.weight / serviceTime; shareRate > 0 {
		waitAtShare := max(higherCost-spare, 0)/rate + ownCost/shareRate
		if f.underShare {
			wait = min(wait, waitAtShare)
		} else {
			wait = c.waitOverShare(f, k, ownCost, higherCost, spare, waitAtShare)
		}
	}
	p := prediction{reason: Overloaded, ttft: c.expectedTTFT(), wait: toDuration(wait), stdDev: waitStdDev(wait, ownCost/it.request.Cost)}
	if limit := it.team.concurrencyLimit(c.limiter.entries()); limit > 0 {
		overLimit := float64(position + 1 + it.team.runningRequests - limit)
		concurrencyWait := toDuration(max(overLimit, 0) * it.team.serviceTime.valueOr(c.serviceTime.value) / float64(limit))
		if concurrencyWait > p.wait {
			p.wait, p.reason = concurrencyWait, ConcurrencyLimited
		}
	}
	return p
}

// waitOverShare returns the wait of a request whose flow is over its share. It is 0
// if the request fits in the capacity that is neither reserved nor needed by queued
// requests.
func (c *Controller) waitOverShare(f *flow, k *class, ownCost, higherCost, spare, waitAtShare float64) float64 {
	if f.flooding {
		spare -= k.unusedReserve(c.limiter.limit)
	}
	if spare >= higherCost+k.queuedCost {
		return 0
	}
	return waitAtShare
}

// waitStdDev returns the standard deviation of the time until a number of slots
// become free, where wait is the mean of that time.
func waitStdDev(wait, slots float64) time.Duration {
	return toDuration(wait / math.Sqrt(max(slots, 1)))
}

// classDemandWindow is the time constant of the demand of classes and flows. It is
// longer than a burst, whose requests already count as queued cost.
const classDemandWindow = 10 * time.Second

// minDrainFraction is the minimum drain rate as a fraction of the total. It keeps the
// predicted wait finite when the demand of higher priorities exceeds the capacity.
const minDrainFraction = 0.02

// drainRate returns the cost per second that a priority class is served: the
// capacity minus the demand of the higher classes.
func (c *Controller) drainRate(now time.Time, k *class) float64 {
	total := c.limiter.limit / max(c.serviceTime.value, 1e-6)
	remaining := total
	for _, higher := range c.classes {
		if higher == k {
			break
		}
		remaining -= higher.offered.at(now)
	}
	return max(remaining, total*minDrainFraction, 1e-9)
}

// prediction is the estimated wait and time to first token of a queued item.
// Its reason applies if the item is shed.
type prediction struct {
	reason Reason
	wait   time.Duration
	// stdDev is the standard deviation of the wait.
	stdDev time.Duration
	ttft   time.Duration
}

// late reports whether the item is expected to miss its deadline or its admitBy
// time, with a margin in standard deviations of the wait.
func (p prediction) late(now time.Time, it *item, margin float64) bool {
	if it.request.Deadline.IsZero() {
		return false
	}
	startTime := now.Add(p.wait + time.Duration(float64(p.stdDev)*margin))
	return startTime.After(it.admitBy) || startTime.Add(p.ttft).After(it.request.Deadline)
}

// lateness returns by how much the item would miss its deadline or its admitBy
// time. At constant load, the request could be served if retried after that time.
func (p prediction) lateness(now time.Time, it *item) time.Duration {
	return max(now.Add(p.wait+p.ttft).Sub(it.request.Deadline), now.Add(p.wait).Sub(it.admitBy))
}

func toDuration(s float64) time.Duration {
	const maxSeconds = 24 * 3600
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

func withDefaults(r Request) Request {
	if r.Weight <= 0 || math.IsNaN(r.Weight) {
		r.Weight = 1
	}
	if r.Cost <= 0 || math.IsNaN(r.Cost) {
		r.Cost = 1
	}
	return r
}

func (c *Controller) class(priority int) *class {
	i := sort.Search(len(c.classes), func(i int) bool { return c.classes[i].priority <= priority })
	if i < len(c.classes) && c.classes[i].priority == priority {
		return c.classes[i]
	}
	k := &class{
		priority: priority,
		flows:    map[string]*flow{},
		active:   map[string]*flow{},
		offered:  rateEstimator{window: classDemandWindow},
	}
	c.classes = append(c.classes, nil)
	copy(c.classes[i+1:], c.classes[i:])
	c.classes[i] = k
	return k
}

func (c *Controller) team(now time.Time, r Request) *team {
	t := c.teams[r.Team]
	if t == nil {
		t = &team{name: r.Team}
		c.teams[r.Team] = t
	}
	if t.rate != r.RatePerSecond || t.concurrency != r.Concurrency {
		t.rate, t.concurrency = r.RatePerSecond, r.Concurrency
		t.setRate(now, c.limiter.entries())
	}
	return t
}

func (c *Controller) enqueue(it *item) {
	it.flow = it.class.flow(it.team, it.request.Weight)
	it.flow.concurrencyLimit = it.team.concurrencyLimit(c.limiter.entries())
	it.flow.insert(it.class, it)
	c.items[it.request.ID] = it
	c.queued++
}

func (c *Controller) dequeue(it *item) {
	it.flow.remove(it.class, it)
	delete(c.items, it.request.ID)
	c.queued--
}
