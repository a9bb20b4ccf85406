// Package condition holds what speaks against sending work to a server: what the server
// has said of itself (it leaves, it wants a pause, it states a rate limit), and what was
// seen of it (it is lost, a connection failed, it refused a stage, it is under
// suspicion), each until its time is over. It answers the load patterns named at the
// functions.
//
// All of it is about one process of the server: a restart, and the end of its record,
// forget it in one place. The package does no I/O and reads no clock.
package condition

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/ratelimit"
)

const (
	// FirstReturnProbe is how long after its loss an engine is first asked whether it
	// works. The time doubles with each probe, up to maxReturnProbe.
	FirstReturnProbe = 500 * time.Millisecond
	maxReturnProbe   = 8 * time.Second
	// MaxReturnWait is how long a lost engine is expected to return. One that is silent
	// for longer has terminated; its replacement has a new record.
	MaxReturnWait = 6 * time.Second
	// RetryFailedAfter is how long after a failed connection a server of a non-pipeline
	// service is taken back. The membership then leaves it out for a time that grows
	// with each failure.
	RetryFailedAfter = 250 * time.Millisecond
	// AvoidDuration is how long an engine is avoided after it refused a stage: it either
	// holds other layers than its record says or has run out of memory.
	AvoidDuration = 400 * time.Millisecond
	// minRefusalPause and maxRefusalPause bound how long other engines are preferred to one
	// that refuses stages although it should have room: it is about to stop, or gives up
	// its layers. A refused stage costs a retry, so the time doubles with each one. Up to
	// refusalSpread of it is added at random, because entries that were refused together
	// would return together.
	minRefusalPause = 2 * AvoidDuration
	maxRefusalPause = 16 * AvoidDuration
	refusalSpread   = 0.25
	// leavingGrace is how long streams stay on an engine that is leaving. Most of them
	// end within it, and the engine keeps serving for longer.
	leavingGrace = 1200 * time.Millisecond
	// UnansweredSlowdown is how many times as long as usual a server is expected to take that
	// has left a request without an answer for too long. It still counts: if all servers
	// do so, the cause is elsewhere or they are overloaded.
	UnansweredSlowdown = 20.0
	// minUnansweredTime is how long that holds. The time doubles with each further request
	// that is left without an answer then, up to maxUnansweredTime.
	minUnansweredTime = 2 * time.Second
	maxUnansweredTime = 8 * time.Second
	// staleRecordWindow is how long after the loss of an engine its records may still
	// date from before it: they are written about every second and read a little later.
	staleRecordWindow = 1800 * time.Millisecond
)

// Use is what a server is to get.
type Use int

// The uses. A call goes to a server of a non-pipeline service, a stage is one of a
// stream's path.
const (
	Call Use = iota
	Stage
	Control
)

// Reason says why a server gets nothing now; it is empty if nothing speaks against it.
type Reason string

// The reasons.
const (
	None    Reason = ""
	Paused  Reason = "it has asked for a pause"
	Lost    Reason = "it does not work"
	Avoided Reason = "it has refused a stage"
)

// Book holds the conditions of all servers, by ID. It is not safe for concurrent use.
type Book struct {
	// Limits are the rate limits that servers state.
	Limits  *ratelimit.Limits
	servers map[string]*condition
}

// condition is what is held against one process of a server. Times that are zero or
// over count for nothing.
type condition struct {
	leavingSince time.Time
	// rerouteDue is set once streams are to leave a server that is leaving.
	rerouteDue  bool
	pausedUntil time.Time
	// lostSince is when it was found not to work, probeAt when it is asked again.
	lostSince, probeAt time.Time
	failedAt           time.Time
	avoidedUntil       time.Time
	// refusalPause is the pause after the last stage that it refused at refusedAt although
	// it should have room, and refusingUntil the end of that pause.
	refusalPause             time.Duration
	refusedAt, refusingUntil time.Time
	// namedAt is when a refusal named it as its cause although it should have free
	// capacity. silentAt is when this entry found that it does not respond, and
	// deadUntil how long that counts, whoever has found it.
	namedAt, silentAt, deadUntil time.Time
	// unansweredUntil is until when the server is expected to answer late or never, and
	// unansweredFor how long that was set for.
	unansweredUntil time.Time
	unansweredFor   time.Duration
	// onTrial is set while one request shows whether the server answers again.
	onTrial bool
	// answeredAt is when the server last answered a request, and workedAt when one was
	// last seen to make progress there.
	answeredAt, workedAt time.Time
}

