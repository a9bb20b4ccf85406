package sidecar

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/wire"
)

// largeFrame is the size in bytes from which a frame's time tells the speed of
// a link; smaller ones tell its latency.
const largeFrame = 64 << 10

// frameTimes gathers the times until the acknowledgement of frames, apart for
// small and large ones.
type frameTimes struct {
	small, large frameSum
}

type frameSum struct {
	frames, bytes int64
	took          time.Duration
}

func (t *frameTimes) add(bytes int, took time.Duration) {
	sum := &t.small
	if bytes > largeFrame {
		sum = &t.large
	}
	sum.frames++
	sum.bytes += int64(bytes)
	sum.took += took
}

func (t *frameTimes) join(other frameTimes) {
	t.small.join(other.small)
	t.large.join(other.large)
}

func (s *frameSum) join(other frameSum) {
	s.frames += other.frames
	s.bytes += other.bytes
	s.took += other.took
}

// linkTime returns the mean with the way back of the acknowledgement taken off.
func (s frameSum) linkTime(zone string, back time.Duration) *wire.LinkTime {
	mean := s.took / time.Duration(s.frames)
	return &wire.LinkTime{
		Zone: zone, Bytes: uint32(s.bytes / s.frames), Microseconds: uint32(max(0, mean-back).Microseconds()),
	}
}

// refreshLinkTimes replaces the report on links by that of the time since the
// last call; it must be called with the lock held.
func (s *Server) refreshLinkTimes() {
	byZone := make(map[string]frameTimes)
	for _, h := range s.hops {
		t := byZone[h.zone]
		t.join(h.times)
		byZone[h.zone] = t
		h.times = frameTimes{}
	}
	s.linkTimes = nil
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		t := byZone[zone]
		var back time.Duration
		if t.small.frames > 0 {
			back = t.small.took / time.Duration(t.small.frames) / 2
			s.linkTimes = append(s.linkTimes, t.small.linkTime(zone, back))
		}
		if t.large.frames > 0 {
			s.linkTimes = append(s.linkTimes, t.large.linkTime(zone, back))
		}
	}
}
