package relay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// usage is the load that an entry has in progress on a server, on a link between
// zones or for a team.
type usage struct {
	// requests counts requests, usedSlots those of which the engine runs the first
	// stage.
	requests, usedSlots int
	// tokens is the number of the requests' tokens, layerTokens the same times
	// their layers.
	tokens, layerTokens float64
	// rate is the fraction of an engine's time spent on prompts, averaged over the
	// duration of each request, or the bytes per second that cross a link.
	rate float64
	// slowdown is set by the lease holder for an engine that is slower than
	// expected.
	slowdown float64
}

func (u *usage) add(o usage, sign int) {
	u.requests += sign * o.requests
	u.usedSlots += sign * o.usedSlots
	u.tokens += float64(sign) * o.tokens
	u.layerTokens += float64(sign) * o.layerTokens
	u.rate += float64(sign) * o.rate
	u.slowdown = max(u.slowdown, o.slowdown)
}

func serverHash(id string) uint64 { return xxhash.Sum64String(id) }

// linkID returns the ID of the link between two zones for use in place of a
// server ID; no server ID contains a space. Both directions share a link.
func linkID(from, to string) string {
	if to < from {
		from, to = to, from
	}
	return "link " + from + " " + to
}

// teamID returns the ID of a team for use in place of a server ID.
func teamID(team string) string { return "team " + team }

// linkRateTimeConstant is the time constant of the moving average over a
// link's bytes.
const linkRateTimeConstant = time.Second

// rateMeter is an exponential moving average of bytes per second.
type rateMeter struct {
	rate      float64
	updatedAt time.Time
}

func (m *rateMeter) add(now time.Time, bytes float64) {
	m.rate = m.value(now) + bytes/linkRateTimeConstant.Seconds()
	m.updatedAt = now
}

func (m *rateMeter) value(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.updatedAt).Seconds()/linkRateTimeConstant.Seconds())
}

// recentWorkExpiry is how long recent work is remembered. It counts for much less.
const recentWorkExpiry = 10 * time.Second

// recentWork estimates how much work all entries have sent to an engine or over a
// link since their last messages. Only this entry's own part is known: the others
// are assumed to have sent as much, because after a failure or at the begin of a
// burst all of them act at the same time on the same information.
type recentWork struct {
	work      time.Duration
	updatedAt time.Time
}

// add records work of this entry. window is the time between two messages of an
// entry.
func (r *recentWork) add(now time.Time, work, window time.Duration) {
	r.work = r.own(now, window) + work
	r.updatedAt = now
}

// own returns this entry's part, which decays as the messages of the other entries
// and the work itself proceed.
func (r *recentWork) own(now time.Time, window time.Duration) time.Duration {
	if r == nil || r.work == 0 {
		return 0
	}
	return time.Duration(float64(r.work) * math.Exp(-now.Sub(r.updatedAt).Seconds()/window.Seconds()))
}

// peerUsage is the load that the other entries have in progress, as reported
// by their messages. It is not safe for concurrent use.
type peerUsage struct {
	byEntry map[string]peerState
	total   map[uint64]usage
}

type peerState struct {
	message
	receivedAt time.Time
}

// messageTTL is how long a message is valid. An entry that is silent for
// longer is presumed to have terminated along with its requests.
const messageTTL = time.Second

func newPeerUsage() *peerUsage { return &peerUsage{byEntry: map[string]peerState{}} }

// observe stores a message and reports whether it is newer than the previous
// one.
func (p *peerUsage) observe(now time.Time, m message) bool {
	old, known := p.byEntry[m.sender]
	// A restarted process may have an earlier start time if the clock was set back.
	// Once the previous process is silent, the order of start times no longer
	// matters.
	outdated := m.startNanos < old.startNanos && now.Sub(old.receivedAt) <= messageTTL || m.startNanos == old.startNanos && m.sequence <= old.sequence
	if known && outdated {
		return false
	}
	m.changes, m.suspects, m.evidence, m.limits, m.wants, m.gifts, m.demand = nil, nil, evidence{}, nil, nil, nil, nil
	p.byEntry[m.sender] = peerState{m, now}
	p.total = nil
	return true
}

// freshMessages returns the messages that are still valid.
func (p *peerUsage) freshMessages(now time.Time) (messages []message) {
	for _, e := range p.byEntry {
		if now.Sub(e.receivedAt) <= messageTTL {
			messages = append(messages, e.message)
		}
	}
	return messages
}

// freshCount returns the number of entries whose messages are still valid.
func (p *peerUsage) freshCount(now time.Time) (n int) {
	for _, e := range p.byEntry {
		if now.Sub(e.receivedAt) <= messageTTL {
			n++
		}
	}
	return n
}

// usageOf returns the load that all other entries have in progress on a
// server.
func (p *peerUsage) usageOf(now time.Time, id string) usage {
	for name, e := range p.byEntry {
		if now.Sub(e.receivedAt) > messageTTL && len(e.servers) > 0 {
			e.servers = nil
			p.byEntry[name] = e
			p.total = nil
		}
	}
	if p.total == nil {
		p.recomputeTotal()
	}
	return p.total[serverHash(id)]
}

func (p *peerUsage) recomputeTotal() {
	p.total = map[uint64]usage{}
	for _, e := range p.byEntry {
		for hash, u := range e.servers {
			t := p.total[hash]
			t.add(u, 1)
			p.total[hash] = t
		}
	}
}
