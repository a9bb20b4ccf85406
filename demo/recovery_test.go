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

// TestMain starts the process-wide ticker of go-metrics outside of any synctest
// bubble.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	m.Run()
}

const testPrompt = "Summarize the billet requirements of tender 12."

// testCluster starts a cluster on an in-memory network, for use inside a synctest
// bubble.
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

// hangCase names the engines and sidecars of a chain that hang during a request.
type hangCase struct {
	name string
	// engines and sidecars are positions in the chain.
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

// hangOptions returns the options of a cluster with enough replicas to replace two
// stages.
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

const hangToken = 40

// Guards against a stage that hangs without closing its connections: the
// completion must stay exact, the gap must stay under one second of the bubble's
// clock, and at most one replay may happen.
func TestHungStage(t *testing.T) {
	for _, h := range hangCases {
		t.Run(h.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster, client := testCluster(t, hangOptions())
				answer, err := complete(t.Context(), client, testPrompt, func(n int) {
					if n == hangToken {
						h.apply(cluster)
					}
				})
				assert.NilError(t, err)
				t.Log("longest gap", answer.LongestGap)
				assert.Assert(t, answer.LongestGap < time.Second, "gap was %s", answer.LongestGap)
				assertAtMostOneReplay(t, cluster, answer.Tokens)
			})
		})
	}
}

// Guards against an undetected hang in a chain with one stage, which has no
// neighboring stage to notice it.
func TestHungOnlyStage(t *testing.T) {
	for _, h := range []hangCase{{name: "engine", engines: []int{0}}, {name: "sidecar", sidecars: []int{0}}} {
		t.Run(h.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster, client := testCluster(t, ClusterOptions{Stages: 1, Replicas: 2, StepTime: 2 * time.Millisecond})
				answer, err := complete(t.Context(), client, testPrompt, func(n int) {
					if n == hangToken {
						h.apply(cluster)
					}
				})
				assert.NilError(t, err)
				assert.Assert(t, answer.LongestGap < time.Second, "gap was %s", answer.LongestGap)
				assertAtMostOneReplay(t, cluster, answer.Tokens)
			})
		})
	}
}

// assertAtMostOneReplay checks that the number of layer executions is at most that
// of the completion and one replay of the tokens generated before the hang, plus a
// few steps that were in flight when the stage hung.
func assertAtMostOneReplay(t *testing.T, c *Cluster, tokens int) {
	t.Helper()
	const inFlightSteps = 3
	executions := c.layerExecutions()
	limit := int64(Layers * (tokens + hangToken + inFlightSteps))
	assert.Assert(t, executions <= limit, "%d layer executions, want at most %d", executions, limit)
}

func (c *Cluster) layerExecutions() int64 {
	var executions int64
	for _, n := range c.Nodes {
		if n.Engine != nil {
			executions += n.Engine.LayerExecutions()
		}
	}
	return executions
}

// Guards against treating a slow engine as lost: a prompt that takes many times
// longer than any iteration before it must not trigger a recovery.
func TestLongPromptDoesNotTriggerRecovery(t *testing.T) {
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
