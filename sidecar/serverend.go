package sidecar

import (
	"context"
	"io"
	"net"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/wire"
)

// endProbeTimeout bounds the connection that shows whether the backend server still
// runs. It is on the same machine.
const endProbeTimeout = 100 * time.Millisecond

// serverEnds counts how often the backend server has ended.
type serverEnds struct {
	number uint64
	// down is set from an end until the server has answered again.
	down bool
}

// failureReason returns the reason of a failed exchange with the backend server. It
// tells the entries whether the server has ended, which the work in progress may have
// caused.
func (s *Server) failureReason(ctx context.Context, cause error) string {
	if !connectionEnded(cause) || s.backendAccepts(ctx) {
		return cause.Error()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ends.down {
		s.ends = serverEnds{number: s.ends.number + 1, down: true}
	}
	return wire.ServerEndedReason(s.ends.number, cause.Error())
}

// serverAnswered records that the backend server runs.
func (s *Server) serverAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends.down = false
}

// connectionEnded reports whether an exchange failed because the server's side of the
// connection ended, as it does when the server crashes.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// backendAccepts reports whether the backend server accepts a connection.
func (s *Server) backendAccepts(ctx context.Context) bool {
	backend, err := url.Parse(s.opts.Backend)
	if err != nil {
		return false
	}
	address := backend.Host
	if backend.Port() == "" {
		address = net.JoinHostPort(backend.Host, "80")
	}
	ctx, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	dial := s.opts.DialBackend
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
