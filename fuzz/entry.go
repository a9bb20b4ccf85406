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
	// stallLimit is how long a language request waits for progress before it moves to another chain.
	stallLimit = 3 * time.Second
	// withdrawLimit is how long a withdrawal waits for its answer.
	withdrawLimit = time.Second
	callTimeout   = 10 * time.Second
	maxFetch      = 4
)

// entry models an entry.
type entry struct {
	w           *World
	id          int
	starts      int
	incarnation string
	alive       bool
	paused      bool
	draining    bool
	// known holds the sidecar incarnations that greeted.
	known map[int]string
	calls map[string]*call
	order []string
	count int
	fold  *claim.State
	// outbox holds messages that are decided and not yet sent; a pause falls between the two.
	outbox  []message
	appends []claim.Record
}

// callState is the progress of a call in the entry.
type callState int

const (
	callClaiming callState = iota
	callRunning
	callWithdrawing
	callEnded
)

// call is one request in an entry.
type call struct {
	id       string
	language bool
	body     uint64
	deadline time.Time
	state    callState
	request  *attempt.Request
	machine  *claim.Machine

	// A plain call has one sidecar at a time.
	sidecar   int
	addressed string
	sent      time.Time
	tried     [plainCount]bool

	// A language request has a chain.
	chain     []int
	chainAt   []string
	opened    map[int]bool
	started   bool
	maxTokens int
	tokens    []uint64
	progress  time.Time
}

func newEntry(w *World, id int) *entry {
	return &entry{w: w, id: id, known: map[int]string{}}
}

// start begins a new incarnation with an empty memory.
func (e *entry) start() {
	e.starts++
	e.incarnation = fmt.Sprintf("e%d.%d", e.id, e.starts)
	e.alive, e.paused, e.draining = true, false, false
	e.known = map[int]string{}
	e.calls, e.order, e.outbox, e.appends = map[string]*call{}, nil, nil, nil
	e.fold = claim.NewState(e.w.log.first)
	for _, s := range e.w.sidecars {
		if s.alive && !s.paused {
			s.hello(e.id)
		}
	}
}

func (e *entry) die() {
	e.w.note("entry %s dies with %d calls", e.incarnation, len(e.calls))
	e.alive = false
	e.calls, e.order, e.outbox, e.appends = nil, nil, nil, nil
}

func (e *entry) push(c *call, sidecar int, m message) {
	m.from, m.to, m.owner, m.entry = e.id, sidecar, e.id, e.incarnation
	m.key = attempt.Key{Request: c.id, Number: c.request.Latest()}
	e.outbox = append(e.outbox, m)
}

// flush sends what is decided.
func (e *entry) flush() {
	for _, m := range e.outbox {
		e.w.send(m)
	}
	e.outbox = nil
}

// accept takes a new call from a caller.
func (e *entry) accept(who *caller) {
	e.count++
	c := &call{id: fmt.Sprintf("%s-%d", e.incarnation, e.count), body: who.body, language: who.language}
	c.deadline = e.w.now.Add(callTimeout)
	c.request = attempt.NewRequest(who.idempotent || who.language)
	c.maxTokens = 1 + int(who.body%8)
	e.calls[c.id] = c
	e.order = append(e.order, c.id)
	e.w.stats.Requests++
	e.w.oracle.requested(c.id, who.facts())
	e.w.note("entry %s accepts %s: %s", e.incarnation, c.id, who)
	switch {
	case e.draining:
		e.tell(c)
	case who.key != nil:
		c.machine = claim.NewMachine(claim.Call{
			Claim: c.id, Key: *who.key, Digest: fmt.Sprint(who.body), Window: keyWindow, OnLogOutage: who.policy(),
			Deadline: e.w.now.Add(callTimeout / 2), OutageRetryAfter: time.Second,
		}, e.fold)
		e.do(c, c.machine.Start(e.w.now, !e.w.log.down))
	default:
		e.run(c)
	}
}

// do carries out what the claim's state machine asks for.
func (e *entry) do(c *call, actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Append:
			e.appends = append(e.appends, a.Record)
		case claim.Run:
			e.w.note("%s runs, claimed %t", c.id, a.Claimed)
			e.run(c)
		case claim.Replay:
			e.w.stats.Replays++
			e.w.oracle.replayed(c.id, decode(a.Outcome.Body))
			e.end(c)
		case claim.Refuse:
			e.w.note("%s is refused: %s, executed %s", c.id, a.Code, a.Executed)
			e.count1(a.Executed)
			e.w.oracle.told(c.id, a.Executed)
			e.end(c)
		}
	}
}

func (e *entry) run(c *call) {
	c.state = callRunning
	if c.language {
		e.startChain(c)
		return
	}
	e.dispatch(c)
}

