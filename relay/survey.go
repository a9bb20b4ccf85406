package relay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// surveyInterval is how often the holder of the lease asks all engines for
	// their state. Each question has a price, so only one entry asks.
	surveyInterval = 2 * time.Second
	// concurrentReports is the number of engines asked at once.
	concurrentReports = 8
)

// survey asks all engines for their state while this entry holds the lease, and
// passes what differs from the configuration on with the messages about usage.
func (p *placer) survey(ctx context.Context) {
	now := time.Now()
	if now.Sub(p.surveyed) < surveyInterval {
		return
	}
	p.surveyed = now
	rev := p.current.Load()
	if rev == nil {
		return
	}
	group := errgroup.Group{}
	group.SetLimit(concurrentReports)
	var silent serverSet
	asked := 0
	for id, s := range p.fleet.snapshot() {
		if rev.models[s.Service] == nil || p.fleet.lostFor(now, id) > 0 {
			continue
		}
		asked++
		group.Go(func() error {
			if !p.surveyOne(ctx, s) {
				silent.add(id)
			}
			return nil
		})
	}
	_ = group.Wait() // reports log their own failures
	if ctx.Err() == nil && float64(len(silent.ids)) <= mostSilent*float64(asked) {
		for _, id := range silent.ids {
			p.fleet.lose(time.Now(), id)
		}
	}
}

// mostSilent is the part of the engines up to which silence is taken as theirs.
// When more are silent at once, this entry is more likely cut off itself.
const mostSilent = 0.25

// serverSet collects servers from several goroutines.
type serverSet struct {
	mu  sync.Mutex
	ids []string
}

func (s *serverSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids = append(s.ids, id)
}

// surveyOne asks one engine and tells whether it answered.
func (p *placer) surveyOne(ctx context.Context, s Server) bool {
	report, err := p.engines.Status(ctx, s.Address)
	if err != nil {
		logevent.Write(p.logger, logevent.EngineStatusMissing).Str("server", s.ID).Str("cause", err.Error()).Msg("")
		return false
	}
	p.fleet.setSlowdown(s.ID, report.Slowdown)
	logevent.Write(p.logger, logevent.EngineStatusReceived).Str("server", s.ID).Int("first", report.Layers.First).
		Int("limit", report.Layers.Limit).Bool("busy", report.Busy).Int("waiting", report.Waiting).Int("running", report.Running).
		Float64("used", report.UsedTokens).Float64("total", report.TotalTokens).Float64("slowdown", report.Slowdown).
		Strs("stalled", stalledAddresses(report)).Msg("")
	return true
}
