package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/answerend"
	"github.com/sapphirefield/sapphirefield/netpeek"
)

const (
	// dialTimeout bounds the wait for a connection to a server. Servers are at most
	// a few milliseconds away; one that is gone does not reply at all.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout applies to connections whose server states no keep-alive
	// time.
	defaultIdleTimeout = 8 * time.Second
	// keepAliveFraction is the fraction of a server's keep-alive time after which
	// an idle connection is not reused, so that the server does not close it while
	// a request is being sent.
	keepAliveFraction = 0.7
	// readBufferSize fits one response header and most events.
	readBufferSize = 4 << 10
	// maxInlineBody is the body size up to which a request is written with a single
	// write. A longer body is written concurrently with the wait for the response,
	// because a server may respond before it has read the whole body.
	maxInlineBody = 16 << 10
	// maxHeaderBytes bounds a response header together with the informational
	// (1xx) responses before it. A broken server may send a header without end.
	maxHeaderBytes = 16 << 10
	// maxInformational bounds the informational responses before a response.
	maxInformational = 8
	// headerTimeout bounds the time in which the bytes of a header keep coming. A broken
	// server may send them one by one.
	headerTimeout = 2 * time.Second
	// maxHeaderGap is what the time between two parts of a header counts at most. A sound
	// server may pause for longer, and the time of its request limits that.
	maxHeaderGap = 100 * time.Millisecond
	// discardTimeout bounds the wait for the rest of a response that nobody
	// needs. It is only read so that its connection can be reused.
	discardTimeout = 50 * time.Millisecond
	// maxStrayResponses is the maximum number of responses to other requests that
	// are skipped before the response to this request.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of a skipped response.
	maxStrayBytes = 1 << 20
	// maxRefused bounds the refused requests that a connection remembers.
	maxRefused = 16
	// maxDiscardedBytes bounds the body of a response that is read only to keep
	// its connection reusable.
	maxDiscardedBytes = 16 << 10
)

// connection is a connection to a server. It carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// expires is when an idle connection may no longer be reused.
	expires time.Time
	// refused are the IDs of requests that were refused over the connection.
	refused []string
	// header limits a header that is being read; nil otherwise.
	header *headerLimit
	// received is the number of bytes received.
	received int64
	// onRead is called when bytes arrive, unless it is nil.
	onRead func()
	// watch is consulted while a read waits for bytes; nil means that reads wait
	// until the connection is closed.
	watch readWatch
}

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// headerLimit is what a server may still send of a response header.
type headerLimit struct {
	bytesLeft int
	// timeLeft is how long bytes may keep coming, not counting pauses.
	timeLeft time.Duration
	// receivedAt is when the last bytes came.
	receivedAt time.Time
}

// readWatch limits how long the reads of a response wait. Its connection calls
// check when the time returned by nextCheck has come, whether or not bytes
// arrive. An error from check ends the read.
type readWatch interface {
	nextCheck() time.Time
	check() error
}

// Errors of a header without end.
var (
	errHeaderTooLarge = errors.New("response header is too large")
	errHeaderTooSlow  = errors.New("response header comes too slowly")
)

// Read reads from the server within the limits in force. The buffered reader of
// the connection reads through it.
func (c *connection) Read(p []byte) (int, error) {
	if c.header != nil {
		if err := c.header.check(); err != nil {
			return 0, err
		}
		p = p[:min(len(p), c.header.bytesLeft)]
	}
	n, err := c.readWatched(p)
	c.received += int64(n)
	if n > 0 && c.onRead != nil {
		c.onRead()
	}
	// A watch limits the time by itself.
	if n > 0 && c.header != nil {
		c.header.count(time.Now(), n, c.watch == nil)
	}
	return n, err
}

