package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

const (
	// arrivalTime is how long after the listener has closed the first bytes of a
	// request may arrive on a connection that was accepted before.
	arrivalTime = 250 * time.Millisecond
	// arrivalCheckInterval is the time between two checks for arriving requests.
	arrivalCheckInterval = 20 * time.Millisecond
)

// drainable is the work of a process that serves clients. Drained is closed once it
// drains and nothing is in progress; requests that still arrive are served.
type drainable interface {
	Drain()
	Drained() <-chan struct{}
	InProgress() int
}

// requestDrainer ends the process only when no request is in progress or arriving. A
// request counts as work only once its header has been read.
type requestDrainer struct {
	ctx     context.Context // of the process
	work    drainable
	tracker *connTracker
	// stopListening is called once no request is in progress; nil if the listener is
	// closed before Drain.
	stopListening func()
	drained       chan struct{}
	once          sync.Once
}

func newRequestDrainer(ctx context.Context, work drainable, tracker *connTracker, stopListening func()) *requestDrainer {
	return &requestDrainer{ctx: ctx, work: work, tracker: tracker, stopListening: stopListening, drained: make(chan struct{})}
}

// Drain implements drainer.
func (d *requestDrainer) Drain() {
	d.work.Drain()
	d.once.Do(func() { go d.awaitRequests() })
}

func (d *requestDrainer) awaitRequests() {
	if d.stopListening != nil {
		select {
		case <-d.ctx.Done():
			return
		case <-d.work.Drained():
		}
		d.stopListening()
	}
	pause := time.NewTimer(arrivalTime)
	defer pause.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-pause.C:
		}
		if d.work.InProgress() == 0 && d.tracker.requestsArriving() == 0 {
			close(d.drained)
			return
		}
		pause.Reset(arrivalCheckInterval)
	}
}

// Drained implements drainer.
func (d *requestDrainer) Drained() <-chan struct{} { return d.drained }

// InProgress implements drainer.
func (d *requestDrainer) InProgress() int { return d.work.InProgress() }

// answerCheckInterval is the time between two checks for requests that end.
const answerCheckInterval = 5 * time.Millisecond

// awaitAnswers waits for a while until no request is in progress and no answer is being
// written: http.Server sends the end of an answer after its handler has returned.
func awaitAnswers(work interface{ InProgress() int }, tracker *connTracker, limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(answerCheckInterval) {
		if work.InProgress() == 0 && tracker.requestsArriving() == 0 {
			return
		}
	}
}

// clientServer serves clients until its process has drained. http.Server.Shutdown drops
// requests on HTTP/1.1 connections that are read after it, so the listener is closed
// first, and the server only once nothing arrives any more. New clients are refused
// with an answer while requests are in progress.
type clientServer struct {
	server   *http.Server
	tracker  *connTracker
	listener drainableListener
}

// drainableListener is a listener that a shutdown closes, before or after it has opened.
type drainableListener struct {
	mu       sync.Mutex
	listener net.Listener
	closed   bool
}

// open sets the listener, which is closed at once if that has been asked for.
func (l *drainableListener) open(listener net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
	l.closeIfAsked()
}

// close stops accepting connections.
func (l *drainableListener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeIfAsked()
}

func (l *drainableListener) closeIfAsked() {
	if l.closed && l.listener != nil {
		_ = l.listener.Close() // fails only if it is closed already
	}
}

// noTimeouts leaves the timeouts of connections to http.Server.
func noTimeouts() (header, idle time.Duration) { return 0, 0 }

func newClientServer(handler http.Handler, timeouts func() (header, idle time.Duration), limits clientLimits) *clientServer {
	tracker := newConnTracker(timeouts, limits)
	return &clientServer{tracker: tracker, server: &http.Server{
		Handler: tracker.limitHeads(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxRequestHeaderBytes,
		ConnState: tracker.connState, ConnContext: tracker.connContext,
	}}
}

// newOperatorServer returns the server of a listener for operators or health checks.
func newOperatorServer(handler http.Handler, registry metrics.Registry) *clientServer {
	return newClientServer(handler, noTimeouts, operatorLimits(registry))
}

// listenAndServe serves until ctx ends, over plain text if tlsConfig is nil.
func (s *clientServer) listenAndServe(ctx context.Context, address string, tlsConfig *tls.Config) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	listener = s.tracker.wrapListener(listener)
	s.listener.open(listener)
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return serve(ctx, s.server, listener)
}

// serve serves on a listener until ctx ends.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		// A listener may be closed before the server.
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return errors.WithStack(err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		shutdown(ctx, server)
		return server.Close()
	})
	return group.Wait()
}

// closeGracefully stops accepting connections and closes those that are idle; the others
// end with their current request.
func (s *clientServer) closeGracefully() {
	s.tracker.closeGracefully()
	s.listener.close()
}
