package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards the cost of control with many idle streams, and the detection of
// silence within 3 s on streams with requests and in small fleets.
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
	assert.Equal(t, HeartbeatTimeoutFor(0), HeartbeatTimeout, "an interval that the peer did not state")
	assert.Equal(t, HeartbeatTimeoutFor(time.Hour), 30*time.Second)
}

// Guards against a peer that learns too late that frames come less often.
func TestPaceSendsAtOnceAfterChange(t *testing.T) {
	var p HeartbeatScheduler
	at := time.Unix(1000, 0)
	assert.Assert(t, p.Due(at, 10*time.Second))
	assert.Assert(t, !p.Due(at.Add(time.Second), 10*time.Second))
	assert.Assert(t, p.Due(at.Add(2*time.Second), time.Second))
	assert.Assert(t, p.Due(at.Add(3*time.Second), 10*time.Second))
	assert.Assert(t, p.Due(at.Add(13*time.Second), 10*time.Second))
}

// Guards against a shorter limit that counts silence from before it was set,
// and against a watch that sleeps through it.
func TestSetLimit(t *testing.T) {
	at := time.Now()
	s := NewLivenessMonitor(at, 30*time.Second)
	s.SetTimeout(at.Add(20*time.Second), HeartbeatTimeout)
	assert.Assert(t, !s.Expired(at.Add(22*time.Second)))
	assert.Assert(t, s.Expired(at.Add(24*time.Second)))
}
