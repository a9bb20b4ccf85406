package sidecar

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// chunkBytes is the size of one part of an answer's body.
	chunkBytes = 32 << 10
	// defaultCallTimeout bounds a plain call whose entry names no timeout.
	defaultCallTimeout = 30 * time.Second
)

// call is one plain request in progress.
type call struct {
	key    attempt.Key
	entry  string
	head   *wire.Call
	body   []byte
	next   uint64
	ctx    context.Context
	cancel context.CancelFunc
}

// The handle methods must be called with the lock held.

func (s *Server) handleCall(entry string, head *wire.Call) {
	key := attempt.Key{Request: head.Request, Number: head.Attempt}
	if s.isEngine() {
		s.refuse(entry, key, wire.RefusalReason_REFUSAL_WRONG_RANGE)
		return
	}
	refusal := s.ledger.Open(key, head.Incarnation)
	if refusal == attempt.RefusalDuplicate {
		return
	}
	if refusal != attempt.RefusalNone {
		s.refuse(entry, key, wireRefusal(refusal))
		return
	}
	timeout := time.Duration(head.TimeoutMs) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	c := &call{key: key, entry: entry, head: head}
	c.ctx, c.cancel = context.WithTimeout(s.background, timeout)
	s.calls[key] = c
	if !head.HasBody {
		s.start(func() { s.runCall(c) })
	}
}

func (s *Server) handleCallBody(part *wire.CallBody) {
	key := attempt.Key{Request: part.Request, Number: part.Attempt}
	c := s.calls[key]
	if c == nil || part.Sequence != c.next {
		return
	}
	c.next++
	c.body = append(c.body, part.Data...)
	if len(c.body) > s.opts.MaxBodyBytes {
		s.endCall(c, attempt.ExecutedNo)
		s.refuse(c.entry, key, wire.RefusalReason_REFUSAL_OVERLOADED)
		return
	}
	if part.Last {
		s.start(func() { s.runCall(c) })
	}
}

// endCall frees a call; it must be called with the lock held.
func (s *Server) endCall(c *call, executed attempt.Executed) {
	c.cancel()
	delete(s.calls, c.key)
	if executed == attempt.ExecutedNo {
		s.ledger.Withdraw(c.key, time.Now())
	} else {
		s.ledger.Finish(c.key, time.Now())
	}
	s.checkIdle()
}

// runCall hands a call to the backend server once, and its answer to the entry.
func (s *Server) runCall(c *call) {
	if !s.beginCall(c) {
		return
	}
	resp, err := s.sendCall(c)
	if err != nil {
		s.failCall(c, executedAfter(err), err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if err := s.relayAnswer(c, resp); err != nil {
		// The backend server began to answer, so the call did run.
		s.failCall(c, attempt.ExecutedYes, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endCall(c, attempt.ExecutedYes)
}

// beginCall returns false when the call was withdrawn before it could run.
func (s *Server) beginCall(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Begin(c.key) {
		return true
	}
	c.cancel()
	delete(s.calls, c.key)
	s.checkIdle()
	return false
}

// sendCall uses a fresh connection for each call: the HTTP client repeats a
// request on a second connection when a kept one turns out to be closed, also
// a POST that carries an Idempotency-Key, and that could run it twice.
func (s *Server) sendCall(c *call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(c.ctx, c.head.Method, s.opts.Backend+c.head.Path, bytes.NewReader(c.body))
	if err != nil {
		return nil, &notSentError{err}
	}
	req.Close = true
	for _, h := range c.head.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	resp, err := s.client.Transport.RoundTrip(req)
	return resp, errors.WithStack(err)
}

// notSentError marks a failure before anything reached the backend server.
type notSentError struct{ error }

// executedAfter tells what is certain after a failed exchange: only a failure
// to connect proves that nothing was sent.
func executedAfter(err error) attempt.Executed {
	var notSent *notSentError
	if errors.As(err, &notSent) {
		return attempt.ExecutedNo
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attempt.ExecutedNo
	}
	return attempt.ExecutedUnknown
}

func (s *Server) failCall(c *call, executed attempt.Executed, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endCall(c, executed)
	s.toEntry(c.entry, &wire.WorkDown{Body: &wire.WorkDown_Failed{Failed: &wire.Failed{
		Request: c.key.Request, Attempt: c.key.Number, Executed: wireExecuted(executed), Reason: cause.Error(),
	}}})
}

// relayAnswer passes an answer on in parts, closed by its length and digest.
func (s *Server) relayAnswer(c *call, resp *http.Response) error {
	s.sendDown(c.entry, &wire.WorkDown{Body: &wire.WorkDown_CallHead{CallHead: &wire.CallHead{
		Request: c.key.Request, Attempt: c.key.Number, Status: int32(resp.StatusCode), Headers: answerHeaders(resp.Header),
	}}})
	digest := xxhash.New()
	var sequence, length uint64
	buffer := make([]byte, chunkBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			_, _ = digest.Write(buffer[:n])
			length += uint64(n)
			s.sendDown(c.entry, &wire.WorkDown{Body: &wire.WorkDown_CallBody{CallBody: &wire.CallBody{
				Request: c.key.Request, Attempt: c.key.Number, Sequence: sequence, Data: bytes.Clone(buffer[:n]),
			}}})
			sequence++
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Wrap(err, "answer of the backend server is not whole")
		}
	}
	s.sendDown(c.entry, &wire.WorkDown{Body: &wire.WorkDown_CallEnd{CallEnd: &wire.CallEnd{
		Request: c.key.Request, Attempt: c.key.Number, Length: length, Digest: digest.Sum64(),
	}}})
	return nil
}

func (s *Server) sendDown(entry string, frame *wire.WorkDown) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.toEntry(entry, frame)
}

func answerHeaders(header http.Header) []*wire.Header {
	var headers []*wire.Header
	for name, values := range header {
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}
