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
	// expected, and by any entry for one that refuses stages or that leaves requests
	// without an answer.
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

// Bounds of the values that other entries report, far above real ones. Sums of larger
// values would lose the smaller ones when the larger are taken away again.
const (
	maxReportedTokens      = 1e12
	maxReportedLayerTokens = 1e15
	maxReportedRate        = 1e11
	maxReportedSlowdown    = 1e6
)

// bounded returns the usage with all values within their bounds.
func (u usage) bounded() usage {
	u.tokens, u.layerTokens = boundedTo(u.tokens, maxReportedTokens), boundedTo(u.layerTokens, maxReportedLayerTokens)
	u.rate, u.slowdown = boundedTo(u.rate, maxReportedRate), boundedTo(u.slowdown, maxReportedSlowdown)
	return u
}

// boundedTo returns 0 for values that are negative or not numbers.
func boundedTo(value, limit float64) float64 {
	if !(value > 0) {
		return 0
	}
	return min(value, limit)
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
	// slowdowns are the ones reported, by server hash and entry. Few servers have any.
	slowdowns map[uint64]map[string]float64
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

// forgetAfter is how long the last message of a silent entry is kept, so that an older
// one that arrives late is not taken for a new one.
const forgetAfter = time.Minute

func newPeerUsage() *peerUsage {
	return &peerUsage{byEntry: map[string]peerState{}, totals: map[uint64]peerTotal{}, slowdowns: map[uint64]map[string]float64{}}
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
	m.spent, m.legacies = nil, nil
	p.expire(now)
	// expire may have removed the load of the previous message.
	if previous := p.byEntry[m.sender]; known && !previous.silent {
		p.addServers(previous.message, -1)
	} else {
		p.fresh++
	}
	for hash, u := range m.servers {
		m.servers[hash] = u.bounded()
	}
	p.byEntry[m.sender] = peerState{message: m, receivedAt: now}
	p.addServers(m, 1)
	if expiry := now.Add(messageTTL); p.fresh == 1 || expiry.Before(p.expiresAt) {
		p.expiresAt = expiry
	}
	return true
}

// addServers adds the load in a message, or removes it if sign is -1.
func (p *peerUsage) addServers(m message, sign int) {
	for hash, u := range m.servers {
		if u.slowdown > 0 {
			p.setSlowdown(hash, m.sender, u.slowdown, sign)
		}
		u.slowdown = 0
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

func (p *peerUsage) setSlowdown(hash uint64, sender string, slowdown float64, sign int) {
	reports := p.slowdowns[hash]
	if sign < 0 {
		delete(reports, sender)
		if len(reports) == 0 {
			delete(p.slowdowns, hash)
		}
		return
	}
	if reports == nil {
		reports = map[string]float64{}
		p.slowdowns[hash] = reports
	}
	reports[sender] = slowdown
}

// expire removes the load of the entries that have become silent.
func (p *peerUsage) expire(now time.Time) {
	if p.fresh == 0 || !now.After(p.expiresAt) {
		return
	}
	p.expiresAt = now.Add(messageTTL)
	for name, e := range p.byEntry {
		if e.silent {
			if now.Sub(e.receivedAt) > forgetAfter {
				delete(p.byEntry, name)
			}
			continue
		}
		if now.Sub(e.receivedAt) > messageTTL {
			p.addServers(e.message, -1)
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
	hash := serverHash(id)
	u := p.totals[hash].usage
	for _, slowdown := range p.slowdowns[hash] {
		u.slowdown = max(u.slowdown, slowdown)
	}
	return u
}
