// Package soak runs sapphired in relay mode as separate processes against
// stand-ins of the platform, injects faults from outside and checks the router's
// invariants at the clients and the backend servers while it runs.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// Options configures a soak.
type Options struct {
	// Program is the path of sapphired.
	Program string
	// Dir is the directory for settings files and logs.
	Dir  string
	Seed uint64
	// Entries, Engines and Callers are the numbers of entry processes, stand-in
	// engines and clients.
	Entries, Engines, Clients int
	// FaultDuration is how long faults are injected, Calm how long the soak continues after
	// the time allowed for recovery.
	FaultDuration, SettleDuration time.Duration
	// Only names the only faults to inject, separated by commas; empty for all.
	Only string
	// Gap is the time before the first fault and after the end of each, or 0 for faults
	// that overlap.
	Gap time.Duration
	// AddressBlock selects the block of loopback addresses; soaks that run at the same time
	// need different ones.
	AddressBlock int
}

// Limits of the options, which keep a soak's load on the machine small.
const (
	maxEntries = 200
	maxLane    = 250
)

func (o Options) check() error {
	switch {
	case o.Entries < 1 || o.Entries > maxEntries:
		return errors.Errorf("entries is %d; must be 1 to %d", o.Entries, maxEntries)
	case o.Engines < 3:
		return errors.Errorf("engines is %d; must be at least 3", o.Engines)
	case o.Clients < 1:
		return errors.Errorf("callers is %d; must be at least 1", o.Clients)
	case o.AddressBlock < 0 || o.AddressBlock > maxLane:
		return errors.Errorf("lane is %d; must be 0 to %d", o.AddressBlock, maxLane)
	}
	return nil
}

const (
	heartbeatInterval = 400 * time.Millisecond
	gracePeriod       = 6 * time.Second
	// startTimeout is how long the entries may take to become ready at the start.
	startTimeout = 15 * time.Second
	// recoveryTimeout is the time allowed for recovery after the last fault, and
	// minServedFraction the fraction of later requests that must be served.
	recoveryTimeout   = 12 * time.Second
	minServedFraction = 0.9
)

var zones = []string{"a", "b"}

// soakRun is the state of one soak.
type soakRun struct {
	Options
	report       *Report
	store        *platformtest.Store
	fleet        *platformtest.Fleet
	entries      []*entry
	loadBalancer *loadBalancer
	revisions    revisionTracker
	serverSeeds  atomic.Uint64
	// leavingServers is what servers have told the entries.
	leavingServers leavingTracker
	crashes        crashTracker
	// chosen are the faults to inject.
	chosen []fault
	// lateJudgements are those of requests that have ended without an answer.
	lateJudgements sync.WaitGroup

	mu      sync.Mutex
	engines standIns[*platformtest.Engine]
	apps    standIns[*platformtest.App]
}

// blockPort is the port that a soak listens on at an address of its own block, so that
// another one does not use the block at the same time.
const blockPort = 9100

// ErrBlockInUse means that another soak uses the block of addresses.
var ErrBlockInUse = errors.New("another soak uses this block of addresses; choose another lane")

// claimBlock claims the block of addresses until the returned listener is closed.
func (o Options) claimBlock() (net.Listener, error) {
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.254.1:%d", 1+o.AddressBlock, blockPort))
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, ErrBlockInUse
	}
	return listener, errors.WithStack(err)
}

// Run runs a soak and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	chosen, err := onlyFaults(o.Only)
	if err != nil {
		return nil, err
	}
	claim, err := o.claimBlock()
	if err != nil {
		return nil, err
	}
	defer claim.Close()
	r := &soakRun{Options: o, chosen: chosen, report: newReport(o.Seed), loadBalancer: &loadBalancer{failedChecks: make([]int, o.Entries)}}
	r.store = platformtest.NewStore(r.newRand(1))
	r.fleet = platformtest.NewFleet(r.store, heartbeatInterval, func(invariant, detail string) { r.report.addViolation(invariant, "%s", detail) })
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.stop()
	r.fleet.IsFaultFree = func(process string) bool {
		e := r.entryOf(process)
		return e != nil && e.faultFreeSince(time.Now().Add(-minFaultFreeTime))
	}
	r.fleet.OnCrash = func(c platformtest.Crash) {
		r.crashes.record(time.Now(), c.Cause, r.entryOf(c.Process))
		go r.replaceCrashed(ctx, c)
	}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	for i := range o.Clients {
		wg.Go(func() { r.newLoadClient(i).run(ctx) })
	}
	r.injectFaults(ctx)
	recoveryDeadline := time.Now().Add(recoveryTimeout)
	sleep(ctx, recoveryTimeout+o.SettleDuration)
	if parent.Err() != nil {
		return nil, errors.Wrap(parent.Err(), "soak")
	}
	r.checkRecovery(recoveryDeadline)
	r.checkStoreReturns()
	cancel()
	wg.Wait()
	r.lateJudgements.Wait()
	r.checkNotExecuted()
	r.crashes.check(r.report)
	return r.report, nil
}

