package entry

import (
	"crypto/sha256"
	"encoding/hex"
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

// stageWeight is the rate at which an engine generates tokens with its range.
func stageWeight(doc *config.Document, instance string, layers *wire.LayerRange) float64 {
	rate := defaultStageRate
	for i := range doc.Servers {
		if doc.Servers[i].ID == instance {
			rate = layerRate(doc, doc.Servers[i].Accelerator)
		}
	}
	return rate / float64(layers.Limit-layers.First)
}

func layerRate(doc *config.Document, kind string) float64 {
	for _, a := range doc.Accelerators {
		if a.Kind == kind {
			return a.LayerTokensPerSecond
		}
	}
	return defaultStageRate
}

func findModel(doc *config.Document, name string) *config.Model {
	for i := range doc.Models {
		if doc.Models[i].Name == name {
			return &doc.Models[i]
		}
	}
	return nil
}

func findService(doc *config.Document, name string) *config.Service {
	for i := range doc.Services {
		if doc.Services[i].Name == name {
			return &doc.Services[i]
		}
	}
	return nil
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
func (s *Server) authenticate(r *http.Request) (*config.Document, *config.Team, *problem.Problem) {
	doc := s.opts.Config()
	if doc == nil {
		return nil, nil, problem.Refuse(problem.NoBackend, "no configuration is in force yet")
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") || key == "" {
		return nil, nil, problem.Refuse(problem.Unauthorized, "the request needs an Authorization header with a bearer key")
	}
	hash := sha256.Sum256([]byte(strings.TrimSpace(key)))
	wanted := hex.EncodeToString(hash[:])
	for i := range doc.Teams {
		if slices.Contains(doc.Teams[i].KeyHashes, wanted) {
			return doc, &doc.Teams[i], nil
		}
	}
	return nil, nil, problem.Refuse(problem.Unauthorized, "the bearer key is not known")
}

// teamModel returns a model that the team may use. A model of other teams is
// answered like one that does not exist.
func teamModel(doc *config.Document, team *config.Team, name string) (*config.Model, *problem.Problem) {
	model := findModel(doc, name)
	if model == nil || !slices.Contains(team.Models, name) {
		return nil, problem.Refuse(problem.UnknownModel, "the model is not known to this team")
	}
	return model, nil
}

func teamService(doc *config.Document, team *config.Team, name string) (*config.Service, *problem.Problem) {
	service := findService(doc, name)
	if service == nil || !slices.Contains(team.Services, name) {
		return nil, problem.Refuse(problem.UnknownService, "the service is not known to this team")
	}
	return service, nil
}

func refuseDraining(w http.ResponseWriter) {
	problem.Refuse(problem.Draining, "this instance is shutting down; try again").Write(w)
}
