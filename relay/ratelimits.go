package relay

import (
	"github.com/sapphirefield/sapphirefield/logevent"
)

// observeRateLimit logs a change of the rate limit that a server states.
func (e *Entry) observeRateLimit(server, request, text string) {
	if !e.fleet.recordStatedLimit(server, text) {
		return
	}
	event := logevent.RateLimitStated
	if text == "" {
		event = logevent.RateLimitLifted
	}
	logevent.Write(e.logger, event).Str("server", server).Str("request", request).Str("limit", text).Msg("")
}

// recordStatedLimit stores the rate limit that a server states in a response, or "",
// and reports whether it has changed.
func (f *fleet) recordStatedLimit(id, text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.statedLimits[id] == text {
		return false
	}
	if text == "" {
		delete(f.statedLimits, id)
	} else {
		f.statedLimits[id] = text
	}
	return true
}
