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
	"github.com/sapphirefield/sapphirefield/machine"
	"github.com/sapphirefield/sapphirefield/ops"
	"github.com/sapphirefield/sapphirefield/settings"
)

const (
	// entryListInterval and sidecarListInterval are the minimum intervals between
	// reads of the instance list. A sidecar needs the list only to find some peers.
	entryListInterval   = 2 * time.Second
	sidecarListInterval = 30 * time.Second
	// maxListBytesPerSecond bounds the bandwidth of list reads: a long list is read
	// less often. The list lags behind anyway, and failures show on connections
	// sooner.
	maxListBytesPerSecond = 1024
	// burnRateInterval is the interval between evaluations of the burn rates, and
	// the width of the finest buckets of the burn report.
	burnRateInterval = 10 * time.Second
	// keyReloadInterval is the interval between checks of the TLS key files.
	keyReloadInterval = 30 * time.Second
	// headerTimeout bounds the wait for a request's header, so that idle
	// connections cannot exhaust an instance.
	headerTimeout = 10 * time.Second
	// maxResponseHeaderBytes bounds the header of a response of the platform.
	maxResponseHeaderBytes = 64 << 10
	idleTimeout            = 2 * time.Minute
	// serverShutdownTimeout bounds the wait for connections to close.
	serverShutdownTimeout = 2 * time.Second
)

// Options configure Run.
type Options struct {
	// LogWriter receives log lines.
	LogWriter io.Writer
	// Signals starts a graceful shutdown; a second signal ends the process at once.
	Signals <-chan os.Signal
	// Machine is what the process may use.
	Machine machine.Machine
}

// process holds what both roles share.
type process struct {
	settings     *settings.Settings
	machine      machine.Machine
	logger       *log.Logger
	registry     metrics.Registry
	tlsKeys      *tlsKeys
	configSync   *configsync.Sync
	logService   *logservice.Log
	instanceList *logservice.InstanceList
	peers        *peerClient
	burnMonitor  *ops.BurnRateMonitor
	netCounters  *netCounters

	mu    sync.Mutex
	state chart.State
}

// role is the part of a process that differs between entry and sidecar.
type role interface {
	drainer
	// serve runs the role until ctx ends.
	serve(ctx context.Context) error
	// setInstances passes on a new instance list.
	setInstances(list []logservice.Instance)
	// configChanged reports that the configuration or a plan has changed.
	configChanged()
	// ready returns nil when the role accepts work, otherwise the reason.
	ready() error
	status() ops.Status
	// mountHandlers adds the role's handlers to the operator listener.
	mountHandlers(h *ops.Handler)
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
	lc, err := newLifecycle()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	configured := make(chan struct{})
	lc.id, lc.logger, lc.drainer, lc.signals = s.ID, p.logger, r, options.Signals
	lc.configured, lc.shutdownDelay, lc.drainTimeout, lc.onStateChange = configured, p.shutdownDelay(), s.Limits.DrainTimeout, p.setState
	if e, ok := r.(*entryRole); ok {
		lc.endRequests = e.endRequests
	}

	group.Go(func() error { p.configSync.Run(ctx); return nil })
	group.Go(func() error { return p.followConfiguration(ctx, r, configured) })
	group.Go(func() error { return p.followInstanceList(ctx, r) })
	group.Go(func() error { return p.serveOperators(ctx, r) })
	group.Go(func() error { return p.runPeriodicTasks(ctx) })
	group.Go(func() error { return r.serve(ctx) })
	group.Go(func() error {
		defer cancel()
		return lc.run(ctx)
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
		machine:  options.Machine,
		logger:   &log.Logger{Level: s.LogLevel, TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: options.LogWriter}},
		registry: metrics.NewRegistry(),
		state:    stateStarting,
	}
	p.netCounters = newNetCounters(p.registry)
	var err error
	if p.tlsKeys, err = newTLSKeys(s); err != nil {
		return nil, err
	}
	client := p.platformClient()
	p.logService = logservice.NewLog(s.LogServiceURL.String(), client)
	p.instanceList = logservice.NewInstanceList(s.InstanceListURL.String(), client, func(err error) {
		logevent.Write(p.logger, logevent.InstanceEntryUnusable).Str("cause", err.Error()).Msg("")
	})
	p.peers = newPeerClient(s.ID, p.dialer())
	p.burnMonitor = ops.NewBurnRateMonitor(s.ID, p.logger)
	p.configSync = configsync.New(configsync.Options{
		Log: p.logService, Peers: p.peers, Logger: p.logger,
		Random:            newRandom(),
		CheckpointRecords: configsync.DefaultCheckpointRecords,
	})
	return p, nil
}

