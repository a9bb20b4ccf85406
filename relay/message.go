package relay

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"
)

// message is what one entry tells the others a few times a second. It states
// everything anew, so a lost message does no harm.
type message struct {
	// entry is the sender, born the start of its process and sequence the number
	// of its messages since.
	entry                string
	startNanos, sequence int64
	// revision is the sender's configuration, term the lease that it holds, or 0.
	revision, term int64
	// watchAge is how long ago the sender last read the servers' records, as far
	// as it reads them often; otherwise it is notWatching.
	watchAge time.Duration
	// servers is what the sender has in progress, by the hash of the server's
	// name, which is shorter.
	servers map[uint64]usage
	// suspects are servers that were just named as the cause of a refusal, by the
	// hash of their names.
	suspects []uint64
	// changes are servers' records that have changed in a way that matters. Each is
	// sent several times.
	changes []Record
}

// notWatching is the age of a watch that is not kept.
const notWatching = time.Hour

// messageVersion begins every message; a program version that does not know it ignores the message.
const messageVersion = 3

var errMalformedMessage = errors.New("not a message of another entry")

func (m message) encode() []byte {
	out := []byte{messageVersion}
	out = appendBytes(out, []byte(m.entry))
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
	return out
}

func appendBytes(out, text []byte) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

func appendUsage(out []byte, u usage) []byte {
	for _, n := range []uint64{uint64(u.requests), uint64(u.heads), uint64(u.tokens), uint64(u.layerTokens)} {
		out = binary.AppendUvarint(out, n)
	}
	out = binary.BigEndian.AppendUint32(out, math.Float32bits(float32(u.rate)))
	return binary.BigEndian.AppendUint32(out, math.Float32bits(float32(u.slowdown)))
}

func decodeMessage(text []byte) (message, error) {
	if len(text) == 0 || text[0] != messageVersion {
		return message{}, errMalformedMessage
	}
	r := &messageReader{rest: text[1:]}
	m := message{entry: string(r.bytes()), servers: map[uint64]usage{}}
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
	if r.failed || len(r.rest) > 0 {
		return message{}, errMalformedMessage
	}
	return m, nil
}

// messageReader cuts values off a message. After the first value that is cut
// short, bad is set and all further values are zero.
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

// count returns a number of values that follow, each of at least one byte.
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
	if text := r.takeBytes(size); text != nil {
		return binary.BigEndian.Uint64(text)
	}
	return 0
}

func (r *messageReader) float32() float64 {
	const size = 4
	if text := r.takeBytes(size); text != nil {
		return float64(math.Float32frombits(binary.BigEndian.Uint32(text)))
	}
	return 0
}

func (r *messageReader) usage() usage {
	return usage{
		requests: int(r.uvarint()), heads: int(r.uvarint()), tokens: float64(r.uvarint()), layerTokens: float64(r.uvarint()),
		rate: r.float32(), slowdown: r.float32(),
	}
}
