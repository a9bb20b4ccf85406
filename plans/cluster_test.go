package plans_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/configsync"
	"github.com/sapphirefield/sapphirefield/entry"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logservice"
	"github.com/sapphirefield/sapphirefield/orders"
	"github.com/sapphirefield/sapphirefield/planner"
	"github.com/sapphirefield/sapphirefield/plans"
	"github.com/sapphirefield/sapphirefield/sidecar"
	"github.com/sapphirefield/sapphirefield/standin"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	model  = "safira"
	apiKey = "test-key"
	layers = 12
	zone   = "lisboa-a"
	// clientPause is the pause between two requests of a client.
	clientPause = 10 * time.Millisecond
)

// cluster runs entries, and sidecars with engines that start empty, on an in-memory
// network.
type cluster struct {
	t       *testing.T
	ctx     context.Context
	network *standin.Network
	log     *standin.LogService
	logger  *log.Logger
	entries []*entry.Server
	syncs   []*configsync.Sync
	nodes   []*node
	// plansAppended counts the plans that were appended to the log; appendsTried
	// counts all attempted appends.
	plansAppended, appendsTried atomic.Int64
	// versionMismatches counts the attempts that an engine accepted while it served
	// another version than the attempt's.
	versionMismatches atomic.Int64
	// versionChanges counts the changes of version between two attempts of one
	// request.
	versionChanges atomic.Int64
}

type node struct {
	id     string
	engine *standin.Engine
	stop   context.CancelFunc
}

// newCluster starts entries and engines. Engine i checks fencing numbers if
// checksFencing(i). The seed determines when the entries propose.
func newCluster(t *testing.T, seed uint64, entries, engines int, checksFencing func(i int) bool, configure ...func(*entry.Options)) *cluster {
	ctx, cancel := context.WithCancel(t.Context())
	c := &cluster{
		t: t, ctx: ctx, network: standin.NewNetwork(), log: standin.NewLogService(),
		logger: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: testWriter{t}}},
	}
	t.Cleanup(func() {
		cancel()
		c.network.Close()
		time.Sleep(time.Minute)
	})
	c.serve(ctx, "log", c.log.Handler())
	doc := document(engines, checksFencing)
	for i := range engines {
		c.addNode(fmt.Sprintf("e%02d", i), checksFencing(i))
	}
	for i := range entries {
		c.addEntry(fmt.Sprintf("entry-%d", i), 100*seed+uint64(i), configure)
	}
	c.publish(func(d *config.Document) { *d = *doc })
	return c
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	if os.Getenv("SHOW_LOG") != "" {
		fmt.Printf("%s %s", time.Now().Format("15:04:05.000"), p)
	}
	return len(p), nil
}

func document(engines int, checksFencing func(i int) bool) *config.Document {
	hash := sha256.Sum256([]byte(apiKey))
	doc := &config.Document{
		Schema:       config.SchemaVersion,
		Regions:      []config.Region{{Name: "lisboa", Zones: []string{zone}}},
		Accelerators: []config.Accelerator{{Kind: "a", MemoryBytes: 6 << 30, LayerTokensPerSecond: 8000, PrefillSpeedup: 8}},
		Links:        []config.Link{{From: zone, To: zone, BytesPerSecond: 1e9, Latency: time.Millisecond}},
		Models: []config.Model{{
			Name: model, Versions: []string{"1", "2"}, ServingVersion: "1", Layers: layers, BytesPerLayer: 1 << 30,
			ActivationBytes: 8, KVBytesPerTokenLayer: 1, ContextTokens: 4096,
		}},
		Teams: []config.Team{{Name: "t", KeyHashes: []string{hex.EncodeToString(hash[:])}, Weight: 1, Models: []string{model}}},
	}
	for i := range engines {
		fencing := config.FencingIgnores
		if checksFencing(i) {
			fencing = config.FencingChecks
		}
		doc.Servers = append(doc.Servers, config.Server{ID: fmt.Sprintf("e%02d", i), Zone: zone, Model: model, Accelerator: "a", Fencing: fencing})
	}
	return doc.Canonical()
}

