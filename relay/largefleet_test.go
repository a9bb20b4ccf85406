package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

// largeFleet returns a model, a configuration and the servers of a fleet of n engines
// of several kinds in three zones, with the layers of a first plan.
func largeFleet(t testing.TB, n int) (*revision, map[string]Server) {
	t.Helper()
	kinds := []config.Accelerator{
		{Kind: "large", MemoryBytes: 72e9, StepFactor: 1.4}, {Kind: "fast", MemoryBytes: 36e9, StepFactor: 3.1, PromptFactor: 3.2},
		{Kind: "middle", MemoryBytes: 22e9, StepFactor: 16, PromptFactor: 8.2}, {Kind: "small", MemoryBytes: 14e9, StepFactor: 15, PromptFactor: 15},
	}
	shares := []int{1, 5, 26, 26}
	zones := []string{"a", "b", "c"}
	model := config.Model{
		Name: "m", Layers: 80, BytesPerLayer: 1750e6, ActivationBytes: 8192, KVBytesPerTokenLayer: 4096, StepTime: 850 * time.Microsecond,
		PromptTokensPerSecond: 353e3, PromptTokens: 780, AnswerTokens: 150, LoadTime: 20 * time.Second, ConcurrentLoads: 9,
	}
	document := config.Document{Models: []config.Model{model}, Accelerators: kinds}
	for _, from := range zones {
		for _, to := range zones {
			if from != to {
				document.Links = append(document.Links, config.Link{From: from, To: to, Latency: time.Millisecond, BytesPerSecond: 310e6})
			}
		}
	}
	rev := newRevision(Configuration{Document: &document})
	var kindOf []int
	for k, share := range shares {
		for range share {
			kindOf = append(kindOf, k)
		}
	}
	servers, engines := map[string]Server{}, make([]placement.RelayEngine, 0, n)
	for i := range n {
		kind := kinds[kindOf[i%len(kindOf)]]
		id := fmt.Sprintf("engine-%04d", i)
		zone := zones[(i/len(kindOf)+i)%len(zones)]
		servers[id] = Server{
			Instance:        membership.Instance{ID: id, Service: "m", Zone: zone, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)},
			StartTimeMillis: 1, HeartbeatCount: 1, Slots: 192, Accelerator: kind.Kind,
		}
		engines = append(engines, placement.RelayEngine{Name: id, Zone: zone, MemoryBytes: kind.MemoryBytes, StepFactor: kind.StepFactor})
	}
	assignments, err := placement.PlanRelay(engines, placementModel(&model), rev.relayOptions(&model))
	assert.NilError(t, err)
	for _, a := range assignments {
		s := servers[a.Engine]
		s.Layers = a.Range
		servers[a.Engine] = s
	}
	return rev, servers
}

// loadedFleet returns the view of an entry among others that all have requests in
// progress.
func loadedFleet(t testing.TB, now time.Time, engines, entries int) (*fleet, *revision) {
	t.Helper()
	rev, servers := largeFleet(t, engines)
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	f.setServers(now, servers)
	ids := make([]string, 0, len(servers))
	for id := range servers {
		ids = append(ids, id)
	}
	random := rand.New(rand.NewPCG(3, 4))
	for entry := range entries - 1 {
		m := message{sender: fmt.Sprintf("entry-%03d", entry), startNanos: 1, sequence: 1, servers: map[uint64]usage{}, watchAge: notWatching}
		for range 200 {
			m.servers[serverHash(ids[random.IntN(len(ids))])] = usage{requests: 1, tokens: 900, layerTokens: 9000, rate: 0.01}
		}
		f.applyPeerMessage(now, m)
	}
	return f, rev
}

var benchmarkRequest = pipeline.RelayRequest{PromptTokens: 800, AnswerTokens: 150}

func BenchmarkChoosePath(b *testing.B) {
	for _, size := range []struct{ engines, entries int }{{58, 24}, {301, 33}, {998, 97}, {2998, 299}} {
		b.Run(fmt.Sprintf("%dengines", size.engines), func(b *testing.B) {
			now := time.Now()
			f, rev := loadedFleet(b, now, size.engines, size.entries)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				_, reserved, err := f.choosePath(now, rev, "m", "team", benchmarkRequest)
				if err != nil {
					b.Fatal(err)
				}
				reserved.release()
			}
		})
	}
}

func BenchmarkSetServers(b *testing.B) {
	now := time.Now()
	f, _ := loadedFleet(b, now, 2998, 299)
	servers := f.snapshot()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.setServers(now, servers)
	}
}
