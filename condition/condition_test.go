package condition

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// plainServer is a model of one server: plain values, each with the time of its last event.
type plainServer struct {
	leaving, lost                             bool
	leavingSince, lostSince                   time.Time
	paused, avoided, dead, silent, failed     time.Time
	failedKnown, silentKnown, rerouted, named bool
	namedAt                                   time.Time
	refusalPause                              time.Duration
	refusedAt, refusing                       time.Time
}

func (m *plainServer) avoid(until time.Time) {
	if until.After(m.avoided) {
		m.avoided = until
	}
}

// Guards against a condition that outlives its time or its process, that hides another
// one, or that is forgotten too early: random events against a plain model.
func TestBookAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(), epoch
		model := map[string]*plainServer{}
		for i := range 3 {
			model[fmt.Sprint("s", i)] = &plainServer{}
		}
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "server"))
			m := model[id]
			switch rapid.IntRange(0, 15).Draw(t, "event") {
			case 0:
				assert.Equal(t, b.MarkLeaving(now, id), !m.leaving)
				if !m.leaving {
					m.leaving, m.leavingSince = true, now
				}
			case 1:
				until := now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
				b.Pause(id, until)
				if until.After(m.paused) {
					m.paused = until
				}
			case 2:
				assert.Equal(t, b.MarkLost(now, id), !m.lost)
				if !m.lost {
					m.lost, m.lostSince = true, now
				}
			case 3:
				assert.Equal(t, b.MarkWorking(id), m.lost)
				m.lost = false
			case 4:
				believed := !m.lost || now.Sub(m.lostSince) >= staleRecordWindow
				assert.Equal(t, b.ObserveHeartbeat(now, id), believed)
				m.lost = m.lost && !believed
			case 5:
				b.MarkFailed(now, id)
				m.failed, m.failedKnown = now, true
			case 6:
				b.Avoid(now, id)
				m.avoid(now.Add(AvoidDuration))
			case 7:
				ask := !m.named || now.Sub(m.namedAt) >= AvoidDuration
				assert.Equal(t, b.Name(now, id), ask)
				if ask {
					m.named, m.namedAt = true, now
				}
			case 8:
				b.MarkSilent(now, id)
				m.silent, m.silentKnown, m.dead = now, true, now.Add(AvoidDuration)
			case 9:
				b.MarkSilentElsewhere(now, id)
				m.avoid(now.Add(AvoidDuration))
				m.dead = now.Add(AvoidDuration)
			case 10:
				b.Forget(id)
				model[id] = &plainServer{}
			case 11:
				due := 0
				for _, m := range model {
					if m.leaving && !m.rerouted && now.Sub(m.leavingSince) >= leavingGrace {
						m.rerouted = true
						due++
					}
				}
				assert.Equal(t, b.UpdateLeaving(now), due)
			case 13:
				begins := !now.Before(m.refusing)
				m.refusedAt = now
				m.avoid(now.Add(AvoidDuration))
				if begins {
					m.refusalPause = min(max(2*m.refusalPause, minRefusalPause), maxRefusalPause)
					m.refusing = now.Add(m.refusalPause + m.refusalPause/8)
				}
				assert.Equal(t, b.RefuseStage(now, id, 0.5), begins)
			case 14:
				sent := now.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "sent")) * time.Millisecond)
				b.AcceptStage(id, sent)
				if sent.After(m.refusedAt) {
					m.refusalPause, m.refusing = 0, time.Time{}
				}
			case 15:
				b.ForgetRefusals(id)
				m.refusalPause, m.refusing = 0, time.Time{}
			case 12:
				back := 0
				for _, m := range model {
					if m.failedKnown && now.Sub(m.failed) >= RetryFailedAfter {
						m.failedKnown = false
						if !m.lost {
							back++
						}
					}
				}
				assert.Equal(t, len(b.TakeBack(now)), back)
			}
			silent, refusing := 0, 0
			for id, m := range model {
				want := None
				switch {
				case now.Before(m.paused):
					want = Paused
				case m.lost:
					want = Lost
				case now.Before(m.avoided):
					want = Avoided
				}
				assert.Equal(t, b.Against(now, id, Stage), want)
				if want != Paused {
					want = None
				}
				assert.Equal(t, b.Against(now, id, Call), want)
				assert.Equal(t, b.Against(now, id, Control), want)
				assert.Equal(t, b.IsLeaving(id), m.leaving)
				assert.Equal(t, b.MustLeave(id), m.rerouted)
				assert.Equal(t, b.IsLost(id), m.lost)
				assert.Equal(t, b.IsDead(now, id), now.Before(m.dead))
				if m.silentKnown && now.Sub(m.silent) <= AvoidDuration {
					silent++
				}
				assert.Equal(t, b.IsRefusing(now, id), now.Before(m.refusing))
				if now.Before(m.refusing) {
					refusing++
				}
			}
			assert.Equal(t, len(b.Refusing(now)), refusing)
			assert.Equal(t, len(b.Silent(now)), silent)
		}
	})
}

