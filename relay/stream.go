package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/answerend"
	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/retry"
)

const (
	// refusedRetryAfter is the Retry-After time after engines refused the request.
	refusedRetryAfter = 300 * time.Millisecond
	// maxRefusals is the number of paths that are tried for a new request that engines
	// refuse. maxRefusedTime is the latest time after its arrival at which another one is
	// tried, if the part of the client's time that it may wait is not over sooner: clients
	// disconnect after 2 s without an event.
	maxRefusals    = 5
	maxRefusedTime = 1500 * time.Millisecond
	// minRefusalDelay is the time before the next path after the second refusal in a row.
	// It doubles with each one: after a restart of many entries, engines still run requests
	// that nobody counts, and refuse one path after another for a moment.
	minRefusalDelay = 25 * time.Millisecond
	// minNoCapacityRetryAfter and maxNoCapacityRetryAfter bound the earliest
	// Retry-After time while no path has capacity: streams last a few seconds and end one
	// after another. The others bound the period over which retries are spread.
	minNoCapacityRetryAfter  = time.Second
	maxNoCapacityRetryAfter  = 3 * time.Second
	minNoCapacityRetrySpread = time.Second
	maxNoCapacityRetrySpread = 3 * time.Second
	// defaultAnswerTokens applies if neither the request nor the configuration
	// states a length.
	defaultAnswerTokens = 200
	// maxPathWait is how long a stream whose response has started waits for a path
	// or for the retry budget, and pathRetryInterval the time between two checks.
	// Clients disconnect after 2 s or more without an event; until then the stream
	// may be resumed.
	maxPathWait       = 3 * time.Second
	pathRetryInterval = 50 * time.Millisecond
)

// streamRequest is the state of a stream request across all its attempts.
type streamRequest struct {
	*request
	// lastEventID is the ID of the last event that the client has received, or -1.
	lastEventID int64
	// headerSent reports whether the response header was sent to the client.
	headerSent bool
	// mediaType is the type of the response that was sent to the client.
	mediaType string
	// lastEventAt is when the last event was sent to the client.
	lastEventAt time.Time
	// deliveredEvents counts the events sent to the client.
	deliveredEvents int
	// successor is the attempt that takes over from one that is given up, or nil.
	successor *attempt
}

// serveStream sends a request along a path of engines and forwards events as
// they arrive. If the attempt breaks off and the route allows it, another
// attempt resumes after the last event.
func (q *request) serveStream() {
	ctx, cancel := q.workContext()
	defer cancel()
	s := &streamRequest{request: q, lastEventID: q.info.LastEvent}
	q.budget(q.target).RecordRequest(time.Now())
	for {
		if clientconn.Check(ctx) != nil {
			s.endUnfinished()
			return
		}
		hops, reserved, err := s.choosePath(ctx)
		if err != nil {
			s.giveUpWithoutPath(err)
			return
		}
		if s.timeLeft() <= 0 {
			reserved.release()
			s.endUnfinished()
			return
		}
		// It may have been blocked while it waited.
		if p := s.blocked(); p != nil {
			reserved.release()
			s.giveUpOn(p)
			return
		}
		result, err := s.tryPath(ctx, hops, reserved)
		for result != answered && s.successor != nil {
			s.countAttempt(result)
			s.logRecovery(err)
			result, err = s.takeSuccessor().takeOver(ctx)
		}
		if result == answered {
			return
		}
		if clientconn.Check(ctx) != nil {
			q.maybeExecuted = q.maybeExecuted || result == mayHaveExecuted
			s.endUnfinished()
			return
		}
		if !q.allowRetry(ctx, result, q.streamLimits(), s.maxWait()) ||
			result == notExecuted && !s.pauseAfterRefusal(ctx) {
			s.giveUp(errorDetail(err), refusedRetryAfter)
			return
		}
		s.phase = phaseWaiting
		s.logRecovery(err)
	}
}

