package entry

import (
	"context"
	"time"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// maxAttempts bounds how often one request is moved to another chain.
	maxAttempts = 8
	// openTimeout bounds the wait for all stages to accept an attempt.
	openTimeout = time.Second
)

// generation is one language request on its way through chains of engines.
type generation struct {
	server     *Server
	id         string
	model      string
	layers     int
	prompt     string
	maxTokens  uint32
	priority   int32
	parameters string
	admission  admission.Request
	// emit passes a token to the caller; an error means that the caller is gone.
	emit func(token *wire.Token) error

	request *attempt.Request
	tokens  []*wire.TokenValue
	exclude map[string]bool
	lostAt  time.Time
	finish  string
}

// run drives attempts until the answer is whole. It returns nil and sets
// finish on success.
func (g *generation) run(ctx context.Context) *problem.Problem {
	g.request = attempt.NewRequest(true)
	g.exclude = make(map[string]bool)
	for range maxAttempts {
		if g.finish != "" {
			return nil
		}
		chain, err := g.server.models.choose(g.model, g.chainRequest(), g.exclude)
		if err != nil && len(g.exclude) > 0 {
			// Better an instance that failed a moment ago than none.
			clear(g.exclude)
			chain, err = g.server.models.choose(g.model, g.chainRequest(), g.exclude)
		}
		if err != nil {
			return g.giveUp(problem.NoBackend, "no chain of engines covers the model at the moment")
		}
		refused := g.runAttempt(ctx, chain)
		g.server.models.done(g.model, chain)
		if refused != nil {
			return refused
		}
	}
	if g.finish != "" {
		return nil
	}
	return g.giveUp(problem.StageLost, "stages failed on every chain that was tried")
}

func (g *generation) chainRequest() pipeline.Request {
	return pipeline.Request{
		At: now(), Zone: g.server.opts.Zone,
		PromptTokens: len(g.prompt)/bytesPerToken + len(g.tokens), OutputTokens: int(g.maxTokens),
	}
}

// bytesPerToken estimates the prompt's length, because only the engines know their tokenizer.
const bytesPerToken = 4

func (g *generation) giveUp(code problem.Code, detail string) *problem.Problem {
	p := problem.Refuse(code, detail)
	p.Executed = problem.Executed(g.request.Executed().String())
	p.Request = g.id
	return p
}

// stageRun is one attempt on one chain.
type stageRun struct {
	g      *generation
	ex     *exchange
	peers  []*peer
	opened int
	// started is set once the prompt was sent; before that nothing can have run.
	started bool
}

// runAttempt returns nil when the attempt finished or another one may follow.
func (g *generation) runAttempt(ctx context.Context, chain pipeline.Chain) *problem.Problem {
	number := g.request.Send()
	run := &stageRun{g: g, ex: newExchange(attemptKey(g.id, number))}
	defer run.release()
	if !run.open(chain) {
		return nil
	}
	timer := time.NewTimer(openTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.giveUp(problem.DeadlineExceeded, "the request ended before its answer was whole")
		case <-timer.C:
			if run.opened < len(run.peers) {
				return nil
			}
		case <-run.ex.events.Ready():
			events, _ := run.ex.events.Take()
			for _, event := range events {
				over, refused := run.handle(event)
				if over || refused != nil {
					return refused
				}
			}
		}
	}
}

// open registers the attempt at every stage. It returns false when a stage could not be reached.
func (r *stageRun) open(chain pipeline.Chain) bool {
	stages := make([]*wire.Stage, len(chain.Stages))
	for i, s := range chain.Stages {
		stages[i] = &wire.Stage{
			Instance: s.Instance, Address: s.Address,
			Layers: &wire.LayerRange{First: uint32(s.First), Limit: uint32(s.Limit)},
		}
	}
	if err := chain.Tiles(r.g.layers); err != nil {
		return false
	}
	for i, s := range chain.Stages {
		p := r.g.server.peers.get(s.Instance)
		if p == nil || !p.begin(r.ex, r.openFrame(chain.Revision, stages, uint32(i))) {
			r.g.exclude[s.Instance] = true
			return false
		}
		r.peers = append(r.peers, p)
	}
	return true
}

