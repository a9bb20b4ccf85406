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

// regressionSeeds are seeds of soaks that found violations, each with its cause.
var regressionSeeds = []uint64{
	2201, // streams without chunks looked complete when their engine crashed between two events
}

// Guards against violations that the tests of single packages miss and that only
// occur in real processes under injected faults.
func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "sapphired")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/sapphired").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for lane, seed := range append([]uint64{7}, regressionSeeds...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			options := Options{
				Program: program, Dir: t.TempDir(), Seed: seed, Entries: 3, Engines: 18, Clients: 8,
				FaultDuration: 5 * time.Second, SettleDuration: 3 * time.Second, AddressBlock: 200 + lane,
			}
			report, err := Run(t.Context(), options)
			for errors.Is(err, ErrBlockInUse) && options.AddressBlock < maxLane {
				// The same test may run in another working copy.
				options.AddressBlock++
				report, err = Run(t.Context(), options)
			}
			assert.NilError(t, err)
			t.Log(report)
			assert.Equal(t, len(report.Violations()), 0, "%v", report)
		})
	}
}

func newTestRun() *soakRun {
	r := &soakRun{report: newReport(1), Options: Options{Seed: 1}}
	r.store = platformtest.NewStore(r.newRand(1))
	r.fleet = platformtest.NewFleet(r.store, heartbeatInterval, func(invariant, detail string) { r.report.addViolation(invariant, "%s", detail) })
	return r
}

func testResponse(status int, id string) *http.Response {
	header := http.Header{}
	if id != "" {
		platformtest.Sign(header, id)
	}
	return &http.Response{StatusCode: status, Header: header}
}

// Guards against two soaks that use the same addresses at the same time: their clients
// and servers mix, and both report violations that are none.
func TestBlockIsUsedOnce(t *testing.T) {
	o := Options{AddressBlock: maxLane, Entries: 1, Engines: 3, Clients: 1}
	claim, err := o.claimBlock()
	assert.NilError(t, err)
	defer claim.Close()
	_, err = Run(t.Context(), o)
	assert.ErrorIs(t, err, ErrBlockInUse)
}

// Guards against checks that miss violations.
func TestChecksFindViolations(t *testing.T) {
	booking := platformtest.ClientRequest{ID: "1", Method: http.MethodPost, Target: platformtest.PathAtMostOnce}
	stream := platformtest.ClientRequest{ID: "1", Method: http.MethodPost, Target: platformtest.PathStream, Events: 3}
	completeStream := expectedStream(stream)
	second := platformtest.EventText("1", 1)
	errTruncated := errors.New("cut")
	for _, test := range []struct {
		invariant string
		request   platformtest.ClientRequest
		response  *http.Response
		body      string
		err       error
	}{
		{"", booking, testResponse(200, "1"), platformtest.AppResponseBody("1"), nil},
		{"response content", booking, testResponse(200, "1"), platformtest.AppResponseBody("2"), nil},
		{"response content", booking, testResponse(200, ""), platformtest.AppResponseBody("1"), nil},
		{"response content", booking, testResponse(200, "2"), platformtest.AppResponseBody("1"), nil},
		{"request rejected", booking, testResponse(404, ""), "", nil},
		{"", stream, testResponse(200, "1"), completeStream, nil},
		{"response content", stream, testResponse(200, "1"), strings.Replace(completeStream, second, "", 1), nil},
		{"", stream, testResponse(200, "1"), completeStream[:len(completeStream)-5], errTruncated},
		{"event order", stream, testResponse(200, "1"), strings.Replace(completeStream, second, second+second, 1), errTruncated},
	} {
		r := newTestRun()
		c := r.newLoadClient(1)
		c.checkResponse(test.request, test.response, test.body, test.err)
		violations := strings.Join(r.report.Violations(), "\n")
		assert.Equal(t, violations != "", test.invariant != "", "%v: %s", test, violations)
		assert.Assert(t, strings.Contains(violations, test.invariant), "%v: %s", test, violations)
	}
}

// Guards against overlooking a process that returns to an older revision or never
// activates a newer one.
func TestRevisionRegressionsAreFound(t *testing.T) {
	r := newTestRun()
	e := &entry{settings: platformtest.EntrySettings{Name: "e"}}
	for range 3 {
		r.publish(platformtest.ConfigurationVariant{RouteTimeout: maxRouteTimeout})
	}
	tracker := &r.revisions
	tracker.observed = map[process][]revisionObservation{{"e", 0}: {{time.Now().Add(-time.Second), 3}}}
	assert.Equal(t, tracker.observedBefore(process{"e", 0}, time.Now()), int64(3))
	assert.Equal(t, tracker.observedBefore(process{"e", 1}, time.Now()), int64(1))
	tracker.ackTimes[1] = time.Now().Add(-5 * time.Second)
	assert.Equal(t, tracker.acknowledgedBefore(time.Now().Add(-activationLimit)), int64(2))
	end := e.beginFault()
	assert.Assert(t, !e.faultFreeSince(time.Now()))
	end()
	assert.Assert(t, e.faultFreeSince(time.Now().Add(time.Millisecond)))
}

