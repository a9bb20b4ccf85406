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
	// toleratedPartCrashes and toleratedRequestCrashes are how many crashes may happen
	// before the entries must block a prompt part or a request, blockLimit how long they
	// may take for that, and lateCrashes how many may still happen thereafter.
	toleratedPartCrashes    = 5
	toleratedRequestCrashes = 3
	blockLimit              = 3 * time.Second
	lateCrashes             = 3
)

// poisoned returns a request that crashes servers for a cause.
func poisoned(cause platformtest.CrashCause, id, process string) platformtest.ClientRequest {
	c := platformtest.ClientRequest{ID: id, Method: http.MethodPost, Target: platformtest.PathStream, Events: 3, Timeout: requestTimeout, Entry: process}
	switch cause {
	case platformtest.CrashByPart:
		c.Poisoned = true
	case platformtest.CrashByStream:
		c.Body = platformtest.PoisonBody
	case platformtest.CrashByCall:
		c.Target, c.Events, c.Body = platformtest.PathAtMostOnce, 0, platformtest.PoisonBody
	}
	return c
}

// sendPoisoned sends requests that crash servers, each through any ready entry.
func (r *soakRun) sendPoisoned(ctx context.Context, random *rand.Rand, d time.Duration, cause platformtest.CrashCause) {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, poisonInterval) {
		ready := r.loadBalancer.readyEntries()
		if len(ready) == 0 {
			continue
		}
		e := r.entries[ready[random.IntN(len(ready))]]
		go r.sendOnePoisoned(ctx, e, cause)
	}
}

func (r *soakRun) sendOnePoisoned(ctx context.Context, e *entry, cause platformtest.CrashCause) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	c := poisoned(cause, fmt.Sprintf("poison-%d", r.serverSeeds.Add(1)), e.processName())
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

// replaceCrashed starts another server in place of one that a request has crashed.
func (r *soakRun) replaceCrashed(ctx context.Context, c platformtest.Crash) {
	if c.App != nil {
		replaceCrashed(ctx, r, &r.apps, c.App)
		return
	}
	replaceCrashed(ctx, r, &r.engines, c.Engine)
}

func replaceCrashed[S interface {
	server
	comparable
}](ctx context.Context, r *soakRun, list *standIns[S], crashed S) {
	r.mu.Lock()
	i := slices.IndexFunc(*list, func(m *standIn[S]) bool { return m.server == crashed })
	if i < 0 {
		r.mu.Unlock()
		return
	}
	m := (*list)[i]
	if len(*list) > 1 {
		*list = slices.Delete(*list, i, i+1)
	}
	r.mu.Unlock()
	crashAndReplace(ctx, r, m, crashedDowntime)
}

// crashTracker counts the servers that crash, by the cause.
type crashTracker struct {
	mu     sync.Mutex
	causes map[platformtest.CrashCause]*crashCount
}

type crashCount struct {
	// limit is the time by which the entries must block the requests; it is set by the
	// last crash that is tolerated.
	limit       time.Time
	total, late int
}

// record counts a crash under a request through an entry, or nil if its process has
// ended. A crash is late if the entry should have blocked the request.
func (t *crashTracker) record(now time.Time, cause platformtest.CrashCause, e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.causes == nil {
		t.causes = map[platformtest.CrashCause]*crashCount{}
	}
	if t.causes[cause] == nil {
		t.causes[cause] = &crashCount{}
	}
	tolerated := toleratedRequestCrashes
	if cause == platformtest.CrashByPart {
		tolerated = toleratedPartCrashes
	}
	c := t.causes[cause]
	c.total++
	switch {
	case c.total < tolerated:
	case c.total == tolerated:
		c.limit = now.Add(blockLimit)
	case now.After(c.limit) && e != nil && e.faultFreeSince(now.Add(-minFaultFreeTime)):
		c.late++
	}
}

func (t *crashTracker) check(report *Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for cause, c := range t.causes {
		if c.late > lateCrashes {
			report.addViolation("crashing requests", "%d servers crashed under one %s, %d of them late", c.total, cause, c.late)
		}
		for range c.total {
			report.count("server crashed by a " + string(cause))
		}
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
