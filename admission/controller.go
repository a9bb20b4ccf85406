package admission

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Options configure a Controller.
type Options struct {
	// TargetUtilization is the fraction of the capacity that the entries aim to fill. The
	// rest keeps backend servers from queueing on every small burst.
	TargetUtilization float64
	// InitialServiceTime and InitialTimeToFirstToken stand in for measured values until requests complete.
	InitialServiceTime      time.Duration
	InitialTimeToFirstToken time.Duration
	// WaitMargin is added to the predicted wait of a new request, in standard
	// deviations. It sheds the doubtful request on arrival instead of queueing it and shedding it later.
	WaitMargin float64
	// MaxWaitFraction is the part of the time until its deadline that a request may wait.
	// A request that has waited for longer is shed although it might still be
	// served, so that no caller gets its refusal shortly before the deadline.
	MaxWaitFraction float64
	// MaxQueue is the number of requests that may wait, which bounds memory when requests have no deadline.
	MaxQueue int
	// MinRetryAfter and MaxRetryAfter bound the time to come back.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// ProbeInterval is how often one request is admitted against a prediction that
	// none can meet its deadline, because only an admitted request corrects the prediction.
	ProbeInterval time.Duration
	// LoadMaxAge is how long a load report counts. Without one the entry falls back to an equal share.
	LoadMaxAge time.Duration
	// DemandWindow is the time constant over which demand is averaged.
	DemandWindow time.Duration
}

// DefaultOptions returns the options in use unless the settings state others.
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

// Controller decides on the requests of one entry for one set of backend
// servers. It is not safe for concurrent use.
type Controller struct {
	options  Options
	random   *rand.Rand
	share    share
	reserve  reserve
	items    map[string]*item
	teams    map[string]*team
	classes  []*class
	queued   int
	running  float64
	hold     average
	first    median
	admitted time.Time
}

// New returns a controller without capacity; it sheds everything until SetCapacity.
func New(options Options, random *rand.Rand) *Controller {
	return &Controller{
		options: options,
		random:  random,
		share:   share{options: options, demand: rateEstimate{window: options.DemandWindow}},
		items:   map[string]*item{},
		teams:   map[string]*team{},
		hold:    average{value: options.InitialServiceTime.Seconds()},
		first:   median{value: options.InitialTimeToFirstToken.Seconds()},
	}
}

// SetCapacity sets what all entries together may use.
func (c *Controller) SetCapacity(now time.Time, capacity Capacity) {
	c.share.setCapacity(capacity)
	for _, t := range c.teams {
		t.setRate(now, c.share.entries())
	}
}

// ObserveLoad takes the sum of the sidecars' latest load reports.
func (c *Controller) ObserveLoad(now time.Time, load Load) {
	kept := c.kept()
	// Capacity that is kept free counts as used. The other entries keep as much
	// free, because the same teams flood them.
	load.Running += kept * float64(c.share.entries())
	c.share.observe(now, load, c.running+kept, c.demand(now))
}

// kept is the running cost that is kept free of flooding flows now.
func (c *Controller) kept() float64 {
	kept := 0.0
	for _, k := range c.classes {
		if k.flooded {
			kept = max(kept, k.free(c.share.limit))
		}
	}
	return min(kept, max(c.share.limit-c.running, 0))
}

// Limit returns how many cost units the entry may run at once now.
func (c *Controller) Limit() float64 {
	return c.share.limit
}

// Running returns the cost of the admitted requests.
func (c *Controller) Running() float64 {
	return c.running
}

// Queued returns the number of waiting requests.
func (c *Controller) Queued() int {
	return c.queued
}

// demand is the cost that would run at once if every offered request were admitted.
func (c *Controller) demand(now time.Time) float64 {
	return c.share.demand.at(now) * c.hold.value
}

