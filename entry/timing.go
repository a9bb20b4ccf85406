package entry

import (
	"net/http"
	"time"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/burn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/wire"
)

// tokenTiming measures the time to first token and the inter-token times of one
// request.
type tokenTiming struct {
	server           *Server
	model            string
	team             string
	start            time.Time
	admittedAt       time.Time
	lastToken        time.Time
	timeToFirstToken time.Duration
}

func newTokenTiming(g *generation, start time.Time) *tokenTiming {
	return &tokenTiming{server: g.server, model: g.model, team: g.admission.Team, start: start, admittedAt: now()}
}

// instrument returns emit with a measurement of each token's time before it.
func (t *tokenTiming) instrument(emit func(*wire.Token) error) func(*wire.Token) error {
	return func(token *wire.Token) error {
		at := now()
		if t.lastToken.IsZero() {
			t.timeToFirstToken = at.Sub(t.admittedAt)
			t.server.metrics.firstToken.Update(at.Sub(t.start))
			t.observe(at, config.MeasureTimeToFirstToken, at.Sub(t.start))
		} else {
			t.server.metrics.betweenTokens.Update(at.Sub(t.lastToken))
			t.observe(at, config.MeasureInterTokenLatency, at.Sub(t.lastToken))
		}
		t.lastToken = at
		t.server.metrics.tokens.Inc(1)
		return emit(token)
	}
}

func (t *tokenTiming) observe(at time.Time, measure config.Measure, duration time.Duration) {
	t.server.opts.Observe(at, burn.Sample{Measure: measure, Model: t.model, Team: t.team, Duration: duration})
}

// outcome returns the outcome of the request for the admission controller.
func (t *tokenTiming) outcome(p *problem.Problem) admission.Outcome {
	if p == nil {
		return admission.Outcome{Result: admission.Completed, TimeToFirstToken: t.timeToFirstToken}
	}
	if p.Code == problem.Overloaded {
		return admission.Outcome{Result: admission.RefusedOverloaded}
	}
	return admission.Outcome{Result: admission.Failed, TimeToFirstToken: t.timeToFirstToken}
}

// observeRequest records a request for the availability and latency objectives.
// An error caused by the client, or by its team's limits, is no failure of the
// service.
func (s *Server) observeRequest(model, service, team string, start time.Time, p *problem.Problem) {
	at := now()
	failed := p != nil && p.Code.Status() >= http.StatusInternalServerError
	for _, measure := range []config.Measure{config.MeasureAvailability, config.MeasureLatency} {
		s.opts.Observe(at, burn.Sample{
			Measure: measure, Model: model, Service: service, Team: team, Duration: at.Sub(start), Failed: failed,
		})
	}
}
