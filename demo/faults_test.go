package demo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/standin"
)

// faultSeeds is the number of seeds of TestRandomFaults. To search for failures,
// FAULT_SEEDS=FIRST-END overrides the range.
const faultSeeds = 8

// Injects faults at random times, up to two at once, and checks that every complete
// response is exact, that a booking is executed at most once, that reported
// outcomes are true, and that no request stays open at the end.
func TestRandomFaults(t *testing.T) {
	first, seeds := uint64(0), uint64(faultSeeds)
	if text := os.Getenv("FAULT_SEEDS"); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &seeds)
		assert.NilError(t, err)
	}
	for seed := first; seed < seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaults(t, seed) })
		})
	}
}

func randomFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	cluster, client := testCluster(t, ClusterOptions{
		Stages: 3, Replicas: 4, PlainServers: 3, StepTime: 5 * time.Millisecond, PlainDelay: 300 * time.Millisecond,
	})
	var wg sync.WaitGroup
	for i := range 6 {
		delay := time.Duration(random.IntN(1000)) * time.Millisecond
		wg.Go(func() { time.Sleep(delay); checkCompletion(t, client, fmt.Sprintf("prompt %d", i)) })
	}
	for i := range 8 {
		delay := time.Duration(random.IntN(2000)) * time.Millisecond
		wg.Go(func() { time.Sleep(delay); checkBooking(t, cluster, client, fmt.Sprintf("booking-%d", i)) })
	}
	faults := &faultInjector{cluster: cluster, random: random, removedPerGroup: make(map[string]int)}
	for range 5 {
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		faults.inject()
		if random.IntN(2) == 0 {
			faults.inject()
		}
	}
	wg.Wait()
	time.Sleep(20 * time.Second)
	assert.Check(t, cluster.Entry.InProgress() == 0)
	for _, n := range cluster.Nodes {
		if !faults.isRemoved(n.ID) {
			assert.Check(t, n.Sidecar.InProgress() == 0, n.ID)
		}
	}
}

// checkCompletion requires an exact completion or an error response with a code
// before the first token.
func checkCompletion(t *testing.T, client *Client, prompt string) {
	answer, err := client.Complete(t.Context(), Model, prompt, demoTokens, nil)
	if err != nil && (answer == nil || answer.Tokens == 0) && strings.Contains(err.Error(), `"code"`) {
		t.Log("completion refused:", err)
		return
	}
	if !assert.Check(t, err == nil, "%v", err) {
		return
	}
	t.Log("longest gap in ms:", answer.LongestGap.Milliseconds())
	texts, finish := standin.Generate(Layers, prompt, demoTokens)
	assert.Check(t, answer.Done && answer.FinishReason == finish && answer.Text == strings.Join(texts, ""), "completion of %q is not exact", prompt)
}

func checkBooking(t *testing.T, c *Cluster, client *Client, reference string) {
	status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": reference})
	if !assert.Check(t, err == nil, "%v", err) {
		return
	}
	executions := c.executions(reference)
	if status == http.StatusCreated {
		assert.Check(t, executions == 1, "%s: succeeded, but was executed %d times", reference, executions)
		return
	}
	var refusal struct {
		Executed string `json:"executed"`
	}
	t.Log("booking refused:", strings.TrimSpace(body))
	assert.Check(t, json.Unmarshal([]byte(body), &refusal) == nil, body)
	time.Sleep(10 * time.Second)
	executions = c.executions(reference)
	assert.Check(t, executions <= 1, "%s was executed %d times", reference, executions)
	assert.Check(t, refusal.Executed != "no" || executions == 0, "%s: reported as not executed, but was", reference)
	assert.Check(t, refusal.Executed != "yes" || executions == 1, "%s: reported as executed, but was not", reference)
}

// faultInjector injects random faults. It removes at most two nodes of each stage
// and of the plain servers, so that every stage keeps a replica.
type faultInjector struct {
	cluster *Cluster
	random  *rand.Rand
	// removedPerGroup counts the permanently removed nodes of each stage and of the
	// plain servers.
	removedPerGroup map[string]int
	removed         map[string]bool
}

func (f *faultInjector) isRemoved(id string) bool { return f.removed[id] }

func (f *faultInjector) inject() {
	node := f.cluster.Nodes[f.random.IntN(len(f.cluster.Nodes))]
	other := f.cluster.Nodes[f.random.IntN(len(f.cluster.Nodes))]
	network := f.cluster.opts.Network
	switch kind := f.random.IntN(7); {
	case f.isRemoved(node.ID):
	case kind == 0:
		network.BlackholeBetween(EntryID, node.ID)
	case kind == 1:
		network.CloseBetween(EntryID, node.ID)
	case kind == 2:
		network.BlackholeBetween(node.ID, other.ID)
	case kind == 3 && node.Engine != nil:
		node.Engine.Hang()
		time.AfterFunc(2*time.Second, node.Engine.Resume)
	case kind == 4 && f.reserveRemoval(node.ID):
		network.Hang(node.ID)
	case kind == 5 && f.reserveRemoval(node.ID):
		node.Kill()
	case kind == 6 && f.reserveRemoval(node.ID):
		node.Sidecar.Drain()
	}
}

func (f *faultInjector) reserveRemoval(id string) bool {
	group := "plain servers"
	if strings.HasPrefix(id, "engine") {
		group = id[:len("engine-0")]
	}
	if f.removedPerGroup[group] >= 2 {
		return false
	}
	if f.removed == nil {
		f.removed = make(map[string]bool)
	}
	f.removedPerGroup[group]++
	f.removed[id] = true
	return true
}
