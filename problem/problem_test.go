package problem

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against codes that differ from the design page, on which clients depend:
// each must have a status, and no other code may exist.
func TestCodesMatchDesignDoc(t *testing.T) {
	page, err := os.ReadFile("../docs/design.md")
	assert.NilError(t, err)
	_, rest, ok := strings.Cut(string(page), "Errors are problem+json with these codes:\n")
	assert.Assert(t, ok)
	list, _, _ := strings.Cut(rest, ".")
	codes := regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(list, -1)
	assert.Equal(t, len(codes), len(codeInfos))
	for _, code := range codes {
		_, ok := codeInfos[Code(code[1])]
		assert.Assert(t, ok, code[1])
	}
}

// Guards against a response that does not say "unknown" if no outcome is set, or
// one for a retryable code without Retry-After.
func TestWrite(t *testing.T) {
	for _, c := range []struct {
		problem              *Problem
		status               int
		executed, retryAfter string
	}{
		{NotExecuted(Overloaded, "queue is full"), 503, "no", "1"},
		{&Problem{Code: RateLimited, Executed: ExecutedNo, RetryAfter: 1500 * time.Millisecond}, 429, "no", "2"},
		{&Problem{Code: NoBackend, Executed: ExecutedNo, RetryAfter: 250 * time.Millisecond, FractionalRetryAfter: true}, 503, "no", "0.25"},
		{&Problem{Code: OutcomeUnknown, RequestID: "r1"}, 502, "unknown", ""},
		{&Problem{Code: BackendFailed, Executed: ExecutedYes}, 502, "yes", ""},
	} {
		w := httptest.NewRecorder()
		c.problem.Write(w)
		var got body
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
		assert.Equal(t, w.Code, c.status)
		assert.Equal(t, w.Header().Get("Content-Type"), ContentType)
		assert.Equal(t, w.Header().Get("Retry-After"), c.retryAfter)
		assert.Equal(t, got.Status, c.status)
		assert.Equal(t, got.Code, c.problem.Code)
		assert.Equal(t, string(got.Executed), c.executed)
	}
	w := httptest.NewRecorder()
	(&Problem{Code: MethodNotAllowed, Allow: []string{"GET", "HEAD"}}).Write(w)
	assert.Equal(t, w.Header().Get("Allow"), "GET, HEAD")
}
