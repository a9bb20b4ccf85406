// Package netpeek looks at the unread bytes of a connection without reading them.
package netpeek

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
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

// Peek returns the state of a connection. It does not wait.
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
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(recvErr, syscall.EAGAIN):
			state = Quiet
		case recvErr == nil && n > 0:
			state = HasData
		}
	})
	if err != nil {
		return Ended
	}
	return state
}
