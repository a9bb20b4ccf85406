package sidecar

import "time"

const (
	// paceGain is the weight of a new iteration in the moving averages.
	paceGain = 0.125
	// paceFactor is how many times the expected time an iteration may take
	// before the engine is asked whether it moves.
	paceFactor = 4
	// minIterationLimit keeps a pause of the scheduler from looking like a stall.
	minIterationLimit = 100 * time.Millisecond
	// stallLimit is how long an engine that reports progress may show none.
	stallLimit = 200 * time.Millisecond
	// blindFactor and minBlindLimit bound an iteration of an engine that does
	// not report progress.
	blindFactor   = 8
	minBlindLimit = 500 * time.Millisecond
)

// pace estimates from past iterations how long the next one takes: a base for
// each iteration and a rate for the input of attempts' first steps, whose
// prompts make an iteration many times longer.
type pace struct {
	base, perByte float64
	hasBase       bool
	hasRate       bool
}

// observe takes an iteration that ended. firstBytes is the input of the first steps in it.
func (p *pace) observe(firstBytes int, took time.Duration) {
	seconds := took.Seconds()
	if firstBytes == 0 {
		p.base = average(p.base, seconds, p.hasBase)
		p.hasBase = true
		return
	}
	rate := max(0, seconds-p.base) / float64(firstBytes)
	p.perByte = average(p.perByte, rate, p.hasRate)
	p.hasRate = true
}

func average(old, sample float64, known bool) float64 {
	if !known {
		return sample
	}
	return old + paceGain*(sample-old)
}

// expect returns the expected time, and false when nothing comparable has run.
func (p *pace) expect(firstBytes int) (time.Duration, bool) {
	seconds := p.base + p.perByte*float64(firstBytes)
	return time.Duration(seconds * float64(time.Second)), p.hasBase && (firstBytes == 0 || p.hasRate)
}

// limit is the time after which an iteration is overdue.
func (p *pace) limit(firstBytes int) time.Duration {
	expected, _ := p.expect(firstBytes)
	return max(minIterationLimit, paceFactor*expected)
}

// stall decides about an overdue iteration from the engine's reports.
type stall struct {
	began time.Time
	// expected is zero when nothing comparable has run.
	expected time.Duration
	// hardLimit bounds an iteration about which nothing is known.
	hardLimit time.Duration

	progress int64
	movedAt  time.Time
}

// engineReport is an engine's answer about its load.
type engineReport struct {
	// Progress counts parts of iterations; nil when the engine does not report it.
	Progress *int64 `json:"progress"`
}

// hung takes a report, or nil when the engine gave none in time. It returns
// whether the iteration is to be given up.
func (d *stall) hung(now time.Time, report *engineReport) bool {
	if report != nil && report.Progress == nil {
		return now.Sub(d.began) > d.blindLimit()
	}
	if d.movedAt.IsZero() {
		d.movedAt = now
	}
	if report != nil && *report.Progress != d.progress {
		d.progress = *report.Progress
		d.movedAt = now
	}
	return now.Sub(d.movedAt) >= stallLimit
}

func (d *stall) blindLimit() time.Duration {
	if d.expected == 0 {
		return d.hardLimit
	}
	return max(minBlindLimit, blindFactor*d.expected)
}
