package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// fault is one kind of trouble. It ends before inject returns.
type fault struct {
	kind   string
	inject func(r *run, ctx context.Context, random *rand.Rand, d time.Duration)
}

var faults = []fault{
	{"entry killed", func(r *run, ctx context.Context, random *rand.Rand, d time.Duration) {
		r.restart(ctx, r.anyEntry(random), syscall.SIGKILL, d)
	}},
	{"entry asked to stop", func(r *run, ctx context.Context, random *rand.Rand, d time.Duration) {
		r.restart(ctx, r.anyEntry(random), syscall.SIGTERM, d)
	}},
	{"all entries killed", func(r *run, ctx context.Context, _ *rand.Rand, d time.Duration) {
		var group sync.WaitGroup
		for _, e := range r.entries {
			group.Go(func() { r.restart(ctx, e, syscall.SIGKILL, d/4) })
		}
		group.Wait()
	}},
	{"entry paused", func(r *run, ctx context.Context, random *rand.Rand, d time.Duration) {
		e := r.anyEntry(random)
		e.begin()
		defer e.end()
		e.signal(syscall.SIGSTOP)
		sleep(ctx, d)
		e.signal(syscall.SIGCONT)
	}},
	{"entry asked to reload", func(r *run, _ context.Context, random *rand.Rand, _ time.Duration) {
		r.anyEntry(random).signal(syscall.SIGHUP)
	}},
	{"callers delayed", callerLink(modeDelay)}, {"callers reset", callerLink(modeReset)},
	{"callers silenced", callerLink(modeSilent)}, {"callers cut one way", callerLink(modeOneWay)},
	{"store delayed for an entry", storeLink(modeDelay)}, {"store reset for an entry", storeLink(modeReset)},
	{"store silent for an entry", storeLink(modeSilent)}, {"store cut one way for an entry", storeLink(modeOneWay)},
	{"store refuses", storeFault(platformtest.StoreFault{RefuseRate: 0.7})},
	{"store slow", storeFault(platformtest.StoreFault{Delay: 200 * time.Millisecond})},
	{"store loses answers", storeFault(platformtest.StoreFault{LostResponseRate: 0.4})},
	{"store forgets history", func(r *run, _ context.Context, _ *rand.Rand, _ time.Duration) { r.store.Compact() }},
	{"engine crashes", func(r *run, ctx context.Context, random *rand.Rand, d time.Duration) {
		crash(ctx, r, take(r, &r.engines, random), d)
	}},
	{"engine silent", func(r *run, ctx context.Context, random *rand.Rand, d time.Duration) {
		engine := pick(r, &r.engines, random).server
		engine.SetUnresponsive(true)
		sleep(ctx, d)
		engine.SetUnresponsive(false)
	}},
	{"engine replaced", func(r *run, ctx context.Context, random *rand.Rand, d time.Duration) {
		replace(ctx, r, take(r, &r.engines, random), d)
	}},
	{"engine link reset", engineLink(modeReset)}, {"engine link delayed", engineLink(modeDelay)},
	{"engine link silent", engineLink(modeSilent)},
	{"application server crashes", func(r *run, ctx context.Context, random *rand.Rand, d time.Duration) {
		crash(ctx, r, take(r, &r.apps, random), d)
	}},
	{"application server replaced", func(r *run, ctx context.Context, random *rand.Rand, d time.Duration) {
		replace(ctx, r, take(r, &r.apps, random), d)
	}},
	{"application loses answers", appFault(platformtest.AppFault{LostResponseRate: 0.3})},
	{"application cuts answers", appFault(platformtest.AppFault{TruncateRate: 0.3})},
	{"application fails", appFault(platformtest.AppFault{FailureRate: 0.4})},
	{"application sends extra bytes", appFault(platformtest.AppFault{ExtraBytesRate: 0.4})},
	{"configuration changes", func(r *run, _ context.Context, _ *rand.Rand, _ time.Duration) { r.publish() }},
}

