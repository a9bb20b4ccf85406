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
	// linkGain is the weight of a new measurement in the moving average.
	linkGain = 0.1
	// linkBand is the relative change that must last before the published
	// estimate moves, and linkRun how many measurements in a row it must last.
	linkBand = 0.25
	linkRun  = 8
)

// Links estimates the transfer time between zones from real frames. The
// estimates in use move with hysteresis: only after a run of measurements
// whose average is outside a band around them.
type Links struct {
	measured map[[2]string]*linkEstimate
}

type linkEstimate struct {
	// latency is in seconds, perByte in seconds per byte.
	latency, perByte steadied
}

// steadied is a moving average and the value that is published of it.
type steadied struct {
	average, published float64
	outside            int
}

// NewLinks returns estimates without measurements.
func NewLinks() *Links {
	return &Links{measured: map[[2]string]*linkEstimate{}}
}

// Set gives the configured speed of a link, which holds until it is measured.
func (l *Links) Set(from, to string, bytesPerSecond float64, latency time.Duration) {
	e := &linkEstimate{}
	e.latency.published, e.latency.average = latency.Seconds(), latency.Seconds()
	if bytesPerSecond > 0 {
		e.perByte.published, e.perByte.average = 1/bytesPerSecond, 1/bytesPerSecond
	}
	l.measured[[2]string{from, to}] = e
}

// Observe takes the transfer time of one frame.
func (l *Links) Observe(from, to string, bytes int64, took time.Duration) {
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
	if bytes <= smallFrame {
		e.latency.observe(max(0, took.Seconds()-e.perByte.published*float64(bytes)))
	} else {
		e.perByte.observe(max(0, took.Seconds()-e.latency.published) / float64(bytes))
	}
}

func (s *steadied) observe(sample float64) {
	s.average += linkGain * (sample - s.average)
	low, high := s.published*(1-linkBand), s.published*(1+linkBand)
	if s.average >= low && s.average <= high {
		s.outside = 0
		return
	}
	s.outside++
	if s.outside >= linkRun {
		s.published = s.average
		s.outside = 0
	}
}

func unmeasured(from, to string) float64 {
	if from == to {
		return sameZoneSeconds
	}
	return crossZoneSeconds
}

// Cost returns the estimated seconds that a frame of the given size takes.
func (l *Links) Cost(from, to string, bytes int64) float64 {
	if e := l.measured[[2]string{from, to}]; e != nil {
		return e.latency.published + e.perByte.published*float64(bytes)
	}
	return unmeasured(from, to)
}
