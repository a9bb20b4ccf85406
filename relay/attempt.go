package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/eventstream"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/netpeek"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/retry"
)

const (
	// streamBufferSize is the size of one read from an engine.
	streamBufferSize = 8 << 10
	// rerouteTimeout bounds the order that changes the path of a stream.
	rerouteTimeout = 300 * time.Millisecond
	// rerouteRetryDelay is the time until the next search for a path around an
	// engine that is leaving.
	rerouteRetryDelay = 200 * time.Millisecond
	// maxReroutes bounds the path changes of one attempt.
	maxReroutes = 6
	// departureSpread is the time over which streams leave an engine that is about to
	// stop. The engines that take them over process their prompts one after another. Such
	// an engine serves for some 3 s after it has said so.
	departureSpread = time.Second
)

// errStalledOn means that an engine reports requests that wait for another one.
var errStalledOn = errors.New("requests wait for this engine")

// errPathLost means that an engine of the path is lost or leaving.
var errPathLost = errors.New("an engine of the path is lost")

// attempt is one execution of a stream request along a path.
type attempt struct {
	*streamRequest
	x    *exchange
	hops []pipeline.Hop
	// reserved is the engine capacity that the attempt holds.
	reserved *reservation
	// seenChanges is the fleet's change count at the last path check. recheckAt is
	// the time of the next check if there is no change.
	seenChanges int64
	recheckAt   time.Time
	// departAt is when the attempt leaves the engines of its path that are about to stop.
	departAt time.Time
	reroutes int
	watch    *eventWatch
	// head is the process of the first engine, which a prompt part may crash.
	head crashedEngine
	// progressSince is when the first event of this attempt arrived. soundAt is when
	// its prompt parts were last recorded as sound.
	progressSince, soundAt time.Time
	// lossReported is set once the request is suspected of the loss of a later engine.
	lossReported bool
	// startTimes are those of the engines of the path, as the processes that they were when
	// the request was sent along it.
	startTimes []int64
	// stageLost is set once a later engine of the path has been lost, until the next event:
	// the first engine may have cut the stream off meanwhile.
	stageLost bool
	// isSuccessor is set while the attempt is to take over from another one.
	isSuccessor bool
}

func (s *streamRequest) newAttempt(hops []pipeline.Hop, reserved *reservation) *attempt {
	a := &attempt{streamRequest: s, hops: hops, reserved: reserved, seenChanges: s.fleet.changes.Load(), startTimes: s.fleet.startTimesOf(hops)}
	a.head = crashedEngine{hops[0].Engine, a.startTimes[0]}
	return a
}

// tryPath sends the request along a path and forwards its events.
func (s *streamRequest) tryPath(ctx context.Context, hops []pipeline.Hop, reserved *reservation) (result attemptResult, err error) {
	a := s.newAttempt(hops, reserved)
	defer func() { a.reserved.release() }()
	s.path, s.zoneCrossings = pathString(hops), zoneCrossings(hops)
	s.phase = phaseConnecting
	if result, err := a.start(ctx); err != nil {
		return result, err
	}
	if a.x.response.StatusCode != http.StatusOK {
		return s.forwardFailure(ctx, a.x, a.stageServer(0))
	}
	if err := a.accept(); err != nil {
		return mayHaveExecuted, err
	}
	return a.forwardEvents(ctx)
}