func (r *stageRun) openFrame(revision int64, stages []*wire.Stage, position uint32) func(string) *wire.WorkUp {
	return func(incarnation string) *wire.WorkUp {
		return &wire.WorkUp{Body: &wire.WorkUp_Open{Open: &wire.Open{
			Request: r.ex.key.Request, Attempt: r.ex.key.Number, Incarnation: incarnation,
			PlanRevision: revision, Chain: stages, Position: position, Model: r.g.model, Priority: r.g.priority,
			FirstIndex: uint32(len(r.g.tokens)), MaxTokens: r.g.maxTokens, Parameters: r.g.parameters,
		}}}
	}
}

// handle acts on an event. It returns true when the attempt is over.
func (r *stageRun) handle(event peerEvent) (bool, *problem.Problem) {
	if event.lost {
		r.stageLost(event.peer.id, "connection lost")
		return true, nil
	}
	switch body := event.frame.Body.(type) {
	case *wire.WorkDown_Opened:
		r.opened++
		if r.opened == len(r.peers) {
			r.start()
		}
	case *wire.WorkDown_Refused:
		r.g.exclude[event.peer.id] = true
		return true, nil
	case *wire.WorkDown_Failed:
		failed := event.peer.id
		if int(body.Failed.Stage) < len(r.peers) {
			failed = r.peers[body.Failed.Stage].id
		}
		r.stageLost(failed, body.Failed.Reason)
		return true, nil
	case *wire.WorkDown_Tokens:
		return r.takeTokens(body.Tokens.Tokens)
	}
	return false, nil
}

func (r *stageRun) start() {
	r.started = true
	r.peers[0].push(&wire.WorkUp{Body: &wire.WorkUp_Start{Start: &wire.Start{
		Request: r.ex.key.Request, Attempt: r.ex.key.Number, Prompt: r.g.prompt,
		Generated: r.g.tokens, MaxTokens: r.g.maxTokens,
	}}})
}

// takeTokens passes tokens on in order. A token that the caller already has is
// dropped; one from further ahead would mean a gap, so the attempt ends.
func (r *stageRun) takeTokens(tokens []*wire.Token) (bool, *problem.Problem) {
	for _, token := range tokens {
		next := uint32(len(r.g.tokens))
		if token.Index < next {
			continue
		}
		if token.Index > next {
			return true, nil
		}
		r.g.noteRecovered()
		r.g.request.Observe(r.ex.key.Number, attempt.ExecutedYes)
		r.g.tokens = append(r.g.tokens, token.Value)
		if err := r.g.emit(token); err != nil {
			return true, r.g.giveUp(problem.DeadlineExceeded, "the caller is gone")
		}
		if token.Finish != "" {
			r.g.finish = token.Finish
			return true, nil
		}
	}
	return false, nil
}

func (r *stageRun) stageLost(instance, reason string) {
	r.g.exclude[instance] = true
	r.g.lostAt = now()
	r.g.server.meters.recoveries.Inc(1)
	logevent.Write(r.g.server.opts.Logger, logevent.StageLost).Str("request", r.g.id).
		Uint32("attempt", r.ex.key.Number).Str("instance", instance).Str("reason", reason).Msg("")
}

func (g *generation) noteRecovered() {
	if g.lostAt.IsZero() {
		return
	}
	logevent.Write(g.server.opts.Logger, logevent.StageReplaced).Str("request", g.id).
		Dur("after", time.Since(g.lostAt)).Msg("")
	g.lostAt = time.Time{}
}

// release tells every stage that the attempt is over, and records that an
// attempt without a start did not run.
func (r *stageRun) release() {
	if !r.started {
		r.g.request.Observe(r.ex.key.Number, attempt.ExecutedNo)
	}
	for _, p := range r.peers {
		p.forget(r.ex.key)
		p.push(&wire.WorkUp{Body: &wire.WorkUp_Release{Release: &wire.Release{
			Request: r.ex.key.Request, Attempt: r.ex.key.Number,
		}}})
	}
}
