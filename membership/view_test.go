package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func at(s float64) time.Time {
	return start.Add(time.Duration(s * float64(time.Second)))
}

// fleet returns n instances of one service in three availability zones.
func fleet(n int) []Instance {
	list := make([]Instance, n)
	for i := range list {
		id := fmt.Sprintf("i%02d", i)
		list[i] = Instance{ID: id, Service: "s", Zone: fmt.Sprint("z", i%3), Address: "10.0.0." + fmt.Sprint(i)}
	}
	return list
}

func newView(n int) *View {
	v := New(DefaultOptions())
	v.ObserveList(start, fleet(n))
	return v
}

func findCandidate(v *View, now time.Time, id string) (Candidate, bool) {
	for _, c := range v.Candidates(now, "s") {
		if c.ID == id {
			return c, true
		}
	}
	return Candidate{}, false
}

func markLeaving(list []Instance, n int) []Instance {
	for i := range n {
		list[i].Leaving = true
	}
	return list
}

// A faulty list must not empty the trusted set, and a correct one must be accepted.
func TestListTrust(t *testing.T) {
	for _, test := range []struct {
		name          string
		evidence      Evidence
		evidenceCount int
		list          []Instance
		at            float64
		verdict       ListVerdict
		candidates    int
	}{
		{"empty list", 0, 0, nil, 1, ListDistrusted, 12},
		{"empty list stays distrusted", 0, 0, nil, 1000, ListDistrusted, 12},
		{"many lost at once", 0, 0, fleet(12)[4:], 1, ListDistrusted, 12},
		{"many marked leaving at once", 0, 0, markLeaving(fleet(12), 4), 1, ListDistrusted, 12},
		{"few lost", 0, 0, fleet(12)[3:], 1, ListAccepted, 9},
		{"few marked leaving", 0, 0, markLeaving(fleet(12), 3), 1, ListAccepted, 9},
		{"loss confirmed by evidence", ConnectionLost, 4, fleet(12)[4:], 1, ListAccepted, 8},
		{"loss repeated without a sign of life", 0, 0, fleet(12)[4:], 100, ListAccepted, 8},
		{"loss repeated but alive", Heartbeat, 4, fleet(12)[4:], 100, ListDistrusted, 12},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := newView(12)
			v.ObserveList(at(0.5), test.list)
			for i := range test.evidenceCount {
				v.Observe(at(test.at), fleet(12)[i].ID, test.evidence)
			}
			report := v.ObserveList(at(test.at), test.list)
			assert.Equal(t, report.Verdict, test.verdict)
			assert.Equal(t, len(v.Candidates(at(test.at), "s")), test.candidates)
		})
	}
}

// The loss of one service's instances must not block changes to another service.
func TestListTrustIsPerService(t *testing.T) {
	v := newView(6)
	report := v.ObserveList(at(1), []Instance{{ID: "o", Service: "other"}})
	assert.DeepEqual(t, report.Distrusted, []string{"s"})
	assert.Equal(t, len(v.Candidates(at(1), "other")), 1)
}

// An instance that still sends heartbeats must remain a candidate after it disappears
// from the list, but only for the grace period.
func TestAbsentInstanceWithHeartbeats(t *testing.T) {
	v := newView(6)
	for s := range 15 {
		v.Observe(at(float64(s)), "i00", Heartbeat)
		v.ObserveList(at(float64(s)), fleet(6)[1:])
		_, ok := findCandidate(v, at(float64(s)), "i00")
		assert.Equal(t, ok, s < 10, "after %d s", s)
	}
}

// An instance that reports draining must get no new work, even if it is listed and
// sends heartbeats, until it restarts.
func TestDrainingInstanceGetsNoWork(t *testing.T) {
	v := newView(6)
	v.Observe(at(1), "i00", Draining)
	v.Observe(at(2), "i00", Heartbeat)
	v.ObserveList(at(3), fleet(6))
	_, ok := findCandidate(v, at(60), "i00")
	assert.Assert(t, !ok)
	v.Observe(at(61), "i00", Restarted)
	c, ok := findCandidate(v, at(61), "i00")
	assert.Assert(t, ok && c.Weight < 0.2, "a new incarnation warms up")
}

// An overloaded backend server must not be ejected, because its load would move to the others.
func TestOverloadIsNotFailure(t *testing.T) {
	v := newView(4)
	for i, want := range []bool{false, true} {
		v.Observe(at(1), fmt.Sprintf("i%02d", i), Overloaded)
		assert.Equal(t, v.ServiceOverloaded(at(1), "s"), want)
	}
	c, ok := findCandidate(v, at(1), "i00")
	assert.Assert(t, ok && c.Overloaded && !c.Suspect)
	assert.Equal(t, c.Weight, overloadedWeight)
	c, _ = findCandidate(v, at(3), "i00")
	assert.Equal(t, c.Weight, 1.0)
}

