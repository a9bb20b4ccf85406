// Package sidecar implements the process that runs beside one backend server.
// It receives requests from entries, runs them on the backend server, sends
// activations to the next stage of a chain, and refuses attempts that must not
// run.
package sidecar

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/ratelimit"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Options configures a sidecar. ID, Zone and Backend are required; Model and
// Layers are set for an engine, Service for a plain HTTP server.
type Options struct {
	ID      string
	Zone    string
	Service string
	Model   string
	Layers  *wire.LayerRange
	// Placed is set instead of Layers for an engine whose layer range and model
	// version come from placement plans; see SetServing.
	Placed bool
	// Backend is the base URL of the backend server.
	Backend string
	Dialer  link.Dialer
	// DialBackend opens connections to the backend server; nil means TCP.
	DialBackend func(ctx context.Context, network, address string) (net.Conn, error)
	TLS         *tls.Config
	Logger      *log.Logger
	// StepTimeout limits an engine iteration whose duration cannot be estimated
	// and whose engine does not report progress.
	StepTimeout time.Duration
	// HistoryBytes limits the activations that are retained, over all attempts,
	// for replacements of the next stage.
	HistoryBytes int
	// MaxBodyBytes limits the body of a plain request.
	MaxBodyBytes int
	// Authorize checks that the peer of an RPC has the role and, unless id is
	// empty, the instance name id. Nil accepts every peer, which is safe on
	// loopback only.
	Authorize func(ctx context.Context, role, id string) error
	// Revision returns the active configuration if its revision is newer than
	// after; nil means that the sidecar has no configuration to offer.
	Revision func(after int64) *wire.RevisionReply
}

const (
	defaultStepTimeout  = 2 * time.Second
	defaultMaxBodyBytes = 8 << 20
	// entryGracePeriod is how long the attempts of a disconnected entry stay open.
	entryGracePeriod = 10 * time.Second
	// sweepInterval is how often expired attempts, calls and entries are freed.
	sweepInterval    = time.Second
	incarnationBytes = 8
)

// Server is a running sidecar.
type Server struct {
	wire.DRPCSidecarUnimplementedServer
	opts          Options
	incarnation   string
	engineClient  *http.Client
	callTransport *http.Transport
	stepQueue     *link.Queue[*wire.EngineStep]

	mu       sync.Mutex
	ledger   *attempt.Ledger
	gate     *pipeline.StepGate
	attempts map[string]*stageAttempt
	calls    map[attempt.Key]*call
	// endedCalls holds finished calls that their entries have not released yet;
	// retainedBytes is the total size of all retained response bodies.
	endedCalls    map[attempt.Key]*call
	retainedBytes int
	entries       map[string]*entryState
	hops          map[string]*hop
	// linkTimes is the last link time report, which covers one sweepInterval.
	linkTimes []*wire.LinkTime
	engineUp  bool
	// serving is the model version and the layer range that the engine serves.
	serving        ServingState
	iterationTimes iterationTimeEstimator
	// iteration is the batch running in the engine; nil while the engine is idle.
	iteration     *iteration
	lastIteration time.Time
	// deferredOpens holds attempts that wait for a running step of the previous
	// attempt of their request.
	deferredOpens []deferredOpen
	// historyBytes is the total size of the histories of all attempts.
	historyBytes int
	// awaitingEngineCheck holds attempts that start once the engine is known to
	// be alive.
	awaitingEngineCheck []*stageAttempt
	ends                serverEnds
	// limits holds the rate limit that the backend server states, and pausedUntil the end
	// of the pause that it has asked for.
	limits      *ratelimit.Limits
	pausedUntil time.Time
	// drained is closed when the sidecar is draining and has no work left.
	drained chan struct{}
	// background is the context of hops and calls; it ends with Serve.
	background context.Context
	// tasks tracks the goroutines that Serve waits for.
	tasks sync.WaitGroup
}

// New returns a sidecar with a new random incarnation.
func New(opts Options) *Server {
	if opts.StepTimeout == 0 {
		opts.StepTimeout = defaultStepTimeout
	}
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = defaultMaxBodyBytes
	}
	if opts.HistoryBytes == 0 {
		opts.HistoryBytes = defaultHistoryBytes
	}
	incarnation := newIncarnation()
	return &Server{
		opts:          opts,
		incarnation:   incarnation,
		engineClient:  newEngineClient(opts),
		callTransport: newCallTransport(opts),
		stepQueue:     link.NewQueue[*wire.EngineStep](maxQueuedSteps),
		ledger:        attempt.NewLedger(incarnation),
		gate:          pipeline.NewStepGate(),
		attempts:      make(map[string]*stageAttempt),
		calls:         make(map[attempt.Key]*call),
		endedCalls:    make(map[attempt.Key]*call),
		entries:       make(map[string]*entryState),
		hops:          make(map[string]*hop),
		limits:        ratelimit.New(),
		engineUp:      true,
		serving:       ServingState{Layers: opts.Layers},
		drained:       make(chan struct{}),
		background:    context.Background(),
	}
}

