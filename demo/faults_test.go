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

// faultSeeds is how many seeds TestRandomFaults runs; FAULT_SEEDS overrides it
// to look for faults.
const faultSeeds = 8

// Guards R1 to R4 under faults at random moments, two at a time: each whole
// answer is exact, a booking runs at most once, "not run" and "run" are true,
// and nothing stays open when all is over.
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
		wg.Go(func() { time.Sleep(delay); checkAnswer(t, client, fmt.Sprintf("prompt %d", i)) })
	}
	for i := range 8 {
		delay := time.Duration(random.IntN(2000)) * time.Millisecond
		wg.Go(func() { time.Sleep(delay); checkBooking(t, cluster, client, fmt.Sprintf("booking-%d", i)) })
	}
	faults := &faultMaker{cluster: cluster, random: random, spent: make(map[string]int)}
	for range 5 {
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		faults.make()
		if random.IntN(2) == 0 {
			faults.make()
		}
	}
	wg.Wait()
	time.Sleep(20 * time.Second)
	assert.Check(t, cluster.Entry.InProgress() == 0)
	for _, n := range cluster.Nodes {
		if !faults.dead(n.ID) {
			assert.Check(t, n.Sidecar.InProgress() == 0, n.ID)
		}
	}
}

// checkAnswer allows an honest failure before the first token only.
func checkAnswer(t *testing.T, client *Client, prompt string) {
	answer, err := client.Complete(t.Context(), Model, prompt, demoTokens, nil)
	if err != nil && (answer == nil || answer.Tokens == 0) && strings.Contains(err.Error(), `"code"`) {
		t.Log("answer refused:", err)
		return
	}
	if !assert.Check(t, err == nil, "%v", err) {
		return
	}
	t.Log("longest gap in ms:", answer.LongestGap.Milliseconds())
	texts, finish := standin.Generate(Layers, prompt, demoTokens)
	assert.Check(t, answer.Done && answer.FinishReason == finish && answer.Text == strings.Join(texts, ""), "answer to %q is not exact", prompt)
}

func checkBooking(t *testing.T, c *Cluster, client *Client, reference string) {
	status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": reference})
	if !assert.Check(t, err == nil, "%v", err) {
		return
	}
	runs := c.runs(reference)
	if status == http.StatusCreated {
		assert.Check(t, runs == 1, "%s: answered, but ran %d times", reference, runs)
		return
	}
	var refusal struct {
		Executed string `json:"executed"`
	}
	t.Log("booking refused:", strings.TrimSpace(body))
	assert.Check(t, json.Unmarshal([]byte(body), &refusal) == nil, body)
	time.Sleep(10 * time.Second)
	runs = c.runs(reference)
	assert.Check(t, runs <= 1, "%s ran %d times", reference, runs)
	assert.Check(t, refusal.Executed != "no" || runs == 0, "%s: told not run, but it ran", reference)
	assert.Check(t, refusal.Executed != "yes" || runs == 1, "%s: told run, but it did not", reference)
}

// faultMaker breaks things but leaves at least one copy of each stage.
type faultMaker struct {
	cluster *Cluster
	random  *rand.Rand
	// spent counts the nodes of a stage or service that are out for good.
	spent map[string]int
	out   map[string]bool
}

func (f *faultMaker) dead(id string) bool { return f.out[id] }

func (f *faultMaker) make() {
	node := f.cluster.Nodes[f.random.IntN(len(f.cluster.Nodes))]
	other := f.cluster.Nodes[f.random.IntN(len(f.cluster.Nodes))]
	network := f.cluster.opts.Network
	switch kind := f.random.IntN(7); {
	case f.dead(node.ID):
	case kind == 0:
		network.BlackholeBetween(EntryID, node.ID)
	case kind == 1:
		network.CloseBetween(EntryID, node.ID)
	case kind == 2:
		network.BlackholeBetween(node.ID, other.ID)
	case kind == 3 && node.Engine != nil:
		node.Engine.Hang()
		time.AfterFunc(2*time.Second, node.Engine.Resume)
	case kind == 4 && f.spend(node.ID):
		network.Hang(node.ID)
	case kind == 5 && f.spend(node.ID):
		node.Kill()
	case kind == 6 && f.spend(node.ID):
		node.Sidecar.Drain()
	}
}

func (f *faultMaker) spend(id string) bool {
	group := "plain servers"
	if strings.HasPrefix(id, "engine") {
		group = id[:len("engine-0")]
	}
	if f.spent[group] >= 2 {
		return false
	}
	if f.out == nil {
		f.out = make(map[string]bool)
	}
	f.spent[group]++
	f.out[id] = true
	return true
}
