package pipeline

// StepKey identifies a step at a stage: one token of one attempt of a request.
type StepKey struct {
	Request string
	Attempt uint32
	Index   uint32
}

// Verdict is a StepGate's decision about a step that arrives at a stage.
type Verdict int

// Verdicts of a StepGate.
const (
	// StepRun lets the step run. Done must be called when it has run.
	StepRun Verdict = iota
	// StepInProgress drops a duplicate of a step that is running.
	StepInProgress
	// StepRepeat answers a duplicate of the last completed step with its stored result.
	StepRepeat
	// StepStale rejects a step of an older attempt.
	StepStale
	// StepOutOfOrder rejects a step whose predecessor has not run, or one that
	// is older than the stored result.
	StepOutOfOrder
	// StepUnknown rejects a step of an attempt that is not open at this stage.
	StepUnknown
)

type gateEntry struct {
	attempt uint32
	next    uint32
	running bool
	// hasResult is set if result holds the result of step next-1.
	hasResult bool
	result    []byte
}

// StepGate ensures that a stage runs its layer range exactly once for each token
// of an attempt, in order. It stores only the result of the last step: the
// preceding stage never needs an older one, because it sends step n+1 only after
// step n has passed through the whole chain.
type StepGate struct {
	entries map[string]*gateEntry
}

// NewStepGate returns a gate without open attempts.
func NewStepGate() *StepGate {
	return &StepGate{entries: make(map[string]*gateEntry)}
}

// Open opens an attempt whose first step is firstIndex. A newer attempt replaces
// an older one. Open ignores an attempt that is not newer and returns false.
func (g *StepGate) Open(request string, attempt, firstIndex uint32) bool {
	known := g.entries[request]
	if known != nil && attempt <= known.attempt {
		return false
	}
	g.entries[request] = &gateEntry{attempt: attempt, next: firstIndex}
	return true
}

// Offer decides whether a step may run. For StepRepeat it also returns the stored result.
func (g *StepGate) Offer(key StepKey) (Verdict, []byte) {
	e := g.entries[key.Request]
	switch {
	case e == nil || key.Attempt > e.attempt:
		return StepUnknown, nil
	case key.Attempt < e.attempt:
		return StepStale, nil
	case key.Index == e.next && e.running:
		return StepInProgress, nil
	case key.Index == e.next:
		e.running = true
		return StepRun, nil
	case key.Index+1 == e.next && e.hasResult:
		return StepRepeat, e.result
	default:
		return StepOutOfOrder, nil
	}
}

// Done stores the result of a step that has run. It returns false if the attempt
// was replaced or closed in the meantime; the result must then be dropped.
func (g *StepGate) Done(key StepKey, result []byte) bool {
	e := g.entries[key.Request]
	if e == nil || e.attempt != key.Attempt || e.next != key.Index || !e.running {
		return false
	}
	e.next++
	e.running = false
	e.hasResult = true
	e.result = result
	return true
}

// Close closes an attempt. A newer attempt of the same request stays open.
func (g *StepGate) Close(request string, attempt uint32) {
	e := g.entries[request]
	if e != nil && e.attempt == attempt {
		delete(g.entries, request)
	}
}

// Len returns the number of open attempts.
func (g *StepGate) Len() int { return len(g.entries) }
