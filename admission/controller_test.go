package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func newController(units float64, entries int) *Controller {
	options := DefaultOptions()
	options.TargetUtilization = 1
	c := New(options, rand.New(rand.NewPCG(1, 2)))
	c.SetCapacity(start, Capacity{Units: units, Entries: entries})
	return c
}

// fill admits n requests of a team that hold all capacity.
func fill(t *testing.T, c *Controller, team string, n int) {
	t.Helper()
	for i := range n {
		d := c.Offer(start, Request{ID: fmt.Sprintf("%s-full-%d", team, i), Team: team})
		assert.Equal(t, d.Verdict, Admit)
	}
}

// A lower priority, a heavier team or a later deadline must not pass before a
// higher priority, a team below its share or an earlier deadline.
func TestOrder(t *testing.T) {
	c := newController(1, 1)
	fill(t, c, "x", 1)
	late, soon := start.Add(time.Hour), start.Add(time.Minute)
	for _, r := range []Request{
		{ID: "low", Team: "a", Priority: 1, Deadline: soon},
		{ID: "a-late", Team: "a", Priority: 2, Deadline: late, Weight: 2},
		{ID: "a-soon", Team: "a", Priority: 2, Deadline: soon, Weight: 2},
		{ID: "a-none", Team: "a", Priority: 2, Weight: 2},
		{ID: "b-late", Team: "b", Priority: 2, Deadline: late, Weight: 1},
	} {
		assert.Equal(t, c.Offer(start, r).Verdict, Queue, r.ID)
	}
	var order []string
	running := "x-full-0"
	for now := start.Add(time.Second); c.Queued() > 0; now = now.Add(time.Second) {
		c.Done(now, running, Outcome{Result: Completed})
		decisions := c.Tick(now)
		assert.Equal(t, len(decisions), 1)
		running = decisions[0].ID
		order = append(order, running)
	}
	assert.DeepEqual(t, order, []string{"a-soon", "b-late", "a-late", "a-none", "low"})
}

// A team with three times the weight must get three times the capacity, also when
// its requests hold capacity for longer than the other team's.
func TestWeightedShareOfHeldCapacity(t *testing.T) {
	c := newController(10, 1)
	type end struct {
		id string
		at time.Time
	}
	holds := map[string]time.Duration{"heavy": 300 * time.Millisecond, "light": 100 * time.Millisecond}
	used := map[string]time.Duration{}
	var running []end
	begin := func(now time.Time, id string) {
		team := id[:5]
		used[team] += holds[team]
		running = append(running, end{id, now.Add(holds[team])})
	}
	n := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		for team, weight := range map[string]float64{"heavy": 3, "light": 1} {
			if f := c.class(0).flows[team]; f != nil && len(f.queue) > 20 {
				continue
			}
			n++
			id := fmt.Sprintf("%s-%d", team, n)
			if c.Offer(now, Request{ID: id, Team: team, Weight: weight}).Verdict == Admit {
				begin(now, id)
			}
		}
		kept := running[:0]
		for _, e := range running {
			if e.at.After(now) {
				kept = append(kept, e)
				continue
			}
			c.Done(now, e.id, Outcome{Result: Completed})
		}
		running = kept
		for _, d := range c.Tick(now) {
			begin(now, d.ID)
		}
	}
	ratio := used["heavy"].Seconds() / used["light"].Seconds()
	assert.Assert(t, ratio > 2.7 && ratio < 3.3, "heavy team held %.2f times the light team's capacity", ratio)
}

// A team that is alone must not be kept to a share while capacity is free.
func TestLargeTeamAloneUsesEverything(t *testing.T) {
	c := newController(100, 1)
	fill(t, c, "large", 100)
	assert.Equal(t, c.Running(), 100.0)
}

