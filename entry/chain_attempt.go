package entry

import (
	"context"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/wire"
)

// resumeTimeout is how long an attempt waits for a lost connection to be restored
// if no other chain is available. Sidecars keep attempts for the same time.
const resumeTimeout = 10 * time.Second

// reconnectTimeout limits the wait for a new connection to a stage that is known
// to work.
const reconnectTimeout = 400 * time.Millisecond

// chainAttempt is one attempt on one chain.
type chainAttempt struct {
	g     *generation
	ex    *exchange
	chain *plannedChain
	// counted is set while the chooser's load includes the chain.
	counted bool
	// deliveredAt is when the attempt delivered its first token, or zero.
	deliveredAt time.Time
	// repairs counts the repaired chains that were planned from this attempt.
	repairs int
	peers   []*peer
	opened  []bool
	// started is set once the prompt has been sent; before that nothing can have
	// been executed.
	started  bool
	detector *stallDetector
	// disconnected holds the stages that have lost their connection or do not
	// answer probes, with the time when this was noticed.
	disconnected map[*peer]time.Time
	// replaceAfter is the time before which disconnected stages are not replaced,
	// because they are known to work.
	replaceAfter time.Time
	// resuming is set while missing tokens have been requested again.
	resuming bool
}

// runAttempt returns nil if the answer is complete or another attempt may follow.
func (g *generation) runAttempt(ctx context.Context, chain *plannedChain) *problem.Problem {
	number := g.request.StartAttempt()
	a := &chainAttempt{
		g: g, ex: newExchange(attemptKey(g.id, number)), chain: chain, counted: true,
		disconnected: make(map[*peer]time.Time),
	}
	defer a.end()
	if !a.open(chain) {
		return nil
	}
	a.detector = newStallDetector(len(a.peers), now())
	timer := time.NewTimer(minProbeDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.endedProblem()
		case <-timer.C:
			done, next := a.tick(now())
			if done {
				return nil
			}
			timer.Reset(time.Until(next))
		case <-a.ex.events.Ready():
			if !a.started && clientconn.Check(ctx) != nil {
				return g.endedProblem()
			}
			done, prob := a.handleEvents()
			if done || prob != nil {
				return prob
			}
		}
	}
}

func (a *chainAttempt) handleEvents() (bool, *problem.Problem) {
	events, open := a.ex.events.Take()
	for _, event := range events {
		if done, prob := a.handle(event); done || prob != nil {
			return done, prob
		}
	}
	if a.g.flush != nil {
		a.g.flush()
	}
	if !open {
		return true, a.g.newProblem(problem.DeadlineExceeded, "the caller reads too slowly")
	}
	return false, nil
}

// open registers the attempt on every stage. It returns false if the chain is
// invalid or a stage is not connected.
func (a *chainAttempt) open(chain *plannedChain) bool {
	if err := chain.Validate(a.g.layers); err != nil {
		return false
	}
	stages := make([]*wire.Stage, len(chain.Stages))
	for i, s := range chain.Stages {
		stages[i] = &wire.Stage{
			Instance: s.Instance, Address: s.Address, Zone: s.Zone,
			Layers: &wire.LayerRange{First: uint32(s.First), Limit: uint32(s.Limit)},
			Keeps:  chain.keepsState != nil && chain.keepsState[i],
		}
	}
	for i, s := range chain.Stages {
		p := a.g.server.peers.get(s.Instance)
		if p == nil || !p.startExchange(a.ex, a.openFrame(chain, stages, uint32(i))) {
			a.g.exclude[s.Instance] = true
			return false
		}
		a.peers = append(a.peers, p)
	}
	a.opened = make([]bool, len(a.peers))
	return true
}

func (a *chainAttempt) openFrame(chain *plannedChain, stages []*wire.Stage, position uint32) func(string) *wire.WorkUp {
	return func(incarnation string) *wire.WorkUp {
		return &wire.WorkUp{Body: &wire.WorkUp_Open{Open: &wire.Open{
			Request: a.ex.key.Request, Attempt: a.ex.key.Number, Incarnation: incarnation,
			PlanRevision: chain.Revision, Chain: stages, KeepsFrom: chain.oldestKeptAttempt, Position: position, Model: a.g.model, Version: chain.Version(), Priority: a.g.priority,
			FirstIndex: uint32(len(a.g.tokens)), MaxTokens: a.g.maxTokens, Parameters: a.g.parameters,
		}}}
	}
}

