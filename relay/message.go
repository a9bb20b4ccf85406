package relay

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/demand"
	"github.com/sapphirefield/sapphirefield/quarantine"
	"github.com/sapphirefield/sapphirefield/ratelimit"
	"github.com/sapphirefield/sapphirefield/retry"
)

// message is the state that an entry sends to the others a few times per
// second. Each message is a full state, so a lost one does no harm.
type message struct {
	// version is the version in which the message was received.
	version int
	// sender is the sender, startNanos the start time of its process, and sequence
	// the number of the message since then.
	sender               string
	startNanos, sequence int64
	// revision is the sender's configuration revision. term is the term of the lease
	// that it holds, the negative of the last one that it has released, or 0.
	revision, term int64
	// watchAge is the time since the sender last read the servers' records if it is
	// the watcher; otherwise it is notWatching.
	watchAge time.Duration
	// servers is the load that the sender has in progress, by the hash of the
	// server's ID, which is shorter than the ID.
	servers map[uint64]usage
	// suspects are servers that were recently named as the cause of a refusal, by
	// the hash of their IDs.
	suspects []uint64
	// changes are servers' records with relevant changes. Each one is sent several
	// times.
	changes []Record
	// evidence is about prompt parts that crash engines.
	evidence evidence
	// limits are the rate limits that servers have stated to the sender lately.
	limits []ratelimit.Report
	// wants are the processes of servers with rate limits at which the sender has more
	// work than slots, and gifts the slots that it leaves to others.
	wants []uint64
	gifts []ratelimit.Gift
	// demand is the work that waits at the sender, was started and was refused.
	demand demand.Report
	// spent is what the sender has taken out of the retry budgets, and legacies what it has
	// heard that earlier processes of entries had.
	spent    retry.Spending
	legacies []processLegacy
	// announced counts the servers' changes that the sender has sent as the watcher.
	announced uint64
}

// processLegacy is what earlier processes of an entry had spent, for its process now.
type processLegacy struct {
	To uint64
	retry.Legacy
}

// notWatching is the watchAge of an entry that is not the watcher.
const notWatching = time.Hour

const (
	// messageVersion is the first byte of every message. A receiver that does not
	// know the version ignores the message.
	messageVersion = 5
	// demandVersion is the version of messages that end with a report of demand. They
	// are sent only to entries that read them.
	demandVersion = 6
	// spendingVersion is the version of messages that also end with what was taken out of
	// the retry budgets. All messages to entries that read it have it.
	spendingVersion = 7
	// newestVersion is the newest version that this program reads.
	newestVersion = spendingVersion
	// maxReportedRetries bounds the retries that other entries report, far above real ones.
	maxReportedRetries = 1e6
	// demandUnit is the number of tokens in which demand is stated.
	demandUnit = 16
)

var errMalformedMessage = errors.New("malformed message from another entry")

// encode encodes the message in a version that an entry reads: an older one gets it
// without the demand or without what was taken out of the retry budgets.
func (m message) encode(version int) []byte {
	if version >= spendingVersion {
		return m.appendSpending(appendDemand(m.appendState([]byte{spendingVersion}), m.demand))
	}
	if version < demandVersion || len(m.demand) == 0 {
		return m.appendState([]byte{messageVersion})
	}
	return appendDemand(m.appendState([]byte{demandVersion}), m.demand)
}

func (m message) appendState(out []byte) []byte {
	out = appendBytes(out, []byte(m.sender))
	for _, n := range []int64{m.startNanos, m.sequence, m.revision, m.term, m.watchAge.Milliseconds()} {
		out = binary.AppendVarint(out, n)
	}
	out = binary.AppendUvarint(out, uint64(len(m.servers)))
	for hash, u := range m.servers {
		out = appendUsage(binary.BigEndian.AppendUint64(out, hash), u)
	}
	out = binary.AppendUvarint(out, uint64(len(m.suspects)))
	for _, hash := range m.suspects {
		out = binary.BigEndian.AppendUint64(out, hash)
	}
	out = binary.AppendUvarint(out, uint64(len(m.changes)))
	for _, r := range m.changes {
		out = appendBytes(appendBytes(out, []byte(r.Key)), r.Value)
	}
	out = m.evidence.append(out)
	out = binary.AppendUvarint(out, uint64(len(m.limits)))
	for _, r := range m.limits {
		out = binary.BigEndian.AppendUint64(out, r.Process)
		out = binary.BigEndian.AppendUint64(out, math.Float64bits(r.Rate))
		out = binary.AppendUvarint(out, uint64(r.Age.Milliseconds()))
	}
	out = binary.AppendUvarint(out, uint64(len(m.wants)))
	for _, process := range m.wants {
		out = binary.BigEndian.AppendUint64(out, process)
	}
	out = binary.AppendUvarint(out, uint64(len(m.gifts)))
	for _, g := range m.gifts {
		out = binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(out, g.To), g.Process)
		out = binary.AppendUvarint(binary.AppendUvarint(out, g.Number), uint64(max(g.Left, 0).Milliseconds()))
	}
	return out
}

