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
	key    = "test-key"
	layers = 12
	zone   = "lisboa-a"
	// callerPause separates a caller's requests.
	callerPause = 10 * time.Millisecond
)

// world runs entries, and sidecars beside empty engines, on an in-memory network.
type world struct {
	t       *testing.T
	ctx     context.Context
	network *standin.Network
	log     *standin.LogService
	logger  *log.Logger
	entries []*entry.Server
	syncs   []*configsync.Sync
	nodes   []*node
	// appends counts the records of plans that reached the log, tried those that
	// were sent to it.
	appends, tried atomic.Int64
	// mixed counts the attempts at engines of another version than the chain's.
	mixed atomic.Int64
	// switched counts the changes of version between two attempts of a request.
	switched atomic.Int64
}

type node struct {
	id     string
	engine *standin.Engine
	stop   context.CancelFunc
}

// newWorld starts entries and engines, of which those that fences accepts check
// fencing numbers. The seed decides when the entries propose.
func newWorld(t *testing.T, seed uint64, entries, engines int, fences func(i int) bool, tune ...func(*entry.Options)) *world {
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{
		t: t, ctx: ctx, network: standin.NewNetwork(), log: standin.NewLogService(),
		logger: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: testWriter{t}}},
	}
	t.Cleanup(func() {
		cancel()
		w.network.Close()
		time.Sleep(time.Minute)
	})
	w.serve(ctx, "log", w.log.Handler())
	doc := document(engines, fences)
	for i := range engines {
		w.addNode(fmt.Sprintf("e%02d", i), fences(i))
	}
	for i := range entries {
		w.addEntry(fmt.Sprintf("entry-%d", i), 100*seed+uint64(i), tune)
	}
	w.publish(func(d *config.Document) { *d = *doc })
	return w
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	if os.Getenv("SHOW_LOG") != "" {
		fmt.Printf("%s %s", time.Now().Format("15:04:05.000"), p)
	}
	return len(p), nil
}

func document(engines int, fences func(i int) bool) *config.Document {
	hash := sha256.Sum256([]byte(key))
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
		if fences(i) {
			fencing = config.FencingChecks
		}
		doc.Servers = append(doc.Servers, config.Server{ID: fmt.Sprintf("e%02d", i), Zone: zone, Model: model, Accelerator: "a", Fencing: fencing})
	}
	return doc.Canonical()
}

