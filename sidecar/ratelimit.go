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

// observeRateLimit evaluates the rate limit, or none, in a response to a request sent at
// a given time.
func (s *Server) observeRateLimit(header http.Header, sentAt time.Time) {
	text := header.Get(headerRateLimit)
	rate, err := ratelimit.ParseRate(text)
	if err != nil {
		logevent.Write(s.opts.Logger, logevent.RateLimitUnreadable).Str("server", s.opts.ID).Str("limit", text).Msg("")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.limits.ObserveAnswer(time.Now(), s.opts.ID, 0, sentAt, rate) {
	case ratelimit.Stated:
		logevent.Write(s.opts.Logger, logevent.RateLimitStated).Str("server", s.opts.ID).Float64("limit", rate).Float64("share", rate).Msg("")
	case ratelimit.Lifted:
		logevent.Write(s.opts.Logger, logevent.RateLimitLifted).Str("server", s.opts.ID).Msg("")
	}
}

// observeResponse evaluates what a response of the backend server says about the server
// itself.
func (s *Server) observeResponse(resp *http.Response, sentAt time.Time) {
	s.serverAnswered()
	s.observeRateLimit(resp.Header, sentAt)
	if resp.StatusCode != http.StatusServiceUnavailable {
		return
	}
	text := resp.Header.Get("Retry-After")
	pause := retry.ParseAfter(time.Now(), text)
	if pause == 0 {
		return
	}
	logevent.Write(s.opts.Logger, logevent.ServerPaused).Str("server", s.opts.ID).Str("retry_after", text).Dur("pause_ms", pause).Msg("")
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(pause); until.After(s.pausedUntil) {
		s.pausedUntil = until
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
