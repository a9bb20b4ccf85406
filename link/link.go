// Package link carries drpc between sapphirefield processes: dialling,
// serving, TLS, write deadlines and the detection of silent connections.
package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Limits that hold on every connection between processes.
const (
	// HeartbeatInterval is how often each side of a stream shows that it is alive.
	HeartbeatInterval = time.Second
	// SilenceLimit is how long a stream may be without any frame before it is closed.
	SilenceLimit = 3 * time.Second
	// writeTimeout bounds one write, so that a peer that stopped reading cannot block a sender.
	writeTimeout = SilenceLimit
	dialTimeout  = time.Second
	// maxFrameBytes bounds one message from a peer.
	maxFrameBytes = 16 << 20
)

// Dialer opens connections to other processes. A nil TLS configuration means
// plain text, which the settings allow on loopback only.
type Dialer struct {
	TLS *tls.Config
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
func (d Dialer) Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.dial(ctx, address)
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

func (d Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	dial := d.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil || d.TLS == nil {
		return conn, err
	}
	secured := tls.Client(conn, d.clientTLS(address))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// clientTLS names the server to verify, as tls.Dialer does.
func (d Dialer) clientTLS(address string) *tls.Config {
	if d.TLS.ServerName != "" {
		return d.TLS
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	config := d.TLS.Clone()
	config.ServerName = host
	return config
}

// Serve answers calls on a listener until ctx ends. With a TLS configuration
// the listener requires the peer's certificate.
func Serve(ctx context.Context, listener net.Listener, tlsConfig *tls.Config, mux *drpcmux.Mux) error {
	var wrapped net.Listener = deadlineListener{listener}
	if tlsConfig != nil {
		wrapped = tls.NewListener(wrapped, tlsConfig)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return errors.WithStack(server.Serve(ctx, wrapped))
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxFrameBytes}}
}

type deadlineListener struct{ net.Listener }

// Accept wraps the connection so that writes have a deadline.
func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return deadlineConn{Conn: conn, written: new(atomic.Int64)}, nil
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
