package admission

import (
	"cmp"
	"math"
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
	// Arrived is when the request arrived, Target when its first event is due, and
	// Deadline when its client leaves or its time is over.
	Arrived, Target, Deadline time.Time
	// OthersWaitUntil is the time until which a less urgent request that arrived at the same
	// moment may wait. The request may wait as long, so that it is not refused while that one
	// goes on waiting.
	OthersWaitUntil time.Time
	// Work is the expected number of tokens of the prompt and the answer; values of 0
	// or less count as 1.
	Work float64
}

// DeadlineFraction is the fraction of the client's time that a request may wait. The rest
// is for its answer.
const DeadlineFraction = 1.0 / 3

const (
	// targetFraction is the fraction of the time to the target that a request may
	// wait. The rest is for the engines, which have to read the prompt.
	targetFraction = 0.5
	// sizeDelay and teamDelay order the requests of a rank: a request of mean size, and
	// one of a team with the mean work in progress, give way to requests that arrive
	// later by these fractions of the longest wait. Both grow with the size and
	// the team's work.
	sizeDelay = 0.5
	teamDelay = 0.5
	// clearlyTooLong is the expected wait, as a multiple of the time that is left, at
	// which a waiting request is refused. The rate at which requests start varies.
	clearlyTooLong = 2.0
	// maxRelativeWork bounds the work of a request as a multiple of the mean.
	maxRelativeWork = 16.0
	// minStartRate, in requests per second, keeps expected waits finite while nothing
	// starts.
	minStartRate = 0.1
)

// StartBy returns the latest useful time to start the request.
func (w *Waiting) StartBy() time.Time {
	if onTime := w.onTimeUntil(); onTime.After(w.OthersWaitUntil) {
		return onTime
	}
	return w.OthersWaitUntil
}

// onTimeUntil returns the latest time to start the request so that its answer is in
// time. If it starts later, its client gains more by a refusal that says when to return.
func (w *Waiting) onTimeUntil() time.Time {
	limit := time.Duration(DeadlineFraction * float64(w.Deadline.Sub(w.Arrived)))
	return w.Arrived.Add(min(limit, time.Duration(targetFraction*float64(w.Target.Sub(w.Arrived)))))
}

func (w *Waiting) work() float64 {
	if w.Work <= 0 {
		return 1
	}
	return w.Work
}

func (w *Waiting) weight() float64 {
	if w.Weight <= 0 {
		return 1
	}
	return w.Weight
}

// RefusalReason tells why a request that waited was refused.
type RefusalReason int

// The reasons for a refusal.
const (
	// QueueFull means that as many requests wait as may while it is unknown how fast they start.
	QueueFull RefusalReason = iota + 1
	// WaitTooLong means that the requests before it take too long to start.
	WaitTooLong
	// WaitOver means that its latest useful start has passed.
	WaitOver
)

// String returns the reason in words.
func (r RefusalReason) String() string {
	switch r {
	case QueueFull:
		return "the queue is full"
	case WaitTooLong:
		return "the requests before it take too long to start"
	case WaitOver:
		return "no capacity was found in time"
	default:
		return "none"
	}
}

// Refusal is a request that is refused and what decided it.
type Refusal struct {
	*Waiting
	Reason RefusalReason
	// Ahead is the number of requests that would have gone before it, and Expected the
	// time that these were expected to take to start.
	Ahead    int
	Expected time.Duration
}

// WaitOptions configure a WaitQueue.
type WaitOptions struct {
	// AgingInterval is the wait after which a request counts as one rank higher.
	AgingInterval time.Duration
	// RateWindow is the time constant of the rate at which requests are started, and
	// ShareWindow that of the shares of requests that are served.
	RateWindow, ShareWindow time.Duration
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
	return WaitOptions{
		AgingInterval: time.Second, RateWindow: time.Second, ShareWindow: 10 * time.Second,
		MinQueue: 4, UnknownRateQueue: 64, MaxQueue: 1000,
	}
}

// WaitQueue orders requests when it is not known in advance which of them the
// capacity suffices for, because that depends on the request: the caller tries
// the requests in the order of Candidates.
//
// It answers more requests than capacity: a burst of one kind, of one team or of
// all, the loss of a part of the capacity, clients that return together, and
// requests of unlike size. What is delayed or refused is what costs callers least:
// ranks come first, then the team with the least work in progress for its weight,
// then the earliest arrival, where a small request may pass a large one. Ranks, teams
// and sizes that are served much less often than all go before others. A request
// is refused as soon as it is known that it cannot start in time. WaitQueue
// performs no I/O, reads no clock and is not safe for concurrent use.
type WaitQueue struct {
	options WaitOptions
	items   map[string]*Waiting
	// order holds the requests in the order in which they are tried, as of the latest
	// Refresh.
	order []*queued
	flows map[flowKey]*waitFlow
	// levelSum is the sum of the flows' work, in progress and waiting, for their weight.
	levelSum float64
	// started and startedWork are the rates at which requests and their work start,
	// and refusedWork the rate at which work is refused.
	started, startedWork, refusedWork rateEstimator
	meanWork                          ewma
	shares                            *servedShares
	// busySince is when the first of the requests that wait now began to wait.
	busySince time.Time
}

