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
	"github.com/sapphirefield/sapphirefield/memlimit"
	"github.com/sapphirefield/sapphirefield/ratelimit"
	"github.com/sapphirefield/sapphirefield/retry"
)

// Options are the dependencies of an entry.
type Options struct {
	Settings    Settings
	Store       Store
	Engines     EngineClient
	HeaderCodec HeaderCodec
	Logger      *log.Logger
	Metrics     metrics.Registry
	Random      *rand.Rand
}

// Entry is a router process that forwards client requests to backend servers.
type Entry struct {
	settings       Settings
	store          Store
	engines        EngineClient
	headerCodec    HeaderCodec
	logger         *log.Logger
	logLimiter     *logLimiter
	requestMetrics *requestMetrics
	fleet          *fleet
	pool           *pool
	stallChecker   *stallChecker
	backoff        func() *retry.Backoff

	// current is the configuration in force, or nil before the first one. applyMu
	// keeps two readers from replacing a newer one by an older one.
	current atomic.Pointer[revision]
	applyMu sync.Mutex
	// configured is closed once a configuration is in force.
	configured     chan struct{}
	configuredOnce sync.Once

	budgetsMu sync.Mutex
	budgets   map[string]*lockedBudget
	// inherited is what earlier processes of this entry had spent, by service.
	inherited map[uint64]inheritedRetries
	// ledger is what other entries have spent. It has budgetsMu.
	ledger *retry.Ledger

	waitRoomsMu sync.Mutex
	waitRooms   map[string]*waitRoom

	callRoomsMu sync.Mutex
	callRooms   map[string]*callRoom

	// knownEntries is the number of entries registered in the store, or 0 while it
	// is unknown.
	knownEntries atomic.Int64

	directory *directory
	// leaseTerm is the term of the lease that this entry holds, the negative of the
	// last one that it has released, or 0.
	leaseTerm atomic.Int64
	// newerRevision interrupts a pending read of the configuration.
	newerRevision chan struct{}
	// sendNow triggers an immediate message to the other entries.
	sendNow trigger
	// registerAgain triggers another write of this entry's record.
	registerAgain trigger

	crashes *crashGuard
	demand  *demandControl
	// silenceProbes bounds the connections that show whether silent servers run.
	silenceProbes silenceProbes
	pause         pauseGuard
	inFlight      *inFlightCounter
	bodies        *memlimit.Bodies
	draining      atomic.Bool
	shutdown      *shutdown
}

// New returns an entry that is not running yet.
func New(o Options) *Entry {
	seeds := &seeds{random: o.Random}
	fleet := newFleet(seeds.newSource())
	fleet.setLimitShare(time.Now(), ratelimit.Share{Entries: assumedEntries})
	requestMetrics := newRequestMetrics(o.Metrics)
	engines := &controlClient{EngineClient: o.Engines, sent: requestMetrics.controlRequests}
	e := &Entry{
		settings: o.Settings, store: o.Store, engines: engines, headerCodec: o.HeaderCodec, logger: o.Logger,
		logLimiter: newLogLimiter(), requestMetrics: requestMetrics, fleet: fleet, pool: newPool(o.Settings.IdleServerConns), stallChecker: newStallChecker(engines, o.Logger),
		backoff:    func() *retry.Backoff { return retry.NewBackoff(storeRetryBase, storeRetryLimit, seeds.newSource()) },
		configured: make(chan struct{}), budgets: map[string]*lockedBudget{}, inherited: map[uint64]inheritedRetries{}, ledger: retry.NewLedger(o.Settings.RetryWindow),
		waitRooms: map[string]*waitRoom{}, callRooms: map[string]*callRoom{}, inFlight: newInFlightCounter(),
		newerRevision: make(chan struct{}, 1), sendNow: make(trigger, 1), registerAgain: make(trigger, 1),
		shutdown: newShutdown(), bodies: memlimit.NewBodies(o.Settings.BodyMemory),
	}
	engines.entry = e
	e.pool.onRead = func(address string) { e.stallChecker.hear(time.Now(), address) }
	e.directory = newDirectory(e)
	e.crashes = newCrashGuard(e)
	e.demand = newDemandControl(e)
	if o.Store != nil {
		o.Store.OnNewEra(e.writeAgain)
	}
	return e
}

