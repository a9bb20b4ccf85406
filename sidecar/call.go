package sidecar

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/answerend"
	"github.com/sapphirefield/sapphirefield/answerhead"
	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// responseChunkBytes is the maximum size of one response body frame.
	responseChunkBytes = 32 << 10
	// maxResponseBytes limits the body of a response, which the entry keeps until it is
	// complete. A broken server may send bytes without end.
	maxResponseBytes = 64 << 20
	// defaultCallTimeout applies to a plain call whose entry sends no timeout.
	defaultCallTimeout = 30 * time.Second
)

// call is one plain request and its response.
type call struct {
	key          attempt.Key
	entry        string
	head         *wire.Call
	body         []byte
	nextSequence uint64
	// started is set before the request is sent to the backend server, and startedAt is
	// when.
	started   bool
	startedAt time.Time
	// bodyComplete is set once the last part of the request body has arrived.
	bodyComplete bool
	retained     retainedResponse
	// withdrawn is set once the entry no longer needs the response.
	withdrawn bool
	ctx       context.Context
	cancel    context.CancelFunc
}

// The handle methods below must be called with the lock held.

func (s *Server) handleCall(entry string, head *wire.Call) {
	key := attempt.Key{Request: head.Request, Number: head.Attempt}
	if s.isEngine() {
		s.refuse(entry, key, wire.RefusalReason_REFUSAL_WRONG_RANGE)
		return
	}
	if len(s.calls) >= maxOpenAttempts {
		s.refuse(entry, key, wire.RefusalReason_REFUSAL_OVERLOADED)
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
	if s.refuseForServer(entry, key, time.Now()) {
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
		s.startTask(func() { s.runCall(c) })
	}
}

func (s *Server) handleCallBody(entry string, part *wire.CallBody, now time.Time) {
	key := attempt.Key{Request: part.Request, Number: part.Attempt}
	c := s.calls[key]
	if c == nil || c.entry != entry || c.bodyComplete || part.Sequence != c.nextSequence {
		return
	}
	c.nextSequence++
	c.body = append(c.body, part.Data...)
	if len(c.body) > s.opts.MaxBodyBytes {
		s.endCall(c, attempt.ExecutedNo, now)
		s.refuse(c.entry, key, wire.RefusalReason_REFUSAL_OVERLOADED)
		return
	}
	if part.Last {
		c.bodyComplete = true
		s.startTask(func() { s.runCall(c) })
	}
}

// endCall ends a call. Its response is retained unless the call did not run or
// was withdrawn. It must be called with the lock held.
func (s *Server) endCall(c *call, executed attempt.Executed, now time.Time) {
	c.cancel()
	delete(s.calls, c.key)
	if executed == attempt.ExecutedNo {
		s.ledger.MarkNotExecuted(c.key, now)
	} else {
		s.ledger.Finish(c.key, now)
	}
	if executed == attempt.ExecutedNo || c.withdrawn {
		s.dropResponse(&c.retained)
	} else {
		s.retainCall(c, now)
	}
	s.checkDrained()
}

// endExpiredUploads ends calls whose body did not arrive within their timeout.
func (s *Server) endExpiredUploads(now time.Time) {
	for _, c := range s.calls {
		if !c.started && c.ctx.Err() != nil {
			s.endCall(c, attempt.ExecutedNo, now)
		}
	}
}

// runCall sends the request to the backend server, at most once, and relays the
// response to the entry.
func (s *Server) runCall(c *call) {
	if !s.startCall(c) {
		return
	}
	resp, err := s.sendCall(c)
	if err != nil {
		s.failCall(c, executedAfterError(err), err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if err := s.relayResponse(c, resp); err != nil {
		// The backend server started to respond, so the call was executed.
		s.failCall(c, attempt.ExecutedYes, err)
	}
}

// startCall marks a call as running. It returns false if the call ended or was
// withdrawn before it could run.
func (s *Server) startCall(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[c.key] == c && s.ledger.Begin(c.key) {
		c.started, c.startedAt = true, time.Now()
		return true
	}
	c.cancel()
	delete(s.calls, c.key)
	s.checkDrained()
	return false
}

// sendCall sends the request on a new connection. On a reused connection that
// turns out to be closed, net/http retries the request, even a POST with an
// Idempotency-Key, and could run it twice. For the same reason the body is a
// plain reader, which net/http cannot rewind.
func (s *Server) sendCall(c *call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(c.ctx, c.head.Method, s.opts.Backend+c.head.Path, requestBody(c))
	if err != nil {
		return nil, &notSentError{err}
	}
	req.ContentLength = int64(len(c.body))
	req.Close = true
	for _, h := range c.head.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	sentAt := time.Now()
	resp, err := answerhead.Do(s.callTransport.RoundTrip, req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.observeResponse(resp, sentAt)
	return resp, nil
}

func requestBody(c *call) io.Reader {
	if len(c.body) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(c.body))
}

// notSentError is a failure before anything was sent to the backend server.
type notSentError struct{ error }

// executedAfterError returns whether a call was executed, given the error of its
// exchange. Only a failure before or while connecting proves that it was not.
func executedAfterError(err error) attempt.Executed {
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
	reason := s.failureReason(s.background, c.startedAt, cause, cause.Error())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendResponseLocked(c, failedFrame(c.key, executed, reason))
	s.endCall(c, executed, time.Now())
	if c.withdrawn && executed != attempt.ExecutedNo {
		s.startTask(func() { s.reportEndUnderWithdrawn(c) })
	}
}

var errUndelimitedResponse = errors.New("answer of the backend server has neither a length nor chunks, so that it cannot be known to be whole")

// endOf returns how the body of a response ends if it is read without an error.
func endOf(resp *http.Response) answerend.End {
	return answerend.InOrder(resp.ContentLength, len(resp.TransferEncoding) > 0, resp.Request.Method != http.MethodHead)
}

var errResponseTooLarge = errors.New("answer of the backend server is too large")

// checkDelimited rejects a response that is delimited only by the end of the
// connection, because a truncated one could not be detected.
func checkDelimited(resp *http.Response) error {
	if endOf(resp).NeedsEvidence() {
		return errUndelimitedResponse
	}
	return nil
}

// relayResponse sends a response to the entry in chunks, followed by the length
// and the digest of the body.
func (s *Server) relayResponse(c *call, resp *http.Response) error {
	if err := checkDelimited(resp); err != nil {
		return err
	}
	s.sendResponse(c, &wire.WorkDown{Body: &wire.WorkDown_CallHead{CallHead: &wire.CallHead{
		Request: c.key.Request, Attempt: c.key.Number, Status: int32(resp.StatusCode), Headers: responseHeaders(resp.Header),
	}}})
	digest := xxhash.New()
	var sequence, length uint64
	buffer := make([]byte, responseChunkBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			_, _ = digest.Write(buffer[:n])
			length += uint64(n)
			if length > maxResponseBytes {
				return errResponseTooLarge
			}
			if err := s.waitForEntry(c); err != nil {
				return err
			}
			s.sendResponse(c, &wire.WorkDown{Body: &wire.WorkDown_CallBody{CallBody: &wire.CallBody{
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
	s.finishCall(c, length, digest.Sum64())
	return nil
}

func (s *Server) finishCall(c *call, length, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendResponseLocked(c, &wire.WorkDown{Body: &wire.WorkDown_CallEnd{CallEnd: &wire.CallEnd{
		Request: c.key.Request, Attempt: c.key.Number, Length: length, Digest: digest,
	}}})
	s.endCall(c, attempt.ExecutedYes, time.Now())
}

// maxQueuedResponseFrames is the number of frames queued for an entry at which
// reading a response from the backend server pauses. It limits the memory used
// when the link to the entry is slow.
const maxQueuedResponseFrames = 256

// waitForEntry applies back-pressure: it blocks while too many frames are
// queued for the call's entry.
func (s *Server) waitForEntry(c *call) error {
	s.mu.Lock()
	var queue *link.Queue[*wire.WorkDown]
	if e := s.entries[c.entry]; e != nil {
		queue = e.queue
	}
	s.mu.Unlock()
	if queue == nil {
		return nil
	}
	return queue.WaitBelow(c.ctx, maxQueuedResponseFrames)
}

func (s *Server) sendResponse(c *call, frame *wire.WorkDown) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendResponseLocked(c, frame)
}

func responseHeaders(header http.Header) []*wire.Header {
	var headers []*wire.Header
	for _, name := range slices.Sorted(maps.Keys(header)) {
		for _, value := range header[name] {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}
