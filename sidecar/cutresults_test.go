package sidecar

import (
	"fmt"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/standin/rawhttp"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards against results of an engine that count as all of them although its answer, which
// states no length, was cut between two: the other requests would get none.
func TestCutResultsOfEngineAreNotWhole(t *testing.T) {
	steps := []*wire.EngineStep{{Request: "a", Attempt: 1, Token: 3}, {Request: "b", Attempt: 1, Token: 4}}
	results := &wire.EngineResults{Results: []*wire.EngineResult{{Request: "a", Attempt: 1, Token: 5}, {Request: "b", Attempt: 1, Token: 6}}}
	whole, err := proto.Marshal(results)
	assert.NilError(t, err)
	for sent := range len(whole) + 1 {
		for framing, head := range map[string]string{
			"length":            fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n", len(whole)),
			"end of connection": "HTTP/1.1 200 OK\n\n",
		} {
			engine := httptest.NewServer(rawhttp.Answer(head, string(whole[:sent])))
			s := New(Options{ID: "s", Backend: engine.URL, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}})
			got, err := s.postSteps(t.Context(), steps)
			assert.Equal(t, err == nil, sent == len(whole), "%s, %d of %d bytes: %v", framing, sent, len(whole), got)
			engine.Close()
		}
	}
}