// Offer decides on a new request. A request that is shed never enters the queue.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	r = normalized(r)
	if c.items[r.ID] != nil {
		return Decision{ID: r.ID, Verdict: Shed, Reason: DuplicateID}
	}
	c.share.expire(now)
	c.share.demand.add(now, r.Cost)
	t := c.team(now, r)
	k := c.class(r.Priority)
	k.offered.add(now, r.Cost)
	k.flow(t, r.Weight).offered.add(now, r.Cost)
	c.reserve.offers++
	c.reserve.refresh(now, c.classes, c.share.limit, c.hold.value)
	if c.share.limit <= 0 {
		return c.shed(r.ID, NoCapacity, 0)
	}
	reservation, wait := t.reserve(now)
	if wait > 0 {
		return c.shed(r.ID, RateLimited, wait)
	}
	it := &item{request: r, team: t, class: k}
	if !r.Deadline.IsZero() {
		it.latest = now.Add(time.Duration(float64(r.Deadline.Sub(now)) * c.options.MaxWaitFraction))
	}
	d := c.place(now, it)
	if d.Verdict == Shed {
		reservation.CancelAt(now)
	}
	return d
}

// place admits, queues or sheds an item that passed the team's rate limit.
func (c *Controller) place(now time.Time, it *item) Decision {
	if c.queued >= c.options.MaxQueue {
		return c.shed(it.request.ID, Overloaded, 0)
	}
	c.enqueue(it)
	if c.next() == it && c.fits(now, it) {
		return c.start(now, it)
	}
	p := c.predict(now, it)
	if p.late(now, it, c.options.WaitMargin) {
		c.dequeue(it)
		return c.shed(it.request.ID, p.reason, p.excess(now, it))
	}
	return Decision{ID: it.request.ID, Verdict: Queue}
}

// start admits an item from its queue, or sheds it when even an immediate start
// comes too late.
func (c *Controller) start(now time.Time, it *item) Decision {
	c.dequeue(it)
	p := prediction{reason: Overloaded, first: c.firstToken()}
	probe := now.Sub(c.admitted) >= c.options.ProbeInterval && it.request.Deadline.After(now)
	if !probe && p.late(now, it, 0) {
		return c.shed(it.request.ID, Overloaded, p.excess(now, it))
	}
	it.running, it.admitted = true, now
	it.flow.charge(it.class, it.request.Cost*it.team.hold.valueOr(c.hold.value))
	it.team.running++
	it.flow.account(c.classes, it.class, it.request.Cost)
	c.running += it.request.Cost
	c.items[it.request.ID] = it
	c.admitted = now
	return Decision{ID: it.request.ID, Verdict: Admit}
}

// Done ends an admitted request. Unknown IDs are ignored, because the entry may
// report the end of a request twice. Call Tick afterwards to use the freed capacity.
func (c *Controller) Done(now time.Time, id string, outcome Outcome) {
	it := c.items[id]
	if it == nil || !it.running {
		return
	}
	c.finish(it)
	if outcome.TimeToFirstToken > 0 {
		c.first.add(outcome.TimeToFirstToken.Seconds())
	}
	switch outcome.Result {
	case Completed:
		held := now.Sub(it.admitted).Seconds()
		c.hold.add(held)
		it.team.hold.add(held)
	case RefusedOverloaded:
		c.share.refused(now)
	}
}

// Cancel ends a request that its caller gave up, whether it waits or runs.
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

// finish frees an item's capacity.
func (c *Controller) finish(it *item) {
	delete(c.items, it.request.ID)
	it.team.running--
	it.flow.account(c.classes, it.class, -it.request.Cost)
	c.running -= it.request.Cost
	if len(c.items) == c.queued {
		// Sums of fractions drift; nothing runs, so the exact value is known.
		c.running = 0
	}
}

