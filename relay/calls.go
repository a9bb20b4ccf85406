package relay

import (
	"context"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/logevent"
)

// maxCallRefusals bounds how often a call is refused by servers before it ends.
const maxCallRefusals = 4

// callRoom holds the calls that wait at this entry because the servers of a service have
// refused calls a moment ago. It is safe for concurrent use.
type callRoom struct {
	mu    sync.Mutex
	queue admission.CallQueue
}

// callRoom returns the room of a service.
func (e *Entry) callRoom(service string) *callRoom {
	e.callRoomsMu.Lock()
	defer e.callRoomsMu.Unlock()
	room := e.callRooms[service]
	if room == nil {
		room = &callRoom{}
		e.callRooms[service] = room
	}
	return room
}

// await lets a call wait for its turn, and reports whether that came in time.
func (r *callRoom) await(ctx context.Context, c *admission.WaitingCall, slots int) bool {
	r.mu.Lock()
	r.queue.Add(c)
	r.mu.Unlock()
	for ctx.Err() == nil {
		now := time.Now()
		r.mu.Lock()
		ok, askAt := r.queue.Take(now, c, slots)
		r.mu.Unlock()
		if ok {
			return true
		}
		sleep(ctx, askAt.Sub(now))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Remove(c)
	return false
}

// expectedWait returns how long a call would wait, and how long the servers take for one.
func (r *callRoom) expectedWait(now time.Time, c *admission.WaitingCall, slots int) (wait, serviceTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.ExpectedWait(now, c, slots), r.queue.ServiceTime()
}

// serviceTime returns how long the servers take for a call.
func (r *callRoom) serviceTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.ServiceTime()
}

// isWaiting reports whether calls wait.
func (r *callRoom) isWaiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Len() > 0
}

func (r *callRoom) recordAnswer(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Answered(took)
}

func (r *callRoom) recordRefusal(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Refused(now)
}

// waitingCall describes the request for the order of waiting.
func (q *request) waitingCall() *admission.WaitingCall {
	due := q.deadline
	if q.route.TargetLatency > 0 {
		due = q.started.Add(q.route.TargetLatency)
	}
	return &admission.WaitingCall{Rank: q.rank, Arrived: q.started, Due: due, GiveUpAt: q.deadline}
}

// awaitTurn lets the call wait until servers may have room. It returns false if its time
// does not allow that.
func (q *request) awaitTurn(ctx context.Context) bool {
	room, call, entered := q.callRoom(q.target), q.waitingCall(), time.Now()
	slots := q.fleet.serviceSlots(q.target)
	wait, serviceTime := room.expectedWait(entered, call, slots)
	q.waiting, q.expectedWait = room.waitingCount(), wait
	if wait+serviceTime > q.timeLeft() {
		return false
	}
	ok := room.await(ctx, call, slots)
	waited := time.Since(entered)
	q.waited += waited
	metrics.GetOrRegisterCounter("relay.calls_waited", q.requestMetrics.registry).Inc(1)
	if q.logLimiter.allow(entered) {
		logevent.Write(q.logger, logevent.CallWaited).Str("request", q.info.ID).Str("target", q.target).Int("rank", q.rank).
			Int("slots", slots).Dur("expected_wait_ms", wait).Dur("waited_ms", waited).Dur("service_ms", serviceTime).
			Dur("left_ms", q.timeLeft()).Bool("started", ok).Msg("")
	}
	return ok
}

func (r *callRoom) waitingCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Len()
}
