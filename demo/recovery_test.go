package demo

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/standin"
)

// TestMain starts the ticker of go-metrics, which lives as long as the
// process, outside of any synctest bubble.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	m.Run()
}

const testPrompt = "Summarize the billet requirements of tender 12."

// testCluster runs a cluster on an in-memory network inside a synctest bubble.
func testCluster(t *testing.T, opts ClusterOptions) (*Cluster, *Client) {
	t.Helper()
	opts.Network = standin.NewNetwork()
	cluster, err := Start(t.Context(), opts)
	assert.NilError(t, err)
	client := &Client{URL: cluster.URL, Key: Key, HTTP: cluster.HTTPClient()}
	t.Cleanup(func() {
		client.HTTP.CloseIdleConnections()
		cluster.Stop()
	})
	return cluster, client
}

// hangCase names what hangs while a request uses a chain.
type hangCase struct {
	name string
	// engines and sidecars are the positions in the chain that hang.
	engines, sidecars []int
}

var hangCases = []hangCase{
	{name: "first engine", engines: []int{0}},
	{name: "middle engine", engines: []int{1}},
	{name: "last engine", engines: []int{2}},
	{name: "two engines", engines: []int{0, 2}},
	{name: "first sidecar", sidecars: []int{0}},
	{name: "middle sidecar", sidecars: []int{1}},
	{name: "last sidecar", sidecars: []int{2}},
	{name: "two sidecars", sidecars: []int{1, 2}},
	{name: "engine and sidecar", engines: []int{0}, sidecars: []int{2}},
	{name: "all engines of the chain", engines: []int{0, 1, 2}},
}

// hangOptions is a cluster with enough copies to replace two stages.
func hangOptions() ClusterOptions {
	return ClusterOptions{Stages: 3, Replicas: 3, StepTime: 2 * time.Millisecond}
}

func (h hangCase) apply(c *Cluster) {
	for _, stage := range h.engines {
		c.Node(c.ActiveEngine(stage)).Engine.Hang()
	}
	for _, stage := range h.sidecars {
		c.opts.Network.Hang(c.ActiveEngine(stage))
	}
}

const hangAt = 40

// Guards against a stage that hangs without closing its connections: the
// answer must stay exact, the gap under a second of the bubble's exact clock,
// and the work no more than one replay.
func TestHungStage(t *testing.T) {
	for _, h := range hangCases {
		t.Run(h.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster, client := testCluster(t, hangOptions())
				answer, err := complete(t.Context(), client, testPrompt, func(n int) {
					if n == hangAt {
						h.apply(cluster)
					}
				})
				assert.NilError(t, err)
				t.Log("longest gap", answer.LongestGap)
				assert.Assert(t, answer.LongestGap < time.Second, "gap was %s", answer.LongestGap)
				assertOneReplay(t, cluster, answer.Tokens)
			})
		})
	}
}

// Guards the case of a chain with one stage, which has no neighbour to notice a hang.
func TestHungOnlyStage(t *testing.T) {
	for _, h := range []hangCase{{name: "engine", engines: []int{0}}, {name: "sidecar", sidecars: []int{0}}} {
		t.Run(h.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster, client := testCluster(t, ClusterOptions{Stages: 1, Replicas: 2, StepTime: 2 * time.Millisecond})
				answer, err := complete(t.Context(), client, testPrompt, func(n int) {
					if n == hangAt {
						h.apply(cluster)
					}
				})
				assert.NilError(t, err)
				assert.Assert(t, answer.LongestGap < time.Second, "gap was %s", answer.LongestGap)
				assertOneReplay(t, cluster, answer.Tokens)
			})
		})
	}
}

// assertOneReplay checks that no layer ran more often than the answer and one
// replay of what had been generated need. The few steps that were on their way
// when the stage hung come on top.
func assertOneReplay(t *testing.T, c *Cluster, tokens int) {
	t.Helper()
	const onTheWay = 3
	runs := c.layerRuns()
	limit := int64(Layers * (tokens + hangAt + onTheWay))
	assert.Assert(t, runs <= limit, "layers ran %d times, want at most %d", runs, limit)
}

func (c *Cluster) layerRuns() int64 {
	var runs int64
	for _, n := range c.Nodes {
		runs += n.Engine.LayerExecutions()
	}
	return runs
}

// Guards against giving up an engine that is slow but alive: a prompt that
// takes many times longer than any iteration before it must run once.
func TestLongPromptIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, ClusterOptions{
			Stages: 2, Replicas: 2, StepTime: 2 * time.Millisecond, PrefillTimePerByte: time.Millisecond,
		})
		_, err := complete(t.Context(), client, "short", nil)
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = complete(ctx, client, strings.Repeat("long ", 2000), nil)
		assert.NilError(t, err)
		assert.Equal(t, cluster.Entry.Recoveries(), int64(0))
	})
}
