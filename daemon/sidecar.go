package daemon

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/logservice"
	"github.com/sapphirefield/sapphirefield/ops"
	"github.com/sapphirefield/sapphirefield/orders"
	"github.com/sapphirefield/sapphirefield/settings"
	"github.com/sapphirefield/sapphirefield/sidecar"
	"github.com/sapphirefield/sapphirefield/wire"
)

// minDrainTime is the minimum time that a sidecar keeps running after its drain
// starts. Entries may have sent work before they learned of the drain; it must be
// refused as certainly not executed rather than lost with the connection.
const minDrainTime = time.Second

// sidecarRole runs a sidecar, the process beside one backend server.
type sidecarRole struct {
	*process
	*sidecar.Server
	// orders sends layer assignments to an engine whose layer range comes from
	// placement plans; nil for other backend servers.
	orders *orders.Driver
	// drained is closed when nothing is in progress and minDrainTime has passed.
	drained chan struct{}
}

// Drain implements drainer. It must be called once only.
func (r *sidecarRole) Drain() {
	r.Server.Drain()
	time.AfterFunc(minDrainTime, func() {
		<-r.Server.Drained()
		close(r.drained)
	})
}

// Drained implements drainer.
func (r *sidecarRole) Drained() <-chan struct{} { return r.drained }

func newSidecarRole(p *process) *sidecarRole {
	s := p.settings
	options := sidecar.Options{
		ID: s.ID, Zone: s.Zone, Service: s.Backend.Service, Model: s.Backend.Model,
		Backend: "http://" + s.Backend.Address.String(), Dialer: p.dialer(), TLS: p.tlsKeys.peerListenerConfig(),
		Authorize: p.tlsKeys.authorize(), Logger: p.logger, MaxBodyBytes: int(s.Limits.MaxBodyBytes),
		Revision: revisionHandler(p.configSync),
	}
	fixedLayers := s.Backend.Layers != settings.LayerRange{}
	switch {
	case s.Backend.Kind == settings.BackendEngine && fixedLayers:
		options.Layers = &wire.LayerRange{First: uint32(s.Backend.Layers.First), Limit: uint32(s.Backend.Layers.Limit)}
	case s.Backend.Kind == settings.BackendEngine:
		options.Placed = true
	}
	r := &sidecarRole{process: p, Server: sidecar.New(options), drained: make(chan struct{})}
	if options.Placed {
		r.orders = orders.New(orders.Options{
			ID: s.ID, Model: s.Backend.Model, Backend: options.Backend, Source: p.configSync, Sidecar: r.Server, Logger: p.logger,
		})
	}
	return r
}

func (r *sidecarRole) serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.settings.Listen.PeerAddr.String())
	if err != nil {
		return errors.WithStack(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.Serve(ctx, countingListener{Listener: listener, counters: r.netCounters}) })
	if r.orders != nil {
		group.Go(func() error { return r.orders.Run(ctx) })
	}
	return group.Wait()
}

func (r *sidecarRole) setInstances([]logservice.Instance) {}

func (r *sidecarRole) configChanged() {}

func (r *sidecarRole) ready() error {
	if !r.BackendUp() {
		return errors.New("the backend server does not answer")
	}
	return nil
}

func (r *sidecarRole) status() ops.Status {
	status := r.baseStatus(r.Incarnation())
	status.Service = r.settings.Backend.Service
	status.Draining = r.Draining()
	status.InProgress = r.InProgress()
	return status
}

func (r *sidecarRole) mountHandlers(*ops.Handler) {}
