package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// pollInterval is how often the lease holder asks engines for their status. Each
	// query costs the engine time, so only one entry does it.
	pollInterval = 2 * time.Second
	// concurrentPolls is the number of engines asked in parallel.
	concurrentPolls = 8
	// maxPolled is the number of engines that are asked at a time. With more, half of
	// the queries go to engines that carry load or were slow, and half to all others by
	// turns.
	maxPolled = 160
)

// pollEngines asks engines for their status while this entry holds the lease.
// Slowdowns relative to the configuration are sent to the other entries in the usage
// messages.
func (p *placer) pollEngines(ctx context.Context) {
	now := time.Now()
	if now.Sub(p.lastPolled) < pollInterval {
		return
	}
	p.lastPolled = now
	rev := p.current.Load()
	if rev == nil {
		return
	}
	servers := p.fleet.snapshot()
	polled := p.pollTurns.next(p.pollable(now, rev, servers), func(id string) bool { return p.fleet.isWatched(now, id) }, maxPolled)
	group := errgroup.Group{}
	group.SetLimit(concurrentPolls)
	var unresponsive serverSet
	for _, id := range polled {
		group.Go(func() error {
			if !p.pollEngine(ctx, servers[id]) {
				unresponsive.add(id)
			}
			return nil
		})
	}
	_ = group.Wait() // pollEngine logs failures
	if ctx.Err() == nil && float64(len(unresponsive.ids)) <= maxSilentFraction*float64(len(polled)) {
		for _, id := range unresponsive.ids {
			// Its status queries may hang while it serves requests.
			if !p.fleet.workedSince(now, id) {
				p.loseEngine(id, errNoStatus)
			}
		}
	}
}

// maxStatedSlowdown bounds the slowdown that an engine states of itself. More would mean
// that it does not answer requests.
const maxStatedSlowdown = condition.UnansweredSlowdown / 2

// pollable returns the engines that may be asked for their status.
func (p *placer) pollable(now time.Time, rev *revision, servers map[string]Server) (ids []string) {
	for id, s := range servers {
		if rev.models[s.Service] != nil && p.fleet.lostFor(now, id) == 0 && !p.fleet.isPaused(now, id) && !p.fleet.isLimited(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// pollTurns remembers whose turn it is to be asked: the engines after the last ones.
type pollTurns struct {
	lastWatched, last string
}

// next returns the engines to ask now, at most a number of them. It answers a fleet of
// which requests use a small part: what is known of engines in use has to be recent, and
// all others are still asked at times, because they may be slow when they are needed.
func (t *pollTurns) next(ids []string, isWatched func(id string) bool, limit int) []string {
	if len(ids) <= limit {
		return ids
	}
	slices.Sort(ids)
	var watched, others []string
	for _, id := range ids {
		if isWatched(id) {
			watched = append(watched, id)
		} else {
			others = append(others, id)
		}
	}
	// What one part does not need is left to the other.
	forWatched := min(len(watched), max(limit/2, limit-len(others)))
	chosen := append(takeAfter(watched, t.lastWatched, forWatched), takeAfter(others, t.last, limit-forWatched)...)
	if forWatched > 0 {
		t.lastWatched = chosen[forWatched-1]
	}
	if len(chosen) > forWatched {
		t.last = chosen[len(chosen)-1]
	}
	return chosen
}

// takeAfter returns up to n of some sorted IDs: those after a given one, then the first.
func takeAfter(ids []string, last string, n int) []string {
	start, found := slices.BinarySearch(ids, last)
	if found {
		start++
	}
	taken := make([]string, 0, n)
	for i := range min(n, len(ids)) {
		taken = append(taken, ids[(start+i)%len(ids)])
	}
	return taken
}

var errNoStatus = errors.New("engine did not report its status")

// maxSilentFraction is the largest fraction of silent engines that are marked
// as lost. If more are silent at once, this entry itself is probably
// disconnected.
const maxSilentFraction = 0.25

// serverSet collects server IDs from several goroutines.
type serverSet struct {
	mu  sync.Mutex
	ids []string
}

func (s *serverSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids = append(s.ids, id)
}

// pollEngine asks one engine and reports whether it responded.
func (p *placer) pollEngine(ctx context.Context, s Server) bool {
	status, err := p.engines.Status(ctx, s.Address)
	if err != nil {
		logevent.Write(p.logger, logevent.EngineStatusMissing).Str("server", s.ID).Str("cause", err.Error()).Msg("")
		return false
	}
	p.fleet.setSlowdown(s.ID, min(status.Slowdown, maxStatedSlowdown))
	if status.Leaving && p.fleet.markLeaving(time.Now(), s.ID) {
		logevent.Write(p.logger, logevent.ServerSaidLeaving).Str("server", s.ID).Msg("")
	}
	logevent.Write(p.logger, logevent.EngineStatusReceived).Str("server", s.ID).Int("first", status.Layers.First).
		Int("limit", status.Layers.Limit).Bool("busy", status.Busy).Int("waiting", status.Waiting).Int("running", status.Running).
		Float64("used", status.UsedTokens).Float64("total", status.TotalTokens).Float64("slowdown", status.Slowdown).
		Strs("stalled", stalledAddresses(status)).Msg("")
	return true
}
