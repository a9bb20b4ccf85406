package load

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/demo"
)

func options(url string) Options {
	return Options{
		URL: url, Key: demo.Key, Model: demo.Model, Service: demo.Service, Rate: 500, Concurrency: 8, Duration: time.Minute,
		Requests: 40, PromptMin: 1, PromptMax: 30, Tokens: 3, KeyedFraction: 0.5, Layers: demo.Layers, Seed: 1,
	}
}

// Guards against a report that accepts wrong or truncated answers, or omits
// error codes.
func TestReport(t *testing.T) {
	cluster, err := demo.Start(t.Context(), demo.ClusterOptions{Stages: 3, Replicas: 1, PlainServers: 1})
	assert.NilError(t, err)
	defer cluster.Stop()
	o := options(cluster.URL)
	o.KeyedFraction = 0
	var out bytes.Buffer
	assert.NilError(t, Run(t.Context(), &out, o))
	assert.Assert(t, strings.HasPrefix(out.String(), "40 prompts, 0 bookings and 120 tokens"), out.String())

	// The cluster has no log service, so bookings with an idempotency key are rejected.
	o.KeyedFraction = 1
	out.Reset()
	assert.NilError(t, Run(t.Context(), &out, o))
	assert.Assert(t, strings.Contains(out.String(), "error log_unavailable  40"), out.String())

	o.KeyedFraction, o.Layers = 0, demo.Layers+1
	assert.ErrorContains(t, Run(t.Context(), &out, o), "40 answers were incomplete or wrong")

	truncated := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "data: {\"choices\":[{\"text\":\" a\"}]}\n\n")
	}))
	defer truncated.Close()
	o.URL = truncated.URL
	assert.ErrorContains(t, Run(t.Context(), &out, o), "is incomplete")
}

// Guards against sending load to other machines, and against unlimited load.
func TestOptionsLimits(t *testing.T) {
	for wantError, change := range map[string]func(o *Options){
		"not a loopback address": func(o *Options) { o.URL = "http://10.0.0.1:8443" },
		"neither http nor https": func(o *Options) { o.URL = "ftp://127.0.0.1" },
		"-rate":                  func(o *Options) { o.Rate = 0 },
		"-duration":              func(o *Options) { o.Duration = time.Hour },
		"-requests":              func(o *Options) { o.Requests = 0 },
		"-concurrency":           func(o *Options) { o.Concurrency = maxConcurrency + 1 },
	} {
		o := options("http://127.0.0.1:1")
		change(&o)
		assert.ErrorContains(t, Run(t.Context(), &bytes.Buffer{}, o), wantError)
	}
}
