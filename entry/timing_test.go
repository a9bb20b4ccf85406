package entry

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/burn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards the service-level objectives: a failure of the service counts as failed,
// an error caused by the client or by a team's limit does not.
func TestObserveEnd(t *testing.T) {
	cases := []struct {
		p    *problem.Problem
		want bool
	}{
		{nil, false},
		{problem.NotExecuted(problem.BackendFailed, ""), true},
		{problem.NotExecuted(problem.Overloaded, ""), true},
		{problem.NotExecuted(problem.RateLimited, ""), false},
		{problem.NotExecuted(problem.KeyConflict, ""), false},
	}
	for _, c := range cases {
		s := testServer(t, testDocument())
		var samples []burn.Sample
		s.opts.Observe = func(_ time.Time, sample burn.Sample) { samples = append(samples, sample) }
		s.observeRequest("", "orders", "a", now(), c.p)
		assert.Equal(t, len(samples), 2)
		assert.Equal(t, samples[0].Measure, config.MeasureAvailability)
		assert.Equal(t, samples[0].Failed, c.want)
	}
}

// Guards against failures that are not logged: a stream that fails after it has
// started must write log event 2002 and end without the final [DONE] event.
func TestFailedStreamIsLogged(t *testing.T) {
	s := testServer(t, testDocument())
	var logs bytes.Buffer
	s.opts.Logger = &log.Logger{Writer: &log.IOWriter{Writer: &logs}}
	w := httptest.NewRecorder()
	response := &languageResponse{endpoint: completionEndpoint, w: w, stream: true}
	assert.NilError(t, response.writeToken(&wire.Token{Value: &wire.TokenValue{Text: "a"}}))
	s.failLanguage(response, problem.NotExecuted(problem.StageLost, "stages failed"))
	assert.Assert(t, strings.Contains(logs.String(), `"event":2002`), logs.String())
	assert.Assert(t, strings.Contains(w.Body.String(), `"code":"stage_lost"`), w.Body.String())
	assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"))
}
