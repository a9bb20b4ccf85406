package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// fault is a kind of fault to inject. inject returns once the fault has ended.
type fault struct {
	name   string
	inject func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration)
}

var faults = []fault{
	{"entry killed", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		r.restart(ctx, r.randomEntry(random), syscall.SIGKILL, d)
	}},
	{"entry asked to stop", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		r.restart(ctx, r.randomEntry(random), syscall.SIGTERM, d)
	}},
	{"all entries killed", func(r *soakRun, ctx context.Context, _ *rand.Rand, d time.Duration) {
		var wg sync.WaitGroup
		for _, e := range r.entries {
			wg.Go(func() { r.restart(ctx, e, syscall.SIGKILL, d/4) })
		}
		wg.Wait()
	}},
	{"entry paused", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		e := r.randomEntry(random)
		defer e.beginUnplanned()()
		e.signal(syscall.SIGSTOP)
		sleep(ctx, d)
		e.signal(syscall.SIGCONT)
	}},
	{"entry asked to reload", func(r *soakRun, _ context.Context, random *rand.Rand, _ time.Duration) {
		r.randomEntry(random).signal(syscall.SIGHUP)
	}},
	{"client link delayed", clientLinkFault(modeDelay)}, {"client link reset", clientLinkFault(modeReset)},
	{"client link stalled", clientLinkFault(modeStall)}, {"client link responses stalled", clientLinkFault(modeStallResponses)},
	{"store link delayed", storeLinkFault(modeDelay)}, {"store link reset", storeLinkFault(modeReset)},
	{"store link stalled", storeLinkFault(modeStall)}, {"store link responses stalled", storeLinkFault(modeStallResponses)},
	{"store link requests stalled", storeLinkFault(modeStallRequests)},
	{"store silent", storeFault(platformtest.StoreFault{Silent: true})},
	{"store refuses requests", storeFault(platformtest.StoreFault{RefuseRate: 0.7})},
	{"store slow", storeFault(platformtest.StoreFault{Delay: 200 * time.Millisecond})},
	{"store loses responses", storeFault(platformtest.StoreFault{LostResponseRate: 0.4})},
	{"store log compacted", func(r *soakRun, _ context.Context, _ *rand.Rand, _ time.Duration) { r.store.Compact() }},
	{"store restored from an older copy", func(r *soakRun, ctx context.Context, _ *rand.Rand, d time.Duration) {
		defer r.beginFaultOnAll()()
		r.store.SetFault(platformtest.StoreFault{RefuseRate: 1})
		sleep(ctx, d/4)
		r.store.Restore(d, 3*heartbeatInterval)
		r.store.SetFault(platformtest.StoreFault{})
		r.report.recordStoreReturn(time.Now())
	}},
	{"engine crashes", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		crashAndReplace(ctx, r, takeStandIn(r, &r.engines, random), d)
	}},
	{"engine unresponsive", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		engine := pickStandIn(r, &r.engines, random).server
		defer disrupt(engine)()
		engine.SetUnresponsive(true)
		sleep(ctx, d)
		engine.SetUnresponsive(false)
	}},
	{"engine answers no requests", engineHangFault(true, false)}, {"engine answers no status queries", engineHangFault(false, true)},
	{"engine replaced", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		drainAndReplace(ctx, r, takeStandIn(r, &r.engines, random), d)
	}},
	{"engine link reset", engineLinkFault(modeReset)}, {"engine link delayed", engineLinkFault(modeDelay)},
	{"engine link stalled", engineLinkFault(modeStall)},
	{"application server crashes", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		crashAndReplace(ctx, r, takeStandIn(r, &r.apps, random), d)
	}},
	{"application server replaced", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		drainAndReplace(ctx, r, takeStandIn(r, &r.apps, random), d)
	}},
	{"engine leaves without a record", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		leaveAndReplace(ctx, r, takeStandIn(r, &r.engines, random), d)
	}},
	{"application server leaves without a record", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		leaveAndReplace(ctx, r, takeStandIn(r, &r.apps, random), d)
	}},
	{"engine asks for a pause", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		pauseServer(ctx, pickStandIn(r, &r.engines, random).server, d)
	}},
	{"application server asks for a pause", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		pauseServer(ctx, pickStandIn(r, &r.apps, random).server, d)
	}},
	{"engine states a rate limit", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		limitRate(ctx, pickStandIn(r, &r.engines, random).server, random, d)
	}},
	{"application servers state a rate limit", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		limitRate(ctx, pickStandIn(r, &r.apps, random).server, random, d)
	}},
	{"engine sends streams without chunks", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		engine := pickStandIn(r, &r.engines, random).server
		engine.SetUnframed(true)
		sleep(ctx, d)
		engine.SetUnframed(false)
	}},
	{"application sends responses without a length", appFault(platformtest.AppFault{UnframedRate: 0.5})},
	{"prompts crash engines", poison(platformtest.CrashByPart)},
	{"one stream request crashes engines", poison(platformtest.CrashByStream)},
	{"one request crashes application servers", poison(platformtest.CrashByCall)},
	{"application loses responses", appFault(platformtest.AppFault{LostResponseRate: 0.3})},
	{"application truncates responses", appFault(platformtest.AppFault{TruncateRate: 0.3})},
	{"application fails requests", appFault(platformtest.AppFault{FailureRate: 0.4})},
	{"application sends extra bytes", appFault(platformtest.AppFault{ExtraBytesRate: 0.4})},
	{"application sends without end", appFault(platformtest.AppFault{EndlessRate: 0.3})},
	{"application drips", appFault(platformtest.AppFault{DripRate: 0.3})},
	{"application responds twice", appFault(platformtest.AppFault{LateResponseRate: 0.4})},
	{"engines silent for a second", silence(streamingEngine)},
	{"application servers silent for a second", silence(func(r *soakRun, random *rand.Rand) *proxy { return pickStandIn(r, &r.apps, random).proxy })},
	{"store silent for a second", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		defer r.beginFaultOnAll()()
		silence(func(r *soakRun, random *rand.Rand) *proxy { return r.randomEntry(random).storeProxy })(r, ctx, random, d)
	}},
	{"entries asked to stop in turn", func(r *soakRun, ctx context.Context, _ *rand.Rand, d time.Duration) {
		for _, e := range r.entries {
			r.restart(ctx, e, syscall.SIGTERM, d/4)
		}
	}},
	{"configuration changes", func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		for end := time.Now().Add(d); ctx.Err() == nil; {
			r.publish(randomVariant(random))
			if sleep(ctx, changeInterval); time.Now().After(end) {
				return
			}
		}
	}},
}

