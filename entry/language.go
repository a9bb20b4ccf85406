package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/problem"
)

// languageEndpoint holds the differences between the two language model endpoints.
type languageEndpoint struct {
	object      string
	chunkObject string
	idPrefix    string
	chat        bool
}

var (
	chatEndpoint       = languageEndpoint{object: "chat.completion", chunkObject: "chat.completion.chunk", idPrefix: "chatcmpl-", chat: true}
	completionEndpoint = languageEndpoint{object: "text_completion", chunkObject: "text_completion", idPrefix: "cmpl-"}
)

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	s.serveLanguage(w, r, chatEndpoint)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	s.serveLanguage(w, r, completionEndpoint)
}

func (s *Server) serveLanguage(w http.ResponseWriter, r *http.Request, endpoint languageEndpoint) {
	s.metrics.requests.Inc(1)
	start := now()
	response := &languageResponse{endpoint: endpoint, w: w, created: start.Unix()}
	g, prob := s.prepareGeneration(w, r, endpoint, response)
	if prob != nil {
		s.refuse(w, prob)
		return
	}
	response.id = endpoint.idPrefix + g.id
	ctx, cancel := context.WithTimeout(r.Context(), s.opts.RequestTimeout)
	defer cancel()
	release, prob := s.admitter.acquire(ctx, modelPoolKey(g.model), g.admission)
	if prob != nil {
		prob.RequestID = g.id
		s.observeRequest(g.model, "", g.admission.Team, start, prob)
		s.refuse(w, prob)
		return
	}
	timing := newTokenTiming(g, start)
	g.emit = timing.instrument(response.writeToken)
	g.flush = response.flush
	p := g.run(ctx)
	release(timing.outcome(p))
	if r.Context().Err() == nil {
		// A client that disconnects is no failure of the service.
		s.observeRequest(g.model, "", g.admission.Team, start, p)
	}
	if p != nil {
		s.failLanguage(response, p)
		return
	}
	response.finish(g.finishReason, len(g.tokens))
	logevent.Write(s.opts.Logger, logevent.RequestFinished).Str("request", g.id).Int("tokens", len(g.tokens)).Msg("")
}

func (s *Server) refuse(w http.ResponseWriter, p *problem.Problem) {
	s.recordRefusal(p)
	p.Write(w)
}

func (s *Server) recordRefusal(p *problem.Problem) {
	s.metrics.refused.Inc(1)
	logevent.Write(s.opts.Logger, logevent.RequestRefused).Str("request", p.RequestID).
		Str("code", string(p.Code)).Str("executed", string(p.Executed)).Msg("")
}

// failLanguage responds with the problem. A stream that has already started ends
// with an error event and without the final [DONE] event.
func (s *Server) failLanguage(response *languageResponse, p *problem.Problem) {
	if !response.streamStarted {
		s.refuse(response.w, p)
		return
	}
	s.recordRefusal(p)
	response.sendEvent(map[string]*problem.Problem{"error": p})
}

func (s *Server) prepareGeneration(w http.ResponseWriter, r *http.Request, endpoint languageEndpoint, response *languageResponse) (*generation, *problem.Problem) {
	if r.Method != http.MethodPost {
		return nil, methodNotAllowed(http.MethodPost)
	}
	idx, team, prob := s.authenticate(r)
	if prob != nil {
		return nil, prob
	}
	body, prob := s.readBody(w, r, s.opts.MaxBodyBytes)
	if prob != nil {
		return nil, prob
	}
	req, prob := decodeLanguage(bytes.NewReader(body), endpoint)
	if prob != nil {
		return nil, prob
	}
	model, prob := idx.teamModel(team, req.Model)
	if prob != nil {
		return nil, prob
	}
	if !clientconn.Admitted(r.Context()) {
		return nil, tooManyClientsProblem()
	}
	maxTokens, prob := req.tokenLimit(model)
	if prob != nil {
		return nil, prob
	}
	response.model = model.Name
	response.stream = req.Stream
	response.includeUsage = req.StreamOptions != nil && req.StreamOptions.IncludeUsage
	g := &generation{
		server: s, id: s.newRequestID(), model: model.Name, layers: model.Layers,
		prompt: req.promptText(), maxTokens: maxTokens, priority: int32(team.Priority), parameters: req.sampling(),
	}
	g.admission = admissionRequest(idx.doc, team, g.id, model.Name, "")
	return g, nil
}

func methodNotAllowed(allow ...string) *problem.Problem {
	p := problem.NotExecuted(problem.MethodNotAllowed, "use "+strings.Join(allow, " or "))
	p.Allow = allow
	return p
}

// defaultMaxTokens is the token limit of a request that sets none.
const defaultMaxTokens = 512

func (req *languageRequest) tokenLimit(model *config.Model) (uint32, *problem.Problem) {
	limit := defaultMaxTokens
	if req.MaxTokens != nil {
		limit = *req.MaxTokens
	}
	if req.MaxCompletionTokens != nil {
		limit = *req.MaxCompletionTokens
	}
	if model.ContextTokens > 0 && req.MaxTokens == nil && req.MaxCompletionTokens == nil {
		limit = min(limit, model.ContextTokens)
	}
	if limit < 1 {
		return 0, problem.NotExecuted(problem.InvalidRequest, "max_tokens must be at least 1")
	}
	if model.ContextTokens > 0 && limit > model.ContextTokens {
		return 0, problem.NotExecuted(problem.InvalidRequest, "max_tokens is larger than the model's context")
	}
	return uint32(limit), nil
}

// serveModels lists the models that the team may use.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		s.refuse(w, methodNotAllowed(http.MethodGet))
		return
	}
	idx, team, prob := s.authenticate(r)
	if prob != nil {
		s.refuse(w, prob)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range team.Models {
		if idx.models[name] != nil {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "sapphirefield"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
