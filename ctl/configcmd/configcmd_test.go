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

// fakeLogService is an HTTP log service that keeps its records in memory.
type fakeLogService struct {
	mutex   sync.Mutex
	records []logservice.Record
	// onAppend, when set, handles the next append request.
	onAppend http.HandlerFunc
	// rejectAppends rejects every append request as too large.
	rejectAppends bool
}

func (l *fakeLogService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if r.Method == http.MethodPost {
		if l.rejectAppends {
			http.Error(w, "too large", http.StatusRequestEntityTooLarge)
			return
		}
		if handler := l.onAppend; handler != nil {
			l.onAppend = nil
			handler(w, r)
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

// testEnv runs commands against a fakeLogService with two example documents.
type testEnv struct {
	t       *testing.T
	log     *fakeLogService
	url     string
	example string
	changed string
}

func newTestEnv(t *testing.T) testEnv {
	env := testEnv{t: t, log: &fakeLogService{}}
	server := httptest.NewServer(env.log)
	t.Cleanup(server.Close)
	env.url = server.URL
	text := string(config.Examples()["orderbook.yaml"])
	env.example = env.file("orderbook.yaml", text)
	env.changed = env.file("changed.yaml", strings.Replace(text, "timeout: 8s", "timeout: 9s", 1))
	return env
}

func (env testEnv) file(name, text string) string {
	path := filepath.Join(env.t.TempDir(), name)
	assert.NilError(env.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run executes a command and returns its exit code, and its output followed by
// the error.
func (env testEnv) run(args ...string) (int, string) {
	var out bytes.Buffer
	err := Command(Options{Stdout: &out, Client: http.DefaultClient}).ParseAndRun(env.t.Context(), args)
	if err != nil {
		fmt.Fprintln(&out, err)
	}
	return ExitCode(err), out.String()
}

func (env testEnv) expect(code int, part string, args ...string) {
	env.t.Helper()
	got, out := env.run(args...)
	assert.Equal(env.t, got, code, out)
	assert.Assert(env.t, strings.Contains(out, part), "the output lacks %q:\n%s", part, out)
}

// The exit codes must be the documented ones, because scripts in CI pipelines
// depend on them.
func TestExitCodes(t *testing.T) {
	env := newTestEnv(t)
	bad := env.file("bad.yaml", "schema: 1\nteams: [{name: t, weight: -1}]\n")
	env.expect(ExitOK, "ok, 10 teams, 43 servers", "check", env.example)
	env.expect(ExitFindings, "bad.yaml:2:27: teams[0].weight: is -1", "check", env.example, bad)
	env.expect(ExitUsage, "no such file", "check", "missing.yaml")
	env.expect(ExitUsage, "name at least one file", "check")
	env.expect(ExitUsage, "not defined", "check", "--nope")
	env.expect(ExitOK, "services: orderbook-app: timeout: 8s -> 9s", "diff", env.example, env.changed)
	env.expect(ExitOK, `"member":"timeout","value":9000000000`, "diff", "--patch", env.example, env.changed)
	env.expect(ExitFindings, "weight", "publish", "--log", env.url, bad)
	env.expect(ExitUsage, "--log", "publish", env.example)
	env.expect(ExitOK, "accepted as revision 1", "publish", "--log", env.url, "--author", "mina", env.example)
	env.expect(ExitOK, "nothing to publish", "publish", "--log", env.url, env.example)
	env.expect(ExitOK, "timeout: 8s -> 9s", "diff", "--log", env.url, env.changed)
	env.expect(ExitSuperseded, "revision 1 is in force, not 0", "publish", "--log", env.url, "--base", "0", env.changed)
	env.expect(ExitOK, "accepted as revision 2", "publish", "--log", env.url, "--base", "1", "--note", "slow presses", env.changed)
	env.expect(ExitOK, "services: orderbook-app: timeout  slow presses", "history", "--log", env.url)
	env.expect(ExitUnavailable, "log service", "history", "--log", "http://127.0.0.1:1")
}

// The reported outcome of a publication must agree with the log when another
// revision is appended first, when the log rejects the append, and when the log
// confirms an append but does not store the record.
func TestPublishReportsTheOutcome(t *testing.T) {
	env := newTestEnv(t)
	env.expect(ExitOK, "accepted as revision 1", "publish", "--log", env.url, env.example)
	other := newTestEnv(t)
	other.expect(ExitOK, "revision 1", "publish", "--log", other.url, other.example)
	other.expect(ExitOK, "revision 2", "publish", "--log", other.url, other.changed)
	env.log.onAppend = func(w http.ResponseWriter, _ *http.Request) {
		env.log.records = append(env.log.records, other.log.records[1])
		w.WriteHeader(http.StatusBadGateway)
	}
	third := env.file("third.yaml", strings.Replace(string(config.Examples()["orderbook.yaml"]), "timeout: 8s", "timeout: 7s", 1))
	env.expect(ExitSuperseded, "overtaken by revision 2", "publish", "--log", env.url, third)
	env.log.rejectAppends = true
	env.expect(ExitUnavailable, "status 413: too large", "publish", "--log", env.url, third)
	env.log.rejectAppends = false
	env.log.onAppend = func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, `{"offset": 99}`)
		env.log.onAppend = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }
	}
	env.expect(ExitOK, "accepted as revision 3", "publish", "--log", env.url, third)
}

// A process that is behind, has read a record with a newer schema or does not
// answer must be reported.
func TestStatus(t *testing.T) {
	env := newTestEnv(t)
	serveStatus := func(body string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, r.URL.Path, "/status")
			fmt.Fprint(w, body)
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	current := serveStatus(`{"id":"a","role":"entry","zone":"z","incarnation":"i","revision":4,"digest":"d","unjudged":0}`)
	draining := serveStatus(`{"id":"b","role":"sidecar","revision":4,"digest":"d","draining":true}`)
	outdated := serveStatus(`{"id":"c","revision":3,"digest":"e"}`)
	newerSchema := serveStatus(`{"id":"d","revision":4,"digest":"d","unjudged":17}`)
	env.expect(ExitOK, "draining", "status", current, draining)
	env.expect(ExitFindings, "1 of 2 processes do not have revision 4", "status", current, outdated)
	env.expect(ExitFindings, "cannot judge the record at offset 17", "status", newerSchema)
	env.expect(ExitUnavailable, "no answer", "status", current, "127.0.0.1:1")
	env.expect(ExitUsage, "address", "status")
}
