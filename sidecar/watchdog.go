package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/answerhead"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// loadPollInterval is how often an engine is polled for progress during an
	// overdue iteration.
	loadPollInterval = 50 * time.Millisecond
	loadTimeout      = 100 * time.Millisecond
	// maxLoadBytes limits an engine's response to a load request.
	maxLoadBytes = 1 << 20
	// livenessTTL is how long after an iteration the engine is taken to be alive.
	livenessTTL = 100 * time.Millisecond
)

var errEngineStalled = errors.New("engine makes no progress")

// iteration is a batch of steps that runs in the engine.
type iteration struct {
	startedAt      time.Time
	overdueTimeout time.Duration
}

// overdue reports whether the iteration takes much longer than expected.
func (i *iteration) overdue(now time.Time) bool { return now.Sub(i.startedAt) > i.overdueTimeout }

// runIteration runs one iteration and cancels it if the engine stalls.
func (s *Server) runIteration(ctx context.Context, steps []*wire.EngineStep) (*wire.EngineResults, error) {
	firstStepBytes := s.firstStepBytes(steps)
	it := s.startIteration(firstStepBytes)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(it.overdueTimeout, func() {
		if s.detectStall(ctx, it, firstStepBytes) {
			cancel(errEngineStalled)
		}
	})
	defer timer.Stop()
	results, err := s.postSteps(ctx, steps)
	if err != nil && errors.Is(context.Cause(ctx), errEngineStalled) {
		err = errEngineStalled
	}
	s.endIteration(it, firstStepBytes, len(steps), err)
	return results, err
}

// firstStepBytes returns the input size of attempts' first steps, which contain
// whole prompts.
func (s *Server) firstStepBytes(steps []*wire.EngineStep) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, step := range steps {
		if a := s.attempts[step.Request]; a != nil && a.open.FirstIndex == step.Index {
			total += len(step.Prompt) + len(step.Generated) + len(step.Activation)
		}
	}
	return total
}

func (s *Server) startIteration(firstStepBytes int) *iteration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.iteration = &iteration{startedAt: time.Now(), overdueTimeout: s.iterationTimes.overdueTimeout(firstStepBytes)}
	return s.iteration
}

func (s *Server) endIteration(it *iteration, firstStepBytes, steps int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.iteration = nil
	if err != nil {
		return
	}
	now := time.Now()
	s.lastIteration = now
	if steps > 0 {
		s.iterationTimes.observe(firstStepBytes, now.Sub(it.startedAt))
	}
	awaiting := s.awaitingEngineCheck
	s.awaitingEngineCheck = nil
	for _, a := range awaiting {
		s.sendOpened(a)
	}
}

// detectStall polls the engine during an overdue iteration. It returns true once
// the engine has stalled, and false if ctx ends first.
func (s *Server) detectStall(ctx context.Context, it *iteration, firstStepBytes int) bool {
	s.mu.Lock()
	estimate, known := s.iterationTimes.estimate(firstStepBytes)
	s.mu.Unlock()
	if !known {
		estimate = 0
	}
	detector := &stallDetector{startedAt: it.startedAt, estimate: estimate, fallbackTimeout: s.opts.StepTimeout}
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		load := s.fetchEngineLoad(ctx)
		if ctx.Err() != nil {
			return false
		}
		if detector.stalled(time.Now(), load) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// fetchEngineLoad requests the engine's load. It returns nil if the engine does
// not respond in time.
func (s *Server) fetchEngineLoad(ctx context.Context) *engineLoad {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.opts.Backend+"/v1/load", nil)
	if err != nil {
		return nil
	}
	resp, err := answerhead.Do(s.engineClient.Do, req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	load := new(engineLoad)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(load); err != nil {
		return nil
	}
	return load
}

// checkEngineLiveness reports whether the engine is known to be alive. If no
// iteration has finished within livenessTTL, it starts an empty one as a check,
// so that a second stalled engine is found together with the first, before a
// replacement chain starts work on it. It must be called with the lock held.
func (s *Server) checkEngineLiveness(now time.Time) bool {
	if it := s.iteration; it != nil {
		return !it.overdue(now)
	}
	if now.Sub(s.lastIteration) < livenessTTL {
		return true
	}
	s.stepQueue.Push(&wire.EngineStep{})
	return false
}

// handleProbe reports an attempt's progress to its entry.
func (s *Server) handleProbe(entry string, p *wire.Probe, now time.Time) {
	progress := &wire.Progress{Request: p.Request, Attempt: p.Attempt, Sequence: p.Sequence}
	if a := s.currentAttempt(p.Request, p.Attempt); a != nil {
		s.checkEngineLiveness(now)
		progress.Known = true
		progress.NextIndex = a.nextIndex
		progress.Busy = a.inEngine || s.isForwarding(a, now)
	}
	s.sendToEntry(entry, &wire.WorkDown{Body: &wire.WorkDown_Progress{Progress: progress}})
}
