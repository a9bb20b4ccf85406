package link

import (
	"context"
	"sync"
)

// Queue hands frames from many goroutines to the one that writes a stream. It
// never blocks a producer; the consumer takes all waiting frames at once, so
// that they leave in one batch.
type Queue[T any] struct {
	mu    sync.Mutex
	items []T
	// spare is the slice that the last Take returned.
	spare  []T
	closed bool
	limit  int
	ready  chan struct{}
	// taken is closed by the next Take; nil while nobody waits for it.
	taken chan struct{}
}

// NewQueue returns a queue that closes itself when more than limit items wait.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, ready: make(chan struct{}, 1)}
}

// Push adds an item. It returns false when the queue is closed or full; a full
// queue closes, because a stream with a gap is worse than none.
func (q *Queue[T]) Push(item T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	if len(q.items) >= q.limit {
		q.closed = true
		q.signal()
		return false
	}
	q.items = append(q.items, item)
	q.signal()
	return true
}

// maxSpareItems bounds the slice that is used again, so that one burst does not
// hold its memory for ever.
const maxSpareItems = 1024

// Take returns all waiting items, in order, and whether the queue is still open.
// The slice is valid until the next Take.
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
	q.release()
	return items, !q.closed
}

// WaitBelow blocks while limit or more items wait in an open queue. It slows a
// producer of bulk data down to the speed of the consumer.
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

// release must be called with the lock held.
func (q *Queue[T]) release() {
	if q.taken != nil {
		close(q.taken)
		q.taken = nil
	}
}

// Close makes further pushes fail.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.release()
	q.signal()
}

// Ready signals that Take is worth calling.
func (q *Queue[T]) Ready() <-chan struct{} { return q.ready }

func (q *Queue[T]) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
