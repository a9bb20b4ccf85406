package relay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// usage is what an entry has in progress on a server or on a link between zones.
type usage struct {
	// requests counts requests, heads those for which the engine comes first.
	requests, heads int
	// tokens are the requests' tokens, layerTokens the same times their layers.
	tokens, layerTokens float64
	// rate is the part of an engine's time that prompts take, as a mean over each
	// request's time, or the bytes per second that cross a link.
	rate float64
	// slowdown is set by the entry that surveys the engines, where an engine is slower than it should be.
	slowdown float64
}

func (u *usage) add(o usage, sign int) {
	u.requests += sign * o.requests
	u.heads += sign * o.heads
	u.tokens += float64(sign) * o.tokens
	u.layerTokens += float64(sign) * o.layerTokens
	u.rate += float64(sign) * o.rate
	u.slowdown = max(u.slowdown, o.slowdown)
}

func serverHash(id string) uint64 { return xxhash.Sum64String(id) }

// linkID stands for the link between two zones where a server's name is
// expected; no server's name has a space. Both directions share a link.
func linkID(from, to string) string {
	if to < from {
		from, to = to, from
	}
	return "link " + from + " " + to
}

// linkRateTimeConstant is the time constant over which the bytes on a link are averaged.
const linkRateTimeConstant = time.Second

// rateMeter is a moving average of bytes per second.
type rateMeter struct {
	rate float64
	at   time.Time
}

func (m *rateMeter) add(now time.Time, bytes float64) {
	m.rate = m.value(now) + bytes/linkRateTimeConstant.Seconds()
	m.at = now
}

func (m *rateMeter) value(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/linkRateTimeConstant.Seconds())
}

// peerUsage is what the other entries have in progress, as far as their messages
// tell. It is not safe for concurrent use.
type peerUsage struct {
	byEntry map[string]peerState
	total   map[uint64]usage
}

type peerState struct {
	message
	receivedAt time.Time
}

// messageTTL is how long a message counts. An entry that is silent for longer is
// taken as gone, and its requests with it.
const messageTTL = time.Second

func newPeerUsage() *peerUsage { return &peerUsage{byEntry: map[string]peerState{}} }

// observe takes a message and tells whether it is newer than the last one.
func (o *peerUsage) observe(now time.Time, m message) bool {
	old, known := o.byEntry[m.entry]
	// A restarted process may have begun earlier by a clock that was set back. Once
	// the earlier run is silent, its order no longer matters.
	outdated := m.startNanos < old.startNanos && now.Sub(old.receivedAt) <= messageTTL || m.startNanos == old.startNanos && m.sequence <= old.sequence
	if known && outdated {
		return false
	}
	m.changes, m.suspects = nil, nil
	o.byEntry[m.entry] = peerState{m, now}
	o.total = nil
	return true
}

// freshMessages returns the entries whose messages still count.
func (o *peerUsage) freshMessages(now time.Time) (messages []message) {
	for _, e := range o.byEntry {
		if now.Sub(e.receivedAt) <= messageTTL {
			messages = append(messages, e.message)
		}
	}
	return messages
}

// usageOf returns what all other entries have in progress on a server.
func (o *peerUsage) usageOf(now time.Time, id string) usage {
	for name, e := range o.byEntry {
		if now.Sub(e.receivedAt) > messageTTL && len(e.servers) > 0 {
			e.servers = nil
			o.byEntry[name] = e
			o.total = nil
		}
	}
	if o.total == nil {
		o.recomputeTotal()
	}
	return o.total[serverHash(id)]
}

func (o *peerUsage) recomputeTotal() {
	o.total = map[uint64]usage{}
	for _, e := range o.byEntry {
		for hash, u := range e.servers {
			t := o.total[hash]
			t.add(u, 1)
			o.total[hash] = t
		}
	}
}