// newRandom returns a random source that differs between processes, so that they
// do not act at the same time.
func newRandom() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid())))
}

// platformClient returns the HTTP client for the log service and the instance list.
func (p *process) platformClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			return p.netCounters.wrapConn(conn), err
		},
		MaxIdleConnsPerHost:    4,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// dialer returns the dialer for connections to other processes.
func (p *process) dialer() link.Dialer {
	dialer := &net.Dialer{}
	return link.Dialer{
		TLS: p.tlsKeys.peerDialConfig(),
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			return p.netCounters.wrapConn(conn), err
		},
	}
}

// shutdownDelay is 0 for a sidecar, which is behind no load balancer: entries
// learn of its drain at once.
func (p *process) shutdownDelay() time.Duration {
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

// checkServing returns an error while the process is starting or shutting down.
func (p *process) checkServing() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != stateServing {
		return errors.Errorf("the process is %s", p.state)
	}
	return nil
}

// activeDocument returns the active configuration document, or nil.
func (p *process) activeDocument() *config.Document {
	revision := p.configSync.Current()
	if revision == nil {
		return nil
	}
	return revision.Document
}

// followConfiguration passes configuration changes to the role, and closes
// configured at the first revision.
func (p *process) followConfiguration(ctx context.Context, r role, configured chan<- struct{}) error {
	lastRevision := int64(0)
	for {
		changed := p.configSync.Changed()
		if revision := p.configSync.Current(); revision != nil {
			if lastRevision == 0 {
				close(configured)
			}
			if revision.Number != lastRevision {
				p.burnMonitor.SetObjectives(revision.Document.Objectives)
			}
			lastRevision = revision.Number
			r.configChanged()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// followInstanceList reads the instance list periodically. While it cannot be
// read, the last one stays in use.
func (p *process) followInstanceList(ctx context.Context, r role) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		list, err := p.instanceList.Instances(ctx)
		if err == nil {
			p.peers.setInstances(list)
			r.setInstances(list)
		}
		timer.Reset(p.listInterval(len(list)))
	}
}

// bytesPerInstance is the approximate size of an instance in the list.
const bytesPerInstance = 100

// listInterval returns the time until the next read of a list of the given length.
func (p *process) listInterval(instances int) time.Duration {
	minimum := entryListInterval
	if p.settings.Role == settings.RoleSidecar {
		minimum = sidecarListInterval
	}
	return max(minimum, time.Duration(instances*bytesPerInstance)*time.Second/maxListBytesPerSecond)
}

// runPeriodicTasks evaluates the burn rates and reloads the TLS keys.
func (p *process) runPeriodicTasks(ctx context.Context) error {
	evaluate := time.NewTicker(burnRateInterval)
	reload := time.NewTicker(keyReloadInterval)
	defer evaluate.Stop()
	defer reload.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-evaluate.C:
			p.burnMonitor.Evaluate(now)
		case <-reload.C:
			p.tlsKeys.reload(p.logger, p.settings.ID)
		}
	}
}

// serveOperators serves the operator listener until ctx ends.
func (p *process) serveOperators(ctx context.Context, r role) error {
	handler := ops.New(ops.Options{
		Registry: p.registry, Status: r.status, Password: p.settings.OperatorPasswordHash,
		Ready: func() error {
			if err := p.checkServing(); err != nil {
				return err
			}
			return r.ready()
		},
	})
	handler.Mount("GET /burn", p.burnMonitor)
	r.mountHandlers(handler)
	return p.serveHTTP(ctx, p.settings.Listen.OperatorAddr.String(), p.tlsKeys.operatorListenerConfig(), handler)
}

// serveHTTP serves a handler until ctx ends, over plain text if tlsConfig is nil.
func (p *process) serveHTTP(ctx context.Context, address string, tlsConfig *tls.Config, handler http.Handler) error {
	return newOperatorServer(handler, p.registry).listenAndServe(ctx, address, tlsConfig)
}

// baseStatus returns the status fields that both roles report.
func (p *process) baseStatus(incarnation string) ops.Status {
	status := p.configSync.Status()
	return ops.Status{
		ID: p.settings.ID, Role: string(p.settings.Role), Zone: p.settings.Zone, Incarnation: incarnation,
		Revision: status.Revision, Digest: status.Digest, NewerSchemaOffset: status.NewerSchemaOffset,
	}
}
