package fuzz

import (
	"fmt"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

// plainRange marks a sidecar beside a plain server.
const plainRange = -1

// sidecar models a sidecar and its backend server. The backend server lives on when the sidecar dies.
type sidecar struct {
	w           *World
	id          int
	layers      int
	starts      int
	incarnation string
	alive       bool
	paused      bool
	backendUp   bool

	ledger   *attempt.Ledger
	gate     *pipeline.StepGate
	calls    map[attempt.Key]*dispatch
	attempts map[string]*dispatch
	// accepted holds calls whose body has not arrived yet, so that they have not begun.
	accepted []work
	// queue holds the work that the backend server has accepted, results what it has done.
	queue   []work
	results []work
}

// dispatch is an accepted call or stage attempt.
type dispatch struct {
	key     attempt.Key
	owner   int
	entry   string
	first   uint32
	chain   []int
	place   int
	started bool
}

// work is one exchange with the backend server.
type work struct {
	incarnation string
	key         attempt.Key
	index       uint32
	value       uint64
}

func newSidecar(w *World, id, layers int) *sidecar {
	return &sidecar{w: w, id: id, layers: layers}
}

// start begins a new incarnation and greets the entries.
func (s *sidecar) start() {
	s.starts++
	s.incarnation = fmt.Sprintf("s%d.%d", s.id, s.starts)
	s.alive, s.paused, s.backendUp = true, false, true
	s.ledger = attempt.NewLedger(s.incarnation)
	s.gate = pipeline.NewStepGate()
	s.calls = map[attempt.Key]*dispatch{}
	s.attempts = map[string]*dispatch{}
	for i := range s.w.entries {
		s.hello(i)
	}
}

func (s *sidecar) hello(entry int) {
	s.w.send(message{kind: msgHello, toEntry: true, from: s.id, to: entry, incarnation: s.incarnation})
}

func (s *sidecar) die() {
	s.w.note("sidecar %s dies", s.incarnation)
	s.alive = false
	s.ledger, s.gate, s.calls, s.attempts, s.accepted = nil, nil, nil, nil, nil
}

// tick is the sidecar's sweep.
func (s *sidecar) tick() {
	if s.alive && !s.paused {
		s.ledger.Expire(s.w.now)
	}
}

func (s *sidecar) reply(d *dispatch, m message) {
	m.toEntry, m.from, m.to, m.key, m.incarnation = true, s.id, d.owner, d.key, s.incarnation
	s.w.send(m)
}

func (s *sidecar) refuse(m message) {
	s.reply(&dispatch{key: m.key, owner: m.owner}, message{kind: msgRefused, executed: attempt.ExecutedNo})
}

func (s *sidecar) receive(m message) {
	switch m.kind {
	case msgCall, msgOpen:
		s.open(m)
	case msgStart:
		if d := s.current(m.key); d != nil && d.place == 0 {
			s.offer(d, d.first, m.value)
		}
	case msgStep:
		if d := s.current(m.key); d != nil {
			s.offer(d, m.index, m.value)
		}
	case msgLoopToken:
		if d := s.current(m.key); d != nil {
			s.offer(d, m.index+1, m.value)
		}
	case msgWithdraw:
		s.withdraw(m)
	case msgRelease:
		s.release(m.key)
	}
	s.check()
}

// open is the first message of an attempt, for a plain call and for a stage.
func (s *sidecar) open(m message) {
	refusal := s.ledger.Open(m.key, m.incarnation)
	if refusal == attempt.RefusalDuplicate {
		return
	}
	if refusal != attempt.RefusalNone {
		s.w.note("sidecar %s refuses %v: %d", s.incarnation, m.key, refusal)
		s.refuse(m)
		if refusal == attempt.RefusalStaleIncarnation {
			s.hello(m.owner)
		}
		return
	}
	s.w.oracle.accepted(s.incarnation, m.incarnation, m.key)
	d := &dispatch{key: m.key, owner: m.owner, entry: m.entry, chain: m.chain, place: m.position, first: m.index}
	if m.kind == msgCall {
		for key := range s.calls {
			if key.Request == m.key.Request {
				// The newer attempt has replaced the record of this one.
				delete(s.calls, key)
			}
		}
		s.calls[m.key] = d
		s.accepted = append(s.accepted, work{incarnation: s.incarnation, key: m.key, value: m.value})
		return
	}
	s.gate.Open(m.key.Request, m.key.Number, m.index)
	s.attempts[m.key.Request] = d
	s.reply(d, message{kind: msgOpened})
}

// begin hands a call whose body has arrived to the backend server. Only a failure
// to connect proves that nothing was sent.
func (s *sidecar) begin() {
	if !s.alive || s.paused || len(s.accepted) == 0 {
		return
	}
	i := s.w.src.IntN(len(s.accepted))
	t := s.accepted[i]
	s.accepted = append(s.accepted[:i], s.accepted[i+1:]...)
	if !s.ledger.Begin(t.key) {
		return
	}
	s.w.note("sidecar %s begins %v", s.incarnation, t.key)
	d := s.calls[t.key]
	if d == nil {
		d = &dispatch{key: t.key}
	}
	d.started = true
	if !s.backendUp {
		s.ledger.MarkNotExecuted(t.key, s.w.now)
		delete(s.calls, t.key)
		s.reply(d, message{kind: msgFailed, executed: attempt.ExecutedNo})
		s.check()
		return
	}
	s.queue = append(s.queue, t)
}

func (s *sidecar) current(key attempt.Key) *dispatch {
	d := s.attempts[key.Request]
	if d == nil || d.key != key || !s.ledger.IsCurrent(key) {
		return nil
	}
	return d
}

// offer passes a step through the gate to the engine.
func (s *sidecar) offer(d *dispatch, index uint32, input uint64) {
	verdict, kept := s.gate.Offer(pipeline.StepKey{Request: d.key.Request, Attempt: d.key.Number, Index: index})
	switch verdict {
	case pipeline.StepRun:
		s.ledger.Begin(d.key)
		if !s.backendUp {
			s.reply(d, message{kind: msgFailed})
			return
		}
		s.queue = append(s.queue, work{incarnation: s.incarnation, key: d.key, index: index, value: input})
	case pipeline.StepRepeat:
		s.forward(d, index, decode(kept))
	}
}

// run lets the backend server do one of its tasks.
func (s *sidecar) run() {
	if !s.backendUp || len(s.queue) == 0 {
		return
	}
	i := s.w.src.IntN(len(s.queue))
	t := s.queue[i]
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
	s.w.note("backend %d runs %v step %d", s.id, t.key, t.index)
	if s.layers == plainRange {
		s.w.stats.Runs++
		t.value = s.w.oracle.ran(t.key.Request, t.value)
	} else {
		s.w.stats.LanguageRuns++
		s.w.oracle.stageRan(t.key, s.layers, t.index)
		t.value = layerOf(t.value, s.layers, t.index)
	}
	s.results = append(s.results, t)
}

// collect hands one result to the sidecar. A result of an earlier incarnation finds nobody.
func (s *sidecar) collect() {
	if len(s.results) == 0 || s.paused {
		return
	}
	t := s.results[0]
	s.results = s.results[1:]
	if !s.alive || t.incarnation != s.incarnation {
		return
	}
	if s.layers == plainRange {
		s.finishCall(t)
	} else {
		s.finishStep(t)
	}
	s.check()
}

func (s *sidecar) finishCall(t work) {
	d := s.calls[t.key]
	if d == nil {
		return
	}
	delete(s.calls, t.key)
	s.ledger.Finish(t.key, s.w.now)
	s.reply(d, message{kind: msgAnswer, value: t.value, executed: attempt.ExecutedYes})
}

func (s *sidecar) finishStep(t work) {
	d := s.current(t.key)
	if d == nil {
		return
	}
	key := pipeline.StepKey{Request: t.key.Request, Attempt: t.key.Number, Index: t.index}
	if s.gate.Done(key, encode(t.value)) {
		s.forward(d, t.index, t.value)
	}
}

// forward sends a step's output to the next stage, or a token to the entry and the first stage.
func (s *sidecar) forward(d *dispatch, index uint32, value uint64) {
	m := message{from: s.id, key: d.key, index: index, value: value}
	if d.place < len(d.chain)-1 {
		m.kind, m.to = msgStep, d.chain[d.place+1]
		s.w.send(m)
		return
	}
	s.reply(d, message{kind: msgToken, index: index, value: value})
	m.kind, m.to = msgLoopToken, d.chain[0]
	s.w.send(m)
}

func (s *sidecar) withdraw(m message) {
	executed := s.ledger.Withdraw(m.key, s.w.now)
	if d := s.attempts[m.key.Request]; d != nil && d.key.Number <= m.key.Number {
		s.closeAttempt(d)
	}
	if d := s.calls[m.key]; d != nil && executed == attempt.ExecutedNo {
		delete(s.calls, m.key)
	}
	for key := range s.calls {
		if key.Request == m.key.Request && key.Number < m.key.Number {
			delete(s.calls, key)
		}
	}
	s.reply(&dispatch{key: m.key, owner: m.owner}, message{kind: msgWithdrawAck, executed: executed})
}

func (s *sidecar) release(key attempt.Key) {
	if d := s.attempts[key.Request]; d != nil && d.key == key {
		s.closeAttempt(d)
	}
}

func (s *sidecar) closeAttempt(d *dispatch) {
	s.gate.Close(d.key.Request, d.key.Number)
	s.ledger.Finish(d.key, s.w.now)
	delete(s.attempts, d.key.Request)
}

// freeSilentEntries ends the stage attempts of entries that are gone.
func (s *sidecar) freeSilentEntries() {
	if !s.alive || s.paused {
		return
	}
	for _, d := range s.attempts {
		if e := s.w.entries[d.owner]; !e.alive || e.incarnation != d.entry {
			s.closeAttempt(d)
		}
	}
}

// backendDies loses everything that the backend server held. The sidecar
// cannot know which of it was run.
func (s *sidecar) backendDies() {
	s.w.note("backend %d dies", s.id)
	s.backendUp = false
	s.queue, s.results = nil, nil
	if !s.alive {
		return
	}
	for _, key := range sortedKeys(s.calls) {
		d := s.calls[key]
		if !d.started {
			continue
		}
		delete(s.calls, key)
		s.ledger.Finish(key, s.w.now)
		s.reply(d, message{kind: msgFailed, executed: attempt.ExecutedUnknown})
	}
	for _, request := range sortedRequests(s.attempts) {
		s.reply(s.attempts[request], message{kind: msgFailed, executed: attempt.ExecutedUnknown})
	}
}

func (s *sidecar) drain() {
	if !s.alive || s.paused {
		return
	}
	s.w.note("sidecar %s drains", s.incarnation)
	s.w.stats.Drains++
	s.ledger.Drain()
	s.w.oracle.drained[s.incarnation] = true
}

// check compares the ledger's count, which ends a graceful shutdown, with the
// work that is really in progress.
func (s *sidecar) check() {
	if !s.alive {
		return
	}
	if got, want := s.ledger.InProgress(), len(s.calls)+len(s.attempts); got != want {
		s.w.oracle.fail("sidecar %s counts %d attempts in progress, want %d", s.incarnation, got, want)
	}
}

func encode(v uint64) []byte {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(v >> (8 * i))
	}
	return b
}

func decode(b []byte) uint64 {
	var v uint64
	for i := range b {
		v |= uint64(b[i]) << (8 * i)
	}
	return v
}
