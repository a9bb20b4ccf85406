package relay

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphirefield/sapphirefield/demand"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
	"github.com/sapphirefield/sapphirefield/quarantine"
	"github.com/sapphirefield/sapphirefield/retry"
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
		m.evidence, m.demand = drawEvidence(t), drawDemand(t)
		m.spent = rapid.MapOfN(rapid.Uint64(), rapid.Map(rapid.IntRange(0, maxReportedRetries), func(n int) float64 { return float64(n) }), 0, 3).Draw(t, "spent")
		for range rapid.IntRange(0, 3).Draw(t, "legacies") {
			m.legacies = append(m.legacies, processLegacy{rapid.Uint64().Draw(t, "to"), retry.Legacy{
				Service: rapid.Uint64().Draw(t, "service"), Retries: 7, Age: time.Duration(rapid.IntRange(0, 10000).Draw(t, "legacy age")) * time.Millisecond,
			}})
		}
		m.announced = rapid.Uint64().Draw(t, "announced")
		data := m.encode(newestVersion)
		got, err := decodeMessage(data)
		assert.NilError(t, err)
		assert.Equal(t, got.sender, m.sender)
		assert.DeepEqual(t, []int64{got.startNanos, got.sequence, got.revision, got.term}, []int64{m.startNanos, m.sequence, m.revision, m.term})
		assert.Equal(t, got.watchAge, m.watchAge)
		assert.DeepEqual(t, got.changes, m.changes)
		assert.DeepEqual(t, got.suspects, m.suspects)
		assert.DeepEqual(t, got.evidence.suspicions, m.evidence.suspicions)
		assert.DeepEqual(t, got.evidence.sound, m.evidence.sound)
		assert.DeepEqual(t, got.evidence.blocks, m.evidence.blocks)
		assert.DeepEqual(t, got.spent, m.spent)
		assert.Equal(t, got.announced, m.announced)
		assert.DeepEqual(t, got.legacies, m.legacies)
		assert.Equal(t, len(got.demand), len(m.demand))
		for model, loads := range m.demand {
			assert.DeepEqual(t, got.demand[model], loads)
		}
		assert.Equal(t, len(got.servers), len(m.servers))
		for hash, u := range m.servers {
			assert.Equal(t, got.servers[hash], u)
		}
		_, err = decodeMessage(data[:rapid.IntRange(0, len(data)-1).Draw(t, "cut")])
		assert.Assert(t, err != nil)
		_, _ = decodeMessage(rapid.SliceOf(rapid.Byte()).Draw(t, "noise"))
	})
}

func drawDemand(t *rapid.T) demand.Report {
	r := demand.Report{}
	tokens := func(name string) float64 {
		return demandUnit * float64(rapid.IntRange(1, demand.MaxTokens/demandUnit).Draw(t, name))
	}
	for model := range rapid.IntRange(0, demand.MaxModels).Draw(t, "models") {
		for urgency := range rapid.IntRange(0, demand.MaxUrgencies).Draw(t, "urgencies") {
			l := demand.Load{Urgency: urgency, Waiting: tokens("waiting"), Started: tokens("started"), Refused: tokens("refused"), Denied: tokens("denied")}
			r[demand.ModelID(model)] = append(r[demand.ModelID(model)], l)
		}
	}
	return r
}

