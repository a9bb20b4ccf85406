package demo

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// Tests the whole path over real sockets: a booking is executed exactly once, and
// a completion stays exact when a stage is lost.
func TestDemo(t *testing.T) {
	defer goleak.VerifyNone(t,
		// The default HTTP client keeps connections open, and go-metrics runs a
		// process-wide ticker.
		goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"),
		goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"),
	)
	var out bytes.Buffer
	assert.NilError(t, Run(t.Context(), &out, nil), out.String())
	assert.Assert(t, strings.Contains(out.String(), "all answers were whole and exact"))
}
