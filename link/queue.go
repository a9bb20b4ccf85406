package link

import "sync"

// Queue hands frames from many goroutines to the one that writes a stream. It
// never blocks a producer; the consumer takes all waiting frames at once, so
// that they leave in one batch.
type Queue[T any] struct {
	mu     sync.Mutex
	items  []T
	closed bool
	limit  int
	ready  chan struct{}
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

// Take returns all waiting items, in order, and whether the queue is still open.
func (q *Queue[T]) Take() ([]T, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items, !q.closed
}

// Close makes further pushes fail.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
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
