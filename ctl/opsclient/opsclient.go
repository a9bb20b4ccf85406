// Package opsclient is an HTTP client for the operators' listeners of processes.
// It sends the operators' password and verifies certificates against a given
// certificate authority.
package opsclient

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/answerhead"
)

// Flags holds the flags shared by all commands that send requests to processes.
type Flags struct {
	passwordFile string
	caFile       string
	timeout      time.Duration
}

// Register defines the flags in a flag set.
func (f *Flags) Register(set *flag.FlagSet) {
	set.StringVar(&f.passwordFile, "password-file", "", "file with the operators' password")
	set.StringVar(&f.caFile, "ca", "", "PEM file with the authority of the operators' listeners; the system's authorities when empty")
	set.DurationVar(&f.timeout, "timeout", 5*time.Second, "longest time for one process to answer")
}

// Client sends requests to operators' listeners.
type Client struct {
	client   *http.Client
	password string
}

// New returns a Client with the password and the certificate authority from the
// files that the flags name.
func New(f Flags) (*Client, error) {
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: maxHeaderBytes}
	c := &Client{client: &http.Client{Timeout: f.timeout, Transport: transport}}
	if f.passwordFile != "" {
		text, err := os.ReadFile(f.passwordFile)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		c.password = strings.TrimRight(string(text), "\r\n")
	}
	if f.caFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(f.caFile)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no certificate", f.caFile)
	}
	transport.Proxy, transport.TLSClientConfig = nil, &tls.Config{RootCAs: pool}
	return c, nil
}

// maxHeaderBytes bounds the header of a response.
const maxHeaderBytes = 64 << 10

// Get returns the response body of a process, truncated to limit bytes. The
// address is a host and port, or a URL; without a scheme plain HTTP is used. The
// password is sent over HTTPS or to a loopback address only; for any other
// address Get returns an error.
func (c *Client) Get(ctx context.Context, address, path string, limit int64) ([]byte, error) {
	url := strings.TrimRight(address, "/") + path
	useTLS := strings.HasPrefix(address, "https://")
	if !strings.Contains(address, "://") {
		url = "http://" + url
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if c.password != "" {
		if !useTLS && !isLoopback(request.URL.Hostname()) {
			return nil, errors.Errorf("%s: the password is sent over https or to a loopback address only", address)
		}
		request.SetBasicAuth("operator", c.password)
	}
	response, err := answerhead.Do(c.client.Do, request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s answered %s", address, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit))
	return data, errors.Wrap(err, address)
}
