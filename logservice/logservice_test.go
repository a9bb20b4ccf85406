package logservice

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/standin/rawhttp"
)

func newTestServer(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

// Guards against deviations from the API in docs/design.md, section 5.
func TestClientsFollowAPI(t *testing.T) {
	server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch r.Method + " " + r.URL.String() {
		case "POST /streams/control/records":
			assert.Equal(t, string(body), "abc")
			fmt.Fprint(w, `{"offset": 7}`)
		case "GET /streams/control/records?from=3&wait=2s":
			fmt.Fprint(w, `{"first":2,"next":4,"records":[{"offset":3,"data":"YWJj"}]}`)
		case "GET /instances":
			fmt.Fprint(w, `{"instances":[{"id":"i","service":"s","zone":"z","address":"127.0.0.1:1","state":"leaving"}]}`)
		default:
			t.Errorf("unexpected call %s %s", r.Method, r.URL)
		}
	})
	log := NewLog(server.URL+"/", server.Client())
	offset, err := log.Append(t.Context(), "control", []byte("abc"))
	assert.NilError(t, err)
	assert.Equal(t, offset, int64(7))
	batch, err := log.Read(t.Context(), "control", 3, 2*time.Second)
	assert.NilError(t, err)
	assert.DeepEqual(t, batch, Batch{FirstOffset: 2, NextOffset: 4, Records: []Record{{Offset: 3, Data: []byte("abc")}}})
	list, err := NewInstanceList(server.URL, server.Client(), func(error) {}).Instances(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []Instance{{"i", "s", "z", "127.0.0.1:1", Leaving}})
}

// Guards against an append that is reported as without effect although it may have
// taken effect, and against an expired read that is reported as an outage.
func TestErrorsDistinguishOutcomes(t *testing.T) {
	type response struct {
		status int
		body   string
	}
	var nextResponse atomic.Pointer[response]
	server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		resp := nextResponse.Load()
		if resp.status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(resp.status)
		fmt.Fprint(w, resp.body)
	})
	log := NewLog(server.URL, server.Client())
	for _, c := range []struct {
		status int
		body   string
		append error
		read   error
	}{
		{0, "", ErrUnknownOutcome, ErrUnavailable},
		{200, "{}", ErrUnknownOutcome, nil},
		{200, "{", ErrUnknownOutcome, ErrUnavailable},
		{429, "", ErrUnavailable, ErrUnavailable},
		{503, "", ErrUnknownOutcome, ErrUnavailable},
		{400, "", ErrRejected, ErrRejected},
	} {
		nextResponse.Store(&response{c.status, c.body})
		_, err := log.Append(t.Context(), "control", nil)
		assert.Assert(t, errors.Is(err, c.append), "append, status %d: %v", c.status, err)
		_, err = log.Read(t.Context(), "control", 1, 0)
		assert.Assert(t, errors.Is(err, c.read), "read, status %d: %v", c.status, err)
	}
	for body, first := range map[string]int64{`{"first": 9}`: 9, "gone": 0} {
		nextResponse.Store(&response{http.StatusGone, body})
		_, err := log.Read(t.Context(), "control", 1, 0)
		var expired *ExpiredError
		assert.Assert(t, errors.As(err, &expired))
		assert.Equal(t, expired.FirstOffset, first)
	}
	server.Close()
	_, err := log.Append(t.Context(), "control", nil)
	assert.ErrorIs(t, err, ErrUnavailable)
}

// Guards against a read that outlives its context.
func TestReadStopsWithContext(t *testing.T) {
	release := make(chan struct{})
	server := newTestServer(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := NewLog(server.URL, server.Client()).Read(ctx, "control", 1, time.Hour)
	assert.ErrorIs(t, err, ErrUnavailable)
}

// Guards against one odd entry, left by another program, that hides all other instances.
func TestOddInstanceHidesNoOther(t *testing.T) {
	sound := func(id string) string {
		return `{"id":"` + id + `","service":"llm","zone":"a","address":"10.0.0.1:80","state":"live"}`
	}
	const depth = 20_000
	for name, odd := range map[string]string{
		"deeply nested":         strings.Repeat(`{"a":[`, depth) + strings.Repeat(`]}`, depth),
		"number too large":      `{"id":"x","service":"llm","zone":"a","address":"10.0.0.1:80","state":"live","weight":1e999}`,
		"number for an address": `{"id":"x","service":"llm","zone":"a","address":1e999,"state":"live"}`,
		"port out of range":     `{"id":"x","service":"llm","zone":"a","address":"10.0.0.1:70000","state":"live"}`,
		"no port":               `{"id":"x","service":"llm","zone":"a","address":"10.0.0.1","state":"live"}`,
		"unknown state":         `{"id":"x","service":"llm","zone":"a","address":"10.0.0.1:80","state":"asleep"}`,
		"no id":                 `{"service":"llm","zone":"a","address":"10.0.0.1:80","state":"live"}`,
		"another type":          `"x"`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"instances":[`+sound("a")+`,`+odd+`,`+sound("b")+`]}`)
			}))
			defer server.Close()
			reports := 0
			l := NewInstanceList(server.URL, server.Client(), func(error) { reports++ })
			_, err := l.Instances(t.Context())
			assert.NilError(t, err)
			list, err := l.Instances(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, reports <= 1, "%d reports of one entry", reports)
			var ids []string
			for _, instance := range list {
				ids = append(ids, instance.ID)
			}
			if name == "number too large" {
				// A field that nobody reads may hold anything.
				assert.DeepEqual(t, ids, []string{"a", "x", "b"})
				return
			}
			assert.DeepEqual(t, ids, []string{"a", "b"})
		})
	}
}

// Guards against an append that counts as done, or records that are believed, because of
// bytes that are no answer.
func TestHeadThatIsNoAnswerLeavesOutcomeUnknown(t *testing.T) {
	const body = `{"offset": 9, "first": 1, "next": 2}`
	for _, head := range rawhttp.InvalidHeads(len(body)) {
		server := newTestServer(t, rawhttp.Answer(head, body))
		log := NewLog(server.URL, server.Client())
		_, err := log.Append(t.Context(), "control", nil)
		assert.Assert(t, errors.Is(err, ErrUnknownOutcome), "%s: %v", head, err)
		_, err = log.Read(t.Context(), "control", 1, 0)
		assert.Assert(t, errors.Is(err, ErrUnavailable), "%s: %v", head, err)
	}
}
