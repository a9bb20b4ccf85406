// Package transfer performs HTTP calls whose responses may be large and whose links may
// be slow. A limit on the whole time of such a call would have to know the size of the
// response and the rate of the link: a response that has outgrown it would never arrive,
// however often the call is repeated. The limits of this package are on the wait for the
// response and on its progress.
package transfer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/answerhead"
)

// minProgress is the number of bytes of a body that must arrive in each stall time. A
// server that sends a byte now and then would otherwise hold a call for good.
const minProgress = 4 << 10

// Limits bound a call.
type Limits struct {
	// HeaderTime bounds the wait for the header of the response.
	HeaderTime time.Duration
	// StallTime bounds the time without progress of the body.
	StallTime time.Duration
	// MaxBytes bounds the size of the body.
	MaxBytes int64
	// Interrupt ends the call when it is closed, unless the response has begun to arrive.
	Interrupt <-chan struct{}
}

// Errors of a call.
var (
	// ErrNoResponse means that no header arrived in time.
	ErrNoResponse = errors.New("no response in time")
	// ErrStalled means that the body stopped arriving.
	ErrStalled = errors.New("response stalled")
	// ErrTooLarge means that the body is larger than allowed.
	ErrTooLarge = errors.New("response body is too large")
	// ErrInterrupted means that the call was interrupted before the response began.
	ErrInterrupted = errors.New("call interrupted")
)

// Response is a response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request once and reads the response.
func Do(client *http.Client, request *http.Request, l Limits) (Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	began := time.Now()
	watchdog := time.AfterFunc(l.HeaderTime, func() { cancel(ErrNoResponse) })
	defer watchdog.Stop()
	begun := make(chan struct{})
	if l.Interrupt != nil {
		go func() {
			select {
			case <-l.Interrupt:
				cancel(ErrInterrupted)
			case <-begun:
			}
		}()
	}
	response, err := answerhead.Do(client.Do, request.WithContext(ctx))
	close(begun)
	if err != nil {
		return Response{}, cause(ctx, err)
	}
	defer response.Body.Close()
	// The watchdog may be about to fire for the header; the body has its own time.
	watchdog.Stop()
	stalled := time.AfterFunc(l.StallTime, func() { cancel(ErrStalled) })
	defer stalled.Stop()
	body, err := readBody(response, l.MaxBytes, func() { stalled.Reset(l.StallTime) })
	if err != nil {
		return Response{}, errors.Wrapf(cause(ctx, err), "response broke off %d ms after the call, with %d bytes of its body",
			time.Since(began).Milliseconds(), len(body))
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// cause returns the reason why this package has ended a call, or the call's own error.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil && ctx.Err() != nil {
		return reason
	}
	return err
}

// readBody reads a body and reports progress each time that enough of it has arrived.
// After an error it returns what it has read.
func readBody(response *http.Response, maxBytes int64, progress func()) ([]byte, error) {
	var body bytes.Buffer
	if n := response.ContentLength; n > 0 && n <= maxBytes {
		body.Grow(int(n) + bytes.MinRead)
	}
	limited := io.LimitReader(response.Body, maxBytes+1)
	for {
		_, err := io.CopyN(&body, limited, minProgress)
		switch {
		case int64(body.Len()) > maxBytes:
			return body.Bytes(), ErrTooLarge
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return body.Bytes(), err
		}
		progress()
	}
}
