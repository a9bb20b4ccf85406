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
	// refusedRetryAfter is when a caller may come back after engines refused its request.
	refusedRetryAfter = 300 * time.Millisecond
	// maxRefusals bounds the paths that are tried while none runs the request.
	maxRefusals = 3
	// minNoCapacityRetryAfter and maxNoCapacityRetryAfter bound the time to come back while no path has room.
	minNoCapacityRetryAfter = time.Second
	maxNoCapacityRetryAfter = 4 * time.Second
	// defaultAnswerTokens stands in when neither request nor configuration says a length.
	defaultAnswerTokens = 200
	// maxPathWait is how long a stream that has begun waits for a path or for the
	// budget of another run, and pathRetryInterval the time between two looks. Callers
	// leave by themselves after 2 s and more without an event; until then the stream
	// may go on.
	maxPathWait       = 3 * time.Second
	pathRetryInterval = 50 * time.Millisecond
)

// streamRequest is the state of one stream over all its runs.
type streamRequest struct {
	*request
	// lastEventID is the last event that the caller has, or -1.
	lastEventID int64
	// headerSent tells whether the header has gone to the caller.
	headerSent bool
	// lastEventAt is when the last event went to the caller.
	lastEventAt time.Time
	// deliveredEvents counts events that went to the caller.
	deliveredEvents int
}

// serveStream sends a request along a path of engines and passes events on as they
// arrive. When the run breaks off and the route allows it, another run goes on
// after the last event.
func (q *request) serveStream() {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	s := &streamRequest{request: q, lastEventID: q.info.LastEvent}
	q.budget(q.target).Success(time.Now())
	for {
		hops, place, err := s.choosePath(ctx)
		if err != nil {
			s.cause = err.Error()
			s.giveUp("no path of engines has room", s.noCapacityRetryAfter())
			return
		}
		v, err := s.tryPath(ctx, hops, place)
		if v == answered {
			return
		}
		if ctx.Err() != nil {
			q.maybeExecuted = q.maybeExecuted || v == mayHaveExecuted
			s.endAtDeadline()
			return
		}
		if !q.allowRetry(ctx, v, q.streamLimits(), q.route.Resumable, s.maxWait()) {
			s.giveUp(errorDetail(err), refusedRetryAfter)
			return
		}
		s.logRecovery(err)
	}
}

// noCapacityRetryAfter is when a caller may come back while no path has room. Streams last
// a few seconds and end one after another, so callers come back spread over such
// a time; a caller that came back sooner would be refused again.
func (s *streamRequest) noCapacityRetryAfter() time.Duration {
	return minNoCapacityRetryAfter + time.Duration(s.fleet.randomFloat()*float64(maxNoCapacityRetryAfter-minNoCapacityRetryAfter))
}

// choosePath picks a path for what is left of the request. A stream that has begun
// waits for one: its caller stays for a while, and what is done would be lost. It
// uses thin links only when there is no path without: after a loss many streams
// look for a path at once.
func (s *streamRequest) choosePath(ctx context.Context) ([]pipeline.Hop, *reservation, error) {
	need := s.pathRequest()
	need.Begun = s.headerSent
	for waited := time.Duration(0); ; waited += pathRetryInterval {
		need.NoThinLinks = s.headerSent
		hops, place, err := s.fleet.choosePath(time.Now(), s.revision, s.target, need)
		if err != nil && s.headerSent {
			need.NoThinLinks = false
			hops, place, err = s.fleet.choosePath(time.Now(), s.revision, s.target, need)
		}
		if err == nil || waited >= s.maxWait() {
			return hops, place, err
		}
		sleep(ctx, pathRetryInterval)
	}
}

func (s *streamRequest) pathRequest() pipeline.RelayRequest {
	need := pipeline.RelayRequest{PromptTokens: float64(s.info.PromptTokens), Avoid: s.avoid}
	model := s.revision.models[s.target]
	switch {
	case s.info.LikelyAnswerTokens > 0:
		need.AnswerTokens = float64(s.info.LikelyAnswerTokens)
	case s.info.MaxAnswerTokens > 0:
		need.AnswerTokens = float64(s.info.MaxAnswerTokens)
	case model != nil && model.AnswerTokens > 0:
		need.AnswerTokens = model.AnswerTokens
	default:
		need.AnswerTokens = defaultAnswerTokens
	}
	return need
}

// maxWait is how long the stream waits for what it needs to go on.
func (s *streamRequest) maxWait() time.Duration {
	if s.headerSent {
		return maxPathWait
	}
	return 0
}

func (q *request) streamLimits() retry.Limits {
	return retry.Limits{Attempts: q.route.MaxAttempts, Unsent: maxUnsentAttempts, Refusals: maxRefusals}
}

// giveUp ends a request that no path serves.
func (s *streamRequest) giveUp(detail string, after time.Duration) {
	if s.r.Context().Err() != nil {
		s.outcome, s.detail = outcomeClientGone, detail
		return
	}
	if s.headerSent {
		s.abortResponse(detail)
	}
	s.refuseOrFail(s.maybeExecuted, detail, after)
}

