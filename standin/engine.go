package standin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirefield/sapphirefield/wire"
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	Model   string
	Version string
	// The engine starts with layers [First, Limit) of the model's Layers loaded.
	First, Limit, Layers uint32
	// StepTime is the duration of one iteration; StepTimePerToken is added for each step of the batch.
	StepTime         time.Duration
	StepTimePerToken time.Duration
	// PrefillTimePerByte is added for each byte of a prompt that is not in the prefix cache.
	PrefillTimePerByte time.Duration
	// PrefixCacheEntries bounds the prefix cache; 0 disables it.
	PrefixCacheEntries int
	// ChecksFencing makes the engine refuse orders with an outdated fencing number.
	ChecksFencing bool
	// LoadTimePerLayer is the time that loading one layer takes after an order.
	LoadTimePerLayer time.Duration
}

// EngineState is the state that orders change, as GET /v1/state returns it.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	First    uint32   `json:"first"`
	Limit    uint32   `json:"limit"`
	Role     string   `json:"role"`
	// Fence is the highest accepted fencing number; 0 if the engine ignores fencing numbers.
	Fence int64 `json:"fence"`
	// Busy is set while weights are being loaded; the engine serves no layers meanwhile.
	Busy bool `json:"busy"`
	// Target is the state of a busy engine once the load has finished.
	Target *EngineState `json:"target,omitempty"`
}

// CacheEvent reports that a prefix was added to or evicted from the cache.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

type engineRequest struct {
	attempt uint32
	kv      *kvCache
}

// Engine simulates a model engine that serves a range of layers.
type Engine struct {
	opts EngineOptions

	mu              sync.Mutex
	state           EngineState
	requests        map[string]*engineRequest
	cachedPrefixes  []uint64
	events          []CacheEvent
	steps           int64
	layerExecutions int64
	// weightLoads counts the orders that needed other weights.
	weightLoads int
	// progress counts intervals of iterations, so that it also grows during a long prefill.
	progress int64
	// resumed is not nil while the engine hangs; it is closed when the engine resumes.
	resumed chan struct{}
	crashes crashTrigger

	// iterationSlot holds a value while a batch runs; an engine runs one batch at a
	// time. Waiting for a mutex would stop the clock of a synctest bubble.
	iterationSlot chan struct{}
}

// NewEngine returns an engine with its layer range loaded. With an empty range, it
// serves nothing until it receives an order.
func NewEngine(opts EngineOptions) *Engine {
	return &Engine{
		opts:     opts,
		state:    EngineState{Model: opts.Model, Version: opts.Version, First: opts.First, Limit: opts.Limit, Role: "serve"},
		requests: make(map[string]*engineRequest),

		iterationSlot: make(chan struct{}, 1),
	}
}

// Handler serves the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/steps", e.serveSteps)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("GET /v1/kv/{request}", e.serveExportKV)
	mux.HandleFunc("PUT /v1/kv/{request}", e.serveImportKV)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/state", e.serveState)
	return mux
}

// Hang stops the engine's iterations without closing connections. The engine still
// responds to other calls, such as GET /v1/load.
func (e *Engine) Hang() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resumed == nil {
		e.resumed = make(chan struct{})
	}
}

// Resume resumes a hung engine.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resumed != nil {
		close(e.resumed)
		e.resumed = nil
	}
}

// waitWhileHung returns false if ctx ended before the engine resumed.
func (e *Engine) waitWhileHung(ctx context.Context) bool {
	e.mu.Lock()
	resumed := e.resumed
	e.mu.Unlock()
	if resumed == nil {
		return true
	}
	select {
	case <-resumed:
		return true
	case <-ctx.Done():
		return false
	}
}

// LayerExecutions returns the number of layer executions, counted per position.
func (e *Engine) LayerExecutions() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.layerExecutions
}

func (e *Engine) serveSteps(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	batch := new(wire.EngineBatch)
	if err := proto.Unmarshal(body, batch); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.waitWhileHung(r.Context()) {
		return
	}
	results := e.runBatch(r.Context(), batch)
	if !e.waitWhileHung(r.Context()) {
		return
	}
	encoded, err := proto.Marshal(results)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(encoded)
}

// CrashOn calls crash when a request with the given prompt is begun.
func (e *Engine) CrashOn(prompt string, crash func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes = crashTrigger{prompt, crash}
}

