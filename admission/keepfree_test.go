package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphirefield/sapphirefield/demand"
)

const (
	// worseServed is how much less often callers accept a kind of request to be served
	// than a less urgent one, and minServed how often any kind must be, relative to all.
	worseServed = 0.05
	minServed   = 0.25

	fleetStep, decideInterval, reportInterval = 25 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond
	streamTime, longestWait                   = 2 * time.Second, 200 * time.Millisecond
	ranks                                     = 3

	// largeWork is the work of the largest tenth of the streams, as a multiple of the
	// others' work, and largeServed how often it must be served relative to its kind.
	largeWork, largeServed = 12.0, 0.5
)

// fleetReplay plays streams of three ranks at entries of unlike size, which share room for a
// number of streams.
type fleetReplay struct {
	entries []*fleetEntry
	room    int
	// running holds the streams by their end, used their work.
	running []runningStream
	used    float64
	// hears reports whether an entry gets the messages of another one.
	hears         func(from, to int) bool
	now           time.Time
	random        *rand.Rand
	asked, served [ranks]float64
	// largeShare is the share of large streams; largeAsked and largeOK count them.
	largeShare          float64
	largeAsked, largeOK [ranks]float64
}

type runningStream struct {
	end  time.Time
	work float64
}

type fleetEntry struct {
	share   float64
	keeper  *Keeper
	book    *demand.Book
	load    [ranks]struct{ started, refused rateEstimator }
	waiting []Waiting
}

func newFleetReplay(entries, room int) *fleetReplay {
	r := &fleetReplay{room: room, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), hears: func(int, int) bool { return true }}
	for i := range entries {
		e := &fleetEntry{share: 1}
		if i%4 == 0 {
			e.share = 5
		}
		r.entries = append(r.entries, e)
	}
	r.restart()
	return r
}

// restart starts all entries anew.
func (r *fleetReplay) restart() {
	for _, e := range r.entries {
		*e = fleetEntry{share: e.share, keeper: NewKeeper(DefaultKeepOptions()), book: demand.NewBook()}
		for rank := range e.load {
			e.load[rank].started.window, e.load[rank].refused.window = time.Second, time.Second
		}
	}
}

// run plays a time with a number of arrivals per second of each rank.
func (r *fleetReplay) run(duration time.Duration, arrivals [ranks]float64) {
	shares := 0.0
	for _, e := range r.entries {
		shares += e.share
	}
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(fleetStep) {
		r.running = slices.DeleteFunc(r.running, func(s runningStream) bool {
			if r.now.After(s.end) {
				r.used -= s.work
				return true
			}
			return false
		})
		for _, i := range r.random.Perm(len(r.entries)) {
			e := r.entries[i]
			for rank, perSecond := range arrivals {
				for expected := perSecond * e.share / shares * fleetStep.Seconds(); r.random.Float64() < expected; expected-- {
					w := Waiting{Rank: rank, Arrived: r.now, Work: 1}
					if r.random.Float64() < r.largeShare {
						w.Work = largeWork
						r.largeAsked[rank]++
					}
					e.waiting = append(e.waiting, w)
					r.asked[rank]++
				}
			}
			r.start(e)
		}
		r.decide()
	}
}

// start starts the streams that wait at an entry, or refuses them.
func (r *fleetReplay) start(e *fleetEntry) {
	slices.SortStableFunc(e.waiting, func(a, b Waiting) int { return a.Rank - b.Rank })
	e.waiting = slices.DeleteFunc(e.waiting, func(w Waiting) bool {
		load := &e.load[w.Rank]
		if r.used+w.Work <= float64(r.room)*(1-e.keeper.Fraction(w.Rank)) {
			r.running = append(r.running, runningStream{r.now.Add(streamTime), w.Work})
			r.used += w.Work
			r.served[w.Rank]++
			if w.Work > 1 {
				r.largeOK[w.Rank]++
			}
			load.started.add(r.now, w.Work)
			return true
		}
		if r.now.Sub(w.Arrived) < longestWait {
			return false
		}
		load.refused.add(r.now, w.Work)
		return true
	})
}

