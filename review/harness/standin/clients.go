package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// outcome is what a client has seen of a request.
type outcome struct {
	id, entry string
	status    int
	signed    bool
	body      []byte
	// err is set if there was no complete answer.
	err error
	// wroteAt is when the last byte of the request was sent.
	wroteAt time.Time
}

// newClient returns a client that opens a new channel for each request.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
}

// send sends a request to an entry and reads the whole answer.
func (w *world) send(ctx context.Context, c *http.Client, entry *process, method, path, id string, budget time.Duration) outcome {
	o := outcome{id: id, entry: entry.name}
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("b", 600)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry.address+path, strings.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	r.Host = routeHost
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Key", apiKey)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	var wroteAt atomic.Pointer[time.Time]
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		now := time.Now()
		wroteAt.Store(&now)
	}}))
	w.record.write("client sends %s %s %s to %s", method, path, id, entry.name)
	response, err := c.Do(r)
	if at := wroteAt.Load(); at != nil {
		o.wroteAt = *at
	}
	if err != nil {
		o.err = err
		w.record.write("client of %s gets no answer: %v", id, err)
		return o
	}
	defer response.Body.Close()
	o.status = response.StatusCode
	o.signed = response.Header.Get("X-Response-Signature") == "signed "+id
	o.body, o.err = io.ReadAll(response.Body)
	w.record.write("client of %s gets %d (signed: %v, length stated: %d) with %d bytes, error %v", id, o.status, o.signed, response.ContentLength, len(o.body), o.err)
	return o
}

// attemptID returns the ID of a client attempt.
func attemptID(n int) string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(n)) }
