package pipeline

import "time"

const (
	// sameZoneLatencySeconds and crossZoneLatencySeconds apply to links that have
	// not been measured.
	sameZoneLatencySeconds  = 0.0001
	crossZoneLatencySeconds = 0.0005
	// maxLatencyFrameBytes is the size up to which frames measure a link's latency.
	// Larger ones measure its time per byte, so that a small frame on a
	// high-latency link does not look like low bandwidth.
	maxLatencyFrameBytes = 64 << 10
	// linkGain is the weight of a new measurement in the moving average. Each
	// measurement is a report on many frames; about ten arrive per second.
	linkGain = 0.3
	// The published estimate changes when the moving average has differed from it
	// by more than the fraction hysteresisBand for hysteresisRun measurements in
	// a row.
	hysteresisBand = 0.25
	hysteresisRun  = 4
)

// LinkEstimator estimates the transfer times between zones from those of real
// frames. The published estimates have hysteresis: they change only after a run of
// measurements whose moving average is outside a band around them.
type LinkEstimator struct {
	estimates map[[2]string]*linkEstimate
	// version changes with every published estimate.
	version int
}

type linkEstimate struct {
	// latency is in seconds, perByte in seconds per byte.
	latency, perByte dampedAverage
}

// dampedAverage is a moving average and its published value.
type dampedAverage struct {
	average, published float64
	outsideCount       int
}

// NewLinkEstimator returns a LinkEstimator without measurements.
func NewLinkEstimator() *LinkEstimator {
	return &LinkEstimator{estimates: map[[2]string]*linkEstimate{}}
}

// Set sets the configured speed of a link, which applies until the link is measured.
func (l *LinkEstimator) Set(from, to string, bytesPerSecond float64, latency time.Duration) {
	e := &linkEstimate{}
	e.latency.published, e.latency.average = latency.Seconds(), latency.Seconds()
	if bytesPerSecond > 0 {
		e.perByte.published, e.perByte.average = 1/bytesPerSecond, 1/bytesPerSecond
	}
	l.estimates[[2]string{from, to}] = e
	l.version++
}

// Observe records the mean size and mean transfer time of frames of similar size.
func (l *LinkEstimator) Observe(from, to string, bytes int64, took time.Duration) {
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

// observe adds a sample and reports whether the published value has changed.
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

// Estimate returns the published latency in seconds and transfer time in seconds
// per byte.
func (l *LinkEstimator) Estimate(from, to string) (latency, perByte float64) {
	if e := l.estimates[[2]string{from, to}]; e != nil {
		return e.latency.published, e.perByte.published
	}
	return defaultLatency(from, to), 0
}

// Cost returns the estimated transfer time in seconds of a frame of the given size.
func (l *LinkEstimator) Cost(from, to string, bytes int64) float64 {
	latency, perByte := l.Estimate(from, to)
	return latency + perByte*float64(bytes)
}
