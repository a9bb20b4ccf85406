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
		Requests: 40, PromptMin: 1, PromptMax: 30, Tokens: 3, Keyed: 0.5, Layers: demo.Layers, Seed: 1,
	}
}

// Guards against a report that takes wrong or cut answers for whole ones, or
// loses error codes.
func TestReport(t *testing.T) {
	cluster, err := demo.Start(t.Context(), demo.ClusterOptions{Stages: 3, Replicas: 1, PlainServers: 1})
	assert.NilError(t, err)
	defer cluster.Stop()
	o := options(cluster.URL)
	o.Keyed = 0
	var out bytes.Buffer
	assert.NilError(t, Run(t.Context(), &out, o))
	assert.Assert(t, strings.HasPrefix(out.String(), "40 prompts, 0 bookings and 120 tokens"), out.String())

	// The cluster has no log service, so keyed bookings are refused.
	o.Keyed = 1
	out.Reset()
	assert.NilError(t, Run(t.Context(), &out, o))
	assert.Assert(t, strings.Contains(out.String(), "error log_unavailable  40"), out.String())

	o.Keyed, o.Layers = 0, demo.Layers+1
	assert.ErrorContains(t, Run(t.Context(), &out, o), "40 answers were not whole")

	cut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "data: {\"choices\":[{\"text\":\" a\"}]}\n\n")
	}))
	defer cut.Close()
	o.URL = cut.URL
	assert.ErrorContains(t, Run(t.Context(), &out, o), "ended without its mark")
}

// Guards against load on anything but this machine, and without bounds.
func TestLimits(t *testing.T) {
	for want, change := range map[string]func(o *Options){
		"not a loopback address": func(o *Options) { o.URL = "http://10.0.0.1:8443" },
		"neither http nor https": func(o *Options) { o.URL = "ftp://127.0.0.1" },
		"-rate":                  func(o *Options) { o.Rate = 0 },
		"-duration":              func(o *Options) { o.Duration = time.Hour },
		"-requests":              func(o *Options) { o.Requests = 0 },
		"-concurrency":           func(o *Options) { o.Concurrency = maxConcurrency + 1 },
	} {
		o := options("http://127.0.0.1:1")
		change(&o)
		assert.ErrorContains(t, Run(t.Context(), &bytes.Buffer{}, o), want)
	}
}