// New returns a book that knows nothing.
func New() *Book { return &Book{Limits: ratelimit.New(), servers: map[string]*condition{}} }

// of returns the condition of a server for a change.
func (b *Book) of(id string) *condition {
	c := b.servers[id]
	if c == nil {
		c = &condition{}
		b.servers[id] = c
	}
	return c
}

// get returns the condition of a server, or an empty one.
func (b *Book) get(id string) condition {
	if c := b.servers[id]; c != nil {
		return *c
	}
	return condition{}
}

// Against returns what speaks against a use of a server now. Rate limits are asked for
// separately, because they count what is sent.
func (b *Book) Against(now time.Time, id string, use Use) Reason {
	c := b.servers[id]
	switch {
	case c == nil:
		return None
	case now.Before(c.pausedUntil):
		return Paused
	case use != Stage:
		return None
	case !c.lostSince.IsZero():
		return Lost
	case now.Before(c.avoidedUntil):
		return Avoided
	}
	return None
}

// Forget removes all that is known of a server's process: it has restarted, or its
// record is gone.
func (b *Book) Forget(id string) {
	delete(b.servers, id)
	b.Limits.Forget(id)
}

// Keep forgets the servers that are not known any more.
func (b *Book) Keep(known func(id string) bool) {
	for id := range b.servers {
		if !known(id) {
			b.Forget(id)
		}
	}
	b.Limits.Keep(known)
}

// MarkLeaving records that a server is about to stop, and reports whether that was not
// known before. Releases and scaling in bring many at once.
func (b *Book) MarkLeaving(now time.Time, id string) bool {
	c := b.of(id)
	if !c.leavingSince.IsZero() {
		return false
	}
	c.leavingSince = now
	return true
}

// IsLeaving reports whether a server is about to stop.
func (b *Book) IsLeaving(id string) bool { return !b.get(id).leavingSince.IsZero() }

// UpdateLeaving makes streams leave the servers that have been leaving for a while, and
// returns how many these are.
func (b *Book) UpdateLeaving(now time.Time) (due int) {
	for _, c := range b.servers {
		if !c.leavingSince.IsZero() && !c.rerouteDue && now.Sub(c.leavingSince) >= leavingGrace {
			c.rerouteDue = true
			due++
		}
	}
	return due
}

// MustLeave reports whether streams are to leave a server.
func (b *Book) MustLeave(id string) bool { return b.get(id).rerouteDue }

// Pause keeps everything from a server until a time, unless a longer pause is known.
func (b *Book) Pause(id string, until time.Time) {
	c := b.of(id)
	if until.After(c.pausedUntil) {
		c.pausedUntil = until
	}
}

// PausedUntil returns the end of a server's pause, or a time that is over.
func (b *Book) PausedUntil(id string) time.Time { return b.get(id).pausedUntil }

// MarkLost records that an engine does not work, and reports whether that was not known
// before.
func (b *Book) MarkLost(now time.Time, id string) bool {
	c := b.of(id)
	if !c.lostSince.IsZero() {
		return false
	}
	c.lostSince, c.probeAt = now, now.Add(FirstReturnProbe)
	return true
}

// MarkWorking records that an engine works. It reports whether it was lost.
func (b *Book) MarkWorking(id string) bool {
	c := b.servers[id]
	if c == nil || c.lostSince.IsZero() {
		return false
	}
	c.lostSince, c.probeAt = time.Time{}, time.Time{}
	return true
}

// ObserveHeartbeat records a newer record of the same process, and reports whether the
// record shows that it works: right after a loss it may be older than that.
func (b *Book) ObserveHeartbeat(now time.Time, id string) bool {
	if c := b.get(id); !c.lostSince.IsZero() && now.Sub(c.lostSince) < staleRecordWindow {
		return false
	}
	b.MarkWorking(id)
	return true
}

