package relay

import (
	"context"
	"io"
	"net/http"
	"os"
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
	// noPathRetry is when a caller may come back while no path has room.
	noPathRetry = 300 * time.Millisecond
	// defaultAnswerTokens stands in when neither request nor configuration says a length.
	defaultAnswerTokens = 200
	// silence is how long a stream may stop before its engines are asked what
	// they wait for.
	silence = 400 * time.Millisecond
	// maxSilence is how long a stream may stop in all. Callers leave after 2 s.
	maxSilence = 1200 * time.Millisecond
)

// errSilent means that events stopped.
var errSilent = errors.New("events stopped")

// streaming is the state of one stream over all its runs.
type streaming struct {
	*request
	// last is the last event that the caller has, or -1.
	last int64
	// begun tells whether the header has gone to the caller.
	begun bool
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
		hops, place, err := s.choose()
		if err != nil {
			s.giveUp("no path of engines has room", noPathRetry)
			return
		}
		v, sent, err := s.run(ctx, hops)
		place.release()
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

// choose picks a path for what is left of the request.
func (s *streaming) choose() ([]pipeline.Hop, *reservation, error) {
	hops, _, place, err := s.fleet.choosePath(time.Now(), s.revision, s.target, s.need())
	return hops, place, err
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
	if v == mayHaveRun && !s.route.Resumable {
		return false
	}
	if s.attempts >= s.route.MaxAttempts {
		return false
	}
	return s.budget(s.target).Take(time.Now(), false)
}

// giveUp ends a request that no path serves.
func (s *streaming) giveUp(detail string, after time.Duration) {
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

// run sends the request along one path and passes its events on.
func (s *streaming) run(ctx context.Context, hops []pipeline.Hop) (v verdict, sent bool, err error) {
	s.path = describe(hops)
	head := hops[0]
	x, err := s.pool.send(ctx, s.wire, head.Address, s.outbound(Send{Instance: head.Engine, Path: hops, LastEvent: s.last}))
	if errors.Is(err, errNotSent) {
		s.distrust(head.Engine, membership.RefusedConnection)
		return notRun, false, err
	}
	s.attempts++
	if err != nil {
		if ctx.Err() == nil {
			s.distrust(head.Engine, membership.EndOfStream)
		}
		return mayHaveRun, true, err
	}
	if x.answer.NotRun {
		s.drop(x)
		s.blame(x, head)
		return notRun, true, errors.Errorf("engine answered %d for %q", x.response.StatusCode, x.answer.Culprit)
	}
	if x.response.StatusCode != http.StatusOK {
		return s.passFailure(x)
	}
	return s.copy(ctx, x, hops)
}

// distrust records evidence against an engine and keeps this request away from it.
func (s *streaming) distrust(engine string, e membership.Evidence) {
	s.avoid[engine] = true
	s.fleet.observe(time.Now(), engine, e)
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
func (s *streaming) copy(ctx context.Context, x *exchange, hops []pipeline.Hop) (verdict, bool, error) {
	var splitter eventstream.Splitter
	buffer := make([]byte, streamBuffer)
	flusher := http.NewResponseController(s.w)
	for {
		n, err := s.read(x, buffer, hops)
		splitter.Write(buffer[:n])
		if passed := s.passEvents(&splitter, x, flusher); passed != nil {
			x.abandon()
			return mayHaveRun, true, passed
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && splitter.Pending() == 0:
			return s.complete(x)
		default:
			x.abandon()
			if ctx.Err() == nil && !errors.Is(err, errSilent) {
				s.avoid[hops[0].Engine] = true
			}
			return mayHaveRun, true, errors.Wrap(err, "stream broke off")
		}
	}
}

// read waits for bytes of the stream. When none come for a while it asks the
// first engine which one its work waits for.
func (s *streaming) read(x *exchange, buffer []byte, hops []pipeline.Hop) (int, error) {
	for waited := time.Duration(0); waited < maxSilence; waited += silence {
		err := x.await(silence)
		if err == nil {
			return x.response.Body.Read(buffer)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		if s.findStalled(hops) {
			return 0, errSilent
		}
	}
	s.avoid[hops[0].Engine] = true
	return 0, errSilent
}

// findStalled asks the first engine for the engines that it waits for.
func (s *streaming) findStalled(hops []pipeline.Hop) bool {
	ctx, cancel := context.WithTimeout(s.r.Context(), silence/2)
	defer cancel()
	report, err := s.engines.Report(ctx, hops[0].Address)
	if err != nil {
		s.distrust(hops[0].Engine, membership.Silent)
		return true
	}
	found := false
	for _, id := range report.Stalled {
		s.distrust(id, membership.Silent)
		for _, h := range hops {
			found = found || h.Engine == id
		}
	}
	return found
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
