package entry

import (
	"time"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/wire"
)

// tokenTiming measures the time to the first token and between tokens of one request.
type tokenTiming struct {
	server     *Server
	began      time.Time
	admitted   time.Time
	last       time.Time
	firstToken time.Duration
}

func newTokenTiming(server *Server, began time.Time) *tokenTiming {
	return &tokenTiming{server: server, began: began, admitted: now()}
}

// wrap measures each token before it is passed on.
func (t *tokenTiming) wrap(emit func(*wire.Token) error) func(*wire.Token) error {
	return func(token *wire.Token) error {
		at := now()
		if t.last.IsZero() {
			t.firstToken = at.Sub(t.admitted)
			t.server.meters.firstToken.Update(at.Sub(t.began))
		} else {
			t.server.meters.betweenTokens.Update(at.Sub(t.last))
		}
		t.last = at
		t.server.meters.tokens.Inc(1)
		return emit(token)
	}
}

// outcome tells the admission controller how the request ended.
func (t *tokenTiming) outcome(p *problem.Problem) admission.Outcome {
	if p == nil {
		return admission.Outcome{Result: admission.Completed, FirstToken: t.firstToken}
	}
	if p.Code == problem.Overloaded {
		return admission.Outcome{Result: admission.RefusedOverloaded}
	}
	return admission.Outcome{Result: admission.Failed, FirstToken: t.firstToken}
}