// Losing contact with all instances, which is more likely a fault of the observer,
// must not leave it without candidates.
func TestEjectedFractionIsCapped(t *testing.T) {
	v := newView(9)
	for _, i := range fleet(9) {
		v.Observe(at(1), i.ID, HeartbeatTimeout)
	}
	candidates := v.Candidates(at(1), "s")
	assert.Equal(t, len(candidates), 5)
	assert.Assert(t, candidates[0].Suspect && candidates[0].Weight == suspectWeight)
}

// An instance that fails repeatedly must stay ejected longer each time, up to the
// limit. After a long time without failures the penalty must have decayed.
func TestFlappingIsDamped(t *testing.T) {
	v := newView(6)
	now := at(0)
	var ejectionTimes []time.Duration
	for range 8 {
		v.Observe(now, "i00", ConnectionLost)
		v.Observe(now, "i00", ConnectionRefused)
		v.Observe(now, "i00", Heartbeat)
		failed := now
		for {
			if _, ok := findCandidate(v, now, "i00"); ok {
				break
			}
			now = now.Add(100 * time.Millisecond)
		}
		ejectionTimes = append(ejectionTimes, now.Sub(failed))
	}
	assert.Equal(t, ejectionTimes[0], time.Second)
	for i := 1; i < 5; i++ {
		assert.Assert(t, ejectionTimes[i] > ejectionTimes[i-1]*3/2, "%v", ejectionTimes)
	}
	assert.Assert(t, ejectionTimes[7] <= time.Minute, "%v", ejectionTimes)
	now = now.Add(time.Hour)
	v.Observe(now, "i00", HeartbeatTimeout)
	v.Observe(now, "i00", Heartbeat)
	_, ok := findCandidate(v, now.Add(time.Second), "i00")
	assert.Assert(t, ok)
}

// Flapping must also be damped if it occurs only in the list.
func TestListFlappingIsDamped(t *testing.T) {
	v := newView(6)
	for s := 1; s <= 4; s++ {
		v.ObserveList(at(float64(2*s)), fleet(6)[1:])
		v.ObserveList(at(float64(2*s+1)), fleet(6))
	}
	_, ok := findCandidate(v, at(13), "i00")
	assert.Assert(t, !ok)
	_, ok = findCandidate(v, at(30), "i00")
	assert.Assert(t, ok)
}

// A new instance must start at a low weight, but not the instances of the first list.
func TestWarmUp(t *testing.T) {
	v := newView(6)
	v.ObserveList(at(1), fleet(7))
	c, _ := findCandidate(v, at(1), "i00")
	assert.Equal(t, c.Weight, 1.0)
	for s, want := range map[float64]float64{1: 0.1, 6: 0.55, 11: 1, 100: 1} {
		c, _ = findCandidate(v, at(s), "i06")
		assert.Assert(t, c.Weight > want-0.01 && c.Weight < want+0.01, "weight %.2f after %.0f s", c.Weight, s)
	}
}

// A subset must prefer its own availability zone, include some instances of others
// and change in one place when an instance leaves. The subsets of many processes
// must cover all instances.
func TestSubset(t *testing.T) {
	v := newView(30)
	before := v.Subset(start, "s", "entry-1", "z1", 8)
	zones := map[string]int{}
	for _, i := range before {
		zones[i.Zone]++
	}
	assert.Equal(t, zones["z1"], 6)
	v.Observe(at(1), before[0].ID, Draining)
	unchanged := 0
	after := map[string]bool{}
	for _, i := range v.Subset(at(1), "s", "entry-1", "z1", 8) {
		after[i.ID] = true
	}
	for _, i := range before {
		if after[i.ID] {
			unchanged++
		}
	}
	assert.Equal(t, len(after), 8)
	assert.Equal(t, unchanged, 7)
	watched := map[string]bool{}
	for e := range 30 {
		for _, i := range v.Subset(at(1), "s", fmt.Sprint("entry-", e), fmt.Sprint("z", e%3), 8) {
			watched[i.ID] = true
		}
	}
	assert.Equal(t, len(watched), 29)
	assert.Equal(t, len(v.Subset(start, "s", "e", "nowhere", 100)), 29)
}

// For any sequence of events, no draining instance is a candidate, the ejected fraction
// stays within its limit, and overload alone excludes no instance.
func TestViewInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		v := newView(n)
		now := start
		draining := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pass")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "list") == 0 {
				v.ObserveList(now, nil)
			}
			id := fleet(n)[rapid.IntRange(0, n-1).Draw(t, "instance")].ID
			evidence := Evidence(rapid.IntRange(int(Heartbeat), int(Restarted)).Draw(t, "evidence"))
			v.Observe(now, id, evidence)
			switch evidence {
			case Draining:
				draining[id] = true
			case Restarted:
				delete(draining, id)
			}
			candidates := v.Candidates(now, "s")
			for _, c := range candidates {
				assert.Assert(t, !draining[c.ID], "%s is draining", c.ID)
				assert.Assert(t, c.Weight > 0 && c.Weight <= 1)
			}
			notDraining := n - len(draining)
			assert.Assert(t, len(candidates) >= notDraining-notDraining/2, "%d of %d", len(candidates), notDraining)
		}
	})
}
