package daemon

import (
	"net"

	metrics "github.com/rcrowley/go-metrics"
)

// netCounters counts the bytes on the connections to other processes and to the
// platform, without the overhead of TLS and network headers.
type netCounters struct {
	sent, received metrics.Counter
}

func newNetCounters(r metrics.Registry) *netCounters {
	return &netCounters{
		sent:     metrics.GetOrRegisterCounter("net.sent_bytes", r),
		received: metrics.GetOrRegisterCounter("net.received_bytes", r),
	}
}

// wrapConn counts the bytes of conn; it returns nil for nil.
func (n *netCounters) wrapConn(conn net.Conn) net.Conn {
	if conn == nil {
		return nil
	}
	return &countingConn{Conn: conn, counters: n}
}

// countingConn adds the bytes of a connection to the counters.
type countingConn struct {
	net.Conn
	counters *netCounters
}

// Read counts received bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.received.Inc(int64(n))
	return n, err
}

// Write counts sent bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.sent.Inc(int64(n))
	return n, err
}

// countingListener counts the bytes of accepted connections.
type countingListener struct {
	net.Listener
	counters *netCounters
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return l.counters.wrapConn(conn), err
}
