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
	// lateValue is what a late answer is worth relative to one in time.
	lateValue = 0.2
	// firstEventDelay is the time from the start to the first event.
	firstEventDelay = 90 * time.Millisecond
)

// load describes the streams that arrive, per second, by rank and by team, and the
// capacity in tokens, at a time since the begin.
type load struct {
	name     string
	rate     func(at time.Duration) [3]float64
	teams    func(at time.Duration) []float64
	capacity func(at time.Duration) float64
}

var (
	replayTargets = [3]time.Duration{500 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond}
	replayWorth   = [3]float64{4, 2, 1}
	usualTeams    = []float64{4, 2, 1, 1, 1, 1}
)

func during(at time.Duration, usual, other float64) float64 {
	if at >= 2*time.Second && at < 8*time.Second {
		return other
	}
	return usual
}

func loads() []load {
	rate := func(factors [3]float64) func(time.Duration) [3]float64 {
		return func(at time.Duration) (r [3]float64) {
			for i, usual := range [3]float64{50, 32, 18} {
				r[i] = during(at, usual, usual*factors[i])
			}
			return r
		}
	}
	teams := func(at time.Duration) []float64 { return usualTeams }
	const usualCapacity = 160_000.0
	whole := func(time.Duration) float64 { return usualCapacity }
	third := func(at time.Duration) float64 { return during(at, usualCapacity, usualCapacity*2/3) }
	// Clients that were refused together return together.
	inStep := func(at time.Duration) [3]float64 {
		if at%(3*time.Second) < 200*time.Millisecond {
			return [3]float64{500, 320, 180}
		}
		return [3]float64{50, 32, 18}
	}
	flood := func(at time.Duration) []float64 {
		return []float64{4, during(at, 2, 20), 1, 1, 1, 1}
	}
	return []load{
		{"burst of the least urgent", rate([3]float64{1, 1, 7}), teams, whole},
		{"burst of the most urgent", rate([3]float64{3, 1, 1}), teams, whole},
		{"burst of one team", rate([3]float64{2, 2, 2}), flood, whole},
		{"burst of all", rate([3]float64{1.7, 1.7, 1.7}), teams, whole},
		{"a third of the engines gone in a burst", rate([3]float64{1.4, 1.4, 1.4}), teams, third},
		{"returns in step", inStep, teams, whole},
	}
}

// replayed is a client's request, which returns once after a refusal.
type replayed struct {
	Waiting
	first    time.Time
	returned bool
	started  time.Time
	done     time.Time
}

// order is a way to order waiting requests.
type order interface {
	add(now time.Time, w *Waiting) []*Waiting
	// pass starts requests and returns those that are refused.
	pass(now time.Time, inProgress func(string) float64, start func(*Waiting) bool) []*Waiting
	waiting() int
	startedAtOnce(now time.Time, w *Waiting)
	retryAfter(now time.Time, w *Waiting, point float64) time.Duration
}

// listOrder tries requests in a fixed order until they can no longer be on time.
type listOrder struct {
	list    []*Waiting
	compare func(a, b *Waiting) int
}

func (l *listOrder) add(_ time.Time, w *Waiting) []*Waiting {
	l.list = append(l.list, w)
	return nil
}

