package burncmd

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sapphirefield/sapphirefield/burn"
	"github.com/sapphirefield/sapphirefield/config"
)

var now = time.Unix(1_800_000_000, 0).Add(7 * time.Minute)

var objectives = []config.Objective{
	{Name: "bookings", Service: "orderbook-app", Measure: config.MeasureAvailability, Target: 0.999},
	{Name: "first-token", Model: "sapphire-llm", Measure: config.MeasureTimeToFirstToken, Threshold: 670 * time.Millisecond, Target: 0.95},
	{Name: "between-tokens", Model: "sapphire-llm", Team: "quotes <night>", Measure: config.MeasureInterTokenLatency, Threshold: 27 * time.Millisecond, Target: 0.95},
}

// startProcess starts a server with the counts of three days, with failed bookings
// in the last 40 minutes and slow first tokens a day ago.
func startProcess(t *testing.T, seed uint64) *httptest.Server {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	tracker := burn.NewTracker(objectives)
	for at := now.Add(-burn.Window3d); !at.After(now); at = at.Add(time.Minute) {
		age := now.Sub(at)
		for range 20 {
			failed := random.Float64() < 0.0002 || age < 40*time.Minute && random.Float64() < 0.03
			tracker.Observe(at, burn.Sample{Measure: config.MeasureAvailability, Service: "orderbook-app", Failed: failed})
			slow := random.Float64() < 0.02 || age > 20*time.Hour && age < 26*time.Hour && random.Float64() < 0.2
			duration := 300 * time.Millisecond
			if slow {
				duration = time.Second
			}
			tracker.Observe(at, burn.Sample{Measure: config.MeasureTimeToFirstToken, Model: "sapphire-llm", Duration: duration})
		}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, password, _ := r.BasicAuth()
		if r.URL.Path != "/burn" || password != "opensesame" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_ = json.NewEncoder(w).Encode(tracker.Export("e"))
	}))
	t.Cleanup(server.Close)
	return server
}

// The table must merge all processes that answer, name those that do not, and
// give the reasons of alerts. The HTML page must contain a plot for each objective
// with events, and escape names. BURN_PAGE sets the path of the page.
func TestReport(t *testing.T) {
	one, two := startProcess(t, 1), startProcess(t, 2)
	broken := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(broken.Close)
	dir := t.TempDir()
	password := filepath.Join(dir, "password")
	assert.NilError(t, os.WriteFile(password, []byte("opensesame\n"), 0o600))
	page := filepath.Join(dir, "burn.html")
	if path := os.Getenv("BURN_PAGE"); path != "" {
		page = path
	}
	var out, errOut bytes.Buffer
	args := []string{"-password-file", password, "-html", page, one.URL, two.URL + "/", broken.URL}
	err := command(&out, &errOut, func() time.Time { return now }).ParseAndRun(context.Background(), args)
	assert.NilError(t, err)
	golden.Assert(t, out.String(), "table.golden")
	assert.Equal(t, errOut.String(), broken.URL+" answered 404 Not Found\n")
	html, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(html), "<svg"), 2*(len(objectives)-1))
	assert.Equal(t, strings.Count(string(html), "No event in 3 days."), 1)
	assert.Assert(t, !strings.Contains(string(html), "<?xml"))
	assert.Assert(t, strings.Contains(string(html), "quotes &lt;night&gt;"))
}

// If no process answers, the command must fail and print the cause.
func TestNoAnswer(t *testing.T) {
	one := startProcess(t, 1)
	var out, errOut bytes.Buffer
	err := command(&out, &errOut, time.Now).ParseAndRun(context.Background(), []string{one.URL})
	assert.ErrorContains(t, err, "no process has answered")
	assert.Assert(t, strings.Contains(errOut.String(), "401"))
	err = command(&out, &errOut, time.Now).ParseAndRun(context.Background(), nil)
	assert.ErrorContains(t, err, "at least one")
}
