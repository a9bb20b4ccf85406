package entry

import (
	"time"

	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// patienceFactor is how many times the usual gap between two tokens may
	// pass before the stages are asked where the attempt stands.
	patienceFactor = 4
	// minPatience and maxPatience bound that time. Asking costs one small frame
	// for each stage, so an early question is cheap.
	minPatience = 100 * time.Millisecond
	maxPatience = 400 * time.Millisecond
	// minProbeLimit and probeFactor bound the wait for an answer, by itself and
	// in round-trip times of the connection.
	minProbeLimit = 200 * time.Millisecond
	probeFactor   = 8
	// maxIdleRounds is how many rounds in a row may find no stage at work.
	maxIdleRounds = 2
	gapGain       = 0.125
)

// progressWatch decides when an attempt has stopped. It takes tokens, answers
// to probes and the time, and returns what to do. It performs no I/O.
type progressWatch struct {
	// gap is the average time between tokens in seconds; 0 until it is known.
	gap float64
	// quietSince is when the attempt last showed progress or was last asked.
	quietSince time.Time
	lastToken  time.Time

	round    uint64
	probedAt time.Time
	stages   []stageReport
	previous []stageReport
	idle     int
}

// stageReport is what a stage answered in a round.
type stageReport struct {
	answered bool
	known    bool
	busy     bool
	next     uint32
}

// watchAction is what the driver does next.
type watchAction struct {
	// probe asks every stage under the round's number.
	probe bool
	// lost names the positions of stages that do not take part any more.
	lost []int
	// silent is set when the stages are lost because they did not answer.
	silent bool
}

func newProgressWatch(stages int, at time.Time) *progressWatch {
	return &progressWatch{quietSince: at, stages: make([]stageReport, stages)}
}

// token notes a token or another sign of progress of the whole attempt.
func (w *progressWatch) token(at time.Time) {
	if !w.lastToken.IsZero() {
		gap := at.Sub(w.lastToken).Seconds()
		if w.gap == 0 {
			w.gap = gap
		}
		w.gap += gapGain * (gap - w.gap)
	}
	w.lastToken = at
	w.restart(at)
}

// restart begins a new wait, after stages were lost that the attempt still waits for.
func (w *progressWatch) restart(at time.Time) {
	w.quietSince = at
	w.probedAt = time.Time{}
	w.previous = nil
	w.idle = 0
}

func (w *progressWatch) patience() time.Duration {
	usual := time.Duration(w.gap * float64(time.Second))
	return min(max(minPatience, patienceFactor*usual), maxPatience)
}

// answer notes a stage's answer; one to an earlier round counts for nothing.
func (w *progressWatch) answer(position int, p *wire.Progress) {
	if p.Sequence != w.round || position < 0 || position >= len(w.stages) {
		return
	}
	w.stages[position] = stageReport{answered: true, known: p.Known, busy: p.Busy, next: p.NextIndex}
}

// tick decides at a time. probeLimit gives for each position how long its
// answer may take; 0 leaves out a stage that cannot be asked at the moment. It
// also returns when to call again.
func (w *progressWatch) tick(at time.Time, probeLimit []time.Duration) (watchAction, time.Time) {
	if w.probedAt.IsZero() {
		if due := w.quietSince.Add(w.patience()); at.Before(due) {
			return watchAction{}, due
		}
		return w.probe(at, probeLimit)
	}
	if lost := w.unknown(); len(lost) > 0 {
		return watchAction{lost: lost}, at
	}
	if !w.allAnswered() {
		return w.awaitAnswers(at, probeLimit)
	}
	return w.judge(at)
}

func (w *progressWatch) probe(at time.Time, probeLimit []time.Duration) (watchAction, time.Time) {
	w.round++
	w.probedAt = at
	for i := range w.stages {
		w.stages[i] = stageReport{answered: probeLimit[i] == 0, known: true, busy: probeLimit[i] == 0}
	}
	return watchAction{probe: true}, at.Add(minProbeLimit / 4)
}

func (w *progressWatch) allAnswered() bool {
	for _, s := range w.stages {
		if !s.answered {
			return false
		}
	}
	return true
}

// movesWithout tells whether the chain generates tokens that do not arrive: a
// stage that finished the step after the next token proves that the token exists.
func (w *progressWatch) movesWithout(received uint32) bool {
	for _, s := range w.stages {
		if s.answered && s.next > received+1 {
			return true
		}
	}
	return false
}

// doubtful lists stages that have owed an answer for half of the limit.
func (w *progressWatch) doubtful(at time.Time) []int {
	var positions []int
	for i, s := range w.stages {
		if !w.probedAt.IsZero() && !s.answered && at.Sub(w.probedAt) >= minProbeLimit/2 {
			positions = append(positions, i)
		}
	}
	return positions
}

// unknown lists stages that hold the attempt no longer.
func (w *progressWatch) unknown() []int {
	var lost []int
	for i, s := range w.stages {
		if s.answered && !s.known {
			lost = append(lost, i)
		}
	}
	return lost
}

func (w *progressWatch) awaitAnswers(at time.Time, probeLimit []time.Duration) (watchAction, time.Time) {
	var lost []int
	next := at.Add(maxPatience)
	for i, s := range w.stages {
		if s.answered || probeLimit[i] == 0 {
			continue
		}
		due := w.probedAt.Add(probeLimit[i])
		if !at.Before(due) {
			lost = append(lost, i)
		} else if due.Before(next) {
			next = due
		}
	}
	return watchAction{lost: lost, silent: true}, next
}

// judge looks at a round that all stages answered. An attempt has stopped when
// no stage works on it and nothing moved since the round before.
func (w *progressWatch) judge(at time.Time) (watchAction, time.Time) {
	moved := w.previous == nil
	for i, s := range w.stages {
		moved = moved || s.busy || s.next != w.previous[i].next
	}
	w.idle++
	if moved {
		w.idle = 0
	}
	w.previous = append(w.previous[:0], w.stages...)
	if w.idle >= maxIdleRounds {
		return watchAction{lost: []int{w.stoppedAt()}}, at
	}
	w.probedAt = time.Time{}
	w.quietSince = at.Add(minPatience - w.patience())
	return watchAction{}, at.Add(minPatience)
}

// stoppedAt is the first stage that did not finish what the stage before it
// did, or the first stage of the chain when the last token did not return to it.
func (w *progressWatch) stoppedAt() int {
	for i := 1; i < len(w.stages); i++ {
		if w.stages[i].next < w.stages[i-1].next {
			return i
		}
	}
	return 0
}
