package relay

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/netpeek"
)

// pool holds idle connections by address.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*connection
	// count is the number of idle connections, and limit the largest one; 0 is no limit.
	// Requests that cannot use the idle ones open others without end.
	count, limit int
	dial         func(ctx context.Context, address string) (net.Conn, error)
	// onRead is called with the server's address when bytes arrive, unless it is nil.
	onRead func(address string)
}

func newPool(limit int) *pool {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &pool{
		idle: map[string][]*connection{}, limit: limit,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		},
	}
}

// get returns an idle connection or opens a new one. A request without an ID
// needs a new one: on another, a late response to an earlier request could not
// be told from its own. The same holds for the refusal of the request itself, which
// a server may send once more. There is none for a client that has left.
func (p *pool) get(ctx context.Context, address, requestID string) (*connection, error) {
	if err := clientconn.Check(ctx); err != nil {
		return nil, err
	}
	for c := p.takeIdle(address, requestID); c != nil; c = p.takeIdle(address, requestID) {
		if time.Now().Before(c.expires) && c.isReusable() {
			return c, nil
		}
		c.Close()
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := clientconn.Check(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	c := newConnection(conn)
	if p.onRead != nil {
		c.onRead = func() { p.onRead(address) }
	}
	return c, nil
}

// takeIdle returns the most recently used connection, so that the others
// expire.
func (p *pool) takeIdle(address, requestID string) *connection {
	if requestID == "" {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.refused, requestID) {
			p.idle[address] = slices.Delete(list, i, i+1)
			p.count--
			return c
		}
	}
	return nil
}

// keepsIdle reports whether a connection to an address that was idle at the beginning stays
// open for a moment. If the process at its other end dies, its system closes them all.
func (p *pool) keepsIdle(ctx context.Context, address string) bool {
	p.mu.Lock()
	var c *connection
	if list := p.idle[address]; len(list) > 0 {
		c = list[len(list)-1]
	}
	p.mu.Unlock()
	if c == nil {
		return false
	}
	sleep(ctx, crashProbeHold)
	return ctx.Err() == nil && netpeek.Peek(c.Conn) != netpeek.Unknown && !netpeek.HungUp(c.Conn)
}

func (p *pool) put(address string, c *connection, idleTime time.Duration) {
	c.expires = time.Now().Add(idleTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
	p.count++
	if p.limit > 0 && p.count > p.limit {
		p.closeOldest(address)
	}
}

// closeOldest closes the connection to an address that has been idle the longest. p.mu is held.
func (p *pool) closeOldest(address string) {
	list := p.idle[address]
	list[0].Close()
	p.idle[address] = slices.Delete(list, 0, 1)
	p.count--
}

// closeExpired closes idle connections that may no longer be reused.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		usable := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				usable = append(usable, c)
			} else {
				c.Close()
				p.count--
			}
		}
		if len(usable) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = usable
	}
}

// keepAliveTimeout returns how long a connection may be reused after a
// response.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(seconds) * keepAliveFraction * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