// start sends the request to the first engine of the path and reads the header of its
// response, which is not a refusal if there is no error.
func (a *attempt) start(ctx context.Context) (result attemptResult, err error) {
	head, sent := a.hops[0], time.Now()
	a.x, err = a.pool.open(ctx, head.Address, a.buildOutbound(ForwardInfo{Instance: head.Engine, Path: a.hops, LastEvent: a.lastEventID}))
	if errors.Is(err, errNotSent) {
		// The connection also fails when the client leaves or this process is held up.
		a.avoid[head.Engine] = true
		if ctx.Err() == nil && !a.pause.wasHeldUp(bootclock.Now()) && a.stallChecker.believes(err, head.Address) {
			a.loseEngine(head.Engine, err)
		}
		return notSent, err
	}
	a.recordSent(sent)
	if err == nil {
		a.watch = newEventWatch(ctx, a)
		a.x.conn.watch = a.watch
		err = a.x.readResponse(a.headerCodec)
	}
	if err != nil {
		return a.abort(ctx, err)
	}
	a.observeResponse(head.Engine, a.info.ID, a.x)
	if a.x.info.NotExecuted {
		a.x.discard()
		a.avoidFailedEngine(a.x, head)
		return notExecuted, errors.Errorf("engine answered %d for %q", a.x.response.StatusCode, a.x.info.FailedAddress)
	}
	return answered, nil
}

// accept checks that a response with a success status is the stream that was asked for.
func (a *attempt) accept() error {
	if err := a.checkStream(a.x); err != nil {
		a.x.discard()
		return err
	}
	a.fleet.acceptStages(a.hops, a.x.sentAt)
	return nil
}

// abort ends an attempt without a complete response.
func (a *attempt) abort(ctx context.Context, err error) (attemptResult, error) {
	if a.x != nil {
		a.x.close()
	}
	if ctx.Err() == nil {
		a.reportCrash(ctx, err)
	} else if head, known := a.headServer(); known && a.soundAt.IsZero() {
		a.reportLeft(head)
	}
	if ctx.Err() == nil && !errors.Is(err, errPathLost) {
		a.avoid[a.hops[0].Engine] = true
	}
	return mayHaveExecuted, errors.Wrap(err, "stream broke off")
}

// reportCrash suspects the prompt's parts if the first engine has crashed before it
// answered for long. If the engine responds, its next record shows whether it has
// restarted. Another attempt may follow, so it waits until that is known, as long as the
// request's time lasts.
func (a *attempt) reportCrash(ctx context.Context, err error) {
	parts := a.suspectParts()
	if !a.soundAt.IsZero() || !a.crashes.hasUnknownPart(time.Now(), parts) {
		return
	}
	e, request, head, address := a.Entry, a.info.ID, a.head, a.hops[0].Address
	server, known := a.headServer()
	hasEnded := known && netpeek.IsConnectionEnd(err)
	awaitWhile(ctx, func() {
		switch {
		case e.verifySuspect(head.id, address), e.stallChecker.startTimeMillis(address) > head.startTimeMillis:
			e.crashes.recordCrash(time.Now(), request, head, parts)
		case hasEnded:
			e.crashes.recordEnd(time.Now(), server, request, parts)
		}
	})
}

// headServer returns the process of the first engine to which the request was sent.
func (a *attempt) headServer() (server Server, known bool) {
	server, known = a.fleet.snapshot()[a.head.id]
	server.StartTimeMillis = a.head.startTimeMillis
	return server, known
}

// reportLostStages suspects the request of the loss of an engine of its path after the
// first, if that came before the answer had gone on for long: such an engine does not
// break the stream off when it crashes. Only the request itself is suspected, and of one
// loss in each attempt. When many engines are lost for another reason, parts that all
// prompts share would otherwise be blamed for all of them.
func (a *attempt) reportLostStages(lost []string) {
	if a.lossReported || !a.soundAt.IsZero() {
		return
	}
	for _, id := range lost {
		if id != a.head.id {
			a.lossReported = true
			crash := crashedEngine{id, a.fleet.snapshot()[id].StartTimeMillis}
			a.crashes.recordCrash(time.Now(), a.info.ID, crash, []string{a.content()})
			return
		}
	}
}

// recordSound records that the prompt's parts are sound once the answer has gone on
// for a while.
func (a *attempt) recordSound(now time.Time) {
	if a.progressSince.IsZero() {
		a.progressSince = now
	}
	if now.Sub(a.progressSince) >= soundProgress && now.Sub(a.soundAt) >= soundInterval {
		a.soundAt = now
		a.observeSoundStream(now)
	}
}

