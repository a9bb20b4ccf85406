package sidecar

import (
	"bytes"

	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/wire"
)

// defaultHistoryBytes bounds the activations that are kept for all attempts. A
// stage that replaces the next one gets its KV cache from them, so that no
// other stage has to run again.
const defaultHistoryBytes = 64 << 20

// history holds the outputs of all positions of an attempt at this stage.
type history struct {
	outputs [][]byte
	bytes   int
	// incomplete is set when the bound was exceeded, so that parts are missing.
	incomplete bool
}

// The methods below must be called with the lock held.

// recordOutput keeps an output for a stage that may have to be replaced.
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

// keepsState tells whether this stage goes on with the state of an earlier attempt.
func keepsState(open *wire.Open) bool {
	return open.KeepsFrom > 0 && open.Chain[open.Position].GetKeeps()
}

// nextNeedsHistory tells whether the next stage needs the outputs of all positions.
func (a *stageAttempt) nextNeedsHistory() bool {
	return keepsState(a.open) && !a.isLast() && !a.next().GetKeeps()
}

// canTakeOver tells whether the state of the request's attempt here is at the
// index where the new attempt begins. A stage that is further ahead has run a
// token that the entry does not know, and the engine cannot go back.
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

// takeOver gives a new attempt the state of the old one at this stage.
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
	// The attempt's first step ran here already; the gate answers it with its result.
	first := pipeline.StepKey{Request: a.key.Request, Attempt: a.key.Number, Index: a.open.FirstIndex}
	s.gate.Offer(first)
	var result []byte
	if n := len(a.history.outputs); n > 0 {
		result = a.history.outputs[n-1]
	}
	s.gate.Done(first, result)
}

// outputFor is what the next stage gets for a step, and false when it needs
// outputs that are no longer kept.
func (a *stageAttempt) outputFor(index uint32, activation []byte) ([]byte, bool) {
	if index != a.open.FirstIndex || !a.nextNeedsHistory() {
		return activation, true
	}
	return bytes.Join(a.history.outputs, nil), !a.history.incomplete
}

// resendToken sends the token of a step again that ran in an earlier attempt.
func (s *Server) resendToken(a *stageAttempt, index uint32) {
	for _, token := range a.tokens {
		if token.Index == index {
			s.sendToken(a, token)
		}
	}
}
