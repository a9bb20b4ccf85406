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

// fill admits n requests of a team.
func fill(t *testing.T, c *Controller, team string, n int) {
	t.Helper()
	for i := range n {
		d := c.Offer(start, Request{ID: fmt.Sprintf("%s-full-%d", team, i), Team: team})
		assert.Equal(t, d.Verdict, Admit)
	}
}

// A request with a lower priority, of a team above its share or with a later deadline
// must not start before one with a higher priority, of a team below its share or with
// an earlier deadline.
func TestQueueOrder(t *testing.T) {
	c := newController(1, 1)
	fill(t, c, "x", 1)
	late, early := start.Add(time.Hour), start.Add(time.Minute)
	for _, r := range []Request{
		{ID: "low", Team: "a", Priority: 1, Deadline: early},
		{ID: "a-late", Team: "a", Priority: 2, Deadline: late, Weight: 2},
		{ID: "a-soon", Team: "a", Priority: 2, Deadline: early, Weight: 2},
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

// A team with three times the weight must get three times the capacity, even if
// its requests run longer than the other team's.
func TestWeightedShareCountsServiceTime(t *testing.T) {
	c := newController(10, 1)
	type runningRequest struct {
		id     string
		endsAt time.Time
	}
	serviceTimes := map[string]time.Duration{"heavy": 300 * time.Millisecond, "light": 100 * time.Millisecond}
	capacityTime := map[string]time.Duration{}
	var running []runningRequest
	run := func(now time.Time, id string) {
		team := id[:5]
		capacityTime[team] += serviceTimes[team]
		running = append(running, runningRequest{id, now.Add(serviceTimes[team])})
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
				run(now, id)
			}
		}
		unfinished := running[:0]
		for _, e := range running {
			if e.endsAt.After(now) {
				unfinished = append(unfinished, e)
				continue
			}
			c.Done(now, e.id, Outcome{Result: Completed})
		}
		running = unfinished
		for _, d := range c.Tick(now) {
			run(now, d.ID)
		}
	}
	ratio := capacityTime["heavy"].Seconds() / capacityTime["light"].Seconds()
	assert.Assert(t, ratio > 2.7 && ratio < 3.3, "heavy team used %.2f times the light team's capacity", ratio)
}

// The only active team must not be limited to a share while capacity is free.
func TestLoneTeamUsesAllCapacity(t *testing.T) {
	c := newController(100, 1)
	fill(t, c, "large", 100)
	assert.Equal(t, c.Running(), 100.0)
}

// A flooding team's queue must not cause another team's request to be shed.
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
	assert.Assert(t, shed > 150, "only %d of 200 flooding requests were shed on arrival", shed)
	d := c.Offer(start, Request{ID: "other", Team: "quiet", Deadline: start.Add(time.Second)})
	assert.Equal(t, d.Verdict, Queue)
	c.Done(start.Add(time.Millisecond), "flood-full-0", Outcome{})
	assert.Equal(t, c.Tick(start.Add(time.Millisecond))[0].ID, "other")
}

// A team's limits must apply even if the shared capacity could serve its requests,
// and each entry must enforce only its part of them.
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