// observeSoundStream records that neither the prompt's parts nor the request as a whole
// crash engines.
func (a *attempt) observeSoundStream(now time.Time) {
	if len(a.info.PromptParts) > 0 {
		a.crashes.observeSound(now, a.info.PromptParts)
	}
	a.observeAnswered()
}

// rerouteAroundSuspects changes the path of a silent stream around engines
// that were named as the cause of refusals and do not respond.
func (a *attempt) rerouteAroundSuspects(ctx context.Context) error {
	ids := a.fleet.suspectsOn(time.Now(), a.hops)
	if len(ids) == 0 {
		return nil
	}
	for _, id := range ids {
		a.avoid[id] = true
	}
	if a.reroute(ctx) != nil {
		return errPathLost
	}
	return nil
}

// markStalledEngines marks the engines as lost that the stream waits for, or the first
// one if it is silent.
func (a *attempt) markStalledEngines(q *stallQuery) error {
	if errors.Is(q.err, ErrNoResponse) {
		a.markEngineLost(a.hops[0].Engine, q.err)
		return errPathLost
	}
	for _, address := range q.stalled {
		if server, known := a.fleet.byAddress(address); known {
			a.loseEngine(server.ID, errStalledOn)
		}
	}
	return nil
}

// checkPath reroutes when an engine of the path is lost or leaving. The first
// engine cannot be replaced within an attempt: if it is lost, the attempt
// ends; if it is leaving, the attempt continues.
func (a *attempt) checkPath(ctx context.Context) error {
	changes := a.fleet.changes.Load()
	if changes == a.seenChanges && (a.recheckAt.IsZero() || time.Now().Before(a.recheckAt)) {
		return nil
	}
	a.seenChanges, a.recheckAt = changes, time.Time{}
	lost, leaving := a.fleet.unusable(a.hops)
	a.reportLostStages(lost)
	for _, id := range append(lost, leaving...) {
		a.avoid[id] = true
	}
	switch head := a.hops[0].Engine; {
	case slices.Contains(lost, head):
		return errPathLost
	case len(lost) > 0:
		a.stageLost = true
		err := a.reroute(ctx)
		if err != nil {
			a.recheckAt = time.Now().Add(rerouteRetryDelay)
		}
		return err
	case slices.ContainsFunc(leaving, func(id string) bool { return id != head }):
		if wait := a.departure(time.Now(), a.fleet.randomFloat()); wait > 0 {
			a.recheckAt = a.departAt
			return nil
		}
		// If the path cannot be changed now, the attempt stays on it until it can or
		// the engine is gone.
		if a.reroute(ctx) != nil {
			a.recheckAt = time.Now().Add(rerouteRetryDelay)
		}
	}
	return nil
}

// departure returns how long the attempt stays on engines that are about to stop. When
// an engine leaves, all its streams learn of it at the same moment, at all entries; random
// chooses the attempt's own moment, which holds until its path has changed.
func (a *attempt) departure(now time.Time, random float64) time.Duration {
	if a.departAt.IsZero() {
		a.departAt = now.Add(time.Duration(random * float64(departureSpread)))
	}
	return a.departAt.Sub(now)
}

// reroute replaces all stages of the path after the first. It also avoids an
// engine that turns out to be unable to run its stage.
func (a *attempt) reroute(ctx context.Context) error {
	if !a.mayRepeat() {
		return errPathLost
	}
	for a.reroutes < maxReroutes {
		hops, reserved, err := a.chooseReroute()
		if err != nil {
			return errPathLost
		}
		a.reroutes++
		err = a.applyReroute(ctx, hops, reserved)
		if err == nil {
			return nil
		}
		var unavailable *StageUnavailableError
		if !errors.As(err, &unavailable) {
			return errPathLost
		}
		server, known := a.fleet.byAddress(unavailable.Address)
		if !known || a.avoid[server.ID] {
			return errPathLost
		}
		a.suspectEngine(server.ID)
	}
	return errPathLost
}

