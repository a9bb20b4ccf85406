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

// now returns the current time. Decision logic takes the time as an argument
// instead.
func now() time.Time { return time.Now() }

// defaultLayerTokensPerSecond applies to engines whose accelerator is not configured.
const defaultLayerTokensPerSecond = 1000.0

// configIndex looks up the objects of one document by name. It is built once per
// document, because scanning thousands of teams on each request would cost more
// than the rest of the routing.
type configIndex struct {
	doc      *config.Document
	keys     *config.KeyTable
	models   map[string]*config.Model
	services map[string]*config.Service
	rates    map[string]float64
}

func newIndex(doc *config.Document) *configIndex {
	idx := &configIndex{
		doc:      doc,
		keys:     config.NewKeyTable(doc),
		models:   make(map[string]*config.Model, len(doc.Models)),
		services: make(map[string]*config.Service, len(doc.Services)),
		rates:    make(map[string]float64, len(doc.Servers)),
	}
	for i := range doc.Models {
		idx.models[doc.Models[i].Name] = &doc.Models[i]
	}
	for i := range doc.Services {
		idx.services[doc.Services[i].Name] = &doc.Services[i]
	}
	kinds := make(map[string]float64, len(doc.Accelerators))
	for _, a := range doc.Accelerators {
		kinds[a.Kind] = a.LayerTokensPerSecond
	}
	for _, server := range doc.Servers {
		idx.rates[server.ID] = kinds[server.Accelerator]
	}
	return idx
}

// index returns the index of the active configuration, or nil if there is none yet.
func (s *Server) index() *configIndex {
	doc := s.opts.Config()
	if doc == nil {
		return nil
	}
	cached := s.cachedIndex.Load()
	if cached != nil && cached.doc == doc {
		return cached
	}
	built := newIndex(doc)
	s.cachedIndex.Store(built)
	return built
}

// stageWeight returns the tokens per second that an engine processes with a
// layer range.
func (idx *configIndex) stageWeight(instance string, layers *wire.LayerRange) float64 {
	rate := idx.rates[instance]
	if rate <= 0 {
		rate = defaultLayerTokensPerSecond
	}
	return rate / float64(layers.Limit-layers.First)
}

// isIdempotent reports whether the configuration allows retries of a call that
// may have been executed.
func isIdempotent(service *config.Service, method, path string) bool {
	for _, rule := range service.Idempotent {
		if rule.Method == method && strings.HasPrefix(path, rule.PathPrefix) {
			return true
		}
	}
	return false
}

// authenticate returns the team that the request's bearer key belongs to.
func (s *Server) authenticate(r *http.Request) (*configIndex, *config.Team, *problem.Problem) {
	idx := s.index()
	if idx == nil {
		return nil, nil, problem.NotExecuted(problem.NoBackend, "no configuration is in force yet")
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") || key == "" {
		return nil, nil, problem.NotExecuted(problem.Unauthorized, "the request needs an Authorization header with a bearer key")
	}
	team := idx.keys.Team(strings.TrimSpace(key))
	if team == nil {
		return nil, nil, problem.NotExecuted(problem.Unauthorized, "the bearer key is not known")
	}
	return idx, team, nil
}

// teamModel returns a model that the team may use. A model of another team gives
// the same problem as one that does not exist.
func (idx *configIndex) teamModel(team *config.Team, name string) (*config.Model, *problem.Problem) {
	model := idx.models[name]
	if model == nil || !slices.Contains(team.Models, name) {
		return nil, problem.NotExecuted(problem.UnknownModel, "the model is not known to this team")
	}
	return model, nil
}

func (idx *configIndex) teamService(team *config.Team, name string) (*config.Service, *problem.Problem) {
	service := idx.services[name]
	if service == nil || !slices.Contains(team.Services, name) {
		return nil, problem.NotExecuted(problem.UnknownService, "the service is not known to this team")
	}
	return service, nil
}

func writeDrainingProblem(w http.ResponseWriter) {
	problem.NotExecuted(problem.Draining, "this instance is shutting down; try again").Write(w)
}
