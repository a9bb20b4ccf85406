package demo

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// The one end-to-end test over real sockets: it guards the whole path, a
// booking that runs once, and an answer that stays exact when a stage ends.
func TestDemo(t *testing.T) {
	defer goleak.VerifyNone(t,
		// The default HTTP client keeps connections, and go-metrics runs one ticker for the whole process.
		goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"),
		goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"),
	)
	var out bytes.Buffer
	assert.NilError(t, Run(t.Context(), &out, nil), out.String())
	assert.Assert(t, strings.Contains(out.String(), "all answers were whole and exact"))
}
