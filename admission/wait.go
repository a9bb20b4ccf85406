package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Waiting is a request that waits until capacity is found for it.
type Waiting struct {
	// ID is unique among the requests that wait.
	ID   string
	Team string
	// Weight is the team's share relative to other teams; values of 0 or less count as 1.
	Weight float64
	// Rank orders requests under load; 0 is served first.
	Rank int
	// Arrived is when the request arrived, and GiveUpAt the latest useful time to
	// start it.
	Arrived, GiveUpAt time.Time
	// Work is the size of the request in tokens.
	Work float64
}

// WaitOptions configure a WaitQueue.
type WaitOptions struct {
	// AgingInterval is the wait after which a request counts as one rank higher, so
	// that requests of low rank are not starved.
	AgingInterval time.Duration
	// RateWindow is the time constant of the rate at which requests are started.
	RateWindow time.Duration
	// MinQueue is the number of requests that may always wait, and UnknownRateQueue
	// the number that may wait until requests have waited for a RateWindow: the rate
	// at which requests start, and so the time that the queue takes, is unknown
	// before that.
	MinQueue, UnknownRateQueue int
	// MaxQueue bounds the memory.
	MaxQueue int
}

// DefaultWaitOptions returns the options of entries.
func DefaultWaitOptions() WaitOptions {
	return WaitOptions{AgingInterval: 250 * time.Millisecond, RateWindow: time.Second, MinQueue: 4, UnknownRateQueue: 64, MaxQueue: 10000}
}

// WaitQueue orders requests when it is not known in advance which of them the
// capacity suffices for, because that depends on the request: the caller tries
// the requests in the order of Candidates.
//
// It answers the flood of one team and the loss of a part of the capacity. Ranks
// come first, then the team with the least work in progress for its weight, then
// the earliest arrival. A request is refused on arrival if the queue is longer
// than what starts until the request gives up, and a flooding team is refused
// before the others. It performs no I/O, reads no clock and is not safe for
// concurrent use.
type WaitQueue struct {
	options WaitOptions
	items   map[string]*Waiting
	flows   map[flowKey]*waitFlow
	order   flowHeap
	started rateEstimator
	// busySince is when the first of the requests that wait now began to wait.
	busySince time.Time
}

type flowKey struct {
	team string
	rank int
}

// waitFlow holds the waiting requests of a team and a rank in order of arrival.
type waitFlow struct {
	flowKey
	weight float64
	queue  []*Waiting
	// level is the team's work in progress for its weight.
	level float64
	index int
}

// NewWaitQueue returns an empty queue.
func NewWaitQueue(o WaitOptions) *WaitQueue {
	return &WaitQueue{
		options: o, items: map[string]*Waiting{}, flows: map[flowKey]*waitFlow{}, started: rateEstimator{window: o.RateWindow},
	}
}

// Len returns the number of waiting requests.
func (q *WaitQueue) Len() int { return len(q.items) }

// Add adds a request. If the queue is too long, it refuses one request, the new
// one or another, and returns it.
func (q *WaitQueue) Add(now time.Time, w *Waiting) (refused *Waiting) {
	if q.items[w.ID] != nil {
		return w
	}
	if len(q.items) == 0 {
		q.busySince = now
	}
	q.items[w.ID] = w
	f := q.enqueue(w)
	if len(q.items) <= q.limit(now, w) {
		return nil
	}
	longest := q.longest(f)
	refused = longest.queue[len(longest.queue)-1]
	q.Remove(refused.ID)
	return refused
}

// limit returns how many requests may wait: as many as are expected to start until
// the new one gives up.
func (q *WaitQueue) limit(now time.Time, w *Waiting) int {
	least := q.options.MinQueue
	if now.Sub(q.busySince) < q.options.RateWindow {
		least = q.options.UnknownRateQueue
	}
	expected := int(q.started.at(now) * w.GiveUpAt.Sub(now).Seconds())
	return min(max(expected, least), q.options.MaxQueue)
}

// longest returns the flow that loses a request when the queue is too long: one of
// the lowest rank, and among these the longest one for its weight. The new
// request's flow is preferred among equals.
func (q *WaitQueue) longest(added *waitFlow) *waitFlow {
	worst := added
	for _, f := range q.order.flowList {
		if f.rank > worst.rank || f.rank == worst.rank && f.length() > worst.length() {
			worst = f
		}
	}
	return worst
}

func (f *waitFlow) length() float64 { return float64(len(f.queue)) / f.weight }

