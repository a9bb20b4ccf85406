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
	// stallResultTTL is how long a stall query's result is valid. All streams that
	// start at the engine share it.
	stallResultTTL = 60 * time.Millisecond
	// stallTimeout bounds the wait for the result. A working engine responds within
	// a few milliseconds.
	stallTimeout = 60 * time.Millisecond
	// settlingStallTimeout is the same in the time after the start of this process,
	// when queries wait behind the connections that all requests open.
	settlingStallTimeout = dialTimeout
	// maxLocalDelay is how far a query may exceed its timeout before the delay is
	// attributed to this process, in which case it says nothing about the engine.
	maxLocalDelay = 15 * time.Millisecond
)

// errInconclusive means that this process was too slow to tell whether the
// engine works.
var errInconclusive = errors.New("no result: this process was delayed")

// stallChecker asks engines which other engines their requests are waiting
// for.
type stallChecker struct {
	engines   EngineClient
	logger    *log.Logger
	mu        sync.Mutex
	byAddress map[string]*stallQuery
	startedAt time.Time
	timeouts  timeoutFilter
}

// timeoutFilter decides which engines that do not respond in time count as dead.
// When several fall silent at the same time, the reason is more likely this
// process or its network than the engines; reports of other engines remain as
// evidence then.
type timeoutFilter struct {
	address string
	at      time.Time
}

// timeoutWindow is how long after a timeout those of other engines do not count.
const timeoutWindow = 500 * time.Millisecond

// accept records a timeout and reports whether it counts.
func (f *timeoutFilter) accept(now time.Time, address string) bool {
	alone := f.address == address || now.Sub(f.at) > timeoutWindow
	f.at = now
	if alone {
		f.address = address
	}
	return alone
}

// stallQuery is the latest query to an engine. done is closed once its result
// is set.
type stallQuery struct {
	startedAt time.Time
	done      chan struct{}
	stalled   []string // addresses, each once
	err       error
}

func newStallChecker(engines EngineClient, logger *log.Logger) *stallChecker {
	return &stallChecker{engines: engines, logger: logger, byAddress: map[string]*stallQuery{}, startedAt: time.Now()}
}

// stalledEngines returns the addresses of the engines for which requests that
// start at the engine at address are waiting. Concurrent calls for the same
// address share one query.
func (s *stallChecker) stalledEngines(ctx context.Context, address string) ([]string, error) {
	s.mu.Lock()
	q := s.byAddress[address]
	if q == nil || time.Since(q.startedAt) > stallResultTTL && isClosed(q.done) {
		q = &stallQuery{startedAt: time.Now(), done: make(chan struct{})}
		s.byAddress[address] = q
		go s.query(q, address)
	}
	s.mu.Unlock()
	select {
	case <-q.done:
		return q.stalled, q.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// query asks an engine for its status. It is not tied to the context of one
// stream, because several may wait for it; it ends after a timeout.
func (s *stallChecker) query(q *stallQuery, address string) {
	timeout := s.timeout(q.startedAt)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	status, err := s.engines.Status(ctx, address)
	q.stalled, q.err = stalledAddresses(status), err
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && !s.acceptTimeout(q, address, timeout) {
		q.err = errInconclusive
	}
	close(q.done)
	logevent.Write(s.logger, logevent.StallQueried).Str("address", address).Strs("stalled", q.stalled).
		Dur("took_ms", time.Since(q.startedAt)).AnErr("cause", q.err).Msg("")
}

func (s *stallChecker) acceptTimeout(q *stallQuery, address string, timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.timeouts.accept(now, address) && now.Sub(q.startedAt) <= timeout+maxLocalDelay
}

func (s *stallChecker) timeout(now time.Time) time.Duration {
	if now.Sub(s.startedAt) < settleTime {
		return settlingStallTimeout
	}
	return stallTimeout
}

// stalledAddresses returns the distinct addresses of the engines that requests
// are waiting for.
func stalledAddresses(status EngineStatus) (addresses []string) {
	for _, s := range status.Stalled {
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
