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
	// idleLimit closes connections whose server states no keep-alive time.
	idleLimit = 8 * time.Second
	// keepAliveMargin is the part of a server's keep-alive time after which a
	// connection is not used again, so that a request does not cross its close.
	keepAliveMargin = 0.7
	// readBuffer holds one answer's header and most events.
	readBuffer = 4 << 10
	// inlineBody is the size up to which a request is written in one piece. A
	// longer body is written beside the wait for the answer, because a server
	// may answer before it has read the whole body.
	inlineBody = 16 << 10
	// bodyLimit bounds the wait for the rest of a piece of which the begin has arrived.
	bodyLimit = time.Second
	// maxForeignAnswers is how many answers to other requests are passed over
	// before the request's own one.
	maxForeignAnswers = 2
	// maxForeignBytes bounds the body of an answer that is passed over.
	maxForeignBytes = 1 << 20
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
		if time.Now().Before(c.expires) && c.isQuiet() {
			return c, nil
		}
		c.Close()
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
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

// expire closes idle connections that are no longer used.
func (p *pool) expire(now time.Time) {
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

// isQuiet tells whether an idle connection is open and carries no bytes, which
// would belong to no request.
func (c *connection) isQuiet() bool {
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

// outbound is a request for a server.
type outbound struct {
	method, target, host string
	header               http.Header
	body                 []byte
	// id is what the server's answer must name.
	id string
}

// encode returns the request's header in wire form.
func (o *outbound) encode() []byte {
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
	// errNoAnswer means that the request was sent and may have run.
	errNoAnswer = errors.New("no answer")
)

// exchange is a request that a server has received.
type exchange struct {
	pool    *pool
	address string
	conn    *connection
	request *outbound
	// response and answer are set once the header of the answer has arrived.
	response *http.Response
	answer   ResponseInfo
	// odd is set when the connection carried something unexpected.
	odd bool
	// stopWatch ends the watch for the end of the caller's context.
	stopWatch func() bool
	writing   chan error
}

// open connects to a server and writes a request. The error wraps errNotSent
// when no byte has left, otherwise errNoAnswer. When ctx ends the connection is
// closed at once.
func (p *pool) open(ctx context.Context, address string, o *outbound) (*exchange, error) {
	conn, err := p.get(ctx, address)
	if err != nil {
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	x := &exchange{pool: p, address: address, conn: conn, request: o}
	x.stopWatch = context.AfterFunc(ctx, func() { conn.Close() })
	if err := conn.SetDeadline(time.Time{}); err != nil {
		x.abandon()
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	if err := x.write(o); err != nil {
		x.abandon()
		return nil, errors.Wrap(errNoAnswer, err.Error())
	}
	return x, nil
}

// send opens an exchange and reads the header of the answer. After an error the
// connection is closed.
func (p *pool) send(ctx context.Context, wire HeaderCodec, address string, o *outbound) (*exchange, error) {
	x, err := p.open(ctx, address, o)
	if err != nil {
		return nil, err
	}
	if err := x.header(wire); err != nil {
		x.abandon()
		return nil, err
	}
	return x, nil
}

// header reads the header of the answer. Answers to other requests may come
// before it and are passed over.
func (x *exchange) header(wire HeaderCodec) error {
	request := &http.Request{Method: x.request.method}
	for range maxForeignAnswers + 1 {
		if err := x.readHeader(wire, request); err != nil {
			return errors.Wrap(errNoAnswer, err.Error())
		}
		if x.answer.ID == x.request.id {
			return nil
		}
		x.odd = true
		if _, err := io.CopyN(io.Discard, x.response.Body, maxForeignBytes); !errors.Is(err, io.EOF) {
			return errors.Wrap(errNoAnswer, "answer to another request")
		}
	}
	return errors.Wrap(errNoAnswer, "answers to other requests")
}

func (x *exchange) write(o *outbound) error {
	head := o.encode()
	if len(o.body) <= inlineBody {
		_, err := x.conn.Write(append(head, o.body...))
		return err
	}
	x.writing = make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, o.body}
		_, err := buffers.WriteTo(x.conn.Conn)
		x.writing <- err
	}()
	return nil
}

// readHeader reads the header of a final answer.
func (x *exchange) readHeader(wire HeaderCodec, request *http.Request) error {
	for {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			x.response, x.answer = response, wire.ParseResponse(response.Header)
			return nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return errors.New("server switched protocols")
		}
	}
}

// await waits until the server has sent something. It looks below the answer's
// body, because a body that met a deadline cannot be read any more.
func (x *exchange) await(limit time.Duration) error {
	if x.conn.reader.Buffered() > 0 || x.ended() {
		return nil
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := x.conn.reader.Peek(1)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return x.conn.SetReadDeadline(time.Now().Add(bodyLimit))
}

// ended tells whether the answer has no body, so that nothing is to be waited for.
func (x *exchange) ended() bool { return x.response != nil && x.response.ContentLength == 0 }

// finish returns the connection to the pool after the whole body was read, if
// it may carry another request.
func (x *exchange) finish() {
	if !x.stopWatch() {
		return
	}
	reusable := !x.odd && !x.response.Close && x.conn.reader.Buffered() == 0 && x.framed() && x.written()
	if !reusable {
		x.conn.Close()
		return
	}
	x.pool.put(x.address, x.conn, keepAlive(x.response.Header))
}

// framed tells whether the end of the body was stated, not shown by a close.
func (x *exchange) framed() bool {
	return x.response.ContentLength >= 0 || len(x.response.TransferEncoding) > 0
}

// written tells whether the whole request has been written.
func (x *exchange) written() bool {
	if x.writing == nil {
		return true
	}
	select {
	case err := <-x.writing:
		return err == nil
	default:
		return false
	}
}

// abandon closes the connection, which makes the server stop its work.
func (x *exchange) abandon() {
	x.stopWatch()
	x.conn.Close()
}

// keepAlive returns how long a connection is used after an answer.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(float64(seconds) * keepAliveMargin * float64(time.Second))
		}
	}
	return idleLimit
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// passedHeader returns a copy of a header without what concerns one connection only.
func passedHeader(h http.Header) http.Header {
	passed := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}
