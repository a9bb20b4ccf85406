package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// topic accepts an append only at its end.
type topic struct {
	claims []Claim
	era    int64
}

// restore replaces the topic by an older copy. Its offsets are given out again.
func (t *topic) restore(length int) {
	t.claims = slices.Clone(t.claims[:max(length, 0)])
	t.era++
}

func (t *topic) read() (int64, *Claim) {
	if len(t.claims) == 0 {
		return 0, nil
	}
	return int64(len(t.claims)), &t.claims[len(t.claims)-1]
}

func (t *topic) append(c Claim, offset int64) bool {
	if offset != int64(len(t.claims)) {
		return false
	}
	t.claims = append(t.claims, c)
	return true
}

// No two processes may act as the holder at the same time, even if processes pause,
// lose replies and restart at any time, and the store comes back from older copies.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := &topic{era: firstEra}
		options := DefaultOptions()
		electors := make([]*Elector, 3)
		for i := range electors {
			electors[i] = New(fmt.Sprint(i), options)
		}
		now := time.Unix(0, 0)
		var releases []Claim
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(50, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "restore") == 20 {
				claims.restore(len(claims.claims) - rapid.IntRange(0, 6).Draw(t, "lost claims"))
			}
			i := rapid.IntRange(0, len(electors)-1).Draw(t, "i")
			releases = append(releases, randomStep(t, electors, i, claims, now)...)
			if len(releases) > 0 && rapid.Bool().Draw(t, "told") {
				// Messages may arrive late and in any order.
				r := releases[rapid.IntRange(0, len(releases)-1).Draw(t, "release")]
				electors[i].ObserveRelease(r.Holder, r.Term)
			}
			holders := 0
			for _, e := range electors {
				if e.Holds(now) {
					holders++
				}
			}
			assert.Assert(t, holders <= 1)
		}
	})
}

func randomStep(t *rapid.T, electors []*Elector, i int, claims *topic, now time.Time) (released []Claim) {
	e := electors[i]
	if !e.Holds(now) {
		if term := e.Release(); term > 0 {
			released = append(released, Claim{Holder: e.self, Term: term})
		}
	}
	switch rapid.IntRange(0, 5).Draw(t, "do") {
	case 0:
		if !e.Holds(now) {
			electors[i] = New(fmt.Sprint(i), DefaultOptions())
		}
	case 1, 2:
		e.ObserveEra(now, claims.era)
		endOffset, claim := claims.read()
		e.Observe(now, endOffset, claim)
	default:
		claim, offset, due := e.DueClaim(now)
		if !due {
			return released
		}
		appended := claims.append(claim, offset)
		if claims.era != e.Era() {
			// The claim was accepted, if at all, on top of other records.
			e.ObserveEra(now, claims.era)
			e.AppendFailed()
			return released
		}
		if appended && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
			e.AppendSucceeded(now, claim, offset+1)
			return released
		}
		e.AppendFailed()
	}
	return released
}

// A lease must be taken over after its holder fails, and at once if the holder itself
// has restarted.
func TestTakeOver(t *testing.T) {
	options := DefaultOptions()
	now := time.Unix(100, 0)
	other := New("b", options)
	other.Observe(now, 1, &Claim{Holder: "a", Term: 1})
	_, _, due := other.DueClaim(now.Add(options.LeaseDuration - time.Millisecond))
	assert.Assert(t, !due)
	claim, offset, due := other.DueClaim(now.Add(options.LeaseDuration))
	assert.Assert(t, due)
	assert.Equal(t, claim, Claim{Holder: "b", Term: 2})
	assert.Equal(t, offset, int64(1))

	restarted := New("a", options)
	restarted.Observe(now, 1, &Claim{Holder: "a", Term: 1})
	claim, _, due = restarted.DueClaim(now)
	assert.Assert(t, due)
	assert.Equal(t, claim.Term, int64(2))
	assert.Assert(t, !restarted.Holds(now))
}

// After a restore, the holder claims the lease again at once, and others wait until
// it must have stopped: the copy may name an earlier holder, or none.
func TestClaimAfterRestore(t *testing.T) {
	options := DefaultOptions()
	now := time.Unix(100, 0)
	holder, former := New("a", options), New("b", options)
	holder.ObserveEra(now, firstEra)
	holder.Observe(now, 1, &Claim{Holder: "b", Term: 6, Era: firstEra})
	holder.ObserveRelease("b", 6)
	claim, _, due := holder.DueClaim(now)
	assert.Assert(t, due)
	holder.AppendSucceeded(now, claim, 2)
	assert.Assert(t, holder.Holds(now))

	holder.ObserveEra(now, firstEra+1)
	assert.Assert(t, !holder.Holds(now))
	for _, e := range []*Elector{holder, former} {
		e.ObserveEra(now, firstEra+1)
		e.Observe(now, 1, &Claim{Holder: "b", Term: 6, Era: firstEra})
	}
	_, _, due = former.DueClaim(now)
	assert.Assert(t, !due)
	claim, _, due = holder.DueClaim(now)
	assert.Assert(t, due)
	assert.Equal(t, claim, Claim{Holder: "a", Term: termsPerEra + 2, Era: firstEra + 1})
	_, _, due = former.DueClaim(now.Add(options.LeaseDuration))
	assert.Assert(t, due)
}

// A lease must be taken over at once if its holder reports that it has released its
// term. A release by a process that is not the holder, or of an earlier term, must
// be ignored: a message may be older than the claim.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	e := New("b", DefaultOptions())
	e.Observe(now, 1, &Claim{Holder: "a", Term: 2})
	for _, r := range []Claim{{Holder: "c", Term: 2}, {Holder: "a", Term: 1}, {Holder: "a", Term: 0}} {
		e.ObserveRelease(r.Holder, r.Term)
		_, _, due := e.DueClaim(now)
		assert.Assert(t, !due, "%+v", r)
	}
	e.ObserveRelease("a", 2)
	claim, offset, due := e.DueClaim(now)
	assert.Assert(t, due)
	assert.Equal(t, claim, Claim{Holder: "b", Term: 3})
	assert.Equal(t, offset, int64(1))
}

// A holder that could not renew in time must not go on with the term that it has
// told the others to have released.
func TestReleasedTermIsNotRenewed(t *testing.T) {
	options := DefaultOptions()
	now := time.Unix(100, 0)
	e := New("a", options)
	e.Observe(now, 0, nil)
	claim, _, due := e.DueClaim(now)
	assert.Assert(t, due)
	e.AppendSucceeded(now, claim, 1)
	assert.Assert(t, e.Holds(now))
	now = now.Add(options.RenewDeadline)
	assert.Assert(t, !e.Holds(now))
	assert.Equal(t, e.Release(), int64(1))
	assert.Equal(t, e.Release(), int64(0))
	claim, _, due = e.DueClaim(now)
	assert.Assert(t, due)
	assert.Equal(t, claim.Term, int64(2))
}
