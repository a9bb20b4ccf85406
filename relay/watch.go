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
// It abandons the attempt only if there is a better option. A silent stream that
// cannot be retried may still continue, and its client disconnects by itself if
// it doesn't. A stream that still sends bytes, but no event, would keep such a
// client and the engine busy until the deadline, so it is broken off.
type eventWatch struct {
	*attempt
	ctx context.Context
	// eventAt is when the last event arrived, and receivedThen the number of bytes
	// received until then.
	eventAt      time.Time
	receivedThen int64
	// checkAt is the time of the next check, and stallCheckedAt that of the last
	// query for stalled engines.
	checkAt, stallCheckedAt time.Time
	// stallDelay is the time without an event before the engines are queried. It
	// grows with each query that finds nothing, because a query costs the engine
	// time.
	stallDelay time.Duration
	// pending is the query for stalled engines that is under way.
	pending *stallQuery
}

func newEventWatch(ctx context.Context, a *attempt) *eventWatch {
	w := &eventWatch{attempt: a, ctx: ctx, stallDelay: stallCheckDelay}
	w.recordProgress()
	return w
}

// recordProgress records that an event has arrived.
func (w *eventWatch) recordProgress() {
	w.eventAt, w.pending = time.Now(), nil
	w.receivedThen = w.x.conn.received
	w.checkAt = w.eventAt.Add(suspectCheckInterval)
}

func (w *eventWatch) nextCheck() time.Time { return w.checkAt }

func (w *eventWatch) check() error {
	w.checkAt = time.Now().Add(suspectCheckInterval)
	if err := w.rerouteAroundSuspects(w.ctx); err != nil && w.mayGiveUp() {
		return err
	}
	if w.isDripping() {
		return errStreamStalled
	}
	if !w.queryIsOver() {
		return nil
	}
	err := w.findLostEngine()
	w.stallCheckedAt, w.pending = time.Now(), nil
	w.checkAt = w.stallCheckedAt.Add(suspectCheckInterval)
	if err == nil && time.Since(w.eventAt) >= maxSilence {
		err = errStreamStalled
	}
	if err != nil && w.mayGiveUp() {
		return err
	}
	return nil
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
