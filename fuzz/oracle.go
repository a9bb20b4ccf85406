package fuzz

import (
	"fmt"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/claim"
)

// oracle counts runs, told outcomes and answers, and knows nothing of how the
// decisions come about.
type oracle struct {
	violation string
	requests  map[string]*facts
	keys      map[claim.Key]*keyFacts
	drained   map[string]bool
	// newest holds, by sidecar incarnation and request, the newest attempt that was accepted.
	newest map[acceptedKey]uint32
}

type acceptedKey struct{ incarnation, request string }

// facts is what really happened to one request.
type facts struct {
	key        *claim.Key
	body       uint64
	idempotent bool
	// unclaimed is set when the service allows running without a claim during an outage.
	unclaimed bool
	language  bool
	runs      int
	told      int
	toldNo    bool
	// nextIndex is, by attempt and layer range, the only step that may run next.
	nextIndex map[stageKey]uint32
	tokens    uint32
}

type stageKey struct {
	number uint32
	layers int
}

// keyFacts is what really happened under one idempotency key.
type keyFacts struct {
	runs int
	// answers holds, by answer, the body that it answers.
	answers map[uint64]uint64
}

func newOracle() *oracle {
	return &oracle{requests: map[string]*facts{}, keys: map[claim.Key]*keyFacts{}, drained: map[string]bool{}, newest: map[acceptedKey]uint32{}}
}

func (o *oracle) fail(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf(format, args...)
	}
}

func (o *oracle) requested(id string, f *facts) {
	f.nextIndex = map[stageKey]uint32{}
	o.requests[id] = f
}

// answerOf is the only right answer to a plain request.
func answerOf(id string, body uint64) uint64 {
	return mix(hashString(id), body)
}

// ran counts a run of a plain request by a backend server and returns its answer.
func (o *oracle) ran(id string, body uint64) uint64 {
	f := o.requests[id]
	if f.body != body {
		o.fail("request %s ran with the body of another", id)
	}
	f.runs++
	if f.toldNo {
		o.fail("request %s ran although its caller was told that it did not", id)
	}
	if f.runs > 1 && !f.idempotent {
		o.fail("non-idempotent request %s ran %d times", id, f.runs)
	}
	answer := answerOf(id, body)
	if f.key == nil || f.unclaimed {
		return answer
	}
	k := o.key(*f.key)
	k.runs++
	k.answers[answer] = body
	if k.runs > 1 && !f.idempotent {
		o.fail("key %v ran %d times, last for request %s", *f.key, k.runs, id)
	}
	return answer
}

func (o *oracle) key(key claim.Key) *keyFacts {
	k := o.keys[key]
	if k == nil {
		k = &keyFacts{answers: map[uint64]uint64{}}
		o.keys[key] = k
	}
	return k
}

// stageRan checks that a layer range runs each step of an attempt once and in order.
func (o *oracle) stageRan(key attempt.Key, layers int, index uint32) {
	f := o.requests[key.Request]
	f.runs++
	if f.toldNo {
		o.fail("request %s ran although its caller was told that it did not", key.Request)
	}
	s := stageKey{key.Number, layers}
	next, known := f.nextIndex[s]
	if known && index != next {
		o.fail("attempt %v: range %d ran step %d, want step %d", key, layers, index, next)
	}
	if layers > 0 {
		before, started := f.nextIndex[stageKey{key.Number, layers - 1}]
		if !started || before != index+1 {
			o.fail("attempt %v: range %d ran step %d before range %d", key, layers, index, layers-1)
		}
	}
	f.nextIndex[s] = index + 1
}

// tokenOf is the only right token after a prefix that ends in the given token.
func tokenOf(previous uint64, index uint32) uint64 {
	value := previous
	for layers := range rangeCount {
		value = layerOf(value, layers, index)
	}
	return value
}

func layerOf(input uint64, layers int, index uint32) uint64 {
	return mix(input, uint64(layers), uint64(index))
}

// token checks a token that a caller receives.
func (o *oracle) token(id string, index uint32, previous, value uint64) {
	f := o.requests[id]
	if index != f.tokens {
		o.fail("request %s: caller received token %d after %d tokens", id, index, f.tokens)
	}
	f.tokens++
	if value != tokenOf(previous, index) {
		o.fail("request %s: token %d is not the answer to its own prompt", id, index)
	}
}

// told checks the end of a request as its caller sees it.
func (o *oracle) told(id string, executed attempt.Executed) {
	f := o.requests[id]
	f.told++
	if f.told > 1 {
		o.fail("request %s was answered %d times", id, f.told)
	}
	if executed != attempt.ExecutedNo {
		return
	}
	f.toldNo = true
	if f.runs > 0 {
		o.fail("request %s: caller was told that it did not run, but it ran %d times", id, f.runs)
	}
}

func (o *oracle) answered(id string, value uint64) {
	f := o.requests[id]
	o.told(id, attempt.ExecutedYes)
	if value != answerOf(id, f.body) {
		o.fail("request %s received the answer to another", id)
	}
	if f.runs == 0 {
		o.fail("request %s was answered and did not run", id)
	}
}

// replayed checks an answer that was kept under an idempotency key.
func (o *oracle) replayed(id string, value uint64) {
	f := o.requests[id]
	o.told(id, attempt.ExecutedYes)
	if f.unclaimed {
		return
	}
	body, ran := o.key(*f.key).answers[value]
	if !ran {
		o.fail("request %s received an answer that no run under its key gave", id)
	}
	if ran && body != f.body {
		o.fail("request %s received the answer to another body under its key", id)
	}
}

// accepted checks that a draining sidecar takes no new work, and that a sidecar takes
// no attempt that was meant for another incarnation, none twice and none that is older than another.
func (o *oracle) accepted(incarnation, addressed string, key attempt.Key) {
	if incarnation != addressed {
		o.fail("sidecar %s accepted attempt %v, which was addressed to %s", incarnation, key, addressed)
	}
	if o.drained[incarnation] {
		o.fail("sidecar %s accepted attempt %v after it was drained", incarnation, key)
	}
	k := acceptedKey{incarnation, key.Request}
	if newest := o.newest[k]; key.Number <= newest {
		o.fail("sidecar %s accepted attempt %v after attempt %d", incarnation, key, newest)
	}
	o.newest[k] = key.Number
}