func (c *connection) readWatched(p []byte) (int, error) {
	for c.watch != nil {
		if !time.Now().Before(c.watch.nextCheck()) {
			if err := c.watch.check(); err != nil {
				return 0, err
			}
			continue
		}
		if err := c.Conn.SetReadDeadline(c.watch.nextCheck()); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
	return c.Conn.Read(p)
}

// check reports whether more of the header may come.
func (l *headerLimit) check() error {
	switch {
	case l.bytesLeft <= 0:
		return errHeaderTooLarge
	case l.timeLeft <= 0:
		return errHeaderTooSlow
	}
	return nil
}

// count counts received bytes, and the time that they took if that is limited.
func (l *headerLimit) count(now time.Time, n int, timed bool) {
	l.bytesLeft -= n
	if timed && !l.receivedAt.IsZero() {
		l.timeLeft -= min(now.Sub(l.receivedAt), maxHeaderGap)
	}
	l.receivedAt = now
}

// isReusable reports whether a pooled connection is open and has no unread bytes,
// which would belong to no request.
func (c *connection) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := netpeek.Peek(c.Conn)
	return state == netpeek.Quiet || state == netpeek.Unknown
}

// outboundRequest is a request to a server.
type outboundRequest struct {
	method, target, host string
	header               http.Header
	body                 []byte
	// id is the request ID that the server's response must carry.
	id string
}

// usualHeaderBytes is the capacity with which the buffer of a request's header begins.
const usualHeaderBytes = 1 << 10

// hasInlineBody reports whether the body is written together with the header.
func (o *outboundRequest) hasInlineBody() bool { return len(o.body) <= maxInlineBody }

// encode returns the request's header in wire format, with room for an inline body. A longer
// body is not copied: its memory counts once only.
func (o *outboundRequest) encode() []byte {
	capacity := usualHeaderBytes
	if o.hasInlineBody() {
		capacity += len(o.body)
	}
	buffer := make([]byte, 0, capacity)
	buffer = append(buffer, o.method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, o.target...)
	buffer = append(buffer, " HTTP/1.1\r\nHost: "...)
	buffer = append(buffer, o.host...)
	buffer = append(buffer, "\r\n"...)
	for name, values := range o.header {
		for _, value := range values {
			buffer = append(buffer, name...)
			buffer = append(buffer, ": "...)
			buffer = append(buffer, value...)
			buffer = append(buffer, "\r\n"...)
		}
	}
	if len(o.body) > 0 || (o.method != http.MethodGet && o.method != http.MethodHead) {
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(o.body)), 10)
		buffer = append(buffer, "\r\n"...)
	}
	return append(buffer, "\r\n"...)
}

// Errors of an exchange with a server.
var (
	// errNotSent means that no byte of the request was sent.
	errNotSent = errors.New("request not sent")
	// errNoResponse means that the request was sent and may have been executed.
	errNoResponse = errors.New("no answer")
)

// exchangeError is a kind of failure with its cause.
type exchangeError struct{ kind, cause error }

func (e *exchangeError) Error() string { return e.cause.Error() + ": " + e.kind.Error() }

// Unwrap makes errors.Is find both.
func (e *exchangeError) Unwrap() []error { return []error{e.kind, e.cause} }

// exchange is a request sent to a server, and its response.
type exchange struct {
	pool    *pool
	address string
	conn    *connection
	request *outboundRequest
	sentAt  time.Time
	// response and info are set once the response header has arrived.
	response *http.Response
	info     ResponseInfo
	// unexpectedData is set when the connection carried a response to another
	// request.
	unexpectedData bool
	// stopCancel detaches the connection from the client's context.
	stopCancel func() bool
	// written is closed once the write of a long request has ended, with writeErr as its
	// result. It is nil for a request that was written at once.
	written  chan struct{}
	writeErr error
}