// IsLost reports whether an engine was found not to work.
func (b *Book) IsLost(id string) bool { return !b.get(id).lostSince.IsZero() }

// LostFor returns how long an engine has been lost, or 0.
func (b *Book) LostFor(now time.Time, id string) time.Duration {
	c := b.get(id)
	if c.lostSince.IsZero() {
		return 0
	}
	return now.Sub(c.lostSince)
}

// AnyMayReturn reports whether some lost engine may still return.
func (b *Book) AnyMayReturn(now time.Time) bool {
	for _, c := range b.servers {
		if !c.lostSince.IsZero() && now.Sub(c.lostSince) < MaxReturnWait {
			return true
		}
	}
	return false
}

// DueProbes returns the lost engines that are to be asked now whether they work, and sets
// the time of the next question. An engine that stays lost is asked ever less often.
func (b *Book) DueProbes(now time.Time) (due []string) {
	for id, c := range b.servers {
		if c.lostSince.IsZero() || now.Before(c.probeAt) {
			continue
		}
		c.probeAt = now.Add(min(max(now.Sub(c.lostSince), FirstReturnProbe), maxReturnProbe))
		due = append(due, id)
	}
	return due
}

// MarkFailed records a failed connection.
func (b *Book) MarkFailed(now time.Time, id string) { b.of(id).failedAt = now }

// TakeBack returns the servers to take back after a failed connection, each once. Nothing
// else shows that they work: their records need not change, and they get no requests.
func (b *Book) TakeBack(now time.Time) (back []string) {
	for id, c := range b.servers {
		if c.failedAt.IsZero() || now.Sub(c.failedAt) < RetryFailedAfter {
			continue
		}
		c.failedAt = time.Time{}
		if c.lostSince.IsZero() {
			back = append(back, id)
		}
	}
	return back
}

// Avoid keeps stages from an engine that refused one, for a short time.
func (b *Book) Avoid(now time.Time, id string) { b.of(id).avoidUntil(now.Add(AvoidDuration)) }

// avoidUntil keeps stages from an engine until a time, unless a later one is known.
func (c *condition) avoidUntil(until time.Time) {
	if until.After(c.avoidedUntil) {
		c.avoidedUntil = until
	}
}

// RefuseStage records that an engine refused a stage although it should have room. While
// the store is away, engines that leave are found only this way, and each entry would send
// them a stage several times a second. It reports whether a pause begins: stages that were
// under way when it was first refused count once. random is in [0, 1).
func (b *Book) RefuseStage(now time.Time, id string, random float64) (begins bool) {
	c := b.of(id)
	c.refusedAt = now
	c.avoidUntil(now.Add(AvoidDuration))
	if now.Before(c.refusingUntil) {
		return false
	}
	c.refusalPause = min(max(2*c.refusalPause, minRefusalPause), maxRefusalPause)
	c.refusingUntil = now.Add(c.refusalPause + time.Duration(refusalSpread*random*float64(c.refusalPause)))
	return true
}

// AcceptStage records that an engine runs a stage that was sent to it after its last
// refusal, which ends a sequence of refusals. An engine that is about to stop goes on with
// what it has accepted before.
func (b *Book) AcceptStage(id string, sent time.Time) {
	if sent.After(b.get(id).refusedAt) {
		b.ForgetRefusals(id)
	}
}

// ForgetRefusals ends a sequence of refusals, as when an engine holds other layers than when
// it refused stages.
func (b *Book) ForgetRefusals(id string) {
	if c := b.servers[id]; c != nil {
		c.refusalPause, c.refusingUntil = 0, time.Time{}
	}
}

// IsRefusing reports whether other engines are preferred to one that has refused stages
// to this entry although it should have room.
func (b *Book) IsRefusing(now time.Time, id string) bool { return now.Before(b.get(id).refusingUntil) }

