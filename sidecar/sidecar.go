// Package sidecar is the process beside one backend server. It takes work from
// entries, hands it to the backend server, passes activations to the next
// stage of a chain, and refuses what must not run.
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
	"github.com/sapphirefield/sapphirefield/wire"
)

// Options describes a sidecar. ID, Zone and Backend are required; Model and
// Layers are set for an engine, Service for a plain server.
type Options struct {
	ID      string
	Zone    string
	Service string
	Model   string
	Layers  *wire.LayerRange
	// Placed is set instead of Layers for an engine whose range and version come
	// from placement plans; see Hold.
	Placed bool
	// Backend is the base URL of the backend server.
	Backend string
	Dialer  link.Dialer
	// DialBackend opens connections to the backend server; nil means TCP.
	DialBackend func(ctx context.Context, network, address string) (net.Conn, error)
	TLS         *tls.Config
	Logger      *log.Logger
	// StepTimeout bounds one iteration of the engine.
	StepTimeout time.Duration
	// HistoryBytes bounds the activations that are kept for replaced stages.
	HistoryBytes int
	// MaxBodyBytes bounds the body of a plain request.
	MaxBodyBytes int
	// Authorize checks that the other end of a call has a role, and a name unless
	// the name is empty; nil accepts everyone, which suits loopback only.
	Authorize func(ctx context.Context, role, id string) error
	// Revision answers peers that ask for the configuration in force; nil means none.
	Revision func(after int64) *wire.RevisionReply
}

const (
	defaultStepTimeout  = 2 * time.Second
	defaultMaxBodyBytes = 8 << 20
	// entryGrace is how long attempts of an entry without a stream are kept.
	entryGrace = 10 * time.Second
	// sweepInterval is how often ended attempts and silent entries are looked for.
	sweepInterval    = time.Second
	incarnationBytes = 8
)

// Server is a running sidecar.
type Server struct {
	wire.DRPCSidecarUnimplementedServer
	opts        Options
	incarnation string
	client      *http.Client
	caller      *http.Transport
	batch       *link.Queue[*wire.EngineStep]

	mu       sync.Mutex
	ledger   *attempt.Ledger
	gate     *pipeline.StepGate
	attempts map[string]*stageAttempt
	calls    map[attempt.Key]*call
	// ended holds calls whose answers are kept, keptBytes what all answers take.
	ended     map[attempt.Key]*call
	keptBytes int
	entries   map[string]*entryLink
	hops      map[string]*hop
	// linkTimes is the report on the links of the last second.
	linkTimes []*wire.LinkTime
	engineUp  bool
	// held is what the engine serves.
	held ServingState
	pace pace
	// iteration is the batch that runs in the engine, nil while it is idle.
	iteration     *iteration
	lastIteration time.Time
	// deferred holds attempts that wait for a step of the attempt before them.
	deferred []deferredOpen
	// historyBytes is what the histories of all attempts take.
	historyBytes int
	// opening holds attempts that wait for proof that the engine runs.
	opening []*stageAttempt
	// idle is closed when the sidecar drains and nothing is in progress.
	idle chan struct{}
	// background runs hops and calls; it ends with Serve.
	background context.Context
	// tasks counts the goroutines that Serve waits for.
	tasks sync.WaitGroup
}

// New returns a sidecar with a fresh incarnation.
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
		opts:        opts,
		incarnation: incarnation,
		client:      engineClient(opts),
		caller:      callTransport(opts),
		batch:       link.NewQueue[*wire.EngineStep](maxQueuedSteps),
		ledger:      attempt.NewLedger(incarnation),
		gate:        pipeline.NewStepGate(),
		attempts:    make(map[string]*stageAttempt),
		calls:       make(map[attempt.Key]*call),
		ended:       make(map[attempt.Key]*call),
		entries:     make(map[string]*entryLink),
		hops:        make(map[string]*hop),
		engineUp:    true,
		held:        ServingState{Layers: opts.Layers},
		idle:        make(chan struct{}),
		background:  context.Background(),
	}
}

