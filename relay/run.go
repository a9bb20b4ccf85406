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
	// streamBuffer is read at once from an engine.
	streamBuffer = 8 << 10
	// pause is how long a stream may stop before its engines are looked at.
	// Events are 10 to 50 ms apart.
	pause = 100 * time.Millisecond
	// glance is how long a stream may stop before it leaves engines that other
	// requests have found dead, and how often it looks for them from then on.
	glance = 50 * time.Millisecond
	// maxPause bounds the time between two looks at a stream that is merely slow.
	maxPause = 400 * time.Millisecond
	// maxSilence is how long a stream may stop in all. Callers leave after 2 s.
	maxSilence = 1500 * time.Millisecond
	// rerouteTimeout bounds the order that changes the path of a stream.
	rerouteTimeout = 300 * time.Millisecond
	// rerouteRetry is when a path around an engine that leaves is looked for again.
	rerouteRetry = 200 * time.Millisecond
	// maxReroutes bounds how often one run changes its path.
	maxReroutes = 6
)

var (
	// errSilent means that events stopped without a known cause.
	errSilent = errors.New("events stopped")
	// errPathLost means that an engine of the path is lost or leaves.
	errPathLost = errors.New("an engine of the path is lost")
)

// run is one run of a stream along a path.
type run struct {
	*streaming
	x    *exchange
	hops []pipeline.Hop
	// place is what the run holds of the engines' memory.
	place *reservation
	// changes is the fleet's count of changes that the run has looked at, and
	// lookAgain when it looks again without one.
	changes   int64
	lookAgain time.Time
	reroutes  int
	// pause is how long the run may stop before its engines are looked at. It grows
	// with each look that finds nothing, because each question has a price.
	pause time.Duration
}

// start sends the request along a path and passes its events on.
func (s *streaming) start(ctx context.Context, hops []pipeline.Hop, place *reservation) (v verdict, err error) {
	r := &run{streaming: s, hops: hops, place: place, changes: s.fleet.changes.Load(), pause: pause}
	defer func() { r.place.release() }()
	s.path, s.crossings = describe(hops), crossings(hops)
	head := hops[0]
	r.x, err = s.pool.open(ctx, head.Address, s.outbound(ForwardInfo{Instance: head.Engine, Path: hops, LastEvent: s.last}))
	if errors.Is(err, errNotSent) {
		s.distrust(head.Engine)
		return notSent, err
	}
	s.sends++
	if err == nil {
		err = r.awaitHeader(ctx)
	}
	if err != nil {
		return r.broken(ctx, err)
	}
	if r.x.answer.NotExecuted {
		s.drop(r.x)
		s.blame(r.x, head)
		return notRun, errors.Errorf("engine answered %d for %q", r.x.response.StatusCode, r.x.answer.FailedAddress)
	}
	if r.x.response.StatusCode != http.StatusOK {
		return s.passFailure(r.x)
	}
	return r.copy(ctx)
}

func (r *run) awaitHeader(ctx context.Context) error {
	if err := r.await(ctx); err != nil {
		return err
	}
	return r.x.header(r.wire)
}

// broken ends a run without a whole answer.
func (r *run) broken(ctx context.Context, err error) (verdict, error) {
	if r.x != nil {
		r.x.abandon()
	}
	if ctx.Err() == nil && !errors.Is(err, errPathLost) {
		r.avoid[r.hops[0].Engine] = true
	}
	return mayHaveRun, errors.Wrap(err, "stream broke off")
}

// await waits for bytes of the answer. While none come it finds out which engine
// the work waits for, and changes the path around engines that are lost. It gives
// the run up only when something better can follow: a stream that cannot run anew
// may still go on, and its caller leaves by itself when it does not.
func (r *run) await(ctx context.Context) error {
	for waited := time.Duration(0); ; waited += r.pause {
		silent, err := r.awaitOnce(ctx)
		switch {
		case err != nil && !errors.Is(err, errPathLost):
			return err
		case err == nil && !silent:
			return nil
		case err == nil && waited >= maxSilence:
			err = errSilent
		}
		if err != nil && r.mayGiveUp() {
			return err
		}
	}
}

// mayGiveUp tells whether the run may be ended without its engine's doing.
func (r *run) mayGiveUp() bool { return !r.begun || r.mayRestart() && r.hasOtherPath() }

// hasOtherPath tells whether another run would find a path now. Without one the
// present run is all that the caller has.
func (r *run) hasOtherPath() bool {
	need := r.need()
	need.AnswerStarted = true
	need.Exclude = maps.Clone(r.avoid)
	need.Exclude[r.hops[0].Engine] = true
	_, place, err := r.fleet.choosePath(time.Now(), r.revision, r.target, need)
	if err != nil {
		return false
	}
	place.release()
	return true
}

// awaitOnce waits for bytes, looks at the path while none come, and tells whether
// none have come.
func (r *run) awaitOnce(ctx context.Context) (silent bool, err error) {
	if err := r.checkPath(ctx); err != nil && r.mayGiveUp() {
		return false, err
	}
	for rest := r.pause; rest > 0; rest -= glance {
		err := r.x.await(min(glance, rest))
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return false, err
		}
		if err := r.leaveSuspects(ctx); err != nil && r.mayGiveUp() {
			return true, err
		}
	}
	if err := r.findStalled(ctx); err != nil {
		return true, err
	}
	r.pause = min(2*r.pause, maxPause)
	return true, nil
}

