package relay

import (
	"context"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/eventstream"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/retry"
)

const (
	// streamBufferSize is read at once from an engine.
	streamBufferSize = 8 << 10
	// stallCheckDelay is how long a stream may stop before its engines are looked at.
	// Events are 10 to 50 ms apart.
	stallCheckDelay = 100 * time.Millisecond
	// suspectCheckInterval is how long a stream may stop before it leaves engines that other
	// requests have found dead, and how often it looks for them from then on.
	suspectCheckInterval = 50 * time.Millisecond
	// maxStallCheckDelay bounds the time between two looks at a stream that is merely slow.
	maxStallCheckDelay = 400 * time.Millisecond
	// maxSilence is how long a stream may stop in all. Callers leave after 2 s.
	maxSilence = 1500 * time.Millisecond
	// rerouteTimeout bounds the order that changes the path of a stream.
	rerouteTimeout = 300 * time.Millisecond
	// rerouteRetryDelay is when a path around an engine that leaves is looked for again.
	rerouteRetryDelay = 200 * time.Millisecond
	// maxReroutes bounds how often one run changes its path.
	maxReroutes = 6
)

var (
	// errStreamStalled means that events stopped without a known cause.
	errStreamStalled = errors.New("events stopped")
	// errPathLost means that an engine of the path is lost or leaves.
	errPathLost = errors.New("an engine of the path is lost")
)

// attempt is one run of a stream along a path.
type attempt struct {
	*streamRequest
	x    *exchange
	hops []pipeline.Hop
	// reserved is what the run holds of the engines' memory.
	reserved *reservation
	// seenChanges is the fleet's count of changes that the run has looked at, and
	// recheckAt when it looks again without one.
	seenChanges int64
	recheckAt   time.Time
	reroutes    int
	// stallCheckDelay is how long the run may stop before its engines are looked at. It grows
	// with each look that finds nothing, because each question has a price.
	stallCheckDelay time.Duration
}

// tryPath sends the request along a path and passes its events on.
func (s *streamRequest) tryPath(ctx context.Context, hops []pipeline.Hop, place *reservation) (v attemptResult, err error) {
	r := &attempt{streamRequest: s, hops: hops, reserved: place, seenChanges: s.fleet.changes.Load(), stallCheckDelay: stallCheckDelay}
	defer func() { r.reserved.release() }()
	s.path, s.zoneCrossings = pathString(hops), zoneCrossings(hops)
	head := hops[0]
	r.x, err = s.pool.open(ctx, head.Address, s.buildOutbound(Send{Instance: head.Engine, Path: hops, LastEvent: s.lastEventID}))
	if errors.Is(err, errNotSent) {
		s.markEngineLost(head.Engine)
		return notSent, err
	}
	s.sentCount++
	if err == nil {
		err = r.awaitHeader(ctx)
	}
	if err != nil {
		return r.abort(ctx, err)
	}
	if r.x.info.NotRun {
		s.discardResponse(r.x)
		s.avoidFailedEngine(r.x, head)
		return notExecuted, errors.Errorf("engine answered %d for %q", r.x.response.StatusCode, r.x.info.Culprit)
	}
	if r.x.response.StatusCode != http.StatusOK {
		return s.forwardFailure(r.x)
	}
	return r.forwardEvents(ctx)
}

func (r *attempt) awaitHeader(ctx context.Context) error {
	if err := r.awaitData(ctx); err != nil {
		return err
	}
	return r.x.readResponse(r.headerCodec)
}

// abort ends a run without a whole answer.
func (r *attempt) abort(ctx context.Context, err error) (attemptResult, error) {
	if r.x != nil {
		r.x.close()
	}
	if ctx.Err() == nil && !errors.Is(err, errPathLost) {
		r.avoid[r.hops[0].Engine] = true
	}
	return mayHaveExecuted, errors.Wrap(err, "stream broke off")
}

