package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/eventstream"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/retry"
)

const (
	// noPathRetry is when a caller may come back after engines refused its request.
	noPathRetry = 300 * time.Millisecond
	// maxRefusals bounds the paths that are tried while none runs the request.
	maxRefusals = 3
	// minRoomRetry and maxRoomRetry bound the time to come back while no path has room.
	minRoomRetry = time.Second
	maxRoomRetry = 4 * time.Second
	// defaultAnswerTokens stands in when neither request nor configuration says a length.
	defaultAnswerTokens = 200
	// choosePatience is how long a stream that has begun waits for a path or for the
	// budget of another run, and choosePause the time between two looks. Callers
	// leave by themselves after 2 s and more without an event; until then the stream
	// may go on.
	choosePatience = 3 * time.Second
	choosePause    = 50 * time.Millisecond
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
	for {
		hops, place, err := s.choose(ctx)
		if err != nil {
			s.cause = err.Error()
			s.giveUp("no path of engines has room", s.roomRetry())
			return
		}
		v, err := s.start(ctx, hops, place)
		if v == answered {
			return
		}
		if ctx.Err() != nil {
			q.ranBefore = q.ranBefore || v == mayHaveRun
			s.over()
			return
		}
		if !q.mayRepeat(ctx, v, q.streamLimits(), q.route.Resumable, s.patience()) {
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
// waits for one: its caller stays for a while, and what is done would be lost. It
// uses thin links only when there is no path without: after a loss many streams
// look for a path at once.
func (s *streaming) choose(ctx context.Context) ([]pipeline.Hop, *reservation, error) {
	need := s.need()
	need.AnswerStarted = s.begun
	for waited := time.Duration(0); ; waited += choosePause {
		need.AvoidSlowLinks = s.begun
		hops, place, err := s.fleet.choosePath(time.Now(), s.revision, s.target, need)
		if err != nil && s.begun {
			need.AvoidSlowLinks = false
			hops, place, err = s.fleet.choosePath(time.Now(), s.revision, s.target, need)
		}
		if err == nil || waited >= s.patience() {
			return hops, place, err
		}
		sleep(ctx, choosePause)
	}
}

func (s *streaming) need() pipeline.RelayRequest {
	need := pipeline.RelayRequest{PromptTokens: float64(s.call.PromptTokens), Exclude: s.avoid}
	model := s.revision.models[s.target]
	switch {
	case s.call.ExpectedAnswerTokens > 0:
		need.AnswerTokens = float64(s.call.ExpectedAnswerTokens)
	case s.call.MaxAnswerTokens > 0:
		need.AnswerTokens = float64(s.call.MaxAnswerTokens)
	case model != nil && model.AnswerTokens > 0:
		need.AnswerTokens = model.AnswerTokens
	default:
		need.AnswerTokens = defaultAnswerTokens
	}
	return need
}

// patience is how long the stream waits for what it needs to go on.
func (s *streaming) patience() time.Duration {
	if s.begun {
		return choosePatience
	}
	return 0
}

func (q *request) streamLimits() retry.Limits {
	return retry.Limits{Attempts: q.route.MaxAttempts, Unsent: maxUnsent, Refusals: maxRefusals}
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

// distrust records that an engine does not answer and keeps this request away from it.
func (s *streaming) distrust(engine string) {
	s.avoid[engine] = true
	s.fleet.lose(time.Now(), engine)
}

// blame avoids the engine that an answer names, or the first one.
func (s *streaming) blame(x *exchange, head pipeline.Hop) {
	engine := head.Engine
	if x.answer.FailedAddress != "" {
		if server, known := s.fleet.byAddress(x.answer.FailedAddress); known {
			engine = server.ID
		}
	}
	if x.response.StatusCode == http.StatusServiceUnavailable && engine != head.Engine {
		s.suspect(engine)
		return
	}
	s.avoid[engine] = true
	s.fleet.avoid(time.Now(), engine)
}

// suspect avoids an engine that cannot run its part, and tells the other entries
// at once when it should be able to.
func (s *streaming) suspect(engine string) {
	s.avoid[engine] = true
	if s.fleet.suspect(time.Now(), engine, s.capacity(engine)) {
		s.alarm.raise()
	}
}

// capacity returns the tokens times layers that an engine has memory for.
func (s *streaming) capacity(engine string) float64 {
	server := s.fleet.snapshot()[engine]
	kind, model := s.revision.accelerators[server.Accelerator], s.revision.models[s.target]
	if kind == nil || model == nil {
		return 0
	}
	return kvCapacity(server, kind, placementModel(model))
}

func (s *streaming) logRecovery(cause error) {
	logevent.Write(s.logger, logevent.StreamRecovered).Str("request", s.call.ID).Str("path", s.path).
		Int64("last_event", s.last).Int("attempts", s.sends).Str("cause", detailOf(cause)).Msg("")
}

// passFailure passes an answer on that is no stream. Once events have gone to
// the caller, a failure can only lead to another run.
func (s *streaming) passFailure(x *exchange) (verdict, error) {
	if s.begun {
		s.drop(x)
		return mayHaveRun, errors.Errorf("engine answered %d", x.response.StatusCode)
	}
	return s.passAnswer(x)
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
func (s *streaming) complete(x *exchange) (verdict, error) {
	x.finish()
	s.begin(x)
	s.outcome = outcomeAnswered
	return answered, nil
}

// crossings counts the links between zones that a path uses.
func crossings(hops []pipeline.Hop) (n int) {
	for i := 1; i < len(hops); i++ {
		if hops[i].Zone != hops[i-1].Zone {
			n++
		}
	}
	return n
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