func (e evidence) append(out []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(e.suspicions)))
	for _, s := range e.suspicions {
		out = appendBytes(binary.BigEndian.AppendUint64(out, s.Crash), []byte(s.Part))
		out = binary.AppendVarint(out, int64(s.Depth))
	}
	out = binary.AppendUvarint(out, uint64(len(e.sound)))
	for _, part := range e.sound {
		out = appendBytes(out, []byte(part))
	}
	out = binary.AppendUvarint(out, uint64(len(e.blocks)))
	for _, b := range e.blocks {
		out = binary.AppendUvarint(appendBytes(out, []byte(b.Part)), uint64(b.Remaining.Milliseconds()))
	}
	return out
}

func appendDemand(out []byte, report demand.Report) []byte {
	out = binary.AppendUvarint(out, uint64(len(report)))
	for _, model := range report.Models() {
		out = binary.BigEndian.AppendUint32(out, uint32(model))
		out = binary.AppendUvarint(out, uint64(len(report[model])))
		for _, l := range report[model] {
			out = binary.AppendUvarint(out, uint64(l.Urgency))
			for _, tokens := range []float64{l.Waiting, l.Started, l.Refused, l.Denied} {
				out = binary.AppendUvarint(out, uint64(math.Round(tokens/demandUnit)))
			}
		}
	}
	return out
}

func (m message) appendSpending(out []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(m.spent)))
	for service, retries := range m.spent {
		out = appendRetries(binary.BigEndian.AppendUint64(out, service), retries)
	}
	out = binary.AppendUvarint(out, uint64(len(m.legacies)))
	for _, l := range m.legacies {
		out = appendRetries(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(out, l.To), l.Service), l.Retries)
		out = binary.AppendUvarint(out, uint64(max(l.Age, 0).Milliseconds()))
	}
	return binary.AppendUvarint(out, m.announced)
}

func appendRetries(out []byte, retries float64) []byte {
	return binary.AppendUvarint(out, uint64(math.Ceil(min(retries, maxReportedRetries))))
}

func appendBytes(out, data []byte) []byte {
	return append(binary.AppendUvarint(out, uint64(len(data))), data...)
}

func appendUsage(out []byte, u usage) []byte {
	for _, n := range []uint64{uint64(u.requests), uint64(u.usedSlots), uint64(u.tokens), uint64(u.layerTokens)} {
		out = binary.AppendUvarint(out, n)
	}
	out = binary.BigEndian.AppendUint32(out, math.Float32bits(float32(u.rate)))
	return binary.BigEndian.AppendUint32(out, math.Float32bits(float32(u.slowdown)))
}

func decodeMessage(data []byte) (message, error) {
	if len(data) == 0 || data[0] < messageVersion || data[0] > newestVersion {
		return message{}, errMalformedMessage
	}
	r := &messageReader{rest: data[1:]}
	m := message{version: int(data[0]), sender: string(r.bytes()), servers: map[uint64]usage{}}
	m.startNanos, m.sequence, m.revision, m.term = r.varint(), r.varint(), r.varint(), r.varint()
	m.watchAge = time.Duration(r.varint()) * time.Millisecond
	for n := r.count(); n > 0 && !r.failed; n-- {
		hash := r.uint64()
		m.servers[hash] = r.usage()
	}
	for n := r.count(); n > 0 && !r.failed; n-- {
		m.suspects = append(m.suspects, r.uint64())
	}
	for n := r.count(); n > 0 && !r.failed; n-- {
		record := Record{Key: string(r.bytes())}
		if value := r.bytes(); len(value) > 0 {
			record.Value = append([]byte(nil), value...)
		}
		m.changes = append(m.changes, record)
	}
	m.evidence = r.evidence()
	for n := r.count(); n > 0 && !r.failed; n-- {
		m.limits = append(m.limits, ratelimit.Report{Process: r.uint64(), Rate: math.Float64frombits(r.uint64()), Age: time.Duration(r.uvarint()) * time.Millisecond})
	}
	for n := r.count(); n > 0 && !r.failed; n-- {
		m.wants = append(m.wants, r.uint64())
	}
	for n := r.count(); n > 0 && !r.failed; n-- {
		m.gifts = append(m.gifts, ratelimit.Gift{To: r.uint64(), Process: r.uint64(), Number: r.uvarint(), Left: time.Duration(r.uvarint()) * time.Millisecond})
	}
	if m.version >= demandVersion {
		m.demand = r.demand()
	}
	if m.version >= spendingVersion {
		m.spent, m.legacies, m.announced = r.spending(), r.legacies(), r.uvarint()
	}
	if r.failed || len(r.rest) > 0 {
		return message{}, errMalformedMessage
	}
	return m, nil
}