// enqueue appends a request to its flow.
func (q *WaitQueue) enqueue(w *Waiting) *waitFlow {
	key := flowKey{w.Team, w.Rank}
	f := q.flows[key]
	if f != nil {
		f.queue = append(f.queue, w)
		return f
	}
	f = &waitFlow{flowKey: key, weight: w.Weight, queue: []*Waiting{w}}
	if f.weight <= 0 {
		f.weight = 1
	}
	q.flows[key] = f
	heap.Push(&q.order, f)
	return f
}

// Refresh updates the order with each team's work in progress, in any unit.
func (q *WaitQueue) Refresh(now time.Time, inProgress func(team string) float64) {
	for _, f := range q.order.flowList {
		f.level = inProgress(f.team) / f.weight
	}
	q.order.now, q.order.aging = now, q.options.AgingInterval
	heap.Init(&q.order)
}

// Candidates returns the next requests to start, at most n and one of each team
// and rank.
func (q *WaitQueue) Candidates(n int) []*Waiting {
	flows := make([]*waitFlow, 0, n)
	for len(flows) < n && q.order.Len() > 0 {
		if f, ok := heap.Pop(&q.order).(*waitFlow); ok {
			flows = append(flows, f)
		}
	}
	candidates := make([]*Waiting, 0, len(flows))
	for _, f := range flows {
		candidates = append(candidates, f.queue[0])
		heap.Push(&q.order, f)
	}
	return candidates
}

// StartedAtOnce records that a request has started without waiting. When a queue
// begins, the rate of these tells how long it will take.
func (q *WaitQueue) StartedAtOnce(now time.Time) { q.started.add(now, 1) }

// Started removes a request that has started. Its cost, in the unit of Refresh, is
// added to the team's work in progress.
func (q *WaitQueue) Started(now time.Time, id string, cost float64) {
	w := q.items[id]
	if w == nil {
		return
	}
	q.started.add(now, 1)
	f := q.flows[flowKey{w.Team, w.Rank}]
	f.level += cost / f.weight
	q.Remove(id)
}

// Remove removes a request that no longer waits.
func (q *WaitQueue) Remove(id string) {
	w := q.items[id]
	if w == nil {
		return
	}
	delete(q.items, id)
	key := flowKey{w.Team, w.Rank}
	f := q.flows[key]
	i := slices.Index(f.queue, w)
	f.queue = slices.Delete(f.queue, i, i+1)
	if len(f.queue) > 0 {
		heap.Fix(&q.order, f.index)
		return
	}
	heap.Remove(&q.order, f.index)
	delete(q.flows, key)
}

// ExpectedWait returns how long a request would wait behind all others.
func (q *WaitQueue) ExpectedWait(now time.Time) time.Duration {
	const minRate = 0.1 // per second; keeps the wait finite while nothing starts
	return toDuration(float64(len(q.items)) / max(q.started.at(now), minRate))
}

// flowHeap orders flows by rank, reduced by the wait of their first request, then
// by level, then by arrival.
type flowHeap struct {
	flowList
	now   time.Time
	aging time.Duration
}

type flowList []*waitFlow

func (h flowHeap) Len() int { return len(h.flowList) }

func (h flowHeap) Less(i, j int) bool {
	a, b := h.flowList[i], h.flowList[j]
	return cmp.Or(
		cmp.Compare(h.rank(a), h.rank(b)), cmp.Compare(a.level, b.level),
		a.queue[0].Arrived.Compare(b.queue[0].Arrived), cmp.Compare(a.team, b.team),
	) < 0
}

// rank returns the rank of a flow's first request, which rises while it waits.
func (h flowHeap) rank(f *waitFlow) int {
	if h.aging <= 0 || f.rank == 0 {
		return f.rank
	}
	return max(f.rank-int(h.now.Sub(f.queue[0].Arrived)/h.aging), 0)
}

func (h flowHeap) Swap(i, j int) {
	h.flowList[i], h.flowList[j] = h.flowList[j], h.flowList[i]
	h.flowList[i].index, h.flowList[j].index = i, j
}

// Push and Pop implement heap.Interface.
func (h *flowHeap) Push(x any) {
	if f, ok := x.(*waitFlow); ok {
		f.index = len(h.flowList)
		h.flowList = append(h.flowList, f)
	}
}

func (h *flowHeap) Pop() any {
	last := len(h.flowList) - 1
	f := h.flowList[last]
	h.flowList = h.flowList[:last]
	return f
}
