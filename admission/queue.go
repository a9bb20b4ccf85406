package admission

import (
	"math"
	"sort"
	"time"

	"golang.org/x/time/rate"
)

// item is a queued or running request.
type item struct {
	request    Request
	team       *team
	class      *class
	flow       *flow
	running    bool
	admittedAt time.Time
	// admitBy is the latest time of admission; zero if the request has no deadline.
	admitBy time.Time
}

// team holds a team's limits and usage across all priorities.
type team struct {
	name            string
	rate            float64
	concurrency     int
	limiter         *rate.Limiter
	runningRequests int
	serviceTime     ewma
}

// setRate sets the rate limit to this entry's part of the team's rate. The burst is one second's worth.
func (t *team) setRate(now time.Time, entries int) {
	if t.rate <= 0 {
		t.limiter = nil
		return
	}
	perEntry := t.rate / float64(entries)
	burst := int(math.Ceil(perEntry))
	if t.limiter == nil {
		t.limiter = rate.NewLimiter(rate.Limit(perEntry), burst)
		return
	}
	t.limiter.SetLimitAt(now, rate.Limit(perEntry))
	t.limiter.SetBurstAt(now, burst)
}

// rateToken is a token taken from a team's rate limiter that can be returned.
type rateToken struct {
	reservation *rate.Reservation
}

// CancelAt returns the token, so that a request shed for another reason does not count against the rate.
func (r rateToken) CancelAt(now time.Time) {
	if r.reservation != nil {
		r.reservation.CancelAt(now)
	}
}

// takeRateToken takes one token from the rate limiter. If the team exceeds its
// rate, it takes none and returns the time to wait.
func (t *team) takeRateToken(now time.Time) (rateToken, time.Duration) {
	if t.limiter == nil {
		return rateToken{}, 0
	}
	r := t.limiter.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return rateToken{}, wait
	}
	return rateToken{reservation: r}, 0
}

// concurrencyLimit returns this entry's part of the team's concurrency limit, or
// 0 for no limit. It rounds up, because an entry with a limit of 0 would shed all
// requests. Across all entries, a team may therefore exceed its limit by less than
// one request per entry.
func (t *team) concurrencyLimit(entries int) int {
	if t.concurrency <= 0 {
		return 0
	}
	return (t.concurrency + entries - 1) / entries
}

// class holds the flows of one priority.
type class struct {
	priority int
	flows    map[string]*flow
	// active holds the flows with queued items; queuedCost and activeWeight are their sums.
	active       map[string]*flow
	queuedCost   float64
	activeWeight float64
	virtualTime  float64
	offered      rateEstimator
	// reserved is the running cost reserved for higher priorities and for the flows
	// under their share; protectedRunning is the running cost of both.
	reserved         float64
	protectedRunning float64
	// sharePerWeight is the running cost per unit of weight that flows over their
	// share get; 0 if no flow demands more than its share.
	sharePerWeight float64
	// hasFlooding is set if any flow of the class is flooding.
	hasFlooding bool
}

// flow is the queue and usage of one team at one priority. Flows are served by
// start-time fair queueing, where an item's length is its cost times its service
// time.
type flow struct {
	team   *team
	weight float64
	// concurrencyLimit is this entry's part of the team's concurrency limit; 0 means no limit.
	concurrencyLimit int
	// virtualStart is the virtual time at which the flow's next item starts.
	virtualStart float64
	queue        []*item
	queuedCost   float64
	// offered is the rate of the offered cost. A flow under its share demands less
	// than its share, a flooding flow demands much more.
	offered     rateEstimator
	runningCost float64
	underShare  bool
	// flooding flows may not use the capacity reserved for flows under their share.
	flooding bool
}

func (k *class) flow(t *team, weight float64) *flow {
	f := k.flows[t.name]
	if f == nil {
		f = &flow{team: t, weight: weight, underShare: true, offered: rateEstimator{window: classDemandWindow}}
		k.flows[t.name] = f
	}
	if f.weight != weight {
		if len(f.queue) > 0 {
			k.activeWeight += weight - f.weight
		}
		f.weight = weight
	}
	return f
}

