package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
)

const (
	// stallCheckDelay is how long a stream may pass without an event before its
	// engines are checked. Events are 10 to 50 ms apart.
	stallCheckDelay = 100 * time.Millisecond
	// suspectCheckInterval is how long a stream may pass without an event before
	// it is rerouted around engines that other requests found dead, and the
	// interval of the checks after that.
	suspectCheckInterval = 50 * time.Millisecond
	// queryCheckInterval is the interval of the checks while a query is under way. The
	// stream is read meanwhile.
	queryCheckInterval = 10 * time.Millisecond
	// maxStallCheckDelay bounds the time between two checks of a stream that is
	// merely slow.
	maxStallCheckDelay = 400 * time.Millisecond
	// maxSilence is how long a stream may pass without an event before another
	// attempt replaces it. Clients disconnect after 2 s.
	maxSilence = 1800 * time.Millisecond
	// busyFirstEvents is how many times as long as usual a stream waits for its first
	// event before its first engine is taken for one that does not answer: under
	// overload, all streams wait long.
	busyFirstEvents = 4
	// progressNoteInterval is how often the progress of a stream is recorded for the
	// engines of its path.
	progressNoteInterval = 500 * time.Millisecond
	// minPatience is the least time without an event after which clients disconnect.
	// patienceTargets and patiencePauses are the same as multiples of the route's
	// targets for the first event and for the pause between events.
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
	// dripLimit is the time without an event, as a multiple of the clients' patience,
	// after which a stream that still sends bytes is broken off.
	dripLimit = 2
)

// errStreamStalled means that events stopped without a known cause.
var errStreamStalled = errors.New("events stopped")

// eventWatch acts while a stream passes without an event: it determines which
// engine the stream is waiting for and reroutes around lost engines. It measures
// events rather than bytes, because a broken engine may send comments or parts
// of an event without end.
//
// It abandons the attempt only once a successor has been accepted. A silent engine may
// still continue, and the client disconnects by itself if it doesn't. A stream that still
// sends bytes, but no event, would keep such a client and the engine busy until the
// deadline, so it is broken off.
type eventWatch struct {
	*attempt
	ctx context.Context
	// eventAt is when the last event arrived, and receivedThen the number of bytes
	// received until then.
	eventAt      time.Time
	receivedThen int64
	// answered is set once an event has arrived, and notedAt is when the progress of the
	// stream was last recorded for the engines of its path.
	answered bool
	notedAt  time.Time
	// checkAt is the time of the next check, and stallCheckedAt that of the last
	// query for stalled engines.
	checkAt, stallCheckedAt time.Time
	// stallDelay is the time without an event before the engines are queried. It
	// grows with each query that finds nothing, because a query costs the engine
	// time.
	stallDelay time.Duration
	// pending is the query for stalled engines that is under way.
	pending *stallQuery
	// reason is why the attempt should be given up, or nil. It holds until the next event
	// or another path.
	reason error
}

func newEventWatch(ctx context.Context, a *attempt) *eventWatch {
	w := &eventWatch{attempt: a, ctx: ctx, stallDelay: stallCheckDelay}
	w.restart()
	a.fleet.recordSent(w.eventAt, a.hops[0].Engine)
	return w
}

// recordProgress records that an event has arrived.
func (w *eventWatch) recordProgress() {
	if !w.answered {
		w.answered = true
		w.fleet.recordFirstEvent(time.Since(w.eventAt))
	}
	w.restart()
	if w.eventAt.Sub(w.notedAt) >= progressNoteInterval {
		w.notedAt = w.eventAt
		w.fleet.recordProgress(w.eventAt, w.hops)
	}
}

// restart measures the time without an event from now on.
func (w *eventWatch) restart() {
	w.eventAt, w.pending, w.reason = time.Now(), nil, nil
	w.receivedThen = w.x.conn.received
	w.checkAt = w.eventAt.Add(suspectCheckInterval)
}

func (w *eventWatch) nextCheck() time.Time { return w.checkAt }