// Refusing returns the engines to which others are preferred for that, in no order.
func (b *Book) Refusing(now time.Time) []string {
	return b.idsOf(func(c *condition) bool { return now.Before(c.refusingUntil) })
}

// idsOf returns the servers in some condition, in no order.
func (b *Book) idsOf(isIn func(*condition) bool) (ids []string) {
	for id, c := range b.servers {
		if isIn(c) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Name records that a refusal named an engine as its cause although it should have free
// capacity, and reports whether it is to be asked for its status: many refusals at once
// name the same one.
func (b *Book) Name(now time.Time, id string) bool {
	c := b.of(id)
	if !c.namedAt.IsZero() && now.Sub(c.namedAt) < AvoidDuration {
		return false
	}
	c.namedAt = now
	return true
}

// MarkSilent records that this entry has found an engine not to respond.
func (b *Book) MarkSilent(now time.Time, id string) {
	c := b.of(id)
	c.silentAt, c.deadUntil = now, now.Add(AvoidDuration)
}

// MarkSilentElsewhere records that another entry has found an engine not to respond.
func (b *Book) MarkSilentElsewhere(now time.Time, id string) {
	c := b.of(id)
	c.avoidUntil(now.Add(AvoidDuration))
	c.deadUntil = now.Add(AvoidDuration)
}

// Silent returns the engines that this entry has found not to respond a moment ago, in
// the order of their IDs.
func (b *Book) Silent(now time.Time) (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if c := b.servers[id]; !c.silentAt.IsZero() && now.Sub(c.silentAt) <= AvoidDuration {
			ids = append(ids, id)
		}
	}
	return ids
}

// RecordProgress records that a request makes progress at a server.
func (b *Book) RecordProgress(now time.Time, id string) { b.of(id).workedAt = now }

// WorkedSince reports whether a request has made progress at a server since a time. Such
// a server works, even if it does not answer status queries.
func (b *Book) WorkedSince(since time.Time, id string) bool { return b.get(id).workedAt.After(since) }

// LeaveUnanswered records that a server has left a request without an answer for too
// long, although it accepts connections and may report itself as healthy, and reports
// whether that was not known. Each new request would wait in vain as well. A server that
// has answered another request since this one was sent is merely slow with it. One that only
// goes on with requests that it has begun may still begin no new ones.
func (b *Book) LeaveUnanswered(now, sentAt time.Time, id string) bool {
	c := b.of(id)
	if now.Before(c.unansweredUntil) && !c.onTrial || c.answeredAt.After(sentAt) {
		return false
	}
	c.onTrial = false
	c.unansweredFor = min(max(2*c.unansweredFor, minUnansweredTime), maxUnansweredTime)
	c.unansweredUntil = now.Add(c.unansweredFor)
	return true
}

// RecordSent records that a request is sent to a server. The first one after the time for which a
// server was expected not to answer is a trial: until it is over, others still prefer other
// servers, because all entries would otherwise send requests at the same moment.
func (b *Book) RecordSent(now time.Time, id string) {
	c := b.servers[id]
	if c == nil || c.unansweredFor == 0 || now.Before(c.unansweredUntil) {
		return
	}
	c.onTrial, c.unansweredUntil = true, now.Add(minUnansweredTime)
}

// RecordAnswer records that a server has answered a request.
func (b *Book) RecordAnswer(now time.Time, id string) {
	c := b.of(id)
	c.unansweredUntil, c.unansweredFor, c.onTrial, c.answeredAt = time.Time{}, 0, false, now
}

// Unanswering returns the servers that leave requests without an answer.
func (b *Book) Unanswering(now time.Time) []string {
	return b.idsOf(func(c *condition) bool { return now.Before(c.unansweredUntil) })
}

// Slowdown returns UnansweredSlowdown for a server that leaves requests without an answer, or 0.
func (b *Book) Slowdown(now time.Time, id string) float64 {
	if now.Before(b.get(id).unansweredUntil) {
		return UnansweredSlowdown
	}
	return 0
}

// IsDead reports whether some entry has found an engine not to respond a moment ago.
func (b *Book) IsDead(now time.Time, id string) bool { return now.Before(b.get(id).deadUntil) }
