package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

const (
	// maxPathDelay bounds the wait of a new stream for a path. A longer queue takes
	// each bit of capacity at once and keeps engines and links at their limits, where
	// all streams are late.
	maxPathDelay = 200 * time.Millisecond
	// maxPathDelayFraction bounds the wait as a fraction of the time that the client
	// has.
	maxPathDelayFraction = 1.0 / 3
	// passInterval is the time between two attempts to start waiting streams. Each
	// costs a search for a path.
	passInterval = 25 * time.Millisecond
	// candidatesPerPass is the number of streams of different teams that are tried
	// while no path has capacity for the first one: a smaller request may fit.
	candidatesPerPass = 2
)

// errQueueFull means that a stream cannot start before it would be given up.
var errQueueFull = errors.New("too many requests wait for a path")

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
}

// pathWaiter is a stream that waits for a path.
type pathWaiter struct {
	admission.Waiting
	find pathFinder
	// cost is the number of tokens of the request.
	cost float64
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
		waited: metrics.GetOrRegisterHistogram("relay.path_wait_ms", registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)),
		length: metrics.GetOrRegisterGauge("relay.waiting."+model, registry),
	}
}

// await returns a path for a new stream. It waits for one until w.GiveUpAt.
func (r *waitRoom) await(ctx context.Context, w *pathWaiter) ([]pipeline.Hop, *reservation, error) {
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
			r.queue.StartedAtOnce(now)
		}
		if err == nil || !w.GiveUpAt.After(now) {
			return pathResult{hops, reserved, err}, true
		}
		w.lastErr = err
	}
	r.sequence++
	w.ID = strconv.FormatInt(r.sequence, 10)
	w.result = make(chan pathResult, 1)
	r.waiters[w.ID] = w
	if refused := r.queue.Add(now, &w.Waiting); refused != nil {
		r.finish(refused.ID, pathResult{err: errQueueFull})
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
// those that have waited too long, and reports whether others still wait.
func (r *waitRoom) tick(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Refresh(now, func(team string) float64 { return r.teamLoad(now, team) })
	for r.startOne(now) {
	}
	for id, w := range r.waiters {
		if now.Before(w.GiveUpAt) {
			continue
		}
		r.queue.Remove(id)
		err := w.lastErr
		if err == nil {
			err = errQueueFull
		}
		r.finish(id, pathResult{err: err})
	}
	r.length.Update(int64(r.queue.Len()))
	r.running = len(r.waiters) > 0
	return r.running
}

// startOne starts the first candidate for which a path has capacity.
func (r *waitRoom) startOne(now time.Time) bool {
	for _, candidate := range r.queue.Candidates(candidatesPerPass) {
		w := r.waiters[candidate.ID]
		hops, reserved, err := w.find(now)
		if err != nil {
			w.lastErr = err
			continue
		}
		r.queue.Started(now, w.ID, w.cost)
		r.waited.Update(now.Sub(w.Arrived).Milliseconds())
		r.finish(w.ID, pathResult{hops: hops, reserved: reserved})
		return true
	}
	return false
}

// finish hands a result to a stream that no longer waits.
func (r *waitRoom) finish(id string, result pathResult) {
	w := r.waiters[id]
	delete(r.waiters, id)
	w.result <- result
}

// state returns the number of waiting streams and how long another one would wait.
func (r *waitRoom) state(now time.Time) (waiting int, expected time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Len(), r.queue.ExpectedWait(now)
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
