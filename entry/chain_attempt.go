package entry

import (
	"context"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
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
	// delivered is set once the attempt has delivered a token.
	delivered bool
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
	run := &chainAttempt{
		g: g, ex: newExchange(attemptKey(g.id, number)), chain: chain, counted: true,
		disconnected: make(map[*peer]time.Time),
	}
	defer run.end()
	if !run.open(chain) {
		return nil
	}
	run.detector = newStallDetector(len(run.peers), now())
	timer := time.NewTimer(minProbeDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.newProblem(problem.DeadlineExceeded, "the request ended before its answer was whole")
		case <-timer.C:
			done, next := run.tick(now())
			if done {
				return nil
			}
			timer.Reset(time.Until(next))
		case <-run.ex.events.Ready():
			done, prob := run.handleEvents()
			if done || prob != nil {
				return prob
			}
		}
	}
}

func (r *chainAttempt) handleEvents() (bool, *problem.Problem) {
	events, open := r.ex.events.Take()
	for _, event := range events {
		if done, prob := r.handle(event); done || prob != nil {
			return done, prob
		}
	}
	if r.g.flush != nil {
		r.g.flush()
	}
	if !open {
		return true, r.g.newProblem(problem.DeadlineExceeded, "the caller reads too slowly")
	}
	return false, nil
}

// open registers the attempt on every stage. It returns false if the chain is
// invalid or a stage is not connected.
func (r *chainAttempt) open(chain *plannedChain) bool {
	if err := chain.Validate(r.g.layers); err != nil {
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
		p := r.g.server.peers.get(s.Instance)
		if p == nil || !p.startExchange(r.ex, r.openFrame(chain, stages, uint32(i))) {
			r.g.exclude[s.Instance] = true
			return false
		}
		r.peers = append(r.peers, p)
	}
	r.opened = make([]bool, len(r.peers))
	return true
}

func (r *chainAttempt) openFrame(chain *plannedChain, stages []*wire.Stage, position uint32) func(string) *wire.WorkUp {
	return func(incarnation string) *wire.WorkUp {
		return &wire.WorkUp{Body: &wire.WorkUp_Open{Open: &wire.Open{
			Request: r.ex.key.Request, Attempt: r.ex.key.Number, Incarnation: incarnation,
			PlanRevision: chain.Revision, Chain: stages, KeepsFrom: chain.oldestKeptAttempt, Position: position, Model: r.g.model, Version: chain.Version(), Priority: r.g.priority,
			FirstIndex: uint32(len(r.g.tokens)), MaxTokens: r.g.maxTokens, Parameters: r.g.parameters,
		}}}
	}
}

// handle processes an event. It returns true if the attempt is over.
func (r *chainAttempt) handle(event peerEvent) (bool, *problem.Problem) {
	switch event.kind {
	case peerDisconnected:
		return r.handleDisconnect(event.peer), nil
	case peerReconnected:
		r.handleReconnect(event.peer)
		return false, nil
	case peerRemoved:
		r.recordStageLost(event.peer.id, "restarted")
		return true, nil
	}
	// The stage was only slow to answer.
	delete(r.disconnected, event.peer)
	if event.token != nil {
		return r.handleToken(event.token)
	}
	switch body := event.frame.Body.(type) {
	case *wire.WorkDown_Opened:
		r.stageOpened(event.peer)
	case *wire.WorkDown_Refused:
		if body.Refused.Reason == wire.RefusalReason_REFUSAL_NOT_KEPT {
			r.g.baseAttempt = nil
			return true, nil
		}
		r.g.exclude[event.peer.id] = true
		if r.started {
			r.recordStageLost(event.peer.id, body.Refused.Reason.String())
		}
		return true, nil
	case *wire.WorkDown_Failed:
		failed := event.peer.id
		if int(body.Failed.Stage) < len(r.peers) {
			failed = r.peers[body.Failed.Stage].id
		}
		r.recordStageLost(failed, body.Failed.Reason)
		r.excludeOverdue(now())
		return true, nil
	case *wire.WorkDown_Progress:
		return r.handleProgress(event.peer, body.Progress), nil
	}
	return false, nil
}

// excludeOverdue excludes stages with an overdue probe reply when another stage is
// lost, so that two simultaneous losses do not cause two replays.
func (r *chainAttempt) excludeOverdue(at time.Time) {
	for _, i := range r.detector.overdue(at) {
		r.g.exclude[r.peers[i].id] = true
	}
}

func (r *chainAttempt) stageIndex(p *peer) int {
	for i, other := range r.peers {
		if other == p {
			return i
		}
	}
	return -1
}

func (r *chainAttempt) stageOpened(p *peer) {
	if i := r.stageIndex(p); i >= 0 {
		r.opened[i] = true
	}
	for _, opened := range r.opened {
		if !opened {
			return
		}
	}
	if !r.started {
		r.start()
	}
}

func (r *chainAttempt) start() {
	r.started = true
	if r.chain.keepsState == nil {
		r.g.baseAttempt = r
	}
	r.peers[0].enqueue(&wire.WorkUp{Body: &wire.WorkUp_Start{Start: &wire.Start{
		Request: r.ex.key.Request, Attempt: r.ex.key.Number, Prompt: r.g.prompt,
		Generated: r.g.tokens, MaxTokens: r.g.maxTokens,
	}}})
}