// pauseAfterRefusal waits before the next path is chosen. It reports false if a new
// stream has been refused for so long that its client is about to leave. The engines that
// have refused it are tried again after a pause, if the fleet does not avoid them.
func (s *streamRequest) pauseAfterRefusal(ctx context.Context) bool {
	delay := refusalDelay(s.attempts.Refused)
	if s.headerSent || delay <= 0 {
		return true
	}
	limit := time.Duration(float64(s.deadline.Sub(s.started)) * admission.DeadlineFraction)
	if time.Since(s.started)+delay > min(maxRefusedTime, limit) {
		return false
	}
	// Streams that one burst has brought do not return together.
	sleep(ctx, delay/2+time.Duration(s.fleet.randomFloat()*float64(delay)))
	if !s.maybeExecuted {
		clear(s.avoid)
	}
	return true
}

// refusalDelay returns the time between a number of refusals and the next path.
func refusalDelay(refusals int) time.Duration {
	if refusals < 2 {
		return 0
	}
	return minRefusalDelay << (refusals - 2)
}

// giveUpWithoutPath ends a request for which no path was found in time.
func (s *streamRequest) giveUpWithoutPath(err error) {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		s.endUnfinished()
		return
	}
	s.recordNoPath()
	now := time.Now()
	expected := s.waitRoom(s.target).outlook(now, s.rank, maxNoCapacityRetryAfter)
	s.cause, s.waiting, s.expectedWait = err.Error(), expected.waiting, expected.expected
	s.logRefusal(err)
	s.giveUp("no path of engines has room", s.noCapacityRetryAfter(expected))
}

// logRefusal logs what decided that a stream no longer waits for a path.
func (s *streamRequest) logRefusal(err error) {
	var refusal *waitRefusal
	if !errors.As(err, &refusal) || !s.logLimiter.allow(time.Now()) {
		return
	}
	logevent.Write(s.logger, logevent.StreamNotAwaited).Str("request", s.info.ID).Str("reason", refusal.Reason.String()).
		Int("rank", s.rank).Str("team", s.team).Float64("work", refusal.Work).
		Dur("target_ms", refusal.Target.Sub(refusal.Arrived)).Dur("may_wait_ms", refusal.StartBy().Sub(refusal.Arrived)).
		Int("ahead", refusal.Ahead).Dur("expected_wait_ms", refusal.Expected).Msg("")
}

// noCapacityRetryAfter returns when a client may retry while no path has
// capacity: after those that wait now, and spread over the time in which room is
// found for those that were refused. Clients that retried sooner or together would be
// refused again.
func (s *streamRequest) noCapacityRetryAfter(o outlook) time.Duration {
	earliest := min(max(o.expected, minNoCapacityRetryAfter), maxNoCapacityRetryAfter)
	spread := maxNoCapacityRetrySpread
	if s.revision.streamRanks.differ {
		spread = min(max(o.spread, minNoCapacityRetrySpread), maxNoCapacityRetrySpread)
	}
	return earliest + time.Duration(s.fleet.randomFloat()*float64(spread))
}

// choosePath selects a path for the rest of the request. New streams wait for one
// in turn; a stream whose response has started goes before them.
func (s *streamRequest) choosePath(ctx context.Context) ([]pipeline.Hop, *reservation, error) {
	if s.headerSent {
		return s.awaitNextPath(ctx)
	}
	req := s.pathRequest()
	w := &pathWaiter{Waiting: s.waitTerms(req.PromptTokens + req.AnswerTokens)}
	w.find = func(now time.Time) ([]pipeline.Hop, *reservation, error) {
		req.KeepFree = s.keepFree()
		hops, reserved, err := s.fleet.choosePath(now, s.revision, s.target, s.team, req)
		if err != nil {
			s.checkServable(now, w, req)
		}
		return hops, reserved, err
	}
	entered := time.Now()
	room := s.waitRoom(s.target)
	if s.sentCount > 0 {
		room.startFailed(entered, w)
	}
	hops, reserved, err := room.await(ctx, w)
	s.waited += time.Since(entered)
	return hops, reserved, err
}