// handle processes an event. It returns true if the attempt is over.
func (a *chainAttempt) handle(event peerEvent) (bool, *problem.Problem) {
	switch event.kind {
	case peerDisconnected:
		return a.handleDisconnect(event.peer), nil
	case peerReconnected:
		a.handleReconnect(event.peer)
		return false, nil
	case peerRemoved:
		a.recordStageLost(event.peer.id, "restarted")
		return true, nil
	}
	// The stage was only slow to answer.
	delete(a.disconnected, event.peer)
	if event.token != nil {
		return a.handleToken(event.token)
	}
	switch body := event.frame.Body.(type) {
	case *wire.WorkDown_Opened:
		a.stageOpened(event.peer)
	case *wire.WorkDown_Refused:
		if body.Refused.Reason == wire.RefusalReason_REFUSAL_NOT_KEPT {
			a.g.baseAttempt = nil
			return true, nil
		}
		a.g.exclude[event.peer.id] = true
		if a.started {
			a.recordStageLost(event.peer.id, body.Refused.Reason.String())
		}
		return true, nil
	case *wire.WorkDown_Failed:
		failed := event.peer.id
		if int(body.Failed.Stage) < len(a.peers) {
			failed = a.peers[body.Failed.Stage].id
		}
		a.recordStageLost(failed, body.Failed.Reason)
		a.observeFailure(event.peer, body.Failed.Reason)
		a.excludeOverdue(now())
		return true, nil
	case *wire.WorkDown_Progress:
		return a.handleProgress(event.peer, body.Progress), nil
	}
	return false, nil
}

// observeFailure suspects the request if the engine of a stage has ended before the
// answer had gone on for long.
func (a *chainAttempt) observeFailure(p *peer, reason string) {
	if a.deliveredAt.IsZero() || now().Sub(a.deliveredAt) < soundProgress {
		a.g.server.crashes.observeFailure(a.g.id, p.id, p.currentIncarnation(), reason, a.g.content())
	}
}

// excludeOverdue excludes stages with an overdue probe reply when another stage is
// lost, so that two simultaneous losses do not cause two replays.
func (a *chainAttempt) excludeOverdue(at time.Time) {
	for _, i := range a.detector.overdue(at) {
		a.g.exclude[a.peers[i].id] = true
	}
}

func (a *chainAttempt) stageIndex(p *peer) int {
	for i, other := range a.peers {
		if other == p {
			return i
		}
	}
	return -1
}

func (a *chainAttempt) stageOpened(p *peer) {
	if i := a.stageIndex(p); i >= 0 {
		a.opened[i] = true
	}
	for _, opened := range a.opened {
		if !opened {
			return
		}
	}
	if !a.started {
		a.start()
	}
}

func (a *chainAttempt) start() {
	a.started = true
	if a.chain.keepsState == nil {
		a.g.baseAttempt = a
	}
	a.peers[0].enqueue(&wire.WorkUp{Body: &wire.WorkUp_Start{Start: &wire.Start{
		Request: a.ex.key.Request, Attempt: a.ex.key.Number, Prompt: a.g.prompt,
		Generated: a.g.tokens, MaxTokens: a.g.maxTokens,
	}}})
}

// tick probes the stages if the attempt makes no progress, and ends the attempt if
// one of them is lost. It returns when to call it next.
func (a *chainAttempt) tick(at time.Time) (done bool, next time.Time) {
	if a.replaceDisconnected(at) {
		return true, at
	}
	probeTimeouts := make([]time.Duration, len(a.peers))
	for i, p := range a.peers {
		if _, lost := a.disconnected[p]; !lost {
			probeTimeouts[i] = max(minProbeTimeout, probeTimeoutRTTs*p.roundTrip())
		}
	}
	action, next := a.detector.tick(at, probeTimeouts)
	if action.probe {
		a.probe()
	}
	if len(action.lost) == 0 {
		return false, next
	}
	if action.unanswered {
		return a.handleUnanswered(action.lost, at), at.Add(minProbeDelay)
	}
	for _, i := range action.lost {
		a.recordStageLost(a.peers[i].id, "no progress")
	}
	return true, at
}

// handleUnanswered replaces stages that did not answer a probe. If there is no
// other chain, the attempt waits for new connections to them. It reports whether
// the attempt is over.
func (a *chainAttempt) handleUnanswered(positions []int, at time.Time) (done bool) {
	for _, i := range positions {
		p := a.peers[i]
		p.markSuspected()
		a.disconnected[p] = at
	}
	if a.detector.generatesUndelivered(uint32(len(a.g.tokens))) {
		// Only the connection has failed. A new one is cheaper than a replay.
		a.replaceAfter = at.Add(reconnectTimeout)
	}
	if a.replaceDisconnected(at) || !a.started {
		return true
	}
	for _, i := range positions {
		a.peers[i].reconnect()
	}
	a.detector.restart(at)
	return false
}

