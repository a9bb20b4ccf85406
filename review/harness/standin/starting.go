package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	// lossSlack is the page's loss-slack-ms.
	lossSlack = 200 * time.Millisecond
	// storeOutage is how long the store is silent: platform_down, how = "silent", for_s = 8.
	storeOutage = 8 * time.Second
	// restartDelay is the short delay after which the platform starts an ended process again.
	restartDelay = 530 * time.Millisecond
	// rollGap is the time between a start and the next SIGTERM of the same machine.
	rollGap = 480 * time.Millisecond
	// firstDrain is how long the first stop of a serving process takes at most.
	firstDrain = 8 * time.Second
)

// balancer is the platform's choice of the entry for a new channel. All entries of this
// deployment that it looks at are in one zone.
type balancer struct {
	mu     sync.Mutex
	misses []int
}

// watch asks an entry once a second whether it is ready.
func (b *balancer) watch(ctx context.Context, w *world, n int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; ctx.Err() == nil; sleep(ctx, time.Second) {
		response, err := client.Get(w.readyURL(n))
		if err == nil {
			response.Body.Close()
		}
		b.mu.Lock()
		if err == nil && response.StatusCode == http.StatusOK {
			b.misses[n] = 0
		} else {
			b.misses[n]++
		}
		b.mu.Unlock()
	}
}

// choose returns the entry for a new channel: one of those in rotation, or of all if
// fewer than half are.
func (b *balancer) choose(w *world) *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*process
	for n, misses := range b.misses {
		if misses < 2 {
			ready = append(ready, w.entries[n])
		}
	}
	if 2*len(ready) < len(w.entries) {
		ready = w.entries
	}
	return ready[w.random.IntN(len(ready))]
}

// stopWhileStarting stops entries in turn while the store is down. Entries that have started
// meanwhile know no configuration; they get SIGTERM while requests wait in them.
func stopWhileStarting(ctx context.Context, w *world, o caseOptions) (broken []string, err error) {
	w.entryZones = []string{"changwon-a"}
	if err := w.small(ctx, o, 3, "-gap", "60ms"); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := &balancer{misses: make([]int, len(w.entries))}
	var background sync.WaitGroup
	for n := range w.entries {
		background.Go(func() { b.watch(ctx, w, n) })
	}
	stops := &stopLog{}
	var clients sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	background.Go(func() {
		// 5.44 bookings and 3 reads a second.
		for n := 0; ctx.Err() == nil; n++ {
			method, path := http.MethodPost, bookPath+"slot"
			if n%14 >= 9 {
				method, path = http.MethodGet, readPath+"slot"
			}
			clients.Go(func() {
				mu.Lock()
				entry := b.choose(w)
				mu.Unlock()
				out := w.send(context.WithoutCancel(ctx), newClient(appBudget), entry, method, path, attemptID(n), appBudget)
				ended := time.Now()
				mu.Lock()
				defer mu.Unlock()
				if out.err == nil {
					answered++
					return
				}
				if out.wroteAt.IsZero() {
					return
				}
				if stopped, found := stops.between(entry.name, out.wroteAt.Add(lossSlack), ended); found {
					broken = append(broken, fmt.Sprintf("LOST: %s %s was sent whole to %s %d ms before its SIGTERM and got neither an answer nor a refusal: %v",
						method, out.id, entry.name, stopped.Sub(out.wroteAt).Milliseconds(), out.err))
				}
			})
			sleep(ctx, 118*time.Millisecond)
		}
	})
	sleep(ctx, 3*time.Second)
	if o.trouble {
		if err := w.rollDuringOutage(ctx, stops); err != nil {
			return nil, err
		}
	} else {
		sleep(ctx, storeOutage+firstDrain)
	}
	sleep(ctx, 3*time.Second)
	cancel()
	background.Wait()
	clients.Wait()
	w.record.write("%d requests were answered", answered)
	if answered == 0 {
		return nil, fmt.Errorf("no request was answered")
	}
	return broken, nil
}

// stopLog holds when entries got SIGTERM.
type stopLog struct {
	mu    sync.Mutex
	stops []stop
}

type stop struct {
	entry string
	at    time.Time
}

func (l *stopLog) add(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stops = append(l.stops, stop{entry, time.Now()})
}

// between returns when an entry got SIGTERM in a period.
func (l *stopLog) between(entry string, from, to time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.stops {
		if s.entry == entry && s.at.After(from) && s.at.Before(to) {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// rollDuringOutage stops two of three entries at a time and starts them again, while the
// store is silent.
func (w *world) rollDuringOutage(ctx context.Context, stops *stopLog) error {
	var rolls sync.WaitGroup
	failed := make(chan error, 2)
	rolled := w.entries[:2]
	terminate := func(p *process) {
		w.record.write("SIGTERM to %s", p.name)
		stops.add(p.name)
		p.signal(syscall.SIGTERM)
	}
	for _, p := range rolled {
		terminate(p)
	}
	sleep(ctx, 2500*time.Millisecond)
	w.record.write("the store is silent")
	w.store.SetFault(platformtest.StoreFault{Silent: true})
	until := time.Now().Add(storeOutage)
	for _, p := range rolled {
		rolls.Go(func() {
			for ctx.Err() == nil {
				<-p.exited
				sleep(ctx, restartDelay)
				w.record.write("%s starts", p.name)
				if err := w.start(p, nil); err != nil {
					failed <- err
					return
				}
				if time.Until(until) < rollGap+restartDelay {
					return
				}
				sleep(ctx, rollGap)
				terminate(p)
			}
		})
	}
	sleep(ctx, time.Until(until))
	w.record.write("the store answers")
	w.store.SetFault(platformtest.StoreFault{})
	rolls.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return ctx.Err()
	}
}