// awaitData waits for bytes of the answer. While none come it finds out which engine
// the work waits for, and changes the path around engines that are lost. It gives
// the run up only when something better can follow: a stream that cannot run anew
// may still go on, and its caller leaves by itself when it does not.
func (r *attempt) awaitData(ctx context.Context) error {
	for waited := time.Duration(0); ; waited += r.stallCheckDelay {
		silent, err := r.awaitDataOnce(ctx)
		switch {
		case err != nil && !errors.Is(err, errPathLost):
			return err
		case err == nil && !silent:
			return nil
		case err == nil && waited >= maxSilence:
			err = errStreamStalled
		}
		if err != nil && r.mayGiveUp() {
			return err
		}
	}
}

// mayGiveUp tells whether the run may be ended without its engine's doing.
func (r *attempt) mayGiveUp() bool { return !r.headerSent || r.canRetry() && r.hasAlternativePath() }

// hasAlternativePath tells whether another run would find a path now. Without one the
// present run is all that the caller has.
func (r *attempt) hasAlternativePath() bool {
	need := r.pathRequest()
	need.Begun = true
	need.Avoid = maps.Clone(r.avoid)
	need.Avoid[r.hops[0].Engine] = true
	_, place, err := r.fleet.choosePath(time.Now(), r.revision, r.target, need)
	if err != nil {
		return false
	}
	place.release()
	return true
}

// awaitDataOnce waits for bytes, looks at the path while none come, and tells whether
// none have come.
func (r *attempt) awaitDataOnce(ctx context.Context) (silent bool, err error) {
	if err := r.checkPath(ctx); err != nil && r.mayGiveUp() {
		return false, err
	}
	for rest := r.stallCheckDelay; rest > 0; rest -= suspectCheckInterval {
		err := r.x.awaitData(min(suspectCheckInterval, rest))
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return false, err
		}
		if err := r.rerouteAroundSuspects(ctx); err != nil && r.mayGiveUp() {
			return true, err
		}
	}
	if err := r.markStalledEngines(ctx); err != nil {
		return true, err
	}
	r.stallCheckDelay = min(2*r.stallCheckDelay, maxStallCheckDelay)
	return true, nil
}

// rerouteAroundSuspects changes the path of a stream that stands still around engines that
// refusals have named.
func (r *attempt) rerouteAroundSuspects(ctx context.Context) error {
	ids := r.fleet.avoidedOn(time.Now(), r.hops)
	if len(ids) == 0 {
		return nil
	}
	for _, id := range ids {
		r.avoid[id] = true
	}
	if r.reroute(ctx) != nil {
		return errPathLost
	}
	return nil
}

// markStalledEngines asks the first engine for the engines that it waits for.
func (r *attempt) markStalledEngines(ctx context.Context) error {
	stalled, err := r.stallChecker.stalledEngines(ctx, r.hops[0].Address)
	if errors.Is(err, errInconclusive) || ctx.Err() != nil {
		return nil
	}
	if err != nil {
		r.markEngineLost(r.hops[0].Engine)
		return errPathLost
	}
	for _, address := range stalled {
		if server, known := r.fleet.byAddress(address); known {
			r.fleet.markLost(time.Now(), server.ID)
		}
	}
	return nil
}

// checkPath changes the path when an engine of it is lost or leaves. The first
// engine cannot be replaced within a run: when it is lost the run ends, and while
// it leaves the run goes on.
func (r *attempt) checkPath(ctx context.Context) error {
	changes := r.fleet.changes.Load()
	if changes == r.seenChanges && (r.recheckAt.IsZero() || time.Now().Before(r.recheckAt)) {
		return nil
	}
	r.seenChanges, r.recheckAt = changes, time.Time{}
	lost, leaving := r.fleet.unusable(r.hops)
	for _, id := range append(lost, leaving...) {
		r.avoid[id] = true
	}
	switch head := r.hops[0].Engine; {
	case slices.Contains(lost, head):
		return errPathLost
	case len(lost) > 0:
		err := r.reroute(ctx)
		if err != nil {
			r.recheckAt = time.Now().Add(rerouteRetryDelay)
		}
		return err
	case slices.ContainsFunc(leaving, func(id string) bool { return id != head }):
		// A path that cannot be changed now goes on until it can or the engine is gone.
		if r.reroute(ctx) != nil {
			r.recheckAt = time.Now().Add(rerouteRetryDelay)
		}
	}
	return nil
}