func (w *world) serve(ctx context.Context, address string, handler http.Handler) {
	server := &http.Server{Handler: handler}
	listener := w.network.Listen(address)
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

func (w *world) sync(ctx context.Context, id string, seed uint64) *configsync.Sync {
	transport := &http.Transport{DialContext: w.network.Dialer(id), DisableKeepAlives: true}
	s := configsync.New(configsync.Options{
		Log:    countedLog{logservice.NewLog("http://log", &http.Client{Transport: transport}), &w.tried},
		Random: rand.New(rand.NewPCG(seed, 9)), Logger: w.logger,
	})
	go s.Run(ctx)
	return s
}

func (w *world) addNode(id string, fences bool) {
	ctx, stop := context.WithCancel(w.ctx)
	n := &node{id: id, stop: stop, engine: standin.NewEngine(standin.EngineOptions{
		Model: model, Layers: layers, StepTime: 25 * time.Millisecond, ChecksFencing: fences, LoadTimePerLayer: 300 * time.Millisecond,
	})}
	w.nodes = append(w.nodes, n)
	w.serve(ctx, id+"-engine", n.engine.Handler())
	server := sidecar.New(sidecar.Options{
		ID: id, Zone: zone, Model: model, Placed: true, Backend: "http://" + id + "-engine", Logger: w.logger,
		Dialer: link.Dialer{DialContext: w.network.Dialer(id)}, DialBackend: w.network.Dialer(id),
	})
	source := w.sync(ctx, id, uint64(100+len(w.nodes)))
	driver := orders.New(orders.Options{
		ID: id, Model: model, Backend: "http://" + id + "-engine", DialBackend: w.network.Dialer(id),
		Source: source, Sidecar: server, Logger: w.logger,
	})
	listener := w.network.Listen(id)
	go func() { _ = server.Serve(ctx, listener) }()
	go func() { _ = driver.Run(ctx) }()
}

func (w *world) addEntry(id string, seed uint64, tune []func(*entry.Options)) {
	s := w.sync(w.ctx, id, seed)
	w.syncs = append(w.syncs, s)
	options := entry.Options{
		Trace: w.checkVersion(),
		ID:    id, Zone: zone, Logger: w.logger, Dialer: link.Dialer{DialContext: w.network.Dialer(id)},
		Config: func() *config.Document {
			if r := s.Current(); r != nil {
				return r.Document
			}
			return nil
		},
	}
	for _, change := range tune {
		change(&options)
	}
	e := entry.New(w.ctx, options)
	w.entries = append(w.entries, e)
	w.serve(w.ctx, id, e.Handler())
	go func() {
		for w.ctx.Err() == nil {
			e.SetInstances(w.instances())
			time.Sleep(time.Second)
		}
	}()
	driver := plans.New(plans.Options{
		Source: counted{s, &w.appends}, Engines: e.Engines, ConnectedToAllEngines: e.ConnectedToAllEngines, Random: rand.New(rand.NewPCG(seed, 7)), Logger: w.logger,
	})
	go func() { _ = driver.Run(w.ctx) }()
}

// checkVersion compares the version of each opened chain with that of the engine.
func (w *world) checkVersion() func(string, *wire.WorkUp, *wire.WorkDown) {
	var mu sync.Mutex
	versions := map[string]string{}
	name := func(request string, attempt uint32) string { return fmt.Sprintf("%s/%d", request, attempt) }
	return func(peer string, up *wire.WorkUp, down *wire.WorkDown) {
		mu.Lock()
		defer mu.Unlock()
		if open := up.GetOpen(); open != nil {
			versions[name(open.Request, open.Attempt)] = open.Version
			if before := versions[open.Request]; before != "" && before != open.Version {
				w.switched.Add(1)
			}
			versions[open.Request] = open.Version
		}
		opened := down.GetOpened()
		if opened == nil {
			return
		}
		for _, n := range w.nodes {
			if n.id == peer && n.engine.State().Version != versions[name(opened.Request, opened.Attempt)] {
				w.mixed.Add(1)
			}
		}
	}
}

// counted counts the plans that were sent to the log.
type counted struct {
	*configsync.Sync
	appends *atomic.Int64
}

func (c counted) ProposePlan(ctx context.Context, model string, base int64, data []byte) error {
	err := c.Sync.ProposePlan(ctx, model, base, data)
	if err == nil {
		c.appends.Add(1)
	}
	return err
}

// countedLog counts the records that were sent to the log.
type countedLog struct {
	*logservice.Log
	tried *atomic.Int64
}

func (c countedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	c.tried.Add(1)
	return c.Log.Append(ctx, stream, data)
}

func (w *world) instances() []entry.Instance {
	var list []entry.Instance
	for _, n := range w.nodes {
		list = append(list, entry.Instance{ID: n.id, Service: model, Zone: zone, Address: n.id})
	}
	return list
}

// publish changes the configuration in force.
func (w *world) publish(change func(*config.Document)) {
	doc := new(config.Document)
	if r := w.syncs[0].Current(); r != nil {
		doc = r.Document.Canonical()
	}
	change(doc)
	for range 10 {
		report, err := w.syncs[0].Publish(w.ctx, configsync.Proposal{Base: w.syncs[0].Current(), Document: doc})
		assert.NilError(w.t, err)
		if report.Result == configlog.ResultAccepted {
			return
		}
		w.t.Log(report)
		time.Sleep(time.Second)
	}
	w.t.Fatal("the document was not accepted")
}

// directive returns the plan in force at an entry.
func (w *world) directive(entry int) (*planner.Directive, int64) {
	plan, ok := w.syncs[entry].Plans()[model]
	if !ok {
		return nil, 0
	}
	d, err := planner.Decode(plan.Data)
	assert.NilError(w.t, err)
	return d, plan.Offset
}

// wait lets time pass until a condition holds and returns how long it took.
func (w *world) wait(what string, limit time.Duration, holds func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			w.t.Fatalf("not after %s: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// settled tells whether all live engines hold what the plan's last step wants.
func (w *world) settled(version string) bool {
	d, _ := w.directive(0)
	if d == nil || len(d.Moves) > 0 || d.Version != version {
		return false
	}
	live := map[string]plans.Engine{}
	for _, e := range w.entries[0].Engines() {
		live[e.ID] = e
	}
	for _, h := range d.Wanted {
		e, known := live[h.Engine]
		if !known || e.Range != h.Range || h.Range.Limit > 0 && (e.Version != version || h.Version != "") {
			return false
		}
	}
	return len(d.Wanted) == len(live)
}

// complete asks an entry for an answer and compares it with the exact one.
func (w *world) complete(entry, prompt string, tokens int) error {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(w.ctx, http.MethodPost, "http://"+entry+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DialContext: w.network.Dialer("caller"), DisableKeepAlives: true}}
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

// load keeps callers busy until the returned function is called, which returns
// the number of exact answers and the errors.
func (w *world) load(callers, tokens int) func() (int, []error) {
	ctx, cancel := context.WithCancel(w.ctx)
	var mu sync.Mutex
	var group sync.WaitGroup
	exact, failed := 0, []error(nil)
	for i := range callers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				err := w.complete("entry-0", fmt.Sprintf("caller %d asks %d", i, n), tokens)
				mu.Lock()
				if err != nil {
					failed = append(failed, fmt.Errorf("at %s: %w", time.Now().Format("15:04:05.000"), err))
				} else {
					exact++
				}
				mu.Unlock()
				// Without a pause, refusals at once would keep the fake clock from moving.
				time.Sleep(callerPause)
			}
		})
	}
	return func() (int, []error) {
		cancel()
		group.Wait()
		return exact, failed
	}
}
