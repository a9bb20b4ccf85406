package relay

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/retry"
)

const (
	// pauseSpread is the fraction of a pause, and maxPauseSpread the time, over which
	// the entries return to the server, so that its load does not come back at once.
	pauseSpread    = 0.25
	maxPauseSpread = 2 * time.Second
)

// observeResponse evaluates what a server's response says about the server itself.
func (e *Entry) observeResponse(server, request string, x *exchange) {
	e.fleet.recordAnswer(server)
	if x.info.StatesLoad {
		e.fleet.recordLoad(time.Now(), server, x.info.Load)
	}
	if x.info.Leaving && e.fleet.markLeaving(time.Now(), server) {
		logevent.Write(e.logger, logevent.ServerSaidLeaving).Str("server", server).Str("request", request).Msg("")
	}
	e.observeRateLimit(server, request, x.info.RateLimit, x.sentAt)
	if x.response.StatusCode != http.StatusServiceUnavailable || x.info.RetryAfter == "" {
		return
	}
	pause := retry.ParseAfter(time.Now(), x.info.RetryAfter)
	e.fleet.pauseServer(time.Now(), server, pause)
	if e.logLimiter.allow(time.Now()) {
		logevent.Write(e.logger, logevent.ServerPaused).Str("server", server).Str("request", request).
			Str("retry_after", x.info.RetryAfter).Dur("pause_ms", pause).Msg("")
	}
}

// markLeaving records that a server has said itself that it is about to stop. It
// reports whether that was not known before.
func (f *fleet) markLeaving(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.membership.Observe(now, id, membership.Draining)
	return f.conditions.MarkLeaving(now, id)
}

// isLeaving reports whether a server is about to stop.
func (f *fleet) isLeaving(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conditions.IsLeaving(id)
}

// pauseServer keeps everything from a server for a time and a random part of it.
func (f *fleet) pauseServer(now time.Time, id string, pause time.Duration) {
	if pause <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	spread := min(time.Duration(pauseSpread*float64(pause)), maxPauseSpread)
	until := now.Add(pause + time.Duration(f.random.Float64()*float64(spread)))
	f.conditions.Pause(id, until)
}

// isPaused reports whether a server has asked to be left alone.
func (f *fleet) isPaused(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conditions.Against(now, id, condition.Control) == condition.Paused
}

// pauseLeft returns the time until the first paused server of a service returns, or 0
// if none is paused.
func (f *fleet) pauseLeft(now time.Time, service string) (left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.byService[service] {
		if d := f.conditions.PausedUntil(id).Sub(now); d > 0 && (left == 0 || d < left) {
			left = d
		}
	}
	return left
}

// errServerPaused means that nothing was sent because the server has asked to be left
// alone.
var errServerPaused = errors.New("the server has asked for a pause")
