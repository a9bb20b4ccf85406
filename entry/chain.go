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
	// chainWait is how long an answer that has begun waits for a chain.
	chainWait = 5 * time.Second
	chainPoll = 20 * time.Millisecond
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
	// flush sends what emit has passed on; nil when emit does so itself.
	flush func()

	request *attempt.Request
	tokens  []*wire.TokenValue
	// version is the model's version that gave the first token.
	version string
	exclude map[string]bool
	// planned is a chain that was chosen ahead for the next attempt.
	planned *plannedChain
	// base is the last attempt whose state the stages of a repaired chain may keep.
	base *stageRun
	// held names the attempts that are over but not released, because the next
	// attempt may keep their state.
	held   map[*peer]attempt.Key
	lostAt time.Time
	finish string
}

// plannedChain is a chain with what its stages do before the next token.
type plannedChain struct {
	pipeline.Chain
	// keeps marks the stages that go on with their state; nil when none does.
	keeps []bool
	// keepsFrom is the oldest attempt whose state may be kept.
	keepsFrom uint32
}

// run drives attempts until the answer is whole. It returns nil and sets
// finish on success.
func (g *generation) run(ctx context.Context) *problem.Problem {
	g.request = attempt.NewRequest(true)
	g.exclude = make(map[string]bool)
	g.held = make(map[*peer]attempt.Key)
	defer g.dropPlanned()
	defer g.releaseHeld(nil)
	for range maxAttempts {
		chain, refused := g.nextChain(ctx)
		if refused != nil {
			return refused
		}
		g.releaseHeld(chain)
		refused = g.runAttempt(ctx, chain)
		if len(g.tokens) > 0 && g.version == "" {
			g.version = chain.Version()
		}
		if refused != nil || g.finish != "" {
			return refused
		}
	}
	return g.giveUp(problem.StageLost, "stages failed on every chain that was tried")
}

// nextChain chooses a chain. A caller that has a part of its answer waits a
// while for one; others are refused at once, because they lose nothing.
func (g *generation) nextChain(ctx context.Context) (*plannedChain, *problem.Problem) {
	deadline := now().Add(chainWait)
	for {
		if g.plan() || g.planWithExcluded() {
			chain := g.planned
			g.planned = nil
			return chain, nil
		}
		if len(g.tokens) == 0 || now().After(deadline) {
			return nil, g.giveUp(problem.NoBackend, "no chain of engines covers the model at the moment")
		}
		select {
		case <-ctx.Done():
			return nil, g.giveUp(problem.DeadlineExceeded, "the request ended before its answer was whole")
		case <-time.After(chainPoll):
		}
	}
}

// plan chooses the next attempt's chain and returns whether there is one.
func (g *generation) plan() bool {
	if g.planned != nil {
		return true
	}
	if g.planRepair() {
		return true
	}
	chain, err := g.server.models.choose(g.model, g.version, g.chainRequest(), g.exclude)
	if err != nil {
		return false
	}
	g.planned = &plannedChain{Chain: chain}
	return true
}

// planRepair replaces only the lost stages. Only these run the prompt and the
// tokens again, fed with the outputs that the stages before them keep.
func (g *generation) planRepair() bool {
	if g.base == nil || !g.base.mayBeKept() {
		return false
	}
	resumption, err := g.server.models.resume(g.model, pipeline.InterruptedRequest{
		Request: g.chainRequest(), Chain: g.base.chain.Chain, Attempt: g.request.Latest(),
		Received: len(g.tokens), Lost: g.exclude,
	})
	if err != nil {
		return false
	}
	// The chooser has taken the broken chain out of its counts.
	g.base.counted = false
	g.base.repairs++
	planned := &plannedChain{Chain: resumption.Chain, keepsFrom: g.base.ex.key.Number}
	for _, restore := range resumption.Restores {
		planned.keeps = append(planned.keeps, restore.Method == pipeline.RestoreKeep)
	}
	g.planned = planned
	return true
}

// releaseHeld frees what earlier attempts hold at stages that do not keep it
// for the next one; without a next one it frees everything.
func (g *generation) releaseHeld(next *plannedChain) {
	keeping := make(map[string]bool)
	if next != nil {
		for i, keeps := range next.keeps {
			if keeps {
				keeping[next.Stages[i].Instance] = true
			}
		}
	}
	for p, key := range g.held {
		if keeping[p.id] {
			continue
		}
		delete(g.held, p)
		p.push(&wire.WorkUp{Body: &wire.WorkUp_Release{Release: &wire.Release{
			Request: key.Request, Attempt: key.Number,
		}}})
	}
}

// planWithExcluded tries instances again that failed a moment ago, because
// they are better than none. Instances without a connection stay out.
func (g *generation) planWithExcluded() bool {
	if len(g.exclude) == 0 {
		return false
	}
	clear(g.exclude)
	return g.plan()
}

func (g *generation) dropPlanned() {
	if g.planned != nil {
		g.server.models.done(g.model, g.planned.Chain)
		g.planned = nil
	}
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
	p := problem.NotExecuted(code, detail)
	p.Executed = problem.Executed(g.request.Executed().String())
	p.RequestID = g.id
	return p
}

func (g *generation) noteRecovered() {
	if g.lostAt.IsZero() {
		return
	}
	logevent.Write(g.server.opts.Logger, logevent.StageReplaced).Str("request", g.id).
		Dur("after", time.Since(g.lostAt)).Msg("")
	g.lostAt = time.Time{}
}
