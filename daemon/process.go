package daemon

import (
	"context"
	"crypto/tls"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/chart"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/configsync"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/logservice"
	"github.com/sapphirefield/sapphirefield/ops"
	"github.com/sapphirefield/sapphirefield/settings"
)

const (
	// listPoll is how often an entry reads the instance list at most, and
	// listPollSidecar how often a sidecar does, which needs only some peers.
	listPoll        = 2 * time.Second
	listPollSidecar = 30 * time.Second
	// listBytesPerSecond bounds what reading the list costs: a long list is read
	// less often. It lags anyway, and direct evidence is faster.
	listBytesPerSecond = 1024
	// burnInterval is the width of the finest buckets of the burn report.
	burnInterval = 10 * time.Second
	// keyPoll is how often the files with TLS keys are looked at.
	keyPoll = 30 * time.Second
	// headerTimeout bounds the wait for a request's header, so that idle
	// connections cannot use up an instance.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// stopTimeout bounds the wait for callers' connections to close.
	stopTimeout = 2 * time.Second
)

// Options are what a process takes from its surroundings.
type Options struct {
	// LogWriter receives log lines.
	LogWriter io.Writer
	// Signals ask for a shutdown; a second one ends the process at once.
	Signals <-chan os.Signal
}

// process is what both roles share.
type process struct {
	settings *settings.Settings
	logger   *log.Logger
	registry metrics.Registry
	tls      *tlsMaterial
	sync     *configsync.Sync
	log      *logservice.Log
	list     *logservice.InstanceList
	peers    *peerStates
	burn     *ops.BurnRateMonitor
	net      *netCounters

	mu    sync.Mutex
	state chart.State
}

// role is the part of a process that differs between entry and sidecar.
type role interface {
	worker
	// serve runs the role until ctx ends.
	serve(ctx context.Context) error
	// instances takes the instance list.
	instances(list []logservice.Instance)
	// changed takes a change of the configuration or of a plan.
	changed()
	ready() error
	status() ops.Status
	// mount adds the role's handlers to the operators' listener.
	mount(h *ops.Handler)
}

// Run runs one process until it has shut down.
func Run(ctx context.Context, s *settings.Settings, options Options) error {
	p, err := newProcess(s, options)
	if err != nil {
		return err
	}
	r, err := p.newRole()
	if err != nil {
		return err
	}
	life, err := newLifecycle()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	revision := make(chan struct{})
	life.id, life.logger, life.worker, life.signals = s.ID, p.logger, r, options.Signals
	life.revision, life.notice, life.limit, life.onState = revision, p.notice(), s.Limits.DrainTimeout, p.setState

	group.Go(func() error { p.sync.Run(ctx); return nil })
	group.Go(func() error { return p.followConfiguration(ctx, r, revision) })
	group.Go(func() error { return p.followList(ctx, r) })
	group.Go(func() error { return p.serveOperators(ctx, r) })
	group.Go(func() error { return p.tick(ctx) })
	group.Go(func() error { return r.serve(ctx) })
	group.Go(func() error {
		defer cancel()
		return life.run(ctx)
	})
	logevent.Write(p.logger, logevent.ProcessStarted).Str("id", s.ID).Str("role", string(s.Role)).Str("zone", s.Zone).Msg("")
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func newProcess(s *settings.Settings, options Options) (*process, error) {
	p := &process{
		settings: s,
		logger:   &log.Logger{Level: s.LogLevel, TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: options.LogWriter}},
		registry: metrics.NewRegistry(),
		state:    stateStarting,
	}
	p.net = newNetCounters(p.registry)
	var err error
	if p.tls, err = newTLSMaterial(s); err != nil {
		return nil, err
	}
	client := p.platformClient()
	p.log = logservice.NewLog(s.LogServiceURL.String(), client)
	p.list = logservice.NewInstanceList(s.InstanceListURL.String(), client)
	p.peers = newPeerStates(s.ID, p.dialer())
	p.burn = ops.NewBurnRateMonitor(s.ID, p.logger)
	p.sync = configsync.New(configsync.Options{
		Log: p.log, Peers: p.peers, Logger: p.logger,
		Random:            seededRandom(),
		CheckpointRecords: configsync.DefaultCheckpointRecords,
	})
	return p, nil
}

