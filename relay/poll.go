package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// pollInterval is how often the lease holder asks all engines for their status.
	// Each query costs the engine time, so only one entry does it.
	pollInterval = 2 * time.Second
	// concurrentPolls is the number of engines asked in parallel.
	concurrentPolls = 8
)

// pollEngines asks all engines for their status while this entry holds the
// lease. Slowdowns relative to the configuration are sent to the other entries
// in the usage messages.
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
	group := errgroup.Group{}
	group.SetLimit(concurrentPolls)
	var unresponsive serverSet
	polled := 0
	for id, s := range p.fleet.snapshot() {
		if rev.models[s.Service] == nil || p.fleet.lostFor(now, id) > 0 || p.fleet.isPaused(now, id) || p.fleet.isLimited(id) {
			continue
		}
		polled++
		group.Go(func() error {
			if !p.pollEngine(ctx, s) {
				unresponsive.add(id)
			}
			return nil
		})
	}
	_ = group.Wait() // pollEngine logs failures
	if ctx.Err() == nil && float64(len(unresponsive.ids)) <= maxSilentFraction*float64(polled) {
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
const maxStatedSlowdown = condition.SilentSlowdown / 2

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