func (a *chainAttempt) probe() {
	for _, p := range a.peers {
		p.enqueue(&wire.WorkUp{Body: &wire.WorkUp_Probe{Probe: &wire.Probe{
			Request: a.ex.key.Request, Attempt: a.ex.key.Number, Sequence: a.detector.round,
		}}})
	}
}

// handleProgress processes a probe reply. It reports whether the attempt is over,
// because the stage does not know it.
func (a *chainAttempt) handleProgress(p *peer, reply *wire.Progress) bool {
	a.detector.observeReply(a.stageIndex(p), reply)
	if !reply.Known {
		a.recordStageLost(p.id, "attempt is not open")
	}
	return !reply.Known
}

// handleDisconnect replaces the stage if another chain is available, and otherwise
// waits for the connection. It reports whether the attempt is over.
func (a *chainAttempt) handleDisconnect(p *peer) bool {
	if !a.started {
		a.g.exclude[p.id] = true
		return true
	}
	a.disconnected[p] = now()
	return a.replaceDisconnected(now())
}

func (a *chainAttempt) replaceDisconnected(at time.Time) bool {
	if len(a.disconnected) == 0 || a.started && at.Before(a.replaceAfter) {
		return false
	}
	expired := false
	for p, since := range a.disconnected {
		a.g.exclude[p.id] = true
		expired = expired || at.Sub(since) > resumeTimeout
	}
	if !expired && !a.g.planChain() {
		return false
	}
	for p := range a.disconnected {
		a.recordStageLost(p.id, "connection lost")
	}
	return true
}

// handleReconnect continues the attempt on a new connection to the same
// incarnation. The sidecar drops attempts that are not resumed.
func (a *chainAttempt) handleReconnect(p *peer) {
	delete(a.disconnected, p)
	delete(a.g.exclude, p.id)
	a.resume(p)
}

func (a *chainAttempt) resume(p *peer) {
	a.resuming = true
	p.enqueue(&wire.WorkUp{Body: &wire.WorkUp_Resume{Resume: &wire.Resume{
		Request: a.ex.key.Request, Attempt: a.ex.key.Number, NextIndex: uint32(len(a.g.tokens)),
	}}})
}

// handleToken forwards tokens in order. A token that the client already has is
// dropped. A later one than expected means a gap, so the missing ones are
// requested again.
func (a *chainAttempt) handleToken(token *wire.Token) (bool, *problem.Problem) {
	next := uint32(len(a.g.tokens))
	if token.Index < next {
		return false, nil
	}
	if token.Index > next {
		if !a.resuming {
			a.resume(a.peers[len(a.peers)-1])
		}
		return false, nil
	}
	a.resuming = false
	if a.deliveredAt.IsZero() {
		a.deliveredAt = now()
	}
	a.g.baseAttempt = a
	a.detector.observeToken(now())
	a.g.logRecovery()
	a.g.request.Observe(a.ex.key.Number, attempt.ExecutedYes)
	a.g.tokens = append(a.g.tokens, token.Value)
	if err := a.g.emit(token); err != nil {
		return true, a.g.newProblem(problem.DeadlineExceeded, "the caller is gone")
	}
	a.g.finishReason = token.Finish
	return token.Finish != "", nil
}

func (a *chainAttempt) recordStageLost(instance, reason string) {
	a.g.exclude[instance] = true
	if a.g.stageLostAt.IsZero() {
		a.g.stageLostAt = now()
	}
	a.g.server.metrics.recoveries.Inc(1)
	logevent.Write(a.g.server.opts.Logger, logevent.StageLost).Str("request", a.g.id).
		Uint32("attempt", a.ex.key.Number).Str("instance", instance).Str("reason", reason).Msg("")
}

// maxRepairs limits the consecutive repaired chains that deliver no token. After
// that the request is replayed on a whole new chain.
const maxRepairs = 2

// canKeepState reports whether the next attempt may keep the state of this one.
func (a *chainAttempt) canKeepState() bool { return a.started && a.repairs < maxRepairs }

// end records an attempt that was never started as not executed. The attempt's
// state on the stages is released later, once it is known whether the next
// attempt keeps it.
func (a *chainAttempt) end() {
	if !a.started {
		a.g.request.Observe(a.ex.key.Number, attempt.ExecutedNo)
	}
	for _, p := range a.peers {
		p.removeExchange(a.ex.key)
		a.g.unreleased[p] = a.ex.key
	}
	if a.counted {
		a.counted = false
		a.g.server.models.done(a.g.model, a.chain.Chain)
	}
}
