package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/placement"
)

var startTime = time.Unix(1_000_000, 0)

var model = placement.Model{Layers: 24, BytesPerLayer: 1 << 30, ActivationBytes: 8 << 10}

func fleet(names ...string) placement.Fleet {
	f := placement.Fleet{Links: []placement.Link{{From: "z", To: "z", BytesPerSecond: 1e9}}}
	for _, name := range names {
		f.Engines = append(f.Engines, placement.Engine{Name: name, Zone: "z", MemoryBytes: 10 << 30, LayerTokensPerSecond: 8000})
	}
	return f
}

func engineNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("e%02d", i)
	}
	return list
}

// simulation runs a Planner against engines that apply directives instantly.
type simulation struct {
	t         *testing.T
	planner   *Planner
	now       time.Time
	in        Input
	proposals int
}

func newSimulation(t *testing.T, engines ...string) *simulation {
	return &simulation{t: t, planner: New(rand.New(rand.NewPCG(1, 2))), now: startTime, in: Input{
		Fleet: fleet(engines...), Model: model, Version: "1", LoadedLayers: map[string]placement.Range{},
	}}
}

// run advances the time second by second.
func (s *simulation) run(seconds int) {
	for range seconds {
		s.now = s.now.Add(time.Second)
		directive, err := s.planner.Decide(s.now, s.in)
		assert.NilError(s.t, err)
		if directive == nil {
			continue
		}
		s.proposals++
		s.in.Current = directive
		for _, e := range s.in.Fleet.Engines {
			if r, known := directive.AssignedRange(e.Name); known {
				s.in.LoadedLayers[e.Name] = r
			}
		}
	}
}

func (s *simulation) removeEngine(engine string) {
	var remaining []placement.Engine
	for _, e := range s.in.Fleet.Engines {
		if e.Name != engine {
			remaining = append(remaining, e)
		}
	}
	s.in.Fleet.Engines = remaining
	delete(s.in.LoadedLayers, engine)
}

// The first plan must cover all layers with engines that have loaded none.
func TestFirstPlanCoversAllLayers(t *testing.T) {
	s := newSimulation(t, engineNames(6)...)
	s.run(10)
	assert.Equal(t, s.proposals, 1)
	assert.Assert(t, layersCovered(s.in))
}

// A restart that takes seconds must not move weights.
func TestShortAbsenceChangesNothing(t *testing.T) {
	s := newSimulation(t, engineNames(6)...)
	s.run(10)
	loaded := s.in.LoadedLayers["e00"]
	s.removeEngine("e00")
	s.run(1)
	s.in.Fleet = fleet(engineNames(6)...)
	s.in.LoadedLayers["e00"] = loaded
	s.run(60)
	assert.Equal(t, s.proposals, 1)
}

// After the loss and the return of an engine, each step must leave the layers
// covered, and planning must converge.
func TestLossAndReturn(t *testing.T) {
	s := newSimulation(t, engineNames(9)...)
	s.run(10)
	s.removeEngine("e03")
	for range 120 {
		coveredBefore := layersCovered(s.in)
		s.run(1)
		assert.Assert(t, !coveredBefore || layersCovered(s.in), "a step uncovered a layer")
	}
	assert.Assert(t, layersCovered(s.in))
	s.in.Fleet = fleet(engineNames(9)...)
	s.in.LoadedLayers["e03"] = placement.Range{}
	s.run(180)
	assert.Assert(t, layersCovered(s.in))
	proposalsBefore := s.proposals
	s.run(120)
	assert.Equal(t, s.proposals, proposalsBefore, "planning does not converge")
}

// Entries must not all propose in the same second.
func TestProposalsAreSpread(t *testing.T) {
	seconds := map[int]int{}
	for seed := range uint64(20) {
		s := newSimulation(t, engineNames(6)...)
		s.planner = New(rand.New(rand.NewPCG(seed, 0)))
		for second := 0; s.proposals == 0; second++ {
			s.run(1)
			seconds[second]++
		}
	}
	assert.Assert(t, len(seconds) > 1)
}

// A change of the adapters alone must reach the engines and move no weights.
func TestAdapterChangeMovesNoWeights(t *testing.T) {
	s := newSimulation(t, engineNames(6)...)
	s.run(10)
	before := s.in.Current
	s.in.Adapters = []string{"marine"}
	s.run(10)
	assert.Equal(t, s.proposals, 2)
	assert.DeepEqual(t, s.in.Current.Adapters, []string{"marine"})
	assert.DeepEqual(t, s.in.Current.Wanted, before.Wanted)
	s.run(30)
	assert.Equal(t, s.proposals, 2, "planning does not converge")
}
