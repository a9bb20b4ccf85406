package fuzz

import (
	"fmt"
	"sort"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/claim"
	"github.com/sapphirefield/sapphirefield/config"
)

const (
	maxAttempts = 8
	// stallTimeout is the time without a token after which an LLM request moves to another chain.
	stallTimeout = 3 * time.Second
	// withdrawTimeout bounds the wait for the reply to a withdrawal.
	withdrawTimeout = time.Second
	requestTimeout  = 10 * time.Second
	maxReadRecords  = 4
)

// entry models an entry process, which takes requests from clients.
type entry struct {
	w           *World
	id          int
	starts      int
	incarnation string
	alive       bool
	paused      bool
	draining    bool
	// knownSidecars maps sidecar IDs to the incarnation of the last hello.
	knownSidecars map[int]string
	calls         map[string]*call
	callOrder     []string
	callCount     int
	claimState    *claim.State
	// outbox holds messages that are not sent yet, so that a pause can fall between a decision and the send.
	outbox         []message
	pendingAppends []claim.Record
}

// callState is the state of a call in its entry.
type callState int

const (
	callClaiming callState = iota
	callRunning
	callWithdrawing
	callEnded
)

// call is a client request in an entry.
type call struct {
	id           string
	llm          bool
	body         uint64
	deadline     time.Time
	state        callState
	request      *attempt.Request
	claimMachine *claim.Machine

	// For a plain call, which is sent to one sidecar at a time.
	sidecar           int
	targetIncarnation string
	sentAt            time.Time
	tried             [plainSidecarCount]bool

	// For an LLM request, which runs on a chain of stages.
	chain             []int
	chainIncarnations []string
	opened            map[int]bool
	started           bool
	maxTokens         int
	tokens            []uint64
	lastProgress      time.Time
}

func newEntry(w *World, id int) *entry {
	return &entry{w: w, id: id, knownSidecars: map[int]string{}}
}

// start begins a new incarnation without any state.
func (e *entry) start() {
	e.starts++
	e.incarnation = fmt.Sprintf("e%d.%d", e.id, e.starts)
	e.alive, e.paused, e.draining = true, false, false
	e.knownSidecars = map[int]string{}
	e.calls, e.callOrder, e.outbox, e.pendingAppends = map[string]*call{}, nil, nil, nil
	e.claimState = claim.NewState(e.w.log.firstOffset)
	for _, s := range e.w.sidecars {
		if s.alive && !s.paused {
			s.sendHello(e.id)
		}
	}
}

func (e *entry) crash() {
	e.w.tracef("entry %s crashes with %d calls", e.incarnation, len(e.calls))
	e.alive = false
	e.calls, e.callOrder, e.outbox, e.pendingAppends = nil, nil, nil, nil
}

func (e *entry) enqueue(c *call, sidecar int, m message) {
	m.from, m.to, m.entryID, m.entryIncarnation = e.id, sidecar, e.id, e.incarnation
	m.key = attempt.Key{Request: c.id, Number: c.request.Latest()}
	e.outbox = append(e.outbox, m)
}

// flush sends the messages in the outbox.
func (e *entry) flush() {
	for _, m := range e.outbox {
		e.w.send(m)
	}
	e.outbox = nil
}

// accept takes a new request from a client.
func (e *entry) accept(cl *client) {
	e.callCount++
	c := &call{id: fmt.Sprintf("%s-%d", e.incarnation, e.callCount), body: cl.body, llm: cl.llm}
	c.deadline = e.w.now.Add(requestTimeout)
	c.request = attempt.NewRequest(cl.idempotent || cl.llm)
	c.maxTokens = 1 + int(cl.body%8)
	e.calls[c.id] = c
	e.callOrder = append(e.callOrder, c.id)
	e.w.stats.Requests++
	e.w.oracle.addRequest(c.id, cl.newHistory())
	e.w.tracef("entry %s accepts %s: %s", e.incarnation, c.id, cl)
	switch {
	case e.draining:
		e.reportOutcome(c)
	case cl.key != nil:
		c.claimMachine = claim.NewMachine(claim.Call{
			Claim: c.id, Key: *cl.key, Digest: fmt.Sprint(cl.body), Window: idempotencyKeyTTL, OnLogOutage: cl.logOutagePolicy(),
			Deadline: e.w.now.Add(requestTimeout / 2), OutageRetryAfter: time.Second,
		}, e.claimState)
		e.applyActions(c, c.claimMachine.Start(e.w.now, !e.w.log.down))
	default:
		e.runCall(c)
	}
}

