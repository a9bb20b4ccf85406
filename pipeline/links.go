package pipeline

import "time"

const (
	// sameZoneSeconds and crossZoneSeconds are used for links not measured yet.
	sameZoneSeconds  = 0.0001
	crossZoneSeconds = 0.0005
	// smallFrame bounds, in bytes, the frames that measure a link's latency.
	// Larger ones measure its time per byte, so that a few bytes on a distant
	// link do not look like a narrow link.
	smallFrame = 64 << 10
	// linkGain is the weight of a new measurement in the moving average. A
	// measurement stands for a report of many frames, about ten a second.
	linkGain = 0.3
	// linkBand is the relative change that must last before the published
	// estimate moves, and linkRun how many measurements in a row it must last.
	linkBand = 0.25
	linkRun  = 4
)

// LinkEstimator estimates the transfer time between zones from real frames. The
// estimates in use move with hysteresis: only after a run of measurements
// whose average is outside a band around them.
type LinkEstimator struct {
	measured map[[2]string]*linkEstimate
	// version changes with every published estimate.
	version int
}

type linkEstimate struct {
	// latency is in seconds, perByte in seconds per byte.
	latency, perByte smoothed
}

// smoothed is a moving average and the value that is published of it.
type smoothed struct {
	average, published float64
	outside            int
}

// NewLinkEstimator returns estimates without measurements.
func NewLinkEstimator() *LinkEstimator {
	return &LinkEstimator{measured: map[[2]string]*linkEstimate{}}
}

// Set gives the configured speed of a link, which holds until it is measured.
func (l *LinkEstimator) Set(from, to string, bytesPerSecond float64, latency time.Duration) {
	e := &linkEstimate{}
	e.latency.published, e.latency.average = latency.Seconds(), latency.Seconds()
	if bytesPerSecond > 0 {
		e.perByte.published, e.perByte.average = 1/bytesPerSecond, 1/bytesPerSecond
	}
	l.measured[[2]string{from, to}] = e
	l.version++
}

// Observe takes the mean size and transfer time of frames of similar size.
func (l *LinkEstimator) Observe(from, to string, bytes int64, took time.Duration) {
	if bytes <= 0 || took < 0 {
		return
	}
	key := [2]string{from, to}
	if l.measured[key] == nil {
		e := &linkEstimate{}
		e.latency.published = unmeasured(from, to)
		e.latency.average = e.latency.published
		l.measured[key] = e
	}
	e := l.measured[key]
	moved := false
	if bytes <= smallFrame {
		moved = e.latency.observe(max(0, took.Seconds()-e.perByte.published*float64(bytes)))
	} else {
		moved = e.perByte.observe(max(0, took.Seconds()-e.latency.published) / float64(bytes))
	}
	if moved {
		l.version++
	}
}

// observe takes a sample and tells whether the published value has moved.
func (s *smoothed) observe(sample float64) bool {
	s.average += linkGain * (sample - s.average)
	low, high := s.published*(1-linkBand), s.published*(1+linkBand)
	if s.average >= low && s.average <= high {
		s.outside = 0
		return false
	}
	s.outside++
	if s.outside < linkRun {
		return false
	}
	s.published = s.average
	s.outside = 0
	return true
}

func unmeasured(from, to string) float64 {
	if from == to {
		return sameZoneSeconds
	}
	return crossZoneSeconds
}

// Estimate returns the published latency in seconds and time in seconds per byte.
func (l *LinkEstimator) Estimate(from, to string) (latency, perByte float64) {
	if e := l.measured[[2]string{from, to}]; e != nil {
		return e.latency.published, e.perByte.published
	}
	return unmeasured(from, to), 0
}

// Cost returns the estimated seconds that a frame of the given size takes.
func (l *LinkEstimator) Cost(from, to string, bytes int64) float64 {
	latency, perByte := l.Estimate(from, to)
	return latency + perByte*float64(bytes)
}
