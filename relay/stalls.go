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
	// stallFresh is how long an engine's answer about what it waits for counts.
	// All streams that begin at the engine share it.
	stallFresh = 60 * time.Millisecond
	// stallTimeout bounds the wait for that answer. An engine that works answers
	// within a few milliseconds.
	stallTimeout = 60 * time.Millisecond
	// ownDelay is how much later than planned a question may end before the delay
	// counts as this process's own, which says nothing about the engine.
	ownDelay = 15 * time.Millisecond
)

// errInconclusive means that this process was too slow to judge an engine.
var errInconclusive = errors.New("this process was held up")

// stalls asks engines which other engines their work waits for.
type stalls struct {
	engines EngineClient
	logger  *log.Logger
	mu      sync.Mutex
	byHead  map[string]*stallAnswer
}

// stallAnswer is an engine's last answer. done is closed once it is there.
type stallAnswer struct {
	at      time.Time
	done    chan struct{}
	stalled []string // addresses, each once
	err     error
}

func newStalls(engines EngineClient, logger *log.Logger) *stalls {
	return &stalls{engines: engines, logger: logger, byHead: map[string]*stallAnswer{}}
}

// ask returns the addresses of engines for which work that begins at an address waits. Calls
// for the same address share one question.
func (s *stalls) ask(ctx context.Context, address string) ([]string, error) {
	s.mu.Lock()
	a := s.byHead[address]
	if a == nil || time.Since(a.at) > stallFresh && isClosed(a.done) {
		a = &stallAnswer{at: time.Now(), done: make(chan struct{})}
		s.byHead[address] = a
		go s.question(a, address)
	}
	s.mu.Unlock()
	select {
	case <-a.done:
		return a.stalled, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// question ends by itself after stallTimeout; it is not tied to one stream,
// because several wait for it.
func (s *stalls) question(a *stallAnswer, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), stallTimeout)
	defer cancel()
	report, err := s.engines.Status(ctx, address)
	a.stalled, a.err = stalledAddresses(report), err
	if err != nil && time.Since(a.at) > stallTimeout+ownDelay {
		a.err = errInconclusive
	}
	close(a.done)
	logevent.Write(s.logger, logevent.StallQueried).Str("address", address).Strs("stalled", a.stalled).
		Dur("took_ms", time.Since(a.at)).AnErr("cause", a.err).Msg("")
}

// stalledAddresses returns the engines that requests wait for.
func stalledAddresses(report EngineStatus) (addresses []string) {
	for _, s := range report.Stalled {
		if !slices.Contains(addresses, s.BlockedOn) {
			addresses = append(addresses, s.BlockedOn)
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