// queued is a waiting request with what orders it.
type queued struct {
	*Waiting
	flow *waitFlow
	// currentRank is the rank, which rises while the request waits. It is raisedRank
	// while the rank, the team or the size is served much less often than others.
	currentRank int
	// late is 1 if the request cannot be in time any more, and 0 otherwise.
	late int
	// level is the work of the request's team, in progress or before it in the queue,
	// for the team's weight.
	level float64
	// sizeTurn is the arrival, and later the more work the request needs; turn is also
	// later the more work its team has.
	sizeTurn, turn time.Time
}

type flowKey struct {
	team string
	rank int
}

// waitFlow is what a team has of a rank.
type waitFlow struct {
	flowKey
	weight float64
	// inProgress is the team's work in progress, and waiting the work of its requests
	// that wait.
	inProgress, waiting float64
	length              int
}

// NewWaitQueue returns an empty queue.
func NewWaitQueue(o WaitOptions) *WaitQueue {
	return &WaitQueue{
		options: o, items: map[string]*Waiting{}, flows: map[flowKey]*waitFlow{}, shares: newServedShares(o.ShareWindow),
		started: rateEstimator{window: o.RateWindow}, startedWork: rateEstimator{window: o.RateWindow},
		refusedWork: rateEstimator{window: o.RateWindow},
	}
}

// Len returns the number of waiting requests.
func (q *WaitQueue) Len() int { return len(q.items) }

// Add adds a request. If it cannot start in time, it is refused; if the queue is
// too long, the last one is.
func (q *WaitQueue) Add(now time.Time, w *Waiting) *Refusal {
	if q.items[w.ID] != nil {
		return &Refusal{Waiting: w, Reason: QueueFull}
	}
	if len(q.items) == 0 {
		q.busySince = now
	}
	q.observe(w)
	at := q.insert(now, w)
	if refusal := q.judgeArrival(now, at); refusal != nil {
		return q.refuse(now, refusal)
	}
	if last := len(q.order) - 1; len(q.order) > q.maxLength(now) {
		return q.refuse(now, q.refusal(now, last, QueueFull))
	}
	return nil
}

// judgeArrival refuses the new request at an index if it cannot start in time.
func (q *WaitQueue) judgeArrival(now time.Time, at int) *Refusal {
	if q.rateUnknown(now) || at < q.options.MinQueue || q.isFirstOfRank(at) {
		return nil
	}
	refusal := q.refusal(now, at, WaitTooLong)
	if now.Add(refusal.Expected).After(refusal.StartBy()) {
		return refusal
	}
	return nil
}

// rateUnknown reports whether the requests have not waited long enough to tell how
// fast they start.
func (q *WaitQueue) rateUnknown(now time.Time) bool {
	return now.Sub(q.busySince) < q.options.RateWindow
}

func (q *WaitQueue) maxLength(now time.Time) int {
	if q.rateUnknown(now) {
		expected := int(q.started.at(now) * q.options.RateWindow.Seconds())
		return min(max(expected, q.options.UnknownRateQueue), q.options.MaxQueue)
	}
	return q.options.MaxQueue
}

// isFirstOfRank reports whether no request of the rank of the one at an index goes
// before it. Such a one stays: a rank from which nothing is tried cannot be
// served its least share.
func (q *WaitQueue) isFirstOfRank(at int) bool {
	return !slices.ContainsFunc(q.order[:at], func(other *queued) bool { return other.Rank == q.order[at].Rank })
}

// refusal describes the refusal of the request at an index.
func (q *WaitQueue) refusal(now time.Time, at int, reason RefusalReason) *Refusal {
	ahead := 0.0
	for _, other := range q.order[:at] {
		ahead += other.workAhead()
	}
	return &Refusal{Waiting: q.order[at].Waiting, Reason: reason, Ahead: at, Expected: q.timeToStart(now, ahead)}
}

func (q *WaitQueue) refuse(now time.Time, r *Refusal) *Refusal {
	q.recordRefusal(now, r)
	q.Remove(r.ID)
	return r
}

func (q *WaitQueue) recordRefusal(now time.Time, r *Refusal) {
	q.shares.record(now, r.Waiting, false)
	q.refusedWork.add(now, r.work())
}

