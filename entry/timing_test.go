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

// Guards the service-level objectives: a failure of the service counts as bad,
// a caller's own mistake or a team's limit does not.
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
		s.observeEnd("", "orders", "a", now(), c.p)
		assert.Equal(t, len(samples), 2)
		assert.Equal(t, samples[0].Measure, config.MeasureAvailability)
		assert.Equal(t, samples[0].Failed, c.want)
	}
}

// Guards operators against failures that leave no trace: a stream that fails
// after it began must write event 2002 and end without the closing mark.
func TestFailedStreamIsLogged(t *testing.T) {
	s := testServer(t, testDocument())
	var logs bytes.Buffer
	s.opts.Logger = &log.Logger{Writer: &log.IOWriter{Writer: &logs}}
	w := httptest.NewRecorder()
	answer := &languageAnswer{form: completionForm, w: w, stream: true}
	assert.NilError(t, answer.token(&wire.Token{Value: &wire.TokenValue{Text: "a"}}))
	s.failLanguage(answer, problem.NotExecuted(problem.StageLost, "stages failed"))
	assert.Assert(t, strings.Contains(logs.String(), `"event":2002`), logs.String())
	assert.Assert(t, strings.Contains(w.Body.String(), `"code":"stage_lost"`), w.Body.String())
	assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"))
}