// dispatch sends a plain call to a sidecar, at times to one that it has tried
// before, or tells the caller what is certain.
func (e *entry) dispatch(c *call) {
	if !c.request.MayStartAttempt() || c.request.Latest() >= maxAttempts {
		e.tell(c)
		return
	}
	if c.tried == [plainCount]bool{true, true, true} || e.w.chance(500) {
		c.tried = [plainCount]bool{}
	}
	first := e.w.src.IntN(plainCount)
	for i := range plainCount {
		s := (first + i) % plainCount
		if c.tried[s] || e.known[s] == "" {
			continue
		}
		c.tried[s], c.sidecar, c.addressed, c.sent = true, s, e.known[s], e.w.now
		c.request.StartAttempt()
		e.push(c, s, message{kind: msgCall, incarnation: c.addressed, value: c.body})
		return
	}
	e.tell(c)
}

// startChain opens a new attempt on a random chain.
func (e *entry) startChain(c *call) {
	if c.request.Latest() >= maxAttempts {
		e.tell(c)
		return
	}
	c.chain, c.chainAt, c.opened, c.started = nil, nil, map[int]bool{}, false
	for _, replicas := range e.w.stages {
		s := replicas[e.w.src.IntN(len(replicas))]
		c.chain = append(c.chain, s.id)
		c.chainAt = append(c.chainAt, e.known[s.id])
	}
	c.request.StartAttempt()
	c.progress = e.w.now
	for i, s := range c.chain {
		e.push(c, s, message{kind: msgOpen, incarnation: c.chainAt[i], chain: c.chain, position: i, index: uint32(len(c.tokens))})
	}
}

// leaveChain gives up the current attempt and starts another.
func (e *entry) leaveChain(c *call) {
	if !c.started {
		c.request.Observe(c.request.Latest(), attempt.ExecutedNo)
	}
	for _, s := range c.chain {
		e.push(c, s, message{kind: msgRelease})
	}
	e.startChain(c)
}

func (e *entry) receive(m message) {
	if m.kind == msgHello {
		e.known[m.from] = m.incarnation
		return
	}
	c := e.calls[m.key.Request]
	if c == nil || c.state == callEnded || c.state == callClaiming {
		return
	}
	if c.language {
		e.receiveStage(c, m)
		return
	}
	e.receivePlain(c, m)
}

