// Package entry implements the process that serves client requests. It
// authenticates a request, chooses a chain of engines or a backend server, runs
// the attempts, and reports to the client whether the request was executed.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/burn"
	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/memlimit"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Options configures a Server.
type Options struct {
	ID     string
	Zone   string
	Dialer link.Dialer
	Logger *log.Logger
	// Metrics receives counters and timers; nil means a new registry.
	Metrics metrics.Registry
	// Config returns the active configuration, or nil if there is none yet.
	Config func() *config.Document
	// Claims is the log that stores claims on idempotency keys; if it is nil,
	// calls with a key are refused.
	Claims ClaimLog
	// Trace is called with each frame to (up) or from (down) a sidecar; the other
	// one is nil. Tests record sessions with it.
	Trace func(peer string, up *wire.WorkUp, down *wire.WorkDown)
	// Observe receives the samples for the service-level objectives; may be nil.
	Observe func(now time.Time, sample burn.Sample)
	// MaxSidecarsPerService limits the sidecars of each service that the entry
	// connects to, except for models that it is selected to plan.
	MaxSidecarsPerService int
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// BodyMemory is the memory in bytes for all request bodies together; 0 leaves it to the
	// server.
	BodyMemory int64
	// RequestTimeout limits the total time of a language model request.
	RequestTimeout time.Duration
}

const (
	defaultMaxBodyBytes   = 8 << 20
	defaultRequestTimeout = 2 * time.Minute
	idBytes               = 8
)

// Server is an entry. It serves client requests over connections to sidecars.
type Server struct {
	opts           Options
	incarnation    string
	peers          *peerSet
	members        *members
	retryBudgets   *retryBudgets
	models         *modelSet
	admitter       *admitter
	claims         *claimManager
	crashes        *crashGuard
	metrics        serverMetrics
	sequence       atomic.Uint64
	activeRequests requestTracker
	cachedIndex    atomic.Pointer[configIndex]
	planner        plannerRole
	// responseMemory counts the bytes of buffered responses beyond those that are free.
	responseMemory memlimit.Counter
	bodies         *memlimit.Bodies

	// ended is done once EndRequests has been called.
	ended context.Context
	end   context.CancelFunc

	mu         sync.Mutex
	draining   bool
	inProgress int
	drained    chan struct{}
}

// New returns a Server without peers. Canceling ctx closes its connections.
func New(ctx context.Context, opts Options) *Server {
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = defaultMaxBodyBytes
	}
	if opts.MaxSidecarsPerService == 0 {
		opts.MaxSidecarsPerService = defaultMaxSidecarsPerService
	}
	if opts.RequestTimeout == 0 {
		opts.RequestTimeout = defaultRequestTimeout
	}
	if opts.Observe == nil {
		opts.Observe = func(time.Time, burn.Sample) {}
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	s := &Server{
		opts:        opts,
		incarnation: randomID(),
		metrics:     newServerMetrics(opts.Metrics),
		drained:     make(chan struct{}),
		bodies:      memlimit.NewBodies(opts.BodyMemory),
	}
	s.ended, s.end = context.WithCancel(context.Background())
	s.models = newModelSet()
	s.members = newMembers()
	s.planner.selectedSince = make(map[string]time.Time)
	s.retryBudgets = newRetryBudgets()
	s.admitter = newAdmitter(uint64(now().UnixNano()))
	s.crashes = newCrashGuard(s)
	s.peers = newPeerSet(ctx, s)
	if opts.Claims != nil {
		s.claims = newClaims(ctx, s, opts.Claims)
	}
	return s
}

func randomID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newRequestID returns a unique ID: the incarnation of this process and a counter.
func (s *Server) newRequestID() string {
	var count [4]byte
	n := s.sequence.Add(1)
	for i := range count {
		count[i] = byte(n >> (8 * (len(count) - 1 - i)))
	}
	return s.incarnation + "-" + hex.EncodeToString(count[:])
}

