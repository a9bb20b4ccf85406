package daemon

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/console"
	"github.com/sapphirefield/sapphirefield/entry"
	"github.com/sapphirefield/sapphirefield/logservice"
	"github.com/sapphirefield/sapphirefield/ops"
	"github.com/sapphirefield/sapphirefield/plans"
)

// entryRole runs the process that callers talk to.
type entryRole struct {
	*process
	server *entry.Server
	// started is closed once server is set.
	started chan struct{}
}

func newEntryRole(p *process) *entryRole {
	return &entryRole{process: p, started: make(chan struct{})}
}

func (r *entryRole) serve(ctx context.Context) error {
	r.server = entry.New(ctx, entry.Options{
		ID: r.settings.ID, Zone: r.settings.Zone, Dialer: r.dialer(), Logger: r.logger, Metrics: r.registry,
		Config: r.document, Claims: r.log, Observe: r.burn.Observe, MaxBodyBytes: r.settings.Limits.MaxBodyBytes,
	})
	close(r.started)
	planning := plans.New(plans.Options{
		Source: r.sync, Engines: r.server.Engines, ConnectedToAllEngines: r.server.ConnectedToAllEngines, Random: seededRandom(), Logger: r.logger,
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return planning.Run(ctx) })
	group.Go(func() error { return r.servePeers(ctx) })
	group.Go(func() error {
		return r.serveHTTP(ctx, r.settings.Listen.ClientAddr.String(), r.tls.callers(), r.server.Handler())
	})
	return group.Wait()
}

// entry returns the server, or nil before it has started.
func (r *entryRole) entry() *entry.Server {
	select {
	case <-r.started:
		return r.server
	default:
		return nil
	}
}

func (r *entryRole) instances(list []logservice.Instance) {
	<-r.started
	instances := make([]entry.Instance, len(list))
	for i, in := range list {
		instances[i] = entry.Instance{
			ID: in.ID, Service: in.Service, Zone: in.Zone, Address: in.Address, Leaving: in.State == logservice.Leaving,
		}
	}
	r.server.SetInstances(instances)
}

func (r *entryRole) changed() {
	<-r.started
	r.server.ConfigChanged()
}

func (r *entryRole) ready() error {
	server := r.entry()
	if server == nil || !server.Ready() {
		return errors.New("no backend server is connected")
	}
	return nil
}

func (r *entryRole) status() ops.Status {
	server := r.entry()
	if server == nil {
		return r.baseStatus("")
	}
	status := r.baseStatus(server.Incarnation())
	status.Draining = server.Draining()
	status.InProgress = server.InProgress()
	return status
}

func (r *entryRole) mount(h *ops.Handler) {
	if !r.settings.OperatorPasswordHash.IsSet() {
		return
	}
	h.MountWithOwnAuth(console.PathPrefix+"/", console.Handler(console.Options{
		ActiveRevision: r.sync.Current, Publish: r.sync.Publish, CheckPassword: r.settings.OperatorPasswordHash.Matches,
		SecureCookie: r.tls.operators() != nil,
	}))
}

// Drain, Drained and InProgress implement worker.
func (r *entryRole) Drain() {
	<-r.started
	r.server.Drain()
}

func (r *entryRole) Drained() <-chan struct{} {
	<-r.started
	return r.server.Drained()
}

func (r *entryRole) InProgress() int {
	server := r.entry()
	if server == nil {
		return 0
	}
	return server.InProgress()
}
