package pipeline

import "time"

const (
	// sameZoneLatencySeconds and crossZoneLatencySeconds are used for links not measured yet.
	sameZoneLatencySeconds  = 0.0001
	crossZoneLatencySeconds = 0.0005
	// maxLatencyFrameBytes bounds, in bytes, the frames that measure a link's latency.
	// Larger ones measure its time per byte, so that a few bytes on a distant
	// link do not look like a narrow link.
	maxLatencyFrameBytes = 64 << 10
	// linkGain is the weight of a new measurement in the moving average. A
	// measurement stands for a report of many frames, about ten a second.
	linkGain = 0.3
	// hysteresisBand is the relative change that must last before the published
	// estimate moves, and hysteresisRun how many measurements in a row it must last.
	hysteresisBand = 0.25
	hysteresisRun  = 4
)

// Links estimates the transfer time between zones from real frames. The
// estimates in use move with hysteresis: only after a run of measurements
// whose average is outside a band around them.
type Links struct {
	estimates map[[2]string]*linkEstimate
	// version changes with every published estimate.
	version int
}

type linkEstimate struct {
	// latency is in seconds, perByte in seconds per byte.
	latency, perByte dampedAverage
}

// dampedAverage is a moving average and the value that is published of it.
type dampedAverage struct {
	average, published float64
	outsideCount       int
}

// NewLinks returns estimates without measurements.
func NewLinks() *Links {
	return &Links{estimates: map[[2]string]*linkEstimate{}}
}

// Set gives the configured speed of a link, which holds until it is measured.
func (l *Links) Set(from, to string, bytesPerSecond float64, latency time.Duration) {
	e := &linkEstimate{}
	e.latency.published, e.latency.average = latency.Seconds(), latency.Seconds()
	if bytesPerSecond > 0 {
		e.perByte.published, e.perByte.average = 1/bytesPerSecond, 1/bytesPerSecond
	}
	l.estimates[[2]string{from, to}] = e
	l.version++
}

// Observe takes the mean size and transfer time of frames of similar size.
func (l *Links) Observe(from, to string, bytes int64, took time.Duration) {
	if bytes <= 0 || took < 0 {
		return
	}
	key := [2]string{from, to}
	if l.estimates[key] == nil {
		e := &linkEstimate{}
		e.latency.published = defaultLatency(from, to)
		e.latency.average = e.latency.published
		l.estimates[key] = e
	}
	e := l.estimates[key]
	changed := false
	if bytes <= maxLatencyFrameBytes {
		changed = e.latency.observe(max(0, took.Seconds()-e.perByte.published*float64(bytes)))
	} else {
		changed = e.perByte.observe(max(0, took.Seconds()-e.latency.published) / float64(bytes))
	}
	if changed {
		l.version++
	}
}

// observe takes a sample and tells whether the published value has moved.
func (s *dampedAverage) observe(sample float64) bool {
	s.average += linkGain * (sample - s.average)
	low, high := s.published*(1-hysteresisBand), s.published*(1+hysteresisBand)
	if s.average >= low && s.average <= high {
		s.outsideCount = 0
		return false
	}
	s.outsideCount++
	if s.outsideCount < hysteresisRun {
		return false
	}
	s.published = s.average
	s.outsideCount = 0
	return true
}

func defaultLatency(from, to string) float64 {
	if from == to {
		return sameZoneLatencySeconds
	}
	return crossZoneLatencySeconds
}

// Estimate returns the published latency in seconds and time in seconds per byte.
func (l *Links) Estimate(from, to string) (latency, perByte float64) {
	if e := l.estimates[[2]string{from, to}]; e != nil {
		return e.latency.published, e.perByte.published
	}
	return defaultLatency(from, to), 0
}

// Cost returns the estimated seconds that a frame of the given size takes.
func (l *Links) Cost(from, to string, bytes int64) float64 {
	latency, perByte := l.Estimate(from, to)
	return latency + perByte*float64(bytes)
}
