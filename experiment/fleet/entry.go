package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/pipeline"
)

// router chooses chains. It is implemented by pipeline.Chooser and by simpler baselines.
type router interface {
	Choose(req pipeline.Request, exclude map[string]bool) (pipeline.Chain, error)
	Done(chain pipeline.Chain)
	Observe(load pipeline.Load)
	ObserveLink(from, to string, bytes int64, took time.Duration)
}

// entry models an entry process: it routes requests and receives their tokens.
type entry struct {
	sim      *sim
	zone     string
	router   router
	chooser  *pipeline.Chooser
	recovery *pipeline.Recovery
	lost     map[string]bool
	// closedLoop starts a new request when one ends.
	closedLoop bool
	drawOutput func(r *rand.Rand) int
	// restartAfterLoss restarts requests from their prompt after a loss, as a baseline.
	restartAfterLoss bool
	useKVCopies      bool
	active           map[*request]bool
	// ignoreLinkTimes discards measured transfer times of links, as a baseline.
	ignoreLinkTimes bool
}

// request is one request in progress.
type request struct {
	id                         int
	entry                      *entry
	pipelineRequest            pipeline.Request
	promptTokens, outputTokens int
	chain                      pipeline.Chain
	stages                     []*engine
	attempt                    uint32
	// prefillStages is the number of stages, from the first, that process the prompt.
	prefillStages             int
	receivedTokens            int
	arrivedAt                 time.Duration
	firstTokenAt, lastTokenAt time.Duration
	detector                  *pipeline.Detector
	outage                    *outage
	popular                   bool
	// Stages from firstCachedStage on skip the first skipTokens tokens of the prompt.
	firstCachedStage, skipTokens int
}

// outage tracks the recovery of one request after the loss of a stage.
type outage struct {
	beganAt, detectedAt, reopenedAt time.Duration
	// endTokens is the number of received tokens at which the outage ends: one
	// more than the entry had received when the loss was detected.
	endTokens int
	// attempts is the number of attempts after the loss.
	attempts int
}

func (e *entry) start(promptTokens int, prefixes []pipeline.Prefix) *request {
	e.sim.nextID++
	r := &request{id: e.sim.nextID, entry: e, promptTokens: promptTokens, outputTokens: e.drawOutput(e.sim.rng), arrivedAt: e.sim.now, attempt: 1}
	r.pipelineRequest = pipeline.Request{
		At: e.sim.time(), Zone: e.zone, PromptTokens: promptTokens, OutputTokens: expectedOutput(e), Prefixes: prefixes,
	}
	chain, err := e.router.Choose(r.pipelineRequest, e.lost)
	if err != nil {
		e.sim.stats.refused++
		return nil
	}
	e.active[r] = true
	r.setChain(chain)
	r.prefillStages = len(chain.Stages)
	r.findCachedStages(prefixes)
	e.startAttempt(r, promptTokens)
	return r
}

// expectedOutput returns the mean output length, since the entry does not know a request's own.
func expectedOutput(e *entry) int { return e.sim.stats.meanOutput }

// setChain assigns the request to the engines of a chain.
func (r *request) setChain(chain pipeline.Chain) {
	for _, e := range r.stages {
		e.runningRequests--
	}
	r.chain = chain
	r.stages = r.stages[:0:0]
	for _, st := range chain.Stages {
		e := r.entry.sim.engines[st.Instance]
		e.runningRequests++
		r.stages = append(r.stages, e)
	}
}

// startAttempt opens the stages and sends the prompt tokens to the first stage.
func (e *entry) startAttempt(r *request, promptTokens int) {
	s := e.sim
	if s.detectLosses {
		r.detector = pipeline.NewDetector(r.chain, pipeline.DetectorOptions{}, s.time())
		s.tickDetector(r, r.attempt)
	}
	openTime := time.Duration(0)
	for _, st := range r.stages {
		openTime = max(openTime, s.links[[2]string{e.zone, st.stage.Zone}].delay+s.links[[2]string{st.stage.Zone, e.zone}].delay)
	}
	first := &step{request: r, attempt: r.attempt, tokenIndex: r.receivedTokens, promptTokens: promptTokens, lastChunk: true}
	r.skipCached(first)
	delay := openTime + s.links[[2]string{e.zone, r.stages[0].stage.Zone}].delay
	s.after(openTime, func() {
		if r.outage != nil && r.attempt == first.attempt {
			r.outage.reopenedAt = s.now
		}
	})
	s.after(delay, func() { r.stages[0].enqueue([]*step{first}) })
}

