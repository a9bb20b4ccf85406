package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/connlimit"
	"github.com/sapphirefield/sapphirefield/netpeek"
)

// connTracker closes keep-alive connections without aborting a request that is
// arriving. http.Server counts a connection as idle until it has read the whole
// header of the next request, so its own closing of idle connections can abort
// a request that is forwarded a moment later.
type connTracker struct {
	// timeouts returns the current header and idle timeouts; 0 leaves the
	// server's own timeout.
	timeouts func() (header, idle time.Duration)
	clientLimits
	mu      sync.Mutex
	conns   map[*trackedConn]struct{}
	closing bool
}

func newConnTracker(timeouts func() (header, idle time.Duration), limits clientLimits) *connTracker {
	return &connTracker{timeouts: timeouts, clientLimits: limits, conns: map[*trackedConn]struct{}{}}
}

// trackedConn records whether a request is in progress on its connection.
//
// http.Server reads ahead: with the end of a request it may have read the next ones. What
// it holds shows in what it does once a response has ended: it sets the idle timeout, and
// then sets the header timeout if it holds the beginning of a request, or reads if it does not.
type trackedConn struct {
	net.Conn
	tracker *connTracker
	// slot is the connection's place among those that the process keeps.
	slot *connlimit.Conn
	mu   sync.Mutex
	// active is set from the first byte of a request until its response has ended.
	active bool
	// answered is set from the end of a response until it shows whether http.Server
	// holds the next request.
	answered bool
	// idleTimeoutSet is set once http.Server has set the idle timeout after a response.
	idleTimeoutSet bool
	// encrypted is set if TLS reads from the connection, in sizes of its own.
	encrypted bool
	// bufferSize is the size of the first read. http.Server reads a request in smaller
	// parts only if it holds the beginning already.
	bufferSize int
	// pipelined is set once http.Server held a request while it answered the one before.
	pipelined bool
	// closing is set if the connection must be closed as soon as it is idle.
	closing bool
	// used is set once the connection has carried a request.
	used bool
	// expired is set when the connection must not start another request.
	expired bool
	// timed is set while a header or idle timeout limits the reads.
	timed bool
	// multiplexed is set for HTTP/2, whose connections carry frames between requests.
	// http.Server.Shutdown ends them without dropping a request.
	multiplexed bool
	// readsHead is set while http.Server reads the header of a request, which head
	// measures. handshake counts the bytes that TLS has read before the first one.
	readsHead bool
	head      connlimit.Head
	handshake int
	// handled is set once a handler has the request: http.Server answers others itself.
	// hasBody is set if that request has a body.
	handled, hasBody bool
	// refused is set once a client has got its last answer from this type, givenUp once the
	// connection ends for the sake of others, and lingering while only its client is
	// waited for.
	refused, givenUp, lingering bool
}

// NetConn returns the connection that is tracked.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// wrapListener returns a listener whose connections are tracked.
func (t *connTracker) wrapListener(l net.Listener) net.Listener {
	return &trackingListener{l, t, make(chan net.Conn, maxPending)}
}

// trackingListener tracks accepted connections until they are closed.
type trackingListener struct {
	net.Listener
	tracker *connTracker
	// pending are the connections that were waiting when the listener was closed.
	pending chan net.Conn
}

// maxPending bounds the connections that are accepted when a listener is closed.
const maxPending = 1024

// Accept returns the connections that were waiting when the listener was closed
// before it fails.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.tracker.track(conn); ok {
			return c, nil
		}
		l.tracker.refusals.Inc(1)
		_ = conn.Close() // there is nothing to do about a failure
	}
}

func (l *trackingListener) accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case conn = <-l.pending:
		return conn, nil
	default:
		return nil, err
	}
}

// track adds a connection. It returns false if there are too many.
func (t *connTracker) track(conn net.Conn) (*trackedConn, bool) {
	c := &trackedConn{Conn: clientconn.Wrap(conn), tracker: t, readsHead: true}
	slot, ok := t.table.Open(c.giveUp)
	if !ok {
		return nil, false
	}
	c.slot = slot
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	return c, true
}

// Close closes the listener. The kernel resets the connections that it has
// established and the process has not accepted, together with requests that were
// sent on them, so these are accepted first.
func (l *trackingListener) Close() error {
	l.acceptWaiting()
	return l.Listener.Close()
}

func (l *trackingListener) acceptWaiting() {
	raw, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the listener is closed already.
	_ = control.Control(func(fd uintptr) {
		for len(l.pending) < cap(l.pending) {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			if conn, err := fileConn(accepted); err == nil {
				l.pending <- conn
			}
		}
	})
}

// fileConn returns the connection of a socket, which it closes.
func fileConn(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	return net.FileConn(file)
}

// connState is the ConnState hook of the http.Server.
func (t *connTracker) connState(conn net.Conn, state http.ConnState) {
	c, ok := trackedConnOf(conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.setEncrypted(conn)
	case http.StateActive:
		c.setActive(usesHTTP2(conn))
	case http.StateIdle:
		c.setIdle()
		if t.isClosing() {
			c.expireIfIdle()
		}
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, c)
	}
}

// trackedConnOf returns the tracked connection below TLS, if there is any.
func trackedConnOf(conn net.Conn) (*trackedConn, bool) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, ok := conn.(*trackedConn)
	return c, ok
}

func usesHTTP2(conn net.Conn) bool {
	secure, ok := conn.(*tls.Conn)
	return ok && secure.ConnectionState().NegotiatedProtocol == "h2"
}

func (c *trackedConn) setEncrypted(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, c.encrypted = conn.(*tls.Conn)
}

// setActive records that http.Server has read the header of a request.
func (c *trackedConn) setActive(multiplexed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.multiplexed = multiplexed
	c.beginRequest()
	c.readsHead = false
	c.slot.SetPhase(connlimit.Unadmitted)
}

