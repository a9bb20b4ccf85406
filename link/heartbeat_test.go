package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Heartbeats must stay cheap with many idle streams, and a dead peer must be
// detected within 3 s on streams with requests and in small fleets.
func TestHeartbeatInterval(t *testing.T) {
	cases := []struct {
		busy    bool
		streams int
		want    time.Duration
	}{
		{false, 0, time.Second}, {false, 46, time.Second}, {false, 60, time.Second}, {false, 61, 2 * time.Second},
		{false, 576, 10 * time.Second}, {false, 10000, 10 * time.Second}, {true, 10000, time.Second},
	}
	for _, c := range cases {
		assert.Equal(t, HeartbeatIntervalFor(c.busy, c.streams), c.want, "busy %t, %d streams", c.busy, c.streams)
	}
	assert.Equal(t, HeartbeatTimeoutFor(time.Second), HeartbeatTimeout)
	assert.Equal(t, HeartbeatTimeoutFor(0), HeartbeatTimeout, "an interval that the peer did not send")
	assert.Equal(t, HeartbeatTimeoutFor(time.Hour), 30*time.Second)
}

// A changed interval must be announced at once; otherwise the peer learns too late
// that frames arrive less often.
func TestHeartbeatDueAtOnceAfterIntervalChange(t *testing.T) {
	var scheduler HeartbeatScheduler
	at := time.Unix(1000, 0)
	assert.Assert(t, scheduler.Due(at, 10*time.Second))
	assert.Assert(t, !scheduler.Due(at.Add(time.Second), 10*time.Second))
	assert.Assert(t, scheduler.Due(at.Add(2*time.Second), time.Second))
	assert.Assert(t, scheduler.Due(at.Add(3*time.Second), 10*time.Second))
	assert.Assert(t, scheduler.Due(at.Add(13*time.Second), 10*time.Second))
}

// A shorter timeout must start when it is set, not at the last frame before, and
// must expire.
func TestSetTimeout(t *testing.T) {
	at := time.Now()
	monitor := NewLivenessMonitor(at, 30*time.Second)
	monitor.SetTimeout(at.Add(20*time.Second), HeartbeatTimeout)
	assert.Assert(t, !monitor.Expired(at.Add(22*time.Second)))
	assert.Assert(t, monitor.Expired(at.Add(24*time.Second)))
}
