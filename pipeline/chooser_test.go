package pipeline

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// stageGrid returns one stage per zone for each segment between two bounds.
func stageGrid(bounds []int, zones []string, weight func(segment, zone int) float64) []Stage {
	var stages []Stage
	for i := 1; i < len(bounds); i++ {
		for z, zone := range zones {
			stages = append(stages, Stage{
				Instance: fmt.Sprintf("e%d-%s", i, zone), Zone: zone,
				First: bounds[i-1], Limit: bounds[i], Weight: weight(i-1, z),
			})
		}
	}
	return stages
}

// TestChainsCoverLayers guards against chains that skip, repeat or reorder layers,
// or use an excluded instance, when the set of stages changes.
func TestChainsCoverLayers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 12).Draw(t, "layers")
		c := NewChooser(ChooserOptions{Layers: layers, ActivationBytes: 16384})
		revision := int64(0)
		for range rapid.IntRange(1, 8).Draw(t, "updates") {
			revision++
			var stages []Stage
			for i := range rapid.IntRange(0, 10).Draw(t, "stages") {
				first := rapid.IntRange(0, layers-1).Draw(t, "first")
				stages = append(stages, Stage{
					Instance: fmt.Sprintf("e%d", i), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
					First: first, Limit: rapid.IntRange(first+1, layers).Draw(t, "limit"),
					Weight: rapid.Float64Range(1, 100).Draw(t, "weight"),
				})
			}
			c.Update(revision, stages)
			exclude := map[string]bool{"e0": rapid.Bool().Draw(t, "exclude")}
			req := Request{At: start, Zone: "a", PromptTokens: 100, Prefixes: []Prefix{{Hash: 1, Tokens: 50}}}
			c.ObserveCache(CacheEvent{Instance: "e1", Sequence: revision, At: start, Hash: 1})
			chain, err := c.Choose(req, exclude)
			if err != nil {
				assert.Assert(t, !canCover(stages, exclude, layers), "a chain exists but none was chosen")
				continue
			}
			assert.NilError(t, chain.Validate(layers))
			assert.Equal(t, chain.Revision, revision)
			for _, s := range chain.Stages {
				assert.Assert(t, !exclude[s.Instance])
			}
		}
	})
}

// canCover reports whether a chain of the stages exists. It checks this layer by
// layer, independently of the Chooser.
func canCover(stages []Stage, exclude map[string]bool, layers int) bool {
	reached := make([]bool, layers+1)
	reached[0] = true
	for layer := range layers {
		for _, s := range stages {
			if reached[layer] && s.First == layer && !exclude[s.Instance] {
				reached[s.Limit] = true
			}
		}
	}
	return reached[layers]
}

// TestSharesFollowWeights guards against a selection that drifts from the weights
// of the plan.
func TestSharesFollowWeights(t *testing.T) {
	c := NewChooser(ChooserOptions{Layers: 8})
	c.Update(1, stageGrid([]int{0, 3, 8}, []string{"a", "b"}, func(_, zone int) float64 { return 100 * float64(1+2*zone) }))
	counts := map[string]int{}
	for range 400 {
		chain, err := c.Choose(Request{At: start}, nil)
		assert.NilError(t, err)
		for _, s := range chain.Stages {
			counts[s.Instance]++
		}
		c.Done(chain)
	}
	for name, want := range map[string]int{"e1-a": 100, "e1-b": 300, "e2-a": 100, "e2-b": 300} {
		assert.Assert(t, counts[name] > want-12 && counts[name] < want+12, "%s: %d, want %d", name, counts[name], want)
	}
}

func BenchmarkChoose(b *testing.B) {
	// 350 stages correspond to one of 9 models on 3,100 engines.
	c := NewChooser(ChooserOptions{Layers: 80, ActivationBytes: 16384})
	var zones []string
	for i := range 14 {
		zones = append(zones, fmt.Sprint("z", i))
	}
	var stages []Stage
	for copies := range 5 {
		for _, s := range stageGrid([]int{0, 16, 32, 48, 64, 80}, zones, func(int, int) float64 { return 1000 }) {
			s.Instance += fmt.Sprint("-", copies)
			stages = append(stages, s)
		}
	}
	c.Update(1, stages)
	b.ReportAllocs()
	for b.Loop() {
		chain, err := c.Choose(Request{At: start, Zone: "z3", PromptTokens: 300}, nil)
		assert.NilError(b, err)
		c.Done(chain)
	}
}
