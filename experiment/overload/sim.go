// Package overload measures admission and retries in virtual time. The real
// controllers decide on a random but seeded load; entries, servers and callers
// are short models.
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
	// A request's first token follows its start on a server after firstTokenFixed
	// and a time that varies with the length of the request, firstTokenMean on average.
	firstTokenFixed = 20 * time.Millisecond
	firstTokenMean  = 100 * time.Millisecond
	// firstTokenTarget is the design's target and the deadline of each request.
	firstTokenTarget = 670 * time.Millisecond
	// patience is how long a caller waits for an answer before it leaves.
	patience = 10 * time.Second
	// reportInterval and hopDelay make the load reports lag.
	reportInterval = time.Second
	hopDelay       = 500 * time.Microsecond
	// warmUpHolds is the time, in mean holds, that is left out of all figures.
	warmUpHolds = 20
)

// team is a source of requests.
type team struct {
	name   string
	weight float64
	// perSecond is the rate at each entry.
	perSecond []float64
}

// scenario describes one run.
type scenario struct {
	entries, servers, slots int
	teams                   []team
	length                  time.Duration
	// hold is the mean time for which a request holds a slot of a server.
	hold time.Duration
	// fifo replaces the controller by a queue without fairness, shedding or shared capacity.
	fifo bool
	// fixedShare keeps each entry at an equal share, as without load reports.
	fixedShare bool
	// slow servers take slowFactor times as long.
	slow       int
	slowFactor float64
	// attempts is the number of tries of a request, each given attemptTimeout; 0 means one try without a timeout.
	attempts int
	budget   bool
}

const attemptTimeout = time.Second

func (s scenario) capacity() float64 {
	return float64(s.servers * s.slots)
}

func (s scenario) warmUp() time.Duration {
	return warmUpHolds * s.hold
}

type sim struct {
	scenario
	now     time.Time
	end     time.Time
	random  *rand.Rand
	events  events
	serial  int
	entries []*entry
	servers []*server
	result  *result
}

var start = time.Unix(1_700_000_000, 0)

// run makes one run and returns its figures. The same seed gives the same figures.
func run(seed uint64, s scenario) *result {
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
			if rate := t.perSecond[i]; rate > 0 {
				m.arrivals(e, t, rate)
			}
		}
	}
	m.sample()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at.After(m.end) {
			break
		}
		m.now = e.at
		e.act()
	}
	return m.result
}

// arrivals makes a team's requests arrive at random at an entry.
func (m *sim) arrivals(e *entry, t team, rate float64) {
	m.after(exponential(m.random, time.Duration(float64(time.Second)/rate)), func() {
		m.serial++
		e.arrive(&request{id: fmt.Sprint(m.serial), team: t, arrived: m.now, entry: e})
		m.arrivals(e, t, rate)
	})
}

// sample records the load of the servers.
func (m *sim) sample() {
	m.after(50*time.Millisecond, func() {
		load, busy := 0, 0
		for _, s := range m.servers {
			load += s.load()
			busy += s.running
		}
		if m.measured() {
			m.result.load(float64(load)/m.capacity(), float64(busy)/m.capacity())
			for i, e := range m.entries {
				m.result.entryRunning[i] += float64(e.running)
			}
		}
		m.sample()
	})
}

func (m *sim) measured() bool {
	return m.now.Sub(start) >= m.warmUp()
}

func (m *sim) after(d time.Duration, act func()) {
	m.serial++
	heap.Push(&m.events, event{at: m.now.Add(d), order: m.serial, act: act})
}

// drawHold draws a slot time: the sum of two exponential times, which has a moderate spread.
func (m *sim) drawHold() time.Duration {
	return exponential(m.random, m.hold/2) + exponential(m.random, m.hold/2)
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-random.Float64()) * float64(mean))
}

// request is one request of a caller.
type request struct {
	id       string
	team     team
	entry    *entry
	arrived  time.Time
	admitted time.Time
	attempt  int
	answered bool
	over     bool
}

