package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphirefield/sapphirefield/answerend"
	"github.com/sapphirefield/sapphirefield/answerhead"
	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// maxQueuedSteps limits the steps queued for the engine and the frames queued
	// for a hop.
	maxQueuedSteps = 1 << 16
	// maxBatchSteps limits the steps of one iteration.
	maxBatchSteps = 1024
	// probeInterval is the interval between health checks of an engine that is down.
	probeInterval = 500 * time.Millisecond
	cancelTimeout = time.Second
	// maxResponseHeaderBytes limits the header of a backend server's response.
	maxResponseHeaderBytes = 64 << 10
	// maxEngineResponseBytes limits an engine's response to one batch, whatever the batch.
	maxEngineResponseBytes = 512 << 20
	// maxCancelBytes limits an engine's response to a cancel, which nobody reads.
	maxCancelBytes = 16 << 10
	// resultBytes is what a result may hold beside its activation, and tokenBytes the
	// activation of one token, far above those of the models in use.
	resultBytes = 16 << 10
	tokenBytes  = 64 << 10
	// activationGrowth is how many times as large as its input a stage's activation may be.
	activationGrowth = 2
)

// maxResultsBytes limits an engine's response to a batch by what its steps can yield. A
// step with a prompt yields an activation for each of its tokens, which have a byte at
// least.
func maxResultsBytes(steps []*wire.EngineStep) int64 {
	total := int64(resultBytes)
	for _, step := range steps {
		activation := activationGrowth * len(step.Activation)
		if activation == 0 {
			activation = (1 + len(step.Prompt) + len(step.Generated)) * tokenBytes
		}
		total += resultBytes + int64(activation)
	}
	return min(total, maxEngineResponseBytes)
}

// newEngineClient returns the client for the engine. Its requests are safe to
// retry, so that it may reuse connections.
func newEngineClient(opts Options) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            opts.DialBackend,
		MaxIdleConnsPerHost:    4,
		ResponseHeaderTimeout:  0,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// newCallTransport returns the transport for plain calls, which opens a new
// connection for each request.
func newCallTransport(opts Options) *http.Transport {
	return &http.Transport{
		DialContext:            opts.DialBackend,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// runBatches runs queued steps in the engine, in batches and one iteration at a
// time.
func (s *Server) runBatches(ctx context.Context) error {
	var waiting []*wire.EngineStep
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-s.stepQueue.Ready():
			}
		}
		queued, _ := s.stepQueue.Take()
		waiting = append(waiting, queued...)
		n := min(len(waiting), maxBatchSteps)
		batch := s.dropStaleSteps(waiting[:n])
		waiting = waiting[n:]
		if n > 0 {
			s.runBatch(ctx, batch)
		}
	}
}

// dropStaleSteps returns the steps whose attempts neither ended nor were
// replaced while queued. It also drops steps without a request, which only
// trigger an empty iteration as a liveness check.
func (s *Server) dropStaleSteps(steps []*wire.EngineStep) []*wire.EngineStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := make([]*wire.EngineStep, 0, len(steps))
	for _, step := range steps {
		if s.currentAttempt(step.Request, step.Attempt) != nil {
			current = append(current, step)
		}
	}
	return current
}

