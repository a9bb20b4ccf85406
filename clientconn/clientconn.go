// Package clientconn tells a server that a client has closed its connection while its
// request is in progress. http.Server ends the request's context then, with two gaps that
// this package closes: it stops looking once a byte of the client's next request has
// arrived, and it looks in another goroutine, which may run only after the handler has
// acted for a client that had left before.
//
// A client that closes only its sending side counts as one that has left, as it does for
// http.Server.
package clientconn

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sapphirefield/sapphirefield/netpeek"
)

// Conn is the connection of a client of an http.Server.
type Conn struct {
	net.Conn
	raw syscall.RawConn
	// readsHeader is set while http.Server reads the header of a request.
	readsHeader atomic.Bool
}

// Wrap returns a Conn, or conn itself if it has no socket that can be looked at.
func Wrap(conn net.Conn) net.Conn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return conn
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return conn
	}
	return &Conn{Conn: conn, raw: raw}
}

// watchReadSize is the size of the reads by which http.Server looks for the end of the
// connection while a request is in progress. It reads requests in larger parts, but for a
// header that leaves one byte of its buffer free.
const watchReadSize = 1

// SetReadsHeader tells whether http.Server reads the header of a request.
func (c *Conn) SetReadsHeader(on bool) { c.readsHeader.Store(on) }

// Read reads bytes of requests. A read that looks for the end of the connection returns
// only then, whatever arrives before; those bytes are left for the next request.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) != watchReadSize || c.readsHeader.Load() {
		return c.Conn.Read(p)
	}
	if err := netpeek.AwaitHangUp(c.raw); err != nil {
		return 0, err
	}
	return 0, io.EOF
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// NewListener returns a listener that accepts connections of type Conn.
func NewListener(l net.Listener) net.Listener { return &listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}

// ResetUnlessWhole makes the system reset the connection of a request's client when it is closed,
// by this process or by its end, so that an answer whose end is that of its connection does not
// look complete. The returned function is called at the end of the request. If the answer is not
// whole, it closes the connection; otherwise a close is in order again.
func ResetUnlessWhole(ctx context.Context) (end func(whole bool)) {
	client, ok := ctx.Value(connKey{}).(*socket)
	if !ok {
		return func(bool) {}
	}
	client.setResetOnClose(true)
	return func(whole bool) {
		if whole {
			client.setResetOnClose(false)
			return
		}
		// The close of an encrypted connection would tell its client that it is in order.
		_ = client.Conn.Close() // fails only if it is closed already
	}
}

// setResetOnClose sets whether the system drops what is unsent and resets the connection when
// it is closed.
func (s *socket) setResetOnClose(on bool) {
	raw, ok := s.Conn.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	linger := unix.Linger{}
	if on {
		linger.Onoff = 1
	}
	// Control fails on a closed connection only.
	_ = control.Control(func(fd uintptr) { _ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &linger) })
}

type connKey struct{}

type requestKey struct{}

// keeper is a connection that may close itself once no request is left on it, or for the
// sake of others while its request is not admitted.
type keeper interface {
	ClosesWhenIdle() bool
	RequestAdmitted() bool
}

// socket is the connection of a client below everything that wraps it.
type socket struct {
	net.Conn
	// encrypted is set if http.Server reads decrypted bytes, so that its looking for the
	// end of the connection does not reach Conn.Read.
	encrypted bool
	keeper    keeper
}

// ClosesWhenIdle reports whether the connection of a request's client closes itself once
// no request is left on it, so that no answer should announce its close.
func ClosesWhenIdle(ctx context.Context) bool {
	client, ok := ctx.Value(connKey{}).(*socket)
	return ok && client.keeper != nil && client.keeper.ClosesWhenIdle()
}

// Admitted tells that the request of a context is whole and its client known: the connection
// is kept from now on, however many others there are. It returns false if the connection has
// been given up for others already. The request must be refused then, since its client would
// get no answer to it.
func Admitted(ctx context.Context) bool {
	client, ok := ctx.Value(connKey{}).(*socket)
	return !ok || client.keeper == nil || client.keeper.RequestAdmitted()
}

// WithConn is the ConnContext of an http.Server whose requests call NewContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	_, encrypted := conn.(*tls.Conn)
	var outer keeper
	for {
		if k, ok := conn.(keeper); ok {
			outer = k
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return context.WithValue(ctx, connKey{}, &socket{conn, encrypted, outer})
		}
		conn = wrapper.NetConn()
	}
}

// pollInterval is the time between two looks at an encrypted connection.
const pollInterval = 100 * time.Millisecond

// request is a request in progress.
type request struct {
	client *socket
	end    context.CancelFunc
	poll   *time.Timer
}

// NewContext returns the context of a request, which ends when its client is found to
// have left or when it is cancelled.
func NewContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	client, ok := ctx.Value(connKey{}).(*socket)
	if !ok {
		return ctx, cancel
	}
	r := &request{client: client, end: cancel}
	ctx = context.WithValue(ctx, requestKey{}, r)
	if !client.encrypted {
		return ctx, cancel
	}
	r.startPolling(ctx)
	return ctx, func() {
		cancel()
		r.poll.Stop()
	}
}

// startPolling looks at the connection again and again until the request has ended.
func (r *request) startPolling(ctx context.Context) {
	// It is started once the variable is set, which the function reads.
	r.poll = time.AfterFunc(time.Hour, func() {
		if Check(ctx) == nil {
			r.poll.Reset(pollInterval)
		}
	})
	r.poll.Reset(pollInterval)
}

// Check looks whether the client of a request is still there, and ends the request's
// context if it is not. It returns the error of ctx, which may be derived from the
// request's context. Work for a request must not begin without it.
func Check(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if r, ok := ctx.Value(requestKey{}).(*request); ok && netpeek.HungUp(r.client.Conn) {
		r.end()
	}
	return ctx.Err()
}
