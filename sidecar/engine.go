package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// maxQueuedSteps bounds the steps that wait for the engine.
	maxQueuedSteps = 1 << 16
	// maxBatchSteps bounds the steps of one iteration.
	maxBatchSteps = 1024
	// probeInterval is how often a backend server that failed is asked whether it is back.
	probeInterval = 500 * time.Millisecond
	cancelTimeout = time.Second
	// maxEngineAnswerBytes bounds an engine's answer to one batch.
	maxEngineAnswerBytes = 512 << 20
)

// engineClient returns the client for the engine. Its requests may be repeated.
func engineClient(opts Options) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:           opts.DialBackend,
		MaxIdleConnsPerHost:   4,
		ResponseHeaderTimeout: 0,
		IdleConnTimeout:       30 * time.Second,
		DisableCompression:    true,
	}}
}

// callTransport returns the transport for plain calls, which uses each connection once.
func callTransport(opts Options) *http.Transport {
	return &http.Transport{
		DialContext:        opts.DialBackend,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// runBatches hands all waiting steps to the engine, one iteration at a time.
func (s *Server) runBatches(ctx context.Context) error {
	var waiting []*wire.EngineStep
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-s.batch.Ready():
			}
		}
		fresh, _ := s.batch.Take()
		waiting = append(waiting, fresh...)
		n := min(len(waiting), maxBatchSteps)
		batch := s.stillWanted(waiting[:n])
		waiting = waiting[n:]
		if n > 0 {
			s.runBatch(ctx, batch)
		}
	}
}

// stillWanted drops the steps of attempts that ended or were replaced while
// they waited. A step without a request only asks whether the engine runs.
func (s *Server) stillWanted(steps []*wire.EngineStep) []*wire.EngineStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := make([]*wire.EngineStep, 0, len(steps))
	for _, step := range steps {
		if s.current(step.Request, step.Attempt) != nil {
			wanted = append(wanted, step)
		}
	}
	return wanted
}

func (s *Server) runBatch(ctx context.Context, steps []*wire.EngineStep) {
	if !s.isEngineUp() {
		return
	}
	results, err := s.watched(ctx, steps)
	if err != nil {
		s.engineFailed(ctx, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, result := range results.Results {
		s.finishStep(result)
	}
	s.openDeferred(time.Now())
}

// deferredOpen is an attempt that waits for a step of the attempt before it.
type deferredOpen struct {
	entry string
	open  *wire.Open
}

// openDeferred must be called with the lock held.
func (s *Server) openDeferred(now time.Time) {
	waiting := s.deferred
	s.deferred = nil
	for _, d := range waiting {
		s.handleOpen(d.entry, d.open, now)
	}
}

func (s *Server) postSteps(ctx context.Context, steps []*wire.EngineStep) (*wire.EngineResults, error) {
	body, err := proto.Marshal(&wire.EngineBatch{Steps: steps})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	answer, err := s.post(ctx, "/v1/steps", "application/x-protobuf", body)
	if err != nil {
		return nil, err
	}
	results := new(wire.EngineResults)
	if err := proto.Unmarshal(answer, results); err != nil {
		return nil, errors.Wrap(err, "decode engine results")
	}
	return results, nil
}

func (s *Server) post(ctx context.Context, path, contentType string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.opts.Backend+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", contentType)
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxEngineAnswerBytes))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, errors.Errorf("engine answered %s to %s", resp.Status, path)
	}
	return answer, nil
}

// engineFailed gives up all attempts, because none can go on here, and stays
// away from the engine until it answers again.
func (s *Server) engineFailed(ctx context.Context, cause error) {
	if ctx.Err() != nil {
		return
	}
	s.setEngineUp(false, cause)
	s.mu.Lock()
	for _, a := range s.opening {
		s.refuse(a.entry, a.key, wire.RefusalReason_REFUSAL_ENGINE_DOWN)
	}
	s.opening = nil
	s.openDeferred(time.Now())
	for _, a := range s.attempts {
		a.inEngine = false
		s.fail(a, "engine does not answer", a.open.Position)
	}
	s.mu.Unlock()
	s.start(func() { s.probeEngine(ctx) })
}

func (s *Server) isEngineUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engineUp
}

func (s *Server) setEngineUp(up bool, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engineUp = up
	event := logevent.EngineUp
	if !up {
		event = logevent.EngineDown
	}
	logevent.Write(s.opts.Logger, event).Str("id", s.opts.ID).AnErr("cause", cause).Msg("")
	for _, e := range s.entries {
		e.push(&wire.WorkDown{Body: &wire.WorkDown_Load{Load: s.load()}})
	}
}

func (s *Server) probeEngine(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s.engineAnswers(ctx) {
				s.setEngineUp(true, nil)
				return
			}
		}
	}
}

// engineAnswers runs an empty batch, because an engine can answer simple
// questions while its iterations hang.
func (s *Server) engineAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	_, err := s.postSteps(ctx, nil)
	return err == nil
}

// cancelRequest is the body of a cancel. It names the attempt, because a cancel
// may reach the engine after a later attempt of the request has begun there.
type cancelRequest struct {
	Requests []cancelled `json:"requests"`
}

type cancelled struct {
	Request string `json:"request"`
	// Attempt is the newest attempt that the engine may free.
	Attempt uint32 `json:"attempt"`
}

// cancelInEngine frees the KV cache of a request. A lost cancel costs memory
// until the engine evicts the request, never correctness.
func (s *Server) cancelInEngine(key attempt.Key) {
	if !s.isEngine() {
		return
	}
	body, err := json.Marshal(cancelRequest{Requests: []cancelled{{Request: key.Request, Attempt: key.Number}}})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.background, cancelTimeout)
	defer cancel()
	_, _ = s.post(ctx, "/v1/cancel", "application/json", body)
}
