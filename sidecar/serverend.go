package sidecar

import (
	"context"
	"net"
	"net/url"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/netpeek"
	"github.com/sapphirefield/sapphirefield/wire"
)

// endProbeTimeout bounds the connection that shows whether the backend server still
// runs. It is on the same machine.
const endProbeTimeout = 100 * time.Millisecond

// serverEnds counts how often the backend server has ended.
type serverEnds struct {
	number uint64
	// down is set from an end until the server has answered again, and at is when the end
	// was noticed.
	down bool
	at   time.Time
}

// endNotice is how long after a server has ended all that was in progress has noticed it.
const endNotice = 2 * endProbeTimeout

// isNew reports whether an exchange that began at a time, which may not be known, was ended
// by another process of the server than the one that ended last.
func (e serverEnds) isNew(began time.Time) bool {
	return !e.down || began.Sub(e.at) > endNotice
}

// failureReason returns the reason of a failed exchange with the backend server, which
// began at a time or, for the work of an engine, at the zero time. It
// tells the entries whether the server has ended, which the work in progress may have
// caused; if it has not, the reason is otherwise.
func (s *Server) failureReason(ctx context.Context, began time.Time, cause error, otherwise string) string {
	if !netpeek.IsConnectionEnd(cause) || s.backendAccepts(ctx) {
		return otherwise
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.ServerEndedReason(s.countEnd(began), cause.Error())
}

// countEnd counts an end of the server and returns its number. It must be called with the
// lock held.
func (s *Server) countEnd(began time.Time) uint64 {
	if s.ends.isNew(began) {
		s.ends = serverEnds{number: s.ends.number + 1, down: true, at: time.Now()}
	}
	return s.ends.number
}

// withdrawnProbeDelay is how long after a call was withdrawn the server is asked whether it
// still runs.
const withdrawnProbeDelay = 150 * time.Millisecond

// reportEndUnderWithdrawn tells the entry if the server turns out to have ended under a call
// that was withdrawn. The call's connection, whose end would have shown that, was closed.
func (s *Server) reportEndUnderWithdrawn(c *call) {
	timer := time.NewTimer(withdrawnProbeDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.background.Done():
		return
	}
	if s.backendAccepts(s.background) || s.background.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := wire.ServerEndedReason(s.countEnd(c.startedAt), "the call was withdrawn")
	s.sendToEntry(c.entry, failedFrame(c.key, attempt.ExecutedUnknown, reason))
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
