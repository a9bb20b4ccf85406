package standin

import (
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Network is an in-memory network for tests with testing/synctest, which can also
// drop traffic. Addresses are names.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     map[*memoryConn]bool
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*memoryListener), conns: make(map[*memoryConn]bool)}
}

// Listen opens a listener at an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memoryListener{network: n, address: address, backlog: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dialer returns a dial function for the process named dialer, as a replacement for
// net.Dialer.DialContext. The methods that inject faults take the same name.
func (n *Network) Dialer(dialer string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, dialer, address)
	}
}

func (n *Network) dial(ctx context.Context, dialer, address string) (net.Conn, error) {
	// The HTTP client adds the default port to the address.
	address = strings.TrimSuffix(address, ":80")
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, refusedError(address)
	}
	client, server := n.newConnPair(dialer, address)
	select {
	case l.backlog <- server:
		return client, nil
	case <-l.closed:
		_, _ = client.Close(), server.Close()
		return nil, refusedError(address)
	case <-ctx.Done():
		_, _ = client.Close(), server.Close()
		return nil, errors.WithStack(ctx.Err())
	}
}

func refusedError(address string) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddr(address), Err: syscall.ECONNREFUSED}
}

func (n *Network) newConnPair(dialer, address string) (client, server *memoryConn) {
	a, b := net.Pipe()
	client = &memoryConn{Conn: a, network: n, dialer: dialer, address: address, blackholed: make(chan struct{}), closed: make(chan struct{})}
	server = &memoryConn{Conn: b, network: n, dialer: dialer, address: address, blackholed: client.blackholed, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[client], n.conns[server] = true, true
	return client, server
}

// Blackhole makes all open connections from and to a process drop all data from now
// on, without closing them. New connections work.
func (n *Network) Blackhole(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == name || c.dialer == name {
			c.blackhole()
		}
	}
}

// BlackholeBetween makes the open connections that one process opened to another drop
// all data. New connections work.
func (n *Network) BlackholeBetween(dialer, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == address && c.dialer == dialer {
			c.blackhole()
		}
	}
}

// CloseBetween closes the connections that one process opened to another. New
// connections work.
func (n *Network) CloseBetween(dialer, address string) {
	n.closeWhere(func(c *memoryConn) bool { return c.address == address && c.dialer == dialer })
}

// Hang makes the connections of a process drop all data, as if the process were
// stopped: new connections to it open but carry no data either.
func (n *Network) Hang(name string) {
	n.Blackhole(name)
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[name]; l != nil {
		l.hung = true
	}
}

// Close closes all connections, including those that drop data.
func (n *Network) Close() {
	n.closeWhere(func(*memoryConn) bool { return true })
}

func (n *Network) closeWhere(match func(*memoryConn) bool) {
	n.mu.Lock()
	var matching []*memoryConn
	for c := range n.conns {
		if match(c) {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		_ = c.Close()
	}
}

type memoryListener struct {
	network *Network
	address string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
	hung    bool
}

// Accept waits for a connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.backlog:
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.hung {
			conn.(*memoryConn).blackhole()
		}
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops the listener; later dials are refused.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		close(l.closed)
	})
	return nil
}

// Addr returns the address given to Listen.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

// Network returns the name of the network.
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }

// memoryConn is one end of a connection.
type memoryConn struct {
	net.Conn
	network *Network
	// dialer is the process that opened the connection to address.
	dialer, address string
	// blackholed is closed when the connection starts to drop all data; both ends share it.
	blackholed chan struct{}
	once       sync.Once
	closed     chan struct{}
}

// blackhole makes the connection drop all data. The caller holds the network's lock.
func (c *memoryConn) blackhole() {
	select {
	case <-c.blackholed:
	default:
		close(c.blackholed)
		_ = c.Conn.Close()
	}
}

func (c *memoryConn) isBlackholed() bool {
	select {
	case <-c.blackholed:
		return true
	default:
		return false
	}
}

// Read blocks on a blackholed connection until this end is closed.
func (c *memoryConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.isBlackholed() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write drops the data of a blackholed connection.
func (c *memoryConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil || !c.isBlackholed() {
		return n, err
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		return len(p), nil
	}
}

// SetDeadline has no effect on a blackholed connection.
func (c *memoryConn) SetDeadline(t time.Time) error {
	return c.ignoreIfBlackholed(c.Conn.SetDeadline(t))
}

// SetReadDeadline has no effect on a blackholed connection.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	return c.ignoreIfBlackholed(c.Conn.SetReadDeadline(t))
}

// SetWriteDeadline has no effect on a blackholed connection.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	return c.ignoreIfBlackholed(c.Conn.SetWriteDeadline(t))
}

func (c *memoryConn) ignoreIfBlackholed(err error) error {
	if c.isBlackholed() {
		return nil
	}
	return err
}

// Close closes this end. The peer of a blackholed connection does not notice.
func (c *memoryConn) Close() error {
	c.once.Do(func() {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		close(c.closed)
		delete(c.network.conns, c)
	})
	return c.Conn.Close()
}