// applyActions carries out the actions of the claim's state machine.
func (e *entry) applyActions(c *call, actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Append:
			e.pendingAppends = append(e.pendingAppends, a.Record)
		case claim.Run:
			e.w.tracef("%s runs, claimed %t", c.id, a.Claimed)
			e.runCall(c)
		case claim.Replay:
			e.w.stats.Replays++
			e.w.oracle.replayReceived(c.id, decode(a.Outcome.Body))
			e.closeCall(c)
		case claim.Refuse:
			e.w.tracef("%s refused: %s, executed %s", c.id, a.Code, a.Executed)
			e.countOutcome(a.Executed)
			e.w.oracle.outcomeReported(c.id, a.Executed)
			e.closeCall(c)
		}
	}
}

func (e *entry) runCall(c *call) {
	c.state = callRunning
	if c.llm {
		e.startChain(c)
		return
	}
	e.dispatch(c)
}

// dispatch sends a plain call to a sidecar, sometimes to one that was tried
// before, or reports the outcome if no further attempt is possible.
func (e *entry) dispatch(c *call) {
	if !c.request.MayStartAttempt() || c.request.Latest() >= maxAttempts {
		e.reportOutcome(c)
		return
	}
	if c.tried == [plainSidecarCount]bool{true, true, true} || e.w.chance(500) {
		c.tried = [plainSidecarCount]bool{}
	}
	first := e.w.src.IntN(plainSidecarCount)
	for i := range plainSidecarCount {
		s := (first + i) % plainSidecarCount
		if c.tried[s] || e.knownSidecars[s] == "" {
			continue
		}
		c.tried[s], c.sidecar, c.targetIncarnation, c.sentAt = true, s, e.knownSidecars[s], e.w.now
		c.request.StartAttempt()
		e.enqueue(c, s, message{kind: msgCall, incarnation: c.targetIncarnation, value: c.body})
		return
	}
	e.reportOutcome(c)
}

// startChain starts a new attempt on a random chain.
func (e *entry) startChain(c *call) {
	if c.request.Latest() >= maxAttempts {
		e.reportOutcome(c)
		return
	}
	c.chain, c.chainIncarnations, c.opened, c.started = nil, nil, map[int]bool{}, false
	for _, replicas := range e.w.stageReplicas {
		s := replicas[e.w.src.IntN(len(replicas))]
		c.chain = append(c.chain, s.id)
		c.chainIncarnations = append(c.chainIncarnations, e.knownSidecars[s.id])
	}
	c.request.StartAttempt()
	c.lastProgress = e.w.now
	for i, s := range c.chain {
		e.enqueue(c, s, message{kind: msgOpen, incarnation: c.chainIncarnations[i], chain: c.chain, position: i, index: uint32(len(c.tokens))})
	}
}

// switchChain releases the current attempt and starts another.
func (e *entry) switchChain(c *call) {
	if !c.started {
		c.request.Observe(c.request.Latest(), attempt.ExecutedNo)
	}
	for _, s := range c.chain {
		e.enqueue(c, s, message{kind: msgRelease})
	}
	e.startChain(c)
}

func (e *entry) receive(m message) {
	if m.kind == msgHello {
		e.knownSidecars[m.from] = m.incarnation
		return
	}
	c := e.calls[m.key.Request]
	if c == nil || c.state == callEnded || c.state == callClaiming {
		return
	}
	if c.llm {
		e.receiveStage(c, m)
		return
	}
	e.receivePlain(c, m)
}

// receivePlain handles a sidecar's reply. A reply from another incarnation than
// the one addressed proves nothing: the one addressed may have run the call.
func (e *entry) receivePlain(c *call, m message) {
	if m.key.Number != c.request.Latest() || m.from != c.sidecar {
		return
	}
	if m.incarnation != c.targetIncarnation {
		m.kind, m.executed = msgLost, attempt.ExecutedUnknown
	}
	if m.kind == msgWithdrawAck {
		c.request.ObserveWithdrawal(m.key.Number, m.executed, c.sentAt, e.w.now)
	} else {
		c.request.Observe(m.key.Number, m.executed)
	}
	switch m.kind {
	case msgAnswer:
		e.countOutcome(attempt.ExecutedYes)
		e.w.oracle.answerReceived(c.id, m.value)
		e.finish(c, claim.Outcome{Executed: attempt.ExecutedYes, Status: 200, Body: encode(m.value)})
	case msgWithdrawAck:
		e.reportOutcome(c)
	case msgRefused, msgFailed, msgLost:
		if c.state == callRunning {
			e.dispatch(c)
		}
	}
}

