package console

import (
	"context"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/config/configtest"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/configsync"
)

// fakePublisher applies proposals to a state in memory, without a log.
type fakePublisher struct {
	mutex sync.Mutex
	state *configlog.State
	// result, when set, is returned by Publish, which then changes nothing.
	result       configlog.Result
	lastProposal configsync.Proposal
	calls        int
}

func newFakePublisher(t *testing.T) *fakePublisher {
	f := &fakePublisher{state: configlog.New(configlog.DefaultRules())}
	doc, findings := config.Parse("orderbook.yaml", config.Examples()["orderbook.yaml"])
	assert.NilError(t, findings.Err())
	f.mustPublish(t, doc)
	return f
}

func (f *fakePublisher) Current() *configlog.Revision {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Current()
}

func (f *fakePublisher) mustPublish(t *testing.T, doc *config.Document) {
	result, err := f.Publish(t.Context(), configsync.Proposal{Base: f.Current(), Document: doc})
	assert.NilError(t, err)
	assert.Equal(t, result.Result, configlog.ResultAccepted)
}

func (f *fakePublisher) Publish(_ context.Context, p configsync.Proposal) (configsync.PublishResult, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastProposal = p
	f.calls++
	if f.result != configlog.Pending {
		return configsync.PublishResult{Result: f.result, Reason: "test"}, nil
	}
	record, err := configlog.NewRevision(configsync.NewID(), p.Base, p.Document)
	if err != nil {
		return configsync.PublishResult{}, err
	}
	switch f.state.Apply(f.state.NextOffset(), record) {
	case configlog.Accepted:
		return configsync.PublishResult{Result: configlog.ResultAccepted, Revision: f.state.Number()}, nil
	case configlog.StaleBase:
		return configsync.PublishResult{Result: configlog.ResultSuperseded, Revision: f.state.Number()}, nil
	}
	return configsync.PublishResult{Result: configlog.ResultInvalid, Reason: f.state.Reason()}, nil
}

// browser is an HTTP client that behaves like an operator's browser.
type browser struct {
	t      *testing.T
	server *httptest.Server
	client *http.Client
	csrf   string
}

var csrfInput = regexp.MustCompile(`name="csrf" value="([^"]+)"`)
var digestInput = regexp.MustCompile(`name="digest" value="([^"]+)"`)

func serve(t *testing.T, f *fakePublisher, now func() time.Time) *httptest.Server {
	checkPassword := func(password string) bool { return password == "open sesame" }
	server := httptest.NewServer(Handler(Options{ActiveRevision: f.Current, Publish: f.Publish, CheckPassword: checkPassword, Now: now}))
	t.Cleanup(server.Close)
	return server
}

func newBrowser(t *testing.T, server *httptest.Server) *browser {
	jar, err := cookiejar.New(nil)
	assert.NilError(t, err)
	return &browser{t: t, server: server, client: &http.Client{Jar: jar}}
}

func signedIn(t *testing.T, server *httptest.Server) *browser {
	b := newBrowser(t, server)
	status, body := b.post("/sign-in", url.Values{"author": {"mina"}, "password": {"open sesame"}})
	assert.Equal(t, status, http.StatusOK, body)
	return b
}

func (b *browser) readResponse(response *http.Response, err error) (int, string) {
	assert.NilError(b.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(b.t, err)
	if m := csrfInput.FindSubmatch(body); m != nil {
		b.csrf = string(m[1])
	}
	return response.StatusCode, string(body)
}

func (b *browser) get(path string) string {
	status, body := b.readResponse(b.client.Get(b.server.URL + PathPrefix + path))
	assert.Equal(b.t, status, http.StatusOK, body)
	return body
}

func (b *browser) post(path string, form url.Values) (int, string) {
	if !form.Has("csrf") {
		form.Set("csrf", b.csrf)
	}
	return b.readResponse(b.client.PostForm(b.server.URL+PathPrefix+path, form))
}

func (b *browser) publish() (int, string) {
	digest := digestInput.FindStringSubmatch(b.get("/"))
	assert.Assert(b.t, digest != nil)
	return b.post("/publish", url.Values{"digest": {digest[1]}, "note": {"why"}})
}

func (b *browser) setWeight(team, weight string) (int, string) {
	return b.post("/teams/entry", url.Values{"entry": {team}, "weight": {weight}})
}

func assertContains(t *testing.T, body string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, strings.Contains(body, part), "the page lacks %q:\n%s", part, body)
	}
}

