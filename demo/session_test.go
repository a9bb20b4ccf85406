package demo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sapphirefield/sapphirefield/wire"
)

// recorder records the frames between the entry and each sidecar. It omits frames
// that depend on timing only: heartbeats, probes, progress, and load without a
// drain or an engine failure, and also the hello frames.
type recorder struct {
	mu    sync.Mutex
	peers map[string][]string
}

func (r *recorder) trace(peer string, up *wire.WorkUp, down *wire.WorkDown) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peers == nil {
		r.peers = make(map[string][]string)
	}
	add := func(line string) { r.peers[peer] = append(r.peers[peer], line) }
	switch {
	case up.GetHello() != nil, up.GetHeartbeat() != nil, up.GetProbe() != nil:
	case down.GetHello() != nil, down.GetHeartbeat() != nil, down.GetProgress() != nil:
	case down.GetLoad() != nil:
		if down.GetLoad().Draining || !down.GetLoad().EngineUp {
			add("down " + compactJSON(&wire.Load{Draining: down.GetLoad().Draining, EngineUp: down.GetLoad().EngineUp}))
		}
	case up != nil:
		add("up   " + compactJSON(up))
	case down.GetTokens() != nil:
		// How many tokens share a frame depends on scheduling.
		for _, token := range down.GetTokens().Tokens {
			add("down " + compactJSON(token))
		}
	default:
		add("down " + compactJSON(down))
	}
}

// compactJSON returns the frame as JSON without protojson's randomized whitespace.
func compactJSON(frame proto.Message) string {
	data, err := protojson.Marshal(frame)
	if err != nil {
		return err.Error()
	}
	var b bytes.Buffer
	if err := json.Compact(&b, data); err != nil {
		return err.Error()
	}
	return b.String()
}

// session returns the frames of each peer in order, with normalized names.
func (r *recorder) session(c *Cluster, answer string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var peers []string
	for peer := range r.peers {
		peers = append(peers, peer)
	}
	sort.Strings(peers)
	var b strings.Builder
	for _, peer := range peers {
		fmt.Fprintf(&b, "%s\n", peer)
		for _, line := range r.peers[peer] {
			fmt.Fprintf(&b, "  %s\n", line)
		}
	}
	fmt.Fprintf(&b, "caller\n  %s\n", answer)
	return c.normalizeNames(b.String())
}

// normalizeNames replaces random incarnations and request ID prefixes by fixed
// names.
func (c *Cluster) normalizeNames(session string) string {
	for _, n := range c.Nodes {
		session = strings.ReplaceAll(session, n.Sidecar.Incarnation(), "INCARNATION")
	}
	i := strings.Index(session, `"request":"`)
	if i < 0 {
		return session
	}
	prefix, _, _ := strings.Cut(session[i+len(`"request":"`):], "-")
	return strings.ReplaceAll(session, prefix+"-", "REQUEST-")
}

// Compares the order and content of the frames of whole sessions with recorded ones.
func TestSessions(t *testing.T) {
	prompt := func(t *testing.T, client *Client) string {
		answer, err := client.Complete(t.Context(), Model, testPrompt, 6, nil)
		if err != nil {
			return err.Error()
		}
		return fmt.Sprintf("%q finish=%s whole=%t", answer.Text, answer.FinishReason, answer.Done)
	}
	booking := func(t *testing.T, client *Client) string {
		status, body, err := client.Call(t.Context(), http.MethodPost, bookingPath, map[string]string{"reference": "shift-7"})
		assert.NilError(t, err)
		return fmt.Sprintf("%d %s", status, strings.TrimSpace(body))
	}
	cases := []struct {
		name  string
		opts  ClusterOptions
		fault func(c *Cluster)
		// after is the time from the start of the request to the fault.
		after time.Duration
		call  func(t *testing.T, client *Client) string
	}{
		{name: "prompt", opts: ClusterOptions{Stages: 2, Replicas: 1}, call: prompt},
		{name: "booking", opts: ClusterOptions{Stages: 1, Replicas: 1, PlainServers: 1}, call: booking},
		{name: "stage-lost", opts: ClusterOptions{Stages: 2, Replicas: 2}, call: prompt, after: 50 * time.Millisecond,
			fault: func(c *Cluster) { c.Node(c.ActiveEngine(1)).Engine.Hang() }},
		{name: "refused", opts: ClusterOptions{Stages: 1, Replicas: 1, PlainServers: 1}, call: booking,
			fault: func(c *Cluster) { c.opts.Network.BlackholeBetween(EntryID, "orders-0") }},
		{name: "drain", opts: ClusterOptions{Stages: 1, Replicas: 1, PlainServers: 1}, call: booking, after: 50 * time.Millisecond,
			fault: func(c *Cluster) { c.Node("orders-0").Sidecar.Drain() }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recorder := new(recorder)
				test.opts.Trace = recorder.trace
				test.opts.StepTime = 10 * time.Millisecond
				test.opts.PlainDelay = 100 * time.Millisecond
				cluster, client := testCluster(t, test.opts)
				if test.fault != nil {
					timer := time.AfterFunc(test.after, func() { test.fault(cluster) })
					defer timer.Stop()
				}
				synctest.Wait()
				answer := test.call(t, client)
				synctest.Wait()
				golden.Assert(t, recorder.session(cluster, answer), test.name+".session")
			})
		})
	}
}