// Guards against a proxy that forwards data in a mode that must block it.
func TestProxyModes(t *testing.T) {
	r := newTestRun()
	server, err := r.fleet.StartApp(platformtest.ServiceA, "a", r.newRand(3), func(address string) string { return address })
	assert.NilError(t, err)
	defer server.Crash()
	address := server.Address()
	p, err := newProxy(address)
	assert.NilError(t, err)
	defer p.close()
	sendRequest := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		clientRequest := platformtest.ClientRequest{ID: "x", Method: http.MethodGet, Target: "/", Timeout: time.Second}
		request, err := clientRequest.HTTPRequest(ctx, "http://"+p.address())
		assert.NilError(t, err)
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	assert.NilError(t, sendRequest())
	for _, mode := range []proxyMode{modeStall, modeStallResponses, modeReset} {
		p.setMode(mode)
		assert.Assert(t, sendRequest() != nil, "mode %d", mode)
	}
	p.setMode(modeForward)
	assert.NilError(t, sendRequest())
}

// Guards against a check of crashing requests that misses late crashes, or counts those of
// one cause for another.
func TestLateCrashesAreFound(t *testing.T) {
	e := &entry{}
	for cause, tolerated := range map[platformtest.CrashCause]int{platformtest.CrashByPart: 5, platformtest.CrashByStream: 3, platformtest.CrashByCall: 3} {
		for late := range 5 {
			tracker, report := &crashTracker{}, newReport(1)
			now := time.Now()
			for range tolerated {
				tracker.record(now, cause, e)
			}
			for range late {
				tracker.record(now.Add(blockLimit+time.Second), cause, e)
			}
			tracker.record(now, "other", e)
			tracker.check(report)
			assert.Equal(t, len(report.Violations()) > 0, late > lateCrashes, "%s: %d late", cause, late)
		}
	}
}

// Guards against a stand-in that does not notice requests beyond its rate limit.
func TestStandInCountsAgainstRateLimit(t *testing.T) {
	r := newTestRun()
	violations := 0
	r.fleet.OnViolation = func(invariant, _ string) {
		// The requests come without an entry, which other checks notice.
		if invariant == "rate limit" {
			violations++
		}
	}
	app, err := r.fleet.StartApp(platformtest.ServiceA, "a", r.newRand(3), func(address string) string { return address })
	assert.NilError(t, err)
	defer app.Crash()
	app.SetRateLimit(1)
	send := func() {
		c := platformtest.ClientRequest{ID: "r", Method: http.MethodGet, Target: platformtest.PathIdempotent, Timeout: time.Second, Entry: "e/1"}
		request, err := c.HTTPRequest(t.Context(), "http://"+app.Address())
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get(platformtest.HeaderRateLimit), "1")
		response.Body.Close()
	}
	const allowed = 1.5*4 + 5
	send()
	app.BackdateRateLimit(time.Second)
	for range int(allowed) {
		send()
	}
	assert.Equal(t, violations, 0)
	send()
	assert.Equal(t, violations, 1)
}

// Guards against a check that lays the word of a leaving server to another one, at which the
// request ran later, and against one that misses a false word.
func TestWordOfLeavingServerIsItsOwn(t *testing.T) {
	r := newTestRun()
	r.fleet.OnViolation = func(string, string) {} // the requests come without an entry
	c, e := r.newLoadClient(1), &entry{}
	var servers []*platformtest.App
	for range 2 {
		app, err := r.fleet.StartApp(platformtest.ServiceA, "a", r.newRand(3), func(address string) string { return address })
		assert.NilError(t, err)
		defer app.Crash()
		servers = append(servers, app)
	}
	leaving, staying := servers[0], servers[1]
	leaving.StartLeaving()
	send := func(id string, to *platformtest.App) (platformtest.ClientRequest, http.Header) {
		request := platformtest.ClientRequest{ID: id, Method: http.MethodGet, Target: platformtest.PathIdempotent, Timeout: time.Second, Entry: "e/1"}
		sent, err := request.HTTPRequest(t.Context(), "http://"+to.Address())
		assert.NilError(t, err)
		platformtest.AddressTo(sent.Header, to.ID())
		response, err := http.DefaultClient.Do(sent)
		assert.NilError(t, err)
		response.Body.Close()
		return request, response.Header
	}
	violations := func() int { return len(r.report.Violations()) }
	request, answer := send("both", leaving)
	send("both", staying)
	c.checkLeaving(request, e, time.Now(), answer)
	later := time.Now().Add(2 * drainPropagationLimit)
	request, answer = send("staying", staying)
	c.checkLeaving(request, e, later, answer)
	assert.Equal(t, violations(), 0, "%v", r.report)

	request, answer = send("leaving", leaving)
	c.checkLeaving(request, e, later, answer)
	assert.Equal(t, violations(), 1, "%v", r.report)
	request, answer = send("false", staying)
	for _, server := range []string{staying.ID(), leaving.ID(), ""} {
		answer.Set(platformtest.HeaderLeaving, "1")
		answer.Set(platformtest.HeaderServer, server)
		c.checkLeaving(request, e, time.Now(), answer)
	}
	assert.Equal(t, violations(), 4, "%v", r.report)
}
