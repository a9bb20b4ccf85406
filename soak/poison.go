package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	// poisonInterval is the time between two requests that crash engines.
	poisonInterval = 150 * time.Millisecond
	// crashedDowntime is how long a crashed engine is gone.
	crashedDowntime = time.Second
	// toleratedCrashes is how many crashes may happen before the entries must block the
	// part, blockLimit how long they may take for that, and lateCrashes how many may
	// still happen thereafter.
	toleratedCrashes = 5
	blockLimit       = 3 * time.Second
	lateCrashes      = 3
)

// sendPoisoned sends requests that crash engines, each through any ready entry.
func (r *soakRun) sendPoisoned(ctx context.Context, random *rand.Rand, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, poisonInterval) {
		ready := r.loadBalancer.readyEntries()
		if len(ready) == 0 {
			continue
		}
		e := r.entries[ready[random.IntN(len(ready))]]
		go r.sendOnePoisoned(ctx, e)
	}
}

func (r *soakRun) sendOnePoisoned(ctx context.Context, e *entry) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	c := platformtest.ClientRequest{
		ID: fmt.Sprintf("poison-%d", r.serverSeeds.Add(1)), Method: http.MethodPost, Target: platformtest.PathStream, Events: 3,
		Timeout: requestTimeout, Entry: e.processName(), Poisoned: true,
	}
	request, err := c.HTTPRequest(ctx, "http://"+e.clientProxy.address())
	if err != nil {
		panic(err)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

// replaceCrashed starts another engine in place of one that a request has crashed.
func (r *soakRun) replaceCrashed(ctx context.Context, engine *platformtest.Engine) {
	r.mu.Lock()
	i := slices.IndexFunc(r.engines, func(m *standIn[*platformtest.Engine]) bool { return m.server == engine })
	if i < 0 {
		r.mu.Unlock()
		return
	}
	m := r.engines[i]
	if len(r.engines) > 1 {
		r.engines = slices.Delete(r.engines, i, i+1)
	}
	r.mu.Unlock()
	crashAndReplace(ctx, r, m, crashedDowntime)
}

// crashTracker counts the engines that crash under requests with one prompt part.
type crashTracker struct {
	mu sync.Mutex
	// limit is the time by which the entries must block the part; it is set by the
	// last crash that is tolerated.
	limit       time.Time
	total, late int
}

// record counts a crash under a request through an entry, or nil if its process has
// ended. A crash is late if the entry should have blocked the part.
func (t *crashTracker) record(now time.Time, e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	switch {
	case t.total < toleratedCrashes:
	case t.total == toleratedCrashes:
		t.limit = now.Add(blockLimit)
	case now.After(t.limit) && e != nil && e.faultFreeSince(now.Add(-minFaultFreeTime)):
		t.late++
	}
}

func (t *crashTracker) check(report *Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.late > lateCrashes {
		report.addViolation("crashing prompts", "%d engines crashed under one prompt part, %d of them late", t.total, t.late)
	}
	for range t.total {
		report.count("engine crashed by a prompt")
	}
}

// entryOf returns the entry whose current process has a name, or nil.
func (r *soakRun) entryOf(processName string) *entry {
	for _, e := range r.entries {
		if e.processName() == processName {
			return e
		}
	}
	return nil
}