// seededRandom differs between processes, so that they do not act at the same moment.
func seededRandom() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid())))
}

// platformClient counts the bytes of calls to the platform.
func (p *process) platformClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			return p.net.conn(conn), err
		},
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleTimeout,
	}}
}

func (p *process) dialer() link.Dialer {
	dialer := &net.Dialer{}
	return link.Dialer{
		TLS: p.tls.clientConfig(),
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			return p.net.conn(conn), err
		},
	}
}

// notice is 0 for a sidecar, which no load balancer watches: its entries see
// the drain at once.
func (p *process) notice() time.Duration {
	if p.settings.Role == settings.RoleSidecar {
		return 0
	}
	return p.settings.Limits.ShutdownDelay
}

func (p *process) newRole() (role, error) {
	if p.settings.Role == settings.RoleEntry {
		return newEntryRole(p), nil
	}
	return newSidecarRole(p), nil
}

func (p *process) setState(state chart.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// serving returns nil while the process is neither starting nor shutting down.
func (p *process) serving() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != stateServing {
		return errors.Errorf("the process is %s", p.state)
	}
	return nil
}

// document returns the document in force, or nil.
func (p *process) document() *config.Document {
	revision := p.sync.Current()
	if revision == nil {
		return nil
	}
	return revision.Document
}

// followConfiguration passes changes on, and closes first at the first revision.
func (p *process) followConfiguration(ctx context.Context, r role, first chan<- struct{}) error {
	known := int64(0)
	for {
		changed := p.sync.Changed()
		if revision := p.sync.Current(); revision != nil {
			if known == 0 {
				close(first)
			}
			if revision.Number != known {
				p.burn.SetObjectives(revision.Document.Objectives)
			}
			known = revision.Number
			r.changed()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// followList reads the instance list. While it cannot be read, the last one
// stays in use.
func (p *process) followList(ctx context.Context, r role) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		list, err := p.list.Instances(ctx)
		if err == nil {
			p.peers.set(list)
			r.instances(list)
		}
		timer.Reset(p.listPause(len(list)))
	}
}

// instanceBytes is about what one instance takes in the list.
const instanceBytes = 100

// listPause is the time until the list is read again.
func (p *process) listPause(instances int) time.Duration {
	least := listPoll
	if p.settings.Role == settings.RoleSidecar {
		least = listPollSidecar
	}
	return max(least, time.Duration(instances*instanceBytes)*time.Second/listBytesPerSecond)
}

// tick does what is due from time to time.
func (p *process) tick(ctx context.Context) error {
	evaluate := time.NewTicker(burnInterval)
	reload := time.NewTicker(keyPoll)
	defer evaluate.Stop()
	defer reload.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-evaluate.C:
			p.burn.Evaluate(now)
		case <-reload.C:
			p.tls.reload(p.logger, p.settings.ID)
		}
	}
}

func (p *process) serveOperators(ctx context.Context, r role) error {
	handler := ops.New(ops.Options{
		Registry: p.registry, Status: r.status, Password: p.settings.OperatorPasswordHash,
		Ready: func() error {
			if err := p.serving(); err != nil {
				return err
			}
			return r.ready()
		},
	})
	handler.Mount("GET /burn", p.burn)
	r.mount(handler)
	return p.serveHTTP(ctx, p.settings.Listen.OperatorAddr.String(), p.tls.operators(), handler)
}

// serveHTTP serves a handler until ctx ends.
func (p *process) serveHTTP(ctx context.Context, address string, tlsConfig *tls.Config, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		// The parent has ended, so the last answers get a time of their own.
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		_ = server.Shutdown(stop)
		return server.Close()
	})
	return group.Wait()
}

// baseStatus fills what both roles report alike.
func (p *process) baseStatus(incarnation string) ops.Status {
	status := p.sync.Status()
	return ops.Status{
		ID: p.settings.ID, Role: string(p.settings.Role), Zone: p.settings.Zone, Incarnation: incarnation,
		Revision: status.Revision, Digest: status.Digest, NewerSchemaOffset: status.NewerSchemaOffset,
	}
}
