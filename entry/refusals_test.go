package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/problem"
)

func hashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

func testDocument() *config.Document {
	return &config.Document{
		Schema:   config.SchemaVersion,
		Models:   []config.Model{{Name: "m", Layers: 8, ContextTokens: 100}, {Name: "other-model", Layers: 8}},
		Services: []config.Service{{Name: "orders", MaxBodyBytes: 64}, {Name: "other-service"}},
		Teams: []config.Team{
			{Name: "a", KeyHashes: []string{hashKey("key-a")}, Weight: 1, Models: []string{"m"}, Services: []string{"orders"}},
			{Name: "b", KeyHashes: []string{hashKey("key-b")}, Weight: 1, Models: []string{"other-model"}, Services: []string{"other-service"}},
		},
	}
}

func testServer(t *testing.T, doc *config.Document) *Server {
	return New(t.Context(), Options{
		ID: "entry-0", Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Config: func() *config.Document { return doc }, MaxBodyBytes: 256,
	})
}

// Guards against invalid requests that get no clear error or are forwarded, and
// against a team that can tell another team's model from one that does not exist.
func TestRefusals(t *testing.T) {
	s := testServer(t, testDocument())
	cases := []struct {
		name, method, path, key, body string
		want                          problem.Code
		detail                        string
	}{
		{"no key", "POST", "/v1/completions", "", `{}`, problem.Unauthorized, "bearer"},
		{"bad key", "POST", "/v1/completions", "nope", `{}`, problem.Unauthorized, "not known"},
		{"wrong method", "GET", "/v1/completions", "key-a", ``, problem.MethodNotAllowed, "POST"},
		{"unknown field", "POST", "/v1/completions", "key-a", `{"model":"m","prompt":"p","temprature":1}`, problem.InvalidRequest, "temprature"},
		{"not JSON", "POST", "/v1/completions", "key-a", `{"model":`, problem.InvalidRequest, "not a valid request"},
		{"two values", "POST", "/v1/completions", "key-a", `{"model":"m","prompt":"p"}{}`, problem.InvalidRequest, "more than one"},
		{"no prompt", "POST", "/v1/completions", "key-a", `{"model":"m"}`, problem.InvalidRequest, "prompt is missing"},
		{"no messages", "POST", "/v1/chat/completions", "key-a", `{"model":"m"}`, problem.InvalidRequest, "messages is missing"},
		{"bad role", "POST", "/v1/chat/completions", "key-a", `{"model":"m","messages":[{"role":"tool","content":"x"}]}`, problem.InvalidRequest, "role"},
		{"too many tokens", "POST", "/v1/completions", "key-a", `{"model":"m","prompt":"p","max_tokens":101}`, problem.InvalidRequest, "context"},
		{"no tokens", "POST", "/v1/completions", "key-a", `{"model":"m","prompt":"p","max_tokens":0}`, problem.InvalidRequest, "at least 1"},
		{"unknown model", "POST", "/v1/completions", "key-a", `{"model":"x","prompt":"p"}`, problem.UnknownModel, "not known to this team"},
		{"model of another team", "POST", "/v1/completions", "key-a", `{"model":"other-model","prompt":"p"}`, problem.UnknownModel, "not known to this team"},
		{"oversized prompt", "POST", "/v1/completions", "key-a", `{"model":"m","prompt":"` + strings.Repeat("x", 300) + `"}`, problem.BodyTooLarge, "too large"},
		{"unknown service", "POST", "/nothing/x", "key-a", ``, problem.UnknownService, "not known to this team"},
		{"service of another team", "POST", "/other-service/x", "key-a", ``, problem.UnknownService, "not known to this team"},
		{"oversized call", "POST", "/orders/x", "key-a", strings.Repeat("x", 65), problem.BodyTooLarge, "too large"},
		{"no engines", "POST", "/v1/completions", "key-a", `{"model":"m","prompt":"p"}`, problem.NoBackend, "available"},
		{"no servers", "POST", "/orders/x", "key-a", ``, problem.NoBackend, "available"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			if c.key != "" {
				r.Header.Set("Authorization", "Bearer "+c.key)
			}
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			var response struct {
				Code     problem.Code     `json:"code"`
				Detail   string           `json:"detail"`
				Executed problem.Executed `json:"executed"`
			}
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &response), w.Body.String())
			assert.Equal(t, response.Code, c.want, response.Detail)
			assert.Equal(t, response.Executed, problem.ExecutedNo)
			assert.Assert(t, strings.Contains(response.Detail, c.detail), response.Detail)
			assert.Equal(t, w.Code, c.want.Status())
			assert.Equal(t, w.Header().Get("Content-Type"), problem.ContentType)
		})
	}
}

// Guards against a list of models that includes those of other teams.
func TestModelsOfTeam(t *testing.T) {
	s := testServer(t, testDocument())
	r := httptest.NewRequest(http.MethodGet, "/v1/models", nil)
	r.Header.Set("Authorization", "Bearer key-b")
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	assert.Assert(t, strings.Contains(w.Body.String(), "other-model"))
	assert.Assert(t, !strings.Contains(w.Body.String(), `"id":"m"`))
}

// Guards the graceful shutdown: a draining entry refuses requests as certainly not
// executed and closes keep-alive connections, so that clients retry elsewhere.
func TestDrainingEntryRefuses(t *testing.T) {
	s := testServer(t, testDocument())
	s.Drain()
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/orders/x", nil))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Connection"), "close")
	assert.Assert(t, w.Header().Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(w.Body.String(), `"executed":"no"`))
	<-s.Drained()
}
