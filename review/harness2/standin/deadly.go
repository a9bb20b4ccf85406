package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["deadly-query"] = func(w *world, trouble bool) (bool, error) { return deadly(w, trouble, true) }
	// The same with one query throughout is no case: the entries block that request.
	cases["deadly-same"] = func(w *world, trouble bool) (bool, error) { return deadly(w, trouble, false) }
}

const (
	// downTime is how long a server is away after a request has crashed it.
	downTime = 2 * time.Second
	// deadlyGap is the time between two sends of the request that crashes servers.
	deadlyGap = 1500 * time.Millisecond
	// maxDeadly is how many of these requests may reach servers later than contact-ms after
	// the third crash.
	maxDeadly  = 3
	deadlyBody = "slot 17, crane 4"
)

// deadlyService is a plain service whose servers a request crashes.
type deadlyService struct {
	*world
	mu sync.Mutex
	// crashedAt are the times of the crashes, started counts the servers.
	crashedAt []time.Time
	started   int
	// late counts the deadly requests that reach servers too late.
	late int
}

// reach records a request that has reached a server, and reports whether it crashes it.
func (d *deadlyService) reach(r *http.Request, body string) bool {
	if r.URL.Path != "/book/slot" || body != deadlyBody {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if len(d.crashedAt) >= 3 && now.Sub(d.crashedAt[2]) > contactTime {
		d.late++
		d.log("a request that crashes servers has reached one %v after the third crash: %s", now.Sub(d.crashedAt[2]).Round(time.Millisecond), r.RequestURI)
	}
	d.crashedAt = append(d.crashedAt, now)
	return true
}

// run keeps a server at an address: it comes back some time after each crash.
func (d *deadlyService) run(address string) error {
	d.mu.Lock()
	d.started++
	id := fmt.Sprintf("i-orders-%d", d.started)
	d.mu.Unlock()
	s, err := d.startPlainAt(id, "orderbook", address, d.reach)
	if err != nil {
		return err
	}
	go func() {
		<-s.stop
		d.log("server %s at %s has crashed", s.id, s.address)
		time.AfterFunc(recordLife, func() { _ = putRecord(d.storeURL(), "keyed.servers", s.id, nil) })
		time.Sleep(downTime)
		_ = d.run(s.address)
	}()
	return nil
}

// deadly: one request of a caller crashes each server that begins to run it, and comes again
// with the same path, caller and body, at any entry; with another query each time if
// otherQuery is set.
func deadly(w *world, trouble, otherQuery bool) (broken bool, err error) {
	if err := w.putConfig(smallConfig(1)); err != nil {
		return false, err
	}
	d := &deadlyService{world: w}
	for range 6 {
		if err := d.run(w.prefix + ".201:0"); err != nil {
			return false, err
		}
	}
	for n := range 3 {
		if _, err := w.startEntry(n + 1); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	stop, clients := make(chan struct{}), sync.WaitGroup{}
	var mu sync.Mutex
	answered, unknown := 0, 0
	for client := range 8 {
		clients.Go(func() {
			for n := 0; !isClosed(stop); n++ {
				id := fmt.Sprintf("%04x%04x", client, n)
				r := exchange(w.entries[n%3].settings.ClientAddr(), http.MethodPost, appRequest(http.MethodPost, "/book/other", id, "slot "+id), 5*time.Second)
				mu.Lock()
				if r.status == http.StatusOK {
					answered++
				} else if r.status != http.StatusServiceUnavailable {
					unknown++
					w.log("sound booking %s: %v", id, r)
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for n := range 16 {
		if trouble {
			id, path := fmt.Sprintf("d%07x", n), "/book/slot"
			if otherQuery {
				path += fmt.Sprintf("?t=%d", 1000+n)
			}
			w.log("send POST %s, %s", path, id)
			w.log("answer to %s: %v", id, exchange(w.entries[n%3].settings.ClientAddr(), http.MethodPost, appRequest(http.MethodPost, path, id, deadlyBody), 5*time.Second))
		}
		time.Sleep(deadlyGap)
	}
	close(stop)
	clients.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	w.log("%d crashes; %d sound bookings answered, %d without a known outcome; %d deadly requests reached servers too late", len(d.crashedAt), answered, unknown, d.late)
	return d.late > maxDeadly, nil
}