// Handler returns the handler for client requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/chat/completions", s.trackRequest(s.serveChat))
	mux.HandleFunc("/v1/completions", s.trackRequest(s.serveCompletion))
	mux.HandleFunc("/v1/models", s.trackRequest(s.serveModels))
	mux.HandleFunc("/", s.trackRequest(s.serveUnary))
	return mux
}

// trackRequest counts requests in progress for the graceful shutdown, and
// refuses new ones while the server drains.
func (s *Server) trackRequest(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		client := newClientWriter(s, w)
		w = client
		if !s.beginRequest() {
			writeDrainingProblem(w)
			return
		}
		defer s.endRequest()
		if r.Body != http.NoBody {
			r.Body = &clientBody{ReadCloser: r.Body, control: client.control}
		}
		ctx, cancel := clientconn.NewContext(r.Context())
		defer cancel()
		defer context.AfterFunc(s.ended, cancel)()
		r = r.WithContext(ctx)
		s.activeRequests.add(r)
		defer s.activeRequests.remove(r)
		next(w, r)
	}
}

func (s *Server) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inProgress++
	return true
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.closeIfDrained()
}

// closeIfDrained must be called with s.mu held.
func (s *Server) closeIfDrained() {
	if !s.draining || s.inProgress > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// Drain makes the server refuse new requests; those in progress continue.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	logevent.Write(s.opts.Logger, logevent.ProcessDraining).Str("id", s.opts.ID).Int("running", s.inProgress).Msg("")
	s.closeIfDrained()
}

// EndRequests ends all requests in progress. Each client gets an answer that says whether
// its request was executed.
func (s *Server) EndRequests() { s.end() }

// Drained returns a channel that is closed once the server is draining and has
// no requests in progress.
func (s *Server) Drained() <-chan struct{} { return s.drained }

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inProgress
}

// Draining reports whether the server refuses new requests.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Ready reports whether the server has a configuration, has tried to connect to
// every sidecar, is connected to at least one and is not draining. Requests that come
// once it has returned true find the servers that were connected.
func (s *Server) Ready() bool {
	if s.opts.Config() == nil || s.Draining() || !s.peers.triedAll() || s.peers.countConnected() == 0 {
		return false
	}
	s.finishRouting()
	return true
}

// serverMetrics holds the metrics of a Server.
type serverMetrics struct {
	requests, refused, tokens, recoveries metrics.Counter
	firstToken, betweenTokens, calls      metrics.Timer
}

func newServerMetrics(r metrics.Registry) serverMetrics {
	return serverMetrics{
		requests:      metrics.GetOrRegisterCounter("entry.requests", r),
		refused:       metrics.GetOrRegisterCounter("entry.refused", r),
		tokens:        metrics.GetOrRegisterCounter("entry.tokens", r),
		recoveries:    metrics.GetOrRegisterCounter("entry.stage_recoveries", r),
		firstToken:    metrics.GetOrRegisterTimer("entry.first_token", r),
		betweenTokens: metrics.GetOrRegisterTimer("entry.between_tokens", r),
		calls:         metrics.GetOrRegisterTimer("entry.plain_calls", r),
	}
}

// attemptKey returns the key that identifies an attempt on the wire.
func attemptKey(request string, number uint32) attempt.Key {
	return attempt.Key{Request: request, Number: number}
}

// ConnectedSidecars returns the number of sidecars with an open stream.
func (s *Server) ConnectedSidecars() int { return s.peers.countConnected() }

// UsableSidecars returns the number of sidecars that may receive work now.
func (s *Server) UsableSidecars() int { return s.peers.countUsable(s.members) }

// Recoveries returns the number of stages that were lost while a request used them.
func (s *Server) Recoveries() int64 { return s.metrics.recoveries.Count() }

// Incarnation returns the random ID of this run of the process.
func (s *Server) Incarnation() string { return s.incarnation }

// ConfigChanged must be called when another configuration or plan becomes active.
func (s *Server) ConfigChanged() { s.updateRouting() }