// beginRequest records that a request has begun to arrive. c.mu is held.
func (c *trackedConn) beginRequest() { c.active, c.answered = true, false }

func (t *connTracker) isClosing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing
}

// closeGracefully closes idle connections that have carried a request, and the
// others once their current or first request has ended.
func (t *connTracker) closeGracefully() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
	for c := range t.conns {
		c.expireIfIdle()
	}
}

// beginHeldRequest records that http.Server holds the beginning of a request. c.mu is held.
func (c *trackedConn) beginHeldRequest() error {
	c.pipelined = true
	return c.beginHeader()
}

// ClosesWhenIdle reports whether the connection is closed in a stop without an announcement.
// Its client sends requests without waiting for answers: those that http.Server holds
// would be dropped by an answer that announces the close.
func (c *trackedConn) ClosesWhenIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipelined
}

func (c *trackedConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.used = false, true
	c.answered, c.idleTimeoutSet = true, false
	c.readsHead, c.head, c.handled = true, connlimit.Head{}, false
	c.slot.SetPhase(connlimit.Idle)
}

// requestsArriving returns the number of connections on which a request has begun
// to arrive and whose response has not ended. Those that are about to be closed count: a
// request may have arrived in that moment.
func (t *connTracker) requestsArriving() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.isArriving() {
			n++
		}
	}
	return n
}

func (c *trackedConn) isArriving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.multiplexed && (c.active || c.answered || c.expired || netpeek.Peek(c.Conn) == netpeek.HasData)
}

// expireIfIdle makes the pending read of the next request fail, upon which the
// server closes the connection. A request whose bytes have arrived is read. A connection
// that is not idle is closed once it is.
func (c *trackedConn) expireIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.expire()
}

// expire does the work of expireIfIdle. c.mu is held.
func (c *trackedConn) expire() {
	if c.active || c.answered || !c.used || c.multiplexed {
		return
	}
	if netpeek.Peek(c.Conn) == netpeek.HasData {
		_ = c.beginHeader() // fails only on a connection that is closed already
		return
	}
	c.expired = true
	// SetReadDeadline fails only on a connection that is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read marks the connection as active when bytes of a request arrive.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.beginRead(len(p))
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.reviveIfArriving() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		c.answerTimeout(err)
		return 0, err
	}
	c.recordBytes()
	if err := c.countHead(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// recordBytes records that bytes of a request have been read.
func (c *trackedConn) recordBytes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.multiplexed {
		c.beginRequest()
		return
	}
	c.slot.SetPhase(connlimit.Arriving)
	_ = c.beginHeader() // fails only on a connection that is closed already
}

// emptyLine is the length of the empty line that some clients send after a body and
// http.Server skips.
const emptyLine = 2

// beginRead finds out from the first read after a response whether http.Server holds the
// beginning of a request. If it does not, the connection is idle.
func (c *trackedConn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferSize == 0 {
		c.bufferSize = size
	}
	if !c.answered {
		return
	}
	c.answered = false
	if held := c.bufferSize - size; held > 0 && held != emptyLine && !c.encrypted {
		c.head.AddUnseen(held)
		c.slot.SetPhase(connlimit.Arriving)
		_ = c.beginHeldRequest() // fails only on a connection that is closed already
	} else if c.closing {
		c.expire()
	}
}

// revivalTime is for reading bytes that have arrived by the moment of a timeout.
const revivalTime = 10 * time.Millisecond

// reviveIfArriving keeps a connection open for bytes that have arrived by the moment of
// its expiry or of its timeout. The kernel would drop them, with the request. A timeout that
// the server has been told is final: it may take a part of a line for a whole one.
func (c *trackedConn) reviveIfArriving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.givenUp || !c.expired && !c.timed || netpeek.Peek(c.Conn) != netpeek.HasData {
		c.timed = false
		return false
	}
	if !c.active {
		return c.beginHeader() == nil
	}
	return c.Conn.SetReadDeadline(time.Now().Add(revivalTime)) == nil
}

// beginHeader records that a request has begun to arrive. The header timeout replaces the
// idle timeout, and the expiry of a connection that a stop is about to close. c.mu is held.
func (c *trackedConn) beginHeader() error {
	c.beginRequest()
	c.expired, c.timed = false, true
	header, _ := c.tracker.timeouts()
	if header <= 0 {
		header = headerTimeout
	}
	return c.Conn.SetReadDeadline(time.Now().Add(header))
}

// SetReadDeadline leaves the deadline of an expired idle connection unchanged.
// http.Server sets read deadlines for headers and idle connections only, from
// timeouts fixed at its start; the current timeouts replace them.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired || c.givenUp {
		return nil
	}
	if c.answered && c.idleTimeoutSet {
		c.pipelined = true
		c.beginRequest()
	}
	c.idleTimeoutSet = true
	c.timed = t.After(time.Now())
	if conn, ok := c.Conn.(*clientconn.Conn); ok {
		conn.SetReadsHeader(c.timed)
	}
	if timeout := c.timeout(); timeout > 0 && c.timed {
		t = time.Now().Add(timeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// timeout returns the idle timeout between requests and the header timeout otherwise.
func (c *trackedConn) timeout() time.Duration {
	header, idle := c.tracker.timeouts()
	if c.used && !c.active {
		return idle
	}
	return header
}

// SetDeadline leaves the read deadline of an expired idle connection unchanged.
func (c *trackedConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// shutdown stops a server whose connections are idle or about to close.
func shutdown(ctx context.Context, server *http.Server) {
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), serverShutdownTimeout)
	defer cancel()
	_ = server.Shutdown(shutdownCtx) // connections still open end with the process
}
