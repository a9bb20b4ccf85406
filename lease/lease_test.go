package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// topic is a topic that accepts an append only at its end.
type topic struct {
	claims []Claim
}

func (t *topic) read() (int64, *Claim) {
	if len(t.claims) == 0 {
		return 0, nil
	}
	return int64(len(t.claims)), &t.claims[len(t.claims)-1]
}

func (t *topic) append(c Claim, at int64) bool {
	if at != int64(len(t.claims)) {
		return false
	}
	t.claims = append(t.claims, c)
	return true
}

// Guards against two processes that may act at once, while processes pause,
// lose answers and restart at any time.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &topic{}
		options := DefaultOptions()
		machines := make([]*Elector, 3)
		for i := range machines {
			machines[i] = New(fmt.Sprint(i), options)
		}
		now := time.Unix(0, 0)
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(50, 900).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(machines)-1).Draw(t, "i")
			step(t, machines, i, log, now)
			holders := 0
			for _, m := range machines {
				if m.Holds(now) {
					holders++
				}
			}
			assert.Assert(t, holders <= 1)
		}
	})
}

func step(t *rapid.T, machines []*Elector, i int, log *topic, now time.Time) {
	m := machines[i]
	switch rapid.IntRange(0, 5).Draw(t, "do") {
	case 0:
		if !m.Holds(now) {
			machines[i] = New(fmt.Sprint(i), DefaultOptions())
		}
	case 1, 2:
		next, claim := log.read()
		m.Observe(now, next, claim)
	default:
		claim, at, due := m.DueClaim(now)
		if !due {
			return
		}
		accepted := log.append(claim, at)
		if accepted && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
			m.AppendSucceeded(now, claim, at+1)
			return
		}
		m.AppendFailed()
	}
}

// Guards against a lease that nobody takes over after its holder is lost, or
// that waits although the holder itself has come back.
func TestTakeOver(t *testing.T) {
	options := DefaultOptions()
	now := time.Unix(100, 0)
	other := New("b", options)
	other.Observe(now, 1, &Claim{Holder: "a", Term: 1})
	_, _, due := other.DueClaim(now.Add(options.LeaseDuration - time.Millisecond))
	assert.Assert(t, !due)
	claim, at, due := other.DueClaim(now.Add(options.LeaseDuration))
	assert.Assert(t, due)
	assert.Equal(t, claim, Claim{Holder: "b", Term: 2})
	assert.Equal(t, at, int64(1))

	again := New("a", options)
	again.Observe(now, 1, &Claim{Holder: "a", Term: 1})
	claim, _, due = again.DueClaim(now)
	assert.Assert(t, due)
	assert.Equal(t, claim.Term, int64(2))
	assert.Assert(t, !again.Holds(now))
}

// Guards against a lease that nobody holds for as long as its holder is known
// to be unable to renew it, and against a release in another's name.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	m := New("b", DefaultOptions())
	m.Observe(now, 1, &Claim{Holder: "a", Term: 1})
	m.ObserveRelease("c")
	_, _, due := m.DueClaim(now)
	assert.Assert(t, !due)
	m.ObserveRelease("a")
	claim, at, due := m.DueClaim(now)
	assert.Assert(t, due)
	assert.Equal(t, claim, Claim{Holder: "b", Term: 2})
	assert.Equal(t, at, int64(1))
}
