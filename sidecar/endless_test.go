package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards against an engine that answers a batch of steps without end, and so makes its
// sidecar run out of memory. A node has 32 MB for control (CONTRIBUTING.md).
func TestEndlessResultsOfEngineAreCut(t *testing.T) {
	const controlMemory = 32 << 20
	sent := make(chan int, 1)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part, total := strings.Repeat("x", 32<<10), 0
		for err := error(nil); err == nil; {
			var n int
			n, err = io.WriteString(w, part)
			total += n
		}
		sent <- total
	}))
	t.Cleanup(engine.Close)
	s := New(Options{ID: "s", Backend: engine.URL, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}})
	steps := []*wire.EngineStep{{Request: "first stage", Index: 7, Token: 3}, {Request: "later stage", Index: 7, Activation: make([]byte, 64<<10)}}
	_, err := s.postSteps(t.Context(), steps)
	assert.ErrorContains(t, err, "too large")
	assert.Assert(t, <-sent < controlMemory)
}
