package entry

import (
	"context"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/wire"
)

// resumeLimit is how long an attempt whose connection was lost waits for it
// when no other chain is available. Sidecars keep attempts for as long.
const resumeLimit = 10 * time.Second

// redialLimit is how long a new connection to a stage that works may take.
const redialLimit = 400 * time.Millisecond

// stageRun is one attempt on one chain.
type stageRun struct {
	g     *generation
	ex    *exchange
	chain *plannedChain
	// counted is set while the chooser counts the chain as in use.
	counted bool
	// delivered is set once the attempt gave a token.
	delivered bool
	// repairs counts the repaired chains that came after this attempt.
	repairs int
	peers   []*peer
	opened  []bool
	// started is set once the prompt was sent; before that nothing can have run.
	started bool
	watch   *progressWatch
	// absent holds the stages without a connection and when it was lost.
	absent map[*peer]time.Time
	// holdUntil keeps absent stages from being replaced while they are known to work.
	holdUntil time.Time
	// resuming is set while tokens that were missed are on their way again.
	resuming bool
}

// runAttempt returns nil when the attempt finished or another one may follow.
func (g *generation) runAttempt(ctx context.Context, chain *plannedChain) *problem.Problem {
	number := g.request.StartAttempt()
	run := &stageRun{
		g: g, ex: newExchange(attemptKey(g.id, number)), chain: chain, counted: true,
		absent: make(map[*peer]time.Time),
	}
	defer run.end()
	if !run.open(chain) {
		return nil
	}
	run.watch = newProgressWatch(len(run.peers), now())
	timer := time.NewTimer(minPatience)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.giveUp(problem.DeadlineExceeded, "the request ended before its answer was whole")
		case <-timer.C:
			over, next := run.tick(now())
			if over {
				return nil
			}
			timer.Reset(time.Until(next))
		case <-run.ex.events.Ready():
			over, refused := run.drainEvents()
			if over || refused != nil {
				return refused
			}
		}
	}
}

func (r *stageRun) drainEvents() (bool, *problem.Problem) {
	events, open := r.ex.events.Take()
	for _, event := range events {
		if over, refused := r.handle(event); over || refused != nil {
			return over, refused
		}
	}
	if r.g.flush != nil {
		r.g.flush()
	}
	if !open {
		return true, r.g.giveUp(problem.DeadlineExceeded, "the caller reads too slowly")
	}
	return false, nil
}

// open registers the attempt at every stage. It returns false when a stage could not be reached.
func (r *stageRun) open(chain *plannedChain) bool {
	if err := chain.Validate(r.g.layers); err != nil {
		return false
	}
	stages := make([]*wire.Stage, len(chain.Stages))
	for i, s := range chain.Stages {
		stages[i] = &wire.Stage{
			Instance: s.Instance, Address: s.Address, Zone: s.Zone,
			Layers: &wire.LayerRange{First: uint32(s.First), Limit: uint32(s.Limit)},
			Keeps:  chain.keeps != nil && chain.keeps[i],
		}
	}
	for i, s := range chain.Stages {
		p := r.g.server.peers.get(s.Instance)
		if p == nil || !p.begin(r.ex, r.openFrame(chain, stages, uint32(i))) {
			r.g.exclude[s.Instance] = true
			return false
		}
		r.peers = append(r.peers, p)
	}
	r.opened = make([]bool, len(r.peers))
	return true
}

func (r *stageRun) openFrame(chain *plannedChain, stages []*wire.Stage, position uint32) func(string) *wire.WorkUp {
	return func(incarnation string) *wire.WorkUp {
		return &wire.WorkUp{Body: &wire.WorkUp_Open{Open: &wire.Open{
			Request: r.ex.key.Request, Attempt: r.ex.key.Number, Incarnation: incarnation,
			PlanRevision: chain.Revision, Chain: stages, KeepsFrom: chain.keepsFrom, Position: position, Model: r.g.model, Version: chain.Version(), Priority: r.g.priority,
			FirstIndex: uint32(len(r.g.tokens)), MaxTokens: r.g.maxTokens, Parameters: r.g.parameters,
		}}}
	}
}

