package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// proxyMode is what a proxy does to the connections through it.
type proxyMode int

const (
	modePass proxyMode = iota
	// modeDelay holds up each piece by proxyDelay.
	modeDelay
	// modeReset resets all connections and refuses new ones.
	modeReset
	// modeSilent passes nothing and closes nothing.
	modeSilent
	// modeOneWay passes requests and no answers.
	modeOneWay
)

const (
	proxyDelay  = 80 * time.Millisecond
	proxyBuffer = 16 << 10
	// silentLook is how often a silent connection looks whether the fault has ended.
	silentLook = 20 * time.Millisecond
)

// proxy passes connections on to one address over the loopback interface.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	mode     proxyMode
	conns    map[*proxyConn]struct{}
	closed   bool
}

// proxyConn is a connection through a proxy. One that was open while the proxy
// was silent stays silent for good, as after a cut on the way.
type proxyConn struct {
	caller, server *net.TCPConn
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

// misbehave sets a mode for a time.
func (p *proxy) misbehave(ctx context.Context, mode proxyMode, d time.Duration) {
	p.setMode(mode)
	sleep(ctx, d)
	p.setMode(modePass)
}

func (p *proxy) current() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetAll ends all connections with a reset.
func (p *proxy) resetAll() {
	for c := range p.conns {
		reset(c.caller)
		reset(c.server)
		delete(p.conns, c)
	}
}

func reset(c *net.TCPConn) {
	// A connection that cannot be reset is closed already.
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
		caller := conn.(*net.TCPConn)
		if p.current() == modeReset {
			reset(caller)
			continue
		}
		go p.connect(caller)
	}
}

func (p *proxy) connect(caller *net.TCPConn) {
	conn, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(caller)
		return
	}
	c := &proxyConn{caller: caller, server: conn.(*net.TCPConn)}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		reset(c.caller)
		reset(c.server)
		return
	}
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(c.server, c.caller, false) })
	group.Go(func() { p.copy(c.caller, c.server, true) })
	group.Wait()
	c.caller.Close()
	c.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copy passes bytes in one direction until either side ends.
func (p *proxy) copy(to, from *net.TCPConn, answers bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(answers)
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			// The other side may still send; it sees the end of this direction only.
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// hold waits as long as the present mode holds up a piece.
func (p *proxy) hold(answer bool) {
	for {
		switch p.current() {
		case modeDelay:
			time.Sleep(proxyDelay)
			return
		case modeSilent:
		case modeOneWay:
			if !answer {
				return
			}
		default:
			return
		}
		time.Sleep(silentLook)
	}
}
