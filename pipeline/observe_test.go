package pipeline

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLinkHysteresis guards against estimates that follow single slow frames or
// miss a lasting change.
func TestLinkHysteresis(t *testing.T) {
	l := NewLinkEstimator()
	l.Set("a", "b", 1e8, time.Millisecond)
	const large = 1 << 20
	before := l.Cost("a", "b", large)
	normal := time.Duration(before * float64(time.Second))
	for i := range 50 {
		took := normal
		if i%10 == 0 {
			took *= 3
		}
		l.Observe("a", "b", large, took)
	}
	assert.Equal(t, l.Cost("a", "b", large), before)
	for range 100 {
		l.Observe("a", "b", large, 10*normal)
	}
	assert.Assert(t, l.Cost("a", "b", large) > 8*before)
	assert.Assert(t, l.Cost("a", "b", 100) < 2*before, "small frames must not look slow")
}

// TestCacheIndex guards against full weight for entries that are old, evicted or
// from before a gap in the events.
func TestCacheIndex(t *testing.T) {
	req := Request{At: start, PromptTokens: 100, Prefixes: []Prefix{{Hash: 1, Tokens: 80}}}
	stored := CacheEvent{Instance: "e", Sequence: 5, At: start, Hash: 1}
	cases := []struct {
		name   string
		events []CacheEvent
		at     time.Duration
		want   float64
	}{
		{"fresh", nil, 0, 80},
		{"old", nil, prefixHalfLife, 40},
		{"evicted", []CacheEvent{{Instance: "e", Sequence: 6, At: start, Hash: 1, Evicted: true}}, 0, 0},
		{"gap", []CacheEvent{{Instance: "e", Sequence: 8, At: start, Hash: 2}}, 0, 20},
		{"stored again after a gap", []CacheEvent{{Instance: "e", Sequence: 8, At: start, Hash: 1}}, 0, 80},
		{"eviction that arrives late", []CacheEvent{{Instance: "e", Sequence: 4, At: start, Hash: 1, Evicted: true}}, 0, 80},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			x := NewCacheIndex()
			for _, event := range append([]CacheEvent{stored}, tc.events...) {
				x.Observe(event)
			}
			late := req
			late.At = start.Add(tc.at)
			assert.Equal(t, x.SavedTokens("e", late), tc.want)
			x.Forget("e")
			assert.Equal(t, x.SavedTokens("e", late), 0.0)
		})
	}
}

// TestPopularPrefix guards against sending all requests with a popular prefix to
// one engine.
func TestPopularPrefix(t *testing.T) {
	c := NewChooser(ChooserOptions{Layers: 8})
	c.Update(1, stageGrid([]int{0, 8}, []string{"a", "b", "c", "d"}, func(int, int) float64 { return 100 }))
	c.ObserveCache(CacheEvent{Instance: "e1-a", Sequence: 1, At: start, Hash: 1})
	counts := map[string]int{}
	req := Request{At: start, PromptTokens: 2000, OutputTokens: 200, Prefixes: []Prefix{{Hash: 1, Tokens: 2000}}}
	for range 400 {
		chain, err := c.Choose(req, nil)
		assert.NilError(t, err)
		counts[chain.Stages[0].Instance]++
	}
	assert.Assert(t, counts["e1-a"] > 100, "the cached prefix is not used: %v", counts)
	assert.Assert(t, counts["e1-a"] < 200, "one engine receives too many requests: %v", counts)
}

// TestLoadShiftsChoice guards against sending requests to a loaded or draining engine.
func TestLoadShiftsChoice(t *testing.T) {
	for _, load := range []Load{{Running: 500}, {Draining: true}, {Down: true}} {
		c := NewChooser(ChooserOptions{Layers: 8})
		c.Update(1, stageGrid([]int{0, 8}, []string{"a", "b"}, func(int, int) float64 { return 100 }))
		load.Instance, load.At = "e1-a", start
		c.Observe(load)
		for range 10 {
			chain, err := c.Choose(Request{At: start}, nil)
			assert.NilError(t, err)
			assert.Equal(t, chain.Stages[0].Instance, "e1-b")
		}
	}
}
