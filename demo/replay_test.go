package demo

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against replaying stages that are not lost: only the layers of replaced
// stages may be executed again, and the completion must stay exact.
func TestOnlyLostStageIsReplayed(t *testing.T) {
	cases := []struct {
		name string
		hangCase
		kill []int
		// runningStage is the stage that is executing its iteration when the fault
		// happens.
		runningStage time.Duration
	}{
		{name: "first ends", kill: []int{0}},
		{name: "middle ends during its step", kill: []int{1}, runningStage: 1},
		{name: "middle ends before its step", kill: []int{1}},
		{name: "last ends during its step", kill: []int{2}, runningStage: 2},
		{name: "last ends before its step", kill: []int{2}, runningStage: 1},
		{name: "middle engine hangs", hangCase: hangCase{engines: []int{1}}},
		{name: "last sidecar hangs", hangCase: hangCase{sidecars: []int{2}}},
		{name: "first and last end", kill: []int{0, 2}},
		{name: "first two end", kill: []int{0, 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opts := hangOptions()
				cluster, client := testCluster(t, opts)
				answer, err := complete(t.Context(), client, testPrompt, func(n int) {
					if n != hangToken {
						return
					}
					// If a stage is lost while its token is in flight, the token may reach
					// the first stage but not the entry, and then the whole chain is
					// replayed. In the middle of an iteration no token is in flight.
					delay := test.runningStage*opts.StepTime + opts.StepTime/2
					time.AfterFunc(delay, func() {
						test.apply(cluster)
						for _, stage := range test.kill {
							cluster.Node(cluster.ActiveEngine(stage)).Kill()
						}
					})
				})
				assert.NilError(t, err)
				lost := len(test.kill) + len(test.engines) + len(test.sidecars)
				replayedLayers := cluster.layerExecutions() - int64(Layers*answer.Tokens)
				t.Log("replayed layers:", replayedLayers, "gap:", answer.LongestGap)
				// Steps in flight when the stage was lost may be executed in vain.
				const inFlightSteps = 3
				assert.Assert(t, replayedLayers <= int64(lost*Layers/3*(hangToken+1)+inFlightSteps*Layers), "%d layers were replayed", replayedLayers)
			})
		})
	}
}

// Guards against a wrong completion when the activations for a replacement stage
// exceeded the history limit: the whole chain must then be replayed.
func TestReplayWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := hangOptions()
		opts.HistoryBytes = 100
		cluster, client := testCluster(t, opts)
		_, err := complete(t.Context(), client, testPrompt, func(n int) {
			if n == hangToken {
				cluster.Node(cluster.ActiveEngine(1)).Kill()
			}
		})
		assert.NilError(t, err)
	})
}

// Guards against failures when one request loses several stages in succession.
func TestConsecutiveStageLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, ClusterOptions{Stages: 3, Replicas: 4, StepTime: 2 * time.Millisecond})
		_, err := complete(t.Context(), client, testPrompt, func(n int) {
			if n%20 == 0 && n <= 100 {
				cluster.Node(cluster.ActiveEngine(n / 20 % 3)).Kill()
			}
		})
		assert.NilError(t, err)
		synctest.Wait()
		for _, n := range cluster.Nodes {
			assert.Equal(t, n.Engine.Requests() == 0 || n.isKilled(), true, n.ID)
		}
	})
}

// Guards against a draining stage that drops its request: it must continue to
// serve it even when another stage of the chain has to be replaced.
func TestDrainingStageServesRecoveredChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := ClusterOptions{Stages: 2, Replicas: 2, StepTime: 2 * time.Millisecond}
		cluster, client := testCluster(t, opts)
		var draining *Node
		answer, err := complete(t.Context(), client, testPrompt, func(n int) {
			if n != hangToken {
				return
			}
			draining = cluster.Node(cluster.ActiveEngine(0))
			draining.Sidecar.Drain()
			lost := cluster.Node(cluster.ActiveEngine(1))
			time.AfterFunc(opts.StepTime/2, lost.Kill)
		})
		assert.NilError(t, err)
		replayedLayers := cluster.layerExecutions() - int64(Layers*answer.Tokens)
		assert.Assert(t, replayedLayers <= Layers/2*(hangToken+1), "%d layers were replayed", replayedLayers)
		synctest.Wait()
		assert.Assert(t, isClosed(draining.Sidecar.Drained()))
	})
}
