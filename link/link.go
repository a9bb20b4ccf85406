// Package link carries drpc between sapphirefield processes: dialling,
// serving, TLS, write deadlines and the detection of silent connections.
package link

import (
	"context"
	"crypto/tls"
	"net"
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
}

// Dial opens a connection that carries one stream.
func (d Dialer) Dial(ctx context.Context, address string) (drpc.Conn, error) {
	netDialer := &net.Dialer{Timeout: dialTimeout}
	var conn net.Conn
	var err error
	if d.TLS == nil {
		conn, err = netDialer.DialContext(ctx, "tcp", address)
	} else {
		tlsDialer := &tls.Dialer{NetDialer: netDialer, Config: d.TLS}
		conn, err = tlsDialer.DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return drpcconn.NewWithOptions(deadlineConn{conn}, drpcconn.Options{Manager: managerOptions()}), nil
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
	return deadlineConn{conn}, nil
}

type deadlineConn struct{ net.Conn }

// Write fails when the peer takes no data for writeTimeout.
func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
