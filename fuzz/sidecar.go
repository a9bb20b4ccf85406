package fuzz

import (
	"fmt"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

// noLayerRange is the layer range of a sidecar beside a plain server.
const noLayerRange = -1

// sidecar models a sidecar and its backend server. The backend server keeps running when the sidecar crashes.
type sidecar struct {
	w           *World
	id          int
	layerRange  int
	starts      int
	incarnation string
	alive       bool
	paused      bool
	backendUp   bool

	ledger        *attempt.Ledger
	gate          *pipeline.StepGate
	calls         map[attempt.Key]*activeAttempt
	stageAttempts map[string]*activeAttempt
	// awaitingBody holds accepted calls that have not begun because their body has not arrived.
	awaitingBody []backendTask
	// backendQueue holds the tasks that the backend server has accepted, backendResults
	// those it has finished.
	backendQueue   []backendTask
	backendResults []backendTask
}

// activeAttempt is an accepted attempt at a plain call or at one stage of a chain.
type activeAttempt struct {
	key              attempt.Key
	entryID          int
	entryIncarnation string
	firstIndex       uint32
	chain            []int
	position         int
	started          bool
}

// backendTask is one request to the backend server; value is its input, then its result.
type backendTask struct {
	incarnation string
	key         attempt.Key
	index       uint32
	value       uint64
}

func newSidecar(w *World, id, layerRange int) *sidecar {
	return &sidecar{w: w, id: id, layerRange: layerRange}
}

// start begins a new incarnation and sends a hello to every entry.
func (s *sidecar) start() {
	s.starts++
	s.incarnation = fmt.Sprintf("s%d.%d", s.id, s.starts)
	s.alive, s.paused, s.backendUp = true, false, true
	s.ledger = attempt.NewLedger(s.incarnation)
	s.gate = pipeline.NewStepGate()
	s.calls = map[attempt.Key]*activeAttempt{}
	s.stageAttempts = map[string]*activeAttempt{}
	for i := range s.w.entries {
		s.sendHello(i)
	}
}

func (s *sidecar) sendHello(entryID int) {
	s.w.send(message{kind: msgHello, toEntry: true, from: s.id, to: entryID, incarnation: s.incarnation})
}

func (s *sidecar) crash() {
	s.w.tracef("sidecar %s crashes", s.incarnation)
	s.alive = false
	s.ledger, s.gate, s.calls, s.stageAttempts, s.awaitingBody = nil, nil, nil, nil, nil
}

// tick expires the sidecar's tombstones.
func (s *sidecar) tick() {
	if s.alive && !s.paused {
		s.ledger.Expire(s.w.now)
	}
}

func (s *sidecar) reply(a *activeAttempt, m message) {
	m.toEntry, m.from, m.to, m.key, m.incarnation = true, s.id, a.entryID, a.key, s.incarnation
	s.w.send(m)
}

func (s *sidecar) refuse(m message) {
	s.reply(&activeAttempt{key: m.key, entryID: m.entryID}, message{kind: msgRefused, executed: attempt.ExecutedNo})
}

func (s *sidecar) receive(m message) {
	switch m.kind {
	case msgCall, msgOpen:
		s.open(m)
	case msgStart:
		if a := s.currentStage(m.key); a != nil && a.position == 0 {
			s.offerStep(a, a.firstIndex, m.value)
		}
	case msgStep:
		if a := s.currentStage(m.key); a != nil {
			s.offerStep(a, m.index, m.value)
		}
	case msgLoopToken:
		if a := s.currentStage(m.key); a != nil {
			s.offerStep(a, m.index+1, m.value)
		}
	case msgWithdraw:
		s.withdraw(m)
	case msgRelease:
		s.release(m.key)
	}
	s.checkInProgress()
}

// open handles the first message of an attempt, for a plain call or a stage.
func (s *sidecar) open(m message) {
	refusal := s.ledger.Open(m.key, m.incarnation)
	if refusal == attempt.RefusalDuplicate {
		return
	}
	if refusal != attempt.RefusalNone {
		s.w.tracef("sidecar %s refuses %v: %d", s.incarnation, m.key, refusal)
		s.refuse(m)
		if refusal == attempt.RefusalStaleIncarnation {
			s.sendHello(m.entryID)
		}
		return
	}
	s.w.oracle.attemptAccepted(s.incarnation, m.incarnation, m.key)
	a := &activeAttempt{key: m.key, entryID: m.entryID, entryIncarnation: m.entryIncarnation, chain: m.chain, position: m.position, firstIndex: m.index}
	if m.kind == msgCall {
		for key := range s.calls {
			if key.Request == m.key.Request {
				// In the ledger, the newer attempt has replaced this one.
				delete(s.calls, key)
			}
		}
		s.calls[m.key] = a
		s.awaitingBody = append(s.awaitingBody, backendTask{incarnation: s.incarnation, key: m.key, value: m.value})
		return
	}
	s.gate.Open(m.key.Request, m.key.Number, m.index)
	s.stageAttempts[m.key.Request] = a
	s.reply(a, message{kind: msgOpened})
}

// beginCall sends a call whose body has arrived to the backend server. Only a
// failure to connect proves that nothing was sent.
func (s *sidecar) beginCall() {
	if !s.alive || s.paused || len(s.awaitingBody) == 0 {
		return
	}
	i := s.w.src.IntN(len(s.awaitingBody))
	task := s.awaitingBody[i]
	s.awaitingBody = append(s.awaitingBody[:i], s.awaitingBody[i+1:]...)
	if !s.ledger.Begin(task.key) {
		return
	}
	s.w.tracef("sidecar %s begins %v", s.incarnation, task.key)
	a := s.calls[task.key]
	if a == nil {
		a = &activeAttempt{key: task.key}
	}
	a.started = true
	if !s.backendUp {
		s.ledger.MarkNotExecuted(task.key, s.w.now)
		delete(s.calls, task.key)
		s.reply(a, message{kind: msgFailed, executed: attempt.ExecutedNo})
		s.checkInProgress()
		return
	}
	s.backendQueue = append(s.backendQueue, task)
}

func (s *sidecar) currentStage(key attempt.Key) *activeAttempt {
	a := s.stageAttempts[key.Request]
	if a == nil || a.key != key || !s.ledger.IsCurrent(key) {
		return nil
	}
	return a
}

// offerStep runs a step on the engine if the gate allows it, and resends the stored
// result of a repeated step.
func (s *sidecar) offerStep(a *activeAttempt, index uint32, input uint64) {
	verdict, result := s.gate.Offer(pipeline.StepKey{Request: a.key.Request, Attempt: a.key.Number, Index: index})
	switch verdict {
	case pipeline.StepRun:
		s.ledger.Begin(a.key)
		if !s.backendUp {
			s.reply(a, message{kind: msgFailed})
			return
		}
		s.backendQueue = append(s.backendQueue, backendTask{incarnation: s.incarnation, key: a.key, index: index, value: input})
	case pipeline.StepRepeat:
		s.forward(a, index, decode(result))
	}
}

// runBackendTask makes the backend server run one of its tasks.
func (s *sidecar) runBackendTask() {
	if !s.backendUp || len(s.backendQueue) == 0 {
		return
	}
	i := s.w.src.IntN(len(s.backendQueue))
	task := s.backendQueue[i]
	s.backendQueue = append(s.backendQueue[:i], s.backendQueue[i+1:]...)
	s.w.tracef("backend %d runs %v step %d", s.id, task.key, task.index)
	if s.layerRange == noLayerRange {
		s.w.stats.Runs++
		task.value = s.w.oracle.plainExecuted(task.key.Request, task.value)
	} else {
		s.w.stats.LanguageRuns++
		s.w.oracle.stageExecuted(task.key, s.layerRange, task.index)
		task.value = layerRangeOutput(task.value, s.layerRange, task.index)
	}
	s.backendResults = append(s.backendResults, task)
}

// collectResult passes one result to the sidecar. Results for an earlier incarnation are dropped.
func (s *sidecar) collectResult() {
	if len(s.backendResults) == 0 || s.paused {
		return
	}
	task := s.backendResults[0]
	s.backendResults = s.backendResults[1:]
	if !s.alive || task.incarnation != s.incarnation {
		return
	}
	if s.layerRange == noLayerRange {
		s.finishCall(task)
	} else {
		s.finishStep(task)
	}
	s.checkInProgress()
}

func (s *sidecar) finishCall(task backendTask) {
	a := s.calls[task.key]
	if a == nil {
		return
	}
	delete(s.calls, task.key)
	s.ledger.Finish(task.key, s.w.now)
	s.reply(a, message{kind: msgAnswer, value: task.value, executed: attempt.ExecutedYes})
}

func (s *sidecar) finishStep(task backendTask) {
	a := s.currentStage(task.key)
	if a == nil {
		return
	}
	key := pipeline.StepKey{Request: task.key.Request, Attempt: task.key.Number, Index: task.index}
	if s.gate.Done(key, encode(task.value)) {
		s.forward(a, task.index, task.value)
	}
}

// forward sends a step's output to the next stage, or from the last stage as a token
// to the entry and to the first stage.
func (s *sidecar) forward(a *activeAttempt, index uint32, value uint64) {
	m := message{from: s.id, key: a.key, index: index, value: value}
	if a.position < len(a.chain)-1 {
		m.kind, m.to = msgStep, a.chain[a.position+1]
		s.w.send(m)
		return
	}
	s.reply(a, message{kind: msgToken, index: index, value: value})
	m.kind, m.to = msgLoopToken, a.chain[0]
	s.w.send(m)
}

func (s *sidecar) withdraw(m message) {
	executed := s.ledger.Withdraw(m.key, s.w.now)
	if a := s.stageAttempts[m.key.Request]; a != nil && a.key.Number <= m.key.Number {
		s.closeAttempt(a)
	}
	if a := s.calls[m.key]; a != nil && executed == attempt.ExecutedNo {
		delete(s.calls, m.key)
	}
	for key := range s.calls {
		if key.Request == m.key.Request && key.Number < m.key.Number {
			delete(s.calls, key)
		}
	}
	s.reply(&activeAttempt{key: m.key, entryID: m.entryID}, message{kind: msgWithdrawAck, executed: executed})
}

func (s *sidecar) release(key attempt.Key) {
	if a := s.stageAttempts[key.Request]; a != nil && a.key == key {
		s.closeAttempt(a)
	}
}

func (s *sidecar) closeAttempt(a *activeAttempt) {
	s.gate.Close(a.key.Request, a.key.Number)
	s.ledger.Finish(a.key, s.w.now)
	delete(s.stageAttempts, a.key.Request)
}

// closeOrphanedAttempts closes the stage attempts of entries that crashed or restarted.
func (s *sidecar) closeOrphanedAttempts() {
	if !s.alive || s.paused {
		return
	}
	for _, a := range s.stageAttempts {
		if e := s.w.entries[a.entryID]; !e.alive || e.incarnation != a.entryIncarnation {
			s.closeAttempt(a)
		}
	}
}

// crashBackend drops the tasks and results of the backend server. The sidecar
// cannot know which tasks ran.
func (s *sidecar) crashBackend() {
	s.w.tracef("backend %d crashes", s.id)
	s.backendUp = false
	s.backendQueue, s.backendResults = nil, nil
	if !s.alive {
		return
	}
	for _, key := range sortedKeys(s.calls) {
		a := s.calls[key]
		if !a.started {
			continue
		}
		delete(s.calls, key)
		s.ledger.Finish(key, s.w.now)
		s.reply(a, message{kind: msgFailed, executed: attempt.ExecutedUnknown})
	}
	for _, request := range sortedRequests(s.stageAttempts) {
		s.reply(s.stageAttempts[request], message{kind: msgFailed, executed: attempt.ExecutedUnknown})
	}
}

func (s *sidecar) drain() {
	if !s.alive || s.paused {
		return
	}
	s.w.tracef("sidecar %s drains", s.incarnation)
	s.w.stats.Drains++
	s.ledger.Drain()
	s.w.oracle.drained[s.incarnation] = true
}

// checkInProgress compares the ledger's count of attempts in progress, which ends a
// graceful shutdown when it reaches 0, with the attempts that really are in progress.
func (s *sidecar) checkInProgress() {
	if !s.alive {
		return
	}
	if got, want := s.ledger.InProgress(), len(s.calls)+len(s.stageAttempts); got != want {
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
