package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
	"github.com/sapphirefield/sapphirefield/ratelimit"
)

const (
	// maxLimitWait is how long a unary request waits for its turn at a server that
	// states a rate limit, and maxLimitWaitFraction the same as a fraction of the time
	// that the client has. A short wait is better than a refusal.
	maxLimitWait         = 100 * time.Millisecond
	maxLimitWaitFraction = 1.0 / 3
	// maxLimitRetryAfter bounds the Retry-After time while servers state rate limits:
	// a client that returns through another entry finds a free slot sooner.
	maxLimitRetryAfter = 3 * time.Second
)

// observeRateLimit evaluates the rate limit, or none, that a server has stated in its
// response to a request sent at a given time.
func (e *Entry) observeRateLimit(server, request, text string, sentAt time.Time) {
	rate, err := ratelimit.ParseRate(text)
	if err != nil {
		if e.logLimiter.allow(time.Now()) {
			logevent.Write(e.logger, logevent.RateLimitUnreadable).Str("server", server).Str("limit", text).Msg("")
		}
		return
	}
	change, share := e.fleet.observeRateLimit(time.Now(), server, sentAt, rate)
	e.logRateLimit(change, server, rate, share, "request "+request)
}

// logRateLimit logs a change of a limit. share is the part of this entry in requests
// per second.
func (e *Entry) logRateLimit(change ratelimit.Change, server string, rate, share float64, source string) {
	switch change {
	case ratelimit.Stated:
		logevent.Write(e.logger, logevent.RateLimitStated).Str("server", server).Float64("limit", rate).Float64("share", share).Str("source", source).Msg("")
	case ratelimit.Lifted:
		logevent.Write(e.logger, logevent.RateLimitLifted).Str("server", server).Str("source", source).Msg("")
	}
}

// applyPeerLimits applies the limits that servers have stated to another entry.
func (e *Entry) applyPeerLimits(sender string, reports []ratelimit.Report) {
	for _, r := range reports {
		server, change, share := e.fleet.applyPeerLimit(time.Now(), r)
		e.logRateLimit(change, server, r.Rate, share, "entry "+sender)
	}
}

// setLimitShare sets this entry's part of all rate limits.
func (f *fleet) setLimitShare(now time.Time, s ratelimit.Share) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.Limits.SetShare(now, s)
	f.limitShare = s
}

// observeRateLimit returns what has changed, and this entry's part of the rate.
func (f *fleet) observeRateLimit(now time.Time, id string, sentAt time.Time, rate float64) (ratelimit.Change, float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.servers[id]; !known || rate == 0 && !f.conditions.Limits.Limited(id) {
		return ratelimit.Unchanged, 0
	}
	return f.conditions.Limits.ObserveAnswer(now, id, f.processHash(id), sentAt, rate), rate / float64(max(f.limitShare.Entries, 1))
}

// applyPeerLimit returns the server of a report and what has changed.
func (f *fleet) applyPeerLimit(now time.Time, r ratelimit.Report) (id string, change ratelimit.Change, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byProcess == nil {
		f.byProcess = make(map[uint64]string, len(f.servers))
		for id := range f.servers {
			f.byProcess[f.processHash(id)] = id
		}
	}
	id, known := f.byProcess[r.Process]
	if !known {
		return "", ratelimit.Unchanged, 0
	}
	return id, f.conditions.Limits.ObserveReport(now, id, r), r.Rate / float64(max(f.limitShare.Entries, 1))
}

// processHash identifies the current process of a server for the other entries.
func (f *fleet) processHash(id string) uint64 {
	return crashedEngine{id, f.servers[id].StartTimeMillis}.hash()
}

// limitReports returns what the other entries are told of rate limits.
func (f *fleet) limitReports(now time.Time) []ratelimit.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conditions.Limits.Reports(now)
}

// slotWant is what another entry needs slots for.
type slotWant struct {
	processes []uint64
	at        time.Time
}

// wantSlots records that a request found no room at the servers of a service.
func (f *fleet) wantSlots(now time.Time, service string) {
	if f.conditions.Limits.Servers() == 0 {
		return
	}
	for _, id := range f.byService[service] {
		if f.conditions.Limits.Wait(now, id) > 0 {
			f.conditions.Limits.Want(now, id)
		}
	}
}

