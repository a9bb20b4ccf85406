package entry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/wire"
)

// now is the driver's clock; decisions take the time as an argument.
func now() time.Time { return time.Now() }

// defaultStageRate stands in for engines that the configuration does not describe.
const defaultStageRate = 1000.0

// index finds the entries of one document by name. It is built once for each
// document, because a scan over thousands of teams for each request would cost
// more than the rest of the request's control.
type index struct {
	doc      *config.Document
	keys     *config.KeyTable
	models   map[string]*config.Model
	services map[string]*config.Service
	rates    map[string]float64
}

func newIndex(doc *config.Document) *index {
	x := &index{
		doc:      doc,
		keys:     config.NewKeyTable(doc),
		models:   make(map[string]*config.Model, len(doc.Models)),
		services: make(map[string]*config.Service, len(doc.Services)),
		rates:    make(map[string]float64, len(doc.Servers)),
	}
	for i := range doc.Models {
		x.models[doc.Models[i].Name] = &doc.Models[i]
	}
	for i := range doc.Services {
		x.services[doc.Services[i].Name] = &doc.Services[i]
	}
	kinds := make(map[string]float64, len(doc.Accelerators))
	for _, a := range doc.Accelerators {
		kinds[a.Kind] = a.LayerTokensPerSecond
	}
	for _, server := range doc.Servers {
		x.rates[server.ID] = kinds[server.Accelerator]
	}
	return x
}

// index returns the index of the configuration in force, or nil before there is one.
func (s *Server) index() *index {
	doc := s.opts.Config()
	if doc == nil {
		return nil
	}
	known := s.indexed.Load()
	if known != nil && known.doc == doc {
		return known
	}
	fresh := newIndex(doc)
	s.indexed.Store(fresh)
	return fresh
}

// stageWeight is the rate at which an engine generates tokens with its range.
func (x *index) stageWeight(instance string, layers *wire.LayerRange) float64 {
	rate := x.rates[instance]
	if rate <= 0 {
		rate = defaultStageRate
	}
	return rate / float64(layers.Limit-layers.First)
}

// isIdempotent tells whether the configuration allows a call to be repeated.
func isIdempotent(service *config.Service, method, path string) bool {
	for _, rule := range service.Idempotent {
		if rule.Method == method && strings.HasPrefix(path, rule.PathPrefix) {
			return true
		}
	}
	return false
}

// authenticate returns the team of a request's bearer key.
func (s *Server) authenticate(r *http.Request) (*index, *config.Team, *problem.Problem) {
	x := s.index()
	if x == nil {
		return nil, nil, problem.NotExecuted(problem.NoBackend, "no configuration is in force yet")
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") || key == "" {
		return nil, nil, problem.NotExecuted(problem.Unauthorized, "the request needs an Authorization header with a bearer key")
	}
	team := x.keys.Team(strings.TrimSpace(key))
	if team == nil {
		return nil, nil, problem.NotExecuted(problem.Unauthorized, "the bearer key is not known")
	}
	return x, team, nil
}

// teamModel returns a model that the team may use. A model of other teams is
// answered like one that does not exist.
func (x *index) teamModel(team *config.Team, name string) (*config.Model, *problem.Problem) {
	model := x.models[name]
	if model == nil || !slices.Contains(team.Models, name) {
		return nil, problem.NotExecuted(problem.UnknownModel, "the model is not known to this team")
	}
	return model, nil
}

func (x *index) teamService(team *config.Team, name string) (*config.Service, *problem.Problem) {
	service := x.services[name]
	if service == nil || !slices.Contains(team.Services, name) {
		return nil, problem.NotExecuted(problem.UnknownService, "the service is not known to this team")
	}
	return service, nil
}

func refuseDraining(w http.ResponseWriter) {
	problem.NotExecuted(problem.Draining, "this instance is shutting down; try again").Write(w)
}
