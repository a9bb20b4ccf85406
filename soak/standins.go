package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// server is a stand-in server that faults can crash or drain.
type server interface {
	Crash()
	StartDraining()
	StartLeaving()
	SetPause(d time.Duration)
	SetRateLimit(rate float64)
	Disruptions() *platformtest.Disruptions
}

// standIn is a stand-in server and the proxy through which entries reach it.
type standIn[S server] struct {
	server S
	proxy  *proxy
	// startReplacement starts another server of the same kind.
	startReplacement func() error
}

// standIns are the servers of one kind that faults may be injected into.
type standIns[S server] []*standIn[S]

// startStandIn starts a server behind a proxy. start receives a function that
// maps the server's own address to the proxy address to register.
func startStandIn[S server](r *soakRun, list *standIns[S], start func(publicAddress func(string) string) (S, error)) error {
	var p *proxy
	var proxyErr error
	s, err := start(func(address string) string {
		if p, proxyErr = newProxy(address); proxyErr != nil {
			return address
		}
		return p.address()
	})
	if err != nil || proxyErr != nil {
		return errors.Errorf("start stand-in server: server error %v, proxy error %v", err, proxyErr)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, &standIn[S]{s, p, func() error { return startStandIn(r, list, start) }})
	return nil
}

// stop ends all servers and their proxies.
func (m standIns[S]) stop() {
	for _, s := range m {
		s.stop()
	}
}

func (m *standIn[S]) stop() {
	m.server.Crash()
	m.proxy.close()
}

// pickStandIn returns a random server and leaves it in the list.
func pickStandIn[S server](r *soakRun, list *standIns[S], random *rand.Rand) *standIn[S] {
	r.mu.Lock()
	defer r.mu.Unlock()
	return (*list)[random.IntN(len(*list))]
}

// takeStandIn returns a random server and removes it from the list, unless it is
// the last one.
func takeStandIn[S server](r *soakRun, list *standIns[S], random *rand.Rand) *standIn[S] {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := random.IntN(len(*list))
	m := (*list)[i]
	if len(*list) > 1 {
		*list = append((*list)[:i:i], (*list)[i+1:]...)
	}
	return m
}

// crashAndReplace crashes a server and starts a replacement after downtime.
func crashAndReplace[S server](ctx context.Context, r *soakRun, m *standIn[S], downtime time.Duration) {
	m.server.Crash()
	sleep(ctx, downtime)
	m.proxy.close()
	r.checkStarted(m.startReplacement())
}

// drainAndReplace starts a replacement, then drains and stops the server.
func drainAndReplace[S server](ctx context.Context, r *soakRun, m *standIn[S], extraDrain time.Duration) {
	r.checkStarted(m.startReplacement())
	m.server.StartDraining()
	sleep(ctx, drainDuration+extraDrain)
	m.stop()
}

// leaveAndReplace starts a replacement, then lets the server say in its answers alone
// that it is leaving, and stops it.
func leaveAndReplace[S server](ctx context.Context, r *soakRun, m *standIn[S], extraDrain time.Duration) {
	r.checkStarted(m.startReplacement())
	m.server.StartLeaving()
	sleep(ctx, drainDuration+extraDrain)
	m.stop()
}

// pauseServer lets a server refuse requests and ask for a pause.
func pauseServer(ctx context.Context, s server, d time.Duration) {
	s.SetPause(d)
	sleep(ctx, d)
	s.SetPause(0)
}

const (
	// minStatedRate and maxStatedRate bound the limits that servers state, in requests
	// per second. limitDurations is how much longer than other faults they stand: the
	// check looks at several seconds.
	minStatedRate, maxStatedRate = 0.5, 5.0
	limitDurations               = 4
)

// limitRate lets a server state a rate limit.
func limitRate(ctx context.Context, s server, random *rand.Rand, d time.Duration) {
	s.SetRateLimit(minStatedRate + random.Float64()*(maxStatedRate-minStatedRate))
	sleep(ctx, limitDurations*d)
	s.SetRateLimit(0)
}
