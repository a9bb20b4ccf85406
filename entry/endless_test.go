package entry

import (
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/wire"
)

// endlessCall is a call whose server answers without end.
type endlessCall struct {
	*unaryAttempt
	sequence uint64
}

func newEndlessCall(s *Server) *endlessCall {
	call := &unaryCall{server: s, request: attempt.NewRequest(false)}
	number := call.request.StartAttempt()
	a := &unaryAttempt{call: call, ex: newExchange(attemptKey("call", number)), response: newUnaryResponse()}
	a.handle(peerEvent{frame: &wire.WorkDown{Body: &wire.WorkDown_CallHead{CallHead: &wire.CallHead{Status: 200}}}})
	return &endlessCall{unaryAttempt: a}
}

// receive handles the next part of the response and reports whether the call has ended.
func (c *endlessCall) receive(part []byte) bool {
	done, _ := c.handle(peerEvent{frame: &wire.WorkDown{Body: &wire.WorkDown_CallBody{CallBody: &wire.CallBody{Sequence: c.sequence, Data: part}}}})
	c.sequence++
	return done
}

// Guards against a broken server that sends bodies without end to many calls, which the
// entry keeps until it runs out of memory, and against small answers of other servers that
// find no memory meanwhile.
func TestEndlessResponsesShareMemory(t *testing.T) {
	const calls = 40
	s := New(t.Context(), Options{Logger: &log.Logger{Level: log.PanicLevel}, Config: func() *config.Document { return nil }})
	part := make([]byte, 1<<20)
	var open []*endlessCall
	for range calls {
		open = append(open, newEndlessCall(s))
	}
	held := 0
	for ended := 0; ended < calls; {
		for i, c := range open {
			if c == nil {
				continue
			}
			if c.receive(part) {
				ended++
				open[i] = nil // its memory counts until the call is over
			}
			held = max(held, heldBytes(open))
			assert.Assert(t, held <= maxResponseMemory+calls*(freeResponseBytes+len(part)), "%d bytes are held", held)
		}
		small := newEndlessCall(s)
		assert.Assert(t, !small.receive(make([]byte, freeResponseBytes)), "a small answer finds no memory")
		small.call.releaseMemory()
	}
}

func heldBytes(calls []*endlessCall) (total int) {
	for _, c := range calls {
		if c != nil {
			total += len(c.response.body)
		}
	}
	return total
}
