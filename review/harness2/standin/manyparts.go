package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["many-parts"] = func(w *world, trouble bool) (bool, error) { return deadlyPart(w, trouble, 20) }
	// The same with few parts is no case: the entries block the part.
	cases["few-parts"] = func(w *world, trouble bool) (bool, error) { return deadlyPart(w, trouble, 4) }
}

const (
	deadlyPartID = "dead0001"
	// maxPartRequests is how many requests with the part may reach engines later than
	// contact-ms after the fifth crash.
	maxPartRequests = 3
	partCrashes     = 5
	wholeLayers     = 12
)

// partGuard records what a part of prompts does to engines.
type partGuard struct {
	*world
	mu        sync.Mutex
	crashedAt []time.Time
	late      int
	started   int
}

// reach records a request that begins at an engine, and reports whether it crashes the engine.
func (g *partGuard) reach(r *http.Request) bool {
	parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	deadly := false
	for _, part := range parts[:len(parts)-1] {
		deadly = deadly || strings.HasPrefix(part, deadlyPartID+":")
	}
	if !deadly {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if len(g.crashedAt) >= partCrashes && now.Sub(g.crashedAt[partCrashes-1]) > contactTime {
		g.late++
		g.log("a request with the part has reached an engine %v after the fifth crash: %s", now.Sub(g.crashedAt[partCrashes-1]).Round(time.Millisecond), r.Header.Get("X-Attempt-Id"))
	}
	g.crashedAt = append(g.crashedAt, now)
	return true
}

// run keeps an engine at an address: it comes back some time after each crash.
func (g *partGuard) run(address string) error {
	g.mu.Lock()
	g.started++
	id := fmt.Sprintf("i-quote-%d", g.started)
	g.mu.Unlock()
	e, err := g.startEngine(id, "llm-quote", "t4", 14400, 1000, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.crashes = g.reach
	e.mu.Unlock()
	go func() {
		<-e.stop
		time.Sleep(downTime)
		_ = g.run(e.address)
	}()
	return nil
}

// deadlyPart: one part of prompts crashes each engine that begins to write an answer on it.
// Requests with it, of a number of parts, come at any entry, no two alike.
func deadlyPart(w *world, trouble bool, parts int) (broken bool, err error) {
	config := smallConfig(1)
	config["routes"], config["services"] = []any{streamRoute("quote", "llm-quote")}, []any{modelService("llm-quote", wholeLayers, 1000)}
	if err := w.putConfig(config); err != nil {
		return false, err
	}
	g := &partGuard{world: w}
	for range 8 {
		if err := g.run(w.prefix + ".202:0"); err != nil {
			return false, err
		}
	}
	for n := range 3 {
		if _, err := w.startEntry(n + 1); err != nil {
			return false, err
		}
	}
	if !await(20*time.Second, w.allHold) {
		return false, errors.New("the engines got no layers")
	}
	time.Sleep(time.Second)
	stop, clients := make(chan struct{}), sync.WaitGroup{}
	var mu sync.Mutex
	var calm, late shareOfBegun
	began := time.Now()
	clients.Go(func() {
		// A sound request is sent at each interval, whatever becomes of those before it.
		for n := 0; !isClosed(stop); n++ {
			clients.Go(func() {
				id, sent := fmt.Sprintf("%08x", n), time.Now()
				events, whole, err := readStream(w.entries[n%3].settings.ClientAddr(), "/quote/draft", id)
				w.log("answer to sound stream %s: %d of %d events, whole %v, %v", id, events, streamEvents, whole, err)
				mu.Lock()
				defer mu.Unlock()
				if sent.Before(began.Add(partCalm)) {
					calm.count(events > 0)
				} else if g.isLate(sent) {
					late.count(events > 0)
				}
			})
			time.Sleep(soundGap)
		}
	})
	time.Sleep(partCalm + streamEvents*eventGap)
	for n := range 40 {
		if trouble {
			id := fmt.Sprintf("d%07x", n)
			prefix := "5c1e07a2:40"
			for p := range parts - 3 {
				prefix += fmt.Sprintf(",%04x%04x:10", n, p)
			}
			prefix += "," + deadlyPartID + ":10," + id + ":100"
			events, whole, err := readStreamOf(w.entries[n%3].settings.ClientAddr(), "/quote/draft", id, prefix)
			w.log("answer to %s, with %d parts: %d events, whole %v, %v", id, parts, events, whole, err)
		}
		time.Sleep(time.Second)
	}
	close(stop)
	clients.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	w.log("%d crashes; %d requests with the part reached engines later than contact-ms after the fifth", len(g.crashedAt), g.late)
	w.log("sound streams that began at the first attempt: %v before, %v later than 2 x contact-ms after the last crash that counts", calm, late)
	w.log("these are fewer than half as many: %v", calm.sent >= minSound && late.sent >= minSound && late.share() < calm.share()/2)
	return g.late > maxPartRequests, nil
}

const (
	// soundGap is the time between two sound requests.
	soundGap = 330 * time.Millisecond
	// partCalm is how long sound requests are counted before the first one that crashes an
	// engine, minSound how many are needed of each.
	partCalm = 10 * time.Second
	minSound = 20
)

// shareOfBegun counts sound requests and those of them that began at the first attempt.
type shareOfBegun struct{ sent, begun int }

func (s *shareOfBegun) count(begun bool) {
	s.sent++
	if begun {
		s.begun++
	}
}

func (s shareOfBegun) share() float64 { return float64(s.begun) / float64(max(s.sent, 1)) }

func (s shareOfBegun) String() string { return fmt.Sprintf("%d of %d", s.begun, s.sent) }

// isLate reports whether a request that is sent at a time counts: it is later than twice
// contact-ms after the fifth crash, or the last one if there are fewer.
func (g *partGuard) isLate(sent time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := min(len(g.crashedAt), partCrashes)
	return n > 0 && sent.Sub(g.crashedAt[n-1]) > 2*contactTime
}

// allHold reports whether all engines hold layers.
func (w *world) allHold() bool {
	w.enginesMu.Lock()
	defer w.enginesMu.Unlock()
	for _, e := range w.engines {
		if !e.holdsLayers() {
			return false
		}
	}
	return true
}