// runBatch runs one iteration over all steps of a batch.
func (e *Engine) runBatch(ctx context.Context, batch *wire.EngineBatch) *wire.EngineResults {
	e.iterationSlot <- struct{}{}
	defer func() { <-e.iterationSlot }()
	results := &wire.EngineResults{}
	if len(batch.Steps) == 0 {
		return results
	}
	e.mu.Lock()
	crashes := e.crashes
	e.mu.Unlock()
	for _, step := range batch.Steps {
		if step.Prompt != "" {
			crashes.fire(step.Prompt)
		}
	}
	duration := e.opts.StepTime + time.Duration(len(batch.Steps))*e.opts.StepTimePerToken
	for _, step := range batch.Steps {
		result, prefill := e.runStep(step)
		results.Results = append(results.Results, result)
		duration += prefill
	}
	e.simulateIteration(ctx, duration)
	return results
}

// progressInterval is the time between progress updates of a long iteration.
const progressInterval = 20 * time.Millisecond

// simulateIteration sleeps for the duration of an iteration and counts progress.
func (e *Engine) simulateIteration(ctx context.Context, duration time.Duration) {
	for duration > 0 && e.waitWhileHung(ctx) {
		interval := min(duration, progressInterval)
		time.Sleep(interval)
		duration -= interval
		e.mu.Lock()
		e.progress++
		e.mu.Unlock()
	}
}

func (e *Engine) runStep(step *wire.EngineStep) (*wire.EngineResult, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	result := &wire.EngineResult{Request: step.Request, Attempt: step.Attempt, Index: step.Index}
	if e.state.Limit == 0 {
		result.Error = "engine holds no layers"
		return result, 0
	}
	inputs, err := e.stepInputs(step)
	if err != nil {
		result.Error = err.Error()
		return result, 0
	}
	req := e.requests[step.Request]
	if req != nil && step.Attempt < req.attempt {
		result.Error = fmt.Sprintf("attempt %d is older than attempt %d", step.Attempt, req.attempt)
		return result, 0
	}
	if req != nil && step.Continues != 0 && req.attempt == step.Continues {
		req.attempt = step.Attempt
		inputs = skipCached(inputs, step, req.kv)
	}
	if req == nil || req.attempt != step.Attempt {
		req = &engineRequest{attempt: step.Attempt, kv: newKVCache(int(e.state.Limit - e.state.First))}
		e.requests[step.Request] = req
	}
	if req.kv.Positions+uint32(len(inputs)) != step.Index+1 {
		result.Error = fmt.Sprintf("step %d with %d inputs does not follow position %d", step.Index, len(inputs), req.kv.Positions)
		return result, 0
	}
	outputs := make([]byte, 0, 8*len(inputs))
	var last uint64
	for _, x := range inputs {
		last = req.kv.forward(e.state.First, x)
		e.layerExecutions += int64(len(req.kv.Values))
		outputs = binary.LittleEndian.AppendUint64(outputs, last)
	}
	e.steps++
	if e.state.Limit < e.opts.Layers {
		result.Activation = outputs
	} else {
		setToken(result, step, last)
	}
	return result, e.prefillTime(step)
}

// skipCached drops the inputs of positions that are already in the KV cache.
func skipCached(inputs []uint64, step *wire.EngineStep, kv *kvCache) []uint64 {
	first := int(step.Index) + 1 - len(inputs)
	cached := int(kv.Positions) - first
	if cached <= 0 || cached >= len(inputs) {
		return inputs
	}
	return inputs[cached:]
}

func setToken(result *wire.EngineResult, step *wire.EngineStep, last uint64) {
	id, text, stop := tokenOf(last)
	result.Token, result.Text = id, text
	switch {
	case stop:
		result.Finish = FinishStop
	case step.Index+1 >= step.MaxTokens:
		result.Finish = FinishLength
	}
}

// stepInputs returns one value for each position that the step processes.
func (e *Engine) stepInputs(step *wire.EngineStep) ([]uint64, error) {
	if e.state.First > 0 {
		return decodeActivation(step.Activation)
	}
	if step.Prompt == "" && len(step.Generated) == 0 {
		return []uint64{tokenInput(step.Token)}, nil
	}
	inputs := []uint64{promptInput(step.Prompt)}
	for _, token := range step.Generated {
		inputs = append(inputs, tokenInput(token))
	}
	return inputs, nil
}

func decodeActivation(data []byte) ([]uint64, error) {
	if len(data) == 0 || len(data)%8 != 0 {
		return nil, fmt.Errorf("activation of %d bytes is not a whole number of positions", len(data))
	}
	inputs := make([]uint64, 0, len(data)/8)
	for ; len(data) > 0; data = data[8:] {
		inputs = append(inputs, binary.LittleEndian.Uint64(data))
	}
	return inputs, nil
}