// writeAgain writes what this entry has in the store once more: the store has come back
// from an older copy, and may have lost it.
func (e *Entry) writeAgain() {
	e.registerAgain.fire()
	e.crashes.saveAgain.fire()
}

// seeds creates a separate random source for each user, because a source is
// not safe for concurrent use.
type seeds struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (s *seeds) newSource() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
}

// Run follows the store, exchanges load with the other entries and places
// layers until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.followConfiguration(ctx) })
	group.Go(func() error { return e.followServers(ctx) })
	group.Go(func() error { return e.runPlacer(ctx) })
	group.Go(func() error { return e.runPeers(ctx) })
	group.Go(func() error { return e.runMaintenance(ctx) })
	group.Go(func() error { return e.demand.run(ctx) })
	group.Go(func() error { return e.runPulse(ctx) })
	group.Go(func() error { return e.runReturnProbes(ctx) })
	group.Go(func() error { return e.crashes.runDecisions(ctx) })
	group.Go(func() error { return e.crashes.runStore(ctx) })
	return group.Wait()
}

// Configured returns a channel that is closed once a configuration is in force.
func (e *Entry) Configured() <-chan struct{} { return e.configured }

// Revision returns the revision of the configuration in force, or 0.
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

// Ready returns nil if the entry can serve clients.
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

// MarkUnready makes the entry report itself unready and ask clients to open
// their next connection elsewhere. It continues to serve requests.
func (e *Entry) MarkUnready() { e.draining.Store(true) }

func (e *Entry) isDraining() bool { return e.draining.Load() }

// Drain is part of a graceful shutdown: Drained is closed when the last
// request has ended. Requests that still arrive are served, unless they may outlast the
// limit of the shutdown.
func (e *Entry) Drain() {
	e.MarkUnready()
	e.shutdown.refusing.Store(true)
	e.inFlight.drain()
}

// Drained returns a channel that is closed once a draining entry has no
// request in progress.
func (e *Entry) Drained() <-chan struct{} { return e.inFlight.drained }

// InProgress returns the number of requests in progress.
func (e *Entry) InProgress() int { return e.inFlight.count() }

// loseEngine records and logs evidence that an engine does not work.
func (e *Entry) loseEngine(id string, evidence error) {
	if e.fleet.markLost(time.Now(), id) {
		logevent.Write(e.logger, logevent.EngineLost).Str("server", id).Str("cause", evidence.Error()).Msg("")
	}
}

// maintenanceInterval is how often expired connections are closed and skipped
// log lines reported.
const maintenanceInterval = time.Second

func (e *Entry) runMaintenance(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	hadWatcher := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			e.pool.closeExpired(now)
			hadWatcher = e.observeWatcher(hadWatcher)
			e.logSkippedLines()
		}
	}
}

// logSkippedLines logs how many request log lines were dropped.
func (e *Entry) logSkippedLines() {
	if n := e.logLimiter.takeSkipped(); n > 0 {
		logevent.Write(e.logger, logevent.LogLinesSkipped).Int64("lines", n).Msg("")
		e.requestMetrics.skippedLines.Inc(n)
	}
}

// entryCount returns the number of entries that may retry requests.
func (e *Entry) entryCount() int {
	if n := int(e.knownEntries.Load()); n > 0 {
		return n
	}
	return assumedEntries
}

// inFlightCounter counts requests in progress and signals when the last one of
// a draining entry has ended.
type inFlightCounter struct {
	mu       sync.Mutex
	n        int
	draining bool
	drained  chan struct{}
	once     sync.Once
}

func newInFlightCounter() *inFlightCounter { return &inFlightCounter{drained: make(chan struct{})} }

func (c *inFlightCounter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
	c.check()
}

func (c *inFlightCounter) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.check()
}

func (c *inFlightCounter) check() {
	if c.draining && c.n == 0 {
		c.once.Do(func() { close(c.drained) })
	}
}

func (c *inFlightCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

var _ http.Handler = (*Entry)(nil)
