// Package opsclient asks processes on their operators' listeners, with the
// operators' password and an authority for their certificates.
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
)

// Flags are the flags that all commands share that ask processes.
type Flags struct {
	passwordFile string
	caFile       string
	timeout      time.Duration
}

// Register adds the flags to a set.
func (f *Flags) Register(set *flag.FlagSet) {
	set.StringVar(&f.passwordFile, "password-file", "", "file with the operators' password")
	set.StringVar(&f.caFile, "ca", "", "PEM file with the authority of the operators' listeners; the system's authorities when empty")
	set.DurationVar(&f.timeout, "timeout", 5*time.Second, "longest time for one process to answer")
}

// Client asks processes.
type Client struct {
	client   *http.Client
	password string
}

// New reads the files that the flags name.
func New(f Flags) (*Client, error) {
	c := &Client{client: &http.Client{Timeout: f.timeout}}
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
	c.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}
	return c, nil
}

// Get returns the answer of a process, of at most limit bytes. The address is a
// host and port, or a URL; without a scheme it is asked in plain text, but
// never with the password.
func (c *Client) Get(ctx context.Context, address, path string, limit int64) ([]byte, error) {
	url := strings.TrimRight(address, "/") + path
	secured := strings.HasPrefix(address, "https://")
	if !strings.Contains(address, "://") {
		url = "http://" + url
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if c.password != "" {
		if !secured && !isLoopback(request.URL.Hostname()) {
			return nil, errors.Errorf("%s: the password is sent over https or to a loopback address only", address)
		}
		request.SetBasicAuth("operator", c.password)
	}
	response, err := c.client.Do(request)
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
