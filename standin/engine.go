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

// EngineOptions describes a stand-in engine.
type EngineOptions struct {
	Model   string
	Version string
	// First and Limit are the range of layers held, out of Layers.
	First, Limit, Layers uint32
	// StepTime is what one iteration takes; StepTimePerToken is added for each step of the batch.
	StepTime         time.Duration
	StepTimePerToken time.Duration
	// PrefillTimePerByte is added for each byte of a prompt that is not in the prefix cache.
	PrefillTimePerByte time.Duration
	// PrefixCacheEntries bounds the prefix cache.
	PrefixCacheEntries int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadTimePerLayer is how long loading one layer takes after an order.
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
	// Fence is the highest fencing number obeyed; 0 for an engine that ignores it.
	Fence int64 `json:"fence"`
	// Busy is set while weights are loaded; the engine holds no layers meanwhile.
	Busy bool `json:"busy"`
	// Target is what a busy engine will hold.
	Target *EngineState `json:"target,omitempty"`
}

// CacheEvent tells that a prefix entered or left the cache.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

type engineRequest struct {
	attempt uint32
	kv      *kvCache
}

// Engine is a stand-in for a model engine that holds a range of layers.
type Engine struct {
	opts EngineOptions

	mu       sync.Mutex
	state    EngineState
	requests map[string]*engineRequest
	prefixes []uint64
	events   []CacheEvent
	steps    int64
	layerRun int64
	// moves counts the orders that changed what the engine holds.
	moves int
	// progress counts parts of iterations. It moves while a long prompt runs.
	progress int64
	// hung is not nil while the engine hangs; it is closed when it goes on.
	hung chan struct{}

	// iteration holds a value while a batch runs; an engine runs one batch at a
	// time. A mutex would stop the clock of a synctest bubble.
	iteration chan struct{}
}

// NewEngine returns an engine that holds its range already; a range without
// layers makes it an empty engine that waits for an order.
func NewEngine(opts EngineOptions) *Engine {
	return &Engine{
		opts:     opts,
		state:    EngineState{Model: opts.Model, Version: opts.Version, First: opts.First, Limit: opts.Limit, Role: "serve"},
		requests: make(map[string]*engineRequest),

		iteration: make(chan struct{}, 1),
	}
}

// Handler serves the engine's interface.
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

// Hang makes the engine's iterations stop without closing connections. The
// engine goes on answering questions about its load.
func (e *Engine) Hang() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hung == nil {
		e.hung = make(chan struct{})
	}
}

// Resume lets a hung engine go on.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hung != nil {
		close(e.hung)
		e.hung = nil
	}
}

// waitWhileHung returns false when the caller left before the engine went on.
func (e *Engine) waitWhileHung(ctx context.Context) bool {
	e.mu.Lock()
	hung := e.hung
	e.mu.Unlock()
	if hung == nil {
		return true
	}
	select {
	case <-hung:
		return true
	case <-ctx.Done():
		return false
	}
}

// LayerExecutions counts how often a layer ran for a position.
func (e *Engine) LayerExecutions() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.layerRun
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
	results := e.run(r.Context(), batch)
	if !e.waitWhileHung(r.Context()) {
		return
	}
	answer, err := proto.Marshal(results)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(answer)
}

// run is one iteration over all steps of a batch.
func (e *Engine) run(ctx context.Context, batch *wire.EngineBatch) *wire.EngineResults {
	e.iteration <- struct{}{}
	defer func() { <-e.iteration }()
	results := &wire.EngineResults{}
	if len(batch.Steps) == 0 {
		return results
	}
	pause := e.opts.StepTime + time.Duration(len(batch.Steps))*e.opts.StepTimePerToken
	for _, step := range batch.Steps {
		result, prefill := e.runStep(step)
		results.Results = append(results.Results, result)
		pause += prefill
	}
	e.spend(ctx, pause)
	return results
}

// progressInterval is how often a long iteration shows progress.
const progressInterval = 20 * time.Millisecond