// handle acts on an event. It returns true when the attempt is over.
func (r *stageRun) handle(event peerEvent) (bool, *problem.Problem) {
	switch event.kind {
	case peerLost:
		return r.connectionLost(event.peer), nil
	case peerBack:
		r.connectionBack(event.peer)
		return false, nil
	case peerGone:
		r.stageLost(event.peer.id, "restarted")
		return true, nil
	}
	// A stage that was only slow to answer takes part again.
	delete(r.absent, event.peer)
	if event.token != nil {
		return r.takeToken(event.token)
	}
	switch body := event.frame.Body.(type) {
	case *wire.WorkDown_Opened:
		r.stageOpened(event.peer)
	case *wire.WorkDown_Refused:
		if body.Refused.Reason == wire.RefusalReason_REFUSAL_NOT_KEPT {
			r.g.base = nil
			return true, nil
		}
		r.g.exclude[event.peer.id] = true
		if r.started {
			r.stageLost(event.peer.id, body.Refused.Reason.String())
		}
		return true, nil
	case *wire.WorkDown_Failed:
		failed := event.peer.id
		if int(body.Failed.Stage) < len(r.peers) {
			failed = r.peers[body.Failed.Stage].id
		}
		r.stageLost(failed, body.Failed.Reason)
		r.excludeDoubtful(now())
		return true, nil
	case *wire.WorkDown_Progress:
		return r.progress(event.peer, body.Progress), nil
	}
	return false, nil
}

// excludeDoubtful leaves out stages that owe an answer when another stage is
// lost, so that a second loss at the same time does not cost a second replay.
func (r *stageRun) excludeDoubtful(at time.Time) {
	for _, i := range r.watch.doubtful(at) {
		r.g.exclude[r.peers[i].id] = true
	}
}

func (r *stageRun) position(p *peer) int {
	for i, other := range r.peers {
		if other == p {
			return i
		}
	}
	return -1
}

