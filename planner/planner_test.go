package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/placement"
)

var start = time.Unix(1_000_000, 0)

var model = placement.Model{Layers: 24, BytesPerLayer: 1 << 30, ActivationBytes: 8 << 10}

func fleet(names ...string) placement.Fleet {
	f := placement.Fleet{Links: []placement.Link{{From: "z", To: "z", BytesPerSecond: 1e9}}}
	for _, name := range names {
		f.Engines = append(f.Engines, placement.Engine{Name: name, Zone: "z", MemoryBytes: 10 << 30, LayerTokensPerSecond: 8000})
	}
	return f
}

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("e%02d", i)
	}
	return list
}

// world applies directives to engines at once and checks coverage on the way.
type world struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	in      Input
	steps   int
}

func newWorld(t *testing.T, engines ...string) *world {
	return &world{t: t, planner: New(rand.New(rand.NewPCG(1, 2))), now: start, in: Input{
		Fleet: fleet(engines...), Model: model, Version: "1", LoadedLayers: map[string]placement.Range{},
	}}
}

// run advances the time second by second; engines obey a directive at once.
func (w *world) run(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		directive, err := w.planner.Decide(w.now, w.in)
		assert.NilError(w.t, err)
		if directive == nil {
			continue
		}
		w.steps++
		w.in.Current = directive
		for _, e := range w.in.Fleet.Engines {
			if r, known := directive.AssignedRange(e.Name); known {
				w.in.LoadedLayers[e.Name] = r
			}
		}
	}
}

func (w *world) lose(engine string) {
	var left []placement.Engine
	for _, e := range w.in.Fleet.Engines {
		if e.Name != engine {
			left = append(left, e)
		}
	}
	w.in.Fleet.Engines = left
	delete(w.in.LoadedLayers, engine)
}

// Guards the first plan: engines that hold nothing must come to cover all layers.
func TestFirstPlanCoversAllLayers(t *testing.T) {
	w := newWorld(t, names(6)...)
	w.run(10)
	assert.Equal(t, w.steps, 1)
	assert.Assert(t, covered(w.in))
}

// Guards against moving weights for a restart that ends within seconds.
func TestShortAbsenceChangesNothing(t *testing.T) {
	w := newWorld(t, names(6)...)
	w.run(10)
	held := w.in.LoadedLayers["e00"]
	w.lose("e00")
	w.run(1)
	w.in.Fleet = fleet(names(6)...)
	w.in.LoadedLayers["e00"] = held
	w.run(60)
	assert.Equal(t, w.steps, 1)
}

// Guards service through a loss and a return: the layers stay covered after
// each step, and planning comes to rest.
func TestLossAndReturn(t *testing.T) {
	w := newWorld(t, names(9)...)
	w.run(10)
	w.lose("e03")
	for range 120 {
		was := covered(w.in)
		w.run(1)
		assert.Assert(t, !was || covered(w.in), "a step uncovered a layer")
	}
	assert.Assert(t, covered(w.in))
	w.in.Fleet = fleet(names(9)...)
	w.in.LoadedLayers["e03"] = placement.Range{}
	w.run(180)
	assert.Assert(t, covered(w.in))
	settled := w.steps
	w.run(120)
	assert.Equal(t, w.steps, settled, "planning does not come to rest")
}

// Guards against all entries proposing in the same second.
func TestProposalsAreSpread(t *testing.T) {
	first := map[int]int{}
	for seed := range uint64(20) {
		w := newWorld(t, names(6)...)
		w.planner = New(rand.New(rand.NewPCG(seed, 0)))
		for second := 0; w.steps == 0; second++ {
			w.run(1)
			first[second]++
		}
	}
	assert.Assert(t, len(first) > 1)
}

// Guards adapters: a change of them alone must reach the engines, and move no weights.
func TestChangeOfAdapters(t *testing.T) {
	w := newWorld(t, names(6)...)
	w.run(10)
	before := w.in.Current
	w.in.Adapters = []string{"marine"}
	w.run(10)
	assert.Equal(t, w.steps, 2)
	assert.DeepEqual(t, w.in.Current.Adapters, []string{"marine"})
	assert.DeepEqual(t, w.in.Current.Wanted, before.Wanted)
	w.run(30)
	assert.Equal(t, w.steps, 2, "planning does not come to rest")
}