// Edits from several forms must be displayed in the overview and published as
// one document.
func TestSessionPublishesOneDocument(t *testing.T) {
	f := newFakePublisher(t)
	b := signedIn(t, serve(t, f, nil))
	for _, s := range sections {
		assertContains(t, b.get("/"+s.Name), s.Title)
	}
	b.setWeight("quality", "3.5")
	status, _ := b.post("/servers/remove", url.Values{"entry": {"changwon-a-e01"}})
	assert.Equal(t, status, http.StatusOK)
	b.post("/teams/entry", url.Values{"entry": {""}, "name": {"night-shift"}, "models": {"sapphire-llm\r\n"}, "weight": {"2"}})
	b.post("/services/entry", url.Values{"entry": {"orderbook-app"}, "timeout": {"9s"}, "idempotent": {"GET /\r\nPUT /drafts/"}})
	assertContains(t, b.get("/"), "teams: quality: weight: 1 -&gt; 3.5", "servers: removed changwon-a-e01", "teams: added night-shift",
		"services: orderbook-app: timeout: 8s -&gt; 9s", "idempotent: [GET /, HEAD /, PUT /drafts/] -&gt; [GET /, PUT /drafts/]")
	status, body := b.publish()
	assert.Equal(t, status, http.StatusOK)
	assertContains(t, body, "Published as revision 2.", "None yet.")
	assert.Equal(t, f.lastProposal.Author, "mina")
	assert.Equal(t, f.lastProposal.Note, "why")
	lines, err := config.Summary(f.lastProposal.Base.Document, f.Current().Document)
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 5)
}

// Findings must be displayed at their fields, and a draft with findings must not
// be published.
func TestFindingsAreShownAtTheirFields(t *testing.T) {
	f := newFakePublisher(t)
	b := signedIn(t, serve(t, f, nil))
	status, body := b.setWeight("quality", "much")
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assertContains(t, body, `value="much"`, "&#34;much&#34; is not a number")
	_, body = b.post("/teams/entry", url.Values{"entry": {"quality"}, "weight": {"-1"}, "models": {"sapphire-llm nothing"}})
	assertContains(t, body, "is -1; must be above 0", "line 2: there is no model &#34;nothing&#34;")
	assertContains(t, b.get("/"), "teams: quality: weight", "disabled", "Mend the findings first.")
	status, _ = b.publish()
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.Equal(t, f.calls, 1)
	status, body = b.post("/teams/entry", url.Values{"entry": {""}, "name": {"quality"}})
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assertContains(t, body, "There is an entry &#34;quality&#34; already.")
	status, _ = b.post("/discard", url.Values{})
	assert.Equal(t, status, http.StatusOK)
	assertContains(t, b.get("/"), "None yet.")
}

