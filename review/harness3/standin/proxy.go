package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy is a TCP proxy on the loopback interface. Its open connections can be made to go
// silent for good while new ones work.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	conns    map[*proxyConn]struct{}
}

// proxyConn is a connection through the proxy.
type proxyConn struct {
	// usedAt is when bytes last came through, in Unix nanoseconds.
	usedAt atomic.Int64
	silent atomic.Bool
}

// newProxy starts a proxy to a target on a free port of the given address.
func newProxy(ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, conns: map[*proxyConn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// silence makes the open connections on which nothing has come for a time silent for good, without a
// reset, and returns their number.
func (p *proxy) silence(idle time.Duration) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if time.Since(time.Unix(0, c.usedAt.Load())) >= idle {
			c.silent.Store(true)
			n++
		}
	}
	return n
}

// stopListening refuses new connections, as a machine does on which nothing listens any more.
func (p *proxy) stopListening() { _ = p.listener.Close() } // fails if it is closed already

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(conn)
	}
}

func (p *proxy) connect(client net.Conn) {
	defer client.Close()
	c := &proxyConn{}
	c.usedAt.Store(time.Now().UnixNano())
	p.track(c, true)
	defer p.track(c, false)
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	var both sync.WaitGroup
	both.Go(func() { c.forward(server, client) })
	both.Go(func() { c.forward(client, server) })
	both.Wait()
}

func (p *proxy) track(c *proxyConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = struct{}{}
		return
	}
	delete(p.conns, c)
}

// forward copies data until either side closes. What arrives on a silent connection is
// dropped, and neither its end nor a reset is passed on.
func (c *proxyConn) forward(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			_, _ = io.Copy(io.Discard, from) // ends with the connection
			select {}                        // the other side hears nothing of it
		}
		if n > 0 {
			c.usedAt.Store(time.Now().UnixNano())
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.(*net.TCPConn).CloseWrite() // fails if it is closed already
			return
		case err != nil:
			_ = to.(*net.TCPConn).SetLinger(0) // the close resets the connection
			_ = to.Close()
			return
		}
	}
}