// report returns what an entry tells the others.
func (r *fleetReplay) report(e *fleetEntry) (loads []demand.Load) {
	for rank := range e.load {
		l := demand.Load{Urgency: rank, Started: e.load[rank].started.at(r.now), Refused: e.load[rank].refused.at(r.now)}
		for _, w := range e.waiting {
			if w.Rank == rank && r.now.Sub(w.Arrived) > longestWait/2 {
				l.Waiting += w.Work
			}
		}
		loads = append(loads, l)
	}
	return loads
}

func (r *fleetReplay) decide() {
	for i, e := range r.entries {
		for j, to := range r.entries {
			if i != j && r.now.UnixMilli()%reportInterval.Milliseconds() == 0 && r.hears(i, j) {
				to.book.Observe(r.now, fmt.Sprint(i), demand.Report{1: r.report(e)}.Bounded())
			}
		}
		if r.now.UnixMilli()%decideInterval.Milliseconds() == 0 {
			e.keeper.Update(r.now, e.book.Totals(r.now, 1, demand.Room, r.report(e)))
		}
	}
}

func (r *fleetReplay) servedShare(rank int) float64 { return r.served[rank] / r.asked[rank] }

// check compares how often the ranks were served.
func (r *fleetReplay) check(t *testing.T) {
	t.Helper()
	all := (r.served[0] + r.served[1] + r.served[2]) / (r.asked[0] + r.asked[1] + r.asked[2])
	for rank := range ranks {
		assert.Check(t, rank == 0 || r.servedShare(rank-1) >= r.servedShare(rank)-worseServed, "rank %d: %.2f and before it %.2f", rank, r.servedShare(rank), r.servedShare(max(rank-1, 0)))
		assert.Check(t, r.servedShare(rank) >= minServed*all, "rank %d: %.2f", rank, r.servedShare(rank))
	}
}

// Guards against urgent streams that are refused at some entries while less urgent
// ones start at others, in steady excess, in a burst of each rank, while the two
// halves of the entries do not hear each other, and after all of them restarted.
func TestUrgentStreamsComeFirstOverAllEntries(t *testing.T) {
	steady := [ranks]float64{40, 40, 40}
	play := func(prepare func(r *fleetReplay)) *fleetReplay {
		r := newFleetReplay(24, 160)
		prepare(r)
		r.run(10*time.Second, steady)
		r.check(t)
		return r
	}
	without := newFleetReplay(24, 160)
	without.hears = func(int, int) bool { return false }
	for _, e := range without.entries {
		e.keeper.options.Max = 0
	}
	without.run(10*time.Second, steady)
	with := play(func(*fleetReplay) {})
	assert.Assert(t, with.servedShare(0) > without.servedShare(0)+worseServed, "%.2f without, %.2f with", without.servedShare(0), with.servedShare(0))
	play(func(r *fleetReplay) { r.hears = func(from, to int) bool { return from%2 == to%2 } })
	play(func(r *fleetReplay) {
		r.run(3*time.Second, steady)
		r.restart()
	})
	for rank := range ranks {
		burst := [ranks]float64{20, 20, 20}
		burst[rank] = 100
		r := newFleetReplay(24, 160)
		r.run(5*time.Second, [ranks]float64{20, 20, 20})
		r.asked, r.served = [ranks]float64{}, [ranks]float64{}
		r.run(8*time.Second, burst)
		r.check(t)
	}
}

// Guards against kept room that shuts out the largest streams of a rank: they need more
// room at once than the others that start beside them. One large stream needs almost
// as much as is kept.
func TestLargeStreamsFitBesideKeptRoom(t *testing.T) {
	play := func(most float64) *fleetReplay {
		r := newFleetReplay(24, 160)
		r.largeShare = 0.1
		for _, e := range r.entries {
			e.keeper.options.Max = most
		}
		r.run(20*time.Second, [ranks]float64{15, 15, 15})
		return r
	}
	with, without := play(DefaultKeepOptions().Max), play(0)
	for rank := range ranks {
		large, all := with.largeOK[rank]/with.largeAsked[rank], with.servedShare(rank)
		t.Logf("rank %d: large %.2f, all %.2f; without %.2f, %.2f", rank, large, all, without.largeOK[rank]/without.largeAsked[rank], without.servedShare(rank))
		assert.Check(t, large >= largeServed*all, "rank %d: large %.2f, all %.2f", rank, large, all)
	}
}