// open connects to a server and writes a request. The error wraps errNotSent
// if no byte was sent, and errNoResponse otherwise. When ctx ends, the
// connection is closed immediately.
func (p *pool) open(ctx context.Context, address string, o *outboundRequest) (*exchange, error) {
	conn, err := p.get(ctx, address, o.id)
	if err != nil {
		return nil, &exchangeError{errNotSent, err}
	}
	x := &exchange{pool: p, address: address, conn: conn, request: o, sentAt: time.Now()}
	x.stopCancel = context.AfterFunc(ctx, func() { conn.Close() })
	if err := conn.SetDeadline(time.Time{}); err != nil {
		x.close()
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	if err := x.write(o); err != nil {
		x.close()
		return nil, &exchangeError{errNoResponse, err}
	}
	return x, nil
}

// send opens an exchange and reads the response header. On error the
// connection is closed.
func (p *pool) send(ctx context.Context, codec HeaderCodec, address string, o *outboundRequest) (*exchange, error) {
	x, err := p.open(ctx, address, o)
	if err != nil {
		return nil, err
	}
	if err := x.readResponse(codec); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

// readResponse reads the response header. It skips responses to other requests
// that arrive before it.
func (x *exchange) readResponse(codec HeaderCodec) error {
	request := &http.Request{Method: x.request.method}
	for range maxStrayResponses + 1 {
		if err := x.readFinalHeader(codec, request); err != nil {
			return &exchangeError{errNoResponse, err}
		}
		if x.info.ID == x.request.id {
			return nil
		}
		x.unexpectedData = true
		if _, err := io.CopyN(io.Discard, x.response.Body, maxStrayBytes); !errors.Is(err, io.EOF) {
			return errors.Wrap(errNoResponse, "answer to another request")
		}
	}
	return errors.Wrap(errNoResponse, "answers to other requests")
}

// write writes the request. It does not wait until a long body is written: the server may
// answer before that.
func (x *exchange) write(o *outboundRequest) error {
	header := o.encode()
	if o.hasInlineBody() {
		_, err := x.conn.Write(append(header, o.body...))
		return err
	}
	x.written = make(chan struct{})
	go func() {
		defer close(x.written)
		buffers := net.Buffers{header, o.body}
		_, x.writeErr = buffers.WriteTo(x.conn.Conn)
	}()
	return nil
}

// discard reads the rest of a response that is not needed, so that its
// connection can be reused. It closes the connection if the rest is long or
// does not arrive soon.
func (x *exchange) discard() {
	x.conn.watch = nil
	err := x.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	if err == nil {
		_, err = io.CopyN(io.Discard, x.response.Body, maxDiscardedBytes)
	}
	if !errors.Is(err, io.EOF) {
		x.close()
		return
	}
	x.release()
}

// release returns the connection to the pool, if it may carry another request,
// after the whole body was read.
func (x *exchange) release() {
	if !x.stopCancel() {
		return
	}
	reusable := x.request.id != "" && !x.unexpectedData && !x.response.Close && x.conn.reader.Buffered() == 0 && x.hasFramedBody() && x.isRequestWritten()
	if x.info.NotExecuted {
		x.conn.refused = append(x.conn.refused, x.request.id)
	}
	if !reusable || len(x.conn.refused) > maxRefused {
		x.conn.Close()
		return
	}
	x.conn.watch = nil
	x.pool.put(x.address, x.conn, keepAliveTimeout(x.response.Header))
}

// hasFramedBody reports whether the end of the body is framed rather than
// indicated by closing the connection.
func (x *exchange) hasFramedBody() bool {
	return x.end(io.EOF) != answerend.Closed
}

// isRequestWritten reports whether the whole request has been written without an error.
func (x *exchange) isRequestWritten() bool {
	return x.written == nil || isClosed(x.written) && x.writeErr == nil
}

// awaitRequestWritten is isRequestWritten once the write has ended, or ctx. A server that has
// answered may go on to read the request.
func (x *exchange) awaitRequestWritten(ctx context.Context) bool {
	if x.written != nil {
		select {
		case <-x.written:
		case <-ctx.Done():
		}
	}
	return x.isRequestWritten()
}

// detach ties the connection to another context. It reports false if the connection has
// been closed by the end of the first one.
func (x *exchange) detach(ctx context.Context) bool {
	if !x.stopCancel() {
		return false
	}
	x.stopCancel = context.AfterFunc(ctx, func() { x.conn.Close() })
	return true
}

// close closes the connection, which makes the server stop its work.
func (x *exchange) close() {
	x.stopCancel()
	x.conn.Close()
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeader returns a copy of a header without its hop-by-hop fields.
func endToEndHeader(h http.Header) http.Header {
	result := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		result.Del(name)
	}
	return result
}
