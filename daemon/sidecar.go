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

// drainLinger is how long a sidecar stays at least once it drains. Entries may
// have sent it work before they heard of the drain; it must be refused with a
// certain "not run", and not be lost with the connection.
const drainLinger = time.Second

// sidecarRole runs the process beside one backend server.
type sidecarRole struct {
	*process
	*sidecar.Server
	// orders drives an engine whose range comes from plans; nil for others.
	orders *orders.Driver
	// drained is closed when nothing is in progress and the linger has passed.
	drained chan struct{}
}

// Drain implements worker. The lifecycle calls it once.
func (r *sidecarRole) Drain() {
	r.Server.Drain()
	time.AfterFunc(drainLinger, func() {
		<-r.Server.Drained()
		close(r.drained)
	})
}

// Drained implements worker.
func (r *sidecarRole) Drained() <-chan struct{} { return r.drained }

func newSidecarRole(p *process) *sidecarRole {
	s := p.settings
	options := sidecar.Options{
		ID: s.ID, Zone: s.Zone, Service: s.Backend.Service, Model: s.Backend.Model,
		Backend: "http://" + s.Backend.Address.String(), Dialer: p.dialer(), TLS: p.tls.peers(),
		Authorize: p.tls.authorize(), Logger: p.logger, MaxBodyBytes: int(s.Limits.MaxBodyBytes),
		Revision: revisionReply(p.sync),
	}
	fixed := s.Backend.Layers != settings.LayerRange{}
	switch {
	case s.Backend.Kind == settings.BackendEngine && fixed:
		options.Layers = &wire.LayerRange{First: uint32(s.Backend.Layers.First), Limit: uint32(s.Backend.Layers.Limit)}
	case s.Backend.Kind == settings.BackendEngine:
		options.Placed = true
	}
	r := &sidecarRole{process: p, Server: sidecar.New(options), drained: make(chan struct{})}
	if options.Placed {
		r.orders = orders.New(orders.Options{
			ID: s.ID, Model: s.Backend.Model, Backend: options.Backend, Source: p.sync, Sidecar: r.Server, Logger: p.logger,
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
	group.Go(func() error { return r.Serve(ctx, countedListener{Listener: listener, counters: r.net}) })
	if r.orders != nil {
		group.Go(func() error { return r.orders.Run(ctx) })
	}
	return group.Wait()
}

func (r *sidecarRole) instances([]logservice.Instance) {}

func (r *sidecarRole) changed() {}

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

func (r *sidecarRole) mount(*ops.Handler) {}