// endAtDeadline ends a request whose time is over or whose caller has left.
func (s *streamRequest) endAtDeadline() {
	if s.r.Context().Err() != nil {
		s.outcome = outcomeClientGone
		return
	}
	if s.headerSent {
		s.abortResponse("the time for this request is over")
	}
	s.failTimeout()
}

// abortResponse closes the caller's connection, so that the stream does not look complete.
func (s *streamRequest) abortResponse(detail string) {
	s.outcome, s.detail = outcomeAborted, detail
	panic(http.ErrAbortHandler)
}

// markEngineLost records that an engine does not answer and keeps this request away from it.
func (s *streamRequest) markEngineLost(engine string) {
	s.avoid[engine] = true
	s.fleet.markLost(time.Now(), engine)
}

// avoidFailedEngine avoids the engine that an answer names, or the first one.
func (s *streamRequest) avoidFailedEngine(x *exchange, head pipeline.Hop) {
	engine := head.Engine
	if x.info.Culprit != "" {
		if server, known := s.fleet.byAddress(x.info.Culprit); known {
			engine = server.ID
		}
	}
	if x.response.StatusCode == http.StatusServiceUnavailable && engine != head.Engine {
		s.suspectEngine(engine)
		return
	}
	s.avoid[engine] = true
	s.fleet.avoidEngine(time.Now(), engine)
}

// suspectEngine avoids an engine that cannot run its part, and tells the other entries
// at once when it should be able to.
func (s *streamRequest) suspectEngine(engine string) {
	s.avoid[engine] = true
	if s.fleet.markSuspect(time.Now(), engine, s.engineCapacity(engine)) {
		s.sendNow.fire()
	}
}

// engineCapacity returns the tokens times layers that an engine has memory for.
func (s *streamRequest) engineCapacity(engine string) float64 {
	server := s.fleet.snapshot()[engine]
	kind, model := s.revision.accelerators[server.Accelerator], s.revision.models[s.target]
	if kind == nil || model == nil {
		return 0
	}
	return kvCapacity(server, kind, placementModel(model))
}

func (s *streamRequest) logRecovery(cause error) {
	logevent.Write(s.logger, logevent.StreamRepaired).Str("request", s.info.ID).Str("path", s.path).
		Int64("last_event", s.lastEventID).Int("attempts", s.sentCount).Str("cause", errorDetail(cause)).Msg("")
}

// forwardFailure passes an answer on that is no stream. Once events have gone to
// the caller, a failure can only lead to another run.
func (s *streamRequest) forwardFailure(x *exchange) (attemptResult, error) {
	if s.headerSent {
		s.discardResponse(x)
		return mayHaveExecuted, errors.Errorf("engine answered %d", x.response.StatusCode)
	}
	return s.forwardResponse(x)
}

// writeEvents passes whole events on, each of them once and in order.
func (s *streamRequest) writeEvents(splitter *eventstream.Splitter, x *exchange, flusher *http.ResponseController) error {
	wrote := false
	for e, ok := splitter.Next(); ok; e, ok = splitter.Next() {
		if e.ID >= 0 && e.ID <= s.lastEventID {
			continue
		}
		if s.headerSent && s.deliveredEvents > 0 && e.ID > s.lastEventID+1 {
			return errors.Errorf("event %d follows event %d", e.ID, s.lastEventID)
		}
		s.writeHeaderOnce(x)
		if _, err := s.w.Write(e.Bytes); err != nil {
			return err
		}
		s.deliveredEvents++
		s.recordGap()
		wrote = true
		if e.ID >= 0 {
			s.lastEventID = e.ID
		}
	}
	if !wrote {
		return nil
	}
	return flusher.Flush()
}

// recordGap keeps the longest time between two events.
func (s *streamRequest) recordGap() {
	now := time.Now()
	if !s.lastEventAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// writeHeaderOnce sends the header of the first run's answer.
func (s *streamRequest) writeHeaderOnce(x *exchange) {
	if s.headerSent {
		return
	}
	s.headerSent, s.firstByte, s.status = true, time.Now(), x.response.StatusCode
	s.copyHeader(x)
	s.w.WriteHeader(x.response.StatusCode)
}

// complete ends a stream that the engine ended.
func (s *streamRequest) complete(x *exchange) (attemptResult, error) {
	x.release()
	s.writeHeaderOnce(x)
	s.outcome = outcomeAnswered
	return answered, nil
}

// zoneCrossings counts the links between zones that a path uses.
func zoneCrossings(hops []pipeline.Hop) (n int) {
	for i := 1; i < len(hops); i++ {
		if hops[i].Zone != hops[i-1].Zone {
			n++
		}
	}
	return n
}

func pathString(hops []pipeline.Hop) string {
	var b strings.Builder
	for i, h := range hops {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(h.Engine)
	}
	return b.String()
}
