package sidecar

import "time"

const (
	// iterationTimeGain is the weight of a new iteration in the moving averages.
	iterationTimeGain = 0.125
	// overdueFactor is how many times the expected time an iteration may take
	// before the engine is asked whether it moves.
	overdueFactor = 4
	// minOverdueTimeout keeps a pause of the scheduler from looking like a stall.
	minOverdueTimeout = 100 * time.Millisecond
	// stallTimeout is how long an engine that reports progress may show none.
	stallTimeout = 200 * time.Millisecond
	// estimateTimeoutFactor and minEstimateTimeout bound an iteration of an engine that does
	// not report progress.
	estimateTimeoutFactor = 8
	minEstimateTimeout    = 500 * time.Millisecond
)

// iterationTimeEstimator estimates from past iterations how long the next one takes: a base for
// each iteration and a rate for the input of attempts' first steps, whose
// prompts make an iteration many times longer.
type iterationTimeEstimator struct {
	baseSeconds, secondsPerByte float64
	hasBase                     bool
	hasRate                     bool
}

// observe takes an iteration that ended. firstStepBytes is the input of the first steps in it.
func (p *iterationTimeEstimator) observe(firstStepBytes int, elapsed time.Duration) {
	seconds := elapsed.Seconds()
	if firstStepBytes == 0 {
		p.baseSeconds = movingAverage(p.baseSeconds, seconds, p.hasBase)
		p.hasBase = true
		return
	}
	rate := max(0, seconds-p.baseSeconds) / float64(firstStepBytes)
	p.secondsPerByte = movingAverage(p.secondsPerByte, rate, p.hasRate)
	p.hasRate = true
}

func movingAverage(old, sample float64, hasOld bool) float64 {
	if !hasOld {
		return sample
	}
	return old + iterationTimeGain*(sample-old)
}

// estimate returns the expected time, and false when nothing comparable has run.
func (p *iterationTimeEstimator) estimate(firstStepBytes int) (time.Duration, bool) {
	seconds := p.baseSeconds + p.secondsPerByte*float64(firstStepBytes)
	return time.Duration(seconds * float64(time.Second)), p.hasBase && (firstStepBytes == 0 || p.hasRate)
}

// overdueTimeout is the time after which an iteration is overdue.
func (p *iterationTimeEstimator) overdueTimeout(firstStepBytes int) time.Duration {
	expected, _ := p.estimate(firstStepBytes)
	return max(minOverdueTimeout, overdueFactor*expected)
}

// stallDetector decides about an overdue iteration from the engine's reports.
type stallDetector struct {
	startedAt time.Time
	// estimate is zero when nothing comparable has run.
	estimate time.Duration
	// fallbackTimeout bounds an iteration about which nothing is known.
	fallbackTimeout time.Duration

	progress       int64
	lastProgressAt time.Time
}

// engineLoad is an engine's answer about its load.
type engineLoad struct {
	// Progress counts parts of iterations; nil when the engine does not report it.
	Progress *int64 `json:"progress"`
}

// stalled takes a report, or nil when the engine gave none in time. It returns
// whether the iteration is to be given up.
func (d *stallDetector) stalled(now time.Time, load *engineLoad) bool {
	if load != nil && load.Progress == nil {
		return now.Sub(d.startedAt) > d.estimateTimeout()
	}
	if d.lastProgressAt.IsZero() {
		d.lastProgressAt = now
	}
	if load != nil && *load.Progress != d.progress {
		d.progress = *load.Progress
		d.lastProgressAt = now
	}
	return now.Sub(d.lastProgressAt) >= stallTimeout
}

func (d *stallDetector) estimateTimeout() time.Duration {
	if d.estimate == 0 {
		return d.fallbackTimeout
	}
	return max(minEstimateTimeout, estimateTimeoutFactor*d.estimate)
}
