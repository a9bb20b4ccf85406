package opsclient

import (
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/standin/rawhttp"
)

func newClient(t *testing.T, args ...string) *Client {
	var f Flags
	set := flag.NewFlagSet("test", flag.ContinueOnError)
	f.Register(set)
	assert.NilError(t, set.Parse(args))
	c, err := New(f)
	assert.NilError(t, err)
	return c
}

// Get must send the password, and accept an address without a scheme, as it is
// written in the settings.
func TestGet(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, password, _ := r.BasicAuth(); password != "open sesame" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_, _ = w.Write([]byte(r.URL.Path))
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "password")
	assert.NilError(t, os.WriteFile(file, []byte("open sesame\n"), 0o600))

	data, err := newClient(t, "-password-file", file).Get(context.Background(), strings.TrimPrefix(server.URL, "http://"), "/status", 100)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "/status")
	_, err = newClient(t).Get(context.Background(), server.URL, "/status", 100)
	assert.ErrorContains(t, err, "401")
}

// The password must not be sent in plain text over a network.
func TestPasswordRequiresTLSOrLoopback(t *testing.T) {
	file := filepath.Join(t.TempDir(), "password")
	assert.NilError(t, os.WriteFile(file, []byte("x"), 0o600))
	_, err := newClient(t, "-password-file", file).Get(context.Background(), "192.0.2.1:8445", "/status", 100)
	assert.ErrorContains(t, err, "https or to a loopback address only")
}

// Guards against a part of an answer, or what is no part of it, that an operator sees as the
// whole, because the head is no answer.
func TestHeadThatIsNoAnswerIsRefused(t *testing.T) {
	const body = "4\r\ntext\r\n0\r\n\r\n"
	for _, head := range rawhttp.InvalidHeads(len(body)) {
		server := httptest.NewServer(rawhttp.Answer(head, body))
		defer server.Close()
		data, err := newClient(t).Get(context.Background(), server.URL, "/status", 100)
		assert.Assert(t, err != nil, "%s: %q", head, data)
	}
}