func (c *cluster) serve(ctx context.Context, address string, handler http.Handler) {
	server := &http.Server{Handler: handler}
	listener := c.network.Listen(address)
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

func (c *cluster) startSync(ctx context.Context, id string, seed uint64) *configsync.Sync {
	transport := &http.Transport{DialContext: c.network.Dialer(id), DisableKeepAlives: true}
	s := configsync.New(configsync.Options{
		Log:    countingLog{logservice.NewLog("http://log", &http.Client{Transport: transport}), &c.appendsTried},
		Random: rand.New(rand.NewPCG(seed, 9)), Logger: c.logger,
	})
	go s.Run(ctx)
	return s
}

func (c *cluster) addNode(id string, checksFencing bool) {
	ctx, stop := context.WithCancel(c.ctx)
	n := &node{id: id, stop: stop, engine: standin.NewEngine(standin.EngineOptions{
		Model: model, Layers: layers, StepTime: 25 * time.Millisecond, ChecksFencing: checksFencing, LoadTimePerLayer: 300 * time.Millisecond,
	})}
	c.nodes = append(c.nodes, n)
	c.serve(ctx, id+"-engine", n.engine.Handler())
	server := sidecar.New(sidecar.Options{
		ID: id, Zone: zone, Model: model, Placed: true, Backend: "http://" + id + "-engine", Logger: c.logger,
		Dialer: link.Dialer{DialContext: c.network.Dialer(id)}, DialBackend: c.network.Dialer(id),
	})
	source := c.startSync(ctx, id, uint64(100+len(c.nodes)))
	driver := orders.New(orders.Options{
		ID: id, Model: model, Backend: "http://" + id + "-engine", DialBackend: c.network.Dialer(id),
		Source: source, Sidecar: server, Logger: c.logger,
	})
	listener := c.network.Listen(id)
	go func() { _ = server.Serve(ctx, listener) }()
	go func() { _ = driver.Run(ctx) }()
}

func (c *cluster) addEntry(id string, seed uint64, configure []func(*entry.Options)) {
	s := c.startSync(c.ctx, id, seed)
	c.syncs = append(c.syncs, s)
	options := entry.Options{
		Trace: c.versionTracer(),
		ID:    id, Zone: zone, Logger: c.logger, Dialer: link.Dialer{DialContext: c.network.Dialer(id)},
		Config: func() *config.Document {
			if r := s.Current(); r != nil {
				return r.Document
			}
			return nil
		},
	}
	for _, set := range configure {
		set(&options)
	}
	e := entry.New(c.ctx, options)
	c.entries = append(c.entries, e)
	c.serve(c.ctx, id, e.Handler())
	go func() {
		for c.ctx.Err() == nil {
			e.SetInstances(c.instances())
			time.Sleep(time.Second)
		}
	}()
	driver := plans.New(plans.Options{
		Source: countingSource{s, &c.plansAppended}, Engines: e.Engines, ConnectedToAllEngines: e.ConnectedToAllEngines, Random: rand.New(rand.NewPCG(seed, 7)), Logger: c.logger,
	})
	go func() { _ = driver.Run(c.ctx) }()
}

// versionTracer returns an entry.Options.Trace that compares the version of each
// opened attempt with that of the engine.
func (c *cluster) versionTracer() func(string, *wire.WorkUp, *wire.WorkDown) {
	var mu sync.Mutex
	versions := map[string]string{}
	name := func(request string, attempt uint32) string { return fmt.Sprintf("%s/%d", request, attempt) }
	return func(peer string, up *wire.WorkUp, down *wire.WorkDown) {
		mu.Lock()
		defer mu.Unlock()
		if open := up.GetOpen(); open != nil {
			versions[name(open.Request, open.Attempt)] = open.Version
			if previous := versions[open.Request]; previous != "" && previous != open.Version {
				c.versionChanges.Add(1)
			}
			versions[open.Request] = open.Version
		}
		opened := down.GetOpened()
		if opened == nil {
			return
		}
		for _, n := range c.nodes {
			if n.id == peer && n.engine.State().Version != versions[name(opened.Request, opened.Attempt)] {
				c.versionMismatches.Add(1)
			}
		}
	}
}

// countingSource counts the plans that were appended to the log.
type countingSource struct {
	*configsync.Sync
	appended *atomic.Int64
}

func (c countingSource) ProposePlan(ctx context.Context, model string, base int64, data []byte) error {
	err := c.Sync.ProposePlan(ctx, model, base, data)
	if err == nil {
		c.appended.Add(1)
	}
	return err
}

// countingLog counts the attempted appends.
type countingLog struct {
	*logservice.Log
	appendsTried *atomic.Int64
}

func (c countingLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	c.appendsTried.Add(1)
	return c.Log.Append(ctx, stream, data)
}

func (c *cluster) instances() []entry.Instance {
	var list []entry.Instance
	for _, n := range c.nodes {
		list = append(list, entry.Instance{ID: n.id, Service: model, Zone: zone, Address: n.id})
	}
	return list
}

// publish publishes a change of the active configuration.
func (c *cluster) publish(change func(*config.Document)) {
	doc := new(config.Document)
	if r := c.syncs[0].Current(); r != nil {
		doc = r.Document.Canonical()
	}
	change(doc)
	for range 10 {
		result, err := c.syncs[0].Publish(c.ctx, configsync.Proposal{Base: c.syncs[0].Current(), Document: doc})
		assert.NilError(c.t, err)
		if result.Result == configlog.ResultAccepted {
			return
		}
		c.t.Log(result)
		time.Sleep(time.Second)
	}
	c.t.Fatal("the document was not accepted")
}

// directive returns the plan that is active at an entry, and its offset.
func (c *cluster) directive(entry int) (*planner.Directive, int64) {
	plan, ok := c.syncs[entry].Plans()[model]
	if !ok {
		return nil, 0
	}
	d, err := planner.Decode(plan.Data)
	assert.NilError(c.t, err)
	return d, plan.Offset
}

// waitUntil waits for a condition and returns how long that took.
func (c *cluster) waitUntil(what string, timeout time.Duration, condition func() bool) time.Duration {
	c.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > timeout {
			c.t.Fatalf("timed out after %s: %s", timeout, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(started)
}

// converged reports whether the plan has no moves left and all live engines serve
// their assigned range and version.
func (c *cluster) converged(version string) bool {
	d, _ := c.directive(0)
	if d == nil || len(d.Moves) > 0 || d.Version != version {
		return false
	}
	live := map[string]plans.Engine{}
	for _, e := range c.entries[0].Engines() {
		live[e.ID] = e
	}
	for _, a := range d.Wanted {
		e, known := live[a.Engine]
		if !known || e.Range != a.Range || a.Range.Limit > 0 && (e.Version != version || a.Version != "") {
			return false
		}
	}
	return len(d.Wanted) == len(live)
}

// requestCompletion sends a completion request to an entry and compares the answer
// with the exact one.
func (c *cluster) requestCompletion(entry, prompt string, tokens int) error {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+entry+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DialContext: c.network.Dialer("caller"), DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("entry answered %s: %s (%v)", response.Status, data, err)
	}
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	texts, _ := standin.Generate(layers, prompt, uint32(tokens))
	if answer.Choices[0].Text != strings.Join(texts, "") {
		return fmt.Errorf("the answer to %q is not exact: %q", prompt, answer.Choices[0].Text)
	}
	return nil
}

// startLoad runs clients that send one request after another until the returned
// function is called, which returns the number of exact answers and the errors.
func (c *cluster) startLoad(clients, tokens int) func() (int, []error) {
	ctx, cancel := context.WithCancel(c.ctx)
	var mu sync.Mutex
	var wg sync.WaitGroup
	exact, failed := 0, []error(nil)
	for i := range clients {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				err := c.requestCompletion("entry-0", fmt.Sprintf("caller %d asks %d", i, n), tokens)
				mu.Lock()
				if err != nil {
					failed = append(failed, fmt.Errorf("at %s: %w", time.Now().Format("15:04:05.000"), err))
				} else {
					exact++
				}
				mu.Unlock()
				// Without a pause, immediate refusals would keep the fake clock from
				// advancing.
				time.Sleep(clientPause)
			}
		})
	}
	return func() (int, []error) {
		cancel()
		wg.Wait()
		return exact, failed
	}
}