// messageReader decodes values from a message. After the first truncated
// value, failed is set and all further values are zero.
type messageReader struct {
	rest   []byte
	failed bool
}

func (r *messageReader) takeBytes(n int) []byte {
	if r.failed || n < 0 || n > len(r.rest) {
		r.failed = true
		return nil
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

func (r *messageReader) varint() int64 {
	n, size := binary.Varint(r.rest)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.takeBytes(size)
	return n
}

func (r *messageReader) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.takeBytes(size)
	return n
}

// count returns the number of values that follow, each of at least one byte.
func (r *messageReader) count() int {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.failed = true
		return 0
	}
	return int(n)
}

func (r *messageReader) bytes() []byte { return r.takeBytes(r.count()) }

func (r *messageReader) uint64() uint64 {
	const size = 8
	if data := r.takeBytes(size); data != nil {
		return binary.BigEndian.Uint64(data)
	}
	return 0
}

func (r *messageReader) uint32() uint32 {
	const size = 4
	if data := r.takeBytes(size); data != nil {
		return binary.BigEndian.Uint32(data)
	}
	return 0
}

func (r *messageReader) float32() float64 {
	return float64(math.Float32frombits(r.uint32()))
}

// demand reads a report. One that exceeds the bounds of reports is malformed.
func (r *messageReader) demand() demand.Report {
	report := demand.Report{}
	models := r.count()
	r.failed = r.failed || models > demand.MaxModels
	for ; models > 0 && !r.failed; models-- {
		model := demand.ModelID(r.uint32())
		urgencies := r.count()
		_, twice := report[model]
		r.failed = r.failed || urgencies > demand.MaxUrgencies || twice
		for ; urgencies > 0 && !r.failed; urgencies-- {
			report[model] = append(report[model], demand.Load{
				Urgency: int(min(r.uvarint(), demand.MaxUrgency)), Waiting: r.demandTokens(), Started: r.demandTokens(),
				Refused: r.demandTokens(), Denied: r.demandTokens(),
			})
		}
	}
	return report
}

func (r *messageReader) demandTokens() float64 {
	tokens := float64(r.uvarint()) * demandUnit
	r.failed = r.failed || tokens > demand.MaxTokens
	return tokens
}

func (r *messageReader) spending() retry.Spending {
	spent := retry.Spending{}
	for n := r.count(); n > 0 && !r.failed; n-- {
		service := r.uint64()
		spent[service] = r.retries()
	}
	return spent
}

func (r *messageReader) legacies() (legacies []processLegacy) {
	for n := r.count(); n > 0 && !r.failed; n-- {
		legacies = append(legacies, processLegacy{r.uint64(), retry.Legacy{Service: r.uint64(), Retries: r.retries(), Age: r.age()}})
	}
	return legacies
}

func (r *messageReader) retries() float64 { return float64(min(r.uvarint(), maxReportedRetries)) }

// age reads a time span in milliseconds. An hour or more is long past for all uses.
func (r *messageReader) age() time.Duration {
	return time.Duration(min(r.uvarint(), uint64(time.Hour.Milliseconds()))) * time.Millisecond
}

func (r *messageReader) usage() usage {
	return usage{
		requests: int(r.uvarint()), usedSlots: int(r.uvarint()), tokens: float64(r.uvarint()), layerTokens: float64(r.uvarint()),
		rate: r.float32(), slowdown: r.float32(),
	}
}

func (r *messageReader) evidence() (e evidence) {
	for n := r.count(); n > 0 && !r.failed; n-- {
		e.suspicions = append(e.suspicions, quarantine.Suspicion{Crash: r.uint64(), Part: string(r.bytes()), Depth: int(r.varint())})
	}
	for n := r.count(); n > 0 && !r.failed; n-- {
		e.sound = append(e.sound, string(r.bytes()))
	}
	for n := r.count(); n > 0 && !r.failed; n-- {
		e.blocks = append(e.blocks, quarantine.Block{Part: string(r.bytes()), Remaining: time.Duration(r.uvarint()) * time.Millisecond})
	}
	return e
}