// tick probes the stages if the attempt makes no progress, and ends the attempt if
// one of them is lost. It returns when to call it next.
func (r *chainAttempt) tick(at time.Time) (done bool, next time.Time) {
	if r.replaceDisconnected(at) {
		return true, at
	}
	probeTimeouts := make([]time.Duration, len(r.peers))
	for i, p := range r.peers {
		if _, lost := r.disconnected[p]; !lost {
			probeTimeouts[i] = max(minProbeTimeout, probeTimeoutRTTs*p.roundTrip())
		}
	}
	action, next := r.detector.tick(at, probeTimeouts)
	if action.probe {
		r.probe()
	}
	if len(action.lost) == 0 {
		return false, next
	}
	if action.unanswered {
		return r.handleUnanswered(action.lost, at), at.Add(minProbeDelay)
	}
	for _, i := range action.lost {
		r.recordStageLost(r.peers[i].id, "no progress")
	}
	return true, at
}

// handleUnanswered replaces stages that did not answer a probe. If there is no
// other chain, the attempt waits for new connections to them. It reports whether
// the attempt is over.
func (r *chainAttempt) handleUnanswered(positions []int, at time.Time) (done bool) {
	for _, i := range positions {
		p := r.peers[i]
		p.markSuspected()
		r.disconnected[p] = at
	}
	if r.detector.generatesUndelivered(uint32(len(r.g.tokens))) {
		// Only the connection has failed. A new one is cheaper than a replay.
		r.replaceAfter = at.Add(reconnectTimeout)
	}
	if r.replaceDisconnected(at) || !r.started {
		return true
	}
	for _, i := range positions {
		r.peers[i].reconnect()
	}
	r.detector.restart(at)
	return false
}

func (r *chainAttempt) probe() {
	for _, p := range r.peers {
		p.enqueue(&wire.WorkUp{Body: &wire.WorkUp_Probe{Probe: &wire.Probe{
			Request: r.ex.key.Request, Attempt: r.ex.key.Number, Sequence: r.detector.round,
		}}})
	}
}

// handleProgress processes a probe reply. It reports whether the attempt is over,
// because the stage does not know it.
func (r *chainAttempt) handleProgress(p *peer, reply *wire.Progress) bool {
	r.detector.observeReply(r.stageIndex(p), reply)
	if !reply.Known {
		r.recordStageLost(p.id, "attempt is not open")
	}
	return !reply.Known
}

// handleDisconnect replaces the stage if another chain is available, and otherwise
// waits for the connection. It reports whether the attempt is over.
func (r *chainAttempt) handleDisconnect(p *peer) bool {
	if !r.started {
		r.g.exclude[p.id] = true
		return true
	}
	r.disconnected[p] = now()
	return r.replaceDisconnected(now())
}

func (r *chainAttempt) replaceDisconnected(at time.Time) bool {
	if len(r.disconnected) == 0 || r.started && at.Before(r.replaceAfter) {
		return false
	}
	expired := false
	for p, since := range r.disconnected {
		r.g.exclude[p.id] = true
		expired = expired || at.Sub(since) > resumeTimeout
	}
	if !expired && !r.g.planChain() {
		return false
	}
	for p := range r.disconnected {
		r.recordStageLost(p.id, "connection lost")
	}
	return true
}

// handleReconnect continues the attempt on a new connection to the same
// incarnation. The sidecar drops attempts that are not resumed.
func (r *chainAttempt) handleReconnect(p *peer) {
	delete(r.disconnected, p)
	delete(r.g.exclude, p.id)
	r.resume(p)
}

func (r *chainAttempt) resume(p *peer) {
	r.resuming = true
	p.enqueue(&wire.WorkUp{Body: &wire.WorkUp_Resume{Resume: &wire.Resume{
		Request: r.ex.key.Request, Attempt: r.ex.key.Number, NextIndex: uint32(len(r.g.tokens)),
	}}})
}

// handleToken forwards tokens in order. A token that the client already has is
// dropped. A later one than expected means a gap, so the missing ones are
// requested again.
func (r *chainAttempt) handleToken(token *wire.Token) (bool, *problem.Problem) {
	next := uint32(len(r.g.tokens))
	if token.Index < next {
		return false, nil
	}
	if token.Index > next {
		if !r.resuming {
			r.resume(r.peers[len(r.peers)-1])
		}
		return false, nil
	}
	r.resuming = false
	r.delivered = true
	r.g.baseAttempt = r
	r.detector.observeToken(now())
	r.g.logRecovery()
	r.g.request.Observe(r.ex.key.Number, attempt.ExecutedYes)
	r.g.tokens = append(r.g.tokens, token.Value)
	if err := r.g.emit(token); err != nil {
		return true, r.g.newProblem(problem.DeadlineExceeded, "the caller is gone")
	}
	r.g.finishReason = token.Finish
	return token.Finish != "", nil
}

func (r *chainAttempt) recordStageLost(instance, reason string) {
	r.g.exclude[instance] = true
	if r.g.stageLostAt.IsZero() {
		r.g.stageLostAt = now()
	}
	r.g.server.metrics.recoveries.Inc(1)
	logevent.Write(r.g.server.opts.Logger, logevent.StageLost).Str("request", r.g.id).
		Uint32("attempt", r.ex.key.Number).Str("instance", instance).Str("reason", reason).Msg("")
}

// maxRepairs limits the consecutive repaired chains that deliver no token. After
// that the request is replayed on a whole new chain.
const maxRepairs = 2

// canKeepState reports whether the next attempt may keep the state of this one.
func (r *chainAttempt) canKeepState() bool { return r.started && r.repairs < maxRepairs }

// end records an attempt that was never started as not executed. The attempt's
// state on the stages is released later, once it is known whether the next
// attempt keeps it.
func (r *chainAttempt) end() {
	if !r.started {
		r.g.request.Observe(r.ex.key.Number, attempt.ExecutedNo)
	}
	for _, p := range r.peers {
		p.removeExchange(r.ex.key)
		r.g.unreleased[p] = r.ex.key
	}
	if r.counted {
		r.counted = false
		r.g.server.models.done(r.g.model, r.chain.Chain)
	}
}