func (e *entry) receiveStage(c *call, m message) {
	if m.key.Number != c.request.Latest() {
		return
	}
	position := indexOf(c.chain, m.from)
	if position < 0 || c.chainIncarnations[position] != m.incarnation {
		return
	}
	switch m.kind {
	case msgOpened:
		c.opened[m.from] = true
		if len(c.opened) == len(c.chain) && !c.started {
			c.started = true
			e.enqueue(c, c.chain[0], message{kind: msgStart, value: c.lastInput()})
		}
	case msgRefused, msgFailed, msgLost:
		e.switchChain(c)
	case msgToken:
		e.receiveToken(c, m)
	}
}

// receiveToken delivers tokens in order and drops those already delivered.
func (e *entry) receiveToken(c *call, m message) {
	next := uint32(len(c.tokens))
	if m.index < next {
		return
	}
	if m.index > next {
		e.switchChain(c)
		return
	}
	c.request.Observe(m.key.Number, attempt.ExecutedYes)
	e.w.stats.Tokens++
	e.w.oracle.tokenReceived(c.id, m.index, c.lastInput(), m.value)
	c.tokens = append(c.tokens, m.value)
	c.lastProgress = e.w.now
	if len(c.tokens) == c.maxTokens {
		e.reportOutcome(c)
	}
}

// lastInput returns the input of the next step: the prompt or the last token.
func (c *call) lastInput() uint64 {
	if len(c.tokens) == 0 {
		return c.body
	}
	return c.tokens[len(c.tokens)-1]
}

// reportOutcome tells the client whether the request ran, as far as it is known.
func (e *entry) reportOutcome(c *call) {
	executed := c.request.Executed()
	e.w.tracef("%s: client is told executed %s", c.id, executed)
	e.countOutcome(executed)
	e.w.oracle.outcomeReported(c.id, executed)
	e.finish(c, claim.Outcome{Executed: executed})
}

func (e *entry) finish(c *call, outcome claim.Outcome) {
	if c.claimMachine != nil {
		e.applyActions(c, c.claimMachine.RunEnded(e.w.now, outcome))
	}
	if c.llm {
		for _, s := range c.chain {
			e.enqueue(c, s, message{kind: msgRelease})
		}
	}
	e.closeCall(c)
}

func (e *entry) closeCall(c *call) {
	c.state = callEnded
	delete(e.calls, c.id)
	for i, id := range e.callOrder {
		if id == c.id {
			e.callOrder = append(e.callOrder[:i], e.callOrder[i+1:]...)
			return
		}
	}
}

func (e *entry) countOutcome(executed attempt.Executed) {
	switch executed {
	case attempt.ExecutedYes:
		e.w.stats.Yes++
	case attempt.ExecutedNo:
		e.w.stats.No++
	default:
		e.w.stats.Unknown++
	}
}

// eachCall visits the calls in order of arrival; visit may end its call.
func (e *entry) eachCall(visit func(*call)) {
	for _, id := range append([]string(nil), e.callOrder...) {
		if c := e.calls[id]; c != nil {
			visit(c)
		}
	}
}

// tick checks the entry's timeouts.
func (e *entry) tick() {
	if !e.alive || e.paused {
		return
	}
	e.eachCall(func(c *call) {
		switch {
		case c.state == callClaiming:
			e.applyActions(c, c.claimMachine.Tick(e.w.now))
		case c.state == callWithdrawing && !e.w.now.Before(c.deadline):
			e.reportOutcome(c)
		case c.state == callRunning && c.llm && e.w.now.Sub(c.lastProgress) > stallTimeout:
			e.switchChain(c)
		case c.state == callRunning && !c.llm && !e.w.now.Before(c.deadline):
			e.withdraw(c)
		}
	})
}