// receiveToken handles a token; it drops tokens of older attempts and duplicates.
func (e *entry) receiveToken(r *request, attempt uint32, tokenIndex int) {
	if attempt != r.attempt || tokenIndex != r.receivedTokens {
		return
	}
	s := e.sim
	r.receivedTokens++
	s.recordToken(r)
	if r.detector != nil {
		r.detector.ObserveToken(s.time())
	}
	if r.outage != nil && r.outage.detectedAt > 0 && r.receivedTokens >= r.outage.endTokens {
		s.stats.outages = append(s.stats.outages, outageTimes{
			detection:   r.outage.detectedAt - r.outage.beganAt,
			replacement: r.outage.reopenedAt - r.outage.detectedAt,
			replay:      s.now - r.outage.reopenedAt,
			total:       s.now - r.outage.beganAt,
			attempts:    r.outage.attempts,
		})
		r.outage = nil
	}
	r.lastTokenAt = s.now
	if r.receivedTokens == r.outputTokens {
		e.finish(r)
	}
}

func (e *entry) finish(r *request) {
	r.attempt++ // pending events of the request become stale
	for _, st := range r.stages {
		st.runningRequests--
	}
	r.stages = r.stages[:0:0]
	delete(e.active, r)
	if r.outage != nil {
		e.sim.stats.unaffected++
	}
	e.router.Done(r.chain)
	if r.receivedTokens == r.outputTokens {
		e.sim.recordRequest(r)
	}
	if e.closedLoop {
		e.start(drawPrompt(e.sim.rng), nil)
	}
}

// tickDetector runs the request's detector until the attempt ends.
func (s *sim) tickDetector(r *request, attempt uint32) {
	if r.attempt != attempt {
		return
	}
	f := r.detector.Tick(s.time())
	for _, name := range f.Probe {
		s.probe(r, attempt, s.engines[name])
	}
	if len(f.Lost) > 0 {
		r.entry.markLost(f.Lost)
		return
	}
	s.after(max(f.Next.Sub(s.time()), time.Millisecond), func() { s.tickDetector(r, attempt) })
}

// probe sends a liveness probe to a sidecar; a hung or dead engine does not reply.
func (s *sim) probe(r *request, attempt uint32, e *engine) {
	toStage := s.links[[2]string{r.entry.zone, e.stage.Zone}].delay
	toEntry := s.links[[2]string{e.stage.Zone, r.entry.zone}].delay
	s.after(toStage, func() {
		if e.hung || e.dead {
			return
		}
		reply := pipeline.ProbeReply{Instance: e.stage.Instance, Iterations: e.iterations, Pending: e.hasPendingStep(r), LongestIteration: e.longestIteration}
		s.after(toEntry, func() {
			if r.attempt == attempt {
				r.detector.ObserveReply(reply, s.time())
			}
		})
	})
}

func (e *engine) hasPendingStep(r *request) bool {
	lists := [][]*step{e.decodes, e.prompts}
	if e.busy {
		lists = append(lists, e.batch)
	}
	for _, list := range lists {
		for _, st := range list {
			if st.request == r && st.attempt == r.attempt {
				return true
			}
		}
	}
	return false
}

// markLost records lost stages and recovers all requests that use them.
func (e *entry) markLost(lost map[string]pipeline.LossReason) {
	for name := range lost {
		e.lost[name] = true
		e.sim.stats.lostStages++
	}
	for _, r := range e.requestsUsing(e.lost) {
		e.recoverRequest(r)
	}
}

// requestsUsing returns the requests that use any of the instances, oldest first.
func (e *entry) requestsUsing(instances map[string]bool) []*request {
	var list []*request
	for r := range e.active {
		if slices.ContainsFunc(r.chain.Stages, func(s pipeline.Stage) bool { return instances[s.Instance] }) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return a.id - b.id })
	return list
}