// reroute replaces the parts of the path after the first one. An engine that
// proves unable to run its part is replaced as well.
func (r *attempt) reroute(ctx context.Context) error {
	for r.reroutes < maxReroutes {
		hops, place, err := r.chooseReroute()
		if err != nil {
			return errPathLost
		}
		r.reroutes++
		err = r.applyReroute(ctx, hops, place)
		if err == nil {
			return nil
		}
		var missing *PartMissingError
		if !errors.As(err, &missing) {
			return errPathLost
		}
		server, known := r.fleet.byAddress(missing.Address)
		if !known || r.avoid[server.ID] {
			return errPathLost
		}
		r.suspectEngine(server.ID)
	}
	return errPathLost
}

// chooseReroute picks another path that begins with the same part. A stream that
// may run anew elsewhere uses no thin links for it.
func (r *attempt) chooseReroute() ([]pipeline.Hop, *reservation, error) {
	need := r.pathRequest()
	need.Held, need.Begun, need.NoThinLinks = r.hops, true, true
	hops, place, err := r.fleet.choosePath(time.Now(), r.revision, r.target, need)
	if err == nil || r.canRetry() {
		return hops, place, err
	}
	need.NoThinLinks = false
	return r.fleet.choosePath(time.Now(), r.revision, r.target, need)
}

// canRetry tells whether the stream may go on with another run after this one.
func (r *attempt) canRetry() bool {
	after := r.attempts
	after.Count(retry.Unknown)
	return r.streamLimits().Allow(after, retry.Unknown, r.route.Resumable) && r.budget(r.target).Left(time.Now()) >= 1
}

// applyReroute orders the first engine to use a path.
func (r *attempt) applyReroute(ctx context.Context, hops []pipeline.Hop, place *reservation) error {
	ctx, cancel := context.WithTimeout(ctx, rerouteTimeout)
	defer cancel()
	head := Server{Instance: membership.Instance{ID: hops[0].Engine, Address: hops[0].Address}}
	outcome, err := r.engines.Reroute(ctx, head, r.info.ID, hops)
	r.logReroute(hops, outcome, err)
	if outcome != OrderBegun && outcome != OrderHolds {
		place.release()
		if err == nil {
			err = errPathLost
		}
		return err
	}
	r.reserved.release()
	r.reserved, r.hops = place, hops
	r.path += ";" + pathString(hops)
	r.zoneCrossings = zoneCrossings(hops)
	return nil
}

func (r *attempt) logReroute(hops []pipeline.Hop, outcome OrderOutcome, err error) {
	if !r.logLimiter.allow(time.Now()) {
		return
	}
	line := logevent.Write(r.logger, logevent.StreamRerouted).Str("request", r.info.ID).Str("outcome", string(outcome)).
		Str("from", r.path).Str("to", pathString(hops)).Int64("last_event", r.lastEventID)
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("")
}

// forwardEvents passes events on until the stream ends or breaks off.
func (r *attempt) forwardEvents(ctx context.Context) (attemptResult, error) {
	var splitter eventstream.Splitter
	buffer := make([]byte, streamBufferSize)
	flusher := http.NewResponseController(r.w)
	for {
		n, err := r.read(ctx, buffer)
		splitter.Write(buffer[:n])
		if passed := r.writeEvents(&splitter, r.x, flusher); passed != nil {
			return r.abort(ctx, passed)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && splitter.Pending() == 0:
			return r.complete(r.x)
		default:
			return r.abort(ctx, err)
		}
	}
}

// read waits for bytes of the stream and reads them.
func (r *attempt) read(ctx context.Context, buffer []byte) (int, error) {
	if err := r.awaitData(ctx); err != nil {
		return 0, err
	}
	return r.x.response.Body.Read(buffer)
}