// insert adds a request behind those of its team and rank and returns its index.
func (q *WaitQueue) insert(now time.Time, w *Waiting) int {
	key := flowKey{w.Team, w.Rank}
	f := q.flows[key]
	if f == nil {
		f = &waitFlow{flowKey: key, weight: w.weight()}
		q.flows[key] = f
	}
	item := q.evaluate(now, &queued{Waiting: w, flow: f})
	f.waiting += w.work()
	f.length++
	q.levelSum += w.work() / f.weight
	item.setLevel((f.inProgress+f.waiting-w.work())/f.weight, q.meanLevel())
	q.items[w.ID] = w
	at, _ := slices.BinarySearchFunc(q.order, item, compareQueued)
	q.order = slices.Insert(q.order, at, item)
	return at
}

// evaluate updates what orders a request beside its team's work.
func (q *WaitQueue) evaluate(now time.Time, item *queued) *queued {
	item.currentRank = q.currentRank(now, item.Waiting)
	item.late = 0
	if now.After(item.onTimeUntil()) {
		item.late = 1
	}
	item.sizeTurn = item.Arrived.Add(item.delay(sizeDelay * q.shares.relativeWork(item.Waiting)))
	return item
}

// setLevel sets the work of the request's team and, with the mean of all teams that
// wait, its turn.
func (item *queued) setLevel(level, mean float64) {
	item.level, item.turn = level, item.sizeTurn
	if mean > 0 {
		item.turn = item.sizeTurn.Add(item.delay(teamDelay * level / mean))
	}
}

// workAhead returns the work that delays later requests. Requests that are raised above
// all ranks do not count: one of them is tried at a time, and there may never be capacity
// for it.
func (item *queued) workAhead() float64 {
	if item.currentRank == raisedRank {
		return 0
	}
	return item.work()
}

// delay returns a number of longest waits, at most one.
func (item *queued) delay(waits float64) time.Duration {
	return time.Duration(math.Min(waits, 1) * float64(item.onTimeUntil().Sub(item.Arrived)))
}

func (q *WaitQueue) currentRank(now time.Time, w *Waiting) int {
	if q.shares.behind(w) {
		return raisedRank
	}
	if q.options.AgingInterval <= 0 {
		return w.Rank
	}
	return max(w.Rank-int(now.Sub(w.Arrived)/q.options.AgingInterval), 0)
}

// raisedRank is before all ranks.
const raisedRank = -1

// compareQueued orders the requests.
func compareQueued(a, b *queued) int {
	return cmp.Or(
		cmp.Compare(a.currentRank, b.currentRank), cmp.Compare(a.late, b.late), a.turn.Compare(b.turn),
		cmp.Compare(a.level, b.level), a.sizeTurn.Compare(b.sizeTurn), cmp.Compare(a.Team, b.Team), cmp.Compare(a.ID, b.ID),
	)
}

// compareInFlow orders requests so that those of one team and rank are in the order in which
// they would start.
func compareInFlow(a, b *queued) int {
	return cmp.Or(cmp.Compare(a.currentRank, b.currentRank), cmp.Compare(a.late, b.late), a.sizeTurn.Compare(b.sizeTurn), cmp.Compare(a.ID, b.ID))
}

// Refresh updates the order with each team's work in progress, in the unit of
// Waiting.Work.
func (q *WaitQueue) Refresh(now time.Time, inProgress func(team string) float64) {
	q.levelSum = 0
	for _, f := range q.flows {
		f.inProgress, f.waiting = inProgress(f.team), 0
		q.levelSum += f.inProgress / f.weight
	}
	q.shares.judge(now)
	for _, item := range q.order {
		q.evaluate(now, item)
		q.levelSum += item.work() / item.flow.weight
	}
	slices.SortFunc(q.order, compareInFlow)
	for _, item := range q.order {
		item.level = (item.flow.inProgress + item.flow.waiting) / item.flow.weight
		item.flow.waiting += item.work()
	}
	mean := q.meanLevel()
	for _, item := range q.order {
		item.setLevel(item.level, mean)
	}
	slices.SortFunc(q.order, compareQueued)
}

// meanLevel returns the mean work, in progress and waiting, of the pairs of team and rank
// that wait. What a team has in progress counts once for each of its ranks.
func (q *WaitQueue) meanLevel() float64 { return q.levelSum / float64(max(len(q.flows), 1)) }

// Candidates returns the next requests to start: at most n, one of each team and
// rank, and one more that is raised above all ranks. There is only one such, so
// that requests for which there never is capacity do not keep all others waiting.
func (q *WaitQueue) Candidates(n int) []*Waiting {
	candidates := make([]*Waiting, 0, n+1)
	flows := make([]*waitFlow, 0, n+1)
	for _, item := range q.order {
		raised := item.currentRank == raisedRank
		if raised && len(candidates) > 0 || slices.Contains(flows, item.flow) {
			continue
		}
		if raised {
			n++
		}
		candidates, flows = append(candidates, item.Waiting), append(flows, item.flow)
		if len(candidates) >= n {
			break
		}
	}
	return candidates
}

