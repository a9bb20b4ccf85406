package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	replayStep   = 5 * time.Millisecond
	replayPass   = 25 * time.Millisecond
	replayLength = 12 * time.Second
	// firstEventDelay is the time from the start to the first event.
	firstEventDelay = 90 * time.Millisecond
	replayCapacity  = 160_000.0 // tokens in progress
)

var (
	replayTargets = [3]time.Duration{500 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond}
	replayWeights = [3]float64{4, 2, 1}
	replayRates   = [3]float64{50, 32, 18} // requests per second by rank
	// replayTeams are the teams of ten requests.
	replayTeams = []string{"large", "large", "large", "large", "second", "second", "a", "b", "c", "d"}
)

// load is a burst from 2 to 8 s, or one at every third second if it is in step.
type load struct {
	name string
	// rates multiply the usual rates, by rank; capacity multiplies the capacity.
	rates    [3]float64
	capacity float64
	// flood is the fraction of the requests that one team sends beside its own.
	flood  float64
	inStep bool
}

var loads = []load{
	{name: "least urgent", rates: [3]float64{1, 1, 7}, capacity: 1},
	{name: "most urgent", rates: [3]float64{3, 1, 1}, capacity: 1},
	{name: "one team", rates: [3]float64{2, 2, 2}, capacity: 1, flood: 0.6},
	{name: "all", rates: [3]float64{1.7, 1.7, 1.7}, capacity: 1},
	{name: "third of the engines gone", rates: [3]float64{1.4, 1.4, 1.4}, capacity: 2.0 / 3},
	{name: "returns in step", rates: [3]float64{10, 10, 10}, capacity: 1, inStep: true},
}

func (l load) active(at time.Duration) bool {
	if l.inStep {
		return at%(3*time.Second) < 200*time.Millisecond
	}
	return at >= 2*time.Second && at < 8*time.Second
}

// replayed is a client's request, which returns once after a refusal.
type replayed struct {
	Waiting
	first, started, next time.Time
	returned             bool
}

// listOrder tries requests in a fixed order until they can no longer be on time.
type listOrder struct {
	list    []*Waiting
	compare func(a, b *Waiting) int
}

// replay plays a load with a WaitQueue, or with a listOrder if that is set.
type replay struct {
	load
	queue            *WaitQueue
	list             *listOrder
	random           *rand.Rand
	now              time.Time
	used             float64
	byTeam           map[string]float64
	running, returns []*replayed
	requests         []*replayed
	byID             map[string]*replayed
}

func runReplay(l load, seed uint64, compare func(a, b *Waiting) int) *replay {
	p := &replay{load: l, random: rand.New(rand.NewPCG(seed, 2)), byTeam: map[string]float64{}, byID: map[string]*replayed{}}
	p.queue = NewWaitQueue(DefaultWaitOptions())
	if compare != nil {
		p.list = &listOrder{compare: compare}
	}
	for at := time.Duration(0); at < replayLength; at += replayStep {
		p.now = waitStart.Add(at)
		p.arrive(at)
		if at%replayPass == 0 {
			p.running = p.due(p.running, func(r *replayed) { p.occupy(r, -r.Work) })
			p.pass()
		}
	}
	return p
}

// due calls f for the requests whose time has come and returns the others.
func (p *replay) due(list []*replayed, f func(*replayed)) []*replayed {
	return slices.DeleteFunc(list, func(r *replayed) bool {
		if p.now.Before(r.next) {
			return false
		}
		f(r)
		return true
	})
}

func (p *replay) arrive(at time.Duration) {
	for rank, rate := range replayRates {
		if p.active(at) {
			rate *= p.rates[rank]
		}
		for expected := rate * replayStep.Seconds(); p.random.Float64() < expected; expected-- {
			team := replayTeams[p.random.IntN(len(replayTeams))]
			if p.active(at) && p.random.Float64() < p.flood {
				team = "second"
			}
			work := 150 + min(p.random.ExpFloat64()*750, 2800)
			r := &replayed{Waiting: Waiting{Team: team, Rank: rank, Work: work}, first: p.now}
			p.requests = append(p.requests, r)
			p.send(r)
		}
	}
	p.returns = p.due(p.returns, p.send)
}

