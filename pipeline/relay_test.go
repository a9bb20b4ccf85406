package pipeline

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func relayModel() RelayModel {
	return RelayModel{
		Layers: 80, ActivationBytes: 29500, StepTime: 850 * time.Microsecond, RequestStepTime: 3820 * time.Nanosecond,
		ContextStepTime: 5120 * time.Nanosecond, PromptTokensPerSecond: 196000,
	}
}

func relayEngine(name, zone string, first, limit int, factor float64) RelayEngine {
	return RelayEngine{
		Name: name, Address: name + ":1", Zone: zone, First: first, Limit: limit,
		StepFactor: factor, PromptFactor: factor, Slowdown: 1, Capacity: 50000 * float64(limit-first),
	}
}

func checkPath(t interface {
	Helper()
	Errorf(string, ...any)
}, engines []RelayEngine, hops []Hop, layers int) {
	t.Helper()
	byName := map[string]RelayEngine{}
	for _, e := range engines {
		byName[e.Name] = e
	}
	at, seen := 0, map[string]bool{}
	for _, h := range hops {
		e := byName[h.Engine]
		if h.First != at || h.Limit <= h.First || h.First < e.First || h.Limit > e.Limit || seen[h.Engine] {
			t.Errorf("hop %+v of %+v at layer %d", h, hops, at)
		}
		seen[h.Engine] = true
		at = h.Limit
	}
	if at != layers {
		t.Errorf("path %+v ends at layer %d", hops, at)
	}
}

func formatHops(hops []Hop) string {
	parts := make([]string, len(hops))
	for i, h := range hops {
		parts[i] = fmt.Sprintf("%s=%d-%d", h.Engine, h.First, h.Limit)
	}
	return strings.Join(parts, " ")
}

// Guards against less urgent requests that take the room which is kept for others, and
// against streams that have begun, or the largest requests, which are kept out by it.
func TestRequestsLeaveRoomToMoreUrgentOnes(t *testing.T) {
	const keepFree = 0.1
	links := map[[2]string]RelayLink{{"a", "b"}: {BytesPerSecond: 1e9}}
	for name, use := range map[string]func(e *RelayEngine, l *RelayLink){
		"memory":  func(e *RelayEngine, _ *RelayLink) { e.Used = 0.9 * e.Capacity },
		"prompts": func(e *RelayEngine, _ *RelayLink) { e.PromptLoad = 0.65 },
		"links":   func(_ *RelayEngine, l *RelayLink) { l.Load = 0.75 },
	} {
		first, second, link := relayEngine("x", "a", 0, 40, 1), relayEngine("y", "b", 40, 80, 1), links[[2]string{"a", "b"}]
		use(&first, &link)
		find := func(r RelayRequest) error {
			r.PromptTokens, r.AnswerTokens = 700, 100
			_, _, err := NewPathfinder(relayModel()).Find([]RelayEngine{first, second}, map[[2]string]RelayLink{{"a", "b"}: link}, r)
			return err
		}
		assert.Check(t, find(RelayRequest{}), name)
		assert.Check(t, find(RelayRequest{KeepFree: keepFree}) != nil, name)
		assert.Check(t, find(RelayRequest{KeepFree: keepFree, AnswerStarted: true}), name)
	}
	large := RelayRequest{PromptTokens: 46000, AnswerTokens: 1000, KeepFree: keepFree}
	_, _, err := NewPathfinder(relayModel()).Find([]RelayEngine{relayEngine("x", "a", 0, 80, 1)}, nil, large)
	assert.NilError(t, err)
}

// TestPathRunsEveryLayerOnce guards against a path that skips or repeats a layer,
// exceeds an engine's range, or contains an engine twice.
func TestPathRunsEveryLayerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []RelayEngine
		for i := range rapid.IntRange(1, 14).Draw(t, "engines") {
			first := rapid.IntRange(0, 79).Draw(t, "first")
			limit := rapid.IntRange(first+1, 80).Draw(t, "limit")
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			engines = append(engines, relayEngine(fmt.Sprint(i), zone, first, limit, rapid.Float64Range(1, 16).Draw(t, "factor")))
		}
		hops, _, err := NewPathfinder(relayModel()).Find(engines, nil, RelayRequest{PromptTokens: 700, AnswerTokens: 170})
		if err == nil {
			checkPath(t, engines, hops, 80)
		}
	})
}

// TestPathFillsGapFromAnotherChain guards against losing a whole chain with one of
// its engines: an engine of another chain runs the missing layers.
func TestPathFillsGapFromAnotherChain(t *testing.T) {
	engines := []RelayEngine{
		relayEngine("a0", "a", 0, 40, 2), relayEngine("a2", "a", 60, 80, 2),
		relayEngine("b0", "b", 0, 30, 15), relayEngine("b1", "b", 30, 70, 15), relayEngine("b2", "b", 70, 80, 15),
	}
	hops, _, err := NewPathfinder(relayModel()).Find(engines, nil, RelayRequest{PromptTokens: 700, AnswerTokens: 170})
	assert.NilError(t, err)
	assert.Equal(t, formatHops(hops), "a0=0-40 b1=40-60 a2=60-80")
	_, _, err = NewPathfinder(relayModel()).Find(engines, nil, RelayRequest{
		PromptTokens: 700, AnswerTokens: 170, Exclude: map[string]bool{"b1": true},
	})
	assert.ErrorIs(t, err, ErrNoChain)
}

