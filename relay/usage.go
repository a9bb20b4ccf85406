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
// by their messages. The sums are kept up to date as messages arrive and expire,
// because each choice of a path asks for those of all engines. It is not safe for
// concurrent use.
type peerUsage struct {
	byEntry map[string]peerState
	totals  map[uint64]peerTotal
	// slowdowns are the highest ones reported, by server hash. They are nil if they
	// must be computed again.
	slowdowns map[uint64]float64
	// fresh is the number of entries that are not silent, and expiresAt the earliest
	// time at which one of them may become silent.
	fresh     int
	expiresAt time.Time
}

// peerTotal is the sum of what entries report about one server, and the number of
// entries that report about it. It has no slowdown.
type peerTotal struct {
	usage
	reports int
}

// peerState is the latest message of an entry. It has no load once the entry is
// silent.
type peerState struct {
	message
	receivedAt time.Time
	silent     bool
}

// messageTTL is how long a message is valid. An entry that is silent for
// longer is presumed to have terminated along with its requests.
const messageTTL = time.Second

func newPeerUsage() *peerUsage {
	return &peerUsage{byEntry: map[string]peerState{}, totals: map[uint64]peerTotal{}}
}

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
	p.expire(now)
	if old := p.byEntry[m.sender]; known && !old.silent {
		p.addServers(old.servers, -1)
	} else {
		p.fresh++
	}
	p.byEntry[m.sender] = peerState{message: m, receivedAt: now}
	p.addServers(m.servers, 1)
	if expiry := now.Add(messageTTL); p.fresh == 1 || expiry.Before(p.expiresAt) {
		p.expiresAt = expiry
	}
	return true
}

// addServers adds the load that an entry reports, or removes it if sign is -1.
func (p *peerUsage) addServers(servers map[uint64]usage, sign int) {
	for hash, u := range servers {
		if u.slowdown > 0 {
			p.slowdowns = nil
		}
		t := p.totals[hash]
		t.add(u, sign)
		t.reports += sign
		if t.reports == 0 {
			delete(p.totals, hash)
			continue
		}
		p.totals[hash] = t
	}
}

// expire removes the load of the entries that have become silent.
func (p *peerUsage) expire(now time.Time) {
	if p.fresh == 0 || !now.After(p.expiresAt) {
		return
	}
	p.expiresAt = now.Add(messageTTL)
	for name, e := range p.byEntry {
		if e.silent {
			continue
		}
		if now.Sub(e.receivedAt) > messageTTL {
			p.addServers(e.servers, -1)
			e.servers, e.silent = nil, true
			p.byEntry[name] = e
			p.fresh--
		} else if expiry := e.receivedAt.Add(messageTTL); expiry.Before(p.expiresAt) {
			p.expiresAt = expiry
		}
	}
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
func (p *peerUsage) freshCount(now time.Time) int {
	p.expire(now)
	return p.fresh
}

// usageOf returns the load that all other entries have in progress on a
// server.
func (p *peerUsage) usageOf(now time.Time, id string) usage {
	p.expire(now)
	if p.slowdowns == nil {
		p.computeSlowdowns()
	}
	hash := serverHash(id)
	u := p.totals[hash].usage
	u.slowdown = p.slowdowns[hash]
	return u
}

func (p *peerUsage) computeSlowdowns() {
	p.slowdowns = map[uint64]float64{}
	for _, e := range p.byEntry {
		for hash, u := range e.servers {
			if u.slowdown > 0 {
				p.slowdowns[hash] = max(p.slowdowns[hash], u.slowdown)
			}
		}
	}
}
