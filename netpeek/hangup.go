package netpeek

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// HungUp reports whether the peer has closed its sending side or broken the connection,
// also if there are unread bytes before that. It does not wait.
func HungUp(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := true
	// Control fails on a closed connection only.
	_ = control.Control(func(fd uintptr) { hungUp = hasHungUp(fd) })
	return hungUp
}

// AwaitHangUp waits until HungUp is true, or until the connection's read deadline or its
// end. It holds the connection's lock for reads, and reads nothing.
func AwaitHangUp(raw syscall.RawConn) error { return raw.Read(hasHungUp) }

func hasHungUp(fd uintptr) bool {
	events, err := poll(int(fd), unix.POLLRDHUP)
	// If it fails, the end of the connection shows only once all bytes are read.
	return err == nil && events != 0
}

// poll returns which of some events a socket shows now, and errors and hang-ups in any case.
// It changes nothing on the socket.
func poll(fd int, events int16) (int16, error) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		_, err := unix.Poll(fds, 0)
		// A signal of the runtime interrupts the call although it does not wait.
		if !errors.Is(err, unix.EINTR) {
			return fds[0].Revents, err
		}
	}
}
