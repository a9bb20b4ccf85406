package soak

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// failedSeeds are seeds of soaks that broke a promise, each with its cause.
var failedSeeds = []uint64{}

// Guards against promises that hold in the tests of single packages but not for
// the real program under faults from outside.
func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "sapphired")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/sapphired").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for lane, seed := range append([]uint64{7}, failedSeeds...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(t.Context(), Options{
				Program: program, Dir: t.TempDir(), Seed: seed, Entries: 3, Engines: 18, Clients: 8,
				FaultDuration: 5 * time.Second, SettleDuration: 3 * time.Second, AddressBlock: 200 + lane,
			})
			assert.NilError(t, err)
			t.Log(report)
			assert.Equal(t, len(report.Violations()), 0, "%v", report)
		})
	}
}

func testRun() *run {
	r := &run{report: newReport(1), Options: Options{Seed: 1}}
	r.store = platformtest.NewStore(r.seeded(1))
	r.fleet = platformtest.NewFleet(r.store, heartbeat, func(promise, detail string) { r.report.broken(promise, "%s", detail) })
	return r
}

func answer(status int, id string) *http.Response {
	header := http.Header{}
	if id != "" {
		platformtest.Sign(header, id)
	}
	return &http.Response{StatusCode: status, Header: header}
}

// Guards against checks that see nothing.
func TestChecksFindBrokenPromises(t *testing.T) {
	book := platformtest.ClientRequest{ID: "1", Method: http.MethodPost, Target: platformtest.PathAtMostOnce}
	stream := platformtest.ClientRequest{ID: "1", Method: http.MethodPost, Target: platformtest.PathStream, Events: 3}
	whole := events(stream)
	second := platformtest.EventText("1", 1)
	cut := errors.New("cut")
	for _, test := range []struct {
		promise  string
		call     platformtest.ClientRequest
		response *http.Response
		body     string
		err      error
	}{
		{"", book, answer(200, "1"), platformtest.AppResponseBody("1"), nil},
		{"right answer", book, answer(200, "1"), platformtest.AppResponseBody("2"), nil},
		{"right answer", book, answer(200, ""), platformtest.AppResponseBody("1"), nil},
		{"right answer", book, answer(200, "2"), platformtest.AppResponseBody("1"), nil},
		{"proper requests", book, answer(404, ""), "", nil},
		{"", stream, answer(200, "1"), whole, nil},
		{"right answer", stream, answer(200, "1"), strings.Replace(whole, second, "", 1), nil},
		{"", stream, answer(200, "1"), whole[:len(whole)-5], cut},
		{"order of events", stream, answer(200, "1"), strings.Replace(whole, second, second+second, 1), cut},
	} {
		r := testRun()
		c := r.newCaller(1)
		c.check(test.call, test.response, test.body, test.err)
		found := strings.Join(r.report.Violations(), "\n")
		assert.Equal(t, found != "", test.promise != "", "%v: %s", test, found)
		assert.Assert(t, strings.Contains(found, test.promise), "%v: %s", test, found)
	}
}

// Guards against a process that goes back to an older revision, and one that
// never takes a newer one, without the soak's notice.
func TestRevisionsThatGoBackAreFound(t *testing.T) {
	r := testRun()
	e := &entry{settings: platformtest.EntrySettings{Name: "e"}}
	for range 3 {
		r.publish()
	}
	v := &r.versions
	v.shown = map[process][]proof{{"e", 0}: {{time.Now().Add(-time.Second), 3}}}
	assert.Equal(t, v.shownBefore(process{"e", 0}, time.Now()), int64(3))
	assert.Equal(t, v.shownBefore(process{"e", 1}, time.Now()), int64(1))
	v.acked[1] = time.Now().Add(-5 * time.Second)
	assert.Equal(t, v.inForceBy(time.Now().Add(-configurationLimit)), int64(2))
	e.begin()
	assert.Assert(t, !e.calmSince(time.Now()))
	e.end()
	assert.Assert(t, e.calmSince(time.Now().Add(time.Millisecond)))
}

// Guards against a proxy that lets through what it should hold.
func TestProxyModes(t *testing.T) {
	r := testRun()
	server, err := r.fleet.StartApp(platformtest.ServiceA, "a", r.seeded(3), func(address string) string { return address })
	assert.NilError(t, err)
	defer server.Crash()
	address := server.Address()
	p, err := newProxy(address)
	assert.NilError(t, err)
	defer p.close()
	ask := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		call := platformtest.ClientRequest{ID: "x", Method: http.MethodGet, Target: "/", Timeout: time.Second}
		request, err := call.HTTPRequest(ctx, "http://"+p.address())
		assert.NilError(t, err)
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	assert.NilError(t, ask())
	for _, mode := range []proxyMode{modeSilent, modeOneWay, modeReset} {
		p.setMode(mode)
		assert.Assert(t, ask() != nil, "mode %d", mode)
	}
	p.setMode(modePass)
	assert.NilError(t, ask())
}