// Guards against room that stays empty: none is kept without a lack, and all is given
// back in time after one. It also guards against an entry that claims demand, one that
// falls silent with it, and a low rank that is shut out.
func TestRoomIsKeptOnlyWhileNeeded(t *testing.T) {
	r := newFleetReplay(24, 400)
	r.run(5*time.Second, [ranks]float64{40, 40, 40})
	assert.Equal(t, r.entries[1].keeper.Fraction(2), 0.0)
	assert.Equal(t, r.served, r.asked)

	lie := demand.Report{1: {{Urgency: 0, Waiting: demand.MaxTokens, Refused: demand.MaxTokens}}}
	for range 20 {
		r.run(250*time.Millisecond, [ranks]float64{40, 40, 40})
		for _, e := range r.entries {
			e.book.Observe(r.now, "liar", lie)
		}
	}
	options := DefaultKeepOptions()
	assert.Assert(t, r.entries[1].keeper.Fraction(2) <= options.MaxPerEntry)
	assert.Equal(t, r.served, r.asked)
	r.run(demand.ReportTTL+options.Hold+options.Release+decideInterval, [ranks]float64{40, 40, 40})
	assert.Equal(t, r.entries[1].keeper.Fraction(2), 0.0)
}

// Guards against room that is given back and kept again with each request.
func TestKeptRoomHasHysteresis(t *testing.T) {
	o := DefaultKeepOptions()
	k, now := NewKeeper(o), time.Unix(1000, 0)
	changes := 0
	update := func(after time.Duration, unserved float64) float64 {
		now = now.Add(after)
		before := k.Fraction(2)
		change := k.Update(now, []demand.Total{{Urgency: 0, Unserved: unserved, Started: 100 - unserved, Entries: 5}, {Urgency: 2, Started: 1}})
		if change != nil {
			changes++
			assert.Assert(t, (before > 0) == (change.Fraction == 0))
		}
		return k.Fraction(2)
	}
	assert.Equal(t, update(0, 4), 0.0)
	assert.Assert(t, update(decideInterval, 6) > 0)
	assert.Assert(t, update(decideInterval, 3) > 0)
	kept := update(o.Release, 3)
	assert.Assert(t, kept > 0)
	assert.Equal(t, update(o.Hold, 0), kept)
	assert.Assert(t, update(decideInterval, 0) < kept)
	assert.Equal(t, update(o.Release, 0), 0.0)
	assert.Equal(t, changes, 2)
}

func TestKeeperStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := DefaultKeepOptions()
		k, now := NewKeeper(o), time.Unix(1000, 0)
		for range rapid.IntRange(0, 50).Draw(t, "decisions") {
			var totals []demand.Total
			for urgency := range rapid.IntRange(0, 5).Draw(t, "urgencies") {
				work := rapid.Float64Range(0, 1e9)
				totals = append(totals, demand.Total{Urgency: urgency, Unserved: work.Draw(t, "unserved"), Started: work.Draw(t, "started"), Entries: rapid.IntRange(0, 400).Draw(t, "entries")})
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			k.Update(now, totals)
			assert.Equal(t, k.Fraction(0), 0.0)
			for urgency := range 8 {
				assert.Assert(t, k.Fraction(urgency) >= 0 && k.Fraction(urgency) <= o.Max)
			}
		}
		for range int((o.Hold+o.Release)/decideInterval) + 1 {
			now = now.Add(decideInterval)
			k.Update(now, []demand.Total{{Urgency: 0, Started: 10}})
		}
		for urgency := range 8 {
			assert.Equal(t, k.Fraction(urgency), 0.0)
		}
	})
}