// RefuseHopeless removes the requests whose latest useful start has passed, or that
// clearly cannot start by then, and returns them. It is called after Refresh.
func (q *WaitQueue) RefuseHopeless(now time.Time) []*Refusal {
	var refusals []*Refusal
	ahead, kept := 0.0, 0
	ranks := map[int]bool{}
	q.order = slices.DeleteFunc(q.order, func(item *queued) bool {
		expected := q.timeToStart(now, ahead)
		mayStay := kept < q.options.MinQueue || !ranks[item.Rank] || q.rateUnknown(now)
		reason := hopeless(item.StartBy().Sub(now), expected, mayStay)
		if reason != 0 {
			refusal := &Refusal{Waiting: item.Waiting, Reason: reason, Ahead: kept, Expected: expected}
			q.recordRefusal(now, refusal)
			q.forget(item.Waiting)
			refusals = append(refusals, refusal)
			return true
		}
		ranks[item.Rank] = true
		ahead += item.workAhead()
		kept++
		return false
	})
	return refusals
}

// hopeless returns the reason to refuse a request that has some time left and is
// expected to start after another, or 0.
func hopeless(left, expected time.Duration, mayStay bool) RefusalReason {
	switch {
	case left <= 0:
		return WaitOver
	case !mayStay && expected.Seconds() > clearlyTooLong*left.Seconds():
		return WaitTooLong
	default:
		return 0
	}
}

// StartedAtOnce records that a request has started without waiting. When a queue
// begins, the rate of these tells how long it will take.
func (q *WaitQueue) StartedAtOnce(now time.Time, w *Waiting) {
	q.observe(w)
	q.recordStart(now, w)
}

// observe records the work of a request that arrives. It is bounded, because clients state
// it: one that states any number must not make all others count as small.
func (q *WaitQueue) observe(w *Waiting) {
	if q.meanWork.count > 0 {
		w.Work = min(w.work(), maxRelativeWork*q.meanWork.value)
	}
	q.meanWork.add(w.work())
	q.shares.observe(w)
}

// StartFailed records that a request which had started was refused by its server
// and comes again, so that it does not count as served.
func (q *WaitQueue) StartFailed(now time.Time, w *Waiting) { q.shares.withdrawStart(now, w) }

func (q *WaitQueue) recordStart(now time.Time, w *Waiting) {
	q.started.add(now, 1)
	q.startedWork.add(now, w.work())
	q.shares.record(now, w, true)
}

// Started removes a request that has started, and adds its work to the team's work
// in progress.
func (q *WaitQueue) Started(now time.Time, id string) {
	w := q.items[id]
	if w == nil {
		return
	}
	q.recordStart(now, w)
	f := q.flows[flowKey{w.Team, w.Rank}]
	f.inProgress += w.work()
	q.levelSum += w.work() / f.weight
	q.Remove(id)
}

// Remove removes a request that no longer waits.
func (q *WaitQueue) Remove(id string) {
	w := q.items[id]
	if w == nil {
		return
	}
	q.forget(w)
	at := slices.IndexFunc(q.order, func(item *queued) bool { return item.Waiting == w })
	q.order = slices.Delete(q.order, at, at+1)
}

// forget removes a request from all but the order.
func (q *WaitQueue) forget(w *Waiting) {
	delete(q.items, w.ID)
	key := flowKey{w.Team, w.Rank}
	f := q.flows[key]
	q.levelSum -= w.work() / f.weight
	f.waiting -= w.work()
	f.length--
	if f.length == 0 {
		q.levelSum -= f.inProgress / f.weight
		delete(q.flows, key)
	}
}

// timeToStart returns how long an amount of work takes to start.
func (q *WaitQueue) timeToStart(now time.Time, work float64) time.Duration {
	return toDuration(work / max(q.startedWork.at(now), minStartRate*q.meanWork.valueOr(1)))
}

// ExpectedWait returns how long a request of a rank would wait behind all others of
// the rank and of more urgent ones.
func (q *WaitQueue) ExpectedWait(now time.Time, rank int) time.Duration {
	work := 0.0
	for _, item := range q.order {
		if item.Rank <= rank {
			work += item.work()
		}
	}
	return q.timeToStart(now, work)
}

// ReturnSpread returns the time over which refused requests must return so that
// they do not exceed the rate at which requests start: the time that the work
// refused within the given period takes to start.
func (q *WaitQueue) ReturnSpread(now time.Time, period time.Duration) time.Duration {
	return q.timeToStart(now, q.refusedWork.at(now)*period.Seconds())
}
