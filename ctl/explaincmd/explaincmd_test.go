package explaincmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/explain"
)

// Guards against a query that reaches the entry changed, and against an answer of which
// the reasons are not printed.
func TestExplanationIsPrinted(t *testing.T) {
	var asked explain.Query
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var err error
		asked, err = explain.ParseQuery(r.URL.Query())
		assert.Check(t, err)
		assert.Check(t, json.NewEncoder(w).Encode(explain.Answer{
			Process: "entry-1", Revision: 7, Route: "quotes", Rank: 1,
			Targets: []explain.Target{{
				Name: "llm", Weight: 1, Decision: explain.Send, Reason: "the fastest path that has room", ExpectedMillis: 1500,
				Stages:  []explain.Stage{{Server: "e1", Zone: "a", Limit: 40, PromptMillis: 20, Load: 3}, {Server: "e2", Zone: "a", First: 40, Limit: 80}},
				LeftOut: map[string][]string{"it is leaving": {"e3"}},
			}},
		}))
	}))
	defer server.Close()
	var out bytes.Buffer
	want := explain.Query{Host: "h", Path: "/quotes/", Team: "forge", PromptTokens: 800, AnswerTokens: 90}
	cmd := command(&out)
	assert.NilError(t, cmd.ParseAndRun(t.Context(), []string{
		"-host", want.Host, "-path", want.Path, "-team", want.Team, "-prompt-tokens", "800", "-answer-tokens", "90", server.URL,
	}))
	assert.Equal(t, asked, want)
	for _, text := range []string{"entry-1, configuration 7", "route quotes, rank 1", "send: the fastest path", "e2", "40-80", "1.5s", "because it is leaving: [e3]"} {
		assert.Assert(t, strings.Contains(out.String(), text), "%q is missing in\n%s", text, out.String())
	}
}

// Guards against queries that say nothing, and against a silent failure.
func TestInvalidQueriesAreRejected(t *testing.T) {
	for _, args := range [][]string{
		{"-host", "h", "-path", "/x"}, {"-path", "/x", "127.0.0.1:1"}, {"-host", "h", "-path", "x", "127.0.0.1:1"},
		{"-host", "h", "-path", "/x", "-prompt-tokens", "-2", "127.0.0.1:1"}, {"-host", "h", "-path", "/x", "127.0.0.1:1"},
	} {
		var out bytes.Buffer
		assert.Assert(t, command(&out).ParseAndRun(t.Context(), args) != nil, "%v", args)
		assert.Equal(t, out.Len(), 0)
	}
}