// spend takes the time of an iteration in parts and counts each of them.
func (e *Engine) spend(ctx context.Context, pause time.Duration) {
	for pause > 0 && e.waitWhileHung(ctx) {
		part := min(pause, progressInterval)
		time.Sleep(part)
		pause -= part
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
	inputs, err := e.inputs(step)
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
		inputs = skipHeld(inputs, step, req.kv)
	}
	if req == nil || req.attempt != step.Attempt {
		req = &engineRequest{attempt: step.Attempt, kv: newKV(int(e.state.Limit - e.state.First))}
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
		e.layerRun += int64(len(req.kv.Values))
		outputs = binary.LittleEndian.AppendUint64(outputs, last)
	}
	e.steps++
	if e.state.Limit < e.opts.Layers {
		result.Activation = outputs
	} else {
		finishResult(result, step, last)
	}
	return result, e.prefillTime(step)
}

// skipHeld drops the inputs of positions that the cache holds already.
func skipHeld(inputs []uint64, step *wire.EngineStep, kv *kvCache) []uint64 {
	first := int(step.Index) + 1 - len(inputs)
	held := int(kv.Positions) - first
	if held <= 0 || held >= len(inputs) {
		return inputs
	}
	return inputs[held:]
}

func finishResult(result *wire.EngineResult, step *wire.EngineStep, last uint64) {
	id, text, stop := tokenOf(last)
	result.Token, result.Text = id, text
	switch {
	case stop:
		result.Finish = FinishStop
	case step.Index+1 >= step.MaxTokens:
		result.Finish = FinishLength
	}
}

// inputs returns one value for each position that the step processes.
func (e *Engine) inputs(step *wire.EngineStep) ([]uint64, error) {
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

// prefillTime charges for a prompt that is not cached and puts it into the cache.
func (e *Engine) prefillTime(step *wire.EngineStep) time.Duration {
	if step.Prompt == "" {
		return 0
	}
	prefix := promptInput(step.Prompt)
	for _, p := range e.prefixes {
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
	if len(e.prefixes) == e.opts.PrefixCacheEntries {
		e.event(e.prefixes[0], false)
		e.prefixes = e.prefixes[1:]
	}
	e.prefixes = append(e.prefixes, prefix)
	e.event(prefix, true)
}

func (e *Engine) event(prefix uint64, stored bool) {
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

// Requests counts the requests whose KV cache the engine holds.
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

// order is a wanted state with the fencing number of the plan behind it.
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
	e.obey(o)
	writeJSON(w, e.state)
}

// obey brings the engine to the wanted state, after the time that loading takes.
func (e *Engine) obey(o order) {
	wanted := EngineState{Model: o.Model, Version: o.Version, Adapters: o.Adapters, First: o.First, Limit: o.Limit, Role: o.Role}
	if e.opts.ChecksFencing {
		wanted.Fence = o.Fence
	}
	held := e.state
	if held.Busy {
		held = *held.Target
	}
	moved := wanted.First != held.First || wanted.Limit != held.Limit || wanted.Model != held.Model || wanted.Version != held.Version
	if !moved && e.state.Busy {
		e.state.Fence, e.state.Target = wanted.Fence, &wanted
		return
	}
	e.state = wanted
	if !moved {
		return
	}
	e.moves++
	e.requests = make(map[string]*engineRequest)
	if e.opts.LoadTimePerLayer == 0 {
		return
	}
	e.state = EngineState{Model: o.Model, Fence: wanted.Fence, Busy: true, Target: &wanted}
	move := e.moves
	time.AfterFunc(time.Duration(o.Limit-o.First)*e.opts.LoadTimePerLayer, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		// A later order that needs other weights replaces this load.
		if e.moves == move {
			e.state = *e.state.Target
		}
	})
}

// WeightLoads counts the orders that changed what the engine holds.
func (e *Engine) WeightLoads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.moves
}

// State returns what the engine holds.
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