// slotExchange returns what the next message says of slots at servers with rate limits:
// where this entry needs more, and those that it leaves to others.
func (f *fleet) slotExchange(now time.Time) (wants []uint64, gifts []ratelimit.Gift) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conditions.Limits.Servers() == 0 {
		return nil, nil
	}
	others := make(map[uint64][]uint64, len(f.slotWants))
	for entry, w := range f.slotWants {
		if now.Sub(w.at) > messageTTL {
			delete(f.slotWants, entry)
			continue
		}
		others[entry] = w.processes
	}
	return f.conditions.Limits.Wants(now), f.conditions.Limits.Give(now, others)
}

// applyPeerSlots applies what another entry's message says of slots. from and self
// identify the processes of the two entries.
func (f *fleet) applyPeerSlots(now time.Time, from, self uint64, m message) {
	if len(m.wants)+len(m.gifts) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slotWants[from] = slotWant{m.wants, now}
	f.conditions.Limits.Accept(now, from, self, m.gifts)
}

// isLimited reports whether a server states a rate limit.
func (f *fleet) isLimited(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conditions.Limits.Limited(id)
}

// takeSlot uses a slot at a server if it states a rate limit, and reports whether a
// request may be sent now.
func (f *fleet) takeSlot(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.conditions.Limits.Take(now, id, 0)
	return ok
}

// chargeSlot counts a request that is sent in any case.
func (f *fleet) chargeSlot(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.Limits.Charge(now, id)
}

// limitWait returns the time until some server of a service with a rate limit takes
// another request of this entry, or 0 if none has one.
func (f *fleet) limitWait(now time.Time, service string) (wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conditions.Limits.Servers() == 0 {
		return 0
	}
	for _, id := range f.byService[service] {
		if !f.conditions.Limits.Limited(id) {
			continue
		}
		if w := f.conditions.Limits.Wait(now, id); wait == 0 || w < wait {
			wait = w
		}
	}
	return wait
}

// errServerLimited means that nothing was sent because the server states a rate limit
// that leaves no room now.
var errServerLimited = errors.New("the server's rate limit leaves no room")

// controlClient sends control requests only to engines that accept them: to none
// that has asked for a pause, and no more than their rate limits allow. It evaluates
// the limits that engines state in their responses.
type controlClient struct {
	EngineClient
	entry *Entry
	// sent counts the control requests.
	sent metrics.Counter
}

// permit returns an error if the engine at an address must not get a control request
// now.
func (c *controlClient) permit(now time.Time, address string) error {
	server, known := c.entry.fleet.byAddress(address)
	switch {
	case !known:
		return nil
	case c.entry.fleet.isPaused(now, server.ID):
		return errServerPaused
	case !c.entry.fleet.takeSlot(now, server.ID):
		return errServerLimited
	}
	return nil
}

func (c *controlClient) Status(ctx context.Context, address string) (EngineStatus, error) {
	sentAt := time.Now()
	if err := c.permit(sentAt, address); err != nil {
		return EngineStatus{}, err
	}
	c.sent.Inc(1)
	status, err := c.EngineClient.Status(ctx, address)
	if server, known := c.entry.fleet.byAddress(address); err == nil && known {
		c.entry.observeRateLimit(server.ID, "for the status", status.RateLimit, sentAt)
	}
	return status, err
}

// AssignLayers sends an order. For an engine that states a rate limit it follows a status
// query, which has used the slot of both, and what comes next waits longer.
func (c *controlClient) AssignLayers(ctx context.Context, server Server, r placement.Range, orders int64) (OrderOutcome, error) {
	if c.entry.fleet.isPaused(time.Now(), server.ID) {
		return OrderPaused, errServerPaused
	}
	c.entry.fleet.chargeSlot(time.Now(), server.ID)
	c.sent.Inc(1)
	return c.EngineClient.AssignLayers(ctx, server, r, orders)
}

func (c *controlClient) Reroute(ctx context.Context, head Server, id string, path []pipeline.Hop) (OrderOutcome, error) {
	if err := c.permit(time.Now(), head.Address); err != nil {
		return OrderPaused, err
	}
	c.sent.Inc(1)
	return c.EngineClient.Reroute(ctx, head, id, path)
}
