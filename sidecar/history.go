package sidecar

import (
	"bytes"

	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/wire"
)

// defaultHistoryBytes limits the activations that are retained over all
// attempts. A replacement of the next stage rebuilds its KV cache from them, so
// that no other stage has to run again.
const defaultHistoryBytes = 64 << 20

// history retains this stage's outputs for all positions of an attempt.
type history struct {
	outputs [][]byte
	bytes   int
	// incomplete is set once outputs were dropped, for example because of the size
	// limit.
	incomplete bool
}

// The methods below must be called with the lock held.

// recordOutput retains an output in case the next stage has to be replaced. It
// drops the attempt's history if the size limit over all attempts is exceeded.
func (s *Server) recordOutput(a *stageAttempt, activation []byte) {
	if a.isLast() || a.history.incomplete {
		return
	}
	a.history.outputs = append(a.history.outputs, activation)
	a.history.bytes += len(activation)
	s.historyBytes += len(activation)
	if s.historyBytes > s.opts.HistoryBytes {
		s.dropHistory(a)
	}
}

func (s *Server) dropHistory(a *stageAttempt) {
	s.historyBytes -= a.history.bytes
	a.history = history{incomplete: true}
}

// keepsState reports whether this stage continues with the state of an earlier
// attempt.
func keepsState(open *wire.Open) bool {
	return open.KeepsFrom > 0 && open.Chain[open.Position].GetKeeps()
}

// nextNeedsHistory reports whether the next stage has no state and needs the
// outputs of all positions.
func (a *stageAttempt) nextNeedsHistory() bool {
	return keepsState(a.open) && !a.isLast() && !a.next().GetKeeps()
}

// canTakeOver reports whether a new attempt can continue with the state of the
// old one: it must be at the new attempt's first index or one step ahead. A
// stage further ahead has processed a token that the entry does not know, and
// the engine cannot roll back.
func (s *Server) canTakeOver(old *stageAttempt, open *wire.Open) bool {
	if old == nil || !s.ledger.IsCurrent(old.key) || old.key.Number < open.KeepsFrom || old.key.Number >= open.Attempt {
		return false
	}
	if old.nextIndex != open.FirstIndex && old.nextIndex != open.FirstIndex+1 {
		return false
	}
	isLast := int(open.Position) == len(open.Chain)-1
	if isLast || open.Chain[open.Position+1].GetKeeps() {
		return true
	}
	return !old.history.incomplete
}

// takeOver moves the old attempt's state at this stage to the new attempt.
func (s *Server) takeOver(a, old *stageAttempt) {
	a.nextIndex = old.nextIndex
	a.kvAttempt = old.kvAttempt
	a.history, old.history = old.history, history{}
	for _, token := range old.tokens {
		a.tokens = append(a.tokens, &wire.Token{
			Request: token.Request, Attempt: a.key.Number, Index: token.Index, Value: token.Value, Finish: token.Finish,
		})
	}
	if a.nextIndex == a.open.FirstIndex {
		return
	}
	// The new attempt's first step has already run here. With its result recorded,
	// the gate treats the step as a repeat.
	first := pipeline.StepKey{Request: a.key.Request, Attempt: a.key.Number, Index: a.open.FirstIndex}
	s.gate.Offer(first)
	var result []byte
	if n := len(a.history.outputs); n > 0 {
		result = a.history.outputs[n-1]
	}
	s.gate.Done(first, result)
}

// outputFor returns what to send to the next stage for a step, and false if the
// next stage needs outputs that are no longer retained.
func (a *stageAttempt) outputFor(index uint32, activation []byte) ([]byte, bool) {
	if index != a.open.FirstIndex || !a.nextNeedsHistory() {
		return activation, true
	}
	return bytes.Join(a.history.outputs, nil), !a.history.incomplete
}

// resendToken resends the token of a step that has run before, possibly in an
// earlier attempt.
func (s *Server) resendToken(a *stageAttempt, index uint32) {
	for _, token := range a.tokens {
		if token.Index == index {
			s.sendToken(a, token)
		}
	}
}
