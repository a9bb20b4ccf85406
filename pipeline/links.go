package pipeline

import "time"

const (
	// sameZoneSeconds and crossZoneSeconds are used for links not measured yet.
	sameZoneSeconds  = 0.0001
	crossZoneSeconds = 0.0005
	// linkGain is the weight of a new measurement in the moving average.
	linkGain = 0.1
	// linkBand is the relative change that must last before the published
	// estimate moves, and linkRun how many measurements in a row it must last.
	linkBand = 0.25
	linkRun  = 8
)

// Links estimates the transfer time between zones from real frames. The
// estimate in use moves with hysteresis: only after a run of measurements
// whose average is outside a band around it.
type Links struct {
	measured map[[2]string]*linkEstimate
}

type linkEstimate struct {
	// average follows every measurement, published only lasting changes; both
	// are the time of a frame in seconds plus seconds per byte times its size.
	average, published linkTime
	outside            int
}

// linkTime is a transfer time per byte, in seconds.
type linkTime float64

// NewLinks returns estimates without measurements.
func NewLinks() *Links {
	return &Links{measured: map[[2]string]*linkEstimate{}}
}

// Observe takes the transfer time of one frame.
func (l *Links) Observe(from, to string, bytes int64, took time.Duration) {
	if bytes <= 0 || took < 0 {
		return
	}
	sample := linkTime(took.Seconds() / float64(bytes))
	key := [2]string{from, to}
	e := l.measured[key]
	if e == nil {
		l.measured[key] = &linkEstimate{average: sample, published: sample}
		return
	}
	e.average += linkGain * (sample - e.average)
	e.settle()
}

func (e *linkEstimate) settle() {
	low, high := e.published*(1-linkBand), e.published*(1+linkBand)
	if e.average >= low && e.average <= high {
		e.outside = 0
		return
	}
	e.outside++
	if e.outside >= linkRun {
		e.published = e.average
		e.outside = 0
	}
}

// Cost returns the estimated seconds that a frame of the given size takes.
func (l *Links) Cost(from, to string, bytes int64) float64 {
	if e := l.measured[[2]string{from, to}]; e != nil && bytes > 0 {
		return float64(e.published) * float64(bytes)
	}
	if from == to {
		return sameZoneSeconds
	}
	return crossZoneSeconds
}
