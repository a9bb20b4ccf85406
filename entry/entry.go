// Package entry is the process that callers talk to. It authenticates a
// request, picks a chain of engines or a plain server, drives the attempts,
// and tells the caller honestly what happened.
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
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Options describes an entry.
type Options struct {
	ID     string
	Zone   string
	Dialer link.Dialer
	Logger *log.Logger
	// Metrics receives counters and timers; nil means a registry of its own.
	Metrics metrics.Registry
	// Config returns the configuration in force, or nil before there is one.
	Config func() *config.Document
	// Claims is the log for claims on idempotency keys; nil refuses calls with a key.
	Claims ClaimLog
	// Trace sees each frame to and from a sidecar; one of them is nil. Tests
	// record sessions with it.
	Trace func(peer string, up *wire.WorkUp, down *wire.WorkDown)
	// Observe counts an event for the service-level objectives; nil counts nothing.
	Observe func(now time.Time, sample burn.Sample)
	// MaxSidecarsPerService bounds the sidecars of each service that the entry is connected to.
	MaxSidecarsPerService int
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// RequestTimeout bounds a whole language request.
	RequestTimeout time.Duration
}

const (
	defaultMaxBodyBytes   = 8 << 20
	defaultRequestTimeout = 2 * time.Minute
	idBytes               = 8
)

// Server is a running entry.
type Server struct {
	opts        Options
	incarnation string
	peers       *peerSet
	members     *members
	retries     *retries
	models      *modelSet
	admitter    *admitter
	claims      *claims
	meters      meters
	sequence    atomic.Uint64
	unfinished  unfinished
	indexed     atomic.Pointer[index]
	planning    planning

	mu         sync.Mutex
	draining   bool
	inProgress int
	idle       chan struct{}
}

// New returns an entry without peers. Its connections end with ctx.
func New(ctx context.Context, opts Options) *Server {
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = defaultMaxBodyBytes
	}
	if opts.MaxSidecarsPerService == 0 {
		opts.MaxSidecarsPerService = defaultWatched
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
		incarnation: randomName(),
		meters:      newMeters(opts.Metrics),
		idle:        make(chan struct{}),
	}
	s.models = newModelSet()
	s.members = newMembers()
	s.planning.since = make(map[string]time.Time)
	s.retries = newRetries()
	s.admitter = newAdmitter(uint64(now().UnixNano()))
	s.peers = newPeerSet(ctx, s)
	if opts.Claims != nil {
		s.claims = newClaims(ctx, s, opts.Claims)
	}
	return s
}

func randomName() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newRequestID returns a name that no other request has: it joins this start
// of the entry with a count.
func (s *Server) newRequestID() string {
	var count [4]byte
	n := s.sequence.Add(1)
	for i := range count {
		count[i] = byte(n >> (8 * (len(count) - 1 - i)))
	}
	return s.incarnation + "-" + hex.EncodeToString(count[:])
}

// Handler serves callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/chat/completions", s.tracked(s.serveChat))
	mux.HandleFunc("/v1/completions", s.tracked(s.serveCompletion))
	mux.HandleFunc("/v1/models", s.tracked(s.serveModels))
	mux.HandleFunc("/", s.tracked(s.servePlain))
	return mux
}

// tracked counts the request for a graceful shutdown and refuses it while draining.
func (s *Server) tracked(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		caller := newCallerWriter(s, w)
		w = caller
		if !s.begin() {
			refuseDraining(w)
			return
		}
		defer s.end()
		if r.Body != http.NoBody {
			r.Body = &callerBody{ReadCloser: r.Body, control: caller.control}
		}
		s.unfinished.add(r)
		defer s.unfinished.remove(r)
		next(w, r)
	}
}

func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inProgress++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.checkIdle()
}

// checkIdle must be called with the lock held.
func (s *Server) checkIdle() {
	if !s.draining || s.inProgress > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

// Drain makes the entry refuse new requests; those in progress go on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	logevent.Write(s.opts.Logger, logevent.ProcessDraining).Str("id", s.opts.ID).Int("running", s.inProgress).Msg("")
	s.checkIdle()
}

// Drained is closed once a draining entry has nothing in progress.
func (s *Server) Drained() <-chan struct{} { return s.idle }

// InProgress counts the requests in progress.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inProgress
}

// Draining tells whether the entry refuses new requests.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Ready tells whether the entry has a configuration, has tried every sidecar,
// reaches one of them and is not draining.
func (s *Server) Ready() bool {
	return s.opts.Config() != nil && !s.Draining() && s.peers.settled() && s.peers.connected() > 0
}

// meters are the entry's metrics.
type meters struct {
	requests, refused, tokens, recoveries metrics.Counter
	firstToken, betweenTokens, calls      metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	return meters{
		requests:      metrics.GetOrRegisterCounter("entry.requests", r),
		refused:       metrics.GetOrRegisterCounter("entry.refused", r),
		tokens:        metrics.GetOrRegisterCounter("entry.tokens", r),
		recoveries:    metrics.GetOrRegisterCounter("entry.stage_recoveries", r),
		firstToken:    metrics.GetOrRegisterTimer("entry.first_token", r),
		betweenTokens: metrics.GetOrRegisterTimer("entry.between_tokens", r),
		calls:         metrics.GetOrRegisterTimer("entry.plain_calls", r),
	}
}

// attemptKey names an attempt on the wire.
func attemptKey(request string, number uint32) attempt.Key {
	return attempt.Key{Request: request, Number: number}
}

// ConnectedSidecars counts the sidecars that the entry has a stream to.
func (s *Server) ConnectedSidecars() int { return s.peers.connected() }

// UsableSidecars counts the sidecars that may receive work now.
func (s *Server) UsableSidecars() int { return s.peers.ready(s.members) }

// Recoveries counts the stages that were lost while a request used them.
func (s *Server) Recoveries() int64 { return s.meters.recoveries.Count() }

// Incarnation names this start of the process.
func (s *Server) Incarnation() string { return s.incarnation }

// ConfigChanged tells that another configuration or plan is in force.
func (s *Server) ConfigChanged() { s.peersChanged() }