// newIncarnation returns a random identifier. It uses crypto/rand, because two
// process starts must never share an incarnation.
func newIncarnation() string {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Incarnation returns the identifier of this process start.
func (s *Server) Incarnation() string { return s.incarnation }

// Serve runs the sidecar on a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterSidecar(mux, s); err != nil {
		return errors.WithStack(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	s.background = ctx
	group.Go(func() error { return link.Serve(ctx, listener, s.opts.TLS, mux) })
	group.Go(func() error { return s.sweep(ctx) })
	if s.isEngine() {
		group.Go(func() error { return s.runBatches(ctx) })
	}
	err := group.Wait()
	s.tasks.Wait()
	s.engineClient.CloseIdleConnections()
	return err
}

// startTask runs task in a goroutine that Serve waits for.
func (s *Server) startTask(task func()) { s.tasks.Go(task) }

func (s *Server) isEngine() bool { return s.opts.Layers != nil || s.opts.Placed }

// authorize rejects peers without the given role and name, so that only the
// system's own processes can send work.
func (s *Server) authorize(ctx context.Context, role, id string) error {
	if s.opts.Authorize == nil {
		return nil
	}
	return s.opts.Authorize(ctx, role, id)
}

// Drain makes the sidecar refuse new work and notifies all connected entries.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Draining() {
		return
	}
	logevent.Write(s.opts.Logger, logevent.ProcessDraining).Str("id", s.opts.ID).Int("running", s.ledger.InProgress()).Msg("")
	s.ledger.Drain()
	for _, e := range s.entries {
		e.push(&wire.WorkDown{Body: &wire.WorkDown_Load{Load: s.loadReport()}})
	}
	s.checkDrained()
}

// Drained returns a channel that is closed once a draining sidecar has no work
// left.
func (s *Server) Drained() <-chan struct{} { return s.drained }

// InProgress returns the number of attempts that are open or running.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.InProgress()
}

// AttemptsInProgress returns descriptions of the attempts that are open or
// running, sorted.
func (s *Server) AttemptsInProgress() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, a := range s.attempts {
		names = append(names, fmt.Sprintf("%s attempt %d", a.key.Request, a.key.Number))
	}
	for _, c := range s.calls {
		names = append(names, fmt.Sprintf("%s attempt %d: %s %s", c.key.Request, c.key.Number, c.head.Method, c.head.Path))
	}
	sort.Strings(names)
	return names
}

// checkDrained closes the drained channel if the sidecar is draining and has no
// work left. It must be called with the lock held.
func (s *Server) checkDrained() {
	if !s.ledger.Draining() || s.ledger.InProgress() > 0 || s.hasUnreleasedResponses() {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// hasUnreleasedResponses reports whether an entry has yet to acknowledge a
// response. If the process exited before, the last frames would be lost.
func (s *Server) hasUnreleasedResponses() bool { return len(s.endedCalls) > 0 }

// loadReport returns the load that is sent to entries. It must be called with
// the lock held.
func (s *Server) loadReport() *wire.Load {
	return &wire.Load{
		Running:  uint32(s.ledger.InProgress()),
		Draining: s.ledger.Draining(),
		EngineUp: s.engineUp,
		Entries:  uint32(s.connectedEntries()),
		Links:    s.linkTimes,
	}
}

// connectedEntries returns the number of entries with an open stream. It must
// be called with the lock held.
func (s *Server) connectedEntries() int {
	n := 0
	for _, e := range s.entries {
		if e.queue != nil {
			n++
		}
	}
	return n
}

// sweep periodically frees expired state, such as the attempts of entries that
// did not reconnect and old tombstones.
func (s *Server) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.sweepOnce(now)
		}
	}
}

func (s *Server) sweepOnce(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Expire(now)
	s.refreshLinkTimes()
	s.expireRetainedCalls(now)
	s.endExpiredUploads(now)
	for request, a := range s.attempts {
		if !a.awaitingResumeSince.IsZero() && now.Sub(a.awaitingResumeSince) > link.HeartbeatTimeout {
			s.closeAttempt(request, a, now)
		}
	}
	for id, e := range s.entries {
		if e.queue != nil || now.Sub(e.disconnectedAt) < entryGracePeriod {
			continue
		}
		s.closeEntryAttempts(id, now)
		delete(s.entries, id)
	}
	s.checkDrained()
}

// closeEntryAttempts closes the pipeline attempts of an entry that did not
// reconnect or was restarted. Its plain calls continue, because they may not be
// safe to repeat; each is freed when it ends.
func (s *Server) closeEntryAttempts(id string, now time.Time) {
	for request, a := range s.attempts {
		if a.entry == id {
			s.closeAttempt(request, a, now)
		}
	}
}

// Status returns the sidecar's status for operators.
func (s *Server) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &wire.StatusReply{
		Id: s.opts.ID, Role: "sidecar", Zone: s.opts.Zone, Incarnation: s.incarnation,
		Service: s.opts.Service, Draining: s.ledger.Draining(), Running: uint32(s.ledger.InProgress()),
	}
	if s.opts.Revision != nil {
		if r := s.opts.Revision(0); r != nil {
			reply.Revision, reply.Digest = r.Revision, r.Digest
		}
	}
	return reply, nil
}

// Revision returns the active configuration to a peer that cannot reach the log.
func (s *Server) Revision(_ context.Context, req *wire.RevisionRequest) (*wire.RevisionReply, error) {
	if s.opts.Revision == nil {
		return &wire.RevisionReply{}, nil
	}
	return s.opts.Revision(req.After), nil
}

// BackendUp reports whether the backend server responded when it was last used.
func (s *Server) BackendUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engineUp
}

// Draining reports whether the sidecar refuses new work.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Draining()
}
