package ops

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/settings"
)

// testPassword is the hash of "opensesame", with the fewest iterations that are allowed.
const testPassword = "pbkdf2-sha256$100000$AAAAAAAAAAAAAAAAAAAAAA$tAu9VgIFi8O0Xun9+sFHRD02OENJHaqUd80LfZSJokc"

func newHandler(t *testing.T, password settings.PasswordHash) (*Handler, *error) {
	t.Helper()
	var notReady error
	registry := metrics.NewRegistry()
	metrics.NewRegisteredCounter("requests", registry).Inc(7)
	return New(Options{
		Registry: registry,
		Status:   func() Status { return Status{ID: "e1", Role: "entry", Zone: "z", Revision: 42, InProgress: 3} },
		Ready:    func() error { return notReady },
		Password: password,
	}), &notReady
}

func get(h http.Handler, path, password string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	if password != "" {
		r.SetBasicAuth("operator", password)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against a draining process that stays ready, or that is restarted because
// it reports itself unhealthy.
func TestUnreadyProcessIsHealthy(t *testing.T) {
	h, notReady := newHandler(t, settings.PasswordHash{})
	assert.Equal(t, get(h, "/readyz", "").Code, 200)
	*notReady = errors.New("draining")
	w := get(h, "/readyz", "")
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, w.Body.String(), "draining\n")
	assert.Equal(t, get(h, "/healthz", "").Code, 200)
}

// Guards against renamed or missing fields of /status and /metrics, which operators'
// programs read by name, and against wrong routes.
func TestStatusAndMetrics(t *testing.T) {
	h, _ := newHandler(t, settings.PasswordHash{})
	var status map[string]any
	assert.NilError(t, json.Unmarshal(get(h, "/status", "").Body.Bytes(), &status))
	for _, name := range []string{"id", "role", "zone", "incarnation", "revision", "digest", "draining", "running", "unjudged"} {
		assert.Assert(t, status[name] != nil, name)
	}
	var all map[string]map[string]any
	assert.NilError(t, json.Unmarshal(get(h, "/metrics", "").Body.Bytes(), &all))
	assert.Equal(t, all["requests"]["count"], 7.0)
	assert.Equal(t, get(h, "/debug/pprof/goroutine", "").Code, 200)
	assert.Equal(t, get(h, "/nothing", "").Code, 404)
	r := httptest.NewRecorder()
	h.ServeHTTP(r, httptest.NewRequest(http.MethodPost, "/status", nil))
	assert.Equal(t, r.Code, 405)
}

// Guards against a truncated response with status 200 for a metric that has no JSON
// form, such as NaN.
func TestUnencodableMetric(t *testing.T) {
	h, _ := newHandler(t, settings.PasswordHash{})
	metrics.NewRegisteredGaugeFloat64("broken", h.options.Registry).Update(math.NaN())
	assert.Equal(t, get(h, "/metrics", "").Code, 500)
}

// Guards against mounted handlers and profiles that are reachable without the
// password, and against unlimited guesses; the accepted password must keep working
// while guesses are limited.
func TestPasswordRequiredExceptForHealth(t *testing.T) {
	synctest.Test(t, testPasswordRequiredExceptForHealth)
}

// testPasswordRequiredExceptForHealth must run in a synctest bubble, whose clock
// does not advance, so that the limiter is not refilled between guesses.
func testPasswordRequiredExceptForHealth(t *testing.T) {
	password, err := settings.ParsePasswordHash(testPassword)
	assert.NilError(t, err)
	h, _ := newHandler(t, password)
	h.Mount("/console/", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }))
	assert.Equal(t, get(h, "/healthz", "").Code, 200)
	assert.Equal(t, get(h, "/readyz", "").Code, 200)
	for _, path := range []string{"/console/", "/status", "/metrics", "/debug/pprof/"} {
		assert.Equal(t, get(h, path, "").Code, 401, path)
	}
	assert.Equal(t, get(h, "/console/", "opensesame").Code, 204)
	for range passwordCheckBurst - 1 {
		assert.Equal(t, get(h, "/console/", "wrong").Code, 401)
	}
	assert.Equal(t, get(h, "/console/", "wrong").Code, 429)
	assert.Equal(t, get(h, "/console/", "opensesame").Code, 204)
}
