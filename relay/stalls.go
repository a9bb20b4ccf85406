package relay

import (
	"context"
	"net"
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
	// evidenceSpread is how far apart streams notice the same event at an engine. They share
	// one query about it.
	evidenceSpread = 5 * time.Millisecond
	// stallTimeout is the time without a response after which an engine counts as silent,
	// if others are heard meanwhile. A working engine responds within a few milliseconds.
	stallTimeout = 60 * time.Millisecond
	// settlingStallTimeout is the same in the time after the start of this process,
	// when queries wait behind the connections that all requests open.
	settlingStallTimeout = dialTimeout
	// maxLocalDelay is how far a query may exceed its timeout before the delay is
	// attributed to this process, in which case it says nothing about the engine.
	maxLocalDelay = 15 * time.Millisecond
	// maxStallWait bounds the wait for the result of a query while this process hears
	// from nobody, or runs late.
	maxStallWait = 8 * stallTimeout
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
	// heardAt is when this process last heard from any server or entry.
	heardAt time.Time
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
	// heardAt is when the engine last sent events while the query ran.
	heardAt time.Time
	done    chan struct{}
	stalled []string // addresses, each once
	err     error
	// startTimeMillis is that of the engine's process, or 0 if it is not known.
	startTimeMillis int64
}

// showsNoCause reports whether an engine has answered that it works and waits for no
// other one. No query shows nothing.
func (q *stallQuery) showsNoCause() bool { return q != nil && q.err == nil && len(q.stalled) == 0 }

func newStallChecker(engines EngineClient, logger *log.Logger) *stallChecker {
	return &stallChecker{engines: engines, logger: logger, byAddress: map[string]*stallQuery{}, startedAt: time.Now()}
}

// start returns the query to the engine at an address that is under way or was over a
// moment ago, or a new one.
func (s *stallChecker) start(address string) *stallQuery {
	return s.startAfter(address, time.Now().Add(-stallResultTTL))
}

// startAfter is start, but the result of a query that began before a time does not count.
func (s *stallChecker) startAfter(address string, since time.Time) *stallQuery {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.byAddress[address]
	if q == nil || q.startedAt.Before(since) && isClosed(q.done) {
		q = &stallQuery{startedAt: time.Now(), done: make(chan struct{})}
		s.byAddress[address] = q
		go s.query(q, address)
	}
	return q
}

// stalledEngines returns the addresses of the engines for which requests that
// start at the engine at address are waiting. Concurrent calls for the same
// address share one query, unless it began before since.
func (s *stallChecker) stalledEngines(ctx context.Context, address string, since time.Time) ([]string, error) {
	for {
		q := s.startAfter(address, since)
		select {
		case <-q.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if !q.startedAt.Before(since) {
			return q.stalled, q.err
		}
	}
}

// startTimeMillis returns when the process that last answered at an address started, or 0
// if that is not known.
func (s *stallChecker) startTimeMillis(address string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.byAddress[address]; q != nil && isClosed(q.done) {
		return q.startTimeMillis
	}
	return 0
}

// hear records that this process has heard from a server, or from another entry if
// address is empty.
func (s *stallChecker) hear(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = now
	if q := s.byAddress[address]; q != nil {
		q.heardAt = now
	}
}

// query asks an engine for its status. It is not tied to the context of one
// stream, because several may wait for it; it ends after a timeout.
func (s *stallChecker) query(q *stallQuery, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	response := make(chan struct{})
	var status EngineStatus
	var err error
	go func() {
		status, err = s.engines.Status(ctx, address)
		close(response)
	}()
	if verdict := s.awaitResponse(q, address, response); verdict == "" {
		q.stalled, q.err, q.startTimeMillis = stalledAddresses(status), err, status.StartTimeMillis
	} else if verdict == engineSilent {
		q.err = errors.Wrap(ErrNoResponse, string(verdict))
	} else {
		q.err = errInconclusive
	}
	close(q.done)
	logevent.Write(s.logger, logevent.StallQueried).Str("address", address).Strs("stalled", q.stalled).
		Dur("took_ms", time.Since(q.startedAt)).AnErr("cause", q.err).Msg("")
}

// silenceVerdict says what a missing response to a query tells about the engine.
type silenceVerdict string

// The verdicts. It is empty while the response may still come.
const (
	engineSilent  silenceVerdict = "the engine is silent"
	silenceUnsure silenceVerdict = "this process was delayed or the engine sends events"
)

// awaitResponse returns an empty verdict once the response is there.
func (s *stallChecker) awaitResponse(q *stallQuery, address string, response <-chan struct{}) silenceVerdict {
	timeout := s.timeout(q.startedAt)
	for periodStart := q.startedAt; ; periodStart = time.Now() {
		timer := time.NewTimer(time.Until(periodStart.Add(timeout)))
		select {
		case <-response:
			timer.Stop()
			s.hear(time.Now(), address)
			return ""
		case <-timer.C:
		}
		if verdict := s.judge(time.Now(), periodStart, timeout, q, address); verdict != "" {
			return verdict
		}
	}
}

// judge evaluates a period without a response. A process that was held up, or whose own
// link is busy, misses responses that engines have sent: only a period in which it heard
// from others tells of the engine.
func (s *stallChecker) judge(now, periodStart time.Time, timeout time.Duration, q *stallQuery, address string) silenceVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	inTime := now.Sub(periodStart) <= timeout+maxLocalDelay
	hearsOthers := !s.heardAt.Before(periodStart.Add(timeout / 2))
	over := now.Sub(q.startedAt) >= max(timeout, maxStallWait)
	switch {
	case q.heardAt.After(q.startedAt), over && !inTime:
		return silenceUnsure
	case inTime && (hearsOthers || over):
		if !s.timeouts.accept(now, address) {
			return silenceUnsure
		}
		return engineSilent
	}
	return ""
}

// believes reports whether a failed connection tells of the server at an address. After
// a restart of many entries, connections to all engines may take too long at once.
func (s *stallChecker) believes(err error, address string) bool {
	var failure net.Error
	if !errors.As(err, &failure) || !failure.Timeout() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timeouts.accept(time.Now(), address)
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
