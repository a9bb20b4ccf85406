package relay

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

const (
	// defaultFirstEventTarget applies to routes without a target latency.
	defaultFirstEventTarget = 400 * time.Millisecond
	// passInterval is the time between two attempts to start waiting streams. Each
	// costs a search for a path.
	passInterval = 25 * time.Millisecond
	// candidatesPerPass is the number of streams of different teams that are tried
	// while no path has capacity for the first one: a smaller request may fit.
	candidatesPerPass = 2
)

// waitRefusal is the error of a stream that was refused while it waited for a path.
type waitRefusal struct {
	*admission.Refusal
	// noPath is the reason why no path was found in the latest attempt, if there was one.
	noPath error
}

func (e *waitRefusal) Error() string {
	if e.Reason == admission.WaitOver && e.noPath != nil {
		return e.noPath.Error()
	}
	return "too many requests wait for a path: " + e.Reason.String()
}

// Unwrap returns the reason why no path was found.
func (e *waitRefusal) Unwrap() error { return e.noPath }

// waitRoom holds the new streams of a model that wait for a path. A short wait
// answers a burst better than a refusal, after which the client returns a second
// later at best, and it puts the streams in order.
type waitRoom struct {
	mu       sync.Mutex
	queue    *admission.WaitQueue
	waiters  map[string]*pathWaiter
	sequence int64
	// running is set while run starts waiting streams.
	running bool
	// teamLoad returns what all entries have in progress for a team.
	teamLoad func(now time.Time, team string) float64
	waited   metrics.Histogram
	length   metrics.Gauge
	registry metrics.Registry
	byRank   map[int]*rankMetrics
}

// rankMetrics are the metrics of the streams of a rank.
type rankMetrics struct {
	waited  metrics.Histogram
	refused metrics.Counter
}

// pathWaiter is a stream that waits for a path.
type pathWaiter struct {
	admission.Waiting
	// ctx is that of the request.
	ctx  context.Context
	find pathFinder
	// unservable is set if no path would have room for the stream even if nothing else
	// ran. It is known once checked is set.
	unservable, checked bool
	// lastErr is the reason why no path was found in the latest attempt.
	lastErr error
	result  chan pathResult
}

// pathFinder looks for a path and reserves its capacity.
type pathFinder func(now time.Time) ([]pipeline.Hop, *reservation, error)

type pathResult struct {
	hops     []pipeline.Hop
	reserved *reservation
	err      error
}

func newWaitRoom(teamLoad func(time.Time, string) float64, registry metrics.Registry, model string) *waitRoom {
	return &waitRoom{
		queue: admission.NewWaitQueue(admission.DefaultWaitOptions()), waiters: map[string]*pathWaiter{}, teamLoad: teamLoad,
		waited:   metrics.GetOrRegisterHistogram("relay.path_wait_ms", registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)),
		length:   metrics.GetOrRegisterGauge("relay.waiting."+model, registry),
		registry: registry, byRank: map[int]*rankMetrics{},
	}
}

// await returns a path for a new stream. It waits for one until w.StartBy().
func (r *waitRoom) await(ctx context.Context, w *pathWaiter) ([]pipeline.Hop, *reservation, error) {
	w.ctx = ctx
	if result, done := r.enter(time.Now(), w); done {
		return result.hops, result.reserved, result.err
	}
	r.ensureRunning()
	select {
	case result := <-w.result:
		return result.hops, result.reserved, result.err
	case <-ctx.Done():
		r.leave(w)
		return nil, nil, ctx.Err()
	}
}

// ensureRunning starts run unless it runs already.
func (r *waitRoom) ensureRunning() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running {
		r.running = true
		go r.run()
	}
}

// run starts waiting streams until none is left.
func (r *waitRoom) run() {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !r.tick(time.Now()) {
			return
		}
	}
}

// enter starts a stream at once if nothing waits and a path has capacity, and
// queues it otherwise.
func (r *waitRoom) enter(now time.Time, w *pathWaiter) (pathResult, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.Len() == 0 {
		hops, reserved, err := w.find(now)
		if err == nil {
			r.queue.StartedAtOnce(now, &w.Waiting)
		}
		if err == nil || !w.StartBy().After(now) {
			return pathResult{hops, reserved, err}, true
		}
		w.lastErr = err
	}
	r.sequence++
	w.ID = strconv.FormatInt(r.sequence, 10)
	w.result = make(chan pathResult, 1)
	r.waiters[w.ID] = w
	if refusal := r.queue.Add(now, &w.Waiting); refusal != nil {
		r.refuse(refusal)
	}
	return pathResult{}, false
}

