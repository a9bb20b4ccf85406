package configcmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/logservice"
)

// logService is the log service over HTTP, in memory.
type logService struct {
	mutex   sync.Mutex
	records []logservice.Record
	// onAppend, when set, answers the next append.
	onAppend http.HandlerFunc
	// refuse makes the log reject every append.
	refuse bool
}

func (l *logService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if r.Method == http.MethodPost {
		if l.refuse {
			http.Error(w, "too large", http.StatusRequestEntityTooLarge)
			return
		}
		if answer := l.onAppend; answer != nil {
			l.onAppend = nil
			answer(w, r)
			return
		}
		data, _ := io.ReadAll(r.Body)
		l.records = append(l.records, logservice.Record{Offset: int64(len(l.records)), Data: data})
		fmt.Fprintf(w, `{"offset": %d}`, len(l.records)-1)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	from = min(from, len(l.records))
	_ = json.NewEncoder(w).Encode(logservice.Batch{NextOffset: int64(len(l.records)), Records: l.records[from:]})
}

type setup struct {
	t       *testing.T
	log     *logService
	url     string
	example string
	changed string
}

func newSetup(t *testing.T) setup {
	s := setup{t: t, log: &logService{}}
	server := httptest.NewServer(s.log)
	t.Cleanup(server.Close)
	s.url = server.URL
	text := string(config.Examples()["orderbook.yaml"])
	s.example = s.file("orderbook.yaml", text)
	s.changed = s.file("changed.yaml", strings.Replace(text, "timeout: 8s", "timeout: 9s", 1))
	return s
}

func (s setup) file(name, text string) string {
	path := filepath.Join(s.t.TempDir(), name)
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run returns the exit code, and the output with the error.
func (s setup) run(args ...string) (int, string) {
	var out bytes.Buffer
	err := Command(Options{Stdout: &out, Client: http.DefaultClient}).ParseAndRun(s.t.Context(), args)
	if err != nil {
		fmt.Fprintln(&out, err)
	}
	return ExitCode(err), out.String()
}

func (s setup) expect(code int, part string, args ...string) {
	s.t.Helper()
	got, out := s.run(args...)
	assert.Equal(s.t, got, code, out)
	assert.Assert(s.t, strings.Contains(out, part), "the output lacks %q:\n%s", part, out)
}

// Guards against an exit code other than the documented one, on which scripts
// in version control pipelines depend.
func TestExitCodes(t *testing.T) {
	s := newSetup(t)
	bad := s.file("bad.yaml", "schema: 1\nteams: [{name: t, weight: -1}]\n")
	s.expect(ExitOK, "ok, 10 teams, 43 servers", "check", s.example)
	s.expect(ExitFindings, "bad.yaml:2:27: teams[0].weight: is -1", "check", s.example, bad)
	s.expect(ExitUsage, "no such file", "check", "missing.yaml")
	s.expect(ExitUsage, "name at least one file", "check")
	s.expect(ExitUsage, "not defined", "check", "--nope")
	s.expect(ExitOK, "services: orderbook-app: timeout: 8s -> 9s", "diff", s.example, s.changed)
	s.expect(ExitOK, `"member":"timeout","value":9000000000`, "diff", "--patch", s.example, s.changed)
	s.expect(ExitFindings, "weight", "publish", "--log", s.url, bad)
	s.expect(ExitUsage, "--log", "publish", s.example)
	s.expect(ExitOK, "accepted as revision 1", "publish", "--log", s.url, "--author", "mina", s.example)
	s.expect(ExitOK, "nothing to publish", "publish", "--log", s.url, s.example)
	s.expect(ExitOK, "timeout: 8s -> 9s", "diff", "--log", s.url, s.changed)
	s.expect(ExitSuperseded, "revision 1 is in force, not 0", "publish", "--log", s.url, "--base", "0", s.changed)
	s.expect(ExitOK, "accepted as revision 2", "publish", "--log", s.url, "--base", "1", "--note", "slow presses", s.changed)
	s.expect(ExitOK, "services: orderbook-app: timeout  slow presses", "history", "--log", s.url)
	s.expect(ExitUnavailable, "log service", "history", "--log", "http://127.0.0.1:1")
}

// Guards against a publication that reports an outcome other than the log's
// when another one comes first, or when the log answers but forgets.
func TestPublishReportsTheOutcome(t *testing.T) {
	s := newSetup(t)
	s.expect(ExitOK, "accepted as revision 1", "publish", "--log", s.url, s.example)
	other := newSetup(t)
	other.expect(ExitOK, "revision 1", "publish", "--log", other.url, other.example)
	other.expect(ExitOK, "revision 2", "publish", "--log", other.url, other.changed)
	s.log.onAppend = func(w http.ResponseWriter, _ *http.Request) {
		s.log.records = append(s.log.records, other.log.records[1])
		w.WriteHeader(http.StatusBadGateway)
	}
	third := s.file("third.yaml", strings.Replace(string(config.Examples()["orderbook.yaml"]), "timeout: 8s", "timeout: 7s", 1))
	s.expect(ExitSuperseded, "overtaken by revision 2", "publish", "--log", s.url, third)
	s.log.refuse = true
	s.expect(ExitUnavailable, "status 413: too large", "publish", "--log", s.url, third)
	s.log.refuse = false
	s.log.onAppend = func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, `{"offset": 99}`)
		s.log.onAppend = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }
	}
	s.expect(ExitOK, "accepted as revision 3", "publish", "--log", s.url, third)
}

// Guards against a process that is behind, cannot judge a record or is silent
// and is not noticed.
func TestStatus(t *testing.T) {
	s := newSetup(t)
	serve := func(body string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, r.URL.Path, "/status")
			fmt.Fprint(w, body)
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	new := serve(`{"id":"a","role":"entry","zone":"z","incarnation":"i","revision":4,"digest":"d","unjudged":0}`)
	draining := serve(`{"id":"b","role":"sidecar","revision":4,"digest":"d","draining":true}`)
	old := serve(`{"id":"c","revision":3,"digest":"e"}`)
	unjudged := serve(`{"id":"d","revision":4,"digest":"d","unjudged":17}`)
	s.expect(ExitOK, "draining", "status", new, draining)
	s.expect(ExitFindings, "1 of 2 processes do not have revision 4", "status", new, old)
	s.expect(ExitFindings, "cannot judge the record at offset 17", "status", unjudged)
	s.expect(ExitUnavailable, "no answer", "status", new, "127.0.0.1:1")
	s.expect(ExitUsage, "address", "status")
}
