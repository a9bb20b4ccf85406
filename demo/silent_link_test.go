package demo

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a replay, a long gap or a repeated token when only a link goes
// silent: without a replica of the stage the attempt must continue over a new
// connection, and with one the completion must stay exact too.
func TestSilentLink(t *testing.T) {
	cases := []struct {
		name   string
		copies int
		links  [][2]int
		// mayReplay is set if a new attempt is allowed.
		mayReplay bool
	}{
		{"entry to only first stage", 1, [][2]int{{-1, 0}}, false},
		{"entry to only last stage", 1, [][2]int{{-1, 2}}, false},
		{"entry to all only stages", 1, [][2]int{{-1, 0}, {-1, 1}, {-1, 2}}, false},
		{"entry to last of two", 2, [][2]int{{-1, 2}}, false},
		{"hop between only stages", 1, [][2]int{{0, 1}}, true},
		{"hop back to the only first stage", 1, [][2]int{{2, 0}}, true},
		{"hop between two of two", 2, [][2]int{{1, 2}}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster, client := testCluster(t, ClusterOptions{Stages: 3, Replicas: test.copies, StepTime: 2 * time.Millisecond})
				answer, err := complete(t.Context(), client, testPrompt, func(n int) {
					if n != hangToken {
						return
					}
					for _, l := range test.links {
						from := EntryID
						if l[0] >= 0 {
							from = cluster.ActiveEngine(l[0])
						}
						cluster.opts.Network.BlackholeBetween(from, cluster.ActiveEngine(l[1]))
					}
				})
				assert.NilError(t, err)
				t.Log("longest gap", answer.LongestGap)
				assert.Assert(t, answer.LongestGap < time.Second, "gap was %s", answer.LongestGap)
				assertAtMostOneReplay(t, cluster, answer.Tokens)
				if !test.mayReplay {
					assert.Equal(t, cluster.Entry.Recoveries(), int64(0))
				}
			})
		})
	}
}

// Guards against an idle stream, without requests, whose silence is not detected
// within 3 s.
func TestSilentIdleStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logs := new(lockedBuffer)
		cluster, _ := testCluster(t, ClusterOptions{Stages: 1, Replicas: 1, Log: logs})
		time.Sleep(1500 * time.Millisecond)
		cluster.opts.Network.BlackholeBetween(EntryID, "engine-0a")
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Assert(t, strings.Contains(logs.String(), `"event":2006`), logs.String())
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, cluster.Entry.ConnectedSidecars(), 1)
	})
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against attempts that stay open at a sidecar that has lost contact with
// its entry.
func TestAttemptsOfUnreachableEntryAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, client := testCluster(t, ClusterOptions{Stages: 2, Replicas: 1, StepTime: 100 * time.Millisecond})
		go func() { _, _ = complete(t.Context(), client, testPrompt, nil) }()
		time.Sleep(time.Second)
		assert.Equal(t, cluster.Node("engine-1a").Sidecar.InProgress(), 1)
		cluster.opts.Network.Hang(EntryID)
		for _, n := range cluster.Nodes {
			cluster.opts.Network.Hang(n.ID)
		}
		time.Sleep(15 * time.Second)
		for _, n := range cluster.Nodes {
			assert.Equal(t, n.Sidecar.InProgress(), 0, n.ID)
		}
	})
}
