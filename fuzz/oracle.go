package fuzz

import (
	"fmt"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/claim"
)

// oracle records executions, reported outcomes and answers, and checks them
// independently of the code that makes the decisions.
type oracle struct {
	violation string
	requests  map[string]*requestHistory
	keys      map[claim.Key]*keyHistory
	// drained holds the sidecar incarnations that are draining.
	drained map[string]bool
	// newestAttempt is the newest accepted attempt by sidecar incarnation and request.
	newestAttempt map[acceptedKey]uint32
}

type acceptedKey struct{ incarnation, request string }

// requestHistory records what really happened to one request.
type requestHistory struct {
	key        *claim.Key
	body       uint64
	idempotent bool
	// mayRunUnclaimed is set if the service runs requests without a claim during an outage of the log.
	mayRunUnclaimed     bool
	llm                 bool
	executions          int
	outcomeReports      int
	reportedNotExecuted bool
	// nextIndex is the only step that may run next, by attempt and layer range.
	nextIndex map[stageKey]uint32
	tokens    uint32
}

type stageKey struct {
	attempt    uint32
	layerRange int
}

// keyHistory records what really happened under one idempotency key.
type keyHistory struct {
	executions int
	// answers maps each answer to the request body it belongs to.
	answers map[uint64]uint64
}

func newOracle() *oracle {
	return &oracle{requests: map[string]*requestHistory{}, keys: map[claim.Key]*keyHistory{}, drained: map[string]bool{}, newestAttempt: map[acceptedKey]uint32{}}
}

func (o *oracle) fail(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf(format, args...)
	}
}

func (o *oracle) addRequest(id string, h *requestHistory) {
	h.nextIndex = map[stageKey]uint32{}
	o.requests[id] = h
}

// expectedAnswer returns the only correct answer to a plain request.
func expectedAnswer(id string, body uint64) uint64 {
	return mix(hashString(id), body)
}

// plainExecuted records that a backend server ran a plain request and returns the answer.
func (o *oracle) plainExecuted(id string, body uint64) uint64 {
	h := o.requests[id]
	if h.body != body {
		o.fail("request %s ran with the body of another request", id)
	}
	h.executions++
	if h.reportedNotExecuted {
		o.fail("request %s ran although its client was told that it did not", id)
	}
	if h.executions > 1 && !h.idempotent {
		o.fail("non-idempotent request %s ran %d times", id, h.executions)
	}
	answer := expectedAnswer(id, body)
	if h.key == nil || h.mayRunUnclaimed {
		return answer
	}
	k := o.historyOf(*h.key)
	k.executions++
	k.answers[answer] = body
	if k.executions > 1 && !h.idempotent {
		o.fail("key %v ran %d times, last for request %s", *h.key, k.executions, id)
	}
	return answer
}

func (o *oracle) historyOf(key claim.Key) *keyHistory {
	k := o.keys[key]
	if k == nil {
		k = &keyHistory{answers: map[uint64]uint64{}}
		o.keys[key] = k
	}
	return k
}

// stageExecuted checks that a layer range runs each step of an attempt once and in
// order, and after the preceding layer range.
func (o *oracle) stageExecuted(key attempt.Key, layerRange int, index uint32) {
	h := o.requests[key.Request]
	h.executions++
	if h.reportedNotExecuted {
		o.fail("request %s ran although its client was told that it did not", key.Request)
	}
	s := stageKey{key.Number, layerRange}
	next, known := h.nextIndex[s]
	if known && index != next {
		o.fail("attempt %v: range %d ran step %d, want step %d", key, layerRange, index, next)
	}
	if layerRange > 0 {
		before, started := h.nextIndex[stageKey{key.Number, layerRange - 1}]
		if !started || before != index+1 {
			o.fail("attempt %v: range %d ran step %d before range %d", key, layerRange, index, layerRange-1)
		}
	}
	h.nextIndex[s] = index + 1
}

// expectedToken returns the only correct token after a prefix that ends in previous.
func expectedToken(previous uint64, index uint32) uint64 {
	value := previous
	for layerRange := range layerRangeCount {
		value = layerRangeOutput(value, layerRange, index)
	}
	return value
}

func layerRangeOutput(input uint64, layerRange int, index uint32) uint64 {
	return mix(input, uint64(layerRange), uint64(index))
}

// tokenReceived checks a token that a client receives.
func (o *oracle) tokenReceived(id string, index uint32, previous, value uint64) {
	h := o.requests[id]
	if index != h.tokens {
		o.fail("request %s: client received token %d after %d tokens", id, index, h.tokens)
	}
	h.tokens++
	if value != expectedToken(previous, index) {
		o.fail("request %s: token %d is not the answer to its own prompt", id, index)
	}
}

// outcomeReported checks the outcome that the client of a request is told.
func (o *oracle) outcomeReported(id string, executed attempt.Executed) {
	h := o.requests[id]
	h.outcomeReports++
	if h.outcomeReports > 1 {
		o.fail("request %s was answered %d times", id, h.outcomeReports)
	}
	if executed != attempt.ExecutedNo {
		return
	}
	h.reportedNotExecuted = true
	if h.executions > 0 {
		o.fail("request %s: client was told that it did not run, but it ran %d times", id, h.executions)
	}
}

func (o *oracle) answerReceived(id string, value uint64) {
	h := o.requests[id]
	o.outcomeReported(id, attempt.ExecutedYes)
	if value != expectedAnswer(id, h.body) {
		o.fail("request %s received the answer to another request", id)
	}
	if h.executions == 0 {
		o.fail("request %s was answered but did not run", id)
	}
}

// replayReceived checks an answer that was stored under an idempotency key.
func (o *oracle) replayReceived(id string, value uint64) {
	h := o.requests[id]
	o.outcomeReported(id, attempt.ExecutedYes)
	if h.mayRunUnclaimed {
		return
	}
	body, ran := o.historyOf(*h.key).answers[value]
	if !ran {
		o.fail("request %s received an answer that no run under its key gave", id)
	}
	if ran && body != h.body {
		o.fail("request %s received the answer to another body under its key", id)
	}
}

// attemptAccepted checks that a sidecar accepts no attempt while it drains, none
// that is addressed to another incarnation, none twice, and none that is older than
// one it accepted before.
func (o *oracle) attemptAccepted(incarnation, addressed string, key attempt.Key) {
	if incarnation != addressed {
		o.fail("sidecar %s accepted attempt %v, which was addressed to %s", incarnation, key, addressed)
	}
	if o.drained[incarnation] {
		o.fail("sidecar %s accepted attempt %v after it was drained", incarnation, key)
	}
	k := acceptedKey{incarnation, key.Request}
	if newest := o.newestAttempt[k]; key.Number <= newest {
		o.fail("sidecar %s accepted attempt %v after attempt %d", incarnation, key, newest)
	}
	o.newestAttempt[k] = key.Number
}
