package link

import "time"

const (
	// idleConnections is how many idle streams an entry keeps at one heartbeat a
	// second. Beyond that the interval of idle streams grows with their number,
	// because the heartbeats of hundreds of them would use up what a node may
	// spend on control.
	idleConnections = 60
	// maxHeartbeatInterval bounds the interval of idle streams.
	maxHeartbeatInterval = 10 * time.Second
	// silentHeartbeats is how many heartbeats may be missing.
	silentHeartbeats = int(HeartbeatTimeout / HeartbeatInterval)
)

// HeartbeatIntervalFor returns the interval for a stream of an entry that has a
// number of streams. A stream with requests always has the short one.
func HeartbeatIntervalFor(busy bool, streams int) time.Duration {
	if busy {
		return HeartbeatInterval
	}
	seconds := (streams + idleConnections - 1) / idleConnections
	return min(max(time.Duration(seconds)*time.Second, HeartbeatInterval), maxHeartbeatInterval)
}

// HeartbeatTimeoutFor returns how long a stream with an interval may be silent.
func HeartbeatTimeoutFor(interval time.Duration) time.Duration {
	interval = min(max(interval, HeartbeatInterval), maxHeartbeatInterval)
	return time.Duration(silentHeartbeats) * interval
}

// HeartbeatScheduler decides at each tick of HeartbeatInterval whether a heartbeat is due:
// after the interval, and at once when it changes, so that the peer learns of it.
type HeartbeatScheduler struct {
	last     time.Time
	interval time.Duration
}

// Due tells whether a heartbeat is to be sent now.
func (p *HeartbeatScheduler) Due(now time.Time, interval time.Duration) bool {
	// Half a tick of tolerance keeps a late tick from skipping a heartbeat.
	if interval == p.interval && now.Sub(p.last) < interval-HeartbeatInterval/2 {
		return false
	}
	p.last, p.interval = now, interval
	return true
}