func (r *stageRun) stageOpened(p *peer) {
	if i := r.position(p); i >= 0 {
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

func (r *stageRun) start() {
	r.started = true
	if r.chain.keeps == nil {
		r.g.base = r
	}
	r.peers[0].push(&wire.WorkUp{Body: &wire.WorkUp_Start{Start: &wire.Start{
		Request: r.ex.key.Request, Attempt: r.ex.key.Number, Prompt: r.g.prompt,
		Generated: r.g.tokens, MaxTokens: r.g.maxTokens,
	}}})
}

// tick asks the stages when nothing moves, and gives up the attempt when one
// of them is lost. It returns when to call again.
func (r *stageRun) tick(at time.Time) (over bool, next time.Time) {
	if r.replaceAbsent(at) {
		return true, at
	}
	limits := make([]time.Duration, len(r.peers))
	for i, p := range r.peers {
		if _, gone := r.absent[p]; !gone {
			limits[i] = max(minProbeLimit, probeFactor*p.roundTrip())
		}
	}
	action, next := r.watch.tick(at, limits)
	if action.probe {
		r.probe()
	}
	if len(action.lost) == 0 {
		return false, next
	}
	if action.silent {
		return r.stagesSilent(action.lost, at), at.Add(minPatience)
	}
	for _, i := range action.lost {
		r.stageLost(r.peers[i].id, "no progress")
	}
	return true, at
}

// stagesSilent replaces stages that do not answer. When there is no other
// chain, the attempt waits for new connections to them.
func (r *stageRun) stagesSilent(positions []int, at time.Time) (over bool) {
	for _, i := range positions {
		p := r.peers[i]
		p.suspect()
		r.absent[p] = at
	}
	if r.watch.movesWithout(uint32(len(r.g.tokens))) {
		// Only the link is silent. A new connection is cheaper than a replay.
		r.holdUntil = at.Add(redialLimit)
	}
	if r.replaceAbsent(at) || !r.started {
		return true
	}
	for _, i := range positions {
		r.peers[i].redial()
	}
	r.watch.restart(at)
	return false
}

func (r *stageRun) probe() {
	for _, p := range r.peers {
		p.push(&wire.WorkUp{Body: &wire.WorkUp_Probe{Probe: &wire.Probe{
			Request: r.ex.key.Request, Attempt: r.ex.key.Number, Sequence: r.watch.round,
		}}})
	}
}

// progress takes a stage's answer. An attempt that the stage does not know is over.
func (r *stageRun) progress(p *peer, answer *wire.Progress) bool {
	r.watch.answer(r.position(p), answer)
	if !answer.Known {
		r.stageLost(p.id, "attempt is not open")
	}
	return !answer.Known
}

// connectionLost replaces the stage when another chain is available, and
// otherwise waits for the connection. It returns whether the attempt is over.
func (r *stageRun) connectionLost(p *peer) bool {
	if !r.started {
		r.g.exclude[p.id] = true
		return true
	}
	r.absent[p] = now()
	return r.replaceAbsent(now())
}

func (r *stageRun) replaceAbsent(at time.Time) bool {
	if len(r.absent) == 0 || r.started && at.Before(r.holdUntil) {
		return false
	}
	expired := false
	for p, since := range r.absent {
		r.g.exclude[p.id] = true
		expired = expired || at.Sub(since) > resumeLimit
	}
	if !expired && !r.g.plan() {
		return false
	}
	for p := range r.absent {
		r.stageLost(p.id, "connection lost")
	}
	return true
}

// connectionBack goes on with the attempt on a new connection to the same
// incarnation. The sidecar frees attempts that are not resumed.
func (r *stageRun) connectionBack(p *peer) {
	delete(r.absent, p)
	delete(r.g.exclude, p.id)
	r.resume(p)
}

func (r *stageRun) resume(p *peer) {
	r.resuming = true
	p.push(&wire.WorkUp{Body: &wire.WorkUp_Resume{Resume: &wire.Resume{
		Request: r.ex.key.Request, Attempt: r.ex.key.Number, NextIndex: uint32(len(r.g.tokens)),
	}}})
}

// takeToken passes a token on in order. A token that the caller already has is
// dropped. One from further ahead means a gap, so the missing ones are asked for.
func (r *stageRun) takeToken(token *wire.Token) (bool, *problem.Problem) {
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
	r.g.base = r
	r.watch.token(now())
	r.g.noteRecovered()
	r.g.request.Observe(r.ex.key.Number, attempt.ExecutedYes)
	r.g.tokens = append(r.g.tokens, token.Value)
	if err := r.g.emit(token); err != nil {
		return true, r.g.giveUp(problem.DeadlineExceeded, "the caller is gone")
	}
	r.g.finish = token.Finish
	return token.Finish != "", nil
}

func (r *stageRun) stageLost(instance, reason string) {
	r.g.exclude[instance] = true
	if r.g.lostAt.IsZero() {
		r.g.lostAt = now()
	}
	r.g.server.meters.recoveries.Inc(1)
	logevent.Write(r.g.server.opts.Logger, logevent.StageLost).Str("request", r.g.id).
		Uint32("attempt", r.ex.key.Number).Str("instance", instance).Str("reason", reason).Msg("")
}

// maxRepairs bounds the repaired chains after an attempt that gave no token.
// After them the whole chain is replayed.
const maxRepairs = 2

// mayBeKept tells whether the next attempt may go on with the stages' state.
func (r *stageRun) mayBeKept() bool { return r.started && r.repairs < maxRepairs }

// end records that an attempt without a start did not run, and holds what it
// left at the stages until it is known whether the next attempt keeps it.
func (r *stageRun) end() {
	if !r.started {
		r.g.request.Observe(r.ex.key.Number, attempt.ExecutedNo)
	}
	for _, p := range r.peers {
		p.forget(r.ex.key)
		r.g.held[p] = r.ex.key
	}
	if r.counted {
		r.counted = false
		r.g.server.models.done(r.g.model, r.chain.Chain)
	}
}