// prefillTime returns the prefill time of a step's prompt, which is 0 if it is in the
// prefix cache, and adds the prompt to the cache.
func (e *Engine) prefillTime(step *wire.EngineStep) time.Duration {
	if step.Prompt == "" {
		return 0
	}
	prefix := promptInput(step.Prompt)
	for _, p := range e.cachedPrefixes {
		if p == prefix {
			return 0
		}
	}
	e.storePrefix(prefix)
	return time.Duration(len(step.Prompt)) * e.opts.PrefillTimePerByte
}

func (e *Engine) storePrefix(prefix uint64) {
	if e.opts.PrefixCacheEntries == 0 {
		return
	}
	if len(e.cachedPrefixes) == e.opts.PrefixCacheEntries {
		e.recordCacheEvent(e.cachedPrefixes[0], false)
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	e.recordCacheEvent(prefix, true)
}

func (e *Engine) recordCacheEvent(prefix uint64, stored bool) {
	e.events = append(e.events, CacheEvent{Sequence: int64(len(e.events)), Prefix: prefix, Stored: stored})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Requests []struct {
			Request string `json:"request"`
			Attempt uint32 `json:"attempt"`
		} `json:"requests"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, cancelled := range body.Requests {
		req := e.requests[cancelled.Request]
		if req != nil && req.attempt <= cancelled.Attempt {
			delete(e.requests, cancelled.Request)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveExportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	req := e.requests[r.PathValue("request")]
	if req == nil {
		http.Error(w, "no KV cache for this request", http.StatusNotFound)
		return
	}
	writeJSON(w, req.kv)
}

func (e *Engine) serveImportKV(w http.ResponseWriter, r *http.Request) {
	kv := new(kvCache)
	if err := json.NewDecoder(r.Body).Decode(kv); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt, err := strconv.ParseUint(r.URL.Query().Get("attempt"), 10, 32)
	if err != nil {
		http.Error(w, "attempt is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(kv.Values) != int(e.state.Limit-e.state.First) {
		http.Error(w, "KV cache is of another layer range", http.StatusConflict)
		return
	}
	e.requests[r.PathValue("request")] = &engineRequest{attempt: uint32(attempt), kv: kv}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := map[string]int64{"requests": int64(len(e.requests)), "steps": e.steps, "progress": e.progress}
	e.mu.Unlock()
	writeJSON(w, load)
}

// Requests returns the number of requests with a KV cache on the engine.
func (e *Engine) Requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	from = max(0, min(from, int64(len(e.events))))
	writeJSON(w, map[string][]CacheEvent{"events": e.events[from:]})
}

// order is the desired state of an engine, with the fencing number of its plan.
type order struct {
	Fence    int64    `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	First    uint32   `json:"first"`
	Limit    uint32   `json:"limit"`
	Role     string   `json:"role"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if o.First >= o.Limit || o.Limit > e.opts.Layers {
		http.Error(w, "layer range is empty or outside the model", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && o.Fence < e.state.Fence {
		http.Error(w, fmt.Sprintf("fencing number %d is older than %d", o.Fence, e.state.Fence), http.StatusConflict)
		return
	}
	e.applyOrder(o)
	writeJSON(w, e.state)
}

// applyOrder changes the engine to the desired state, after the load time if it needs other weights.
func (e *Engine) applyOrder(o order) {
	target := EngineState{Model: o.Model, Version: o.Version, Adapters: o.Adapters, First: o.First, Limit: o.Limit, Role: o.Role}
	if e.opts.ChecksFencing {
		target.Fence = o.Fence
	}
	current := e.state
	if current.Busy {
		current = *current.Target
	}
	needsLoad := target.First != current.First || target.Limit != current.Limit || target.Model != current.Model || target.Version != current.Version
	if !needsLoad && e.state.Busy {
		e.state.Fence, e.state.Target = target.Fence, &target
		return
	}
	e.state = target
	if !needsLoad {
		return
	}
	e.weightLoads++
	e.requests = make(map[string]*engineRequest)
	if e.opts.LoadTimePerLayer == 0 {
		return
	}
	e.state = EngineState{Model: o.Model, Fence: target.Fence, Busy: true, Target: &target}
	load := e.weightLoads
	time.AfterFunc(time.Duration(o.Limit-o.First)*e.opts.LoadTimePerLayer, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		// A later order that needs other weights supersedes this load.
		if e.weightLoads == load {
			e.state = *e.state.Target
		}
	})
}

// WeightLoads returns the number of orders that needed other weights.
func (e *Engine) WeightLoads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weightLoads
}

// State returns the engine's current state.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.state)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
