package sidecar

import (
	"net/http"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/ratelimit"
	"github.com/sapphirefield/sapphirefield/retry"
	"github.com/sapphirefield/sapphirefield/wire"
)

// headerRateLimit is the header of a backend server's responses with the number of new
// requests per second that it takes. All entries reach the server through this sidecar,
// so the limit need not be divided among them.
const headerRateLimit = "Rate-Limit"

// serverNotice is what a response of the backend server says about the server itself.
type serverNotice struct {
	// rate is the rate limit, 0 for none; err is set if it could not be read.
	rate float64
	err  error
	// pause is how long the server wants no new work.
	pause time.Duration
}

func parseServerNotice(status int, header http.Header) serverNotice {
	var n serverNotice
	n.rate, n.err = ratelimit.ParseRate(header.Get(headerRateLimit))
	if status == http.StatusServiceUnavailable {
		n.pause = retry.ParseAfter(time.Now(), header.Get("Retry-After"))
	}
	return n
}

// observeResponse evaluates what a response of the backend server to a request sent at a
// given time says about the server itself.
func (s *Server) observeResponse(resp *http.Response, sentAt time.Time) {
	n := parseServerNotice(resp.StatusCode, resp.Header)
	if n.err != nil {
		logevent.Write(s.opts.Logger, logevent.RateLimitUnreadable).Str("server", s.opts.ID).Str("limit", resp.Header.Get(headerRateLimit)).Msg("")
	}
	if n.pause > 0 {
		logevent.Write(s.opts.Logger, logevent.ServerPaused).Str("server", s.opts.ID).Str("retry_after", resp.Header.Get("Retry-After")).
			Dur("pause_ms", n.pause).Msg("")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends.down = false
	s.applyServerNotice(n, sentAt)
}

// applyServerNotice must be called with the lock held.
func (s *Server) applyServerNotice(n serverNotice, sentAt time.Time) {
	now := time.Now()
	if until := now.Add(n.pause); n.pause > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	if n.err != nil {
		return
	}
	switch s.limits.ObserveAnswer(now, s.opts.ID, 0, sentAt, n.rate) {
	case ratelimit.Stated:
		logevent.Write(s.opts.Logger, logevent.RateLimitStated).Str("server", s.opts.ID).Float64("limit", n.rate).Float64("share", n.rate).Msg("")
	case ratelimit.Lifted:
		logevent.Write(s.opts.Logger, logevent.RateLimitLifted).Str("server", s.opts.ID).Msg("")
	}
}

// refuseForServer refuses an attempt that the ledger has accepted if the server has asked
// for a pause or its rate limit leaves no room, and reports whether it did. A copy of an
// accepted attempt does not get here, so it is not refused while the first one runs. It
// must be called with the lock held.
func (s *Server) refuseForServer(entry string, key attempt.Key, now time.Time) bool {
	if !now.Before(s.pausedUntil) {
		if _, ok := s.limits.Take(now, s.opts.ID, 0); ok {
			return false
		}
	}
	s.ledger.MarkNotExecuted(key, now)
	s.refuse(entry, key, wire.RefusalReason_REFUSAL_OVERLOADED)
	return true
}
