// Package logservice provides clients of the platform's log service and instance list.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/answerhead"
	"github.com/sapphirefield/sapphirefield/transfer"
)

const (
	// callTimeout limits an append, the wait for the response to a read, in addition to the
	// time that it waits for records, and the time without progress of that response.
	callTimeout = 10 * time.Second
	// maxResponseBytes limits the body of a response. Checkpoints take about 2 MB at
	// the target size.
	maxResponseBytes = 256 << 20
	// maxErrorBytes limits how much of a short response, such as an error, is read.
	maxErrorBytes = 4 << 10
)

// ErrUnavailable means that the call had no effect and can be retried later.
var ErrUnavailable = errors.New("platform unavailable")

// ErrUnknownOutcome means that an append may or may not have taken effect.
var ErrUnknownOutcome = errors.New("outcome unknown")

// ErrRejected means that the service rejected the call and a retry would fail too.
var ErrRejected = errors.New("call rejected")

// ExpiredError means that the records at the requested offset have expired.
type ExpiredError struct {
	// FirstOffset is the lowest readable offset, or 0 if the service did not state it.
	FirstOffset int64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records have expired; the first readable offset is %d", e.FirstOffset)
}

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	// FirstOffset is the lowest readable offset.
	FirstOffset int64 `json:"first"`
	// NextOffset is the offset to read from next.
	NextOffset int64    `json:"next"`
	Records    []Record `json:"records"`
}

// Log is a client of the log service.
type Log struct {
	baseURL string
	client  *http.Client
}

// NewLog returns a client of the log service at the base URL.
func NewLog(base string, client *http.Client) *Log {
	return &Log{baseURL: strings.TrimSuffix(base, "/"), client: client}
}

func (l *Log) recordsURL(stream string) string {
	return l.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
}

// Append adds a record and returns its offset. The error is, or wraps,
// ErrUnavailable, ErrUnknownOutcome or ErrRejected.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.recordsURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(ErrRejected, err.Error())
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := answerhead.Do(l.client.Do, request)
	switch {
	case err != nil && !connected:
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	case err != nil:
		return 0, errors.Wrap(ErrUnknownOutcome, err.Error())
	}
	defer response.Body.Close()
	return parseAppendResponse(response)
}

func parseAppendResponse(response *http.Response) (int64, error) {
	switch status := response.StatusCode; {
	case status == http.StatusTooManyRequests:
		return 0, errors.Wrap(ErrUnavailable, responseError(response))
	case status >= 500:
		// A gateway in front of the service may answer 5xx for an append that took effect.
		return 0, errors.Wrap(ErrUnknownOutcome, responseError(response))
	case status >= 300:
		return 0, errors.Wrap(ErrRejected, responseError(response))
	}
	var body struct {
		Offset *int64 `json:"offset"`
	}
	err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body)
	if err != nil || body.Offset == nil {
		return 0, errors.Wrap(ErrUnknownOutcome, "the answer has no offset")
	}
	return *body.Offset, nil
}

func responseError(response *http.Response) string {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return statusError(response.StatusCode, body)
}

func statusError(status int, body []byte) string {
	return fmt.Sprintf("status %d: %s", status, strings.TrimSpace(string(body[:min(len(body), maxErrorBytes)])))
}

// Read returns records from an offset on. If there are none, it waits up to wait
// for one. The error is an *ExpiredError, or wraps ErrUnavailable or ErrRejected.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	query := url.Values{"from": {strconv.FormatInt(from, 10)}, "wait": {wait.String()}}
	var batch Batch
	err := getJSON(ctx, l.client, l.recordsURL(stream)+"?"+query.Encode(), wait, &batch)
	return batch, err
}

// getJSON performs a GET and decodes its response.
func getJSON(ctx context.Context, client *http.Client, target string, wait time.Duration, result any) error {
	body, err := get(ctx, client, target, wait)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return errors.Wrap(ErrUnavailable, "answer: "+err.Error())
	}
	return nil
}

// get performs a GET. A GET has no side effects, so the outcome is never unknown.
func get(ctx context.Context, client *http.Client, target string, wait time.Duration) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(ErrRejected, err.Error())
	}
	response, err := transfer.Do(client, request, transfer.Limits{
		HeaderTime: wait + callTimeout, StallTime: callTimeout, MaxBytes: maxResponseBytes,
	})
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	switch status := response.Status; {
	case status == http.StatusGone:
		return nil, expiredError(response.Body)
	case status == http.StatusTooManyRequests || status >= 500:
		return nil, errors.Wrap(ErrUnavailable, statusError(status, response.Body))
	case status >= 300:
		return nil, errors.Wrap(ErrRejected, statusError(status, response.Body))
	}
	return response.Body, nil
}

func expiredError(text []byte) error {
	var body struct {
		First int64 `json:"first"`
	}
	// Without the offset in the body, First stays 0 for unknown.
	_ = json.Unmarshal(text, &body)
	return &ExpiredError{FirstOffset: body.First}
}