const (
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	// meanFaultInterval, the mean time between the starts of two faults, is shorter
	// than most faults, so that they overlap.
	minFaultDuration  = 200 * time.Millisecond
	maxFaultDuration  = 2500 * time.Millisecond
	meanFaultInterval = 500 * time.Millisecond
	// changeInterval is the time between two changes of the configuration.
	changeInterval = 700 * time.Millisecond
	// drainDuration is the minimum time that a draining server continues to serve.
	drainDuration = 2500 * time.Millisecond
	// exitTimeout is how long a process may take to exit after SIGTERM.
	exitTimeout = gracePeriod + 500*time.Millisecond
)

// injectFaults injects faults in an order given by the seed and returns when all have ended.
func (r *soakRun) injectFaults(ctx context.Context) {
	random := r.newRand(2)
	var wg sync.WaitGroup
	defer wg.Wait()
	for end := time.Now().Add(r.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		f := r.chooseFault(random)
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		r.report.recordFault(f.name)
		if r.Gap > 0 {
			sleep(ctx, r.Gap)
			f.inject(r, ctx, faultRandom, duration)
			continue
		}
		wg.Go(func() { f.inject(r, ctx, faultRandom, duration) })
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanFaultInterval)))
	}
}

// onlyFaults returns the faults with the given names, separated by commas, or all of them.
func onlyFaults(names string) (chosen []fault, err error) {
	if names == "" {
		return faults, nil
	}
	for _, name := range strings.Split(names, ",") {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.Errorf("only names %q, which is no fault", name)
		}
		chosen = append(chosen, faults[i])
	}
	return chosen, nil
}

func (r *soakRun) chooseFault(random *rand.Rand) fault {
	if len(r.chosen) == 1 {
		// The seeds of a single fault draw nothing for its choice.
		return r.chosen[0]
	}
	return r.chosen[random.IntN(len(r.chosen))]
}

// checkStarted records a violation if a process or stand-in could not be started.
func (r *soakRun) checkStarted(err error) {
	if err != nil {
		r.report.addViolation("soak setup", "%v", err)
	}
}

func (r *soakRun) randomEntry(random *rand.Rand) *entry {
	return r.entries[random.IntN(len(r.entries))]
}

// restart ends an entry's process with a signal and starts a new one after downtime.
func (r *soakRun) restart(ctx context.Context, e *entry, sig syscall.Signal, downtime time.Duration) {
	defer e.beginFault()()
	if sig == syscall.SIGKILL {
		defer e.beginUnplanned()()
	}
	e.restarting.Lock()
	defer e.restarting.Unlock()
	if sig == syscall.SIGTERM {
		e.askToStop()
	} else {
		e.signal(sig)
		e.signal(syscall.SIGCONT) // resumes a paused process
	}
	if !e.waitExit(exitTimeout) && sig == syscall.SIGTERM && e.activeFaultCount() == 1 {
		r.report.addViolation("end", "%s still runs %s after SIGTERM", e.settings.Name, exitTimeout)
	}
	sleep(ctx, downtime)
	if ctx.Err() == nil {
		r.checkStarted(e.start())
	}
}