const (
	// leastFault and longestFault bound a fault, and faultPause the mean time until
	// the next one begins, so that faults overlap.
	leastFault   = 200 * time.Millisecond
	longestFault = 2500 * time.Millisecond
	faultPause   = 500 * time.Millisecond
	// drainTime is how long a server that leaves goes on serving.
	drainTime = 2500 * time.Millisecond
	// endLimit bounds the end of a process that was asked to stop.
	endLimit = grace + 500*time.Millisecond
)

// injectAll injects faults in the order that the seed gives, and returns when all have ended.
func (r *run) injectAll(ctx context.Context) {
	random := r.seeded(2)
	var group sync.WaitGroup
	defer group.Wait()
	for end := time.Now().Add(r.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		f := faults[random.IntN(len(faults))]
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		d := leastFault + time.Duration(random.Int64N(int64(longestFault-leastFault)))
		r.report.fault(f.kind)
		group.Go(func() { f.inject(r, ctx, own, d) })
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(faultPause)))
	}
}

// must reports a stand-in that could not be started.
func (r *run) must(err error) {
	if err != nil {
		r.report.broken("soak itself", "%v", err)
	}
}

func (r *run) anyEntry(random *rand.Rand) *entry { return r.entries[random.IntN(len(r.entries))] }

// restart ends an entry's process with a signal and starts another one.
func (r *run) restart(ctx context.Context, e *entry, s syscall.Signal, d time.Duration) {
	e.begin()
	defer e.end()
	e.restarting.Lock()
	defer e.restarting.Unlock()
	e.signal(s)
	if s == syscall.SIGKILL {
		e.signal(syscall.SIGCONT) // a paused process ends when it goes on
	}
	if !e.awaitEnd(endLimit) && s == syscall.SIGTERM && e.faultCount() == 1 {
		r.report.broken("end", "%s runs on %s after SIGTERM", e.settings.Name, endLimit)
	}
	sleep(ctx, d)
	if ctx.Err() == nil {
		r.must(e.start())
	}
}

// entryLink lets a proxy of an entry misbehave.
func entryLink(link func(*entry) *proxy, mode proxyMode) func(*run, context.Context, *rand.Rand, time.Duration) {
	return func(r *run, ctx context.Context, random *rand.Rand, d time.Duration) {
		e := r.anyEntry(random)
		e.begin()
		defer e.end()
		link(e).misbehave(ctx, mode, d)
	}
}

func callerLink(mode proxyMode) func(*run, context.Context, *rand.Rand, time.Duration) {
	return entryLink(func(e *entry) *proxy { return e.callers }, mode)
}

func storeLink(mode proxyMode) func(*run, context.Context, *rand.Rand, time.Duration) {
	return entryLink(func(e *entry) *proxy { return e.store }, mode)
}

func storeFault(f platformtest.StoreFault) func(*run, context.Context, *rand.Rand, time.Duration) {
	return func(r *run, ctx context.Context, _ *rand.Rand, d time.Duration) {
		for _, e := range r.entries {
			e.begin()
			defer e.end()
		}
		r.store.SetFault(f)
		sleep(ctx, d)
		r.store.SetFault(platformtest.StoreFault{})
	}
}

func engineLink(mode proxyMode) func(*run, context.Context, *rand.Rand, time.Duration) {
	return func(r *run, ctx context.Context, random *rand.Rand, d time.Duration) {
		pick(r, &r.engines, random).proxy.misbehave(ctx, mode, d)
	}
}

func appFault(f platformtest.AppFault) func(*run, context.Context, *rand.Rand, time.Duration) {
	return func(r *run, ctx context.Context, random *rand.Rand, d time.Duration) {
		app := pick(r, &r.apps, random).server
		app.SetFault(f)
		sleep(ctx, d)
		app.SetFault(platformtest.AppFault{})
	}
}