func (w *eventWatch) check() error {
	if w.isDripping() {
		return errStreamStalled
	}
	w.checkAt = time.Now().Add(suspectCheckInterval)
	if err := w.findReason(); err != nil {
		w.reason = err
	}
	if w.reason == nil {
		return nil
	}
	if w.mayGiveUp(w.ctx) {
		return w.reason
	}
	w.checkAt = time.Now().Add(suspectCheckInterval)
	return nil
}

// findReason reroutes around lost engines, and returns why the attempt should be given up
// where that does not help.
func (w *eventWatch) findReason() error {
	reason := w.rerouteAroundSuspects(w.ctx)
	if w.shouldMoveInTime() {
		reason = errStreamStalled
	}
	if !w.queryIsOver() {
		return reason
	}
	if err := w.findLostEngine(); err != nil {
		reason = err
	} else if w.pending.showsNoCause() {
		w.noteUnanswered()
	}
	w.stallCheckedAt, w.pending = time.Now(), nil
	w.checkAt = w.stallCheckedAt.Add(suspectCheckInterval)
	if reason == nil && time.Since(w.eventAt) >= maxSilence {
		reason = errStreamStalled
	}
	return reason
}

// noteUnanswered records that the first engine has sent nothing by the time at which the
// first event is due, although it says that it works and waits for no other engine. New
// streams go around it, at all entries.
func (w *eventWatch) noteUnanswered() {
	due := max(minSilence, w.route.TargetLatency, busyFirstEvents*w.fleet.meanFirstEvent())
	if w.hasAnswer() || w.reroutes > 0 || time.Since(w.eventAt) < due {
		return
	}
	w.leaveUnanswered(w.hops[0].Engine, w.eventAt)
}

// hasAnswer reports whether the first engine has sent anything for this attempt.
func (w *eventWatch) hasAnswer() bool { return w.answered || w.x.conn.received > w.receivedThen }

// shouldMoveInTime reports whether the stream should begin at another engine because its
// first one is known to leave requests unanswered: half of the time until its first event
// is due is left for the other one.
func (w *eventWatch) shouldMoveInTime() bool {
	return !w.hasAnswer() && time.Since(w.eventAt) >= max(minSilence, w.route.TargetLatency/2) &&
		w.fleet.leavesUnanswered(time.Now(), w.hops[0].Engine)
}

// queryIsOver reports whether the result of a query can be looked at. It starts one when
// it is due, and does not wait for it: events may arrive meanwhile.
func (w *eventWatch) queryIsOver() bool {
	if w.pending == nil {
		if time.Since(w.eventAt) < w.stallDelay || time.Since(w.stallCheckedAt) < w.stallDelay {
			return false
		}
		if w.fleet.isLimited(w.hops[0].Engine) {
			// Queries would take the place of requests. Other streams show the same loss.
			return true
		}
		w.pending = w.stallChecker.start(w.hops[0].Address)
	}
	if !isClosed(w.pending.done) {
		w.checkAt = time.Now().Add(queryCheckInterval)
		return false
	}
	return true
}

// findLostEngine evaluates the query, if there was one, and reroutes around lost engines.
func (w *eventWatch) findLostEngine() error {
	if w.pending != nil {
		if err := w.markStalledEngines(w.pending); err != nil {
			return err
		}
	}
	w.stallDelay = min(2*w.stallDelay, maxStallCheckDelay)
	return w.checkPath(w.ctx)
}

// isDripping reports whether the stream has sent bytes, but no event, for so long
// that no client waits for it.
func (w *eventWatch) isDripping() bool {
	return time.Since(w.eventAt) >= dripLimit*clientPatience(w.route) && w.x.conn.received > w.receivedThen
}

// clientPatience returns how long clients of a route wait for an event before they
// disconnect.
func clientPatience(route *config.Route) time.Duration {
	return max(minPatience, patienceTargets*route.TargetLatency, patiencePauses*route.TargetEventInterval)
}