// waitTerms returns what orders the stream among those that wait for a path. If all
// streams have one rank, none gains by a longer wait or a place before others: they
// wait for the usual time and count the same.
func (s *streamRequest) waitTerms(tokens float64) admission.Waiting {
	w := admission.Waiting{
		Team: s.team, Weight: s.teamWeight, Rank: s.rank, Work: 1,
		Arrived: s.started, Target: s.started.Add(defaultFirstEventTarget), Deadline: s.deadline,
	}
	if !s.revision.streamRanks.differ {
		return w
	}
	w.Work = tokens
	w.Target = s.started.Add(firstEventTarget(s.route))
	if leaves := s.started.Add(clientPatience(s.route)); leaves.Before(s.deadline) {
		w.Deadline = leaves
	}
	w.OthersWaitUntil = s.othersWaitUntil(w)
	return w
}

// firstEventTarget returns when the first event of a stream is due.
func firstEventTarget(route *config.Route) time.Duration {
	if route.TargetLatency == 0 {
		return defaultFirstEventTarget
	}
	return route.TargetLatency
}

// othersWaitUntil returns until when a less urgent stream of the configuration, with the
// terms of the given one otherwise, would wait.
func (s *streamRequest) othersWaitUntil(w admission.Waiting) time.Time {
	longest := s.revision.streamRanks.lessUrgentTarget[s.route.Rank]
	w.Target = s.started.Add(max(longest, firstEventTarget(s.route)))
	return w.StartBy()
}

// awaitNextPath selects a path for a stream whose response has started. It waits
// for one: its client stays for a while, and the work done so far would be lost.
// It uses low-bandwidth links only if there is no other path, because after the
// loss of an engine many streams look for a path at the same time.
func (s *streamRequest) awaitNextPath(ctx context.Context) ([]pipeline.Hop, *reservation, error) {
	req := s.pathRequest()
	req.AnswerStarted = true
	for waited := time.Duration(0); ; waited += pathRetryInterval {
		req.AvoidSlowLinks = true
		hops, reserved, err := s.fleet.choosePath(time.Now(), s.revision, s.target, s.team, req)
		if err != nil {
			req.AvoidSlowLinks = false
			hops, reserved, err = s.fleet.choosePath(time.Now(), s.revision, s.target, s.team, req)
		}
		if err == nil || waited >= maxPathWait || ctx.Err() != nil {
			return hops, reserved, err
		}
		sleep(ctx, pathRetryInterval)
	}
}

func (s *streamRequest) pathRequest() pipeline.RelayRequest {
	req := pipeline.RelayRequest{PromptTokens: float64(s.info.PromptTokens), Exclude: s.avoid}
	model := s.revision.models[s.target]
	switch {
	case s.info.ExpectedAnswerTokens > 0:
		req.AnswerTokens = float64(s.info.ExpectedAnswerTokens)
	case s.info.MaxAnswerTokens > 0:
		req.AnswerTokens = float64(s.info.MaxAnswerTokens)
	case model != nil && model.AnswerTokens > 0:
		req.AnswerTokens = model.AnswerTokens
	default:
		req.AnswerTokens = defaultAnswerTokens
	}
	return req
}

// maxWait returns how long the stream waits for the retry budget. A new one does not:
// when its client returns, that is a new request, which needs none of it.
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
	s.giveUpOn(s.retryLater(problem.NoBackend, detail, after))
}

// giveUpOn ends a request with a refusal, unless its client has left or a server may have
// run it.
func (s *streamRequest) giveUpOn(refusal *problem.Problem) {
	end := answerend.Cut
	if s.r.Context().Err() != nil {
		end = answerend.ClientLeft
	}
	s.endWithout(end, refusal)
}

// markEngineLost records that an engine does not respond and excludes it from
// this request's paths.
func (s *streamRequest) markEngineLost(engine string, evidence error) {
	s.avoid[engine] = true
	s.loseEngine(engine, evidence)
}

