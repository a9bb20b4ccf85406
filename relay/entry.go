package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/retry"
)

// Options are what an entry works with.
type Options struct {
	Settings    Settings
	Store       Store
	Engines     EngineClient
	HeaderCodec HeaderCodec
	Logger      *log.Logger
	Metrics     metrics.Registry
	Random      *rand.Rand
}

// Entry passes callers' requests to backend servers.
type Entry struct {
	settings Settings
	store    Store
	engines  EngineClient
	wire     HeaderCodec
	logger   *log.Logger
	logGate  *logGate
	counters *counters
	fleet    *fleet
	pool     *pool
	stalls   *stalls
	backoff  func() *retry.Backoff

	// current is the configuration in force, nil before there is one.
	current atomic.Pointer[revision]
	// inForce is closed once a configuration is in force.
	inForce     chan struct{}
	inForceOnce sync.Once

	budgetsMu sync.Mutex
	budgets   map[string]*lockedBudget

	// registered is the number of entries that the store names, 0 while it is unknown.
	registered atomic.Int64

	directory *directory
	// term is the lease that this entry holds, or 0.
	term atomic.Int64
	// newer wakes the read of the configuration.
	newer chan struct{}
	// alarm asks for a message to the other entries at once.
	alarm alarm

	running  *inProgress
	draining atomic.Bool
}

// New returns an entry that is not running yet.
func New(o Options) *Entry {
	seeds := &seeds{random: o.Random}
	e := &Entry{
		settings: o.Settings, store: o.Store, engines: o.Engines, wire: o.HeaderCodec, logger: o.Logger,
		logGate: newLogGate(), counters: newCounters(o.Metrics), fleet: newFleet(seeds.next()), pool: newPool(), stalls: newStalls(o.Engines, o.Logger),
		backoff: func() *retry.Backoff { return retry.NewBackoff(storeRetryBase, storeRetryLimit, seeds.next()) },
		inForce: make(chan struct{}), budgets: map[string]*lockedBudget{}, running: newInProgress(),
		newer: make(chan struct{}, 1), alarm: make(alarm, 1),
	}
	e.directory = newDirectory(e)
	return e
}

// seeds gives each user of random numbers a source of its own, because a source
// is not safe for concurrent use.
type seeds struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (s *seeds) next() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
}

// Run follows the store and places layers until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.followConfiguration(ctx) })
	group.Go(func() error { return e.followServers(ctx) })
	group.Go(func() error { return e.keepLease(ctx) })
	group.Go(func() error { return e.exchangeUsage(ctx) })
	group.Go(func() error { return e.housekeep(ctx) })
	return group.Wait()
}

// Configured is closed once a configuration is in force.
func (e *Entry) Configured() <-chan struct{} { return e.inForce }

// Revision returns the number of the configuration in force, or 0.
func (e *Entry) Revision() int64 {
	if rev := e.current.Load(); rev != nil {
		return rev.Revision
	}
	return 0
}

// Limits returns the limits of the configuration in force.
func (e *Entry) Limits() Limits {
	if rev := e.current.Load(); rev != nil {
		return rev.Limits
	}
	return Limits{}
}

// Errors of Ready.
var (
	errNoConfiguration = errors.New("no configuration is in force yet")
	errNoServers       = errors.New("no backend server is known yet")
	errDraining        = errors.New("this instance is shutting down")
)

// Ready returns nil when the entry can serve callers.
func (e *Entry) Ready() error {
	switch {
	case e.isDraining():
		return errDraining
	case e.current.Load() == nil:
		return errNoConfiguration
	case len(e.fleet.snapshot()) == 0:
		return errNoServers
	}
	return nil
}

// MarkUnready makes the entry report itself unready and ask callers to open their
// next connection elsewhere. It goes on serving.
func (e *Entry) MarkUnready() { e.draining.Store(true) }

func (e *Entry) isDraining() bool { return e.draining.Load() }

// Drain is part of a graceful shutdown: from now on Drained tells when the last
// request has ended. Requests that still arrive are served.
func (e *Entry) Drain() {
	e.MarkUnready()
	e.running.drain()
}

// Drained is closed once a draining entry has no request in progress.
func (e *Entry) Drained() <-chan struct{} { return e.running.drained }

// InProgress counts the requests in progress.
func (e *Entry) InProgress() int { return e.running.count() }

// housekeepInterval is how often idle connections are looked at.
const housekeepInterval = time.Second

func (e *Entry) housekeep(ctx context.Context) error {
	ticker := time.NewTicker(housekeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			e.pool.expire(now)
			e.reportSkipped()
		}
	}
}

// reportSkipped says how many lines for requests were left out.
func (e *Entry) reportSkipped() {
	if n := e.logGate.takeSkipped(); n > 0 {
		logevent.Write(e.logger, logevent.LogLinesSkipped).Int64("lines", n).Msg("")
		e.counters.skipped.Inc(n)
	}
}

// lockedBudget is a retry budget for concurrent use.
type lockedBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// Success counts a request.
func (b *lockedBudget) Success(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest(now)
}

// Take counts a repeat if there is room for it.
func (b *lockedBudget) Take(now time.Time, overloaded bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(now, overloaded)
}

// Left returns how many repeats there is room for.
func (b *lockedBudget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Available(now)
}

const (
	// budgetPart is the part of the permitted repeats that entries use. The rest
	// covers windows that do not begin where the budget's do.
	budgetPart = 0.7
	// leastEntries is the number of entries among which the fixed part of the
	// repeats is divided until the store has named them.
	leastEntries = 8
)

// budget returns the budget for repeats to a service. The fixed part is divided
// by the number of entries that the store names, those that are gone included.
func (e *Entry) budget(service string) *lockedBudget {
	e.budgetsMu.Lock()
	defer e.budgetsMu.Unlock()
	b := e.budgets[service]
	if b == nil {
		b = &lockedBudget{budget: retry.NewBudget(retry.BudgetOptions{
			Fraction: e.settings.RetryRatio * budgetPart, Window: e.settings.RetryWindow,
		})}
		e.budgets[service] = b
	}
	b.setMinimum(e.settings.RetryExtra * budgetPart / float64(e.entries()))
	return b
}

func (b *lockedBudget) setMinimum(minimum float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetMinimum(minimum)
}

// entries returns the number of entries that may repeat requests.
func (e *Entry) entries() int {
	if n := int(e.registered.Load()); n > 0 {
		return n
	}
	return leastEntries
}

// inProgress counts requests and tells when the last has ended.
type inProgress struct {
	mu       sync.Mutex
	n        int
	draining bool
	drained  chan struct{}
	once     sync.Once
}

func newInProgress() *inProgress { return &inProgress{drained: make(chan struct{})} }

func (p *inProgress) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.n += n
	p.check()
}

func (p *inProgress) drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	p.check()
}

func (p *inProgress) check() {
	if p.draining && p.n == 0 {
		p.once.Do(func() { close(p.drained) })
	}
}

func (p *inProgress) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.n
}

var _ http.Handler = (*Entry)(nil)
