// Package link carries drpc between sapphirefield processes: dialling,
// serving, TLS, write deadlines and the detection of silent connections.
package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Limits that hold on every connection between processes.
const (
	// HeartbeatInterval is how often each side of a stream shows that it is alive.
	HeartbeatInterval = time.Second
	// HeartbeatTimeout is how long a stream may be without any frame before it is closed.
	HeartbeatTimeout = 3 * time.Second
	// writeTimeout bounds one write, so that a peer that stopped reading cannot block a sender.
	writeTimeout = HeartbeatTimeout
	dialTimeout  = time.Second
	// writerBufferBytes is the first size of a connection's write buffer, which
	// grows to the largest frame. Heartbeats and reports of load take about 30 bytes,
	// and each message is flushed, so that a larger buffer saves no write.
	writerBufferBytes = 512
	// maxFrameBytes bounds one message from a peer.
	maxFrameBytes = 16 << 20
)

// Dialer opens connections to other processes. A nil TLS means plain text,
// which the settings allow on loopback only.
type Dialer struct {
	// TLS returns the configuration for connections to one sidecar, which checks
	// that the peer's certificate names it.
	TLS func(instance string) *tls.Config
	// DialContext opens the connection below TLS; nil means TCP. Tests put an
	// in-memory network here.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Conn is a connection that carries one stream.
type Conn struct {
	drpc.Conn
	written *atomic.Int64
}

// LastWrite returns when the peer last took data. It tells a slow link, which
// moves, from one that is stuck.
func (c *Conn) LastWrite() time.Time { return time.Unix(0, c.written.Load()) }

// Dial opens a connection that carries one stream.
func (d Dialer) Dial(ctx context.Context, instance, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.dial(ctx, instance, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	written := new(atomic.Int64)
	written.Store(time.Now().UnixNano())
	wrapped := deadlineConn{Conn: conn, written: written}
	return &Conn{
		Conn:    drpcconn.NewWithOptions(wrapped, drpcconn.Options{Manager: managerOptions()}),
		written: written,
	}, nil
}

func (d Dialer) dial(ctx context.Context, instance, address string) (net.Conn, error) {
	dial := d.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil || d.TLS == nil {
		return conn, err
	}
	secured := tls.Client(conn, d.TLS(instance))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// acceptPause is the wait after a failed Accept, for example for lack of file descriptors.
const acceptPause = 100 * time.Millisecond

// Serve answers calls on a listener until ctx ends. With a TLS configuration
// the listener requires the peer's certificate.
func Serve(ctx context.Context, listener net.Listener, tlsConfig *tls.Config, mux *drpcmux.Mux) error {
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	ctx, cancel := context.WithCancel(ctx)
	var streams sync.WaitGroup
	defer streams.Wait()
	defer cancel()
	streams.Go(func() {
		<-ctx.Done()
		_ = listener.Close()
	})
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			transport := accepted(conn, tlsConfig)
			streams.Go(func() { _ = server.ServeOne(drpcctx.WithTransport(ctx, transport), transport) })
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.WithStack(err)
		default:
			time.Sleep(acceptPause)
		}
	}
}

func accepted(conn net.Conn, tlsConfig *tls.Config) net.Conn {
	wrapped := net.Conn(&firstReadConn{Conn: deadlineConn{Conn: conn, written: new(atomic.Int64)}})
	if tlsConfig == nil {
		return wrapped
	}
	return tls.Server(wrapped, tlsConfig)
}

// Abort closes the connection of the call that a handler serves, so that a
// blocked Recv returns.
func Abort(ctx context.Context) {
	if transport, found := drpcctx.Transport(ctx); found {
		_ = transport.Close()
	}
}

// PeerTLSState returns the TLS state of the call that a handler serves; found is
// false on a connection in plain text.
func PeerTLSState(ctx context.Context) (state tls.ConnectionState, found bool) {
	transport, _ := drpcctx.Transport(ctx)
	secured, found := transport.(*tls.Conn)
	if !found {
		return tls.ConnectionState{}, false
	}
	return secured.ConnectionState(), true
}

// firstReadConn bounds the wait for a peer's first data. A peer that connects
// and says nothing would otherwise keep the connection for ever.
type firstReadConn struct {
	net.Conn
	begun bool
}

// Read is called by one goroutine.
func (c *firstReadConn) Read(p []byte) (int, error) {
	if c.begun {
		return c.Conn.Read(p)
	}
	if err := c.SetReadDeadline(time.Now().Add(HeartbeatTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	c.begun = true
	return n, c.SetReadDeadline(time.Time{})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writerBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxFrameBytes},
	}
}

// writeChunkBytes is the part of a write that must pass within writeTimeout. A
// frame of several megabytes may take longer than that on a slow link.
const writeChunkBytes = 64 << 10

type deadlineConn struct {
	net.Conn
	written *atomic.Int64
}

// Write fails when the peer takes no data for writeTimeout.
func (c deadlineConn) Write(p []byte) (int, error) {
	total := 0
	for {
		n := min(len(p)-total, writeChunkBytes)
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return total, err
		}
		n, err := c.Conn.Write(p[total : total+n])
		total += n
		if err != nil {
			return total, err
		}
		c.written.Store(time.Now().UnixNano())
		if total == len(p) {
			return total, nil
		}
	}
}