// receivePlain acts on a sidecar's answer. An answer of another incarnation than
// the one addressed proves nothing: the one addressed may have run the call.
func (e *entry) receivePlain(c *call, m message) {
	if m.key.Number != c.request.Latest() || m.from != c.sidecar {
		return
	}
	if m.incarnation != c.addressed {
		m.kind, m.executed = msgLost, attempt.ExecutedUnknown
	}
	if m.kind == msgWithdrawAck {
		c.request.ObserveWithdrawal(m.key.Number, m.executed, c.sent, e.w.now)
	} else {
		c.request.Observe(m.key.Number, m.executed)
	}
	switch m.kind {
	case msgAnswer:
		e.count1(attempt.ExecutedYes)
		e.w.oracle.answered(c.id, m.value)
		e.finish(c, claim.Outcome{Executed: attempt.ExecutedYes, Status: 200, Body: encode(m.value)})
	case msgWithdrawAck:
		e.tell(c)
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
	place := indexOf(c.chain, m.from)
	if place < 0 || c.chainAt[place] != m.incarnation {
		return
	}
	switch m.kind {
	case msgOpened:
		c.opened[m.from] = true
		if len(c.opened) == len(c.chain) && !c.started {
			c.started = true
			e.push(c, c.chain[0], message{kind: msgStart, value: c.last()})
		}
	case msgRefused, msgFailed, msgLost:
		e.leaveChain(c)
	case msgToken:
		e.takeToken(c, m)
	}
}

// takeToken passes tokens on in order; one that was passed on before is dropped.
func (e *entry) takeToken(c *call, m message) {
	next := uint32(len(c.tokens))
	if m.index < next {
		return
	}
	if m.index > next {
		e.leaveChain(c)
		return
	}
	c.request.Observe(m.key.Number, attempt.ExecutedYes)
	e.w.stats.Tokens++
	e.w.oracle.token(c.id, m.index, c.last(), m.value)
	c.tokens = append(c.tokens, m.value)
	c.progress = e.w.now
	if len(c.tokens) == c.maxTokens {
		e.tell(c)
	}
}

// last is what the next token follows from: the prompt or the last token.
func (c *call) last() uint64 {
	if len(c.tokens) == 0 {
		return c.body
	}
	return c.tokens[len(c.tokens)-1]
}

// tell answers the caller with what is certain.
func (e *entry) tell(c *call) {
	executed := c.request.Executed()
	e.w.note("%s: caller is told executed %s", c.id, executed)
	e.count1(executed)
	e.w.oracle.told(c.id, executed)
	e.finish(c, claim.Outcome{Executed: executed})
}

func (e *entry) finish(c *call, outcome claim.Outcome) {
	if c.machine != nil {
		e.do(c, c.machine.RunEnded(e.w.now, outcome))
	}
	if c.language {
		for _, s := range c.chain {
			e.push(c, s, message{kind: msgRelease})
		}
	}
	e.end(c)
}

func (e *entry) end(c *call) {
	c.state = callEnded
	delete(e.calls, c.id)
	for i, id := range e.order {
		if id == c.id {
			e.order = append(e.order[:i], e.order[i+1:]...)
			return
		}
	}
}

func (e *entry) count1(executed attempt.Executed) {
	switch executed {
	case attempt.ExecutedYes:
		e.w.stats.Yes++
	case attempt.ExecutedNo:
		e.w.stats.No++
	default:
		e.w.stats.Unknown++
	}
}

// each visits the calls in order of arrival; a visit may end its call.
func (e *entry) each(visit func(*call)) {
	for _, id := range append([]string(nil), e.order...) {
		if c := e.calls[id]; c != nil {
			visit(c)
		}
	}
}

// tick is what the entry's timers do.
func (e *entry) tick() {
	if !e.alive || e.paused {
		return
	}
	e.each(func(c *call) {
		switch {
		case c.state == callClaiming:
			e.do(c, c.machine.Tick(e.w.now))
		case c.state == callWithdrawing && !e.w.now.Before(c.deadline):
			e.tell(c)
		case c.state == callRunning && c.language && e.w.now.Sub(c.progress) > stallLimit:
			e.leaveChain(c)
		case c.state == callRunning && !c.language && !e.w.now.Before(c.deadline):
			e.withdraw(c)
		}
	})
}

// withdraw asks that a plain call not run, because its caller waits no longer.
func (e *entry) withdraw(c *call) {
	c.state = callWithdrawing
	c.deadline = e.w.now.Add(withdrawLimit)
	e.push(c, c.sidecar, message{kind: msgWithdraw})
	e.w.stats.LateWithdrawals++
}

// noticeLoss tells one call that the connection to its sidecar ended.
func (e *entry) noticeLoss(c *call) {
	if c.state != callRunning {
		return
	}
	if c.language {
		e.leaveChain(c)
		return
	}
	e.dispatch(c)
}

// appendClaims sends the waiting records to the log as one batch.
func (e *entry) appendClaims() {
	if len(e.appends) == 0 {
		return
	}
	l, b := e.w.log, claim.Batch{Records: e.appends}
	e.appends = nil
	fate := e.w.src.IntN(10)
	if l.down {
		fate = 8 + e.w.src.IntN(2)
	}
	switch {
	case fate < 6:
		e.w.note("append at %d: %v", l.next(), b.Records)
		l.append(e.w.now, b)
		e.claimants(b, func(c *call) { e.do(c, c.machine.AppendSucceeded(e.w.now)) })
		return
	case fate < 8:
		e.w.note("append at %d, answer lost: %v", l.next(), b.Records)
		l.append(e.w.now, b)
	case fate < 9:
		l.late = append(l.late, b)
	}
	e.claimants(b, func(c *call) { e.do(c, c.machine.AppendUnconfirmed(e.w.now)) })
}

func (e *entry) claimants(b claim.Batch, visit func(*call)) {
	for _, r := range b.Records {
		if c := e.calls[r.Claim]; c != nil && c.machine != nil {
			visit(c)
		}
	}
}

// fetch reads some records from the log.
func (e *entry) fetch() {
	l := e.w.log
	if l.down {
		return
	}
	e.fold.Trim(l.first)
	for range 1 + e.w.src.IntN(maxFetch) {
		i := int(e.fold.NextOffset() - l.first)
		if i >= len(l.records) {
			break
		}
		e.fold.Apply(e.fold.NextOffset(), l.records[i].batch)
	}
	e.each(func(c *call) {
		if c.state == callClaiming {
			e.do(c, c.machine.StateAdvanced(e.w.now))
		}
	})
}

// noticeOutage tells the waiting claims that the log is down.
func (e *entry) noticeOutage() {
	e.each(func(c *call) {
		if c.state == callClaiming {
			e.do(c, c.machine.LogUnavailable(e.w.now))
		}
	})
}

// caller is a program outside that sends a request and may repeat it.
type caller struct {
	key        *claim.Key
	body       uint64
	language   bool
	idempotent bool
	since      time.Time
}

const (
	ordersService = "orders"
	// noticesService runs without a claim while the log is down.
	noticesService = "notices"
)

func (who *caller) policy() config.LogOutagePolicy {
	if who.key.Service == noticesService {
		return config.RunDuringOutage
	}
	return config.RefuseDuringOutage
}

func (who *caller) facts() *facts {
	return &facts{
		key: who.key, body: who.body, idempotent: who.idempotent, language: who.language,
		unclaimed: who.key != nil && who.key.Service == noticesService,
	}
}

func (who *caller) String() string {
	if who.key == nil {
		return fmt.Sprintf("body %x language %t idempotent %t", who.body, who.language, who.idempotent)
	}
	return fmt.Sprintf("body %x key %v", who.body, *who.key)
}

func indexOf(list []int, v int) int {
	for i, x := range list {
		if x == v {
			return i
		}
	}
	return -1
}

func sortedRequests(m map[string]*dispatch) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func sortedKeys(m map[attempt.Key]*dispatch) []attempt.Key {
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