// next returns the flow with the earliest virtual start among those whose team is
// below its concurrency limit. It skips a flooding flow whose next item would use
// reserved capacity, unless nothing runs. The spare capacity is the limit minus
// the running cost.
func (k *class) next(limit, spare float64) *flow {
	var best *flow
	reserve := k.unusedReserve(limit)
	for _, f := range k.active {
		if f.concurrencyLimit > 0 && f.team.runningRequests >= f.concurrencyLimit {
			continue
		}
		if f.flooding && f.queue[0].request.Cost > spare-reserve && spare < limit {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

func (f *flow) before(other *flow) bool {
	if f.virtualStart != other.virtualStart {
		return f.virtualStart < other.virtualStart
	}
	return f.team.name < other.team.name
}

func (k *class) sortedFlows() []*flow {
	flows := make([]*flow, 0, len(k.active))
	for _, f := range k.active {
		flows = append(flows, f)
	}
	sort.Slice(flows, func(i, j int) bool { return flows[i].team.name < flows[j].team.name })
	return flows
}

// insert queues an item by deadline. Items without a deadline come last, in order of arrival.
func (f *flow) insert(k *class, it *item) {
	if len(f.queue) == 0 {
		// An idle flow gains no credit for capacity that it did not use.
		f.virtualStart = max(f.virtualStart, k.virtualTime)
		k.active[f.team.name] = f
		k.activeWeight += f.weight
	}
	i := sort.Search(len(f.queue), func(i int) bool { return earlierDeadline(it.request.Deadline, f.queue[i].request.Deadline) })
	f.queue = append(f.queue, nil)
	copy(f.queue[i+1:], f.queue[i:])
	f.queue[i] = it
	f.queuedCost += it.request.Cost
	k.queuedCost += it.request.Cost
}

func earlierDeadline(a, b time.Time) bool {
	if a.IsZero() {
		return false
	}
	return b.IsZero() || a.Before(b)
}

func (f *flow) remove(k *class, it *item) {
	i := f.index(it)
	f.queue = append(f.queue[:i], f.queue[i+1:]...)
	f.queuedCost -= it.request.Cost
	k.queuedCost -= it.request.Cost
	if len(f.queue) > 0 {
		return
	}
	f.queuedCost = 0
	delete(k.active, f.team.name)
	k.activeWeight -= f.weight
	if len(k.active) == 0 {
		// Nothing is queued, so the sums are reset to discard accumulated floating-point error.
		k.activeWeight, k.queuedCost = 0, 0
	}
}

func (f *flow) index(it *item) int {
	for i, q := range f.queue {
		if q == it {
			return i
		}
	}
	panic("admission: item is not in its queue")
}

// queuedAhead returns the cost and the number of the flow's items before the given one.
func (f *flow) queuedAhead(it *item) (float64, int) {
	cost := 0.0
	for i, q := range f.queue {
		if q == it {
			return cost, i
		}
		cost += q.request.Cost
	}
	return cost, len(f.queue)
}

// charge advances a flow's virtual start by an amount: the cost of an item times
// the team's mean service time in seconds. The actual service time would be more
// exact, but the wait of the team's next request would then depend on it.
func (f *flow) charge(k *class, amount float64) {
	k.virtualTime = max(k.virtualTime, f.virtualStart)
	f.virtualStart += amount / f.weight
}

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
	count int
}

// ewmaWeight is the weight of a new value, which averages over about 20 values.
const ewmaWeight = 0.05

// add updates the average with a value. The first values form an arithmetic mean,
// so that a wrong initial value is soon replaced.
func (a *ewma) add(v float64) {
	a.count++
	a.value += (v - a.value) * max(ewmaWeight, 1/float64(a.count))
}

func (a *ewma) valueOr(fallback float64) float64 {
	if a.count == 0 {
		return fallback
	}
	return a.value
}

// medianEstimator tracks the median of a series of durations in seconds.
type medianEstimator struct {
	value       float64
	initialized bool
}

// medianStep is the relative change of the estimate towards each new value.
const medianStep = 0.03

func (m *medianEstimator) add(v float64) {
	switch {
	case !m.initialized:
		m.value, m.initialized = v, true
	case v > m.value:
		m.value *= 1 + medianStep
	default:
		m.value /= 1 + medianStep
	}
}

// rateEstimator estimates a rate per second with exponential decay.
type rateEstimator struct {
	window  time.Duration
	rate    float64
	updated time.Time
}

func (r *rateEstimator) add(now time.Time, amount float64) {
	r.rate = r.at(now) + amount/r.window.Seconds()
	if now.After(r.updated) {
		r.updated = now
	}
}

func (r *rateEstimator) at(now time.Time) float64 {
	elapsed := now.Sub(r.updated)
	if elapsed <= 0 {
		return r.rate
	}
	return r.rate * math.Exp(-elapsed.Seconds()/r.window.Seconds())
}
