package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
)

// phase is how far a request has come.
type phase string

const (
	phaseArriving   phase = "arriving"
	phaseWaiting    phase = "waiting"
	phaseConnecting phase = "connecting"
	phaseSent       phase = "sent"
	phaseAnswering  phase = "answering"
)

// clientWatch records when the client of a request was found to have left.
type clientWatch struct {
	// leftAt is in Unix nanoseconds, or 0 while the client is there.
	leftAt atomic.Int64
	// cancel ends the watch. It reports false if the client has left.
	cancel func() bool
}

// watchClient watches the context of a client's request.
func watchClient(ctx context.Context) *clientWatch {
	w := &clientWatch{}
	w.cancel = context.AfterFunc(ctx, w.recordLeft)
	return w
}

func (w *clientWatch) recordLeft() { w.leftAt.CompareAndSwap(0, time.Now().UnixNano()) }

// stop ends the watch, so that the end of the request is not taken for the client's.
func (w *clientWatch) stop() {
	if !w.cancel() {
		// The function may not have run yet.
		w.recordLeft()
	}
}

// left returns when the client was found to have left, if it has.
func (w *clientWatch) left() (time.Time, bool) {
	nanos := w.leftAt.Load()
	return time.Unix(0, nanos), nanos != 0
}

// recordClientLeft counts a request whose client has left, by how far it had come, and
// how long the entry took to end it.
func (m *requestMetrics) recordClientLeft(q *request, now time.Time) {
	metrics.GetOrRegisterCounter("relay.clients_left."+string(q.phase), m.registry).Inc(1)
	if leftAt, left := q.client.left(); left {
		m.clientLeftEnd.Update(now.Sub(leftAt).Milliseconds())
	}
}

// describeClientLeft adds to a request's log line where the request was when its client
// left, how long before that it was last sent to a server, and how long after it ended.
func (q *request) describeClientLeft(line *log.Entry, now time.Time) *log.Entry {
	line = line.Str("phase", string(q.phase))
	leftAt, left := q.client.left()
	if !left {
		return line
	}
	line = line.Dur("left_after_ms", leftAt.Sub(q.started)).Dur("ended_after_ms", now.Sub(leftAt))
	if !q.sentAt.IsZero() {
		line = line.Dur("sent_before_ms", leftAt.Sub(q.sentAt))
	}
	return line
}
