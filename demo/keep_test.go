package demo

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against replaying stages that are not lost: only the layers of the
// replaced stage may run again, and the answer must stay exact.
func TestOnlyLostStageIsReplayed(t *testing.T) {
	cases := []struct {
		name string
		hangCase
		kill []int
		// during is the stage whose iteration runs at that moment.
		during time.Duration
	}{
		{name: "first ends", kill: []int{0}},
		{name: "middle ends during its step", kill: []int{1}, during: 1},
		{name: "middle ends before its step", kill: []int{1}},
		{name: "last ends during its step", kill: []int{2}, during: 2},
		{name: "last ends before its step", kill: []int{2}, during: 1},
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
					if n != hangAt {
						return
					}
					// A token that is on its way when its stage ends may reach the first
					// stage and not the entry; then the whole chain is replayed. In the
					// middle of an iteration nothing is on its way.
					middle := test.during*opts.StepTime + opts.StepTime/2
					time.AfterFunc(middle, func() {
						test.apply(cluster)
						for _, stage := range test.kill {
							cluster.Node(cluster.ActiveEngine(stage)).Kill()
						}
					})
				})
				assert.NilError(t, err)
				lost := len(test.kill) + len(test.engines) + len(test.sidecars)
				again := cluster.layerRuns() - int64(Layers*answer.Tokens)
				t.Log("layers that ran again:", again, "gap:", answer.LongestGap)
				// Steps on their way when the stage was lost may be run for nothing.
				const onTheWay = 3
				assert.Assert(t, again <= int64(lost*Layers/3*(hangAt+1)+onTheWay*Layers), "%d layers ran again", again)
			})
		})
	}
}

// Guards against a wrong answer when the outputs for a new stage were too many
// to keep: the whole chain is then replayed.
func TestReplayWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := hangOptions()
		opts.HistoryBytes = 100
		cluster, client := testCluster(t, opts)
		_, err := complete(t.Context(), client, testPrompt, func(n int) {
			if n == hangAt {
				cluster.Node(cluster.ActiveEngine(1)).Kill()
			}
		})
		assert.NilError(t, err)
	})
}

// Guards against repairs that follow each other on one request.
func TestStagesLostOneAfterAnother(t *testing.T) {
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
			assert.Equal(t, n.Engine.Requests() == 0 || n.dead(), true, n.ID)
		}
	})
}

// Guards R6 for a stage that drains: it goes on serving its request also when
// another stage of the chain has to be replaced.
func TestDrainingStageServesRepairedChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := ClusterOptions{Stages: 2, Replicas: 2, StepTime: 2 * time.Millisecond}
		cluster, client := testCluster(t, opts)
		var draining *Node
		answer, err := complete(t.Context(), client, testPrompt, func(n int) {
			if n != hangAt {
				return
			}
			draining = cluster.Node(cluster.ActiveEngine(0))
			draining.Sidecar.Drain()
			lost := cluster.Node(cluster.ActiveEngine(1))
			time.AfterFunc(opts.StepTime/2, lost.Kill)
		})
		assert.NilError(t, err)
		again := cluster.layerRuns() - int64(Layers*answer.Tokens)
		assert.Assert(t, again <= Layers/2*(hangAt+1), "%d layers ran again", again)
		synctest.Wait()
		assert.Assert(t, isClosed(draining.Sidecar.Drained()))
	})
}