// newIncarnation returns a random name. It comes from the system's random
// source, because two starts must never share it.
func newIncarnation() string {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Incarnation names this start of the process.
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
	s.client.CloseIdleConnections()
	return err
}

// start runs a task that ends with Serve.
func (s *Server) start(task func()) { s.tasks.Go(task) }

func (s *Server) isEngine() bool { return s.opts.Layers != nil || s.opts.Placed }

// authorize keeps anyone but the system's own processes from giving work.
func (s *Server) authorize(ctx context.Context, role, id string) error {
	if s.opts.Authorize == nil {
		return nil
	}
	return s.opts.Authorize(ctx, role, id)
}

// Drain makes the sidecar refuse new work and tells all entries.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Draining() {
		return
	}
	logevent.Write(s.opts.Logger, logevent.ProcessDraining).Str("id", s.opts.ID).Int("running", s.ledger.InProgress()).Msg("")
	s.ledger.Drain()
	for _, e := range s.entries {
		e.push(&wire.WorkDown{Body: &wire.WorkDown_Load{Load: s.load()}})
	}
	s.checkIdle()
}

// Drained is closed once a draining sidecar has nothing in progress.
func (s *Server) Drained() <-chan struct{} { return s.idle }

// InProgress counts the attempts that are open or running.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.InProgress()
}

// AttemptsInProgress names the attempts that are open or running.
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

// checkIdle must be called with the lock held.
func (s *Server) checkIdle() {
	if !s.ledger.Draining() || s.ledger.InProgress() > 0 || s.answersOnTheWay() {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

// answersOnTheWay tells whether an entry has yet to take an answer: a process
// that ended earlier would cut off the last frames.
func (s *Server) answersOnTheWay() bool { return len(s.ended) > 0 }

// load must be called with the lock held.
func (s *Server) load() *wire.Load {
	return &wire.Load{
		Running:  uint32(s.ledger.InProgress()),
		Draining: s.ledger.Draining(),
		EngineUp: s.engineUp,
		Entries:  uint32(s.connectedEntries()),
		Links:    s.linkTimes,
	}
}

// connectedEntries must be called with the lock held.
func (s *Server) connectedEntries() int {
	n := 0
	for _, e := range s.entries {
		if e.queue != nil {
			n++
		}
	}
	return n
}

// sweep frees attempts of entries that went away and forgets old tombstones.
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
	s.expireKept(now)
	s.endUnfinishedUploads(now)
	for request, a := range s.attempts {
		if !a.unconfirmedAt.IsZero() && now.Sub(a.unconfirmedAt) > link.HeartbeatTimeout {
			s.closeAttempt(request, a, now)
		}
	}
	for id, e := range s.entries {
		if e.queue != nil || now.Sub(e.lostAt) < entryGrace {
			continue
		}
		s.freeEntry(id, now)
		delete(s.entries, id)
	}
	s.checkIdle()
}

// freeEntry ends the pipeline attempts of an entry that did not come back. A
// plain call goes on: it may not be repeated, and its end frees it.
func (s *Server) freeEntry(id string, now time.Time) {
	for request, a := range s.attempts {
		if a.entry == id {
			s.closeAttempt(request, a, now)
		}
	}
}

// Status describes the sidecar for operators.
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

// Revision answers a peer that cannot reach the log.
func (s *Server) Revision(_ context.Context, req *wire.RevisionRequest) (*wire.RevisionReply, error) {
	if s.opts.Revision == nil {
		return &wire.RevisionReply{}, nil
	}
	return s.opts.Revision(req.After), nil
}

// BackendUp tells whether the backend server answered when it was last used.
func (s *Server) BackendUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engineUp
}

// Draining tells whether the sidecar refuses new work.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Draining()
}
