// Package overload measures admission control and retries in virtual time. The
// production controllers handle a random load with a fixed seed; entries, servers
// and clients are simplified models.
package overload

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/retry"
)

const (
	// A request's first token follows its start on a server after firstTokenMinDelay
	// plus a time proportional to its service time, firstTokenMeanExtra on average.
	firstTokenMinDelay  = 20 * time.Millisecond
	firstTokenMeanExtra = 100 * time.Millisecond
	// firstTokenTarget is the design target for the time to first token, and the
	// admission deadline of each request.
	firstTokenTarget = 670 * time.Millisecond
	// clientTimeout is how long a client waits for admission before it gives up.
	clientTimeout = 10 * time.Second
	// Load reports are out of date by up to reportInterval plus hopDelay.
	reportInterval = time.Second
	hopDelay       = 500 * time.Microsecond
	// warmUpServiceTimes is the length of the warm-up, which is excluded from all
	// tables, in mean service times.
	warmUpServiceTimes = 20
)

// team is a source of requests.
type team struct {
	name   string
	weight float64
	// entryRates holds the requests per second at each entry.
	entryRates []float64
}

// scenario is the configuration of one run.
type scenario struct {
	entries, servers, slots int
	teams                   []team
	length                  time.Duration
	// meanServiceTime is the mean time that a request occupies a server slot.
	meanServiceTime time.Duration
	// fifo replaces the controller with a FIFO queue without fairness, shedding or shared capacity.
	fifo bool
	// equalShares limits each entry to an equal share of the capacity, as if there
	// were no load reports.
	equalShares bool
	// slowServers is the number of servers that take slowdown times as long.
	slowServers int
	slowdown    float64
	// maxAttempts is the maximum number of attempts of a request, each with
	// attemptTimeout; 0 means one attempt without a timeout.
	maxAttempts    int
	useRetryBudget bool
}

const attemptTimeout = time.Second

func (s scenario) capacity() float64 {
	return float64(s.servers * s.slots)
}

func (s scenario) warmUp() time.Duration {
	return warmUpServiceTimes * s.meanServiceTime
}

type sim struct {
	scenario
	now      time.Time
	end      time.Time
	random   *rand.Rand
	events   eventQueue
	sequence int
	entries  []*entry
	servers  []*server
	result   *result
}

var start = time.Unix(1_700_000_000, 0)

// runScenario runs the simulation and returns its result, which depends only on
// the seed and the scenario.
func runScenario(seed uint64, s scenario) *result {
	m := &sim{
		scenario: s,
		now:      start,
		end:      start.Add(s.warmUp() + s.length),
		random:   rand.New(rand.NewPCG(seed, 0)),
		result:   newResult(s),
	}
	for i := range s.servers {
		m.servers = append(m.servers, newServer(m, i))
	}
	for i := range s.entries {
		m.entries = append(m.entries, newEntry(m, i, rand.New(rand.NewPCG(seed, uint64(i)+1))))
	}
	for _, t := range s.teams {
		for i, e := range m.entries {
			if rate := t.entryRates[i]; rate > 0 {
				m.scheduleArrivals(e, t, rate)
			}
		}
	}
	m.sampleLoad()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at.After(m.end) {
			break
		}
		m.now = e.at
		e.run()
	}
	return m.result
}

// scheduleArrivals makes a team's requests arrive at an entry as a Poisson process.
func (m *sim) scheduleArrivals(e *entry, t team, rate float64) {
	m.after(exponential(m.random, time.Duration(float64(time.Second)/rate)), func() {
		m.sequence++
		e.arrive(&request{id: fmt.Sprint(m.sequence), team: t, arrived: m.now, entry: e})
		m.scheduleArrivals(e, t, rate)
	})
}

// sampleLoad periodically records the load of the servers and entries.
func (m *sim) sampleLoad() {
	m.after(50*time.Millisecond, func() {
		load, busy := 0, 0
		for _, s := range m.servers {
			load += s.load()
			busy += s.running
		}
		if m.measuring() {
			m.result.recordLoad(float64(load)/m.capacity(), float64(busy)/m.capacity())
			for i, e := range m.entries {
				m.result.runningByEntry[i] += float64(e.running)
			}
		}
		m.sampleLoad()
	})
}

func (m *sim) measuring() bool {
	return m.now.Sub(start) >= m.warmUp()
}

func (m *sim) after(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now.Add(d), sequence: m.sequence, run: run})
}

// drawServiceTime draws a service time as the sum of two exponential times, which
// varies less than a single one with the same mean.
func (m *sim) drawServiceTime() time.Duration {
	return exponential(m.random, m.meanServiceTime/2) + exponential(m.random, m.meanServiceTime/2)
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-random.Float64()) * float64(mean))
}

