package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the wait for a connection to a server. Servers are at
	// most a few milliseconds away; one that is gone does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout closes connections whose server states no keep-alive time.
	defaultIdleTimeout = 8 * time.Second
	// keepAliveFraction is the part of a server's keep-alive time after which a
	// connection is not used again, so that a request does not cross its close.
	keepAliveFraction = 0.7
	// readBufferSize holds one answer's header and most events.
	readBufferSize = 4 << 10
	// maxInlineBody is the size up to which a request is written in one piece. A
	// longer body is written beside the wait for the answer, because a server
	// may answer before it has read the whole body.
	maxInlineBody = 16 << 10
	// partialReadTimeout bounds the wait for the rest of a piece of which the begin has arrived.
	partialReadTimeout = time.Second
	// maxStrayResponses is how many answers to other requests are passed over
	// before the request's own one.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of an answer that is passed over.
	maxStrayBytes = 1 << 20
)

// connection is one connection to a server. It carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// expires is when an idle connection is no longer used.
	expires time.Time
}

// pool keeps idle connections by address.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*connection
	dial func(ctx context.Context, address string) (net.Conn, error)
}

func newPool() *pool {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &pool{
		idle: map[string][]*connection{},
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		},
	}
}

// get returns an idle connection or opens one.
func (p *pool) get(ctx context.Context, address string) (*connection, error) {
	for c := p.takeIdle(address); c != nil; c = p.takeIdle(address) {
		if time.Now().Before(c.expires) && c.isIdle() {
			return c, nil
		}
		c.Close()
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize)}, nil
}

// takeIdle returns the connection that was used last, so that the others reach their end.
func (p *pool) takeIdle(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *pool) put(address string, c *connection, keep time.Duration) {
	c.expires = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// closeExpired closes idle connections that are no longer used.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// isIdle tells whether an idle connection is open and carries no bytes, which
// would belong to no request.
func (c *connection) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, peeked := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peeked, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// outboundRequest is a request for a server.
type outboundRequest struct {
	method, target, host string
	header               http.Header
	body                 []byte
	// id is what the server's answer must name.
	id string
}

// encode returns the request's header in wire form.
func (o *outboundRequest) encode() []byte {
	buffer := make([]byte, 0, 1024+len(o.body))
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
	// errNotSent means that no byte of the request has left.
	errNotSent = errors.New("request not sent")
	// errNoResponse means that the request was sent and may have run.
	errNoResponse = errors.New("no answer")
)

// exchange is a request that a server has received.
type exchange struct {
	pool    *pool
	address string
	conn    *connection
	request *outboundRequest
	// response and answer are set once the header of the answer has arrived.
	response *http.Response
	info     Answer
	// unexpectedData is set when the connection carried something unexpected.
	unexpectedData bool
	// stopCancel ends the watch for the end of the caller's context.
	stopCancel func() bool
	writeDone  chan error
}

// open connects to a server and writes a request. The error wraps errNotSent
// when no byte has left, otherwise errNoResponse. When ctx ends the connection is
// closed at once.
func (p *pool) open(ctx context.Context, address string, o *outboundRequest) (*exchange, error) {
	conn, err := p.get(ctx, address)
	if err != nil {
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	x := &exchange{pool: p, address: address, conn: conn, request: o}
	x.stopCancel = context.AfterFunc(ctx, func() { conn.Close() })
	if err := conn.SetDeadline(time.Time{}); err != nil {
		x.close()
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	if err := x.write(o); err != nil {
		x.close()
		return nil, errors.Wrap(errNoResponse, err.Error())
	}
	return x, nil
}

// send opens an exchange and reads the header of the answer. After an error the
// connection is closed.
func (p *pool) send(ctx context.Context, wire Wire, address string, o *outboundRequest) (*exchange, error) {
	x, err := p.open(ctx, address, o)
	if err != nil {
		return nil, err
	}
	if err := x.readResponse(wire); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

// readResponse reads the header of the answer. Answers to other requests may come
// before it and are passed over.
func (x *exchange) readResponse(wire Wire) error {
	request := &http.Request{Method: x.request.method}
	for range maxStrayResponses + 1 {
		if err := x.readFinalHeader(wire, request); err != nil {
			return errors.Wrap(errNoResponse, err.Error())
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

func (x *exchange) write(o *outboundRequest) error {
	head := o.encode()
	if len(o.body) <= maxInlineBody {
		_, err := x.conn.Write(append(head, o.body...))
		return err
	}
	x.writeDone = make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, o.body}
		_, err := buffers.WriteTo(x.conn.Conn)
		x.writeDone <- err
	}()
	return nil
}

// readFinalHeader reads the header of a final answer.
func (x *exchange) readFinalHeader(wire Wire, request *http.Request) error {
	for {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			x.response, x.info = response, wire.Answer(response.Header)
			return nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return errors.New("server switched protocols")
		}
	}
}

// awaitData waits until the server has sent something. It looks below the answer's
// body, because a body that met a deadline cannot be read any more.
func (x *exchange) awaitData(limit time.Duration) error {
	if x.conn.reader.Buffered() > 0 || x.hasNoBody() {
		return nil
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := x.conn.reader.Peek(1)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return x.conn.SetReadDeadline(time.Now().Add(partialReadTimeout))
}

// hasNoBody tells whether the answer has no body, so that nothing is to be waited for.
func (x *exchange) hasNoBody() bool { return x.response != nil && x.response.ContentLength == 0 }

// release returns the connection to the pool after the whole body was read, if
// it may carry another request.
func (x *exchange) release() {
	if !x.stopCancel() {
		return
	}
	reusable := !x.unexpectedData && !x.response.Close && x.conn.reader.Buffered() == 0 && x.hasFramedBody() && x.requestWritten()
	if !reusable {
		x.conn.Close()
		return
	}
	x.pool.put(x.address, x.conn, keepAliveTimeout(x.response.Header))
}

// hasFramedBody tells whether the end of the body was stated, not shown by a close.
func (x *exchange) hasFramedBody() bool {
	return x.response.ContentLength >= 0 || len(x.response.TransferEncoding) > 0
}

// requestWritten tells whether the whole request has been written.
func (x *exchange) requestWritten() bool {
	if x.writeDone == nil {
		return true
	}
	select {
	case err := <-x.writeDone:
		return err == nil
	default:
		return false
	}
}

// close closes the connection, which makes the server stop its work.
func (x *exchange) close() {
	x.stopCancel()
	x.conn.Close()
}

// keepAliveTimeout returns how long a connection is used after an answer.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(float64(seconds) * keepAliveFraction * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// hopByHopHeaders concern one connection only and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeader returns a copy of a header without what concerns one connection only.
func endToEndHeader(h http.Header) http.Header {
	passed := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		passed.Del(name)
	}
	return passed
}
