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
	mu       sync.Mutex
	conns    map[*trackedConn]struct{}
	closing  bool
}

func newConnTracker(timeouts func() (header, idle time.Duration)) *connTracker {
	return &connTracker{timeouts: timeouts, conns: map[*trackedConn]struct{}{}}
}

// trackedConn records whether a request is in progress on its connection.
type trackedConn struct {
	net.Conn
	timeouts func() (header, idle time.Duration)
	mu       sync.Mutex
	// active is set from the first byte of a request until its response has ended.
	active bool
	// used is set once the connection has carried a request.
	used bool
	// expired is set when the connection must not start another request.
	expired bool
	// awaiting is set while the deadline between two requests is in force.
	awaiting bool
	// timed is set while a header or idle timeout limits the reads.
	timed bool
	// multiplexed is set for HTTP/2, whose connections carry frames between requests.
	// http.Server.Shutdown ends them without dropping a request.
	multiplexed bool
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
	conn, err := l.Listener.Accept()
	if err != nil {
		select {
		case conn = <-l.pending:
		default:
			return nil, err
		}
	}
	c := &trackedConn{Conn: clientconn.Wrap(conn), timeouts: l.tracker.timeouts}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.conns[c] = struct{}{}
	return c, nil
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
	case http.StateActive:
		c.setMultiplexed(usesHTTP2(conn))
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

func (c *trackedConn) setMultiplexed(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.multiplexed = on
}

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

func (c *trackedConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.used, c.awaiting = false, true, false
}

// requestsArriving returns the number of connections on which a request has begun
// to arrive and whose response has not ended.
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
	return !c.multiplexed && (c.active || netpeek.Peek(c.Conn) == netpeek.HasData)
}

// expireIfIdle makes the pending read of the next request fail, upon which the
// server closes the connection. A request whose bytes have arrived is read.
func (c *trackedConn) expireIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || !c.used || c.multiplexed || netpeek.Peek(c.Conn) == netpeek.HasData {
		return
	}
	c.expired = true
	// SetReadDeadline fails only on a connection that is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read marks the connection as active when bytes of a request arrive.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.reviveIfArriving() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.beginRequest()
	}
	return n, err
}

// revivalTime is for reading bytes that have arrived by the moment of a timeout.
const revivalTime = 10 * time.Millisecond

// reviveIfArriving keeps a connection open for bytes that have arrived by the moment of
// its expiry or of its timeout. The kernel would drop them, with the request. A timeout that
// the server has been told is final: it may take a part of a line for a whole one.
func (c *trackedConn) reviveIfArriving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expired && !c.timed || netpeek.Peek(c.Conn) != netpeek.HasData {
		c.timed = false
		return false
	}
	c.expired = false
	return c.Conn.SetReadDeadline(time.Now().Add(revivalTime)) == nil
}

// beginRequest marks the connection as active. The header timeout replaces the idle timeout
// with the first byte of a request.
func (c *trackedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	began := !c.active && !c.multiplexed
	c.active, c.awaiting = true, false
	if !began {
		return
	}
	header, _ := c.timeouts()
	if header <= 0 {
		header = headerTimeout
	}
	c.timed = true
	// It fails only on a connection that is closed already.
	_ = c.Conn.SetReadDeadline(time.Now().Add(header))
}

// SetReadDeadline leaves the deadline of an expired idle connection unchanged.
// http.Server sets read deadlines for headers and idle connections only, from
// timeouts fixed at its start; the current timeouts replace them.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteDeadline()
	if c.expired && !c.active {
		return nil
	}
	c.timed = t.After(time.Now())
	if timeout := c.timeout(); timeout > 0 && c.timed {
		t = time.Now().Add(timeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// noteDeadline notices the start of a request whose first bytes were read together with the
// request before: between requests, http.Server sets one deadline, the next one is for the
// header.
func (c *trackedConn) noteDeadline() {
	if c.awaiting {
		c.active, c.expired = true, false
	}
	c.awaiting = c.used && !c.active
}

// timeout returns the idle timeout between requests and the header timeout otherwise.
func (c *trackedConn) timeout() time.Duration {
	header, idle := c.timeouts()
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
