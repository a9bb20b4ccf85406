package entry

import (
	"time"

	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// probeDelayFactor is how many times the usual gap between two tokens may
	// pass before the stages are asked where the attempt stands.
	probeDelayFactor = 4
	// minProbeDelay and maxProbeDelay bound that time. Asking costs one small frame
	// for each stage, so an early question is cheap.
	minProbeDelay = 100 * time.Millisecond
	maxProbeDelay = 400 * time.Millisecond
	// minProbeTimeout and probeTimeoutRTTs bound the wait for an answer, by itself and
	// in round-trip times of the connection.
	minProbeTimeout  = 200 * time.Millisecond
	probeTimeoutRTTs = 8
	// maxIdleRounds is how many rounds in a row may find no stage at work.
	maxIdleRounds = 2
	tokenGapGain  = 0.125
)

// stallDetector decides when an attempt has stopped. It takes tokens, answers
// to probes and the time, and returns what to do. It performs no I/O.
type stallDetector struct {
	// tokenGap is the average time between tokens in seconds; 0 until it is known.
	tokenGap float64
	// idleSince is when the attempt last showed progress or was last asked.
	idleSince time.Time
	lastToken time.Time

	round           uint64
	probedAt        time.Time
	replies         []probeReply
	previousReplies []probeReply
	idleRounds      int
}

// probeReply is what a stage answered in a round.
type probeReply struct {
	replied   bool
	known     bool
	busy      bool
	nextIndex uint32
}

// stallAction is what the driver does next.
type stallAction struct {
	// probe asks every stage under the round's number.
	probe bool
	// lost names the positions of stages that do not take part any more.
	lost []int
	// unanswered is set when the stages are lost because they did not answer.
	unanswered bool
}

func newStallDetector(stages int, at time.Time) *stallDetector {
	return &stallDetector{idleSince: at, replies: make([]probeReply, stages)}
}

// observeToken notes a token or another sign of progress of the whole attempt.
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

// restart begins a new wait, after stages were lost that the attempt still waits for.
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

// observeReply notes a stage's answer; one to an earlier round counts for nothing.
func (d *stallDetector) observeReply(position int, p *wire.Progress) {
	if p.Sequence != d.round || position < 0 || position >= len(d.replies) {
		return
	}
	d.replies[position] = probeReply{replied: true, known: p.Known, busy: p.Busy, nextIndex: p.NextIndex}
}

// tick decides at a time. probeTimeouts gives for each position how long its
// answer may take; 0 leaves out a stage that cannot be asked at the moment. It
// also returns when to call again.
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
	for _, s := range d.replies {
		if !s.replied {
			return false
		}
	}
	return true
}

// generatesUndelivered tells whether the chain generates tokens that do not arrive: a
// stage that finished the step after the next token proves that the token exists.
func (d *stallDetector) generatesUndelivered(received uint32) bool {
	for _, s := range d.replies {
		if s.replied && s.nextIndex > received+1 {
			return true
		}
	}
	return false
}

// overdue lists stages that have owed an answer for half of the limit.
func (d *stallDetector) overdue(at time.Time) []int {
	var positions []int
	for i, s := range d.replies {
		if !d.probedAt.IsZero() && !s.replied && at.Sub(d.probedAt) >= minProbeTimeout/2 {
			positions = append(positions, i)
		}
	}
	return positions
}

// withoutAttempt lists stages that hold the attempt no longer.
func (d *stallDetector) withoutAttempt() []int {
	var lost []int
	for i, s := range d.replies {
		if s.replied && !s.known {
			lost = append(lost, i)
		}
	}
	return lost
}

func (d *stallDetector) checkTimeouts(at time.Time, probeTimeouts []time.Duration) (stallAction, time.Time) {
	var lost []int
	next := at.Add(maxProbeDelay)
	for i, s := range d.replies {
		if s.replied || probeTimeouts[i] == 0 {
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

// evaluateRound looks at a round that all stages answered. An attempt has stopped when
// no stage works on it and nothing moved since the round before.
func (d *stallDetector) evaluateRound(at time.Time) (stallAction, time.Time) {
	moved := d.previousReplies == nil
	for i, s := range d.replies {
		moved = moved || s.busy || s.nextIndex != d.previousReplies[i].nextIndex
	}
	d.idleRounds++
	if moved {
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

// stalledStage is the first stage that did not finish what the stage before it
// did, or the first stage of the chain when the last token did not return to it.
func (d *stallDetector) stalledStage() int {
	for i := 1; i < len(d.replies); i++ {
		if d.replies[i].nextIndex < d.replies[i-1].nextIndex {
			return i
		}
	}
	return 0
}