// A time-to-first-token estimate above every deadline must not shed all requests
// forever, because then nothing would correct the estimate.
func TestProbeCorrectsEstimate(t *testing.T) {
	c := newController(10, 1)
	c.ttft.value = 5
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

// For any sequence of events, each request gets one final verdict, the limit and the
// team's concurrency limit are kept, no request that could run stays queued, and no
// request stays queued past its deadline.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newController(float64(rapid.IntRange(1, 8).Draw(t, "units")), rapid.IntRange(1, 3).Draw(t, "entries"))
		now := start
		queued, running, n := map[string]Request{}, map[string]Request{}, 0
		concurrency := map[string]int{"a": rapid.IntRange(1, 3).Draw(t, "concurrency of a")}
		record := func(r Request, d Decision) {
			delete(queued, r.ID)
			switch d.Verdict {
			case Admit:
				running[r.ID] = r
			case Queue:
				queued[r.ID] = r
			case Shed:
				assert.Assert(t, d.RetryAfter > 0 && d.Reason != NoReason)
			default:
				t.Fatalf("invalid verdict on %s", r.ID)
			}
		}
		pickID := func(m map[string]Request) string {
			ids := []string{""}
			for id := range m {
				ids = append(ids, id)
			}
			// rapid needs a deterministic order.
			return rapid.SampledFrom(sortedIDs(ids)).Draw(t, "id")
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
				record(r, c.Offer(now, r))
			},
			"done": func(t *rapid.T) {
				id := pickID(running)
				first := time.Duration(rapid.IntRange(0, 800).Draw(t, "first")) * time.Millisecond
				c.Done(now, id, Outcome{Result: Result(rapid.IntRange(1, 3).Draw(t, "result")), TimeToFirstToken: first})
				delete(running, id)
			},
			"cancel": func(t *rapid.T) {
				id := pickID(queued)
				c.Cancel(now, id)
				delete(queued, id)
			},
			"load": func(t *rapid.T) {
				c.ObserveLoad(now, Load{Running: rapid.Float64Range(0, 10).Draw(t, "load")})
			},
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pass")) * time.Millisecond)
				for _, d := range c.Tick(now) {
					r, ok := queued[d.ID]
					assert.Assert(t, ok, "decision on %s, which was not queued", d.ID)
					assert.Assert(t, d.Verdict != Queue)
					if d.Verdict == Admit {
						assert.Assert(t, r.Concurrency == 0 || c.items[d.ID].team.runningRequests <= r.Concurrency)
						assert.Assert(t, c.Running() <= c.Limit()+1e-6 || len(running) == 0)
					}
					record(r, d)
				}
				assert.Equal(t, c.Queued(), len(queued))
				assert.Equal(t, len(c.items), len(queued)+len(running))
				for _, r := range queued {
					assert.Assert(t, r.Deadline.IsZero() || now.Before(r.Deadline), "%s is queued past its deadline", r.ID)
				}
				if it := c.next(); it != nil {
					assert.Assert(t, !c.fits(now, it), "%s is queued although it fits", it.request.ID)
				}
			},
		})
	})
}

// A flooding team must leave headroom for teams below their share, so that these need
// not wait for one of its requests to end, but only while there are such teams.
func TestReserveForTeamsUnderShare(t *testing.T) {
	c := newController(40, 1)
	now := start
	endTimes := map[string]time.Time{}
	offer := func(team string, id int, serviceTime time.Duration) Verdict {
		name := fmt.Sprint(team, id)
		d := c.Offer(now, Request{ID: name, Team: team, Deadline: now.Add(time.Second)})
		if d.Verdict == Admit {
			endTimes[name] = now.Add(serviceTime)
		}
		return d.Verdict
	}
	waited := 0
	for i := range 3000 {
		now = now.Add(10 * time.Millisecond)
		for id, end := range endTimes {
			if !end.After(now) {
				delete(endTimes, id)
				c.Done(now, id, Outcome{Result: Completed, TimeToFirstToken: 50 * time.Millisecond})
			}
		}
		for _, d := range c.Tick(now) {
			if d.Verdict == Admit {
				endTimes[d.ID] = now.Add(time.Second)
			}
		}
		offer("flood", i, time.Second)
		if i%10 == 0 && offer("quiet", i, time.Second) != Admit && i > 1000 {
			waited++
		}
	}
	assert.Assert(t, waited < 5, "%d of 200 requests of the quiet team waited", waited)
	assert.Assert(t, c.Running() > 28, "only %.0f of 40 in use", c.Running())
	now = now.Add(3 * time.Minute)
	for id := range endTimes {
		c.Done(now, id, Outcome{Result: Completed})
	}
	c.Tick(now)
	for i := range 100 {
		offer("alone", i, time.Hour)
	}
	assert.Assert(t, c.Running() > 39, "the only active team uses %.0f of 40", c.Running())
}

// A request must be shed well before its deadline, even if the predicted wait was short.
func TestShedWellBeforeDeadline(t *testing.T) {
	c := newController(1, 1)
	fill(t, c, "x", 1)
	c.serviceTime.value = 0.01
	deadline := start.Add(10 * time.Second)
	assert.Equal(t, c.Offer(start, Request{ID: "r", Team: "a", Deadline: deadline}).Verdict, Queue)
	assert.Equal(t, len(c.Tick(start.Add(4900*time.Millisecond))), 0)
	assert.Equal(t, c.Tick(start.Add(5001 * time.Millisecond))[0].Verdict, Shed)
}

// The target deployment has 4,600 teams and 21 requests per second at each entry.
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
