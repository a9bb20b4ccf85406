package fleet

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/pipeline"
)

// epoch is the wall-clock time at virtual time 0.
var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// sim is a discrete-event simulation of engines with a service rate, links with
// a delay and a bandwidth, and requests. It drives the production decision packages.
type sim struct {
	now        time.Duration
	events     eventQueue
	seq        uint64
	rng        *rand.Rand
	engines    map[string]*engine
	engineList []*engine
	links      map[[2]string]*link
	entries    []*entry
	stats      stats
	// measuring enables recording of statistics; it is false during the warm-up.
	measuring bool
	// detectLosses makes entries run a Detector for each request.
	detectLosses bool
	// cacheEventLossRate is the probability that a cache event is lost in transit.
	cacheEventLossRate float64
	nextID             int
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventQueue is a heap of events ordered by time, then by sequence number.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

// link models a one-way network link between or within zones; frames queue for its bandwidth.
type link struct {
	bytesPerSecond           float64 // 0 means unlimited
	delay                    time.Duration
	freeAt                   time.Duration
	sentBytes                int64
	smallFrames, largeFrames transferStats
}

// send delivers a frame after queueing, transmission and propagation delay, and
// records the transfer time.
func (s *sim) send(from, to string, bytes int64, deliver func()) {
	l := s.links[[2]string{from, to}]
	if l == nil {
		return
	}
	l.sentBytes += bytes
	start := max(s.now, l.freeAt)
	if l.bytesPerSecond > 0 {
		l.freeAt = start + time.Duration(float64(bytes)/l.bytesPerSecond*float64(time.Second))
	} else {
		l.freeAt = start
	}
	took := l.freeAt + l.delay - s.now
	s.after(took, deliver)
	if bytes <= maxSmallFrameBytes {
		l.smallFrames.add(bytes, took)
	} else {
		l.largeFrames.add(bytes, took)
	}
}

// maxSmallFrameBytes is the largest frame whose transfer time reflects a link's
// latency; that of larger frames reflects its bandwidth.
const maxSmallFrameBytes = 64 << 10

// transferStats totals the transfers over a link since its last report.
type transferStats struct {
	count     int
	bytes     int64
	totalTime time.Duration
}

func (f *transferStats) add(bytes int64, took time.Duration) {
	f.count++
	f.bytes += bytes
	f.totalTime += took
}

const linkReportInterval = 100 * time.Millisecond

// reportLink periodically sends the mean transfer times of a link to all entries,
// as sidecars do along with their load reports.
func (s *sim) reportLink(from, to string, l *link) {
	for _, f := range []*transferStats{&l.smallFrames, &l.largeFrames} {
		if f.count == 0 {
			continue
		}
		bytes, took := f.bytes/int64(f.count), f.totalTime/time.Duration(f.count)
		*f = transferStats{}
		s.after(reportDelay, func() {
			for _, e := range s.entries {
				if !e.ignoreLinkTimes {
					e.router.ObserveLink(from, to, bytes, took)
				}
			}
		})
	}
	s.after(linkReportInterval, func() { s.reportLink(from, to, l) })
}

// step is one decode token or one prompt chunk passing through a chain.
type step struct {
	request    *request
	attempt    uint32
	tokenIndex int
	stageIndex int
	// promptTokens is the number of prompt tokens, or 0 for a decode step.
	promptTokens int
	// lastChunk is false only for a prompt chunk that more chunks follow.
	lastChunk bool
}

func (st *step) work() float64 {
	if st.promptTokens > 0 {
		return float64(st.promptTokens) / prefillSpeedup
	}
	return 1
}

func (st *step) activations() int64 { return int64(max(1, st.promptTokens)) }

// engine models an engine that serves a range of layers in batched iterations.
type engine struct {
	sim              *sim
	stage            pipeline.Stage
	tokensPerSecond  float64
	minIterationTime time.Duration
	slowdown         float64
	decodes          []*step
	prompts          []*step
	batch            []*step
	busy             bool
	dead             bool // the process has exited and its connections are closed
	hung             bool // no replies, but connections stay open
	stalled          bool // the sidecar replies, but the engine makes no progress
	iterations       uint64
	// longestIteration is the duration of the longest iteration so far.
	longestIteration time.Duration
	runningRequests  int
	cachedPrefixes   map[uint64]bool
	cacheOrder       []uint64
	cacheSeq         int64
}

// iterationBudget limits the work batched into an iteration, so that prompts are
// processed in chunks. It is about three times the minimum iteration time of the
// ranges in these fleets.
const iterationBudget = 4 * time.Millisecond

// maxPromptShare is the fraction of an iteration that prompts may use while decode steps wait.
const maxPromptShare = 0.4

func (e *engine) enqueue(steps []*step) {
	for _, st := range steps {
		if st.attempt != st.request.attempt {
			continue
		}
		if st.promptTokens > 0 {
			e.queuePrompt(st)
		} else {
			e.decodes = append(e.decodes, st)
		}
	}
	e.startIteration()
}

// queuePrompt queues a prompt; replays go ahead of the prompts of new requests.
func (e *engine) queuePrompt(st *step) {
	pos := len(e.prompts)
	if st.attempt > 1 {
		pos = slices.IndexFunc(e.prompts, func(other *step) bool { return other.attempt == 1 })
		if pos < 0 {
			pos = len(e.prompts)
		}
	}
	e.prompts = slices.Insert(e.prompts, pos, st)
}

func (e *engine) stopped() bool { return e.dead || e.hung || e.stalled }

// startIteration starts an iteration if the engine is idle and has work.
func (e *engine) startIteration() {
	if e.busy || e.stopped() || len(e.decodes)+len(e.prompts) == 0 {
		return
	}
	limit := max(1, e.tokensPerSecond*iterationBudget.Seconds())
	reserved := 0.0
	for _, st := range e.prompts {
		reserved = min(limit*maxPromptShare, reserved+st.work())
	}
	n := min(len(e.decodes), max(1, int(limit-reserved)))
	e.batch = append(e.batch[:0], e.decodes[:n]...)
	e.decodes = append(e.decodes[:0], e.decodes[n:]...)
	remaining := limit - float64(n)
	for len(e.prompts) > 0 && remaining > 0 {
		remaining -= e.batchPrompt(remaining)
	}
	work := 0.0
	for _, st := range e.batch {
		work += st.work()
	}
	took := time.Duration(work / e.tokensPerSecond * float64(time.Second))
	took = time.Duration(float64(max(took, e.minIterationTime)) * e.slowdown)
	e.busy = true
	e.longestIteration = max(e.longestIteration, took)
	e.sim.after(took, e.finish)
}

// batchPrompt moves the first queued prompt, or the chunk of it that fits into
// the remaining work, into the batch. It returns the work of that chunk.
func (e *engine) batchPrompt(remaining float64) float64 {
	st := e.prompts[0]
	tokens := max(1, int(remaining*prefillSpeedup))
	if st.promptTokens <= tokens {
		e.prompts = e.prompts[1:]
		e.batch = append(e.batch, st)
		return st.work()
	}
	chunk := *st
	chunk.promptTokens, chunk.lastChunk = tokens, false
	st.promptTokens -= tokens
	e.batch = append(e.batch, &chunk)
	return chunk.work()
}

func (e *engine) finish() {
	e.busy = false
	if e.stopped() {
		return
	}
	e.iterations++
	stepsByEngine := map[*engine][]*step{}
	var targets []*engine
	for _, st := range e.batch {
		next := e.advance(st)
		if next == nil {
			continue
		}
		if stepsByEngine[next] == nil {
			targets = append(targets, next)
		}
		stepsByEngine[next] = append(stepsByEngine[next], st)
	}
	for _, next := range targets {
		steps := stepsByEngine[next]
		bytes := int64(0)
		for _, st := range steps {
			bytes += st.activations() * llm.ActivationBytes
		}
		e.sim.send(e.stage.Zone, next.stage.Zone, bytes, func() { next.enqueue(steps) })
	}
	e.startIteration()
}

// advance moves a completed step to its next stage and returns that stage's
// engine. After the last stage it delivers the token and returns nil.
func (e *engine) advance(st *step) *engine {
	r := st.request
	if st.attempt != r.attempt {
		return nil
	}
	st.stageIndex++
	if st.promptTokens > 0 && st.lastChunk {
		e.cachePrefixes(r.pipelineRequest.Prefixes)
	}
	if st.stageIndex == r.prefillStages && st.stageIndex < len(r.stages) && st.promptTokens > 0 {
		if !st.lastChunk {
			return nil
		}
		st.promptTokens = 0
	}
	if st.stageIndex < len(r.stages) {
		return r.nextEngine(st)
	}
	if !st.lastChunk {
		return nil
	}
	e.sim.deliverToken(e, st)
	return nil
}

// nextEngine returns the engine of a step's next stage, or nil if that stage has
// the whole prompt chunk in its cache.
func (r *request) nextEngine(st *step) *engine {
	wasPrompt := st.promptTokens > 0
	r.skipCached(st)
	if wasPrompt && st.promptTokens == 0 {
		return nil
	}
	return r.stages[st.stageIndex]
}

// deliverToken sends a token to the entry and the next decode step to the first stage.
func (s *sim) deliverToken(e *engine, st *step) {
	r, attempt, index := st.request, st.attempt, st.tokenIndex
	toEntry := s.links[[2]string{e.stage.Zone, r.entry.zone}].delay
	s.after(toEntry, func() { r.entry.receiveToken(r, attempt, index) })
	if index+1 < r.outputTokens {
		next := &step{request: r, attempt: attempt, tokenIndex: index + 1, lastChunk: true}
		delay := s.links[[2]string{e.stage.Zone, r.stages[0].stage.Zone}].delay
		s.after(delay, func() { r.stages[0].enqueue([]*step{next}) })
	}
}

// prefixCacheSize is the number of prefixes that an engine caches.
const prefixCacheSize = 16

// cachePrefixes adds prefixes to the cache, evicting the oldest, and sends an
// event for each store and eviction. The events are numbered without gaps, but
// some are lost in transit.
func (e *engine) cachePrefixes(prefixes []pipeline.Prefix) {
	for _, p := range prefixes {
		if e.cachedPrefixes[p.Hash] {
			continue
		}
		if len(e.cacheOrder) == prefixCacheSize {
			oldest := e.cacheOrder[0]
			e.cacheOrder = e.cacheOrder[1:]
			delete(e.cachedPrefixes, oldest)
			e.sendCacheEvent(oldest, true)
		}
		e.cachedPrefixes[p.Hash] = true
		e.cacheOrder = append(e.cacheOrder, p.Hash)
		e.sendCacheEvent(p.Hash, false)
	}
}

func (e *engine) sendCacheEvent(hash uint64, evicted bool) {
	e.cacheSeq++
	event := pipeline.CacheEvent{
		Instance: e.stage.Instance, Sequence: e.cacheSeq, At: e.sim.time(), Hash: hash, Evicted: evicted,
	}
	for _, entry := range e.sim.entries {
		if entry.chooser != nil && e.sim.rng.Float64() >= e.sim.cacheEventLossRate {
			e.sim.after(reportDelay, func() { entry.chooser.ObserveCache(event) })
		}
	}
}

// reportLoad periodically sends the engine's load to all entries, after a delay.
func (e *engine) reportLoad(interval, delay time.Duration) {
	load := pipeline.Load{
		Instance: e.stage.Instance, At: e.sim.time(), Running: e.runningRequests, Queued: len(e.decodes) + len(e.prompts),
	}
	if !e.dead && !e.hung {
		e.sim.after(delay, func() {
			for _, entry := range e.sim.entries {
				entry.router.Observe(load)
			}
		})
		e.sim.after(interval, func() { e.reportLoad(interval, delay) })
	}
}