// request is the state of one request from a client.
type request struct {
	id            string
	team          team
	entry         *entry
	arrived       time.Time
	admitted      time.Time
	attempt       int
	gotFirstToken bool
	done          bool
}

// entry runs the production controller, or the FIFO queue used as a baseline.
type entry struct {
	sim           *sim
	id            int
	controller    *admission.Controller
	budget        *retry.Budget
	backoff       *retry.Backoff
	random        *rand.Rand
	waiting       map[string]*request
	fifoQueue     []*request
	running       int
	ownAttempts   []int
	otherLoad     []int
	reportedLoads []admission.Load
	tickScheduled bool
}

func newEntry(m *sim, id int, random *rand.Rand) *entry {
	e := &entry{
		sim: m, id: id, random: random,
		controller:    admission.New(admission.DefaultOptions(), random),
		budget:        retry.NewBudget(retry.DefaultBudget()),
		backoff:       retry.NewBackoff(50*time.Millisecond, time.Second, random),
		waiting:       map[string]*request{},
		ownAttempts:   make([]int, m.scenario.servers),
		otherLoad:     make([]int, m.scenario.servers),
		reportedLoads: make([]admission.Load, m.scenario.servers),
	}
	e.controller.SetCapacity(m.now, admission.Capacity{Units: m.capacity(), Entries: m.scenario.entries})
	return e
}

func (e *entry) arrive(r *request) {
	if e.sim.fifo {
		e.fifoQueue = append(e.fifoQueue, r)
		e.sim.after(clientTimeout, func() { e.abandon(r) })
		e.startQueued()
		return
	}
	d := e.controller.Offer(e.sim.now, admission.Request{
		ID: r.id, Team: r.team.name, Weight: r.team.weight, Cost: 1, Deadline: r.arrived.Add(firstTokenTarget),
	})
	if d.Verdict == admission.Queue {
		e.waiting[r.id] = r
	} else {
		e.applyDecision(r, d)
	}
	e.tick()
}

func (e *entry) applyDecision(r *request, d admission.Decision) {
	delete(e.waiting, r.id)
	if d.Verdict == admission.Shed {
		r.done = true
		e.sim.result.recordShed(r, e.sim)
		return
	}
	e.startRequest(r)
}

// tick applies the controller's pending decisions and schedules the next tick
// while requests wait.
func (e *entry) tick() {
	if e.sim.fifo {
		e.startQueued()
		return
	}
	for _, d := range e.controller.Tick(e.sim.now) {
		e.applyDecision(e.waiting[d.ID], d)
	}
	next, due := e.controller.NextTick(e.sim.now)
	if !due || e.tickScheduled {
		return
	}
	e.tickScheduled = true
	e.sim.after(next.Sub(e.sim.now), func() {
		e.tickScheduled = false
		e.tick()
	})
}

// startQueued starts requests in order of arrival up to the entry's equal share of the capacity.
func (e *entry) startQueued() {
	limit := int(e.sim.capacity()) / e.sim.scenario.entries
	for len(e.fifoQueue) > 0 && e.running < limit {
		r := e.fifoQueue[0]
		e.fifoQueue = e.fifoQueue[1:]
		if !r.done {
			e.startRequest(r)
		}
	}
}

// abandon ends a request that is still queued when its client gives up.
func (e *entry) abandon(r *request) {
	if r.done || !r.admitted.IsZero() {
		return
	}
	r.done = true
	e.sim.result.recordAbandoned(r, e.sim)
}

func (e *entry) startRequest(r *request) {
	r.admitted = e.sim.now
	e.running++
	e.startAttempt(r)
}

// maxTiedServers is how many servers tied for the fewest own attempts an entry compares.
const maxTiedServers = 3

// pickServer returns a server with the fewest of this entry's own attempts. Among
// a few random ties it returns the one with the least load from other entries as
// last reported; comparing all ties would send every entry's requests to the same
// server.
func (e *entry) pickServer() int {
	first := e.random.IntN(len(e.ownAttempts))
	best, compared := first, 0
	for i := range e.ownAttempts {
		s := (first + i) % len(e.ownAttempts)
		switch {
		case e.ownAttempts[s] < e.ownAttempts[best]:
			best, compared = s, 1
		case e.ownAttempts[s] == e.ownAttempts[best] && compared < maxTiedServers:
			compared++
			if e.otherLoad[s] < e.otherLoad[best] {
				best = s
			}
		}
	}
	return best
}

