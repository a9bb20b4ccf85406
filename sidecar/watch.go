package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// reportInterval is how often an overdue engine is asked whether it moves.
	reportInterval = 50 * time.Millisecond
	reportTimeout  = 100 * time.Millisecond
	// maxReportBytes bounds an engine's answer about its load.
	maxReportBytes = 1 << 20
	// freshness is how long a finished iteration proves that the engine runs.
	freshness = 100 * time.Millisecond
)

var errEngineHung = errors.New("engine makes no progress")

// iteration is the batch that runs in the engine.
type iteration struct {
	began time.Time
	limit time.Duration
}

// overdue tells whether the iteration takes longer than expected.
func (i *iteration) overdue(now time.Time) bool { return now.Sub(i.began) > i.limit }

// watched runs one iteration and gives it up when the engine hangs.
func (s *Server) watched(ctx context.Context, steps []*wire.EngineStep) (*wire.EngineResults, error) {
	firstBytes := s.firstBytes(steps)
	it := s.beginIteration(firstBytes)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(it.limit, func() {
		if s.watchOverdue(ctx, it, firstBytes) {
			cancel(errEngineHung)
		}
	})
	defer timer.Stop()
	results, err := s.postSteps(ctx, steps)
	if err != nil && errors.Is(context.Cause(ctx), errEngineHung) {
		err = errEngineHung
	}
	s.endIteration(it, firstBytes, len(steps), err)
	return results, err
}

// firstBytes is the size of the inputs of attempts' first steps, which carry
// whole prompts.
func (s *Server) firstBytes(steps []*wire.EngineStep) int {
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

func (s *Server) beginIteration(firstBytes int) *iteration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.iteration = &iteration{began: time.Now(), limit: s.pace.limit(firstBytes)}
	return s.iteration
}

func (s *Server) endIteration(it *iteration, firstBytes, steps int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.iteration = nil
	if err != nil {
		return
	}
	now := time.Now()
	s.lastIteration = now
	if steps > 0 {
		s.pace.observe(firstBytes, now.Sub(it.began))
	}
	waiting := s.opening
	s.opening = nil
	for _, a := range waiting {
		s.opened(a)
	}
}

// watchOverdue returns true when the engine hangs, and false when ctx ends first.
func (s *Server) watchOverdue(ctx context.Context, it *iteration, firstBytes int) bool {
	s.mu.Lock()
	expected, known := s.pace.expect(firstBytes)
	s.mu.Unlock()
	if !known {
		expected = 0
	}
	detector := &stall{began: it.began, expected: expected, hardLimit: s.opts.StepTimeout}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		report := s.engineReport(ctx)
		if ctx.Err() != nil {
			return false
		}
		if detector.hung(time.Now(), report) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// engineReport asks the engine about its load; nil means no answer in time.
func (s *Server) engineReport(ctx context.Context) *engineReport {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.opts.Backend+"/v1/load", nil)
	if err != nil {
		return nil
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	report := new(engineReport)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(report); err != nil {
		return nil
	}
	return report
}

// checkEngine starts an empty iteration when the engine has shown no sign of
// life for a while. A second engine that hangs is then found together with the
// first, before a replacement chain starts work on it. It must be called with
// the lock held and returns whether the engine is proven to run.
func (s *Server) checkEngine(now time.Time) bool {
	if it := s.iteration; it != nil {
		return !it.overdue(now)
	}
	if now.Sub(s.lastIteration) < freshness {
		return true
	}
	s.batch.Push(&wire.EngineStep{})
	return false
}

// handleProbe tells an entry where an attempt stands.
func (s *Server) handleProbe(entry string, p *wire.Probe, now time.Time) {
	progress := &wire.Progress{Request: p.Request, Attempt: p.Attempt, Sequence: p.Sequence}
	if a := s.current(p.Request, p.Attempt); a != nil {
		s.checkEngine(now)
		progress.Known = true
		progress.NextIndex = a.nextIndex
		progress.Busy = a.inEngine || s.isForwarding(a, now)
	}
	s.toEntry(entry, &wire.WorkDown{Body: &wire.WorkDown_Progress{Progress: progress}})
}
