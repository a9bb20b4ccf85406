package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/quarantine"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 8
	// chainWaitTimeout is how long a request that has already received tokens
	// waits for a chain.
	chainWaitTimeout  = 5 * time.Second
	chainPollInterval = 20 * time.Millisecond
)

// generation is one language model request, which runs on one chain of engines
// after another until its answer is complete.
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
	// emit sends a token to the client; an error means that the client has left.
	emit func(token *wire.Token) error
	// flush flushes the tokens that emit has written; nil if emit needs no flush.
	flush func()

	request *attempt.Request
	tokens  []*wire.TokenValue
	// version is the model version that generated the first token.
	version string
	exclude map[string]bool
	// planned is the chain already chosen for the next attempt, if any.
	planned *plannedChain
	// baseAttempt is the last attempt whose state, such as the KV cache, can be
	// kept by stages of a repaired chain.
	baseAttempt *chainAttempt
	// unreleased holds the attempts that have ended but are not released, because
	// the next attempt may keep their state.
	unreleased   map[*peer]attempt.Key
	stageLostAt  time.Time
	finishReason string
}

// plannedChain is a chain for the next attempt and the state that its stages keep.
type plannedChain struct {
	pipeline.Chain
	// keepsState marks the stages that keep the state of an earlier attempt; nil if
	// none does.
	keepsState []bool
	// oldestKeptAttempt is the number of the oldest attempt whose state may be kept.
	oldestKeptAttempt uint32
}

// run makes attempts until the answer is complete. On success it sets
// finishReason and returns nil.
func (g *generation) run(ctx context.Context) *problem.Problem {
	g.request = attempt.NewRequest(true)
	g.exclude = make(map[string]bool)
	g.unreleased = make(map[*peer]attempt.Key)
	defer g.discardPlanned()
	defer g.releaseAttempts(nil)
	for i := range maxAttempts {
		if clientconn.Check(ctx) != nil {
			return g.endedProblem()
		}
		if prob := g.checkCrashes(i > 0); prob != nil {
			return prob
		}
		chain, prob := g.nextChain(ctx)
		if prob != nil {
			return prob
		}
		g.releaseAttempts(chain)
		prob = g.runAttempt(ctx, chain)
		if len(g.tokens) > 0 && g.version == "" {
			g.version = chain.Version()
		}
		if prob == nil && g.finishReason != "" {
			g.server.crashes.observeAnswered(g.content)
		}
		if prob != nil || g.finishReason != "" {
			return prob
		}
	}
	return g.newProblem(problem.StageLost, "stages failed on every chain that was tried")
}

// content stands for what a client repeats when it sends the request again.
func (g *generation) content() string {
	return quarantine.ContentPart(nil, g.admission.Team, g.model, g.prompt, g.parameters, strconv.Itoa(int(g.maxTokens)))
}

// checkCrashes ends a request that has crashed engines. One that has done so a few times
// is not repeated.
func (g *generation) checkCrashes(repeat bool) *problem.Problem {
	if !repeat {
		return g.server.crashes.check(g.id, g.content)
	}
	if g.server.crashes.mayRepeat(g.content) {
		return nil
	}
	return g.newProblem(problem.StageLost, "engines have ended under the request, which is not repeated")
}

// nextChain chooses a chain. A request that has already received tokens waits a
// while for one; others are refused at once, because the client loses nothing.
func (g *generation) nextChain(ctx context.Context) (*plannedChain, *problem.Problem) {
	deadline := now().Add(chainWaitTimeout)
	for {
		if g.planChain() || g.planIncludingExcluded() {
			chain := g.planned
			g.planned = nil
			return chain, nil
		}
		if len(g.tokens) == 0 || now().After(deadline) {
			return nil, g.newProblem(problem.NoBackend, "no chain of engines covers the model at the moment")
		}
		select {
		case <-ctx.Done():
			return nil, g.endedProblem()
		case <-time.After(chainPollInterval):
		}
	}
}

// planChain chooses the chain of the next attempt and reports whether there is one.
func (g *generation) planChain() bool {
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

// planRepair replaces only the lost stages. Only the replacements process the
// prompt and the generated tokens again; their input is the output that the
// preceding stages have kept.
func (g *generation) planRepair() bool {
	if g.baseAttempt == nil || !g.baseAttempt.canKeepState() {
		return false
	}
	resumption, err := g.server.models.resume(g.model, pipeline.InterruptedRequest{
		Request: g.chainRequest(), Chain: g.baseAttempt.chain.Chain, Attempt: g.request.Latest(),
		Received: len(g.tokens), Lost: g.exclude,
	})
	if err != nil {
		return false
	}
	// Resuming has removed the interrupted chain from the chooser's load.
	g.baseAttempt.counted = false
	g.baseAttempt.repairs++
	planned := &plannedChain{Chain: resumption.Chain, oldestKeptAttempt: g.baseAttempt.ex.key.Number}
	for _, restore := range resumption.Restores {
		planned.keepsState = append(planned.keepsState, restore.Method == pipeline.RestoreKeep)
	}
	g.planned = planned
	return true
}

// releaseAttempts releases earlier attempts on the stages that do not keep their
// state for the next attempt. If next is nil, it releases all of them.
func (g *generation) releaseAttempts(next *plannedChain) {
	keeping := make(map[string]bool)
	if next != nil {
		for i, keeps := range next.keepsState {
			if keeps {
				keeping[next.Stages[i].Instance] = true
			}
		}
	}
	for p, key := range g.unreleased {
		if keeping[p.id] {
			continue
		}
		delete(g.unreleased, p)
		p.enqueue(&wire.WorkUp{Body: &wire.WorkUp_Release{Release: &wire.Release{
			Request: key.Request, Attempt: key.Number,
		}}})
	}
}

// planIncludingExcluded allows instances that failed a moment ago, as there is no
// chain without them. Instances without a connection stay excluded.
func (g *generation) planIncludingExcluded() bool {
	if len(g.exclude) == 0 {
		return false
	}
	clear(g.exclude)
	return g.planChain()
}

func (g *generation) discardPlanned() {
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

// bytesPerToken is used to estimate the prompt length, because only the engines
// have the tokenizer.
const bytesPerToken = 4

func (g *generation) newProblem(code problem.Code, detail string) *problem.Problem {
	p := problem.NotExecuted(code, detail)
	p.Executed = problem.Executed(g.request.Executed().String())
	p.RequestID = g.id
	return p
}

// endedProblem is the problem of a request whose time is over or whose client has left.
func (g *generation) endedProblem() *problem.Problem {
	return g.newProblem(problem.DeadlineExceeded, "the request ended before its answer was whole")
}

func (g *generation) logRecovery() {
	if g.stageLostAt.IsZero() {
		return
	}
	logevent.Write(g.server.opts.Logger, logevent.StageReplaced).Str("request", g.id).
		Dur("after", time.Since(g.stageLostAt)).Msg("")
	g.stageLostAt = time.Time{}
}