// entry runs the real controller, or the queue that it is compared with.
type entry struct {
	m          *sim
	id         int
	controller *admission.Controller
	budget     *retry.Budget
	backoff    *retry.Backoff
	random     *rand.Rand
	waiting    map[string]*request
	queue      []*request
	running    int
	pending    []int
	others     []int
	loads      []admission.Load
	ticking    bool
}

func newEntry(m *sim, id int, random *rand.Rand) *entry {
	e := &entry{
		m: m, id: id, random: random,
		controller: admission.New(admission.DefaultOptions(), random),
		budget:     retry.NewBudget(retry.DefaultBudget()),
		backoff:    retry.NewBackoff(50*time.Millisecond, time.Second, random),
		waiting:    map[string]*request{},
		pending:    make([]int, m.scenario.servers),
		others:     make([]int, m.scenario.servers),
		loads:      make([]admission.Load, m.scenario.servers),
	}
	e.controller.SetCapacity(m.now, admission.Capacity{Units: m.capacity(), Entries: m.scenario.entries})
	return e
}

func (e *entry) arrive(r *request) {
	if e.m.fifo {
		e.queue = append(e.queue, r)
		e.m.after(patience, func() { e.leave(r) })
		e.serveQueue()
		return
	}
	d := e.controller.Offer(e.m.now, admission.Request{
		ID: r.id, Team: r.team.name, Weight: r.team.weight, Cost: 1, Deadline: r.arrived.Add(firstTokenTarget),
	})
	if d.Verdict == admission.Queue {
		e.waiting[r.id] = r
	} else {
		e.decide(r, d)
	}
	e.tick()
}

func (e *entry) decide(r *request, d admission.Decision) {
	delete(e.waiting, r.id)
	if d.Verdict == admission.Shed {
		r.over = true
		e.m.result.shed(r, e.m)
		return
	}
	e.begin(r)
}

// tick passes on the decisions that are due and comes back while requests wait.
func (e *entry) tick() {
	if e.m.fifo {
		e.serveQueue()
		return
	}
	for _, d := range e.controller.Tick(e.m.now) {
		e.decide(e.waiting[d.ID], d)
	}
	next, due := e.controller.NextTick(e.m.now)
	if !due || e.ticking {
		return
	}
	e.ticking = true
	e.m.after(next.Sub(e.m.now), func() {
		e.ticking = false
		e.tick()
	})
}

// serveQueue starts requests in order of arrival while the entry's equal share lasts.
func (e *entry) serveQueue() {
	limit := int(e.m.capacity()) / e.m.scenario.entries
	for len(e.queue) > 0 && e.running < limit {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if !r.over {
			e.begin(r)
		}
	}
}

// leave ends a request whose caller waits no longer.
func (e *entry) leave(r *request) {
	if r.over || !r.admitted.IsZero() {
		return
	}
	r.over = true
	e.m.result.left(r, e.m)
}

func (e *entry) begin(r *request) {
	r.admitted = e.m.now
	e.running++
	e.try(r)
}

// pickChoices is the number of servers with equally few own attempts that an entry compares.
const pickChoices = 3

// pick returns a server with the fewest of this entry's attempts. Among some
// random ones of these it takes the one that was least busy with the attempts of others by
// the last report; comparing all would send every entry's requests to the same server.
func (e *entry) pick() int {
	first := e.random.IntN(len(e.pending))
	best, compared := first, 0
	for i := range e.pending {
		s := (first + i) % len(e.pending)
		switch {
		case e.pending[s] < e.pending[best]:
			best, compared = s, 1
		case e.pending[s] == e.pending[best] && compared < pickChoices:
			compared++
			if e.others[s] < e.others[best] {
				best = s
			}
		}
	}
	return best
}

// try sends one attempt to a server.
func (e *entry) try(r *request) {
	r.attempt++
	number := r.attempt
	a := e.pick()
	s := e.m.servers[a]
	e.pending[a]++
	e.m.result.attempts(e.m)
	e.m.after(hopDelay, func() { s.accept(&job{request: r, number: number}) })
	if e.m.scenario.attempts > 0 {
		e.m.after(attemptTimeout, func() { e.timeout(r, number) })
	}
}

