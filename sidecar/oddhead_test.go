package sidecar

import (
	"io"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/standin/rawhttp"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards against an answer of a backend server that is passed on although its head is none.
func TestHeadThatIsNoAnswerFailsCall(t *testing.T) {
	const body = "the body"
	for _, head := range rawhttp.InvalidHeads(len(body)) {
		t.Run(head, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startPlainSidecar(t, rawhttp.Answer(head, body))
				queue := link.NewQueue[*wire.WorkDown](1 << 16)
				s.attachEntry(&wire.Hello{Id: "entry-0", Incarnation: "i"}, queue)
				s.call(0)
				synctest.Wait()
				frames, _ := queue.Take()
				failed := false
				for _, frame := range frames {
					assert.Assert(t, frame.GetCallHead() == nil && frame.GetCallEnd() == nil, "%v", frame)
					if f := frame.GetFailed(); f != nil {
						failed = true
						assert.Equal(t, f.Executed, attempt.ExecutedUnknown.Wire())
					}
				}
				assert.Assert(t, failed)
			})
		})
	}
}

// Guards against an engine that counts as one that works, or whose steps count as run,
// because of bytes that are no answer.
func TestHeadThatIsNoAnswerSaysNothingOfEngine(t *testing.T) {
	const load = `{"progress": 1}`
	withLoad := rawhttp.InvalidHeads(len(load))
	for i, head := range rawhttp.InvalidHeads(0) {
		t.Run(head, func(t *testing.T) {
			empty, loaded := httptest.NewServer(rawhttp.Answer(head, "")), httptest.NewServer(rawhttp.Answer(withLoad[i], load))
			defer empty.Close()
			defer loaded.Close()
			s := New(Options{ID: "s", Backend: empty.URL, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}})
			defer s.engineClient.CloseIdleConnections()
			assert.Assert(t, !s.engineResponds(t.Context()))
			_, err := s.postSteps(t.Context(), []*wire.EngineStep{{Request: "r", Token: 3}})
			assert.Assert(t, err != nil)
			s.opts.Backend = loaded.URL
			assert.Assert(t, s.fetchEngineLoad(t.Context()) == nil)
		})
	}
}