// Tick returns the decisions on waiting requests that can be taken now. Call it
// after every Done, Cancel, SetCapacity and ObserveLoad and at the time that
// Next gives, so that each answer goes out as soon as it is certain.
func (c *Controller) Tick(now time.Time) []Decision {
	c.share.expire(now)
	c.reserve.refresh(now, c.classes, c.share.limit, c.hold.value)
	var decisions []Decision
	for {
		decisions = append(decisions, c.startFitting(now)...)
		late := c.shedLate(now)
		if len(late) == 0 {
			return decisions
		}
		// A large request that was shed may have stood before smaller ones that fit.
		decisions = append(decisions, late...)
	}
}

func (c *Controller) startFitting(now time.Time) []Decision {
	var decisions []Decision
	for {
		it := c.next()
		if it == nil || !c.fits(now, it) {
			return decisions
		}
		decisions = append(decisions, c.start(now, it))
	}
}

// NextTick returns when Tick should be called if no other event comes before, and
// false when nothing waits.
func (c *Controller) NextTick(now time.Time) (time.Time, bool) {
	if c.queued == 0 {
		return time.Time{}, false
	}
	return now.Add(tickInterval), true
}

// tickInterval is how often waiting requests are judged again. It bounds how long
// a request waits after it became certain that it will be shed.
const tickInterval = 10 * time.Millisecond

// next returns the item that is served next, or nil.
func (c *Controller) next() *item {
	for _, k := range c.classes {
		if f := k.next(c.share.limit, c.share.limit-c.running); f != nil {
			return f.queue[0]
		}
	}
	return nil
}

// fits reports whether an item's cost fits under the limit. An item that is
// larger than the whole limit runs alone, and no more often than the limit
// allows on average; otherwise many entries with a share below one request
// would each run one all the time.
func (c *Controller) fits(now time.Time, it *item) bool {
	limit, cost := c.share.limit, it.request.Cost
	if limit <= 0 {
		return false
	}
	if c.running+cost <= limit+1e-9 {
		return true
	}
	if c.running > 0 || cost <= limit {
		return false
	}
	pause := c.hold.value * cost / limit
	return now.Sub(c.admitted).Seconds() >= pause
}

func (c *Controller) shed(id string, reason Reason, after time.Duration) Decision {
	after = max(after, c.options.MinRetryAfter)
	// Jitter keeps the callers that were shed together from coming back together.
	after += time.Duration(c.random.Float64() * float64(after))
	return Decision{ID: id, Verdict: Shed, Reason: reason, RetryAfter: min(after, c.options.MaxRetryAfter)}
}

// shedLate sheds the waiting items that can no longer meet their deadline.
func (c *Controller) shedLate(now time.Time) []Decision {
	var late []*item
	var predictions []prediction
	higher := 0.0
	for _, k := range c.classes {
		for _, f := range k.sortedFlows() {
			ahead := 0.0
			for i, it := range f.queue {
				p := c.predictAt(now, it, higher, ahead, i)
				if p.late(now, it, 0) {
					late, predictions = append(late, it), append(predictions, p)
					continue
				}
				ahead += it.request.Cost
			}
		}
		higher += k.cost
	}
	var decisions []Decision
	for i, it := range late {
		c.dequeue(it)
		decisions = append(decisions, c.shed(it.request.ID, predictions[i].reason, predictions[i].excess(now, it)))
	}
	return decisions
}

func (c *Controller) firstToken() time.Duration {
	return time.Duration(c.first.value * float64(time.Second))
}

// predict estimates when a waiting item starts.
func (c *Controller) predict(now time.Time, it *item) prediction {
	higher := 0.0
	for _, k := range c.classes {
		if k == it.class {
			break
		}
		higher += k.cost
	}
	ahead, position := it.flow.ahead(it)
	return c.predictAt(now, it, higher, ahead, position)
}

