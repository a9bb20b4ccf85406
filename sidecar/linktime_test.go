package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards the input of the choice of chains: small frames must report a link's
// latency and large ones its bandwidth, without the acknowledgement's latency.
func TestLinkTimes(t *testing.T) {
	h := &hop{zone: "z2"}
	h.ackTimes.add(100, 4*time.Millisecond)
	h.ackTimes.add(300, 2*time.Millisecond)
	h.ackTimes.add(1<<20, 51500*time.Microsecond)
	s := &Server{hops: map[string]*hop{"a": h, "idle": {zone: "z3"}}}
	s.refreshLinkTimes()
	assert.Equal(t, len(s.linkTimes), 2)
	check := func(got *wire.LinkTime, bytes, microseconds uint32) {
		assert.Equal(t, got.Zone, "z2")
		assert.Equal(t, got.Bytes, bytes)
		assert.Equal(t, got.Microseconds, microseconds)
	}
	check(s.linkTimes[0], 200, 1500)
	check(s.linkTimes[1], 1<<20, 50000)
	s.refreshLinkTimes()
	assert.Equal(t, len(s.linkTimes), 0, "a report must not be repeated")
}
