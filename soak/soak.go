// Package soak runs the real program as separate processes against stand-ins of
// the platform, injects faults from outside and checks the product's promises
// while it runs, from what callers and servers see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// Options describe a soak.
type Options struct {
	// Program is the path of sapphired.
	Program string
	// Dir takes settings and logs.
	Dir  string
	Seed uint64
	// Entries, Engines and Callers are the numbers of each.
	Entries, Engines, Clients int
	// FaultDuration is how long faults are injected, Calm how long the soak runs on after them.
	FaultDuration, SettleDuration time.Duration
	// AddressBlock separates the addresses of soaks that run at the same time.
	AddressBlock int
}

// Limits of the options, so that a soak stays a small guest of its machine.
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
	heartbeat = 400 * time.Millisecond
	grace     = 6 * time.Second
	// startLimit bounds the time until all entries are ready at first.
	startLimit = 15 * time.Second
	// recoverLimit is how long after the last fault callers must be served again, and
	// recoveredPart the part of the requests from then on that must be served.
	recoverLimit  = 12 * time.Second
	recoveredPart = 0.9
)

var zones = []string{"a", "b"}

// run is one soak.
type run struct {
	Options
	report   *Report
	store    *platformtest.Store
	fleet    *platformtest.Fleet
	entries  []*entry
	balancer *balancer
	versions versions
	seeds    atomic.Uint64

	mu      sync.Mutex
	engines members[*platformtest.Engine]
	apps    members[*platformtest.App]
}

// Run runs a soak and returns what it has seen.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r := &run{Options: o, report: newReport(o.Seed), balancer: &balancer{misses: make([]int, o.Entries)}}
	r.store = platformtest.NewStore(r.seeded(1))
	r.fleet = platformtest.NewFleet(r.store, heartbeat, func(promise, detail string) { r.report.broken(promise, "%s", detail) })
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	for i := range o.Clients {
		group.Go(func() { r.newCaller(i).call(ctx) })
	}
	r.injectAll(ctx)
	recovered := time.Now().Add(recoverLimit)
	sleep(ctx, recoverLimit+o.SettleDuration)
	if outer.Err() != nil {
		return nil, errors.Wrap(outer.Err(), "soak")
	}
	r.checkRecovery(recovered)
	cancel()
	group.Wait()
	r.checkRefused()
	return r.report, nil
}

// seeded returns a source of random numbers for one purpose.
func (r *run) seeded(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, purpose)) }

// nextSeeded returns a source for a server that starts during the soak.
func (r *run) nextSeeded() *rand.Rand { return r.seeded(1_000_000 + r.seeds.Add(1)) }

func (r *run) start(ctx context.Context) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "store")
	}
	server := &http.Server{Handler: r.store.Handler()}
	go func() { _ = server.Serve(listener) }() // ends with the soak
	context.AfterFunc(ctx, func() { server.Close() })
	r.publish()
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
	return r.awaitReady(ctx)
}

func (r *run) startEntry(ctx context.Context, i int, store string) error {
	e := &entry{program: r.Program, folder: r.Dir}
	e.settings = platformtest.EntrySettings{
		Name: fmt.Sprintf("entry-%d", i), IP: fmt.Sprintf("127.%d.%d.1", 1+r.AddressBlock, 1+i), Zone: zones[i%len(zones)],
		Heartbeat: heartbeat, GracePeriod: grace,
	}
	var err error
	if e.store, err = newProxy(store); err != nil {
		return err
	}
	e.settings.StoreAddr = e.store.address()
	if e.callers, err = newProxy(e.settings.ClientAddr()); err != nil {
		return err
	}
	r.entries = append(r.entries, e)
	if err := e.start(); err != nil {
		return err
	}
	go r.balancer.watch(ctx, i, e)
	return nil
}

// awaitReady waits until callers can be served by all entries.
func (r *run) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: readyInterval}
	deadline := time.Now().Add(startLimit)
	for _, e := range r.entries {
		for {
			if e.isReady(client) {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Errorf("%s is not ready after %s; its log is in %s", e.settings.Name, startLimit, r.Dir)
			}
			sleep(ctx, readyInterval)
		}
	}
	return nil
}

func (r *run) startEngine(zone string, kind platformtest.Accelerator) error {
	return startMember(r, &r.engines, func(public func(string) string) (*platformtest.Engine, error) {
		return r.fleet.StartEngine(platformtest.ModelService, zone, kind, r.nextSeeded(), public)
	})
}

func (r *run) startApp(service, zone string) error {
	return startMember(r, &r.apps, func(public func(string) string) (*platformtest.App, error) {
		return r.fleet.StartApp(service, zone, r.nextSeeded(), public)
	})
}

// stop ends what the soak has started.
func (r *run) stop() {
	for _, e := range r.entries {
		e.stop()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines.stop()
	r.apps.stop()
}

// checkRecovery looks whether callers are served again after the last fault.
func (r *run) checkRecovery(from time.Time) {
	s := r.report.between(from, time.Now().Add(-time.Second))
	if s.asked == 0 || float64(s.served) < recoveredPart*float64(s.asked) {
		r.report.broken("recovery", "%d of %d requests served from %s after the last fault on", s.served, s.asked, recoverLimit)
	}
}

// checkRefused looks whether requests that were said not to have run ran later.
func (r *run) checkRefused() {
	for id, status := range r.report.notRun {
		if n := len(r.fleet.Executions(id)); n > 0 {
			r.report.broken("not run", "%s: answered %d, ran %d times", id, status, n)
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
