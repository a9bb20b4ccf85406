package entry

import (
	"time"

	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// probeDelayFactor times the average time between tokens is how long an
	// attempt may make no progress before its stages are probed.
	probeDelayFactor = 4
	// minProbeDelay and maxProbeDelay bound that time. A probe costs one small
	// frame per stage, so an early one is cheap.
	minProbeDelay = 100 * time.Millisecond
	maxProbeDelay = 400 * time.Millisecond
	// The timeout of a probe is probeTimeoutRTTs round-trip times of the
	// connection, but at least minProbeTimeout.
	minProbeTimeout  = 200 * time.Millisecond
	probeTimeoutRTTs = 8
	// maxIdleRounds is the number of consecutive idle rounds of probes after which
	// an attempt counts as stalled.
	maxIdleRounds = 2
	tokenGapGain  = 0.125
)

// stallDetector detects that an attempt has stalled and which stage caused it. Its
// inputs are tokens, probe replies and the time; it performs no I/O.
type stallDetector struct {
	// tokenGap is the smoothed time between tokens in seconds; 0 until it is known.
	tokenGap float64
	// idleSince is when the attempt last made progress, or the start of the
	// current probe delay.
	idleSince time.Time
	lastToken time.Time

	round           uint64
	probedAt        time.Time
	replies         []probeReply
	previousReplies []probeReply
	idleRounds      int
}

// probeReply is a stage's reply in the current round of probes.
type probeReply struct {
	replied   bool
	known     bool
	busy      bool
	nextIndex uint32
}

// stallAction tells the caller of tick what to do.
type stallAction struct {
	// probe is set if every stage must be probed, with the round as sequence.
	probe bool
	// lost holds the indexes of stages that are lost.
	lost []int
	// unanswered is set if the stages are lost because they did not answer a probe.
	unanswered bool
}

func newStallDetector(stages int, at time.Time) *stallDetector {
	return &stallDetector{idleSince: at, replies: make([]probeReply, stages)}
}

// observeToken records the arrival of a token.
func (d *stallDetector) observeToken(at time.Time) {
	if !d.lastToken.IsZero() {
		gap := at.Sub(d.lastToken).Seconds()
		if d.tokenGap == 0 {
			d.tokenGap = gap
		}
		d.tokenGap += tokenGapGain * (gap - d.tokenGap)
	}
	d.lastToken = at
	d.restart(at)
}

// restart starts a new probe delay after a token, or after a timeout of stages
// that the attempt still waits for.
func (d *stallDetector) restart(at time.Time) {
	d.idleSince = at
	d.probedAt = time.Time{}
	d.previousReplies = nil
	d.idleRounds = 0
}

func (d *stallDetector) probeDelay() time.Duration {
	averageGap := time.Duration(d.tokenGap * float64(time.Second))
	return min(max(minProbeDelay, probeDelayFactor*averageGap), maxProbeDelay)
}

// observeReply records a stage's probe reply; one from an earlier round is ignored.
func (d *stallDetector) observeReply(position int, p *wire.Progress) {
	if p.Sequence != d.round || position < 0 || position >= len(d.replies) {
		return
	}
	d.replies[position] = probeReply{replied: true, known: p.Known, busy: p.Busy, nextIndex: p.NextIndex}
}

// tick returns what to do at a time and when to call tick next. probeTimeouts holds
// the timeout of each stage's reply; 0 means that the stage cannot be probed now.
func (d *stallDetector) tick(at time.Time, probeTimeouts []time.Duration) (stallAction, time.Time) {
	if d.probedAt.IsZero() {
		if due := d.idleSince.Add(d.probeDelay()); at.Before(due) {
			return stallAction{}, due
		}
		return d.startRound(at, probeTimeouts)
	}
	if lost := d.withoutAttempt(); len(lost) > 0 {
		return stallAction{lost: lost}, at
	}
	if !d.allReplied() {
		return d.checkTimeouts(at, probeTimeouts)
	}
	return d.evaluateRound(at)
}

func (d *stallDetector) startRound(at time.Time, probeTimeouts []time.Duration) (stallAction, time.Time) {
	d.round++
	d.probedAt = at
	for i := range d.replies {
		d.replies[i] = probeReply{replied: probeTimeouts[i] == 0, known: true, busy: probeTimeouts[i] == 0}
	}
	return stallAction{probe: true}, at.Add(minProbeTimeout / 4)
}

func (d *stallDetector) allReplied() bool {
	for _, reply := range d.replies {
		if !reply.replied {
			return false
		}
	}
	return true
}

// generatesUndelivered reports whether the chain generates tokens that do not
// arrive: a stage that has finished the step after the next token proves that this
// token exists.
func (d *stallDetector) generatesUndelivered(received uint32) bool {
	for _, reply := range d.replies {
		if reply.replied && reply.nextIndex > received+1 {
			return true
		}
	}
	return false
}

// overdue returns the stages that have not replied within half of minProbeTimeout.
func (d *stallDetector) overdue(at time.Time) []int {
	var positions []int
	for i, reply := range d.replies {
		if !d.probedAt.IsZero() && !reply.replied && at.Sub(d.probedAt) >= minProbeTimeout/2 {
			positions = append(positions, i)
		}
	}
	return positions
}

// withoutAttempt returns the stages that no longer know the attempt.
func (d *stallDetector) withoutAttempt() []int {
	var lost []int
	for i, reply := range d.replies {
		if reply.replied && !reply.known {
			lost = append(lost, i)
		}
	}
	return lost
}

func (d *stallDetector) checkTimeouts(at time.Time, probeTimeouts []time.Duration) (stallAction, time.Time) {
	var lost []int
	next := at.Add(maxProbeDelay)
	for i, reply := range d.replies {
		if reply.replied || probeTimeouts[i] == 0 {
			continue
		}
		due := d.probedAt.Add(probeTimeouts[i])
		if !at.Before(due) {
			lost = append(lost, i)
		} else if due.Before(next) {
			next = due
		}
	}
	return stallAction{lost: lost, unanswered: true}, next
}

// evaluateRound evaluates a round that all stages have answered. A round is idle if
// no stage works on the attempt and none has advanced since the previous round.
func (d *stallDetector) evaluateRound(at time.Time) (stallAction, time.Time) {
	progressed := d.previousReplies == nil
	for i, reply := range d.replies {
		progressed = progressed || reply.busy || reply.nextIndex != d.previousReplies[i].nextIndex
	}
	d.idleRounds++
	if progressed {
		d.idleRounds = 0
	}
	d.previousReplies = append(d.previousReplies[:0], d.replies...)
	if d.idleRounds >= maxIdleRounds {
		return stallAction{lost: []int{d.stalledStage()}}, at
	}
	d.probedAt = time.Time{}
	d.idleSince = at.Add(minProbeDelay - d.probeDelay())
	return stallAction{}, at.Add(minProbeDelay)
}

// stalledStage returns the first stage that has not finished a step which the
// preceding stage has finished. If there is none, the last token has not returned
// to the first stage, which is then the stalled one.
func (d *stallDetector) stalledStage() int {
	for i := 1; i < len(d.replies); i++ {
		if d.replies[i].nextIndex < d.replies[i-1].nextIndex {
			return i
		}
	}
	return 0
}
