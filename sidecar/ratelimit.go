package sidecar

import (
	"net/http"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/ratelimit"
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

// refuseForRateLimit refuses an attempt that the ledger has accepted if the server's
// rate limit leaves no room for it, and reports whether it did. A copy of an accepted
// attempt does not get here, so it is not refused while the first one runs. It must be
// called with the lock held.
func (s *Server) refuseForRateLimit(entry string, key attempt.Key, now time.Time) bool {
	if _, ok := s.limits.Take(now, s.opts.ID, 0); ok {
		return false
	}
	s.ledger.MarkNotExecuted(key, now)
	s.refuse(entry, key, wire.RefusalReason_REFUSAL_OVERLOADED)
	return true
}
