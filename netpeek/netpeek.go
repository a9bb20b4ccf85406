// Package netpeek looks at the unread bytes of a connection without reading them.
package netpeek

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// State is what a read from a connection would find.
type State int

// The states of a connection.
const (
	// Quiet means that the connection is open and has no unread bytes.
	Quiet State = iota + 1
	// HasData means that there are unread bytes.
	HasData
	// Ended means that the peer has closed the connection, or that it is broken.
	Ended
	// Unknown means that the connection has no socket that can be looked at.
	Unknown
)

// Peek returns the state of a connection. It does not wait. A connection that is broken has
// ended, also if there are unread bytes before that.
//
// The error of a reset is left for the read that follows: a system tells it once, and whoever
// asks second finds the end of the connection, as after a close in order.
func Peek(conn net.Conn) State {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	// Control is used because Read fails on a connection whose deadline has passed.
	err = control.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Ended
	}
	return state
}

func peek(fd int) State {
	events, err := poll(fd, unix.POLLIN|unix.POLLRDHUP)
	switch {
	case err != nil || events&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0:
		return Ended
	case events == 0:
		return Quiet
	}
	// There are bytes, or the peer has closed its side in order: no later reset shows here.
	var one [1]byte
	n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return Quiet
	case err == nil && n > 0:
		return HasData
	}
	return Ended
}
