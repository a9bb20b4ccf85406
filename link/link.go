// Package link is the drpc transport between sapphirefield processes: dialing,
// serving, TLS, write deadlines and the detection of dead connections.
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

// Timeouts and limits of all connections between processes.
const (
	// HeartbeatInterval is how often each side of a stream sends a heartbeat.
	HeartbeatInterval = time.Second
	// HeartbeatTimeout is how long a stream may receive no frame before it is closed.
	HeartbeatTimeout = 3 * time.Second
	// writeTimeout bounds one write, so that a peer that stopped reading cannot block the sender.
	writeTimeout = HeartbeatTimeout
	dialTimeout  = time.Second
	// initialWriteBufferBytes is the initial size of a connection's write buffer,
	// which grows to the largest frame. Heartbeats and load reports take about 30
	// bytes and each message is flushed, so a larger buffer would not save writes.
	initialWriteBufferBytes = 512
	// maxFrameBytes is the size limit of a message from a peer.
	maxFrameBytes = 16 << 20
)

// Dialer opens connections to other processes. A nil TLS means plain text, which
// the settings allow only on loopback.
type Dialer struct {
	// TLS returns the configuration for connections to one sidecar. It verifies
	// that the peer's certificate names that sidecar.
	TLS func(instance string) *tls.Config
	// DialContext opens the connection below TLS; nil means TCP. Tests use an
	// in-memory network.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Conn is a connection that carries one stream.
type Conn struct {
	drpc.Conn
	lastWrite *atomic.Int64
}

// LastWrite returns when a write of data to the peer last succeeded. It
// distinguishes a slow connection, which makes progress, from a stalled one.
func (c *Conn) LastWrite() time.Time { return time.Unix(0, c.lastWrite.Load()) }

// Dial opens a connection that carries one stream.
func (d Dialer) Dial(ctx context.Context, instance, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.dial(ctx, instance, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	lastWrite := new(atomic.Int64)
	lastWrite.Store(time.Now().UnixNano())
	transport := writeTimeoutConn{Conn: conn, lastWrite: lastWrite}
	return &Conn{
		Conn:      drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()}),
		lastWrite: lastWrite,
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
	tlsConn := tls.Client(conn, d.TLS(instance))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// acceptBackoff is the delay after a failed Accept, for example when there are no free file descriptors.
const acceptBackoff = 100 * time.Millisecond

// Serve serves RPCs on a listener until ctx is done. If tlsConfig is set,
// connections use TLS and the peer must present a certificate.
func Serve(ctx context.Context, listener net.Listener, tlsConfig *tls.Config, mux *drpcmux.Mux) error {
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		<-ctx.Done()
		_ = listener.Close()
	})
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			transport := acceptedTransport(conn, tlsConfig)
			wg.Go(func() { _ = server.ServeOne(drpcctx.WithTransport(ctx, transport), transport) })
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.WithStack(err)
		default:
			time.Sleep(acceptBackoff)
		}
	}
}

func acceptedTransport(conn net.Conn, tlsConfig *tls.Config) net.Conn {
	wrapped := net.Conn(&firstReadTimeoutConn{Conn: writeTimeoutConn{Conn: conn, lastWrite: new(atomic.Int64)}})
	if tlsConfig == nil {
		return wrapped
	}
	return tls.Server(wrapped, tlsConfig)
}

// Abort closes the connection of the RPC whose handler has this context, so that
// a blocked Recv returns.
func Abort(ctx context.Context) {
	if transport, found := drpcctx.Transport(ctx); found {
		_ = transport.Close()
	}
}

// PeerTLSState returns the TLS state of the connection of the RPC whose handler has
// this context; found is false on a plain-text connection.
func PeerTLSState(ctx context.Context) (state tls.ConnectionState, found bool) {
	transport, _ := drpcctx.Transport(ctx)
	tlsConn, found := transport.(*tls.Conn)
	if !found {
		return tls.ConnectionState{}, false
	}
	return tlsConn.ConnectionState(), true
}

// firstReadTimeoutConn sets a deadline for the first data from the peer. A peer that
// connects and sends nothing would otherwise hold the connection forever.
type firstReadTimeoutConn struct {
	net.Conn
	received bool
}

// Read must not be called concurrently.
func (c *firstReadTimeoutConn) Read(p []byte) (int, error) {
	if c.received {
		return c.Conn.Read(p)
	}
	if err := c.SetReadDeadline(time.Now().Add(HeartbeatTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	c.received = true
	return n, c.SetReadDeadline(time.Time{})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: initialWriteBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxFrameBytes},
	}
}

// writeChunkBytes is the amount of data that must be written within writeTimeout.
// A frame of several megabytes may take longer than that on a slow link.
const writeChunkBytes = 64 << 10

// writeTimeoutConn applies writeTimeout to each chunk of a write and records the
// time of the last one that succeeded.
type writeTimeoutConn struct {
	net.Conn
	lastWrite *atomic.Int64
}

// Write fails if the peer accepts no data for writeTimeout.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
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
		c.lastWrite.Store(time.Now().UnixNano())
		if total == len(p) {
			return total, nil
		}
	}
}