// beginFaultOnAll marks the start of a fault on all entries; the returned function marks its
// end.
func (r *soakRun) beginFaultOnAll() (end func()) {
	var ends []func()
	for _, e := range r.entries {
		ends = append(ends, e.beginFault())
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// entryLinkFault returns a fault on one of the proxies of a random entry, which begin marks.
func entryLinkFault(link func(*entry) *proxy, begin func(*entry) func(), mode proxyMode) func(*soakRun, context.Context, *rand.Rand, time.Duration) {
	return func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		e := r.randomEntry(random)
		defer begin(e)()
		link(e).applyMode(ctx, mode, d)
	}
}

func clientLinkFault(mode proxyMode) func(*soakRun, context.Context, *rand.Rand, time.Duration) {
	return entryLinkFault(func(e *entry) *proxy { return e.clientProxy }, (*entry).beginUnplanned, mode)
}

func storeLinkFault(mode proxyMode) func(*soakRun, context.Context, *rand.Rand, time.Duration) {
	return entryLinkFault(func(e *entry) *proxy { return e.storeProxy }, (*entry).beginFault, mode)
}

func storeFault(f platformtest.StoreFault) func(*soakRun, context.Context, *rand.Rand, time.Duration) {
	return func(r *soakRun, ctx context.Context, _ *rand.Rand, d time.Duration) {
		defer r.beginFaultOnAll()()
		r.store.SetFault(f)
		sleep(ctx, d)
		r.store.SetFault(platformtest.StoreFault{})
	}
}

func engineLinkFault(mode proxyMode) func(*soakRun, context.Context, *rand.Rand, time.Duration) {
	return func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		engine := pickStandIn(r, &r.engines, random)
		if mode != modeDelay {
			defer disrupt(engine.server)()
		}
		engine.proxy.applyMode(ctx, mode, d)
	}
}

// disrupt marks the start of a server's disruption; the returned function marks its end.
func disrupt(s server) (end func()) { return s.Disruptions().Begin() }

const (
	// minSilence and maxSilence bound a silence of a sound server, and maxSilent how many
	// servers of a kind fall silent at once.
	minSilence = 900 * time.Millisecond
	maxSilence = 1300 * time.Millisecond
	maxSilent  = 3
	// silenceRounds is how often others fall silent, one round after another.
	silenceRounds = 3
)

// streamingEngine returns the proxy of a random engine that serves streams, or of any if
// none does: the silence of another one shows little.
func streamingEngine(r *soakRun, random *rand.Rand) *proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := random.IntN(len(r.engines))
	for j := range r.engines {
		if m := r.engines[(i+j)%len(r.engines)]; m.server.HasStreams() {
			return m.proxy
		}
	}
	return r.engines[i].proxy
}

// silence returns a fault: the links of some proxies stand still for about a second
// and go on; nothing is closed.
func silence(pick func(*soakRun, *rand.Rand) *proxy) func(*soakRun, context.Context, *rand.Rand, time.Duration) {
	return func(r *soakRun, ctx context.Context, random *rand.Rand, _ time.Duration) {
		for range silenceRounds {
			var wg sync.WaitGroup
			for range 1 + random.IntN(maxSilent) {
				p, d := pick(r, random), minSilence+time.Duration(random.Int64N(int64(maxSilence-minSilence)))
				// Beside another fault of the link it would last longer.
				if p.currentMode() == modeForward {
					wg.Go(func() { p.applyMode(ctx, modeStall, d) })
				}
			}
			wg.Wait()
		}
	}
}

// engineHangFault returns a fault: an engine answers no requests, or no status queries.
func engineHangFault(requests, status bool) func(*soakRun, context.Context, *rand.Rand, time.Duration) {
	return func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		engine := pickStandIn(r, &r.engines, random).server
		defer disrupt(engine)()
		engine.SetHanging(requests, status)
		sleep(ctx, d)
		engine.SetHanging(false, false)
	}
}

// poison returns a fault: requests that crash servers for a cause.
func poison(cause platformtest.CrashCause) func(*soakRun, context.Context, *rand.Rand, time.Duration) {
	return func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		r.sendPoisoned(ctx, random, 2*d, cause)
	}
}

func appFault(f platformtest.AppFault) func(*soakRun, context.Context, *rand.Rand, time.Duration) {
	return func(r *soakRun, ctx context.Context, random *rand.Rand, d time.Duration) {
		app := pickStandIn(r, &r.apps, random).server
		// A response without a length is no fault of its server.
		if f.UnframedRate == 0 {
			defer disrupt(app)()
		}
		app.SetFault(f)
		sleep(ctx, d)
		app.SetFault(platformtest.AppFault{})
	}
}