// recoverRequest resumes a request whose chain has lost stages.
func (e *entry) recoverRequest(r *request) {
	s := e.sim
	if r.outage != nil {
		r.outage.attempts++
		if r.outage.detectedAt == 0 {
			r.outage.detectedAt = s.now
			r.outage.endTokens = r.receivedTokens + 1
		}
	}
	if e.restartAfterLoss {
		e.restartRequest(r)
		return
	}
	res, err := e.recovery.Resume(pipeline.InterruptedRequest{
		Request: r.refreshPipelineRequest(), Chain: r.chain, Attempt: r.attempt, Received: r.receivedTokens, Lost: e.lost, Copies: e.kvCopiesOf(r),
	})
	if err != nil {
		s.stats.refused++
		e.finish(r)
		return
	}
	r.attempt = res.Attempt
	r.skipTokens = 0
	r.setChain(res.Chain)
	r.prefillStages = res.ReplayStages
	promptTokens := 0
	if res.ReplayStages > 0 {
		promptTokens = r.promptTokens + r.receivedTokens - res.ReplayFrom
	}
	importTime := e.kvImportTime(res)
	if importTime > 0 {
		attempt := r.attempt
		s.after(importTime, func() {
			if r.attempt == attempt {
				e.startAttempt(r, promptTokens)
			}
		})
		return
	}
	e.startAttempt(r, promptTokens)
}

func (r *request) refreshPipelineRequest() pipeline.Request {
	r.pipelineRequest.At = r.entry.sim.time()
	return r.pipelineRequest
}

// restartRequest reruns the whole request from its prompt.
func (e *entry) restartRequest(r *request) {
	e.router.Done(r.chain)
	chain, err := e.router.Choose(r.refreshPipelineRequest(), e.lost)
	if err != nil {
		e.sim.stats.refused++
		return
	}
	r.attempt++
	r.receivedTokens, r.skipTokens = 0, 0
	r.setChain(chain)
	r.prefillStages = len(chain.Stages)
	e.startAttempt(r, r.promptTokens)
}

const (
	// copyLagTokens is how many tokens a KV copy lags behind its stage.
	copyLagTokens = 32
	// kvBytesPerSecond is the transfer rate of KV caches.
	kvBytesPerSecond = 5e8
)

// kvCopiesOf returns one KV copy per stage, assumed to be on the first other live engine with the same range.
func (e *entry) kvCopiesOf(r *request) []pipeline.KVCopy {
	if !e.useKVCopies {
		return nil
	}
	var list []pipeline.KVCopy
	for _, st := range r.chain.Stages {
		for _, candidate := range e.sim.engineList {
			holder := candidate.stage
			if holder.First == st.First && holder.Limit == st.Limit && holder.Instance != st.Instance && !e.lost[holder.Instance] {
				list = append(list, pipeline.KVCopy{
					Holder: holder.Instance, Zone: holder.Zone, First: holder.First, Limit: holder.Limit, Tokens: r.promptTokens + r.receivedTokens - copyLagTokens,
				})
				break
			}
		}
	}
	return list
}

func (e *entry) kvImportTime(res pipeline.Resumption) time.Duration {
	longest := 0.0
	for i, restore := range res.Restores {
		st := res.Chain.Stages[i]
		if restore.Method == pipeline.RestoreImport && restore.Copy.Holder != st.Instance {
			bytes := float64(restore.Copy.Tokens) * float64(st.Limit-st.First) * float64(llm.KVBytesPerTokenLayer)
			longest = max(longest, bytes/kvBytesPerSecond)
		}
	}
	return time.Duration(longest * float64(time.Second))
}

// drawPrompt draws a prompt length from a log-normal distribution with mean
// meanPrompt, clamped to 20..4000 tokens.
func drawPrompt(r *rand.Rand) int {
	return min(4000, max(20, int(meanPrompt*math.Exp(0.7*r.NormFloat64()-0.245))))
}

// outputSampler returns a function that draws output lengths from an exponential
// distribution with the given mean, clamped to 8..8*mean tokens.
func outputSampler(mean int) func(r *rand.Rand) int {
	return func(r *rand.Rand) int {
		return min(8*mean, max(8, int(float64(mean)*r.ExpFloat64())))
	}
}