// timeout gives up an attempt without a first token. The server goes on with it,
// as one does that cannot cancel.
func (e *entry) timeout(r *request, number int) {
	if r.over || r.answered || r.attempt != number {
		return
	}
	if r.attempt >= e.m.scenario.attempts || e.m.scenario.budget && !e.budget.Take(e.m.now, false) {
		e.finish(r, false)
		return
	}
	if !e.m.scenario.budget {
		e.try(r)
		return
	}
	e.m.after(e.backoff.Delay(number), func() {
		if !r.over && r.attempt == number {
			e.try(r)
		}
	})
}

// firstToken takes the first token of an attempt; the caller sees the first one only.
func (e *entry) firstToken(r *request, number int) {
	if r.over || r.answered || r.attempt != number {
		return
	}
	r.answered = true
	e.m.result.answered(r, e.m)
}

// ended takes the end of an attempt on a server.
func (e *entry) ended(r *request, number, server int) {
	e.pending[server]--
	if !r.over && r.attempt == number {
		e.finish(r, true)
	}
}

func (e *entry) finish(r *request, completed bool) {
	r.over = true
	e.running--
	outcome := admission.Outcome{Result: admission.Failed}
	if completed {
		outcome.Result = admission.Completed
		e.budget.RecordRequest(e.m.now)
	}
	e.m.result.finished(r, e.m, completed)
	if !e.m.fifo {
		outcome.TimeToFirstToken = r.firstToken(e.m)
		e.controller.Done(e.m.now, r.id, outcome)
	}
	e.tick()
}

// firstToken is the time from admission to the first token, which is known once it was answered.
func (r *request) firstToken(m *sim) time.Duration {
	if !r.answered {
		return 0
	}
	return m.result.firstTokens[r.id]
}

func (e *entry) observe(server int, load admission.Load) {
	e.loads[server] = load
	e.others[server] = max(int(load.Running+load.Queued)-e.pending[server], 0)
	if e.m.fifo || e.m.fixedShare {
		return
	}
	var sum admission.Load
	for _, l := range e.loads {
		sum.Running += l.Running
		sum.Queued += l.Queued
	}
	e.controller.ObserveLoad(e.m.now, sum)
	e.tick()
}

// server has a number of slots and a queue in order of arrival.
type server struct {
	m       *sim
	id      int
	running int
	queue   []*job
}

type job struct {
	request *request
	number  int
}

func newServer(m *sim, id int) *server {
	s := &server{m: m, id: id}
	// Servers report at different times.
	m.after(time.Duration(m.random.Int64N(int64(reportInterval))), s.report)
	return s
}

func (s *server) load() int {
	return s.running + len(s.queue)
}

func (s *server) report() {
	load := admission.Load{Running: float64(s.running), Queued: float64(len(s.queue))}
	for _, e := range s.m.entries {
		s.m.after(hopDelay, func() { e.observe(s.id, load) })
	}
	s.m.after(reportInterval, s.report)
}

func (s *server) accept(j *job) {
	if s.running >= s.m.slots {
		s.queue = append(s.queue, j)
		return
	}
	s.start(j)
}

func (s *server) start(j *job) {
	s.running++
	hold := s.m.drawHold()
	if s.id < s.m.slow {
		hold = time.Duration(float64(hold) * s.m.slowFactor)
	}
	first := firstTokenFixed + time.Duration(float64(hold)/float64(s.m.hold)*float64(firstTokenMean))
	e := j.request.entry
	s.m.after(first+hopDelay, func() { e.firstToken(j.request, j.number) })
	s.m.after(max(hold, first), func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.start(next)
		}
		s.m.after(hopDelay, func() { e.ended(j.request, j.number, s.id) })
	})
}

// event is something that happens at a time; events of one time keep their order.
type event struct {
	at    time.Time
	order int
	act   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