// Guards against conditions and limits of servers that are gone, which would grow without
// bound.
func TestKeepForgetsServersThatAreGone(t *testing.T) {
	b := New()
	for i := range 100 {
		id := fmt.Sprint("s", i)
		b.MarkFailed(epoch, id)
		b.Avoid(epoch, id)
		b.Limits.ObserveAnswer(epoch, id, 1, epoch, 3)
	}
	b.Keep(func(id string) bool { return id == "s7" })
	assert.Equal(t, len(b.servers), 1)
	assert.Equal(t, b.Limits.Servers(), 1)
	assert.Equal(t, b.Against(epoch, "s7", Stage), Avoided)
}

// A server that leaves requests unanswered must get few of them, ever fewer, and all
// again once it has answered one.
func TestUnansweredRequests(t *testing.T) {
	b, now := New(), time.Unix(100, 0)
	assert.Equal(t, b.Slowdown(now, "x"), 0.0)
	for _, held := range []time.Duration{minUnansweredTime, 2 * minUnansweredTime, maxUnansweredTime, maxUnansweredTime} {
		assert.Assert(t, b.LeaveUnanswered(now, now, "x"))
		assert.Assert(t, !b.LeaveUnanswered(now.Add(held-1), now, "x"))
		assert.Equal(t, b.Slowdown(now.Add(held-1), "x"), UnansweredSlowdown)
		now = now.Add(held)
		assert.Equal(t, b.Slowdown(now, "x"), 0.0)
	}
	// One request tries the server again.
	b.RecordSent(now, "x")
	assert.Equal(t, b.Slowdown(now, "x"), UnansweredSlowdown)
	assert.Assert(t, b.LeaveUnanswered(now.Add(1), now, "x"))
	assert.Equal(t, b.Slowdown(now.Add(maxUnansweredTime), "x"), UnansweredSlowdown)
	b.RecordAnswer(now, "x")
	b.RecordSent(now, "x")
	assert.Equal(t, b.Slowdown(now, "x"), 0.0)
	b.LeaveUnanswered(now, now, "x")
	assert.Equal(t, b.Slowdown(now.Add(minUnansweredTime), "x"), 0.0)
	// It serves others: one slow request says nothing.
	b.RecordAnswer(now.Add(minUnansweredTime), "x")
	assert.Assert(t, !b.LeaveUnanswered(now.Add(2*minUnansweredTime), now, "x"))
	b.RecordProgress(now.Add(minUnansweredTime), "y")
	assert.Assert(t, b.WorkedSince(now, "y"))
	assert.Assert(t, b.LeaveUnanswered(now.Add(2*minUnansweredTime), now, "y"))
	assert.DeepEqual(t, b.Unanswering(now.Add(2*minUnansweredTime)), []string{"y"})
}