// TestRepairedPathKeepsFirstHop guards against a repaired path that changes its
// first hop, whose engine holds the connection of the request.
func TestRepairedPathKeepsFirstHop(t *testing.T) {
	engines := []RelayEngine{
		relayEngine("a0", "a", 0, 40, 2), relayEngine("a1", "a", 40, 80, 2),
		relayEngine("b0", "b", 0, 50, 15), relayEngine("b1", "b", 50, 80, 15), relayEngine("c", "a", 20, 60, 1),
	}
	first := Hop{Engine: "a0", Address: "a0:1", First: 0, Limit: 40}
	hops, _, err := NewPathfinder(relayModel()).Find(engines, nil, RelayRequest{
		PromptTokens: 700, AnswerTokens: 170, CurrentPath: []Hop{first}, Exclude: map[string]bool{"a1": true},
	})
	assert.NilError(t, err)
	assert.Equal(t, formatHops(hops[:1]), "a0=0-40")
	checkPath(t, engines, hops, 80)
	for _, h := range hops {
		assert.Assert(t, h.Engine != "a1")
	}
}

// TestPathAvoidsFullEngine guards against sending requests to the fastest engines
// when their memory is full, which would preempt answers in progress.
func TestPathAvoidsFullEngine(t *testing.T) {
	fast, slow := relayEngine("fast", "a", 0, 80, 1.4), relayEngine("slow", "a", 0, 80, 15)
	find := func() string {
		hops, _, err := NewPathfinder(relayModel()).Find([]RelayEngine{fast, slow}, nil, RelayRequest{PromptTokens: 700, AnswerTokens: 170})
		assert.NilError(t, err)
		return hops[0].Engine
	}
	assert.Equal(t, find(), "fast")
	fast.Used = fast.Capacity * 0.95
	assert.Equal(t, find(), "slow")
}

// TestPathAvoidsOverloadedLink guards against sending further requests over an
// overloaded link between zones when there is a slower path within one zone.
func TestPathAvoidsOverloadedLink(t *testing.T) {
	engines := []RelayEngine{
		relayEngine("x", "a", 0, 40, 2), relayEngine("y", "b", 40, 80, 2), relayEngine("z", "a", 40, 80, 8),
	}
	r := RelayRequest{PromptTokens: 700, AnswerTokens: 170}
	links := map[[2]string]RelayLink{{"a", "b"}: {Latency: 400 * time.Microsecond, BytesPerSecond: 1.125e9}}
	hops, _, err := NewPathfinder(relayModel()).Find(engines, links, r)
	assert.NilError(t, err)
	assert.Equal(t, hops[1].Engine, "y")
	links[[2]string{"a", "b"}] = RelayLink{Latency: 400 * time.Microsecond, BytesPerSecond: 1.125e9, Load: 0.9}
	hops, _, err = NewPathfinder(relayModel()).Find(engines, links, r)
	assert.NilError(t, err)
	assert.Equal(t, hops[1].Engine, "z")
}

// TestPathAvoidsEngineOverloadedByPrompts guards against prompts that queue up at
// an engine that replaces a lost one: requests must go elsewhere or be refused
// before its queue grows without bound.
func TestPathAvoidsEngineOverloadedByPrompts(t *testing.T) {
	busy, other := relayEngine("busy", "a", 0, 80, 2), relayEngine("other", "a", 0, 80, 15)
	r := RelayRequest{PromptTokens: 700, AnswerTokens: 170}
	busy.PromptLoad = 0.8
	hops, _, err := NewPathfinder(relayModel()).Find([]RelayEngine{busy, other}, nil, r)
	assert.NilError(t, err)
	assert.Equal(t, hops[0].Engine, "other")
	_, _, err = NewPathfinder(relayModel()).Find([]RelayEngine{busy}, nil, r)
	assert.ErrorIs(t, err, ErrNoChain)
}

// BenchmarkPathfinder guards against a search that uses a noticeable part of the
// entry process's CPU time.
func BenchmarkPathfinder(b *testing.B) {
	var engines []RelayEngine
	for c := range 4 {
		for i := range 10 {
			engines = append(engines, relayEngine(fmt.Sprintf("%d-%d", c, i), fmt.Sprint(c%3), i*8, i*8+8, float64(1+c*4)))
		}
	}
	p := NewPathfinder(relayModel())
	for b.Loop() {
		if _, _, err := p.Find(engines, nil, RelayRequest{PromptTokens: 700, AnswerTokens: 170}); err != nil {
			b.Fatal(err)
		}
	}
}

