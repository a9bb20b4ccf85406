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

// fakeProcess implements PlanSource and Sidecar. It holds the plan, whether it is up
// to date, and what the driver says that the engine serves.
type fakeProcess struct {
	mu      sync.Mutex
	doc     *config.Document
	plan    configlog.ActivePlan
	atEnd   bool
	serving sidecar.ServingState
	changed chan struct{}
	// loopLock blocks the driver's loop while it is held, drainLock blocks DrainForOrder.
	loopLock, drainLock channelMutex
}

// channelMutex is a mutex made of a channel. Unlike with sync.Mutex, the fake clock
// advances while a goroutine waits for it.
type channelMutex chan struct{}

func (g channelMutex) Lock()   { g <- struct{}{} }
func (g channelMutex) Unlock() { <-g }

func (p *fakeProcess) Current() *configlog.Revision {
	return &configlog.Revision{Number: 1, Document: p.doc}
}

func (p *fakeProcess) Plans() map[string]configlog.ActivePlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]configlog.ActivePlan{"m": p.plan}
}

func (p *fakeProcess) Changed() <-chan struct{} {
	p.loopLock.Lock()
	defer p.loopLock.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

func (p *fakeProcess) PlansUpToDate(context.Context) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.atEnd
}

func (p *fakeProcess) SetServing(h sidecar.ServingState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serving = h
}

func (p *fakeProcess) DrainForOrder(context.Context, time.Duration) {
	p.SetServing(sidecar.ServingState{})
	p.drainLock.Lock()
	defer p.drainLock.Unlock()
}

func (p *fakeProcess) MarkEngineDown(context.Context, error) {}

func (p *fakeProcess) publishPlan(t *testing.T, offset int64, layers placement.Range) {
	data, err := planner.Encode(&planner.Directive{Version: "1", Wanted: []planner.EngineAssignment{{Engine: "e", Range: layers}}})
	assert.NilError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan = configlog.ActivePlan{Offset: offset, Data: data}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakeProcess) setAtEnd(atEnd bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.atEnd = atEnd
}

// firstServedLayer returns the first layer that is served, or -1 if none is.
func (p *fakeProcess) firstServedLayer() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serving.Layers == nil {
		return -1
	}
	return int(p.serving.Layers.First)
}

func startDriver(t *testing.T, fencing config.Fencing) (*fakeProcess, *standin.Engine, *Driver) {
	ctx, cancel := context.WithCancel(t.Context())
	network := standin.NewNetwork()
	engine := standin.NewEngine(standin.EngineOptions{
		Model: "m", Layers: 12, ChecksFencing: fencing == config.FencingChecks, LoadTimePerLayer: 100 * time.Millisecond,
	})
	server := &http.Server{Handler: engine.Handler()}
	go func() { _ = server.Serve(network.Listen("engine")) }()
	p := &fakeProcess{changed: make(chan struct{}), loopLock: make(channelMutex, 1), drainLock: make(channelMutex, 1), atEnd: true, doc: &config.Document{Servers: []config.Server{{ID: "e", Fencing: fencing}}}}
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
	firstHalf  = placement.Range{First: 0, Limit: 6}
	secondHalf = placement.Range{First: 6, Limit: 12}
)

// A process that resumes after a pause with an old plan must not move the engine
// back to it, nor serve a range that the engine no longer holds.
func TestResumedProcessWithOldPlan(t *testing.T) {
	for _, fencing := range []config.Fencing{config.FencingChecks, config.FencingIgnores} {
		t.Run(string(fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, engine, d := startDriver(t, fencing)
				p.publishPlan(t, 1, firstHalf)
				time.Sleep(time.Minute)
				assert.Equal(t, p.firstServedLayer(), 0)

				p.loopLock.Lock()
				// The loop handles one more input before it blocks.
				time.Sleep(time.Second)
				p.setAtEnd(false)
				outcome, err := d.engine.sendOrder(t.Context(), order.SendOrder{ID: 1, Fence: 2, Wanted: order.State{
					Model: "m", Version: "1", Layers: order.LayerRange{First: 6, Limit: 12}, Role: roleServe,
				}})
				assert.NilError(t, err)
				assert.Equal(t, outcome, order.Input(order.OrderAccepted{ID: 1}))
				time.Sleep(20 * time.Second)
				p.loopLock.Unlock()
				time.Sleep(time.Second)
				assert.Equal(t, p.firstServedLayer(), -1, "a process whose plan may be out of date serves")
				time.Sleep(time.Minute)
				assert.Equal(t, engine.State().First, uint32(6), "the order of an old plan moved the engine")
				assert.Equal(t, p.firstServedLayer(), -1)

				p.publishPlan(t, 2, secondHalf)
				p.setAtEnd(true)
				time.Sleep(time.Minute)
				assert.Equal(t, p.firstServedLayer(), 6)
				assert.Equal(t, engine.WeightLoads(), 2, "the engine was moved unnecessarily")
			})
		})
	}
}

// An order that is delayed in the process until a newer plan wants another state
// must not be sent.
func TestOrderOfOldPlanIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, engine, _ := startDriver(t, config.FencingIgnores)
		p.drainLock.Lock()
		p.publishPlan(t, 1, firstHalf)
		time.Sleep(30 * time.Second)
		assert.Equal(t, engine.WeightLoads(), 0)
		p.publishPlan(t, 2, secondHalf)
		p.drainLock.Unlock()
		time.Sleep(time.Minute)
		assert.Equal(t, p.firstServedLayer(), 6)
		assert.Equal(t, engine.WeightLoads(), 1, "the order of the old plan was sent")
	})
}

// An engine that the plan no longer uses must serve nothing, but must receive no
// order that unloads its layers.
func TestUnassignedEngineServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, engine, _ := startDriver(t, config.FencingChecks)
		p.publishPlan(t, 1, firstHalf)
		time.Sleep(time.Minute)
		p.publishPlan(t, 2, placement.Range{})
		time.Sleep(time.Minute)
		assert.Equal(t, p.firstServedLayer(), -1)
		assert.Equal(t, engine.WeightLoads(), 1)
		p.publishPlan(t, 3, firstHalf)
		time.Sleep(time.Minute)
		assert.Equal(t, p.firstServedLayer(), 0)
		assert.Equal(t, engine.WeightLoads(), 1)
	})
}
