package admission

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Each failure has one next step; a call that nothing can serve in its time ends at once.
func TestNextCallStep(t *testing.T) {
	const service = 20 * time.Millisecond
	for _, c := range []struct {
		name  string
		state CallState
		want  CallStep
	}{
		{"another server", CallState{Failure: CallRefused, OtherServer: true, ServiceTime: service, TimeLeft: time.Second}, CallElsewhere},
		{"all are full", CallState{Failure: CallRefused, Wait: service, ServiceTime: service, TimeLeft: time.Second}, CallAgain},
		{"full for too long", CallState{Failure: CallRefused, Wait: time.Second, ServiceTime: service, TimeLeft: time.Second}, EndCall},
		{"lost at the only server", CallState{Failure: CallLost, ServiceTime: service, TimeLeft: time.Second}, CallAgain},
		{"error of the only server", CallState{Failure: CallErrored, ServiceTime: service, TimeLeft: time.Second}, EndCall},
	} {
		assert.Equal(t, NextCallStep(c.state), c.want, c.name)
	}
}

// burstCall is a call of the replayed burst.
type burstCall struct {
	WaitingCall
	target time.Duration
	ended  time.Time
}

const (
	burstSlots   = 18
	burstService = 30 * time.Millisecond
	urgentTarget = 200 * time.Millisecond
	otherTarget  = 150 * time.Millisecond
	callTime     = 2500 * time.Millisecond
	// A call arrives each millisecond of the burst: five thirds of what the servers end.
	burstLength = 500 * time.Millisecond
)

// replayBurst lets calls of two ranks arrive at servers that are full and returns them.
// next picks the position of the call that starts.
func replayBurst(next func(now time.Time, waiting []*burstCall) int) (calls []*burstCall) {
	var waiting []*burstCall
	var free []time.Time
	for range burstSlots {
		free = append(free, waitStart)
	}
	for now := waitStart; now.Before(waitStart.Add(callTime)); now = now.Add(time.Millisecond) {
		if now.Sub(waitStart) < burstLength {
			rank, target := len(calls)%3, otherTarget
			if rank == 0 {
				target = urgentTarget
			}
			c := &burstCall{WaitingCall{min(rank, 1), now, now.Add(target), now.Add(callTime)}, target, time.Time{}}
			calls, waiting = append(calls, c), append(waiting, c)
		}
		for s := range free {
			if len(waiting) == 0 || now.Before(free[s]) {
				continue
			}
			i := next(now, waiting)
			waiting[i].ended = now.Add(burstService)
			free[s] = waiting[i].ended
			waiting = slices.Delete(waiting, i, i+1)
		}
	}
	return calls
}

// onTime returns the share of the calls of a rank that end within their target.
func onTime(calls []*burstCall, rank int) float64 {
	all, in := 0, 0
	for _, c := range calls {
		if c.Rank == rank {
			all++
			if !c.ended.IsZero() && !c.ended.After(c.Due) {
				in++
			}
		}
	}
	return float64(in) / float64(all)
}

// A burst of more calls than the servers can take must cost the less urgent rank first:
// all urgent ones end within their target, and no more calls are late than in order of
// arrival.
func TestBurstCostsLessUrgentCallsFirst(t *testing.T) {
	q := &CallQueue{}
	q.serviceTime = burstService
	ordered := replayBurst(func(now time.Time, waiting []*burstCall) int {
		return slices.Index(waiting, slices.MinFunc(waiting, func(a, b *burstCall) int { return q.compare(now, &a.WaitingCall, &b.WaitingCall) }))
	})
	arrival := replayBurst(func(time.Time, []*burstCall) int { return 0 })
	assert.Equal(t, onTime(ordered, 0), 1.0)
	assert.Assert(t, onTime(arrival, 0) < 1)
	// Two thirds of the calls are of the less urgent rank.
	total := func(calls []*burstCall) float64 { return (onTime(calls, 0) + 2*onTime(calls, 1)) / 3 }
	assert.Assert(t, total(ordered) >= total(arrival), "%.2f, %.2f in order of arrival", total(ordered), total(arrival))
	for _, c := range ordered {
		assert.Assert(t, !c.ended.IsZero())
	}
}

// Calls must start one at a time, in order, no faster than servers end calls, and all of
// them; the pause after refusals must end.
func TestCallQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := &CallQueue{}, waitStart
		var left []*WaitingCall
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			arrived := now.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "age")) * time.Millisecond)
			c := &WaitingCall{rapid.IntRange(0, 3).Draw(t, "rank"), arrived, arrived.Add(urgentTarget), arrived.Add(callTime)}
			q.Add(c)
			left = append(left, c)
		}
		for range rapid.IntRange(0, 10).Draw(t, "refusals") {
			q.Refused(now)
		}
		assert.Assert(t, q.ExpectedWait(now, left[0], burstSlots) <= initialServiceTime<<maxRefusalDoublings+20*initialServiceTime)
		lastStart := time.Time{}
		for steps := 0; len(left) > 0; steps++ {
			assert.Assert(t, steps < 10000)
			next := now.Add(time.Hour)
			for i := 0; i < len(left); i++ {
				ok, askAt := q.Take(now, left[i], burstSlots)
				if !ok {
					next = minTime(next, askAt)
					continue
				}
				assert.Assert(t, lastStart.IsZero() || now.Sub(lastStart) >= q.spacing(burstSlots))
				lastStart, left = now, slices.Delete(left, i, i+1)
				i--
				next = minTime(next, now.Add(q.spacing(burstSlots)))
			}
			assert.Equal(t, q.Len(), len(left))
			now = next
		}
	})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