// A flooding team's queue must not count against another team's request.
func TestFloodDoesNotShedOtherTeam(t *testing.T) {
	c := newController(10, 1)
	fill(t, c, "flood", 10)
	shed := 0
	for i := range 200 {
		d := c.Offer(start, Request{ID: fmt.Sprint("f", i), Team: "flood", Deadline: start.Add(2 * time.Second)})
		if d.Verdict == Shed {
			shed++
			assert.Equal(t, d.Reason, Overloaded)
			assert.Assert(t, d.RetryAfter >= time.Second)
		}
	}
	assert.Assert(t, shed > 150, "only %d of the flood were shed on arrival", shed)
	d := c.Offer(start, Request{ID: "other", Team: "quiet", Deadline: start.Add(time.Second)})
	assert.Equal(t, d.Verdict, Queue)
	c.Done(start.Add(time.Millisecond), "flood-full-0", Outcome{})
	assert.Equal(t, c.Tick(start.Add(time.Millisecond))[0].ID, "other")
}

// Limits by team must hold for a team that the shared capacity would serve, and
// each entry must enforce only its part.
func TestTeamLimits(t *testing.T) {
	c := newController(1000, 2)
	verdicts := map[Verdict]int{}
	for i := range 20 {
		d := c.Offer(start, Request{ID: fmt.Sprint("r", i), Team: "rate", RatePerSecond: 10})
		verdicts[d.Verdict]++
		if d.Verdict == Shed {
			assert.Equal(t, d.Reason, RateLimited)
		}
	}
	assert.DeepEqual(t, verdicts, map[Verdict]int{Admit: 5, Shed: 15})
	for i, want := range []Verdict{Admit, Admit, Shed} {
		r := Request{ID: fmt.Sprint("c", i), Team: "slots", Concurrency: 4, Deadline: start.Add(200 * time.Millisecond)}
		d := c.Offer(start, r)
		assert.Equal(t, d.Verdict, want)
		if want == Shed {
			assert.Equal(t, d.Reason, ConcurrencyLimited)
		}
	}
}

// A first-token estimate above every deadline must not shed all requests for ever,
// because then nothing would correct the estimate.
func TestProbeCorrectsEstimate(t *testing.T) {
	c := newController(10, 1)
	c.first.value = 5
	now := start
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		id := fmt.Sprint(i)
		if c.Offer(now, Request{ID: id, Team: "a", Deadline: now.Add(500 * time.Millisecond)}).Verdict == Admit {
			c.Done(now, id, Outcome{Result: Completed, TimeToFirstToken: 50 * time.Millisecond})
		}
	}
	d := c.Offer(now, Request{ID: "last", Team: "a", Deadline: now.Add(500 * time.Millisecond)})
	assert.Equal(t, d.Verdict, Admit)
}

// Over any sequence of events: each request gets one final verdict, the limit
// and the team's concurrency hold, nothing waits that could run, and nothing waits
// for an answer that is already certain.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newController(float64(rapid.IntRange(1, 8).Draw(t, "units")), rapid.IntRange(1, 3).Draw(t, "entries"))
		now := start
		waiting, running, n := map[string]Request{}, map[string]Request{}, 0
		concurrency := map[string]int{"a": rapid.IntRange(1, 3).Draw(t, "concurrency of a")}
		take := func(r Request, d Decision) {
			delete(waiting, r.ID)
			switch d.Verdict {
			case Admit:
				running[r.ID] = r
			case Queue:
				waiting[r.ID] = r
			case Shed:
				assert.Assert(t, d.RetryAfter > 0 && d.Reason != NoReason)
			default:
				t.Fatalf("no verdict on %s", r.ID)
			}
		}
		any := func(m map[string]Request) string {
			ids := []string{""}
			for id := range m {
				ids = append(ids, id)
			}
			// rapid needs an order that does not depend on the map.
			return rapid.SampledFrom(sorted(ids)).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				n++
				r := Request{
					ID:       fmt.Sprint(n),
					Team:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Weight:   rapid.Float64Range(0, 4).Draw(t, "weight"),
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Cost:     float64(rapid.IntRange(0, 16).Draw(t, "cost")) / 4,
				}
				r.Concurrency = concurrency[r.Team]
				if ms := rapid.IntRange(0, 3000).Draw(t, "deadline"); ms > 0 {
					r.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
				}
				take(r, c.Offer(now, r))
			},
			"done": func(t *rapid.T) {
				id := any(running)
				first := time.Duration(rapid.IntRange(0, 800).Draw(t, "first")) * time.Millisecond
				c.Done(now, id, Outcome{Result: Result(rapid.IntRange(1, 3).Draw(t, "result")), TimeToFirstToken: first})
				delete(running, id)
			},
			"cancel": func(t *rapid.T) {
				id := any(waiting)
				c.Cancel(now, id)
				delete(waiting, id)
			},
			"load": func(t *rapid.T) {
				c.ObserveLoad(now, Load{Running: rapid.Float64Range(0, 10).Draw(t, "load")})
			},
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pass")) * time.Millisecond)
				for _, d := range c.Tick(now) {
					r, ok := waiting[d.ID]
					assert.Assert(t, ok, "decision on %s, which was not waiting", d.ID)
					assert.Assert(t, d.Verdict != Queue)
					if d.Verdict == Admit {
						assert.Assert(t, r.Concurrency == 0 || c.items[d.ID].team.running <= r.Concurrency)
						assert.Assert(t, c.Running() <= c.Limit()+1e-6 || len(running) == 0)
					}
					take(r, d)
				}
				assert.Equal(t, c.Queued(), len(waiting))
				assert.Equal(t, len(c.items), len(waiting)+len(running))
				for _, r := range waiting {
					assert.Assert(t, r.Deadline.IsZero() || now.Before(r.Deadline), "%s waits past its deadline", r.ID)
				}
				if it := c.next(); it != nil {
					assert.Assert(t, !c.fits(now, it), "%s waits although it fits", it.request.ID)
				}
			},
		})
	})
}