func (p *replay) send(r *replayed) {
	r.ID = fmt.Sprint(len(p.byID))
	p.byID[r.ID] = r
	r.Arrived, r.Target, r.Deadline = p.now, p.now.Add(replayTargets[r.Rank]), p.now.Add(20*time.Second)
	if p.list == nil {
		leastUrgent := Waiting{Arrived: p.now, Target: p.now.Add(slices.Max(replayTargets[r.Rank:])), Deadline: r.Deadline}
		r.OthersWaitUntil = leastUrgent.StartBy()
	}
	switch {
	case p.list != nil:
		p.list.list = append(p.list.list, &r.Waiting)
	case p.queue.Len() == 0 && p.start(&r.Waiting):
		p.queue.StartedAtOnce(p.now, &r.Waiting)
	default:
		if refusal := p.queue.Add(p.now, &r.Waiting); refusal != nil {
			p.refuse(refusal.Waiting)
		}
	}
}

// pass starts what fits, in the order, and refuses what cannot be on time.
func (p *replay) pass() {
	if p.list != nil {
		p.passList(p.list)
		return
	}
	p.queue.Refresh(p.now, func(team string) float64 { return p.byTeam[team] })
	for started := true; started; {
		candidates := p.queue.Candidates(2)
		i := slices.IndexFunc(candidates, p.start)
		if started = i >= 0; started {
			p.queue.Started(p.now, candidates[i].ID)
		}
	}
	for _, r := range p.queue.RefuseHopeless(p.now) {
		p.refuse(r.Waiting)
	}
}

func (p *replay) passList(l *listOrder) {
	slices.SortStableFunc(l.list, func(a, b *Waiting) int { return cmp.Or(l.compare(a, b), a.Arrived.Compare(b.Arrived)) })
	for failed := 0; failed < min(2, len(l.list)); {
		if p.start(l.list[failed]) {
			l.list = slices.Delete(l.list, failed, failed+1)
		} else {
			failed++
		}
	}
	l.list = slices.DeleteFunc(l.list, func(w *Waiting) bool {
		over := !p.now.Before(w.StartBy())
		if over {
			p.refuse(w)
		}
		return over
	})
}

func (p *replay) start(w *Waiting) bool {
	capacity := replayCapacity
	if p.active(p.now.Sub(waitStart)) {
		capacity *= p.capacity
	}
	if p.used+w.Work > capacity {
		return false
	}
	r := p.byID[w.ID]
	r.started, r.next = p.now, p.now.Add(time.Second+time.Duration(w.Work)*time.Millisecond/2)
	p.running = append(p.running, r)
	p.occupy(r, w.Work)
	return true
}

func (p *replay) occupy(r *replayed, work float64) {
	p.used += work
	p.byTeam[r.Team] += work
}

// refuse lets the client return once, as it is told.
func (p *replay) refuse(w *Waiting) {
	r := p.byID[w.ID]
	if r.returned {
		return
	}
	after, spread := time.Second, 3*time.Second
	if p.list == nil {
		after = min(max(p.queue.ExpectedWait(p.now, w.Rank), time.Second), 3*time.Second)
		spread = min(max(p.queue.ReturnSpread(p.now, 3*time.Second), time.Second), 3*time.Second)
	}
	r.returned, r.next = true, p.now.Add(after+time.Duration(p.random.Float64()*float64(spread)))
	p.returns = append(p.returns, r)
}

// outcome returns the fraction of the requests that was served, and the fraction, by the
// weight of their rank, that was served in time.
func (p *replay) outcome(include func(*replayed) bool) (served, inTime float64) {
	var all, weight float64
	for _, r := range p.requests {
		if !include(r) {
			continue
		}
		value := replayWeights[r.Rank]
		all, weight = all+1, weight+value
		if r.started.IsZero() {
			continue
		}
		served++
		if !r.started.Add(firstEventDelay).After(r.first.Add(replayTargets[r.Rank])) {
			inTime += value
		}
	}
	return served / all, inTime / weight
}

func everyRequest(*replayed) bool { return true }