// withdraw asks the sidecar not to run a plain call because its client no longer waits.
func (e *entry) withdraw(c *call) {
	c.state = callWithdrawing
	c.deadline = e.w.now.Add(withdrawTimeout)
	e.enqueue(c, c.sidecar, message{kind: msgWithdraw})
	e.w.stats.LateWithdrawals++
}

// handleConnectionLoss moves a call whose connection to a sidecar ended to another attempt.
func (e *entry) handleConnectionLoss(c *call) {
	if c.state != callRunning {
		return
	}
	if c.llm {
		e.switchChain(c)
		return
	}
	e.dispatch(c)
}

// appendClaims appends the pending records to the log as one batch. The append
// succeeds, succeeds without a reply, is delayed, or is lost.
func (e *entry) appendClaims() {
	if len(e.pendingAppends) == 0 {
		return
	}
	l, b := e.w.log, claim.Batch{Records: e.pendingAppends}
	e.pendingAppends = nil
	outcome := e.w.src.IntN(10)
	if l.down {
		outcome = 8 + e.w.src.IntN(2)
	}
	switch {
	case outcome < 6:
		e.w.tracef("append at %d: %v", l.nextOffset(), b.Records)
		l.append(e.w.now, b)
		e.eachCallInBatch(b, func(c *call) { e.applyActions(c, c.claimMachine.AppendSucceeded(e.w.now)) })
		return
	case outcome < 8:
		e.w.tracef("append at %d, reply lost: %v", l.nextOffset(), b.Records)
		l.append(e.w.now, b)
	case outcome < 9:
		l.lateAppends = append(l.lateAppends, b)
	}
	e.eachCallInBatch(b, func(c *call) { e.applyActions(c, c.claimMachine.AppendUnconfirmed(e.w.now)) })
}

func (e *entry) eachCallInBatch(b claim.Batch, visit func(*call)) {
	for _, r := range b.Records {
		if c := e.calls[r.Claim]; c != nil && c.claimMachine != nil {
			visit(c)
		}
	}
}

// readLog applies the next few records of the log.
func (e *entry) readLog() {
	l := e.w.log
	if l.down {
		return
	}
	e.claimState.Trim(l.firstOffset)
	for range 1 + e.w.src.IntN(maxReadRecords) {
		i := int(e.claimState.NextOffset() - l.firstOffset)
		if i >= len(l.records) {
			break
		}
		e.claimState.Apply(e.claimState.NextOffset(), l.records[i].batch)
	}
	e.eachCall(func(c *call) {
		if c.state == callClaiming {
			e.applyActions(c, c.claimMachine.StateAdvanced(e.w.now))
		}
	})
}

// handleLogOutage tells the pending claims that the log is unavailable.
func (e *entry) handleLogOutage() {
	e.eachCall(func(c *call) {
		if c.state == callClaiming {
			e.applyActions(c, c.claimMachine.LogUnavailable(e.w.now))
		}
	})
}

// client sends a request and may retry it.
type client struct {
	key        *claim.Key
	body       uint64
	llm        bool
	idempotent bool
	firstSent  time.Time
}

const (
	ordersService = "orders"
	// noticesService runs requests without a claim while the log is down.
	noticesService = "notices"
)

func (cl *client) logOutagePolicy() config.LogOutagePolicy {
	if cl.key.Service == noticesService {
		return config.RunDuringOutage
	}
	return config.RefuseDuringOutage
}

func (cl *client) newHistory() *requestHistory {
	return &requestHistory{
		key: cl.key, body: cl.body, idempotent: cl.idempotent, llm: cl.llm,
		mayRunUnclaimed: cl.key != nil && cl.key.Service == noticesService,
	}
}

func (cl *client) String() string {
	if cl.key == nil {
		return fmt.Sprintf("body %x llm %t idempotent %t", cl.body, cl.llm, cl.idempotent)
	}
	return fmt.Sprintf("body %x key %v", cl.body, *cl.key)
}

func indexOf(list []int, v int) int {
	for i, x := range list {
		if x == v {
			return i
		}
	}
	return -1
}

func sortedRequests(m map[string]*activeAttempt) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func sortedKeys(m map[attempt.Key]*activeAttempt) []attempt.Key {
	keys := make([]attempt.Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Request != keys[j].Request {
			return keys[i].Request < keys[j].Request
		}
		return keys[i].Number < keys[j].Number
	})
	return keys
}
