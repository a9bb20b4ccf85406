package demo

import (
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/standin"
)

// BenchmarkHungStage reports the longest gap between two tokens when a stage
// hangs, in real time. Run it with a fixed count: -benchtime 20x.
func BenchmarkHungStage(b *testing.B) {
	for _, h := range hangCases {
		b.Run(h.name, func(b *testing.B) {
			var gaps []time.Duration
			for range b.N {
				gaps = append(gaps, longestGapAfterHang(b, h))
			}
			sort.Slice(gaps, func(i, j int) bool { return gaps[i] < gaps[j] })
			b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-gap-ms")
			b.ReportMetric(float64(gaps[(len(gaps)*95+99)/100-1].Milliseconds()), "p95-gap-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func longestGapAfterHang(b *testing.B, h hangCase) time.Duration {
	b.Helper()
	opts := hangOptions()
	opts.Network = standin.NewNetwork()
	cluster, err := Start(b.Context(), opts)
	assert.NilError(b, err)
	defer cluster.Stop()
	client := &Client{URL: cluster.URL, Key: Key, HTTP: cluster.HTTPClient()}
	defer client.HTTP.CloseIdleConnections()
	answer, err := complete(b.Context(), client, testPrompt, func(n int) {
		if n == hangToken {
			h.apply(cluster)
		}
	})
	assert.NilError(b, err)
	return answer.LongestGap
}