// startAttempt sends one attempt to a server.
func (e *entry) startAttempt(r *request) {
	r.attempt++
	attempt := r.attempt
	chosen := e.pickServer()
	s := e.sim.servers[chosen]
	e.ownAttempts[chosen]++
	e.sim.result.recordAttempt(e.sim)
	e.sim.after(hopDelay, func() { s.enqueue(&job{request: r, attempt: attempt}) })
	if e.sim.scenario.maxAttempts > 0 {
		e.sim.after(attemptTimeout, func() { e.attemptTimedOut(r, attempt) })
	}
}

// attemptTimedOut abandons an attempt that has no first token yet. The server
// still completes it, like a server without support for cancellation.
func (e *entry) attemptTimedOut(r *request, attempt int) {
	if r.done || r.gotFirstToken || r.attempt != attempt {
		return
	}
	if r.attempt >= e.sim.scenario.maxAttempts || e.sim.scenario.useRetryBudget && !e.budget.Take(e.sim.now, false) {
		e.finish(r, false)
		return
	}
	if !e.sim.scenario.useRetryBudget {
		e.startAttempt(r)
		return
	}
	e.sim.after(e.backoff.Delay(attempt), func() {
		if !r.done && r.attempt == attempt {
			e.startAttempt(r)
		}
	})
}

// receiveFirstToken handles the first token of an attempt; that of an abandoned attempt is ignored.
func (e *entry) receiveFirstToken(r *request, attempt int) {
	if r.done || r.gotFirstToken || r.attempt != attempt {
		return
	}
	r.gotFirstToken = true
	e.sim.result.recordFirstToken(r, e.sim)
}

// attemptEnded handles the completion of an attempt on a server.
func (e *entry) attemptEnded(r *request, attempt, server int) {
	e.ownAttempts[server]--
	if !r.done && r.attempt == attempt {
		e.finish(r, true)
	}
}

func (e *entry) finish(r *request, completed bool) {
	r.done = true
	e.running--
	outcome := admission.Outcome{Result: admission.Failed}
	if completed {
		outcome.Result = admission.Completed
		e.budget.RecordRequest(e.sim.now)
	}
	e.sim.result.recordFinished(r, e.sim, completed)
	if !e.sim.fifo {
		outcome.TimeToFirstToken = r.timeToFirstToken(e.sim)
		e.controller.Done(e.sim.now, r.id, outcome)
	}
	e.tick()
}

// timeToFirstToken returns the time from admission to the first token, or 0 if there is none yet.
func (r *request) timeToFirstToken(m *sim) time.Duration {
	if !r.gotFirstToken {
		return 0
	}
	return m.result.firstTokenTimes[r.id]
}

func (e *entry) observeLoad(server int, load admission.Load) {
	e.reportedLoads[server] = load
	e.otherLoad[server] = max(int(load.Running+load.Queued)-e.ownAttempts[server], 0)
	if e.sim.fifo || e.sim.equalShares {
		return
	}
	var sum admission.Load
	for _, l := range e.reportedLoads {
		sum.Running += l.Running
		sum.Queued += l.Queued
	}
	e.controller.ObserveLoad(e.sim.now, sum)
	e.tick()
}

// server models a server with a fixed number of slots and a FIFO queue.
type server struct {
	sim     *sim
	id      int
	running int
	queue   []*job
}

type job struct {
	request *request
	attempt int
}

func newServer(m *sim, id int) *server {
	s := &server{sim: m, id: id}
	// A random first delay keeps the servers from reporting simultaneously.
	m.after(time.Duration(m.random.Int64N(int64(reportInterval))), s.reportLoad)
	return s
}

func (s *server) load() int {
	return s.running + len(s.queue)
}

func (s *server) reportLoad() {
	load := admission.Load{Running: float64(s.running), Queued: float64(len(s.queue))}
	for _, e := range s.sim.entries {
		s.sim.after(hopDelay, func() { e.observeLoad(s.id, load) })
	}
	s.sim.after(reportInterval, s.reportLoad)
}

func (s *server) enqueue(j *job) {
	if s.running >= s.sim.slots {
		s.queue = append(s.queue, j)
		return
	}
	s.startJob(j)
}

func (s *server) startJob(j *job) {
	s.running++
	serviceTime := s.sim.drawServiceTime()
	if s.id < s.sim.slowServers {
		serviceTime = time.Duration(float64(serviceTime) * s.sim.slowdown)
	}
	first := firstTokenMinDelay + time.Duration(float64(serviceTime)/float64(s.sim.meanServiceTime)*float64(firstTokenMeanExtra))
	e := j.request.entry
	s.sim.after(first+hopDelay, func() { e.receiveFirstToken(j.request, j.attempt) })
	s.sim.after(max(serviceTime, first), func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.startJob(next)
		}
		s.sim.after(hopDelay, func() { e.attemptEnded(j.request, j.attempt, s.id) })
	})
}

// event is a function to run at a time; events at the same time run in the order
// in which they were scheduled.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
