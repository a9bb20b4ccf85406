package relay

import (
	"context"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/eventstream"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

const (
	// streamBuffer is read at once from an engine.
	streamBuffer = 8 << 10
	// noPathRetry is when a caller may come back after engines refused its request.
	noPathRetry = 300 * time.Millisecond
	// minRoomRetry and maxRoomRetry bound the time to come back while no path has room.
	minRoomRetry = time.Second
	maxRoomRetry = 4 * time.Second
	// defaultAnswerTokens stands in when neither request nor configuration says a length.
	defaultAnswerTokens = 200
	// choosePatience is how long a stream that has begun waits for a path, and
	// choosePause the time between two looks.
	choosePatience = time.Second
	choosePause    = 50 * time.Millisecond
	// pause is how long a stream may stop before its engines are looked at.
	// Events are 10 to 50 ms apart.
	pause = 100 * time.Millisecond
	// maxPause bounds the time between two looks at a stream that is merely slow.
	maxPause = 400 * time.Millisecond
	// maxSilence is how long a stream may stop in all. Callers leave after 2 s.
	maxSilence = 1500 * time.Millisecond
	// maxRefusals bounds the paths that are tried while none runs the request.
	maxRefusals = 3
	// rerouteTimeout bounds the order that changes the path of a stream.
	rerouteTimeout = 300 * time.Millisecond
	// maxReroutes bounds how often one run changes its path.
	maxReroutes = 6
)

var (
	// errSilent means that events stopped without a known cause.
	errSilent = errors.New("events stopped")
	// errPathLost means that an engine of the path is lost or leaves.
	errPathLost = errors.New("an engine of the path is lost")
)

// streaming is the state of one stream over all its runs.
type streaming struct {
	*request
	// last is the last event that the caller has, or -1.
	last int64
	// begun tells whether the header has gone to the caller.
	begun bool
	// at is when the last event went to the caller.
	at time.Time
	// refusals counts engines that did not run the request.
	refusals int
	// delivered counts events that went to the caller.
	delivered int
}

// stream sends a request along a path of engines and passes events on as they
// arrive. When the run breaks off and the route allows it, another run goes on
// after the last event.
func (q *request) stream() {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	s := &streaming{request: q, last: q.call.LastEvent}
	q.budget(q.target).Success(time.Now())
	unsent := 0
	for {
		hops, place, err := s.choose(ctx)
		if err != nil {
			s.giveUp("no path of engines has room", s.roomRetry())
			return
		}
		v, sent, err := s.start(ctx, hops, place)
		if v == answered {
			return
		}
		if !sent {
			unsent++
		}
		q.ranBefore = q.ranBefore || v == mayHaveRun
		if ctx.Err() != nil {
			s.over()
			return
		}
		if !s.mayGoOn(v, sent, unsent) {
			s.giveUp(detailOf(err), noPathRetry)
			return
		}
		s.logRecovery(err)
	}
}

// roomRetry is when a caller may come back while no path has room. Streams last
// a few seconds and end one after another, so callers come back spread over such
// a time; a caller that came back sooner would be refused again.
func (s *streaming) roomRetry() time.Duration {
	return minRoomRetry + time.Duration(s.fleet.point()*float64(maxRoomRetry-minRoomRetry))
}

// choose picks a path for what is left of the request. A stream that has begun
// waits for one: its caller stays for a while, and what is done would be lost.
func (s *streaming) choose(ctx context.Context) ([]pipeline.Hop, *reservation, error) {
	need := s.need()
	need.Begun = s.begun
	for waited := time.Duration(0); ; waited += choosePause {
		hops, place, err := s.fleet.choosePath(time.Now(), s.revision, s.target, need)
		if err == nil || !s.begun || waited >= choosePatience {
			return hops, place, err
		}
		sleep(ctx, choosePause)
	}
}

func (s *streaming) need() pipeline.RelayRequest {
	need := pipeline.RelayRequest{PromptTokens: float64(s.call.PromptTokens), Avoid: s.avoid}
	model := s.revision.models[s.target]
	switch {
	case s.call.LikelyAnswerTokens > 0:
		need.AnswerTokens = float64(s.call.LikelyAnswerTokens)
	case s.call.MaxAnswerTokens > 0:
		need.AnswerTokens = float64(s.call.MaxAnswerTokens)
	case model != nil && model.AnswerTokens > 0:
		need.AnswerTokens = model.AnswerTokens
	default:
		need.AnswerTokens = defaultAnswerTokens
	}
	return need
}

// mayGoOn decides whether the request is sent along another path.
func (s *streaming) mayGoOn(v verdict, sent bool, unsent int) bool {
	if !sent {
		return unsent < maxUnsent
	}
	if v == notRun {
		s.refusals++
		return s.refusals <= maxRefusals && s.budget(s.target).Take(time.Now(), false)
	}
	if !s.route.Resumable {
		return false
	}
	if s.attempts-s.refusals >= s.route.MaxAttempts {
		return false
	}
	return s.budget(s.target).Take(time.Now(), false)
}

// giveUp ends a request that no path serves.
func (s *streaming) giveUp(detail string, after time.Duration) {
	if s.r.Context().Err() != nil {
		s.outcome, s.detail = outcomeCallerGone, detail
		return
	}
	if s.begun {
		s.breakOff(detail)
	}
	s.refuseOrFail(s.ranBefore, detail, after)
}

// over ends a request whose time is over or whose caller has left.
func (s *streaming) over() {
	if s.r.Context().Err() != nil {
		s.outcome = outcomeCallerGone
		return
	}
	if s.begun {
		s.breakOff("the time for this request is over")
	}
	s.timedOut()
}

// breakOff closes the caller's connection, so that the stream does not look complete.
func (s *streaming) breakOff(detail string) {
	s.outcome, s.detail = outcomeBrokenOff, detail
	panic(http.ErrAbortHandler)
}

// run is one run of a stream along a path.
type run struct {
	*streaming
	x    *exchange
	hops []pipeline.Hop
	// place is what the run holds of the engines' memory.
	place *reservation
	// changes is the fleet's count of changes that the run has looked at.
	changes  int64
	reroutes int
	// pause is how long the run may stop before its engines are looked at. It grows
	// with each look that finds nothing, because each question has a price.
	pause time.Duration
}

// start sends the request along a path and passes its events on.
func (s *streaming) start(ctx context.Context, hops []pipeline.Hop, place *reservation) (v verdict, sent bool, err error) {
	r := &run{streaming: s, hops: hops, place: place, changes: s.fleet.changes.Load(), pause: pause}
	defer func() { r.place.release() }()
	s.path = describe(hops)
	head := hops[0]
	r.x, err = s.pool.open(ctx, head.Address, s.outbound(Send{Instance: head.Engine, Path: hops, LastEvent: s.last}))
	if errors.Is(err, errNotSent) {
		s.distrust(head.Engine)
		return notRun, false, err
	}
	s.attempts++
	if err == nil {
		err = r.awaitHeader(ctx)
	}
	if err != nil {
		return r.broken(ctx, err)
	}
	if r.x.answer.NotRun {
		s.drop(r.x)
		s.blame(r.x, head)
		return notRun, true, errors.Errorf("engine answered %d for %q", r.x.response.StatusCode, r.x.answer.Culprit)
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
func (r *run) broken(ctx context.Context, err error) (verdict, bool, error) {
	if r.x != nil {
		r.x.abandon()
	}
	if ctx.Err() == nil && !errors.Is(err, errPathLost) {
		r.avoid[r.hops[0].Engine] = true
	}
	return mayHaveRun, true, errors.Wrap(err, "stream broke off")
}

// await waits for bytes of the answer. While none come it finds out which engine
// the work waits for, and changes the path around engines that are lost.
func (r *run) await(ctx context.Context) error {
	for waited := time.Duration(0); waited < maxSilence; {
		if err := r.checkPath(ctx); err != nil {
			return err
		}
		err := r.x.await(r.pause)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		waited += r.pause
		if err := r.findStalled(ctx); err != nil {
			return err
		}
		r.pause = min(2*r.pause, maxPause)
	}
	return errSilent
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
	if changes == r.changes {
		return nil
	}
	r.changes = changes
	lost, leaving := r.fleet.unusable(r.hops)
	for _, id := range append(lost, leaving...) {
		r.avoid[id] = true
	}
	switch head := r.hops[0].Engine; {
	case slices.Contains(lost, head):
		return errPathLost
	case len(lost) > 0:
		return r.reroute(ctx)
	case slices.ContainsFunc(leaving, func(id string) bool { return id != head }):
		// A path that cannot be changed goes on until the engine is gone.
		_ = r.reroute(ctx)
	}
	return nil
}

// reroute replaces the parts of the path after the first one.
func (r *run) reroute(ctx context.Context) error {
	if r.reroutes++; r.reroutes > maxReroutes {
		return errPathLost
	}
	need := r.need()
	need.Begin, need.Begun = &r.hops[0], true
	hops, place, err := r.fleet.choosePath(time.Now(), r.revision, r.target, need)
	if err != nil {
		return errPathLost
	}
	ctx, cancel := context.WithTimeout(ctx, rerouteTimeout)
	defer cancel()
	head := Server{Instance: membership.Instance{ID: hops[0].Engine, Address: hops[0].Address}}
	outcome, err := r.engines.Reroute(ctx, head, r.call.ID, hops)
	r.logReroute(hops, outcome, err)
	if outcome != OrderBegun && outcome != OrderHolds {
		place.release()
		return errPathLost
	}
	r.place.release()
	r.place, r.hops = place, hops
	r.path += ";" + describe(hops)
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

// distrust records that an engine does not answer and keeps this request away from it.
func (s *streaming) distrust(engine string) {
	s.avoid[engine] = true
	s.fleet.lose(time.Now(), engine)
}

// blame avoids the engine that an answer names, or the first one.
func (s *streaming) blame(x *exchange, head pipeline.Hop) {
	engine := head.Engine
	if x.answer.Culprit != "" {
		if server, known := s.fleet.byAddress(x.answer.Culprit); known {
			engine = server.ID
		}
	}
	s.avoid[engine] = true
	s.fleet.avoid(time.Now(), engine)
}

func (s *streaming) logRecovery(cause error) {
	logevent.Write(s.logger, logevent.StreamRepaired).Str("request", s.call.ID).Str("path", s.path).
		Int64("last_event", s.last).Int("attempts", s.attempts).Str("cause", detailOf(cause)).Msg("")
}

// passFailure passes an answer on that is no stream. Once events have gone to
// the caller, a failure can only lead to another run.
func (s *streaming) passFailure(x *exchange) (verdict, bool, error) {
	if s.begun {
		s.drop(x)
		return mayHaveRun, true, errors.Errorf("engine answered %d", x.response.StatusCode)
	}
	v, err := s.passAnswer(x)
	return v, true, err
}

// copy passes events on until the stream ends or breaks off.
func (r *run) copy(ctx context.Context) (verdict, bool, error) {
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

// passEvents passes whole events on, each of them once and in order.
func (s *streaming) passEvents(splitter *eventstream.Splitter, x *exchange, flusher *http.ResponseController) error {
	wrote := false
	for e, ok := splitter.Next(); ok; e, ok = splitter.Next() {
		if e.ID >= 0 && e.ID <= s.last {
			continue
		}
		if s.begun && s.delivered > 0 && e.ID > s.last+1 {
			return errors.Errorf("event %d follows event %d", e.ID, s.last)
		}
		s.begin(x)
		if _, err := s.w.Write(e.Bytes); err != nil {
			return err
		}
		s.delivered++
		s.measurePause()
		wrote = true
		if e.ID >= 0 {
			s.last = e.ID
		}
	}
	if !wrote {
		return nil
	}
	return flusher.Flush()
}

// measurePause keeps the longest time between two events.
func (s *streaming) measurePause() {
	now := time.Now()
	if !s.at.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.at))
	}
	s.at = now
}

// begin sends the header of the first run's answer.
func (s *streaming) begin(x *exchange) {
	if s.begun {
		return
	}
	s.begun, s.firstByte, s.status = true, time.Now(), x.response.StatusCode
	s.passHeader(x)
	s.w.WriteHeader(x.response.StatusCode)
}

// complete ends a stream that the engine ended.
func (s *streaming) complete(x *exchange) (verdict, bool, error) {
	x.finish()
	s.begin(x)
	s.outcome = outcomeAnswered
	return answered, true, nil
}

func describe(hops []pipeline.Hop) string {
	var b strings.Builder
	for i, h := range hops {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(h.Engine)
	}
	return b.String()
}
