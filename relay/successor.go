package relay

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/netpeek"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/retry"
)

// pauseCheckInterval is the time between two looks at a silent attempt while a successor is
// being started.
const pauseCheckInterval = 5 * time.Millisecond

// errResumed means that a successor is no longer needed.
var errResumed = errors.New("the engine sends again")

// mayGiveUp reports whether the entry may end the attempt on its own: another engine has
// accepted the rest of the request and takes over. Silence alone is no reason, since a
// sound engine may fall silent for a moment. When many streams leave an engine together,
// the budget, the room and the engines' consent last for some of them only, so each of
// these is taken before the attempt is ended.
func (a *attempt) mayGiveUp(ctx context.Context) bool {
	if a.isSuccessor {
		// The attempt before it is still there.
		return true
	}
	limits := a.streamLimits()
	if !limits.Allow(a.attempts, retry.Unsent, true) || !limits.Allow(a.attempts, retry.Refused, true) || !a.canRetry() {
		return false
	}
	if a.hasInput() {
		return false
	}
	req := a.alternativePath()
	return a.fleet.hasPath(time.Now(), a.revision, a.target, req) && a.startSuccessor(ctx, req)
}

// hasInput reports whether the first engine has sent bytes that have not been read yet, or
// has ended the connection.
func (a *attempt) hasInput() bool {
	return a.x.conn.reader.Buffered() > 0 || netpeek.Peek(a.x.conn.Conn) == netpeek.HasData
}

// alternativePath returns what another attempt asks for: the rest of the request through
// another first engine.
func (a *attempt) alternativePath() pipeline.RelayRequest {
	req := a.pathRequest()
	if req.AnswerStarted = a.headerSent; !a.headerSent {
		req.KeepFree = a.keepFree()
	}
	req.Exclude = maps.Clone(a.avoid)
	req.Exclude[a.hops[0].Engine] = true
	return req
}

// startSuccessor starts another attempt on a path beside this one, and reports whether its engine has
// accepted it. It gives up as soon as this attempt goes on.
func (a *attempt) startSuccessor(ctx context.Context, req pipeline.RelayRequest) bool {
	hops, reserved, err := a.fleet.choosePath(time.Now(), a.revision, a.target, a.team, req)
	if err != nil {
		return false
	}
	if !a.takeRetry() {
		reserved.release()
		return false
	}
	next := a.newAttempt(hops, reserved)
	next.isSuccessor = true
	result, err := next.startBeside(ctx, a)
	if err == nil {
		a.successor = next
		return true
	}
	next.reserved.release()
	a.countAttempt(result)
	return false
}

// startBeside starts the attempt while another one is silent. Its context ends with the
// silence.
func (a *attempt) startBeside(ctx context.Context, silent *attempt) (attemptResult, error) {
	starting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	started := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		silent.awaitInput(started, func() { cancel(errResumed) })
	}()
	result, err := a.start(starting)
	close(started)
	<-watched
	if err != nil {
		return result, err
	}
	if a.x.response.StatusCode != http.StatusOK {
		a.x.discard()
		return mayHaveExecuted, errors.Errorf("engine answered %d", a.x.response.StatusCode)
	}
	if !a.x.detach(ctx) {
		a.x.close()
		return mayHaveExecuted, context.Cause(starting)
	}
	if err := a.accept(); err != nil {
		return mayHaveExecuted, err
	}
	a.watch.ctx = ctx
	return answered, nil
}

// awaitInput calls resumed once the first engine has sent bytes, unless done is closed
// before that.
func (a *attempt) awaitInput(done <-chan struct{}, resumed func()) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		if a.hasInput() {
			resumed()
			return
		}
	}
}

// takeSuccessor returns the successor, which becomes the attempt in progress.
func (s *streamRequest) takeSuccessor() *attempt {
	next := s.successor
	s.successor = nil
	return next
}

// takeOver forwards the events of a successor once the attempt before it has ended.
func (a *attempt) takeOver(ctx context.Context) (attemptResult, error) {
	defer func() { a.reserved.release() }()
	a.isSuccessor = false
	a.path, a.zoneCrossings = pathString(a.hops), zoneCrossings(a.hops)
	return a.forwardEvents(ctx)
}
