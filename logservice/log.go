// Package logservice holds the clients of the platform's log service and of its
// instance list.
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
)

const (
	// callTimeout bounds a call beyond the time that a read waits for records.
	callTimeout = 10 * time.Second
	// maxAnswerBytes bounds one answer. Checkpoints take about 2 MB at the target size.
	maxAnswerBytes = 256 << 20
	// maxErrorBytes bounds how much of a refusal's body is read.
	maxErrorBytes = 4 << 10
)

// ErrUnavailable means that the call certainly had no effect and may be repeated later.
var ErrUnavailable = errors.New("platform unavailable")

// ErrUnknownOutcome means that an append may or may not have taken effect.
var ErrUnknownOutcome = errors.New("outcome unknown")

// ErrRejected means that the service refused the call; repeating it does not help.
var ErrRejected = errors.New("call rejected")

// ExpiredError means that the records at the wanted offset have expired.
type ExpiredError struct {
	// FirstOffset is the lowest readable offset, or 0 when the service did not say.
	FirstOffset int64
}

// Error names the lowest readable offset.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records have expired; the first readable offset is %d", e.FirstOffset)
}

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	// FirstOffset is the lowest readable offset.
	FirstOffset int64    `json:"first"`
	NextOffset  int64    `json:"next"`
	Records     []Record `json:"records"`
}

// Log is a client of the log service.
type Log struct {
	base   string
	client *http.Client
}

// NewLog returns a client of the log service at a base URL.
func NewLog(base string, client *http.Client) *Log {
	return &Log{base: strings.TrimSuffix(base, "/"), client: client}
}

func (l *Log) url(stream string) string {
	return l.base + "/streams/" + url.PathEscape(stream) + "/records"
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(ErrRejected, err.Error())
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := l.client.Do(request)
	switch {
	case err != nil && !connected:
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	case err != nil:
		return 0, errors.Wrap(ErrUnknownOutcome, err.Error())
	}
	defer response.Body.Close()
	return appendAnswer(response)
}

func appendAnswer(response *http.Response) (int64, error) {
	switch status := response.StatusCode; {
	case status == http.StatusTooManyRequests:
		return 0, errors.Wrap(ErrUnavailable, refusal(response))
	case status >= 500:
		// A gateway in front of the service may answer 5xx for an append that took effect.
		return 0, errors.Wrap(ErrUnknownOutcome, refusal(response))
	case status >= 300:
		return 0, errors.Wrap(ErrRejected, refusal(response))
	}
	var answer struct {
		Offset *int64 `json:"offset"`
	}
	err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&answer)
	if err != nil || answer.Offset == nil {
		return 0, errors.Wrap(ErrUnknownOutcome, "the answer has no offset")
	}
	return *answer.Offset, nil
}

func refusal(response *http.Response) string {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return fmt.Sprintf("status %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
}

// Read returns records from an offset on. When there are none it waits up to
// wait for one. The error is an *ExpiredError, or wraps ErrUnavailable or
// ErrRejected.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	query := url.Values{"from": {strconv.FormatInt(from, 10)}, "wait": {wait.String()}}
	var batch Batch
	err := getJSON(ctx, l.client, l.url(stream)+"?"+query.Encode(), wait, &batch)
	return batch, err
}

// getJSON performs a GET, which has no effect and is never of unknown outcome.
func getJSON(ctx context.Context, client *http.Client, target string, wait time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.Wrap(ErrRejected, err.Error())
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	switch status := response.StatusCode; {
	case status == http.StatusGone:
		return expired(response)
	case status == http.StatusTooManyRequests || status >= 500:
		return errors.Wrap(ErrUnavailable, refusal(response))
	case status >= 300:
		return errors.Wrap(ErrRejected, refusal(response))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(into); err != nil {
		return errors.Wrap(ErrUnavailable, "answer: "+err.Error())
	}
	return nil
}

func expired(response *http.Response) error {
	var answer struct {
		First int64 `json:"first"`
	}
	// A body without the offset leaves First at 0, which means that it is not known.
	_ = json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&answer)
	return &ExpiredError{FirstOffset: answer.First}
}
