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

// tokenTiming measures the time to the first token and between tokens of one request.
type tokenTiming struct {
	server     *Server
	model      string
	team       string
	began      time.Time
	admitted   time.Time
	last       time.Time
	firstToken time.Duration
}

func newTokenTiming(g *generation, began time.Time) *tokenTiming {
	return &tokenTiming{server: g.server, model: g.model, team: g.admission.Team, began: began, admitted: now()}
}

// wrap measures each token before it is passed on.
func (t *tokenTiming) wrap(emit func(*wire.Token) error) func(*wire.Token) error {
	return func(token *wire.Token) error {
		at := now()
		if t.last.IsZero() {
			t.firstToken = at.Sub(t.admitted)
			t.server.meters.firstToken.Update(at.Sub(t.began))
			t.observe(at, config.MeasureTimeToFirstToken, at.Sub(t.began))
		} else {
			t.server.meters.betweenTokens.Update(at.Sub(t.last))
			t.observe(at, config.MeasureInterTokenLatency, at.Sub(t.last))
		}
		t.last = at
		t.server.meters.tokens.Inc(1)
		return emit(token)
	}
}

func (t *tokenTiming) observe(at time.Time, measure config.Measure, duration time.Duration) {
	t.server.opts.Observe(at, burn.Sample{Measure: measure, Model: t.model, Team: t.team, Duration: duration})
}

// outcome tells the admission controller how the request ended.
func (t *tokenTiming) outcome(p *problem.Problem) admission.Outcome {
	if p == nil {
		return admission.Outcome{Result: admission.Completed, TimeToFirstToken: t.firstToken}
	}
	if p.Code == problem.Overloaded {
		return admission.Outcome{Result: admission.RefusedOverloaded}
	}
	return admission.Outcome{Result: admission.Failed, TimeToFirstToken: t.firstToken}
}

// observeEnd counts a request for the objectives on availability and latency.
// An answer that is the caller's own mistake, or the limit of its team, is no
// failure of the service.
func (s *Server) observeEnd(model, service, team string, began time.Time, p *problem.Problem) {
	at := now()
	failed := p != nil && p.Code.Status() >= http.StatusInternalServerError
	for _, measure := range []config.Measure{config.MeasureAvailability, config.MeasureLatency} {
		s.opts.Observe(at, burn.Sample{
			Measure: measure, Model: model, Service: service, Team: team, Duration: at.Sub(began), Failed: failed,
		})
	}
}
