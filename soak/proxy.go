package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// proxyMode is the fault that a proxy applies to its connections.
type proxyMode int

const (
	modeForward proxyMode = iota
	// modeDelay delays each chunk by proxyDelay.
	modeDelay
	// modeReset resets all connections and refuses new ones.
	modeReset
	// modeStall forwards no data and keeps connections open.
	modeStall
	// modeStallResponses forwards requests but no responses, modeStallRequests responses
	// but no requests.
	modeStallResponses
	modeStallRequests
)

const (
	proxyDelay  = 80 * time.Millisecond
	proxyBuffer = 16 << 10
	// stallPollInterval is how often a stalled connection checks whether the mode has changed.
	stallPollInterval = 20 * time.Millisecond
)

// proxy is a TCP proxy on the loopback interface that can inject network faults.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	mode     proxyMode
	conns    map[*proxyConn]struct{}
	closed   bool
}

// proxyConn is a proxied connection. Data held while the proxy stalls is forwarded
// when the stall ends.
type proxyConn struct {
	client, server *net.TCPConn
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{target: target, listener: listener, conns: map[*proxyConn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == modeReset {
		p.resetAll()
	}
}

// applyMode sets a mode for a duration and then returns to modeForward.
func (p *proxy) applyMode(ctx context.Context, mode proxyMode, d time.Duration) {
	p.setMode(mode)
	sleep(ctx, d)
	p.setMode(modeForward)
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetAll resets all connections. The caller holds p.mu.
func (p *proxy) resetAll() {
	for c := range p.conns {
		reset(c.client)
		reset(c.server)
		delete(p.conns, c)
	}
}

func reset(c *net.TCPConn) {
	// Fails only if the connection is already closed.
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.listener.Close()
	p.resetAll()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		client := conn.(*net.TCPConn)
		if p.currentMode() == modeReset {
			reset(client)
			continue
		}
		go p.connect(client)
	}
}

func (p *proxy) connect(client *net.TCPConn) {
	conn, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(client)
		return
	}
	c := &proxyConn{client: client, server: conn.(*net.TCPConn)}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		reset(c.client)
		reset(c.server)
		return
	}
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c.server, c.client, false) })
	wg.Go(func() { p.forward(c.client, c.server, true) })
	wg.Wait()
	c.client.Close()
	c.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// forward copies data in one direction until either side closes.
func (p *proxy) forward(to, from *net.TCPConn, isResponse bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.delayData(isResponse)
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			// Half-close: the other side may still send.
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// delayData blocks for as long as the current mode delays a chunk.
func (p *proxy) delayData(isResponse bool) {
	for {
		switch p.currentMode() {
		case modeDelay:
			time.Sleep(proxyDelay)
			return
		case modeStall:
		case modeStallResponses:
			if !isResponse {
				return
			}
		case modeStallRequests:
			if isResponse {
				return
			}
		default:
			return
		}
		time.Sleep(stallPollInterval)
	}
}