// A flooding team must leave room for teams below their share, so that they need
// not wait for one of its requests to end, and only while there are such teams.
func TestReserveForModestTeams(t *testing.T) {
	c := newController(40, 1)
	now := start
	running := map[string]time.Time{}
	serve := func(team string, id int, hold time.Duration) Verdict {
		name := fmt.Sprint(team, id)
		d := c.Offer(now, Request{ID: name, Team: team, Deadline: now.Add(time.Second)})
		if d.Verdict == Admit {
			running[name] = now.Add(hold)
		}
		return d.Verdict
	}
	waited := 0
	for i := range 3000 {
		now = now.Add(10 * time.Millisecond)
		for id, end := range running {
			if !end.After(now) {
				delete(running, id)
				c.Done(now, id, Outcome{Result: Completed, TimeToFirstToken: 50 * time.Millisecond})
			}
		}
		for _, d := range c.Tick(now) {
			if d.Verdict == Admit {
				running[d.ID] = now.Add(time.Second)
			}
		}
		serve("flood", i, time.Second)
		if i%10 == 0 && serve("quiet", i, time.Second) != Admit && i > 1000 {
			waited++
		}
	}
	assert.Assert(t, waited < 5, "%d of 200 requests of the quiet team waited", waited)
	assert.Assert(t, c.Running() > 28, "only %.0f of 40 in use", c.Running())
	now = now.Add(3 * time.Minute)
	for id := range running {
		c.Done(now, id, Outcome{Result: Completed})
	}
	c.Tick(now)
	for i := range 100 {
		serve("alone", i, time.Hour)
	}
	assert.Assert(t, c.Running() > 39, "a team alone uses %.0f of 40", c.Running())
}

// No answer may be held back until near the deadline, whatever the controller hoped for.
func TestRefusalComesInTime(t *testing.T) {
	c := newController(1, 1)
	fill(t, c, "x", 1)
	c.hold.value = 0.01
	deadline := start.Add(10 * time.Second)
	assert.Equal(t, c.Offer(start, Request{ID: "r", Team: "a", Deadline: deadline}).Verdict, Queue)
	assert.Equal(t, len(c.Tick(start.Add(4900*time.Millisecond))), 0)
	assert.Equal(t, c.Tick(start.Add(5001 * time.Millisecond))[0].Verdict, Shed)
}

// The target size has 4,600 teams and 21 requests a second at each entry.
func BenchmarkOfferDone(b *testing.B) {
	for _, teams := range []int{46, 460, 4600} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			c := newController(200, 1)
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprint("team-", i)
			}
			for i := range b.N {
				now := start.Add(time.Duration(i) * time.Second / 21)
				id := names[i%teams]
				if c.Offer(now, Request{ID: id, Team: id, Deadline: now.Add(time.Second)}).Verdict == Admit {
					c.Done(now, id, Outcome{Result: Completed})
				}
				c.Tick(now)
			}
		})
	}
}