// TestNoPathErrorReportsReason guards against a refusal whose log line does not
// give the reason.
func TestNoPathErrorReportsReason(t *testing.T) {
	full := relayEngine("b", "a", 40, 80, 1)
	full.Used = full.Capacity
	busy := relayEngine("c", "a", 40, 60, 1)
	busy.PromptLoad = 0.9
	engines := []RelayEngine{relayEngine("a", "a", 0, 40, 1), full, busy}
	_, _, err := NewPathfinder(relayModel()).Find(engines, nil, RelayRequest{PromptTokens: 700, AnswerTokens: 170})
	var noPath *NoPathError
	assert.Assert(t, errors.As(err, &noPath))
	assert.DeepEqual(t, *noPath, NoPathError{Layer: 40, Holders: 2, NoMemory: 1, PromptsOverloaded: 1})

	links := map[[2]string]RelayLink{{"a", "b"}: {BytesPerSecond: 1, Load: 1}}
	engines = []RelayEngine{relayEngine("a", "a", 0, 40, 1), relayEngine("b", "b", 40, 80, 1)}
	_, _, err = NewPathfinder(relayModel()).Find(engines, links, RelayRequest{PromptTokens: 700, AnswerTokens: 170})
	assert.Assert(t, errors.As(err, &noPath))
	assert.DeepEqual(t, *noPath, NoPathError{Layer: 40, Holders: 1, LinksFull: true})
}

// TestSlowLinkHasLowerLoadLimit guards against late streams on a slow link: each
// prompt occupies it for long, and tokens of other streams wait behind several
// prompts.
func TestSlowLinkHasLowerLoadLimit(t *testing.T) {
	m := relayModel()
	m.MeanPromptTokens = 700
	engines := []RelayEngine{relayEngine("a", "a", 0, 40, 1), relayEngine("b", "b", 40, 80, 1)}
	find := func(rate, load float64) error {
		links := map[[2]string]RelayLink{{"a", "b"}: {BytesPerSecond: rate, Load: load}}
		_, _, err := NewPathfinder(m).Find(engines, links, RelayRequest{PromptTokens: 700, AnswerTokens: 170})
		return err
	}
	const slow, fast = 220e6, 4000e6
	assert.NilError(t, find(fast, 0.7))
	const medium = 600e6
	assert.NilError(t, find(medium, 0.4))
	assert.ErrorIs(t, find(medium, 0.7), ErrNoChain)
	assert.ErrorIs(t, find(slow, 0.1), ErrNoChain)
}

// TestUnchangedHopsNeedNoCapacity guards against a stream that cannot leave an
// engine because its other engines are required to have capacity for it again.
func TestUnchangedHopsNeedNoCapacity(t *testing.T) {
	full := func(e RelayEngine) RelayEngine {
		e.Used, e.PromptLoad = e.Capacity, 0.9
		return e
	}
	engines := []RelayEngine{
		full(relayEngine("a", "a", 0, 20, 1)), full(relayEngine("b", "a", 20, 40, 1)),
		relayEngine("c", "a", 40, 60, 1), relayEngine("d", "a", 40, 60, 1), full(relayEngine("e", "b", 60, 80, 1)),
	}
	request := RelayRequest{PromptTokens: 700, AnswerTokens: 170, Exclude: map[string]bool{"c": true}}
	links := map[[2]string]RelayLink{{"a", "b"}: {BytesPerSecond: 1e9, Load: 0.5}}
	find := NewPathfinder(relayModel()).Find
	_, _, err := find(engines, links, request)
	assert.ErrorIs(t, err, ErrNoChain)
	request.CurrentPath = []Hop{
		{Engine: "a", First: 0, Limit: 20}, {Engine: "b", First: 20, Limit: 40},
		{Engine: "c", First: 40, Limit: 60}, {Engine: "e", First: 60, Limit: 80},
	}
	hops, _, err := find(engines, links, request)
	assert.NilError(t, err)
	assert.Equal(t, formatHops(hops), "a=0-20 b=20-40 d=40-60 e=60-80")
}

// TestAvoidSlowLinksExceptBetweenCurrentHops guards against rerouting many streams
// at once onto a slow link, where they would wait for each other's prompts.
func TestAvoidSlowLinksExceptBetweenCurrentHops(t *testing.T) {
	m := relayModel()
	m.MeanPromptTokens = 700
	engines := []RelayEngine{relayEngine("a", "a", 0, 40, 1), relayEngine("b", "b", 40, 60, 1), relayEngine("c", "b", 60, 80, 1)}
	links := map[[2]string]RelayLink{{"a", "b"}: {BytesPerSecond: 400e6}}
	request := RelayRequest{PromptTokens: 700, AnswerTokens: 170, CurrentPath: []Hop{{Engine: "a", First: 0, Limit: 40}}}
	_, _, err := NewPathfinder(m).Find(engines, links, request)
	assert.NilError(t, err)
	request.AvoidSlowLinks = true
	_, _, err = NewPathfinder(m).Find(engines, links, request)
	assert.ErrorIs(t, err, ErrNoChain)
	request.CurrentPath = append(request.CurrentPath, Hop{Engine: "b", First: 40, Limit: 60})
	_, _, err = NewPathfinder(m).Find(engines, links, request)
	assert.NilError(t, err)
}