// brokenBounds returns what callers require and did not get: no rank or team is served less
// than a quarter as often as all, the largest requests at least half as often as their
// kind, and a more urgent rank is not served less often (by 5 in 100) or less often in
// time (by 15 in 100).
func (p *replay) brokenBounds() (broken []string) {
	const largest = 1900 // a tenth of the requests need more tokens
	require := func(met bool, format string, args ...any) {
		if !met {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	all, _ := p.outcome(everyRequest)
	for _, team := range replayTeams {
		served, _ := p.outcome(func(r *replayed) bool { return r.Team == team })
		require(served >= all/4, "team %s: %.3f of %.3f", team, served, all)
	}
	moreUrgent, moreInTime := 1.0, 1.0
	for rank := range replayWeights {
		served, inTime := p.outcome(func(r *replayed) bool { return r.Rank == rank })
		large, _ := p.outcome(func(r *replayed) bool { return r.Rank == rank && r.Work > largest })
		require(served >= all/4, "rank %d: %.3f of %.3f", rank, served, all)
		require(large >= served/2, "largest of rank %d: %.3f of %.3f", rank, large, served)
		require(served <= moreUrgent+0.05, "rank %d is served %.3f, the one before %.3f", rank, served, moreUrgent)
		require(inTime <= moreInTime+0.15, "rank %d in time %.3f, the one before %.3f", rank, inTime, moreInTime)
		moreUrgent, moreInTime = served, inTime
	}
	return broken
}

// The queue keeps the bounds of callers under each load, and over all loads more of them, by
// the weight of their rank, are served in time than with each simple order. The least work
// first serves still more, but breaks the bounds of the largest requests.
func TestOrderCostsCallersLeast(t *testing.T) {
	const seeds = 3
	orders := map[string]func(a, b *Waiting) int{
		"queue": nil, "arrival": func(_, _ *Waiting) int { return 0 },
		"rank":     func(a, b *Waiting) int { return cmp.Compare(a.Rank, b.Rank) },
		"deadline": func(a, b *Waiting) int { return a.Target.Compare(b.Target) },
		"work":     func(a, b *Waiting) int { return cmp.Compare(a.Work, b.Work) },
	}
	lost, broken := map[string]float64{}, map[string][]string{}
	for name, compare := range orders {
		for _, l := range loads {
			joined := &replay{}
			for seed := range uint64(seeds) {
				joined.requests = append(joined.requests, runReplay(l, seed, compare).requests...)
			}
			_, inTime := joined.outcome(everyRequest)
			lost[name] += (1 - inTime) / float64(len(loads))
			for _, bound := range joined.brokenBounds() {
				broken[name] = append(broken[name], l.name+": "+bound)
			}
		}
		t.Logf("%s: %.3f not served in time; broken bounds: %q", name, lost[name], broken[name])
	}
	assert.Equal(t, len(broken["queue"]), 0, "%q", broken["queue"])
	for _, name := range []string{"arrival", "rank", "deadline"} {
		assert.Check(t, lost["queue"] < lost[name], name)
	}
	assert.Check(t, lost["queue"] < lost["work"] || len(broken["work"]) > 0)
}

// Guards against requests for which there never is capacity: their team and size are never
// served, so they are raised above all others, and must not keep those waiting.
func TestRequestsThatNeverFitKeepNobodyWaiting(t *testing.T) {
	q := NewWaitQueue(DefaultWaitOptions())
	started, small := 0, 0
	for i := range 2000 {
		now := waitStart.Add(time.Duration(i) * replayStep)
		at := now.Sub(waitStart)
		if i%10 == 0 {
			never := waiting(fmt.Sprint("never", i), fmt.Sprint("never", i/10%2), 2, at)
			never.Work = 5000
			q.Add(now, never)
		}
		small++
		q.Add(now, waiting(fmt.Sprint(i), fmt.Sprint("team", i%20), 0, at))
		if at%replayPass != 0 {
			continue
		}
		q.Refresh(now, func(string) float64 { return 0 })
		for progress := true; progress; {
			candidates := q.Candidates(2)
			fits := slices.IndexFunc(candidates, func(w *Waiting) bool { return w.Rank == 0 })
			if progress = fits >= 0; progress {
				q.Started(now, candidates[fits].ID)
				started++
			}
		}
		q.RefuseHopeless(now)
	}
	assert.Assert(t, started >= small-int(replayPass/replayStep), "%d of %d", started, small)
}
