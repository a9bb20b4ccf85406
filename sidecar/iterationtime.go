package sidecar

import "time"

const (
	// iterationTimeGain is the weight of a new iteration in the moving averages.
	iterationTimeGain = 0.125
	// overdueFactor is the multiple of the expected time after which an iteration
	// is overdue and the engine is polled for progress.
	overdueFactor = 4
	// minOverdueTimeout prevents a scheduling delay from being taken for a stall.
	minOverdueTimeout = 100 * time.Millisecond
	// stallTimeout is how long an engine may report no progress, or not respond,
	// before it counts as stalled.
	stallTimeout = 200 * time.Millisecond
	// estimateTimeoutFactor and minEstimateTimeout limit an iteration of an engine
	// that does not report progress.
	estimateTimeoutFactor = 8
	minEstimateTimeout    = 500 * time.Millisecond
)

// iterationTimeEstimator estimates the duration of an iteration from past ones,
// as a base time plus a time per input byte of attempts' first steps. These
// contain whole prompts, which make an iteration many times longer.
type iterationTimeEstimator struct {
	baseSeconds, secondsPerByte float64
	hasBase                     bool
	hasRate                     bool
}

// observe records the duration of a finished iteration, where firstStepBytes is
// the input size of the first steps in it.
func (e *iterationTimeEstimator) observe(firstStepBytes int, elapsed time.Duration) {
	seconds := elapsed.Seconds()
	if firstStepBytes == 0 {
		e.baseSeconds = movingAverage(e.baseSeconds, seconds, e.hasBase)
		e.hasBase = true
		return
	}
	rate := max(0, seconds-e.baseSeconds) / float64(firstStepBytes)
	e.secondsPerByte = movingAverage(e.secondsPerByte, rate, e.hasRate)
	e.hasRate = true
}

// movingAverage adds a sample to an exponential moving average; hasOld is false
// for the first sample.
func movingAverage(old, sample float64, hasOld bool) float64 {
	if !hasOld {
		return sample
	}
	return old + iterationTimeGain*(sample-old)
}

// estimate returns the expected duration, and false if no comparable iteration
// has run.
func (e *iterationTimeEstimator) estimate(firstStepBytes int) (time.Duration, bool) {
	seconds := e.baseSeconds + e.secondsPerByte*float64(firstStepBytes)
	return time.Duration(seconds * float64(time.Second)), e.hasBase && (firstStepBytes == 0 || e.hasRate)
}

// overdueTimeout returns the time after which an iteration is overdue.
func (e *iterationTimeEstimator) overdueTimeout(firstStepBytes int) time.Duration {
	expected, _ := e.estimate(firstStepBytes)
	return max(minOverdueTimeout, overdueFactor*expected)
}

// stallDetector decides from the engine's load reports whether an overdue
// iteration has stalled.
type stallDetector struct {
	startedAt time.Time
	// estimate is zero if no comparable iteration has run.
	estimate time.Duration
	// fallbackTimeout limits an iteration for which there are neither an estimate
	// nor progress reports.
	fallbackTimeout time.Duration

	progress       int64
	lastProgressAt time.Time
}

// engineLoad is an engine's response to a load request.
type engineLoad struct {
	// Progress is a counter of completed parts of iterations; nil if the engine
	// does not report it.
	Progress *int64 `json:"progress"`
}

// stalled reports whether the iteration has stalled, given the latest load
// report; nil means that the engine did not respond in time.
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

// estimateTimeout returns the limit for an engine that does not report progress.
func (d *stallDetector) estimateTimeout() time.Duration {
	if d.estimate == 0 {
		return d.fallbackTimeout
	}
	return max(minEstimateTimeout, estimateTimeoutFactor*d.estimate)
}
