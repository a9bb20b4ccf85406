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
	"github.com/sapphirefield/sapphirefield/ops"
	"github.com/sapphirefield/sapphirefield/relay"
	"github.com/sapphirefield/sapphirefield/settings"
)

const (
	// relayNotice is how long an entry that stops reports itself unready before
	// its end depends on requests alone: the load balancer asks once a second and
	// takes an entry out after two misses.
	relayNotice = 2800 * time.Millisecond
	// relayMargin is the part of the grace period that is left for the end itself.
	relayMargin = 300 * time.Millisecond
	// defaultIdleTimeout and defaultHeaderTimeout hold until a configuration is known.
	defaultIdleTimeout = time.Minute
)

// RelayOptions are what a relaying entry takes from its surroundings.
type RelayOptions struct {
	Settings    relay.Settings
	Store       relay.Store
	Engines     relay.EngineClient
	HeaderCodec relay.HeaderCodec
	// ReadyPath is what the load balancer asks.
	ReadyPath string
	LogWriter io.Writer
	LogLevel  log.Level
	// Signals ask for a shutdown, Reloads say that the settings file has changed.
	Signals, Reloads <-chan os.Signal
}

// relayProcess is one relaying entry.
type relayProcess struct {
	options  RelayOptions
	logger   *log.Logger
	registry metrics.Registry
	entry    *relay.Entry
	callers  *http.Server
	idle     *idleConns
}

// RunRelay runs a relaying entry until it has shut down.
func RunRelay(ctx context.Context, o RelayOptions) error {
	logger := &log.Logger{Level: o.LogLevel, TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: o.LogWriter}}
	p := &relayProcess{options: o, logger: logger, registry: metrics.NewRegistry()}
	p.entry = relay.New(relay.Options{
		Settings: o.Settings, Store: o.Store, Engines: o.Engines, HeaderCodec: o.HeaderCodec,
		Logger: logger, Metrics: p.registry, Random: seededRandom(),
	})
	p.idle = newIdleConns(func() (header, idle time.Duration) {
		limits := p.entry.Limits()
		return limits.HeaderTime, limits.IdleTime
	})
	p.callers = &http.Server{
		Handler: p.entry, ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdleTimeout, ConnState: p.idle.observe,
	}
	life, err := newLifecycle()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	life.id, life.logger, life.worker, life.signals = o.Settings.Instance, logger, p.entry, o.Signals
	life.revision, life.notice, life.limit = p.entry.Configured(), relayNotice, o.Settings.GracePeriod-relayMargin
	life.onState = p.changedState

	group.Go(func() error { return p.entry.Run(ctx) })
	group.Go(func() error { return p.listen(ctx, o.Settings.ClientAddr, p.callers) })
	group.Go(func() error { return p.serve(ctx, o.Settings.ReadyAddr, p.readyHandler()) })
	group.Go(func() error { return p.serve(ctx, o.Settings.MetricsAddr, p.operatorsHandler()) })
	group.Go(func() error { return p.followReloads(ctx) })
	group.Go(func() error {
		defer cancel()
		return life.run(ctx)
	})
	logevent.Write(logger, logevent.ProcessStarted).Str("id", o.Settings.Instance).Str("role", "relay").Str("zone", o.Settings.Zone).Msg("")
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// changedState acts on a step of the shutdown. At first connections end with
// their current request, while new ones are still served. Once the load balancer
// has noticed, no connection is accepted any more.
func (p *relayProcess) changedState(state chart.State) {
	switch state {
	case stateUnready:
		p.entry.MarkUnready()
		p.idle.leave()
		logevent.Write(p.logger, logevent.ProcessDraining).Str("id", p.options.Settings.Instance).
			Int("running", p.entry.InProgress()).Msg("")
	case stateDraining:
		// Shutdown returns when the last request has ended, which Drained tells too.
		go func() { _ = p.callers.Shutdown(context.Background()) }()
	}
}

func (p *relayProcess) followReloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.options.Reloads:
			// All that the entry takes from its settings holds for the life of a process.
			logevent.Write(p.logger, logevent.SettingsUnchanged).Str("id", p.options.Settings.Instance).Msg("")
		}
	}
}

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

// operatorsHandler serves what scrapers need. Profiles stay out, because this
// listener has no password.
func (p *relayProcess) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	handler := p.operatorsPages()
	for _, path := range []string{"/metrics", "/status", "/healthz", "/readyz"} {
		mux.Handle("GET "+path, handler)
	}
	return mux
}

func (p *relayProcess) operatorsPages() http.Handler {
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

// serve answers on a listener of the platform or of operators.
func (p *relayProcess) serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	return p.listen(ctx, address, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
}

func (p *relayProcess) listen(ctx context.Context, address netip.AddrPort, server *http.Server) error {
	var config net.ListenConfig
	config.KeepAlive = -1
	listener, err := config.Listen(ctx, "tcp4", address.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if server == p.callers {
		listener = p.idle.listener(listener)
	}
	server.ErrorLog = stdlog.New(io.Discard, "", 0)
	stop := context.AfterFunc(ctx, func() { shutdown(ctx, server) })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	<-ctx.Done()
	return ctx.Err()
}
