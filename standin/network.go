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

// Network is an in-memory network, so that tests run with testing/synctest and
// can make links silent. Addresses are names.
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

// Dialer returns a dial function for a process, whose name Silence and Hang
// take. Its signature is that of net.Dialer.DialContext.
func (n *Network) Dialer(owner string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, owner, address)
	}
}

func (n *Network) dial(ctx context.Context, owner, address string) (net.Conn, error) {
	// The HTTP client adds the default port to a name.
	address = strings.TrimSuffix(address, ":80")
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, refusedError(address)
	}
	client, server := n.pair(owner, address)
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

func (n *Network) pair(owner, address string) (client, server *memoryConn) {
	a, b := net.Pipe()
	client = &memoryConn{Conn: a, network: n, owner: owner, address: address, silent: make(chan struct{}), closed: make(chan struct{})}
	server = &memoryConn{Conn: b, network: n, owner: owner, address: address, silent: client.silent, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[client], n.conns[server] = true, true
	return client, server
}

// Blackhole makes all open connections from and to a process drop everything for
// good without closing. New connections work.
func (n *Network) Blackhole(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == name || c.owner == name {
			c.silence()
		}
	}
}

// BlackholeBetween is Silence for the connections that one process opened to another.
func (n *Network) BlackholeBetween(owner, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == address && c.owner == owner {
			c.silence()
		}
	}
}

// CloseBetween closes the connections that one process opened to another. New
// connections work.
func (n *Network) CloseBetween(owner, address string) {
	n.closeWhere(func(c *memoryConn) bool { return c.address == address && c.owner == owner })
}

// Hang silences a process and lets nobody in any more: new connections open
// but carry nothing, as with a process that is stopped.
func (n *Network) Hang(name string) {
	n.Blackhole(name)
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[name]; l != nil {
		l.hung = true
	}
}

// Close cuts all connections, silent ones too.
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
			conn.(*memoryConn).silence()
		}
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
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

// Network names the kind of network.
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }

// memoryConn is one end of a connection.
type memoryConn struct {
	net.Conn
	network *Network
	// owner dialled the connection to address.
	owner, address string
	// silent is closed once the connection drops everything; both ends share it.
	silent chan struct{}
	once   sync.Once
	closed chan struct{}
}

// silence must be called with the network's lock held.
func (c *memoryConn) silence() {
	select {
	case <-c.silent:
	default:
		close(c.silent)
		_ = c.Conn.Close()
	}
}

func (c *memoryConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read blocks on a silent connection until this end is closed.
func (c *memoryConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write drops the data of a silent connection.
func (c *memoryConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil || !c.isSilent() {
		return n, err
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		return len(p), nil
	}
}

// SetDeadline sets both deadlines.
func (c *memoryConn) SetDeadline(t time.Time) error { return c.hide(c.Conn.SetDeadline(t)) }

// SetReadDeadline has no effect on a silent connection.
func (c *memoryConn) SetReadDeadline(t time.Time) error { return c.hide(c.Conn.SetReadDeadline(t)) }

// SetWriteDeadline has no effect on a silent connection.
func (c *memoryConn) SetWriteDeadline(t time.Time) error { return c.hide(c.Conn.SetWriteDeadline(t)) }

func (c *memoryConn) hide(err error) error {
	if c.isSilent() {
		return nil
	}
	return err
}

// Close ends this end. The peer of a silent connection does not notice.
func (c *memoryConn) Close() error {
	c.once.Do(func() {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		close(c.closed)
		delete(c.network.conns, c)
	})
	return c.Conn.Close()
}
