package sidecar

import (
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/wire"
)

// stageAttempt is one attempt for which this sidecar is a stage.
type stageAttempt struct {
	key   attempt.Key
	entry string
	open  *wire.Open
	// tokens holds what the last stage generated, for an entry that reconnects.
	tokens []*wire.Token
	// nextIndex is the index of the next step that will be finished here.
	nextIndex uint32
	// inEngine is set while a step waits for or runs in the engine.
	inEngine bool
	// kvAttempt is the attempt under which the engine holds the KV cache; 0 when there is none.
	kvAttempt uint32
	history   history
	// partialActivation is the part of a step's activation that has arrived.
	partialActivation []byte
	// awaitingResumeSince is when the entry came back without having resumed the attempt.
	awaitingResumeSince time.Time
}

func (a *stageAttempt) isFirst() bool { return a.open.Position == 0 }

func (a *stageAttempt) isLast() bool { return int(a.open.Position) == len(a.open.Chain)-1 }

// next is the stage behind this one; a last stage has none.
func (a *stageAttempt) next() *wire.Stage { return a.open.Chain[a.open.Position+1] }

// The methods below must be called with the lock held.

// maxOpenAttempts bounds the attempts and the calls that are open at the same time.
const maxOpenAttempts = 1 << 14

func (s *Server) handleOpen(entry string, open *wire.Open, now time.Time) {
	key := attempt.Key{Request: open.Request, Number: open.Attempt}
	old := s.attempts[open.Request]
	if reason := s.refusalReason(old, open); reason != wire.RefusalReason_REFUSAL_UNSPECIFIED {
		s.refuse(entry, key, reason)
		return
	}
	if keepsState(open) && old != nil && old.inEngine {
		// The step that runs decides where the new attempt begins.
		s.deferredOpens = append(s.deferredOpens, deferredOpen{entry: entry, open: open})
		return
	}
	if keepsState(open) && !s.canTakeOver(old, open) {
		s.refuse(entry, key, wire.RefusalReason_REFUSAL_NOT_KEPT)
		return
	}
	switch refusal := s.openInLedger(key, open); refusal {
	case attempt.RefusalNone:
		s.acceptOpen(&stageAttempt{key: key, entry: entry, open: open, nextIndex: open.FirstIndex}, old, now)
	case attempt.RefusalDuplicate:
		// The first delivery of the attempt is answered.
	default:
		s.refuse(entry, key, wireRefusal(refusal))
	}
}

// refusalReason returns why the engine cannot serve an attempt, whatever the ledger says.
func (s *Server) refusalReason(old *stageAttempt, open *wire.Open) wire.RefusalReason {
	switch {
	case !s.servesRange(open):
		return wire.RefusalReason_REFUSAL_WRONG_RANGE
	case !s.engineUp:
		return wire.RefusalReason_REFUSAL_ENGINE_DOWN
	case len(s.attempts) >= maxOpenAttempts && old == nil:
		return wire.RefusalReason_REFUSAL_OVERLOADED
	default:
		return wire.RefusalReason_REFUSAL_UNSPECIFIED
	}
}

func (s *Server) openInLedger(key attempt.Key, open *wire.Open) attempt.Refusal {
	if keepsState(open) {
		return s.ledger.Continue(key, open.Incarnation)
	}
	return s.ledger.Open(key, open.Incarnation)
}

// acceptOpen puts an attempt that the ledger accepted in place of the old one.
func (s *Server) acceptOpen(a, old *stageAttempt, now time.Time) {
	s.gate.Open(a.open.Request, a.open.Attempt, a.open.FirstIndex)
	if keepsState(a.open) {
		s.takeOver(a, old)
	}
	if old != nil {
		s.dropHistory(old)
	}
	s.attempts[a.open.Request] = a
	// A replay is expensive, so a later attempt starts only on engines that
	// are proven to run.
	if a.open.Attempt > 1 && !s.checkEngineLiveness(now) {
		s.awaitingEngineCheck = append(s.awaitingEngineCheck, a)
		return
	}
	s.sendOpened(a)
}

