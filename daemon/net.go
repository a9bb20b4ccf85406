package daemon

import (
	"net"

	metrics "github.com/rcrowley/go-metrics"
)

// netCounters count the bytes on a process's connections to other processes
// and to the platform, before TLS and the network's own headers.
type netCounters struct {
	sent, received metrics.Counter
}

func newNetCounters(r metrics.Registry) *netCounters {
	return &netCounters{
		sent:     metrics.GetOrRegisterCounter("net.sent_bytes", r),
		received: metrics.GetOrRegisterCounter("net.received_bytes", r),
	}
}

// conn counts on a connection; nil stays nil.
func (n *netCounters) conn(conn net.Conn) net.Conn {
	if conn == nil {
		return nil
	}
	return &countedConn{Conn: conn, counters: n}
}

type countedConn struct {
	net.Conn
	counters *netCounters
}

// Read counts what arrives.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.received.Inc(int64(n))
	return n, err
}

// Write counts what leaves.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.sent.Inc(int64(n))
	return n, err
}

// countedListener counts on accepted connections.
type countedListener struct {
	net.Listener
	counters *netCounters
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return l.counters.conn(conn), err
}