func (l *listOrder) pass(now time.Time, _ func(string) float64, start func(*Waiting) bool) (refused []*Waiting) {
	slices.SortFunc(l.list, func(a, b *Waiting) int {
		return cmp.Or(l.compare(a, b), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	for failed := 0; failed < min(2, len(l.list)); {
		if start(l.list[failed]) {
			l.list = slices.Delete(l.list, failed, failed+1)
			continue
		}
		failed++
	}
	l.list = slices.DeleteFunc(l.list, func(w *Waiting) bool {
		if now.Before(w.StartBy()) {
			return false
		}
		refused = append(refused, w)
		return true
	})
	return refused
}

func (l *listOrder) waiting() int                      { return len(l.list) }
func (l *listOrder) startedAtOnce(time.Time, *Waiting) {}
func (l *listOrder) retryAfter(_ time.Time, _ *Waiting, point float64) time.Duration {
	return time.Second + time.Duration(point*3*float64(time.Second))
}

// queueOrder is the order of a WaitQueue.
type queueOrder struct{ *WaitQueue }

func (o queueOrder) add(now time.Time, w *Waiting) []*Waiting {
	if r := o.Add(now, w); r != nil {
		return []*Waiting{r.Waiting}
	}
	return nil
}

func (o queueOrder) pass(now time.Time, inProgress func(string) float64, start func(*Waiting) bool) (refused []*Waiting) {
	o.Refresh(now, inProgress)
	for started := true; started; {
		started = false
		for _, w := range o.Candidates(2) {
			if start(w) {
				o.Started(now, w.ID)
				started = true
				break
			}
		}
	}
	for _, r := range o.RefuseHopeless(now) {
		refused = append(refused, r.Waiting)
	}
	return refused
}

func (o queueOrder) waiting() int                            { return o.Len() }
func (o queueOrder) startedAtOnce(now time.Time, w *Waiting) { o.StartedAtOnce(now, w) }
func (o queueOrder) retryAfter(now time.Time, w *Waiting, point float64) time.Duration {
	after := min(max(o.ExpectedWait(now, w.Rank), time.Second), 3*time.Second)
	spread := min(max(o.ReturnSpread(now, 3*time.Second), time.Second), 3*time.Second)
	return after + time.Duration(point*float64(spread))
}

// replay is one run of a load.
type replay struct {
	load
	order
	random   *rand.Rand
	now      time.Time
	used     float64
	byTeam   map[string]float64
	running  []*replayed
	returns  []*replayed
	requests []*replayed
	byID     map[string]*replayed
}

func runReplay(l load, seed uint64, o order) *replay {
	p := &replay{load: l, order: o, random: rand.New(rand.NewPCG(seed, 2)), now: waitStart, byTeam: map[string]float64{}, byID: map[string]*replayed{}}
	for at := time.Duration(0); at < replayLength; at += replayStep {
		p.now = waitStart.Add(at)
		p.arrive(at)
		if at%replayPass == 0 {
			p.finish()
			p.refuseAll(p.pass(p.now, func(team string) float64 { return p.byTeam[team] }, p.start))
		}
	}
	return p
}

func (p *replay) arrive(at time.Duration) {
	weights := p.teams(at)
	for rank, rate := range p.rate(at) {
		for expected := rate * replayStep.Seconds(); p.random.Float64() < expected; expected-- {
			work := 150 + min(p.random.ExpFloat64()*750, 2800)
			team := pick(p.random, weights)
			r := &replayed{Waiting: Waiting{Team: fmt.Sprint("t", team), Rank: rank, Work: work}, first: p.now}
			p.requests = append(p.requests, r)
			p.send(r)
		}
	}
	p.returns = slices.DeleteFunc(p.returns, func(r *replayed) bool {
		if p.now.Before(r.done) {
			return false
		}
		p.send(r)
		return true
	})
}

func pick(random *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	point := random.Float64() * sum
	for i, w := range weights {
		if point -= w; point < 0 {
			return i
		}
	}
	return 0
}

func (p *replay) send(r *replayed) {
	r.ID = fmt.Sprint(len(p.byID))
	p.byID[r.ID] = r
	r.Arrived, r.Target, r.Deadline = p.now, p.now.Add(replayTargets[r.Rank]), p.now.Add(20*time.Second)
	if p.waiting() == 0 && p.start(&r.Waiting) {
		p.startedAtOnce(p.now, &r.Waiting)
		return
	}
	p.refuseAll(p.add(p.now, &r.Waiting))
}

func (p *replay) start(w *Waiting) bool {
	if p.used+w.Work > p.capacity(p.now.Sub(waitStart)) {
		return false
	}
	r := p.byID[w.ID]
	r.started, r.done = p.now, p.now.Add(time.Second+time.Duration(w.Work)*time.Millisecond/2)
	p.used += w.Work
	p.byTeam[w.Team] += w.Work
	p.running = append(p.running, r)
	return true
}

func (p *replay) finish() {
	p.running = slices.DeleteFunc(p.running, func(r *replayed) bool {
		if p.now.Before(r.done) {
			return false
		}
		p.used -= r.Work
		p.byTeam[r.Team] -= r.Work
		return true
	})
}

func (p *replay) refuseAll(refused []*Waiting) {
	for _, w := range refused {
		if r := p.byID[w.ID]; !r.returned {
			r.returned, r.done = true, p.now.Add(p.retryAfter(p.now, w, p.random.Float64()))
			p.returns = append(p.returns, r)
		}
	}
}

// value returns what a request is worth to its client, and what it was worth in the end.
func (r *replayed) value() (owed, earned float64) {
	owed = replayWorth[r.Rank] * (0.3 + 0.7*r.Work/900)
	switch {
	case r.started.IsZero():
		return owed, 0
	case r.started.Add(firstEventDelay).After(r.first.Add(replayTargets[r.Rank])):
		return owed, owed * lateValue
	default:
		return owed, owed
	}
}

// lost returns the fraction of what callers could have got that they lost.
func (p *replay) lost() float64 {
	owed, earned := 0.0, 0.0
	for _, r := range p.requests {
		o, e := r.value()
		owed, earned = owed+o, earned+e
	}
	return 1 - earned/owed
}

// share returns the fraction of the requests that was served.
func (p *replay) share(include func(*replayed) bool) float64 {
	served, all := 0.0, 0.0
	for _, r := range p.requests {
		if !include(r) {
			continue
		}
		all++
		if !r.started.IsZero() {
			served++
		}
	}
	return served / all
}

func baselines() map[string]order {
	byRank := func(a, b *Waiting) int { return cmp.Compare(a.Rank, b.Rank) }
	return map[string]order{
		"arrival":  &listOrder{compare: func(a, b *Waiting) int { return 0 }},
		"rank":     &listOrder{compare: byRank},
		"deadline": &listOrder{compare: func(a, b *Waiting) int { return a.Target.Compare(b.Target) }},
		"work":     &listOrder{compare: func(a, b *Waiting) int { return cmp.Compare(a.Work, b.Work) }},
	}
}

// earnedShare returns the fraction of its worth that a rank earned.
func (p *replay) earnedShare(rank int) float64 {
	owed, earned := 0.0, 0.0
	for _, r := range p.requests {
		if r.Rank == rank {
			o, e := r.value()
			owed, earned = owed+o, earned+e
		}
	}
	return earned / owed
}

// Callers' bounds: no rank or team is served less than a quarter as often as all, the
// largest requests at least half as often as all of their kind, and a more urgent rank
// neither less often (by 5 in 100) nor with a smaller share of its worth (15 in 100).
func (p *replay) checkBounds(t *testing.T) {
	const largest = 1900 // a tenth of the requests need more tokens
	all := p.share(func(*replayed) bool { return true })
	for team := range usualTeams {
		share := p.share(func(r *replayed) bool { return r.Team == fmt.Sprint("t", team) })
		assert.Check(t, share >= all/4, "team %d: %.3f of %.3f", team, share, all)
	}
	moreUrgent, earned := 1.0, 1.0
	for rank := range replayWorth {
		share := p.share(func(r *replayed) bool { return r.Rank == rank })
		large := p.share(func(r *replayed) bool { return r.Rank == rank && r.Work > largest })
		assert.Check(t, share >= all/4, "rank %d: %.3f of %.3f", rank, share, all)
		assert.Check(t, large >= share/2, "largest of rank %d: %.3f of %.3f", rank, large, share)
		assert.Check(t, share <= moreUrgent+0.05, "rank %d is served %.3f, the one before %.3f", rank, share, moreUrgent)
		assert.Check(t, p.earnedShare(rank) <= earned+0.15, "rank %d earns %.3f, the one before %.3f", rank, p.earnedShare(rank), earned)
		moreUrgent, earned = share, p.earnedShare(rank)
	}
}

// Over all loads the queue costs callers less than each simple order, and it keeps their
// bounds under each load.
func TestOrderCostsCallersLeast(t *testing.T) {
	const seeds = 3
	lost := map[string]float64{}
	for _, l := range loads() {
		t.Run(l.name, func(t *testing.T) {
			all := &replay{}
			for seed := range uint64(seeds) {
				ours := runReplay(l, seed, queueOrder{NewWaitQueue(DefaultWaitOptions())})
				all.requests = append(all.requests, ours.requests...)
				lost["queue"] += ours.lost()
				for name, o := range baselines() {
					lost[name] += runReplay(l, seed, o).lost()
				}
			}
			all.checkBounds(t)
			t.Log(lost)
		})
	}
	for name := range baselines() {
		assert.Check(t, lost["queue"] < lost[name], "%s: %v", name, lost)
	}
}
