package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns ends kept connections without cutting off a request that is
// arriving. http.Server counts a connection as idle until it has read the whole
// header of the next request, so its own way of closing idle connections can cut
// off a request that is passed on a moment later.
type idleConns struct {
	// limits returns how long the header of a request may take, and how long a
	// connection may stay idle; 0 leaves the server's own limit.
	limits  func() (header, idle time.Duration)
	mu      sync.Mutex
	conns   map[*idleConn]struct{}
	leaving bool
}

func newIdleConns(limits func() (header, idle time.Duration)) *idleConns {
	return &idleConns{limits: limits, conns: map[*idleConn]struct{}{}}
}

// idleConn knows whether its connection has begun to carry a request.
type idleConn struct {
	net.Conn
	limits func() (header, idle time.Duration)
	mu     sync.Mutex
	// active is set from the first byte of a request until its answer has ended.
	active bool
	// used is set once the connection has carried a request.
	used bool
	// expired is set when the connection must not begin another request.
	expired bool
}

// listener wraps the connections of a listener.
func (s *idleConns) listener(l net.Listener) net.Listener { return &idleListener{l, s} }

type idleListener struct {
	net.Listener
	conns *idleConns
}

func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &idleConn{Conn: conn, limits: l.conns.limits}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.conns[c] = struct{}{}
	return c, nil
}

// observe is a server's ConnState hook.
func (s *idleConns) observe(conn net.Conn, state http.ConnState) {
	c, known := conn.(*idleConn)
	if !known {
		return
	}
	switch state {
	case http.StateIdle:
		c.setIdle()
		if s.isLeaving() {
			c.expire()
		}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

func (s *idleConns) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// leave ends connections that have carried a request and are idle, and lets the
// others end with their current request.
func (s *idleConns) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for c := range s.conns {
		c.expire()
	}
}

func (c *idleConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.used = false, true
}

// expire makes a read that waits for the next request end. Bytes that have
// arrived and were not read yet are dropped, and so is their request.
func (c *idleConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || !c.used {
		return
	}
	c.expired = true
	// A connection that cannot take a deadline is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read marks the connection as active when bytes of a request arrive.
func (c *idleConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.active = true
	}
	return n, err
}

// SetReadDeadline leaves the deadline of an expired idle connection as it is. The
// server sets deadlines for headers and idle connections only, by limits that
// hold for its whole life; those in force now are shorter or longer.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired && !c.active {
		return nil
	}
	if limit := c.limit(); limit > 0 && t.After(time.Now()) {
		t = time.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}

// limit returns the limit that holds for what the connection waits for.
func (c *idleConn) limit() time.Duration {
	header, idle := c.limits()
	if c.used && !c.active {
		return idle
	}
	return header
}

// SetDeadline leaves the read deadline of an expired idle connection as it is.
func (c *idleConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// shutdown ends a server whose connections are idle or about to end.
func shutdown(ctx context.Context, server *http.Server) {
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	_ = server.Shutdown(limit) // what is still open ends with the process
}
