package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// giftFleet is a number of entries that exchange wants and gifts.
type giftFleet struct {
	all   []*Limits
	wants map[uint64][]uint64
	sent  []time.Duration
}

func newGiftFleet(entries int, rate float64) *giftFleet {
	f := &giftFleet{wants: map[uint64][]uint64{}}
	for n := range entries {
		l := New()
		l.SetShare(epoch, Share{n, entries})
		l.ObserveAnswer(epoch, "s", 1, epoch, rate)
		f.all = append(f.all, l)
	}
	return f
}

// exchange delivers the messages of all entries that pass, each one several times.
func (f *giftFleet) exchange(now time.Time, copies int, passes func(from, to int) bool) {
	for from, l := range f.all {
		gifts := l.Give(now, f.wants)
		for to, other := range f.all {
			for range copies {
				if from != to && passes(from, to) {
					other.Accept(now, uint64(from), uint64(to), gifts)
				}
			}
		}
		f.wants[uint64(from)] = l.Wants(now)
	}
}

// work lets an entry send a request if it has a slot.
func (f *giftFleet) work(elapsed time.Duration, n int) {
	now := epoch.Add(elapsed)
	if _, ok := f.all[n].Take(now, "s", 0); ok {
		f.sent = append(f.sent, elapsed)
		return
	}
	f.all[n].Want(now, "s")
}

func (f *giftFleet) check(t assert.TestingT, rate float64) {
	allowed := int(factor*rate*window.Seconds()) + extra
	first := 0
	for i, at := range f.sent {
		for at-f.sent[first] >= window {
			first++
		}
		assert.Assert(t, i-first+1 <= allowed, "%d sent in a window, %d allowed", i-first+1, allowed)
	}
}

// Guards against a server that is kept far below its limit because the entries without
// work hold most of it, and against an entry whose clients need that server alone.
func TestUnusedSlotsGoToEntriesWithWork(t *testing.T) {
	const rate, seconds = 2.0, 60
	for _, entries := range []int{4, 30} {
		f := newGiftFleet(entries, rate)
		const step = 50 * time.Millisecond
		for i := range int(seconds * time.Second / step) {
			elapsed := time.Duration(i) * step
			f.work(elapsed, 0)
			if i%6 == 0 { // a message each 300 ms
				f.exchange(epoch.Add(elapsed), 1, func(int, int) bool { return true })
			}
		}
		f.check(t, rate)
		assert.Assert(t, float64(len(f.sent)) >= 0.9*rate*seconds, "%d entries: %d sent", entries, len(f.sent))
	}
}

// Guards against slots that are used twice because messages come late, twice or not at
// all, or because an entry restarts.
func TestGiftsNeverAddSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(2, 30).Draw(t, "entries")
		rate := rapid.Float64Range(0.2, 20).Draw(t, "rate")
		f := newGiftFleet(entries, rate)
		loss := rapid.IntRange(0, 9).Draw(t, "loss")
		cut := rapid.IntRange(0, entries).Draw(t, "cut")
		const step = 50 * time.Millisecond
		for i := range 300 {
			elapsed := time.Duration(i) * step
			if i%40 == 0 {
				cut = rapid.IntRange(0, entries).Draw(t, "cut")
			}
			busy := rapid.IntRange(0, entries).Draw(t, "busy")
			for n := range busy {
				f.work(elapsed, n)
			}
			if i%rapid.IntRange(1, 6).Draw(t, "interval") == 0 {
				f.exchange(epoch.Add(elapsed), 1+i%2, func(from, to int) bool {
					return (from < cut) == (to < cut) && (from*7+to*3+i)%10 >= loss
				})
			}
		}
		f.check(t, rate)
	})
}

// Guards against a gift that counts twice because so many entries have restarted since
// that its giver was forgotten.
func TestGiftCountsOnceAmongManyGivers(t *testing.T) {
	l := New()
	l.ObserveAnswer(epoch, "s", 1, epoch, 1)
	for l.Wait(epoch, "s") == 0 {
		l.Charge(epoch, "s")
	}
	gift := []Gift{{To: 1, Process: 1, Number: 1, Left: time.Second}}
	now := epoch
	for giver := range uint64(maxGivers + 2) {
		l.Accept(now, giver, 1, gift)
		now = now.Add(100 * time.Microsecond)
	}
	for {
		if _, ok := l.Take(now, "s", 0); !ok {
			break
		}
	}
	for giver := range uint64(maxGivers + 2) {
		l.Accept(now, giver, 1, gift)
	}
	_, ok := l.Take(now, "s", 0)
	assert.Assert(t, !ok, "a gift counted twice")
	now = now.Add(maxValidity + time.Second)
	l.Accept(now, maxGivers+2, 1, gift)
	assert.Equal(t, l.Wait(now, "s"), time.Duration(0), "no gift is accepted any more")
}
