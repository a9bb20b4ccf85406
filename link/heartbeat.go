package link

import "time"

const (
	// maxIdleHeartbeatsPerSecond is the number of idle streams up to which an entry
	// sends one heartbeat per second on each. Beyond it the interval grows with the
	// number of streams, because heartbeats on hundreds of idle streams would use
	// up the node's budget for the control plane.
	maxIdleHeartbeatsPerSecond = 60
	// maxHeartbeatInterval is the longest interval of an idle stream.
	maxHeartbeatInterval = 10 * time.Second
	// maxMissedHeartbeats is how many heartbeats a peer may miss before a timeout.
	maxMissedHeartbeats = int(HeartbeatTimeout / HeartbeatInterval)
)

// HeartbeatIntervalFor returns the heartbeat interval for a stream of an entry that
// has the given number of streams. A busy stream, one with requests in progress,
// always uses HeartbeatInterval.
func HeartbeatIntervalFor(busy bool, streams int) time.Duration {
	if busy {
		return HeartbeatInterval
	}
	seconds := (streams + maxIdleHeartbeatsPerSecond - 1) / maxIdleHeartbeatsPerSecond
	return min(max(time.Duration(seconds)*time.Second, HeartbeatInterval), maxHeartbeatInterval)
}

// HeartbeatTimeoutFor returns how long a stream with the given heartbeat interval may
// receive no frame.
func HeartbeatTimeoutFor(interval time.Duration) time.Duration {
	interval = min(max(interval, HeartbeatInterval), maxHeartbeatInterval)
	return time.Duration(maxMissedHeartbeats) * interval
}

// HeartbeatScheduler decides at each tick of HeartbeatInterval whether a heartbeat is
// due: when the interval has passed, and at once when the interval changes, so that
// the peer is informed.
type HeartbeatScheduler struct {
	lastSent time.Time
	interval time.Duration
}

// Due reports whether to send a heartbeat now.
func (s *HeartbeatScheduler) Due(now time.Time, interval time.Duration) bool {
	// A tolerance of half a tick avoids skipping a heartbeat when the last one was late.
	if interval == s.interval && now.Sub(s.lastSent) < interval-HeartbeatInterval/2 {
		return false
	}
	s.lastSent, s.interval = now, interval
	return true
}