// sendOpened tells the entry that the attempt may start.
func (s *Server) sendOpened(a *stageAttempt) {
	s.sendToEntry(a.entry, &wire.WorkDown{Body: &wire.WorkDown_Opened{Opened: &wire.Opened{
		Request: a.key.Request, Attempt: a.key.Number,
	}}})
}

// servesRange checks that the chain's place for this sidecar is the range that its engine holds.
func (s *Server) servesRange(open *wire.Open) bool {
	if s.serving.Layers == nil || open.Model != s.opts.Model || open.Version != s.serving.Version || int(open.Position) >= len(open.Chain) {
		return false
	}
	layers := open.Chain[open.Position].GetLayers()
	return layers.GetFirst() == s.serving.Layers.First && layers.GetLimit() == s.serving.Layers.Limit
}

func (s *Server) handleStart(entry string, start *wire.Start) {
	a := s.currentAttempt(start.Request, start.Attempt)
	if a == nil || a.entry != entry || !a.isFirst() {
		key := attempt.Key{Request: start.Request, Number: start.Attempt}
		s.refuse(entry, key, wire.RefusalReason_REFUSAL_UNKNOWN_ATTEMPT)
		return
	}
	s.offerStep(a, s.firstStep(a, start))
}

// firstStep carries the prompt and all tokens, or only the last token when the
// engine holds the KV cache of the others.
func (s *Server) firstStep(a *stageAttempt, start *wire.Start) *wire.EngineStep {
	step := s.newEngineStep(a, a.open.FirstIndex)
	if n := len(start.Generated); a.kvAttempt != 0 && n > 0 {
		step.Token = start.Generated[n-1].Id
		return step
	}
	step.Prompt = start.Prompt
	for _, token := range start.Generated {
		step.Generated = append(step.Generated, token.Id)
	}
	return step
}

func (s *Server) currentAttempt(request string, number uint32) *stageAttempt {
	a := s.attempts[request]
	if a == nil || a.key.Number != number || !s.ledger.IsCurrent(a.key) {
		return nil
	}
	return a
}

func (s *Server) newEngineStep(a *stageAttempt, index uint32) *wire.EngineStep {
	step := &wire.EngineStep{
		Request: a.key.Request, Attempt: a.key.Number, Index: index,
		Priority: a.open.Priority, MaxTokens: a.open.MaxTokens,
	}
	if index == a.open.FirstIndex {
		step.Parameters = a.open.Parameters
	}
	if a.kvAttempt != a.key.Number {
		step.Continues = a.kvAttempt
	}
	return step
}

// offerStep passes a step through the gate to the engine. It returns the reason of a refusal.
func (s *Server) offerStep(a *stageAttempt, step *wire.EngineStep) wire.RefusalReason {
	verdict, kept := s.gate.Offer(pipeline.StepKey{Request: step.Request, Attempt: step.Attempt, Index: step.Index})
	switch verdict {
	case pipeline.StepRun:
		s.ledger.Begin(a.key)
		a.inEngine = true
		s.stepQueue.Push(step)
	case pipeline.StepRepeat:
		if a.isLast() {
			s.resendToken(a, step.Index)
		}
		s.forwardOutput(a, step.Index, kept)
	case pipeline.StepStale:
		return wire.RefusalReason_REFUSAL_STALE_ATTEMPT
	case pipeline.StepOutOfOrder:
		return wire.RefusalReason_REFUSAL_OUT_OF_ORDER
	case pipeline.StepUnknown:
		return wire.RefusalReason_REFUSAL_UNKNOWN_ATTEMPT
	}
	return wire.RefusalReason_REFUSAL_UNSPECIFIED
}