// predictAt estimates the wait of an item. A flow over its share waits for its own
// queue at its share. Another flow waits for no more than all that is queued
// before it, and passes what exceeds its share.
func (c *Controller) predictAt(now time.Time, it *item, higher, ahead float64, position int) prediction {
	k, f := it.class, it.flow
	hold := max(c.hold.value, 1e-6)
	own := ahead + it.request.Cost
	spare := c.share.limit - c.running
	rate := c.drain(now, k)
	wait := max(higher+k.cost-f.cost+own-spare, 0) / rate
	if share := k.shareByWeight * f.weight / hold; share > 0 {
		atShare := max(higher-spare, 0)/rate + own/share
		if f.modest {
			wait = min(wait, atShare)
		} else {
			wait = c.waitOverShare(f, k, own, higher, spare, atShare)
		}
	}
	p := prediction{reason: Overloaded, first: c.firstToken(), wait: seconds(wait), spread: spread(wait, own/it.request.Cost)}
	if limit := it.team.limit(c.share.entries()); limit > 0 {
		over := float64(position + 1 + it.team.running - limit)
		blocked := seconds(max(over, 0) * it.team.hold.valueOr(c.hold.value) / float64(limit))
		if blocked > p.wait {
			p.wait, p.reason = blocked, ConcurrencyLimited
		}
	}
	return p
}

// waitOverShare is 0 for a request that fits beside what is reserved and queued.
func (c *Controller) waitOverShare(f *flow, k *class, own, higher, spare, atShare float64) float64 {
	if f.flooding {
		spare -= k.free(c.share.limit)
	}
	if spare >= higher+k.cost {
		return 0
	}
	return atShare
}

// spread is the standard deviation of the time until a number of slots came free
// that together take the given wait.
func spread(wait, slots float64) time.Duration {
	return seconds(wait / math.Sqrt(max(slots, 1)))
}

// classDemandWindow is the time constant for the demand of a priority class. It is
// longer than a burst, whose requests already count as queued cost.
const classDemandWindow = 10 * time.Second

// minDrainShare keeps the predicted wait finite when higher priorities offer more than the capacity.
const minDrainShare = 0.02

// drain is the cost per second that a priority class gets: the capacity less
// what the higher classes offer.
func (c *Controller) drain(now time.Time, k *class) float64 {
	total := c.share.limit / max(c.hold.value, 1e-6)
	left := total
	for _, higher := range c.classes {
		if higher == k {
			break
		}
		left -= higher.offered.at(now)
	}
	return max(left, total*minDrainShare, 1e-9)
}

// prediction is the estimated future of a waiting item.
type prediction struct {
	reason Reason
	wait   time.Duration
	// spread is the standard deviation of the wait.
	spread time.Duration
	first  time.Duration
}

// late reports whether the first token is expected after the deadline, with a
// margin in standard deviations of the wait.
func (p prediction) late(now time.Time, it *item, margin float64) bool {
	if it.request.Deadline.IsZero() {
		return false
	}
	begin := now.Add(p.wait + time.Duration(float64(p.spread)*margin))
	return begin.After(it.latest) || begin.Add(p.first).After(it.request.Deadline)
}

// excess is how much too late the first token would come, which is when the
// same request could be served if the load stays as it is.
func (p prediction) excess(now time.Time, it *item) time.Duration {
	return max(now.Add(p.wait+p.first).Sub(it.request.Deadline), now.Add(p.wait).Sub(it.latest))
}

func seconds(s float64) time.Duration {
	const longest = 24 * 3600
	return time.Duration(min(s, longest) * float64(time.Second))
}

func normalized(r Request) Request {
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
		offered:  rateEstimate{window: classDemandWindow},
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
		t.setRate(now, c.share.entries())
	}
	return t
}

func (c *Controller) enqueue(it *item) {
	it.flow = it.class.flow(it.team, it.request.Weight)
	it.flow.limit = it.team.limit(c.share.entries())
	it.flow.insert(it.class, it)
	c.items[it.request.ID] = it
	c.queued++
}

func (c *Controller) dequeue(it *item) {
	it.flow.remove(it.class, it)
	delete(c.items, it.request.ID)
	c.queued--
}