// leave removes a stream whose client no longer waits.
func (r *waitRoom) leave(w *pathWaiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiters[w.ID] != nil {
		r.queue.Remove(w.ID)
		r.finish(w.ID, pathResult{})
	}
	if result := <-w.result; result.reserved != nil {
		result.reserved.release()
	}
}

// tick starts waiting streams in their order until no path has capacity, refuses
// those that cannot start in time, and reports whether others still wait.
func (r *waitRoom) tick(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Refresh(now, func(team string) float64 { return r.teamLoad(now, team) })
	for r.startOne(now) {
	}
	for _, refusal := range r.queue.RefuseHopeless(now) {
		r.refuse(refusal)
	}
	r.length.Update(int64(r.queue.Len()))
	r.running = len(r.waiters) > 0
	return r.running
}

// startOne starts the first candidate for which a path has capacity.
func (r *waitRoom) startOne(now time.Time) bool {
	for _, candidate := range r.queue.Candidates(candidatesPerPass) {
		w := r.waiters[candidate.ID]
		if clientconn.Check(w.ctx) != nil {
			// Its own goroutine ends it.
			continue
		}
		hops, reserved, err := w.find(now)
		if err != nil {
			w.lastErr = err
			continue
		}
		r.queue.Started(now, w.ID)
		r.recordWait(now.Sub(w.Arrived), w.Rank)
		r.finish(w.ID, pathResult{hops: hops, reserved: reserved})
		return true
	}
	return false
}

// rankMetrics returns the metrics of a rank.
func (r *waitRoom) rankMetrics(rank int) *rankMetrics {
	m := r.byRank[rank]
	if m == nil {
		sample := metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)
		m = &rankMetrics{
			waited:  metrics.GetOrRegisterHistogram(fmt.Sprintf("relay.path_wait_ms.rank_%d", rank), r.registry, sample),
			refused: metrics.GetOrRegisterCounter(fmt.Sprintf("relay.path_refused.rank_%d", rank), r.registry),
		}
		r.byRank[rank] = m
	}
	return m
}

// recordWait records how long a stream that started has waited.
func (r *waitRoom) recordWait(waited time.Duration, rank int) {
	r.waited.Update(waited.Milliseconds())
	r.rankMetrics(rank).waited.Update(waited.Milliseconds())
}

// refuse ends the wait of a stream.
func (r *waitRoom) refuse(refusal *admission.Refusal) {
	r.rankMetrics(refusal.Rank).refused.Inc(1)
	r.finish(refusal.ID, pathResult{err: &waitRefusal{Refusal: refusal, noPath: r.waiters[refusal.ID].lastErr}})
}

// finish hands a result to a stream that no longer waits.
func (r *waitRoom) finish(id string, result pathResult) {
	w := r.waiters[id]
	delete(r.waiters, id)
	w.result <- result
}

// outlook is what a wait room expects for a stream that it has refused.
type outlook struct {
	waiting int
	// expected is when a stream of the rank would start, and spread the period over which
	// the streams that were refused a while ago must spread their returns.
	expected, spread time.Duration
}

func (r *waitRoom) outlook(now time.Time, rank int, while time.Duration) outlook {
	r.mu.Lock()
	defer r.mu.Unlock()
	return outlook{waiting: r.queue.Len(), expected: r.queue.ExpectedWait(now, rank), spread: r.queue.ReturnSpread(now, while)}
}

// startFailed records that a stream that had a path was refused by its engines.
func (r *waitRoom) startFailed(now time.Time, w *pathWaiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.StartFailed(now, &w.Waiting)
}

// waitRoom returns the wait room of a model.
func (e *Entry) waitRoom(model string) *waitRoom {
	e.waitRoomsMu.Lock()
	defer e.waitRoomsMu.Unlock()
	r := e.waitRooms[model]
	if r == nil {
		r = newWaitRoom(e.fleet.teamLoad, e.requestMetrics.registry, model)
		e.waitRooms[model] = r
	}
	return r
}
