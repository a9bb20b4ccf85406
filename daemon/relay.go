package daemon

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/chart"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/machine"
	"github.com/sapphirefield/sapphirefield/ops"
	"github.com/sapphirefield/sapphirefield/relay"
	"github.com/sapphirefield/sapphirefield/settings"
)

const (
	// relayShutdownDelay is how long an entry reports itself unready before it stops
	// accepting connections: the load balancer probes once a second and removes an
	// entry after two failed probes.
	relayShutdownDelay = 2800 * time.Millisecond
	// relayStopMargin is the part of the grace period that the drain leaves for
	// stopping the process.
	relayStopMargin = 300 * time.Millisecond
	// relayAnswerTime is the part of it in which the requests are answered that the end
	// of the process cuts off.
	relayAnswerTime = 150 * time.Millisecond
	// maxRequestHeaderBytes bounds the size of a caller's header. The configuration may
	// set a lower limit.
	maxRequestHeaderBytes = 128 << 10
	// defaultIdleTimeout and headerTimeout apply until a configuration is active.
	defaultIdleTimeout = time.Minute
)

// RelayOptions configure RunRelay.
type RelayOptions struct {
	Settings    relay.Settings
	Store       relay.Store
	Engines     relay.EngineClient
	HeaderCodec relay.HeaderCodec
	// ReadyPath is the path that the load balancer probes.
	ReadyPath string
	LogWriter io.Writer
	LogLevel  log.Level
	// Machine is what the process may use.
	Machine machine.Machine
	// Signals starts a shutdown; Reloads reports a change of the settings file.
	Signals, Reloads <-chan os.Signal
}

// relayProcess is a process with a relay.Entry.
type relayProcess struct {
	options  RelayOptions
	logger   *log.Logger
	registry metrics.Registry
	entry    *relay.Entry
	clients  *clientServer
}

// RunRelay runs a relay.Entry with its listeners until it has shut down.
func RunRelay(ctx context.Context, o RelayOptions) error {
	logger := &log.Logger{Level: o.LogLevel, TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: o.LogWriter}}
	p := &relayProcess{options: o, logger: logger, registry: metrics.NewRegistry()}
	p.entry = relay.New(relay.Options{
		Settings: o.Settings, Store: o.Store, Engines: o.Engines, HeaderCodec: o.HeaderCodec,
		Logger: logger, Metrics: p.registry, Random: newRandom(),
	})
	p.clients = newClientServer(p.entry, p.clientTimeouts, newClientLimits(o.Machine, p.headLimit, p.registry))
	p.clients.server.IdleTimeout = defaultIdleTimeout
	lc, err := newLifecycle()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	lc.id, lc.logger, lc.drainer, lc.signals = o.Settings.Instance, logger, newRequestDrainer(ctx, p.entry, p.clients.tracker, nil), o.Signals
	lc.configured, lc.shutdownDelay, lc.drainTimeout = p.entry.Configured(), relayShutdownDelay, p.drainTimeout()
	lc.onStateChange, lc.endRequests = p.onStateChange, p.endRequests

	group.Go(func() error { return p.entry.Run(ctx) })
	group.Go(func() error { return p.serveClients(ctx) })
	group.Go(func() error { return p.serveHandler(ctx, o.Settings.ReadyAddr, p.readyHandler()) })
	group.Go(func() error { return p.serveHandler(ctx, o.Settings.MetricsAddr, p.metricsHandler()) })
	group.Go(func() error { return p.handleReloads(ctx) })
	group.Go(func() error { return p.clients.tracker.report(ctx, logger, o.Settings.Instance) })
	group.Go(func() error {
		defer cancel()
		return lc.run(ctx)
	})
	logevent.Write(logger, logevent.ProcessStarted).Str("id", o.Settings.Instance).Str("role", "relay").Str("zone", o.Settings.Zone).Msg("")
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// onStateChange acts on the states of a shutdown. While unready, the entry closes
// connections after their current request and still accepts new ones. Once the
// load balancer has had time to notice, it accepts no more connections.
func (p *relayProcess) onStateChange(state chart.State) {
	switch state {
	case stateUnready:
		if limit := p.drainTimeout(); limit > 0 {
			p.entry.SetShutdownLimit(time.Now().Add(limit))
		}
		p.entry.MarkUnready()
		p.clients.tracker.closeGracefully()
		logevent.Write(p.logger, logevent.ProcessDraining).Str("id", p.options.Settings.Instance).
			Int("running", p.entry.InProgress()).Msg("")
	case stateDraining:
		// http.Server.Shutdown would drop requests that are read after it, so only the
		// listener is closed.
		p.clients.listener.close()
	}
}

