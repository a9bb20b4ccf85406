package daemon

import (
	"net"
	"syscall"
	"time"

	"github.com/sapphirefield/sapphirefield/connlimit"
	"github.com/sapphirefield/sapphirefield/netpeek"
)

const (
	// lingerTime and lingerBytes bound the wait for a client that is still sending when
	// its connection is closed: the kernel would drop the answer with the unread bytes.
	lingerTime   = 2 * time.Second
	lingerBytes  = 8 << 20
	lingerBuffer = 4 << 10
)

// Close closes the connection. If its client is still sending, it closes only the sending
// side at first, so that the last answer reaches the client.
func (c *trackedConn) Close() error {
	if !c.mustLinger() {
		defer c.slot.Close()
		return c.Conn.Close()
	}
	c.slot.SetPhase(connlimit.Refused)
	go c.linger()
	return nil
}

// mustLinger reports whether the client has not sent all of what is answered already.
func (c *trackedConn) mustLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering || c.givenUp && !c.refused && !c.handled {
		return false
	}
	// What follows a request without a body is another request. The client may send that
	// again elsewhere as long as it is not read.
	c.lingering = c.refused || c.active && (!c.handled || c.hasBody && netpeek.Peek(c.Conn) == netpeek.HasData)
	return c.lingering
}

// linger reads what the client still sends until it closes its side.
func (c *trackedConn) linger() {
	defer c.slot.Close()
	defer c.Conn.Close()
	if !closeWrite(c.Conn) || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	buffer := make([]byte, lingerBuffer)
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		left -= n
	}
}

// closeWrite closes the sending side of a connection and reports whether it could.
func closeWrite(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var shutdownErr error
	err = control.Control(func(fd uintptr) { shutdownErr = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	return err == nil && shutdownErr == nil
}
