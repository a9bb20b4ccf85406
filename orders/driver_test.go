package orders

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/order"
	"github.com/sapphirefield/sapphirefield/placement"
	"github.com/sapphirefield/sapphirefield/planner"
	"github.com/sapphirefield/sapphirefield/sidecar"
	"github.com/sapphirefield/sapphirefield/standin"
)

// process is a sidecar's surroundings: the plans that it has folded, whether
// they are the newest, and what the engine is said to serve.
type process struct {
	mu      sync.Mutex
	doc     *config.Document
	plan    configlog.ActivePlan
	atEnd   bool
	served  sidecar.ServingState
	changed chan struct{}
	// running stops the driver's loop while it is held; freeing stops Vacate.
	running, freeing gate
}

// gate is a lock on which a goroutine waits without stopping the fake clock.
type gate chan struct{}

func (g gate) Lock()   { g <- struct{}{} }
func (g gate) Unlock() { <-g }

func (p *process) Current() *configlog.Revision {
	return &configlog.Revision{Number: 1, Document: p.doc}
}

func (p *process) Plans() map[string]configlog.ActivePlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]configlog.ActivePlan{"m": p.plan}
}

func (p *process) Changed() <-chan struct{} {
	p.running.Lock()
	defer p.running.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

func (p *process) PlansUpToDate(context.Context) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.atEnd
}

func (p *process) SetServing(h sidecar.ServingState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.served = h
}

func (p *process) DrainForOrder(context.Context, time.Duration) {
	p.SetServing(sidecar.ServingState{})
	p.freeing.Lock()
	defer p.freeing.Unlock()
}

func (p *process) MarkEngineDown(context.Context, error) {}

func (p *process) fold(t *testing.T, offset int64, layers placement.Range) {
	data, err := planner.Encode(&planner.Directive{Version: "1", Wanted: []planner.EngineAssignment{{Engine: "e", Range: layers}}})
	assert.NilError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan = configlog.ActivePlan{Offset: offset, Data: data}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *process) setAtEnd(atEnd bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.atEnd = atEnd
}

// serves returns the first layer that is served, or -1.
func (p *process) serves() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.served.Layers == nil {
		return -1
	}
	return int(p.served.Layers.First)
}

func start(t *testing.T, fencing config.Fencing) (*process, *standin.Engine, *Driver) {
	ctx, cancel := context.WithCancel(t.Context())
	network := standin.NewNetwork()
	engine := standin.NewEngine(standin.EngineOptions{
		Model: "m", Layers: 12, ChecksFencing: fencing == config.FencingChecks, LoadTimePerLayer: 100 * time.Millisecond,
	})
	server := &http.Server{Handler: engine.Handler()}
	go func() { _ = server.Serve(network.Listen("engine")) }()
	p := &process{changed: make(chan struct{}), running: make(gate, 1), freeing: make(gate, 1), atEnd: true, doc: &config.Document{Servers: []config.Server{{ID: "e", Fencing: fencing}}}}
	d := New(Options{
		ID: "e", Model: "m", Backend: "http://engine", DialBackend: network.Dialer("sidecar"), Source: p, Sidecar: p,
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	go func() { _ = d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
	return p, engine, d
}

var (
	low  = placement.Range{First: 0, Limit: 6}
	high = placement.Range{First: 6, Limit: 12}
)

// Guards against a process that resumes after a pause with an old plan and
// moves the engine back, or serves a range that the engine has left.
func TestResumedProcessWithOldPlan(t *testing.T) {
	for _, fencing := range []config.Fencing{config.FencingChecks, config.FencingIgnores} {
		t.Run(string(fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, engine, d := start(t, fencing)
				p.fold(t, 1, low)
				time.Sleep(time.Minute)
				assert.Equal(t, p.serves(), 0)

				p.running.Lock()
				// The loop takes one more input before it stops.
				time.Sleep(time.Second)
				p.setAtEnd(false)
				moved, err := d.engine.give(t.Context(), order.SendOrder{ID: 1, Fence: 2, Wanted: order.State{
					Model: "m", Version: "1", Layers: order.LayerRange{First: 6, Limit: 12}, Role: roleServe,
				}})
				assert.NilError(t, err)
				assert.Equal(t, moved, order.Input(order.OrderAccepted{ID: 1}))
				time.Sleep(20 * time.Second)
				p.running.Unlock()
				time.Sleep(time.Second)
				assert.Equal(t, p.serves(), -1, "a process that may hold an old plan serves")
				time.Sleep(time.Minute)
				assert.Equal(t, engine.State().First, uint32(6), "an old plan moved the engine")
				assert.Equal(t, p.serves(), -1)

				p.fold(t, 2, high)
				p.setAtEnd(true)
				time.Sleep(time.Minute)
				assert.Equal(t, p.serves(), 6)
				assert.Equal(t, engine.Moves(), 2, "the engine was moved without need")
			})
		})
	}
}

// Guards against an order that leaves the process long after it was decided,
// when a newer plan wants something else.
func TestOrderOfOldPlanIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, engine, _ := start(t, config.FencingIgnores)
		p.freeing.Lock()
		p.fold(t, 1, low)
		time.Sleep(30 * time.Second)
		assert.Equal(t, engine.Moves(), 0)
		p.fold(t, 2, high)
		p.freeing.Unlock()
		time.Sleep(time.Minute)
		assert.Equal(t, p.serves(), 6)
		assert.Equal(t, engine.Moves(), 1, "the order of the old plan was sent")
	})
}

// Guards against work for an engine that no plan wants any more, and against an
// order that takes its layers away without need.
func TestReleasedEngineServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, engine, _ := start(t, config.FencingChecks)
		p.fold(t, 1, low)
		time.Sleep(time.Minute)
		p.fold(t, 2, placement.Range{})
		time.Sleep(time.Minute)
		assert.Equal(t, p.serves(), -1)
		assert.Equal(t, engine.Moves(), 1)
		p.fold(t, 3, low)
		time.Sleep(time.Minute)
		assert.Equal(t, p.serves(), 0)
		assert.Equal(t, engine.Moves(), 1)
	})
}