// clientTimeouts returns the timeouts of connections in the configuration in force.
func (p *relayProcess) clientTimeouts() (header, idle time.Duration) {
	limits := p.entry.Limits()
	return limits.HeaderTime, limits.IdleTime
}

// headLimit returns the largest size of a header in bytes.
func (p *relayProcess) headLimit() int64 {
	if limit := p.entry.Limits().HeaderBytes; limit > 0 {
		return min(limit, maxRequestHeaderBytes)
	}
	return maxRequestHeaderBytes
}

// drainTimeout is the limit of a shutdown, from its signal on.
func (p *relayProcess) drainTimeout() time.Duration {
	return p.options.Settings.GracePeriod - relayStopMargin
}

// endRequests ends the requests in progress and waits until they are answered.
func (p *relayProcess) endRequests() {
	p.entry.EndRequests()
	awaitAnswers(p.entry, p.clients.tracker, relayAnswerTime)
}

func (p *relayProcess) handleReloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.options.Reloads:
			// The entry's settings are fixed for the lifetime of the process.
			logevent.Write(p.logger, logevent.SettingsUnchanged).Str("id", p.options.Settings.Instance).Msg("")
		}
	}
}

// readyHandler serves the load balancer's probes.
func (p *relayProcess) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+p.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := p.entry.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// metricsHandler serves metrics and health. It excludes profiles, because this
// listener has no password.
func (p *relayProcess) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	handler := p.opsHandler()
	for _, path := range []string{"/metrics", "/status", "/healthz", "/readyz"} {
		mux.Handle("GET "+path, handler)
	}
	return mux
}

func (p *relayProcess) opsHandler() http.Handler {
	return ops.New(ops.Options{
		Registry: p.registry,
		Ready:    p.entry.Ready,
		Password: settings.PasswordHash{},
		Status: func() ops.Status {
			return ops.Status{
				ID: p.options.Settings.Instance, Role: "relay", Zone: p.options.Settings.Zone,
				Revision: p.entry.Revision(), InProgress: p.entry.InProgress(),
			}
		},
	})
}

// serveHandler serves probes or metrics until ctx ends.
func (p *relayProcess) serveHandler(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	return p.listenAndServe(ctx, address, newOperatorServer(handler, p.registry))
}

// serveClients serves clients until ctx ends.
func (p *relayProcess) serveClients(ctx context.Context) error {
	return p.listenAndServe(ctx, p.options.Settings.ClientAddr, p.clients)
}

// listenAndServe runs a server until ctx ends.
func (p *relayProcess) listenAndServe(ctx context.Context, address netip.AddrPort, s *clientServer) error {
	var config net.ListenConfig
	config.KeepAlive = -1
	listener, err := config.Listen(ctx, "tcp4", address.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	listener = s.tracker.wrapListener(listener)
	s.listener.open(listener)
	s.server.ErrorLog = stdlog.New(io.Discard, "", 0)
	stop := context.AfterFunc(ctx, func() { shutdown(ctx, s.server) })
	defer stop()
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "serve")
	}
	<-ctx.Done()
	return ctx.Err()
}