// newRand returns the random source of a stream, so that each use draws from its own.
func (r *soakRun) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, stream)) }

// newServerRand returns a new random source for each stand-in server.
func (r *soakRun) newServerRand() *rand.Rand { return r.newRand(1_000_000 + r.serverSeeds.Add(1)) }

func (r *soakRun) start(ctx context.Context) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "store")
	}
	server := &http.Server{Handler: r.store.Handler()}
	go func() { _ = server.Serve(listener) }() // returns when the soak ends
	context.AfterFunc(ctx, func() { server.Close() })
	r.publish(platformtest.ConfigurationVariant{RouteTimeout: maxRouteTimeout})
	for i := range r.Engines {
		if err := r.startEngine(zones[i%len(zones)], platformtest.Accelerators[i%len(platformtest.Accelerators)]); err != nil {
			return err
		}
	}
	for i := range 2 * len(zones) {
		for _, service := range []string{platformtest.ServiceA, platformtest.ServiceB} {
			if err := r.startApp(service, zones[i%len(zones)]); err != nil {
				return err
			}
		}
	}
	for i := range r.Options.Entries {
		if err := r.startEntry(ctx, i, listener.Addr().String()); err != nil {
			return err
		}
	}
	return r.waitReady(ctx)
}

func (r *soakRun) startEntry(ctx context.Context, i int, store string) error {
	e := &entry{program: r.Program, folder: r.Dir}
	e.settings = platformtest.EntrySettings{
		Name: fmt.Sprintf("entry-%d", i), IP: fmt.Sprintf("127.%d.%d.1", 1+r.AddressBlock, 1+i), Zone: zones[i%len(zones)],
		Heartbeat: heartbeatInterval, GracePeriod: gracePeriod,
	}
	var err error
	if e.storeProxy, err = newProxy(store); err != nil {
		return err
	}
	e.settings.StoreAddr = e.storeProxy.address()
	if e.clientProxy, err = newProxy(e.settings.ClientAddr()); err != nil {
		return err
	}
	r.entries = append(r.entries, e)
	if err := e.start(); err != nil {
		return err
	}
	go r.loadBalancer.pollReadiness(ctx, i, e)
	return nil
}

// waitReady waits until all entries are ready.
func (r *soakRun) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: readinessInterval}
	deadline := time.Now().Add(startTimeout)
	for _, e := range r.entries {
		for {
			if e.isReady(client) {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Errorf("%s is not ready after %s; its log is in %s", e.settings.Name, startTimeout, r.Dir)
			}
			sleep(ctx, readinessInterval)
		}
	}
	return nil
}

func (r *soakRun) startEngine(zone string, accelerator platformtest.Accelerator) error {
	return startStandIn(r, &r.engines, func(publicAddress func(string) string) (*platformtest.Engine, error) {
		return r.fleet.StartEngine(platformtest.ModelService, zone, accelerator, r.newServerRand(), publicAddress)
	})
}

func (r *soakRun) startApp(service, zone string) error {
	return startStandIn(r, &r.apps, func(publicAddress func(string) string) (*platformtest.App, error) {
		return r.fleet.StartApp(service, zone, r.newServerRand(), publicAddress)
	})
}

// stop ends all processes, servers and proxies of the soak.
func (r *soakRun) stop() {
	for _, e := range r.entries {
		e.stop()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines.stop()
	r.apps.stop()
}

// checkRecovery checks that clients are served again once the time allowed for
// recovery is over.
func (r *soakRun) checkRecovery(from time.Time) {
	requests := r.report.requestsBetween(from, time.Now().Add(-time.Second))
	if requests.sent == 0 || float64(requests.served) < minServedFraction*float64(requests.sent) {
		r.report.addViolation("recovery", "%d of %d requests served later than %s after the last fault", requests.served, requests.sent, recoveryTimeout)
	}
}

const (
	// returnLimit is how long after the store's return clients must be served again, and
	// returnWindow the time then looked at.
	returnLimit  = 2 * time.Second
	returnWindow = 2 * time.Second
)

// checkStoreReturns counts the requests that are served after the store has come back.
// Other faults would explain failures, so it is a check only if there are none.
func (r *soakRun) checkStoreReturns() {
	for _, at := range r.report.storeReturns() {
		from := at.Add(returnLimit)
		requests := r.report.requestsBetween(from, from.Add(returnWindow))
		r.report.countRequests("after a return of the store", requests)
		if len(r.chosen) == 1 && float64(requests.served) < minServedFraction*float64(requests.sent) {
			r.report.addViolation("store return", "%d of %d requests served from %s after it on", requests.served, requests.sent, returnLimit)
		}
	}
}

// checkNotExecuted checks that requests whose response implied that they were not
// executed were not executed later.
func (r *soakRun) checkNotExecuted() {
	for id, status := range r.report.notExecuted {
		if n := len(r.fleet.Executions(id)); n > 0 {
			r.report.addViolation("not executed", "%s: status %d, executed %d times", id, status, n)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