func drawEvidence(t *rapid.T) (e evidence) {
	for range rapid.IntRange(0, 3).Draw(t, "suspicions") {
		e.suspicions = append(e.suspicions, quarantine.Suspicion{
			Crash: rapid.Uint64().Draw(t, "crash"), Part: rapid.String().Draw(t, "part"), Depth: rapid.IntRange(0, 16).Draw(t, "depth"),
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "sound") {
		e.sound = append(e.sound, rapid.String().Draw(t, "part"))
	}
	for range rapid.IntRange(0, 3).Draw(t, "blocks") {
		remaining := time.Duration(rapid.IntRange(0, 1e6).Draw(t, "remaining")) * time.Millisecond
		e.blocks = append(e.blocks, quarantine.Block{Part: rapid.String().Draw(t, "part"), Remaining: remaining})
	}
	return e
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

// Guards against a herd: after a failure, all entries send prompts over the same
// link before their messages tell of it, and every stream that crosses it waits.
func TestRecentWorkOfOtherEntriesIsAssumed(t *testing.T) {
	e := newTestEntry(t, streamRoute(true))
	rev := e.current.Load()
	rev.models["llm"].ActivationBytes = 1000
	rev.links = map[[2]string]pipeline.RelayLink{{"a", "b"}: {BytesPerSecond: 4e6}}
	servers := map[string]Server{}
	for id, s := range map[string]struct {
		zone   string
		layers placement.Range
	}{"head": {"a", placement.Range{Limit: 4}}, "remote": {"b", placement.Range{First: 4, Limit: 8}}} {
		servers[id] = Server{
			Instance: membership.Instance{ID: id, Service: "llm", Zone: s.zone, Address: id + ":1"},
			Slots:    100, Accelerator: "gpu", Layers: s.layers,
		}
	}
	now := time.Now()
	e.fleet.setServers(now, servers)
	r := pipeline.RelayRequest{PromptTokens: 100, AnswerTokens: 1}
	crossings := func() (n int) {
		for range 20 {
			if _, _, err := e.fleet.choosePath(now, rev, "llm", "t", r); err == nil {
				n++
			}
		}
		return n
	}
	// Each prompt occupies the link for 25 ms.
	alone := crossings()
	assert.Equal(t, alone, 7)
	e.fleet.recent, e.fleet.linkMeters = map[string]*recentWork{}, map[string]*rateMeter{}
	for i := range 9 {
		e.fleet.applyPeerMessage(now, message{sender: string(rune('a' + i)), startNanos: 1, sequence: 1})
	}
	assert.Equal(t, crossings(), 1)
	now = now.Add(time.Second)
	assert.Equal(t, crossings(), 1)
}

// Work counts less and less, as it proceeds and messages tell of it.
func TestRecentWorkDecays(t *testing.T) {
	var r *recentWork
	now := time.Now()
	assert.Equal(t, r.own(now, time.Second), time.Duration(0))
	r = &recentWork{}
	r.add(now, 100*time.Millisecond, usageInterval)
	assert.Equal(t, r.own(now, usageInterval), 100*time.Millisecond)
	later := r.own(now.Add(usageInterval), usageInterval)
	assert.Assert(t, later > 36*time.Millisecond && later < 37*time.Millisecond, "%v", later)
}

// Guards against sums that drift from the messages behind them: entries send, fall
// silent and restart in any order, some with values that no entry has, and each choice
// of a path trusts the sums.
func TestPeerTotalsMatchMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, p := time.Unix(100, 0), newPeerUsage()
		latest := map[string]message{}
		received := map[string]time.Time{}
		for i := range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			m := message{sender: rapid.SampledFrom([]string{"e", "f", "g"}).Draw(t, "entry"), sequence: int64(i + 1), servers: map[uint64]usage{}}
			for _, id := range []string{"s", "t"} {
				if rapid.Bool().Draw(t, id) {
					m.servers[serverHash(id)] = usage{
						requests: rapid.IntRange(0, 9).Draw(t, "requests"), slowdown: float64(rapid.IntRange(0, 3).Draw(t, "slowdown")),
						tokens: float64(rapid.IntRange(0, 1e6).Draw(t, "tokens")),
						rate:   rapid.OneOf(rapid.Float64Range(0, 1), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1, math.MaxFloat32})).Draw(t, "rate"),
					}
				}
			}
			p.observe(now, m)
			latest[m.sender], received[m.sender] = m, now
			now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "silence")) * time.Millisecond)
			want, fresh := usage{}, 0
			for name, m := range latest {
				if now.Sub(received[name]) <= messageTTL {
					want.add(m.servers[serverHash("s")].bounded(), 1)
					fresh++
				}
			}
			got := p.usageOf(now, "s")
			assert.Assert(t, math.Abs(got.rate-want.rate) < 0.01, "%v, want %v", got.rate, want.rate)
			got.rate, want.rate = 0, 0
			assert.Equal(t, got, want)
			assert.Equal(t, p.freshCount(now), fresh)
		}
	})
}
