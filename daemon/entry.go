package daemon

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/console"
	"github.com/sapphirefield/sapphirefield/entry"
	"github.com/sapphirefield/sapphirefield/logservice"
	"github.com/sapphirefield/sapphirefield/ops"
	"github.com/sapphirefield/sapphirefield/plans"
)

// answerTime is how long a process that ends waits for the answers to the requests that it
// cuts off. Their servers are asked whether they have executed them.
const answerTime = 1200 * time.Millisecond

// entryRole runs an entry, the process that receives client requests.
type entryRole struct {
	*process
	server  *entry.Server
	clients *clientServer
	drainer *requestDrainer
	// started is closed once the fields above are set.
	started chan struct{}
}

func newEntryRole(p *process) *entryRole {
	return &entryRole{process: p, started: make(chan struct{})}
}

func (r *entryRole) serve(ctx context.Context) error {
	r.server = entry.New(ctx, entry.Options{
		ID: r.settings.ID, Zone: r.settings.Zone, Dialer: r.dialer(), Logger: r.logger, Metrics: r.registry,
		Config: r.activeDocument, Claims: r.logService, Observe: r.burnMonitor.Observe, MaxBodyBytes: r.settings.Limits.MaxBodyBytes,
		BodyMemory: r.machine.BodyMemory(),
	})
	r.clients = newClientServer(r.server.Handler(), noTimeouts, newClientLimits(r.machine, maxHeadBytes, r.registry))
	r.drainer = newRequestDrainer(ctx, r.server, r.clients.tracker, r.clients.closeGracefully)
	close(r.started)
	planDriver := plans.New(plans.Options{
		Source: r.configSync, Engines: r.server.Engines, ConnectedToAllEngines: r.server.ConnectedToAllEngines, Random: newRandom(), Logger: r.logger,
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return planDriver.Run(ctx) })
	group.Go(func() error { return r.servePeers(ctx) })
	group.Go(func() error { return r.clients.tracker.report(ctx, r.logger, r.settings.ID) })
	group.Go(func() error {
		return r.clients.listenAndServe(ctx, r.settings.Listen.ClientAddr.String(), r.tlsKeys.clientListenerConfig())
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

func (r *entryRole) setInstances(list []logservice.Instance) {
	<-r.started
	instances := make([]entry.Instance, len(list))
	for i, instance := range list {
		instances[i] = entry.Instance{
			ID: instance.ID, Service: instance.Service, Zone: instance.Zone, Address: instance.Address, Leaving: instance.State == logservice.Leaving,
		}
	}
	r.server.SetInstances(instances)
}

func (r *entryRole) configChanged() {
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

func (r *entryRole) mountHandlers(h *ops.Handler) {
	if !r.settings.OperatorPasswordHash.IsSet() {
		return
	}
	h.MountWithOwnAuth(console.PathPrefix+"/", console.Handler(console.Options{
		ActiveRevision: r.configSync.Current, Publish: r.configSync.Publish, CheckPassword: r.settings.OperatorPasswordHash.Matches,
		SecureCookie: r.tlsKeys.operatorListenerConfig() != nil,
	}))
}

// Drain implements drainer.
func (r *entryRole) Drain() {
	<-r.started
	r.drainer.Drain()
}

// Drained implements drainer.
func (r *entryRole) Drained() <-chan struct{} {
	<-r.started
	return r.drainer.Drained()
}

// endRequests ends the requests in progress and waits until they are answered.
func (r *entryRole) endRequests() {
	if server := r.entry(); server != nil {
		server.EndRequests()
		awaitAnswers(server, r.clients.tracker, answerTime)
	}
}

// InProgress implements drainer. It returns 0 before the server has started.
func (r *entryRole) InProgress() int {
	server := r.entry()
	if server == nil {
		return 0
	}
	return server.InProgress()
}
