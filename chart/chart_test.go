package chart

import (
	"errors"
	"os"
	"strings"
	"testing"
	"testing/fstest"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Every embedded chart must load; otherwise the programs refuse to start.
func TestEmbeddedChartsLoad(t *testing.T) {
	names, err := Names(Files())
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{"attempt", "backend_server", "configuration_session", "connection",
		"engine_order", "entry_shutdown", "request"})
	for _, name := range names {
		c, err := Load(Files(), name)
		assert.NilError(t, err)
		assert.Equal(t, c.Name(), name)
	}
}

// The documentation page must match the embedded charts. Setting UPDATE_DOCS
// rewrites the page.
func TestPageMatchesCharts(t *testing.T) {
	page, err := MarkdownPage(Files())
	assert.NilError(t, err)
	const file = "../docs/state-charts.md"
	if os.Getenv("UPDATE_DOCS") != "" {
		assert.NilError(t, os.WriteFile(file, []byte(page), 0o644))
	}
	written, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Equal(t, string(written), page)
}

// Each validation rule must detect its error, and one run must report all errors
// with their positions.
func TestFindings(t *testing.T) {
	for _, name := range []string{"broken", "undecodable", "endless"} {
		_, err := Load(os.DirFS("testdata"), name)
		assert.Assert(t, err != nil, name)
		golden.Assert(t, err.Error()+"\n", name+".golden")
	}
	_, err := Load(os.DirFS("testdata"), "missing")
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// For every pair of state and event, Next must agree with the list of
// transitions, and an event that is not allowed must not change the state.
func TestNextAgreesWithTransitions(t *testing.T) {
	for name := range strings.FieldsSeq("attempt request engine_order") {
		c, err := Load(Files(), name)
		assert.NilError(t, err)
		allowed := map[Transition]bool{}
		for _, transition := range c.Transitions() {
			allowed[transition] = true
		}
		for _, s := range c.States() {
			for _, e := range c.Events() {
				next, err := c.Next(s.Name, e.Name)
				if err == nil {
					assert.Assert(t, allowed[Transition{s.Name, e.Name, next}])
					delete(allowed, Transition{s.Name, e.Name, next})
					continue
				}
				assert.Equal(t, next, s.Name)
				var notAllowed *EventNotAllowedError
				assert.Assert(t, errors.As(err, &notAllowed))
			}
		}
		assert.Equal(t, len(allowed), 0)
		_, err = c.Next("nowhere", c.Events()[0].Name)
		assert.ErrorContains(t, err, "nowhere")
	}
}

// Names that only the program or only the chart has must be reported, so that a
// program does not start with a chart that doesn't match it.
func TestExpect(t *testing.T) {
	const file = "name: lamp\ninitial: off\nstates: [{name: off}, {name: on}]\nevents: [{name: flip}]\n" +
		"transitions: [{from: off, event: flip, to: on}, {from: on, event: flip, to: off}]\n"
	c, err := Load(fstest.MapFS{"lamp.yaml": {Data: []byte(file)}}, "lamp")
	assert.NilError(t, err)
	assert.NilError(t, c.CheckNames([]State{"on", "off"}, []Event{"flip"}))
	err = c.CheckNames([]State{"on", "dim"}, []Event{"flip"})
	assert.ErrorContains(t, err, "the program uses dim")
	assert.ErrorContains(t, err, "the chart has off")
}

// Next is called for every frame, so it must not allocate, whether the event is
// allowed or not.
func TestNextDoesNotAllocate(t *testing.T) {
	c, err := Load(Files(), "attempt")
	assert.NilError(t, err)
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		_, _ = c.Next("running", "step_done")
		_, _ = c.Next("running", "open")
	}), 0.0)
}

func BenchmarkNext(b *testing.B) {
	c, err := Load(Files(), "attempt")
	assert.NilError(b, err)
	b.ReportAllocs()
	state := State("waiting")
	for b.Loop() {
		state, _ = c.Next(state, "run")
		state, _ = c.Next(state, "step_done")
	}
}