func (s *Server) runBatch(ctx context.Context, steps []*wire.EngineStep) {
	if !s.isEngineUp() {
		return
	}
	defer s.cancelEndedRequests(steps)
	results, err := s.runIteration(ctx, steps)
	if err != nil {
		s.handleEngineFailure(ctx, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, result := range results.Results {
		s.finishStep(result)
	}
	s.handleDeferredOpens(time.Now())
}

// cancelEndedRequests cancels the requests of a batch that have ended since it was sent.
// The first cancel may have overtaken the batch, whose steps then began them again.
func (s *Server) cancelEndedRequests(steps []*wire.EngineStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, step := range steps {
		if s.isOpen(step.Request) {
			continue
		}
		key := attempt.Key{Request: step.Request, Number: step.Attempt}
		s.startTask(func() { s.cancelInEngine(key) })
	}
}

// isOpen reports whether an attempt of a request is open, or will be once the engine has
// finished a step. A later attempt may continue with the state of an earlier one.
func (s *Server) isOpen(request string) bool {
	return s.attempts[request] != nil || slices.ContainsFunc(s.deferredOpens, func(d deferredOpen) bool { return d.open.Request == request })
}

// deferredOpen is an Open that waits for a running step of the previous attempt.
type deferredOpen struct {
	entry string
	open  *wire.Open
}

// handleDeferredOpens handles the deferred Opens again. It must be called with
// the lock held.
func (s *Server) handleDeferredOpens(now time.Time) {
	deferred := s.deferredOpens
	s.deferredOpens = nil
	for _, d := range deferred {
		s.handleOpen(d.entry, d.open, now)
	}
}

func (s *Server) postSteps(ctx context.Context, steps []*wire.EngineStep) (*wire.EngineResults, error) {
	body, err := proto.Marshal(&wire.EngineBatch{Steps: steps})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := s.post(ctx, "/v1/steps", "application/x-protobuf", body, maxResultsBytes(steps))
	if err != nil {
		return nil, err
	}
	results := new(wire.EngineResults)
	if err := proto.Unmarshal(response.body, results); err != nil {
		return nil, errors.Wrap(err, "decode engine results")
	}
	if response.end.NeedsEvidence() && len(results.Results) < len(steps) {
		// The first part of a list of results is one too.
		return nil, errors.Wrapf(errUndelimitedResponse, "%d results for %d steps", len(results.Results), len(steps))
	}
	return results, nil
}

// engineResponse is the body of an engine's response and how it has ended.
type engineResponse struct {
	body []byte
	end  answerend.End
}

func (s *Server) post(ctx context.Context, path, contentType string, body []byte, maxBytes int64) (engineResponse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.opts.Backend+path, bytes.NewReader(body))
	if err != nil {
		return engineResponse{}, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", contentType)
	sentAt := time.Now()
	resp, err := answerhead.Do(s.engineClient.Do, req)
	if err != nil {
		return engineResponse{}, errors.WithStack(err)
	}
	s.observeResponse(resp, sentAt)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxBytes))
	if err != nil {
		return engineResponse{}, errors.WithStack(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return engineResponse{}, errors.Errorf("engine answered %s to %s", resp.Status, path)
	}
	return engineResponse{data, endOf(resp)}, nil
}

// handleEngineFailure reports all attempts as failed, because none can continue
// here, and sends the engine no steps until a health check succeeds.
func (s *Server) handleEngineFailure(ctx context.Context, cause error) {
	if ctx.Err() != nil {
		return
	}
	s.setEngineUp(false, cause)
	reason := s.failureReason(ctx, time.Time{}, cause, "engine does not answer")
	s.mu.Lock()
	for _, a := range s.awaitingEngineCheck {
		s.refuse(a.entry, a.key, wire.RefusalReason_REFUSAL_ENGINE_DOWN)
	}
	s.awaitingEngineCheck = nil
	s.handleDeferredOpens(time.Now())
	for _, a := range s.attempts {
		a.inEngine = false
		s.reportFailure(a, reason, a.open.Position)
	}
	s.mu.Unlock()
	s.startTask(func() { s.probeEngine(ctx) })
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
	if up {
		s.ends.down = false
	}
	event := logevent.EngineUp
	if !up {
		event = logevent.EngineDown
	}
	logevent.Write(s.opts.Logger, event).Str("id", s.opts.ID).AnErr("cause", cause).Msg("")
	for _, e := range s.entries {
		e.push(&wire.WorkDown{Body: &wire.WorkDown_Load{Load: s.loadReport()}})
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
			if s.engineResponds(ctx) {
				s.setEngineUp(true, nil)
				return
			}
		}
	}
}

// engineResponds reports whether the engine runs an empty batch. A simple status
// request is not enough, because an engine can answer it while its iterations
// hang.
func (s *Server) engineResponds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	_, err := s.postSteps(ctx, nil)
	return err == nil
}

// cancelRequest is the body of a cancel request. It includes the attempt,
// because it may reach the engine after a later attempt of the same request has
// started there.
type cancelRequest struct {
	Requests []cancelledRequest `json:"requests"`
}

type cancelledRequest struct {
	Request string `json:"request"`
	// Attempt is the newest attempt whose KV cache the engine may free.
	Attempt uint32 `json:"attempt"`
}

// cancelInEngine makes the engine free the KV cache of a request. Errors are
// ignored: a lost cancel only costs memory until the engine evicts the request.
func (s *Server) cancelInEngine(key attempt.Key) {
	if !s.isEngine() {
		return
	}
	body, err := json.Marshal(cancelRequest{Requests: []cancelledRequest{{Request: key.Request, Attempt: key.Number}}})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.background, cancelTimeout)
	defer cancel()
	_, _ = s.post(ctx, "/v1/cancel", "application/json", body, maxCancelBytes)
}