// finishStep acts on the engine's result of a step.
func (s *Server) finishStep(result *wire.EngineResult) {
	a := s.currentAttempt(result.Request, result.Attempt)
	if a == nil {
		return
	}
	if result.Error != "" {
		a.inEngine = false
		s.reportFailure(a, result.Error, a.open.Position)
		return
	}
	key := pipeline.StepKey{Request: result.Request, Attempt: result.Attempt, Index: result.Index}
	if !s.gate.Done(key, result.Activation) {
		return
	}
	a.inEngine = false
	a.nextIndex = result.Index + 1
	a.kvAttempt = a.key.Number
	s.recordOutput(a, result.Activation)
	if !a.isLast() {
		s.forwardOutput(a, result.Index, result.Activation)
		return
	}
	s.emitToken(a, &wire.Token{
		Request: result.Request, Attempt: result.Attempt, Index: result.Index,
		Value: &wire.TokenValue{Id: result.Token, Text: result.Text}, Finish: result.Finish,
	})
}

// forwardOutput sends a step's output to the next stage.
func (s *Server) forwardOutput(a *stageAttempt, index uint32, activation []byte) {
	if a.isLast() {
		return
	}
	output, complete := a.outputFor(index, activation)
	if !complete {
		s.reportFailure(a, "outputs for a new stage are no longer kept", a.open.Position)
		return
	}
	s.hopTo(a.next()).pushStep(&wire.Step{
		Request: a.key.Request, Attempt: a.key.Number, Index: index, Activation: output,
	})
}

func (s *Server) emitToken(a *stageAttempt, token *wire.Token) {
	a.tokens = append(a.tokens, token)
	s.sendToken(a, token)
}

func (s *Server) sendToken(a *stageAttempt, token *wire.Token) {
	s.sendToEntry(a.entry, tokensFrame(token))
	if token.Finish != "" {
		return
	}
	if a.isFirst() {
		s.startNextStep(a, token)
		return
	}
	s.hopTo(a.open.Chain[0]).pushToken(token)
}

func tokensFrame(tokens ...*wire.Token) *wire.WorkDown {
	return &wire.WorkDown{Body: &wire.WorkDown_Tokens{Tokens: &wire.Tokens{Tokens: tokens}}}
}

// startNextStep starts the next step at the first stage.
func (s *Server) startNextStep(a *stageAttempt, token *wire.Token) wire.RefusalReason {
	step := s.newEngineStep(a, token.Index+1)
	step.Token = token.Value.GetId()
	return s.offerStep(a, step)
}

// handleResume sends the tokens again that an entry may have missed.
func (s *Server) handleResume(entry string, r *wire.Resume) {
	a := s.currentAttempt(r.Request, r.Attempt)
	if a == nil || a.entry != entry {
		key := attempt.Key{Request: r.Request, Number: r.Attempt}
		s.refuse(entry, key, wire.RefusalReason_REFUSAL_UNKNOWN_ATTEMPT)
		return
	}
	a.awaitingResumeSince = time.Time{}
	for _, token := range a.tokens {
		if token.Index >= r.NextIndex {
			s.sendToEntry(entry, tokensFrame(token))
		}
	}
}

// reportFailure tells the entry that the attempt cannot go on because of one stage.
func (s *Server) reportFailure(a *stageAttempt, reason string, stage uint32) {
	s.sendToEntry(a.entry, &wire.WorkDown{Body: &wire.WorkDown_Failed{Failed: &wire.Failed{
		Request: a.key.Request, Attempt: a.key.Number, Reason: reason, Stage: stage,
		Executed: wire.Executed_EXECUTED_UNKNOWN,
	}}})
}

// closeAttempt frees what an attempt holds here and in the engine.
func (s *Server) closeAttempt(request string, a *stageAttempt, now time.Time) {
	s.gate.Close(request, a.key.Number)
	s.dropHistory(a)
	s.ledger.Finish(a.key, now)
	delete(s.attempts, request)
	s.startTask(func() { s.cancelInEngine(a.key) })
}
