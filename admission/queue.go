package admission

import (
	"math"
	"sort"
	"time"

	"golang.org/x/time/rate"
)

// item is a request that waits or runs.
type item struct {
	request  Request
	team     *team
	class    *class
	flow     *flow
	running  bool
	admitted time.Time
	// latest is when the request must have been admitted.
	latest time.Time
}

// team holds what limits a team over all priorities.
type team struct {
	name        string
	rate        float64
	concurrency int
	limiter     *rate.Limiter
	running     int
	hold        average
}

// setRate gives this entry its part of the team's rate. The burst is one second's worth.
func (t *team) setRate(now time.Time, entries int) {
	if t.rate <= 0 {
		t.limiter = nil
		return
	}
	part := t.rate / float64(entries)
	burst := int(math.Ceil(part))
	if t.limiter == nil {
		t.limiter = rate.NewLimiter(rate.Limit(part), burst)
		return
	}
	t.limiter.SetLimitAt(now, rate.Limit(part))
	t.limiter.SetBurstAt(now, burst)
}

// reservation is a place under a team's rate limit that can be given back.
type reservation struct {
	under *rate.Reservation
}

// CancelAt gives the place back, so that a request shed for another reason does not count against the rate.
func (r reservation) CancelAt(now time.Time) {
	if r.under != nil {
		r.under.CancelAt(now)
	}
}

// reserve takes one place under the rate limit. It takes none and returns the
// time to wait when the team is over its rate.
func (t *team) reserve(now time.Time) (reservation, time.Duration) {
	if t.limiter == nil {
		return reservation{}, 0
	}
	r := t.limiter.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return reservation{}, wait
	}
	return reservation{under: r}, 0
}

// limit returns this entry's part of the team's concurrency limit, or 0 for no
// limit. It rounds up, because an entry that could run nothing would shed
// everything; over all entries a team may exceed its limit by less than one
// request for each entry.
func (t *team) limit(entries int) int {
	if t.concurrency <= 0 {
		return 0
	}
	return (t.concurrency + entries - 1) / entries
}

// class is one priority.
type class struct {
	priority int
	flows    map[string]*flow
	// active holds the flows with waiting items; cost and weight are their sums.
	active  map[string]*flow
	cost    float64
	weight  float64
	virtual float64
	offered rateEstimate
	// reserved is the running cost to allow for higher priorities and for the
	// flows below their share; protectedRunning is what they run.
	reserved         float64
	protectedRunning float64
	// shareByWeight is the running cost for each unit of weight that a flow over
	// its share gets; 0 while no flow asks for more than its share.
	shareByWeight float64
	// flooded is set while any flow of the class floods.
	flooded bool
}

// flow is one team at one priority. Flows are served by start-time fair queueing
// over the capacity they hold and the time they hold it.
type flow struct {
	team   *team
	weight float64
	// limit is this entry's part of the team's concurrency limit; 0 means none.
	limit int
	// start is the virtual time at which the flow's next item starts.
	start float64
	queue []*item
	cost  float64
	// offered and running are the flow's demand and running cost. A modest flow
	// asks for less than its share, a flooding one for much more.
	offered rateEstimate
	running float64
	modest  bool
	// flooding flows may not use what is reserved for modest ones.
	flooding bool
}

func (k *class) flow(t *team, weight float64) *flow {
	f := k.flows[t.name]
	if f == nil {
		f = &flow{team: t, weight: weight, modest: true, offered: rateEstimate{window: classDemandWindow}}
		k.flows[t.name] = f
	}
	if f.weight != weight {
		if len(f.queue) > 0 {
			k.weight += weight - f.weight
		}
		f.weight = weight
	}
	return f
}

// next returns the flow with the earliest virtual start among those whose team is
// below its concurrency limit. Flooding flows are passed over while the spare
// capacity, which is less than the limit by the running cost, is reserved.
func (k *class) next(limit, spare float64) *flow {
	var best *flow
	free := k.free(limit)
	for _, f := range k.active {
		if f.limit > 0 && f.team.running >= f.limit {
			continue
		}
		if f.flooding && f.queue[0].request.Cost > spare-free && spare < limit {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

func (f *flow) before(other *flow) bool {
	if f.start != other.start {
		return f.start < other.start
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

// insert queues an item by deadline; items without one come last, in order of arrival.
func (f *flow) insert(k *class, it *item) {
	if len(f.queue) == 0 {
		// A flow that was idle has no claim on the past.
		f.start = max(f.start, k.virtual)
		k.active[f.team.name] = f
		k.weight += f.weight
	}
	i := sort.Search(len(f.queue), func(i int) bool { return earlier(it.request.Deadline, f.queue[i].request.Deadline) })
	f.queue = append(f.queue, nil)
	copy(f.queue[i+1:], f.queue[i:])
	f.queue[i] = it
	f.cost += it.request.Cost
	k.cost += it.request.Cost
}

func earlier(a, b time.Time) bool {
	if a.IsZero() {
		return false
	}
	return b.IsZero() || a.Before(b)
}

func (f *flow) remove(k *class, it *item) {
	i := f.index(it)
	f.queue = append(f.queue[:i], f.queue[i+1:]...)
	f.cost -= it.request.Cost
	k.cost -= it.request.Cost
	if len(f.queue) > 0 {
		return
	}
	f.cost = 0
	delete(k.active, f.team.name)
	k.weight -= f.weight
	if len(k.active) == 0 {
		// Sums of fractions drift; nothing waits, so the exact values are known.
		k.weight, k.cost = 0, 0
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

// ahead returns the cost and the number of the flow's items before it.
func (f *flow) ahead(it *item) (float64, int) {
	cost := 0.0
	for i, q := range f.queue {
		if q == it {
			return cost, i
		}
		cost += q.request.Cost
	}
	return cost, len(f.queue)
}

// charge moves a flow's virtual time by the cost times the seconds that its team's
// requests hold it on average. The real time of each request would be more exact
// but would make the wait of the team's next request depend on it.
func (f *flow) charge(k *class, amount float64) {
	k.virtual = max(k.virtual, f.start)
	f.start += amount / f.weight
}

// average is an exponentially weighted mean.
type average struct {
	value float64
	count int
}

// averageWeight is the weight of one new value; about 20 values make up the mean.
const averageWeight = 0.05

// add takes a value. The first values count as a plain mean, so that a wrong
// initial value does not linger.
func (a *average) add(v float64) {
	a.count++
	a.value += (v - a.value) * max(averageWeight, 1/float64(a.count))
}

func (a *average) valueOr(other float64) float64 {
	if a.count == 0 {
		return other
	}
	return a.value
}

// median follows the median of a series of times.
type median struct {
	value float64
	known bool
}

// medianStep is the relative step towards each new value.
const medianStep = 0.03

func (m *median) add(v float64) {
	switch {
	case !m.known:
		m.value, m.known = v, true
	case v > m.value:
		m.value *= 1 + medianStep
	default:
		m.value /= 1 + medianStep
	}
}

// rateEstimate is an exponentially weighted rate per second.
type rateEstimate struct {
	window time.Duration
	rate   float64
	last   time.Time
}

func (r *rateEstimate) add(now time.Time, amount float64) {
	r.rate = r.at(now) + amount/r.window.Seconds()
	if now.After(r.last) {
		r.last = now
	}
}

func (r *rateEstimate) at(now time.Time) float64 {
	passed := now.Sub(r.last)
	if passed <= 0 {
		return r.rate
	}
	return r.rate * math.Exp(-passed.Seconds()/r.window.Seconds())
}
