// Package pipeline holds the decisions about chains of engines: which chain
// serves a request, which step may run at a stage, and how a request goes on
// after a stage is lost. It performs no I/O and reads no clock.
package pipeline

// StepKey names one step: one token of one attempt at the stage that holds the gate.
type StepKey struct {
	Request string
	Attempt uint32
	Index   uint32
}

// Verdict tells what to do with a step that arrives at a stage.
type Verdict int

// The verdicts.
const (
	// StepRun lets the step run; Done must follow when it has run.
	StepRun Verdict = iota
	// StepInProgress drops a repeat of a step that is running.
	StepInProgress
	// StepRepeat answers a repeat with the kept result.
	StepRepeat
	// StepStale refuses a step of an older attempt.
	StepStale
	// StepOutOfOrder refuses a step whose predecessor has not run, or one
	// that lies further back than the kept result.
	StepOutOfOrder
	// StepUnknown refuses a step of an attempt that is not open here.
	StepUnknown
)

type gateEntry struct {
	attempt uint32
	next    uint32
	running bool
	// hasResult tells that result belongs to step next-1.
	hasResult bool
	result    []byte
}

// StepGate makes every layer range run exactly once for each token of an
// attempt and in order. It keeps only the result of the last step: the stage
// before cannot need an older one, because it sends step n+1 only after step n
// went through the whole chain.
type StepGate struct {
	entries map[string]*gateEntry
}

// NewStepGate returns a gate without open attempts.
func NewStepGate() *StepGate {
	return &StepGate{entries: make(map[string]*gateEntry)}
}

// Open starts an attempt at its first step. A newer attempt replaces an older
// one; an attempt that is not newer is ignored and false is returned.
func (g *StepGate) Open(request string, attempt, firstIndex uint32) bool {
	known := g.entries[request]
	if known != nil && attempt <= known.attempt {
		return false
	}
	g.entries[request] = &gateEntry{attempt: attempt, next: firstIndex}
	return true
}

// Offer decides about a step. For StepRepeat it also returns the kept result.
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

// Done keeps the result of a step that ran. It returns false when the attempt
// was replaced or closed meanwhile; the result must then be dropped.
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

// Close forgets an attempt. A newer attempt of the same request stays.
func (g *StepGate) Close(request string, attempt uint32) {
	e := g.entries[request]
	if e != nil && e.attempt == attempt {
		delete(g.entries, request)
	}
}

// Len counts the open attempts.
func (g *StepGate) Len() int { return len(g.entries) }
