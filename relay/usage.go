package relay

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
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

// usageMessage is one entry's usage of all servers, as entries tell each other
// a few times a second. It states all of it, so a lost message does no harm.
type usageMessage struct {
	// entry is the sender, born the start of its process and sequence the number
	// of its messages since.
	entry          string
	born, sequence int64
	// servers are keyed by the hash of the server's name, which is shorter.
	servers map[uint64]usage
}

// usageVersion begins every message; a program version that does not know it ignores the message.
const usageVersion = 1

func serverHash(id string) uint64 { return xxhash.Sum64String(id) }

// linkID stands for the link between two zones where a server's name is
// expected; no server's name has a space. Both directions share a link.
func linkID(from, to string) string {
	if to < from {
		from, to = to, from
	}
	return "link " + from + " " + to
}

// linkMemory is the time constant over which the bytes on a link are averaged.
const linkMemory = time.Second

// rateMeter is a moving average of bytes per second.
type rateMeter struct {
	rate float64
	at   time.Time
}

func (m *rateMeter) add(now time.Time, bytes float64) {
	m.rate = m.value(now) + bytes/linkMemory.Seconds()
	m.at = now
}

func (m *rateMeter) value(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/linkMemory.Seconds())
}

func (m usageMessage) encode() []byte {
	out := []byte{usageVersion, byte(len(m.entry))}
	out = append(out, m.entry...)
	out = binary.AppendVarint(out, m.born)
	out = binary.AppendVarint(out, m.sequence)
	for hash, u := range m.servers {
		out = binary.BigEndian.AppendUint64(out, hash)
		for _, n := range []uint64{uint64(u.requests), uint64(u.heads), uint64(u.tokens), uint64(u.layerTokens)} {
			out = binary.AppendUvarint(out, n)
		}
		out = binary.BigEndian.AppendUint32(out, math.Float32bits(float32(u.rate)))
		out = binary.BigEndian.AppendUint32(out, math.Float32bits(float32(u.slowdown)))
	}
	return out
}

var errMessage = errors.New("not a message of another entry")

func decodeUsage(text []byte) (usageMessage, error) {
	m := usageMessage{servers: map[uint64]usage{}}
	if len(text) < 2 || text[0] != usageVersion || len(text) < 2+int(text[1]) {
		return m, errMessage
	}
	m.entry = string(text[2 : 2+int(text[1])])
	rest := text[2+int(text[1]):]
	var ok bool
	if m.born, rest, ok = cutVarint(rest); !ok {
		return m, errMessage
	}
	if m.sequence, rest, ok = cutVarint(rest); !ok {
		return m, errMessage
	}
	for len(rest) > 0 {
		if rest, ok = m.decodeServer(rest); !ok {
			return m, errMessage
		}
	}
	return m, nil
}

func cutVarint(text []byte) (int64, []byte, bool) {
	n, size := binary.Varint(text)
	if size <= 0 {
		return 0, nil, false
	}
	return n, text[size:], true
}

func (m usageMessage) decodeServer(text []byte) ([]byte, bool) {
	const hashBytes = 8
	if len(text) < hashBytes {
		return nil, false
	}
	hash := binary.BigEndian.Uint64(text)
	text = text[hashBytes:]
	var numbers [4]uint64
	for i := range numbers {
		n, size := binary.Uvarint(text)
		if size <= 0 {
			return nil, false
		}
		numbers[i], text = n, text[size:]
	}
	const floatBytes = 4
	if len(text) < 2*floatBytes {
		return nil, false
	}
	m.servers[hash] = usage{
		requests: int(numbers[0]), heads: int(numbers[1]), tokens: float64(numbers[2]), layerTokens: float64(numbers[3]),
		rate:     float64(math.Float32frombits(binary.BigEndian.Uint32(text))),
		slowdown: float64(math.Float32frombits(binary.BigEndian.Uint32(text[floatBytes:]))),
	}
	return text[2*floatBytes:], true
}

// others is what the other entries have in progress, as far as their messages
// tell. It is not safe for concurrent use.
type others struct {
	byEntry map[string]otherEntry
	total   map[uint64]usage
}

type otherEntry struct {
	usageMessage
	at time.Time
}

// usageFresh is how long a message counts. An entry that is silent for longer is
// taken as gone, and its requests with it.
const usageFresh = time.Second

func newOthers() *others { return &others{byEntry: map[string]otherEntry{}} }

// observe takes a message, unless a newer one has arrived before.
func (o *others) observe(now time.Time, m usageMessage) {
	old, known := o.byEntry[m.entry]
	if known && (m.born < old.born || m.born == old.born && m.sequence <= old.sequence) {
		return
	}
	o.byEntry[m.entry] = otherEntry{m, now}
	o.total = nil
}

// of returns what all other entries have in progress on a server.
func (o *others) of(now time.Time, id string) usage {
	for name, e := range o.byEntry {
		if now.Sub(e.at) > usageFresh && len(e.servers) > 0 {
			e.servers = nil
			o.byEntry[name] = e
			o.total = nil
		}
	}
	if o.total == nil {
		o.sum()
	}
	return o.total[serverHash(id)]
}

func (o *others) sum() {
	o.total = map[uint64]usage{}
	for _, e := range o.byEntry {
		for hash, u := range e.servers {
			t := o.total[hash]
			t.add(u, 1)
			o.total[hash] = t
		}
	}
}