// chooseReroute picks another path that starts with the same stage. A stream
// that may be retried elsewhere avoids low-bandwidth links.
func (a *attempt) chooseReroute() ([]pipeline.Hop, *reservation, error) {
	req := a.pathRequest()
	req.CurrentPath, req.AnswerStarted, req.AvoidSlowLinks = a.hops, true, true
	hops, reserved, err := a.fleet.choosePath(time.Now(), a.revision, a.target, a.team, req)
	if err == nil || a.canRetry() {
		return hops, reserved, err
	}
	req.AvoidSlowLinks = false
	return a.fleet.choosePath(time.Now(), a.revision, a.target, a.team, req)
}

// canRetry reports whether the stream may continue with another attempt.
func (a *attempt) canRetry() bool {
	after := a.attempts
	after.Count(retry.Unknown)
	return a.streamLimits().Allow(after, retry.Unknown, a.isRepeatable()) && a.budget(a.target).Left(time.Now()) >= 1
}

// applyReroute orders the first engine to switch to a path.
func (a *attempt) applyReroute(ctx context.Context, hops []pipeline.Hop, reserved *reservation) error {
	if err := clientconn.Check(ctx); err != nil {
		reserved.release()
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, rerouteTimeout)
	defer cancel()
	head := Server{Instance: membership.Instance{ID: hops[0].Engine, Address: hops[0].Address}}
	outcome, err := a.engines.Reroute(ctx, head, a.info.ID, hops)
	a.logReroute(hops, outcome, err)
	if outcome != OrderStarted && outcome != OrderAlreadyApplied {
		reserved.release()
		if err == nil {
			err = errPathLost
		}
		return err
	}
	a.reserved.release()
	a.reserved, a.hops, a.departAt = reserved, hops, time.Time{}
	a.startTimes = a.fleet.startTimesOf(hops)
	a.watch.reason = nil
	a.path += ";" + pathString(hops)
	a.zoneCrossings = zoneCrossings(hops)
	return nil
}

func (a *attempt) logReroute(hops []pipeline.Hop, outcome OrderOutcome, err error) {
	if !a.logLimiter.allow(time.Now()) {
		return
	}
	line := logevent.Write(a.logger, logevent.StreamRerouted).Str("request", a.info.ID).Str("outcome", string(outcome)).
		Str("from", a.path).Str("to", pathString(hops)).Int64("last_event", a.lastEventID)
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("")
}

// forwardEvents forwards events until the stream ends or breaks off.
func (a *attempt) forwardEvents(ctx context.Context) (attemptResult, error) {
	var splitter eventstream.Splitter
	buffer := make([]byte, streamBufferSize)
	flusher := http.NewResponseController(a.w)
	for {
		n, err := a.read(ctx, buffer)
		splitter.Write(buffer[:n])
		progress, writeErr := a.writeEvents(&splitter, a.x, flusher)
		if writeErr != nil {
			return a.abort(ctx, writeErr)
		}
		if progress {
			a.watch.recordProgress()
			a.stageLost = false
			a.recordSound(a.lastEventAt)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && a.isWhole(ctx, err, splitter.Pending() > 0):
			if !a.progressSince.IsZero() {
				a.observeSoundStream(time.Now())
			}
			return a.complete(a.x)
		default:
			return a.abort(ctx, err)
		}
	}
}

// read checks the path and reads bytes of the stream.
func (a *attempt) read(ctx context.Context, buffer []byte) (int, error) {
	if err := a.checkPath(ctx); err != nil && a.mayGiveUp(ctx) {
		return 0, err
	}
	return a.x.response.Body.Read(buffer)
}
