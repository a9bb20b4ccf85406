package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/problem"
)

// languageForm is what differs between the two language endpoints.
type languageForm struct {
	object      string
	chunkObject string
	idPrefix    string
	chat        bool
}

var (
	chatForm       = languageForm{object: "chat.completion", chunkObject: "chat.completion.chunk", idPrefix: "chatcmpl-", chat: true}
	completionForm = languageForm{object: "text_completion", chunkObject: "text_completion", idPrefix: "cmpl-"}
)

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	s.serveLanguage(w, r, chatForm)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	s.serveLanguage(w, r, completionForm)
}

func (s *Server) serveLanguage(w http.ResponseWriter, r *http.Request, form languageForm) {
	s.meters.requests.Inc(1)
	began := now()
	answer := &languageAnswer{form: form, w: w, created: began.Unix()}
	g, refused := s.prepareGeneration(w, r, form, answer)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	answer.id = form.idPrefix + g.id
	ctx, cancel := context.WithTimeout(r.Context(), s.opts.RequestTimeout)
	defer cancel()
	release, refused := s.admitter.acquire(ctx, modelPool(g.model), g.admission)
	if refused != nil {
		refused.RequestID = g.id
		s.observeEnd(g.model, "", g.admission.Team, began, refused)
		s.refuse(w, refused)
		return
	}
	timing := newTokenTiming(g, began)
	g.emit = timing.wrap(answer.token)
	g.flush = answer.flush
	p := g.run(ctx)
	release(timing.outcome(p))
	if r.Context().Err() == nil {
		// A caller that goes away says nothing about the service.
		s.observeEnd(g.model, "", g.admission.Team, began, p)
	}
	if p != nil {
		s.failLanguage(answer, p)
		return
	}
	answer.end(g.finish, len(g.tokens))
	logevent.Write(s.opts.Logger, logevent.RequestFinished).Str("request", g.id).Int("tokens", len(g.tokens)).Msg("")
}

func (s *Server) refuse(w http.ResponseWriter, p *problem.Problem) {
	s.noteRefused(p)
	p.Write(w)
}

func (s *Server) noteRefused(p *problem.Problem) {
	s.meters.refused.Inc(1)
	logevent.Write(s.opts.Logger, logevent.RequestRefused).Str("request", p.RequestID).
		Str("code", string(p.Code)).Str("executed", string(p.Executed)).Msg("")
}

// failLanguage answers with the problem, or ends a stream that has begun with
// an error event and without the closing mark.
func (s *Server) failLanguage(answer *languageAnswer, p *problem.Problem) {
	if !answer.streaming {
		s.refuse(answer.w, p)
		return
	}
	s.noteRefused(p)
	answer.event(map[string]*problem.Problem{"error": p})
}

func (s *Server) prepareGeneration(w http.ResponseWriter, r *http.Request, form languageForm, answer *languageAnswer) (*generation, *problem.Problem) {
	if r.Method != http.MethodPost {
		return nil, methodNotAllowed(http.MethodPost)
	}
	x, team, refused := s.authenticate(r)
	if refused != nil {
		return nil, refused
	}
	req, refused := decodeLanguage(http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes), form)
	if refused != nil {
		return nil, refused
	}
	model, refused := x.teamModel(team, req.Model)
	if refused != nil {
		return nil, refused
	}
	maxTokens, refused := req.tokenLimit(model)
	if refused != nil {
		return nil, refused
	}
	answer.model = model.Name
	answer.stream = req.Stream
	answer.usage = req.StreamOptions != nil && req.StreamOptions.IncludeUsage
	g := &generation{
		server: s, id: s.newRequestID(), model: model.Name, layers: model.Layers,
		prompt: req.promptText(), maxTokens: maxTokens, priority: int32(team.Priority), parameters: req.sampling(),
	}
	g.admission = admissionRequest(x.doc, team, g.id, model.Name, "")
	return g, nil
}

func methodNotAllowed(allow ...string) *problem.Problem {
	p := problem.NotExecuted(problem.MethodNotAllowed, "use "+strings.Join(allow, " or "))
	p.Allow = allow
	return p
}

// defaultMaxTokens bounds an answer whose request names no limit.
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
	x, team, refused := s.authenticate(r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range team.Models {
		if x.models[name] != nil {
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
