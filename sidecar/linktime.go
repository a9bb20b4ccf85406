package sidecar

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/wire"
)

// largeFrameBytes is the size above which the time of a frame is dominated by the
// link's bandwidth; that of smaller frames is dominated by its latency.
const largeFrameBytes = 64 << 10

// frameTimes sums up the times until frames were acknowledged, separately for
// small and large frames.
type frameTimes struct {
	small, large frameTotals
}

// frameTotals holds the number, the total size and the total time of frames.
type frameTotals struct {
	frames, bytes int64
	elapsed       time.Duration
}

func (t *frameTimes) add(bytes int, elapsed time.Duration) {
	totals := &t.small
	if bytes > largeFrameBytes {
		totals = &t.large
	}
	totals.frames++
	totals.bytes += int64(bytes)
	totals.elapsed += elapsed
}

func (t *frameTimes) merge(other frameTimes) {
	t.small.merge(other.small)
	t.large.merge(other.large)
}

func (t *frameTotals) merge(other frameTotals) {
	t.frames += other.frames
	t.bytes += other.bytes
	t.elapsed += other.elapsed
}

// meanLinkTime returns the mean one-way time, without the latency of the
// acknowledgement.
func (t frameTotals) meanLinkTime(zone string, ackLatency time.Duration) *wire.LinkTime {
	mean := t.elapsed / time.Duration(t.frames)
	return &wire.LinkTime{
		Zone: zone, Bytes: uint32(t.bytes / t.frames), Microseconds: uint32(max(0, mean-ackLatency).Microseconds()),
	}
}

// refreshLinkTimes replaces the link time report by one that covers the time
// since the last call. It must be called with the lock held.
func (s *Server) refreshLinkTimes() {
	byZone := make(map[string]frameTimes)
	for _, h := range s.hops {
		t := byZone[h.zone]
		t.merge(h.ackTimes)
		byZone[h.zone] = t
		h.ackTimes = frameTimes{}
	}
	s.linkTimes = nil
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		t := byZone[zone]
		var ackLatency time.Duration
		if t.small.frames > 0 {
			ackLatency = t.small.elapsed / time.Duration(t.small.frames) / 2
			s.linkTimes = append(s.linkTimes, t.small.meanLinkTime(zone, ackLatency))
		}
		if t.large.frames > 0 {
			s.linkTimes = append(s.linkTimes, t.large.meanLinkTime(zone, ackLatency))
		}
	}
}