// leaveSuspects changes the path of a stream that stands still around engines that
// refusals have named.
func (r *run) leaveSuspects(ctx context.Context) error {
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

// findStalled asks the first engine for the engines that it waits for.
func (r *run) findStalled(ctx context.Context) error {
	stalled, err := r.stalls.ask(ctx, r.hops[0].Address)
	if errors.Is(err, errInconclusive) || ctx.Err() != nil {
		return nil
	}
	if err != nil {
		r.distrust(r.hops[0].Engine)
		return errPathLost
	}
	for _, address := range stalled {
		if server, known := r.fleet.byAddress(address); known {
			r.fleet.lose(time.Now(), server.ID)
		}
	}
	return nil
}

// checkPath changes the path when an engine of it is lost or leaves. The first
// engine cannot be replaced within a run: when it is lost the run ends, and while
// it leaves the run goes on.
func (r *run) checkPath(ctx context.Context) error {
	changes := r.fleet.changes.Load()
	if changes == r.changes && (r.lookAgain.IsZero() || time.Now().Before(r.lookAgain)) {
		return nil
	}
	r.changes, r.lookAgain = changes, time.Time{}
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
			r.lookAgain = time.Now().Add(rerouteRetry)
		}
		return err
	case slices.ContainsFunc(leaving, func(id string) bool { return id != head }):
		// A path that cannot be changed now goes on until it can or the engine is gone.
		if r.reroute(ctx) != nil {
			r.lookAgain = time.Now().Add(rerouteRetry)
		}
	}
	return nil
}

// reroute replaces the parts of the path after the first one. An engine that
// proves unable to run its part is replaced as well.
func (r *run) reroute(ctx context.Context) error {
	for r.reroutes < maxReroutes {
		hops, place, err := r.chooseOther()
		if err != nil {
			return errPathLost
		}
		r.reroutes++
		err = r.rerouteTo(ctx, hops, place)
		if err == nil {
			return nil
		}
		var missing *StageUnavailableError
		if !errors.As(err, &missing) {
			return errPathLost
		}
		server, known := r.fleet.byAddress(missing.Address)
		if !known || r.avoid[server.ID] {
			return errPathLost
		}
		r.suspect(server.ID)
	}
	return errPathLost
}

// chooseOther picks another path that begins with the same part. A stream that
// may run anew elsewhere uses no thin links for it.
func (r *run) chooseOther() ([]pipeline.Hop, *reservation, error) {
	need := r.need()
	need.CurrentPath, need.AnswerStarted, need.AvoidSlowLinks = r.hops, true, true
	hops, place, err := r.fleet.choosePath(time.Now(), r.revision, r.target, need)
	if err == nil || r.mayRestart() {
		return hops, place, err
	}
	need.AvoidSlowLinks = false
	return r.fleet.choosePath(time.Now(), r.revision, r.target, need)
}

// mayRestart tells whether the stream may go on with another run after this one.
func (r *run) mayRestart() bool {
	after := r.attempts
	after.Count(retry.Unknown)
	return r.streamLimits().Allow(after, retry.Unknown, r.route.Resumable) && r.budget(r.target).Left(time.Now()) >= 1
}

// rerouteTo orders the first engine to use a path.
func (r *run) rerouteTo(ctx context.Context, hops []pipeline.Hop, place *reservation) error {
	ctx, cancel := context.WithTimeout(ctx, rerouteTimeout)
	defer cancel()
	head := Server{Instance: membership.Instance{ID: hops[0].Engine, Address: hops[0].Address}}
	outcome, err := r.engines.Reroute(ctx, head, r.call.ID, hops)
	r.logReroute(hops, outcome, err)
	if outcome != OrderStarted && outcome != OrderAlreadyApplied {
		place.release()
		if err == nil {
			err = errPathLost
		}
		return err
	}
	r.place.release()
	r.place, r.hops = place, hops
	r.path += ";" + describe(hops)
	r.crossings = crossings(hops)
	return nil
}

func (r *run) logReroute(hops []pipeline.Hop, outcome OrderOutcome, err error) {
	if !r.logGate.allow(time.Now()) {
		return
	}
	line := logevent.Write(r.logger, logevent.StreamRerouted).Str("request", r.call.ID).Str("outcome", string(outcome)).
		Str("from", r.path).Str("to", describe(hops)).Int64("last_event", r.last)
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("")
}

// copy passes events on until the stream ends or breaks off.
func (r *run) copy(ctx context.Context) (verdict, error) {
	var splitter eventstream.Splitter
	buffer := make([]byte, streamBuffer)
	flusher := http.NewResponseController(r.w)
	for {
		n, err := r.read(ctx, buffer)
		splitter.Write(buffer[:n])
		if passed := r.passEvents(&splitter, r.x, flusher); passed != nil {
			return r.broken(ctx, passed)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && splitter.Pending() == 0:
			return r.complete(r.x)
		default:
			return r.broken(ctx, err)
		}
	}
}

// read waits for bytes of the stream and reads them.
func (r *run) read(ctx context.Context, buffer []byte) (int, error) {
	if err := r.await(ctx); err != nil {
		return 0, err
	}
	return r.x.response.Body.Read(buffer)
}