// When another session has published first, a session must neither overwrite the
// other one's changes nor lose its own edits.
func TestOutdatedDraftIsRebased(t *testing.T) {
	f := newFakePublisher(t)
	server := serve(t, f, nil)
	a, b := signedIn(t, server), signedIn(t, server)
	a.setWeight("quality", "3")
	a.setWeight("die-shop", "4")
	a.post("/teams/entry", url.Values{"entry": {"export-office"}, "weight": {"9"}})
	b.setWeight("quality", "5")
	b.post("/teams/remove", url.Values{"entry": {"export-office"}})
	digest := digestInput.FindStringSubmatch(a.get("/"))[1]
	_, body := b.publish()
	assertContains(t, body, "Published as revision 2.")
	status, body := a.post("/publish", url.Values{"digest": {digest}})
	assert.Equal(t, status, http.StatusConflict)
	assertContains(t, body, "revision 2 was accepted before yours", "teams: quality: weight: 1 -&gt; 5", "teams: removed export-office")
	_, body = a.post("/carry", url.Values{})
	assertContains(t, body, "based on revision 2", "changed by both, your value is kept: teams: quality: weight",
		"left out: patch[0]: teams/export-office/weight: there is no such entry", "teams: quality: weight: 5 -&gt; 3", "teams: die-shop: weight: 1 -&gt; 4")
	_, body = a.publish()
	assertContains(t, body, "Published as revision 3.")
}

// Each result of a publication must be reported as it is; an unknown outcome must
// not be reported as a success or a failure. The draft must be kept.
func TestEachResultIsReported(t *testing.T) {
	f := newFakePublisher(t)
	b := signedIn(t, serve(t, f, nil))
	b.setWeight("quality", "3")
	for result, want := range map[configlog.Result]string{
		configlog.ResultUnknown: "The outcome is unknown",
		configlog.ResultNotSent: "Nothing was published: the log service is unavailable",
		configlog.ResultInvalid: "The document was refused",
	} {
		f.result = result
		status, body := b.publish()
		assert.Assert(t, status >= 400)
		assertContains(t, body, want, "teams: quality: weight: 1 -&gt; 3")
	}
}

// A draft that was edited in another tab after the page was displayed must not be
// published from that page.
func TestPublishRequiresDisplayedDraft(t *testing.T) {
	f := newFakePublisher(t)
	b := signedIn(t, serve(t, f, nil))
	b.setWeight("quality", "3")
	digest := digestInput.FindStringSubmatch(b.get("/"))[1]
	b.setWeight("quality", "4")
	status, _ := b.post("/publish", url.Values{"digest": {digest}})
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, f.calls, 1)
}

// Access must be refused without a session, with a wrong password, with a wrong
// CSRF token, after the session has expired or ended, and after too many sign-in
// attempts.
func TestAccess(t *testing.T) {
	var now atomic.Int64
	server := serve(t, newFakePublisher(t), func() time.Time { return time.Unix(now.Load(), 0) })
	b := newBrowser(t, server)
	assertContains(t, b.get("/teams"), "Operators' password")
	status, _ := b.post("/sign-in", url.Values{"author": {"mina"}, "password": {"wrong"}})
	assert.Equal(t, status, http.StatusForbidden)
	b = signedIn(t, server)
	status, _ = b.post("/discard", url.Values{"csrf": {"x"}})
	assert.Equal(t, status, http.StatusForbidden)
	assertContains(t, b.get("/teams"), "tender-desk")
	now.Add(int64(sessionIdleTimeout/time.Second) + 1)
	assertContains(t, b.get("/teams"), "Operators' password")
	other := signedIn(t, server)
	other.get("/")
	_, body := other.post("/sign-out", url.Values{})
	assertContains(t, body, "Operators' password")
	assertContains(t, other.get("/teams"), "Operators' password")
	for range signInBurst {
		status, _ = b.post("/sign-in", url.Values{"password": {"guess"}})
	}
	assert.Equal(t, status, http.StatusTooManyRequests)
}

// BenchmarkPages prepares the data of the overview page for a draft with one
// change to a document with 4600 teams, the target size.
func BenchmarkPages(b *testing.B) {
	doc := configtest.Document(4600)
	changed := doc.Canonical()
	changed.Teams[7].Weight = 77
	c := &console{options: Options{ActiveRevision: func() *configlog.Revision { return nil }}}
	s := &session{draft: &draft{base: &configlog.Revision{Number: 1, Document: doc}, doc: changed}}
	for b.Loop() {
		c.sessionPage(s, "Overview", "", c.overviewOf(s))
	}
}
