package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// stallResultTTL is how long an engine's answer about what it waits for counts.
	// All streams that begin at the engine share it.
	stallResultTTL = 60 * time.Millisecond
	// stallTimeout bounds the wait for that answer. An engine that works answers
	// within a few milliseconds.
	stallTimeout = 60 * time.Millisecond
	// maxLocalDelay is how much later than planned a question may end before the delay
	// counts as this process's own, which says nothing about the engine.
	maxLocalDelay = 15 * time.Millisecond
)

// errInconclusive means that this process was too slow to judge an engine.
var errInconclusive = errors.New("this process was held up")

// stallChecker asks engines which other engines their work waits for.
type stallChecker struct {
	engines   Engines
	logger    *log.Logger
	mu        sync.Mutex
	byAddress map[string]*stallQuery
}

// stallQuery is an engine's last answer. done is closed once it is there.
type stallQuery struct {
	startedAt time.Time
	done      chan struct{}
	stalled   []string // addresses, each once
	err       error
}

func newStallChecker(engines Engines, logger *log.Logger) *stallChecker {
	return &stallChecker{engines: engines, logger: logger, byAddress: map[string]*stallQuery{}}
}

// stalledEngines returns the addresses of engines for which work that begins at an address waits. Calls
// for the same address share one question.
func (s *stallChecker) stalledEngines(ctx context.Context, address string) ([]string, error) {
	s.mu.Lock()
	a := s.byAddress[address]
	if a == nil || time.Since(a.startedAt) > stallResultTTL && isClosed(a.done) {
		a = &stallQuery{startedAt: time.Now(), done: make(chan struct{})}
		s.byAddress[address] = a
		go s.query(a, address)
	}
	s.mu.Unlock()
	select {
	case <-a.done:
		return a.stalled, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// query ends by itself after stallTimeout; it is not tied to one stream,
// because several wait for it.
func (s *stallChecker) query(a *stallQuery, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), stallTimeout)
	defer cancel()
	report, err := s.engines.Report(ctx, address)
	a.stalled, a.err = stalledAddresses(report), err
	if err != nil && time.Since(a.startedAt) > stallTimeout+maxLocalDelay {
		a.err = errInconclusive
	}
	close(a.done)
	logevent.Write(s.logger, logevent.StallAsked).Str("address", address).Strs("stalled", a.stalled).
		Dur("took_ms", time.Since(a.startedAt)).AnErr("cause", a.err).Msg("")
}

// stalledAddresses returns the engines that requests wait for.
func stalledAddresses(report Report) (addresses []string) {
	for _, s := range report.Stalled {
		if !slices.Contains(addresses, s.Address) {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
