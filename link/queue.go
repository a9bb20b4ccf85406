package link

import (
	"context"
	"sync"
)

// Queue passes frames from many goroutines to the one that writes a stream. Push
// never blocks. The consumer takes all queued frames at once, so that they are sent
// in one batch.
type Queue[T any] struct {
	mu    sync.Mutex
	items []T
	// spare is the slice that the last Take returned, kept for reuse.
	spare  []T
	closed bool
	limit  int
	ready  chan struct{}
	// taken is closed by the next Take or by Close; it is nil while nothing waits for it.
	taken chan struct{}
}

// NewQueue returns a queue that holds up to limit items and closes itself when
// another one is pushed.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, ready: make(chan struct{}, 1)}
}

// Push adds an item. It returns false if the queue is closed or full. A full queue
// closes, because a stream with missing frames is worse than a closed one.
func (q *Queue[T]) Push(item T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	if len(q.items) >= q.limit {
		q.closed = true
		q.notifyReady()
		return false
	}
	q.items = append(q.items, item)
	q.notifyReady()
	return true
}

// maxSpareItems is the largest capacity of a slice that is reused, so that the
// memory of a burst is released.
const maxSpareItems = 1024

// Take removes and returns all queued items, in order, and reports whether the
// queue is still open. The slice is valid until the next call.
func (q *Queue[T]) Take() ([]T, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	clear(q.spare)
	q.items = q.spare[:0]
	q.spare = nil
	if cap(items) <= maxSpareItems {
		q.spare = items
	}
	q.notifyTaken()
	return items, !q.closed
}

// WaitBelow blocks while the queue is open and holds limit or more items. It applies
// backpressure to producers of bulk data.
func (q *Queue[T]) WaitBelow(ctx context.Context, limit int) error {
	for {
		q.mu.Lock()
		if q.closed || len(q.items) < limit {
			q.mu.Unlock()
			return nil
		}
		if q.taken == nil {
			q.taken = make(chan struct{})
		}
		taken := q.taken
		q.mu.Unlock()
		select {
		case <-taken:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notifyTaken wakes all callers of WaitBelow. It must be called with the lock held.
func (q *Queue[T]) notifyTaken() {
	if q.taken != nil {
		close(q.taken)
		q.taken = nil
	}
}

// Close closes the queue. Queued items can still be taken, but Push fails.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notifyTaken()
	q.notifyReady()
}

// Ready returns a channel that receives a value when items were pushed or the queue
// was closed.
func (q *Queue[T]) Ready() <-chan struct{} { return q.ready }

func (q *Queue[T]) notifyReady() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
