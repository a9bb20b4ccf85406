package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against values that change between encoding and decoding, and against
// a truncated or foreign datagram that crashes the process.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message{
			sender: rapid.StringMatching(`[a-z0-9-]{1,30}`).Draw(t, "entry"), startNanos: rapid.Int64().Draw(t, "born"),
			sequence: rapid.Int64().Draw(t, "sequence"), servers: map[uint64]usage{},
		}
		for range rapid.IntRange(0, 50).Draw(t, "servers") {
			m.servers[rapid.Uint64().Draw(t, "hash")] = usage{
				requests: rapid.IntRange(0, 500).Draw(t, "requests"), usedSlots: rapid.IntRange(0, 500).Draw(t, "heads"),
				tokens: float64(rapid.IntRange(0, 1<<30).Draw(t, "tokens")), layerTokens: float64(rapid.IntRange(0, 1<<40).Draw(t, "layerTokens")),
				rate:     float64(rapid.Float32Range(0, 1e10).Draw(t, "rate")),
				slowdown: float64(rapid.Float32Range(0, 100).Draw(t, "slowdown")),
			}
		}
		m.revision, m.term = rapid.Int64().Draw(t, "revision"), rapid.Int64().Draw(t, "term")
		m.watchAge = time.Duration(rapid.IntRange(0, 10000).Draw(t, "age")) * time.Millisecond
		for range rapid.IntRange(0, 4).Draw(t, "suspects") {
			m.suspects = append(m.suspects, rapid.Uint64().Draw(t, "suspect"))
		}
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			r := Record{Key: rapid.String().Draw(t, "key")}
			if value := rapid.SliceOf(rapid.Byte()).Draw(t, "value"); len(value) > 0 {
				r.Value = value
			}
			m.changes = append(m.changes, r)
		}
		data := m.encode()
		got, err := decodeMessage(data)
		assert.NilError(t, err)
		assert.Equal(t, got.sender, m.sender)
		assert.DeepEqual(t, []int64{got.startNanos, got.sequence, got.revision, got.term}, []int64{m.startNanos, m.sequence, m.revision, m.term})
		assert.Equal(t, got.watchAge, m.watchAge)
		assert.DeepEqual(t, got.changes, m.changes)
		assert.DeepEqual(t, got.suspects, m.suspects)
		assert.Equal(t, len(got.servers), len(m.servers))
		for hash, u := range m.servers {
			assert.Equal(t, got.servers[hash], u)
		}
		_, err = decodeMessage(data[:rapid.IntRange(0, len(data)-1).Draw(t, "cut")])
		assert.Assert(t, err != nil)
		_, _ = decodeMessage(rapid.SliceOf(rapid.Byte()).Draw(t, "noise"))
	})
}

// Guards against requests of a terminated entry, or of its previous process,
// that still count as load.
func TestSilentPeersAreForgotten(t *testing.T) {
	now := time.Unix(0, 0)
	p := newPeerUsage()
	newMessage := func(start, sequence int64, requests int) message {
		return message{sender: "e", startNanos: start, sequence: sequence, servers: map[uint64]usage{serverHash("s"): {requests: requests}}}
	}
	p.observe(now, newMessage(1, 5, 7))
	assert.Equal(t, p.usageOf(now, "s").requests, 7)
	p.observe(now, newMessage(1, 4, 9))
	assert.Equal(t, p.usageOf(now, "s").requests, 7)
	p.observe(now, newMessage(2, 1, 3))
	assert.Equal(t, p.usageOf(now, "s").requests, 3)
	assert.Equal(t, p.usageOf(now.Add(messageTTL), "s").requests, 3)
	later := now.Add(messageTTL + time.Millisecond)
	assert.Equal(t, p.usageOf(later, "s").requests, 0)
	p.observe(later, newMessage(1, 1, 4))
	assert.Equal(t, p.usageOf(later, "s").requests, 4)
}
