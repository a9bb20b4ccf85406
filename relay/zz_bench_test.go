package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

func benchFleet() (*fleet, *revision) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	rev := newRevision(Configuration{Document: &config.Document{
		Accelerators: []config.Accelerator{{Kind: "l4", MemoryBytes: 21600e6, StepFactor: 16, PromptFactor: 8}},
		Models:       []config.Model{{Name: "llm", Layers: 80, BytesPerLayer: 1750e6, KVBytesPerTokenLayer: 4100, StepTime: time.Millisecond, PromptTokensPerSecond: 353000, ActivationBytes: 16400}},
		Links: []config.Link{{From: "a", To: "b", BytesPerSecond: 3e8}, {From: "b", To: "c", BytesPerSecond: 3e8}, {From: "a", To: "c", BytesPerSecond: 3e8}},
	}})
	servers := map[string]Server{}
	for i := range 58 {
		id := fmt.Sprintf("i-%08d", i)
		first := (i * 8) % 80
		servers[id] = Server{Instance: membership.Instance{ID: id, Service: "llm", Address: id, Zone: string(rune(97 + i%3))}, Accelerator: "l4", Layers: placement.Range{First: first, Limit: first + 8}, Slots: 192}
	}
	f.setServers(time.Now(), servers)
	for p := range 40 {
		m := message{sender: fmt.Sprint("e", p), sequence: 1, servers: map[uint64]usage{}}
		for id := range servers {
			m.servers[serverHash(id)] = usage{requests: 2, tokens: 1000, layerTokens: 8000}
		}
		f.applyPeerMessage(time.Now(), m)
	}
	return f, rev
}

func BenchmarkChoosePath(b *testing.B) {
	f, rev := benchFleet()
	r := pipeline.RelayRequest{PromptTokens: 800, AnswerTokens: 144}
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		f.peers.total = nil
		for n, e := range f.peers.byEntry {
			e.receivedAt = now
			f.peers.byEntry[n] = e
		}
		_, res, err := f.choosePath(now, rev, "llm", "t", r)
		if err != nil {
			b.Fatal(err)
		}
		res.release()
	}
}

func BenchmarkMessage(b *testing.B) {
	f, _ := benchFleet()
	m := message{sender: "me", servers: f.peers.byEntry["e1"].servers}
	data := m.encode()
	b.ReportAllocs()
	for b.Loop() {
		x, err := decodeMessage(data)
		if err != nil {
			b.Fatal(err)
		}
		x.sequence++
		f.applyPeerMessage(time.Now(), x)
	}
}