// avoidFailedEngine avoids the engine that a response names as the cause, or
// else the first one.
func (s *streamRequest) avoidFailedEngine(x *exchange, head pipeline.Hop) {
	engine := head.Engine
	if x.info.FailedAddress != "" {
		if server, known := s.fleet.byAddress(x.info.FailedAddress); known {
			engine = server.ID
		}
	}
	if x.response.StatusCode == http.StatusServiceUnavailable && engine != head.Engine {
		s.suspectEngine(engine)
		return
	}
	if x.response.StatusCode == http.StatusTooManyRequests {
		s.avoid[engine] = true
		s.fleet.avoidEngine(time.Now(), engine)
		return
	}
	// It has no room, is about to stop, or does not hold the layers that its record names.
	s.avoidRefusing(engine)
}

// avoidRefusing avoids an engine that refused a stage, and tells the other entries if it
// should have had room for it.
func (s *streamRequest) avoidRefusing(engine string) {
	s.avoid[engine] = true
	s.requestMetrics.stageRefusals.Inc(1)
	capacity := s.engineCapacity(engine)
	if !s.fleet.refuseStage(time.Now(), engine, capacity) {
		return
	}
	s.sendNow.fire()
	logevent.Write(s.logger, logevent.EngineRefuses).Str("server", engine).Str("request", s.info.ID).
		Float64("used", s.fleet.layerTokens(time.Now(), engine)).Float64("capacity", capacity).Msg("")
}

// suspectEngine avoids an engine that cannot run its stage. An engine that should
// be able to is asked for its status: one that does not respond is dead, and the
// other entries are told at once. One that responds may be about to stop, and streams
// that already run on it must not leave it yet.
func (s *streamRequest) suspectEngine(engine string) {
	suspected := s.fleet.nameSuspect(time.Now(), engine, s.engineCapacity(engine))
	s.avoidRefusing(engine)
	if !suspected {
		return
	}
	logevent.Write(s.logger, logevent.EngineSuspected).Str("server", engine).Str("request", s.info.ID).Msg("")
	go s.verifySuspect(engine, s.fleet.snapshot()[engine].Address)
}

// verifySuspect is not tied to the context of the request that raised the
// suspicion, because all streams through the engine depend on it.
// It reports whether the engine is dead.
func (e *Entry) verifySuspect(engine, address string) bool {
	// An earlier answer says nothing of what has happened since.
	_, err := e.stallChecker.stalledEngines(context.Background(), address, time.Now().Add(-evidenceSpread))
	if !errors.Is(err, ErrNoResponse) {
		return false
	}
	e.fleet.confirmSuspect(time.Now(), engine)
	e.loseEngine(engine, err)
	e.sendNow.fire()
	return true
}

// engineCapacity returns the KV cache capacity of an engine in tokens times
// layers.
func (s *streamRequest) engineCapacity(engine string) float64 {
	server := s.fleet.snapshot()[engine]
	accelerator, model := s.revision.accelerators[server.Accelerator], s.revision.models[s.target]
	if accelerator == nil || model == nil {
		return 0
	}
	return kvCapacity(server, accelerator, placementModel(model))
}

func (s *streamRequest) logRecovery(cause error) {
	logevent.Write(s.logger, logevent.StreamRecovered).Str("request", s.info.ID).Str("path", s.path).
		Strs("parts", s.info.PromptParts).
		Int64("last_event", s.lastEventID).Int("attempts", s.sentCount).Str("cause", errorDetail(cause)).Msg("")
}

// forwardFailure forwards a response that is not a stream. Once events have
// been sent to the client, a failure can only lead to another attempt.
func (s *streamRequest) forwardFailure(ctx context.Context, x *exchange, server Server) (attemptResult, error) {
	if s.headerSent {
		x.discard()
		return mayHaveExecuted, errors.Errorf("engine answered %d", x.response.StatusCode)
	}
	return s.forwardResponse(ctx, x, server)
}

// zoneCrossings returns the number of links between zones that a path uses.
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
