package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	streamBudget = 20 * time.Second
	// streamEvents is the number of events of an answer, below the 215 at most of the small
	// deployment's kinds of request.
	streamEvents   = 200
	streamInterval = 100 * time.Millisecond
	heartbeat      = 1200 * time.Millisecond
)

// lostStage crashes an engine in the middle of the path of streams that have neither a
// length nor chunks. No other engine holds its layers. The first engine of the path waits
// for stall_ms, then it cuts the streams off: the project's own stand-in ends its channel.
func lostStage(ctx context.Context, w *world, o caseOptions) (broken []string, err error) {
	w.store.PutConfiguration(platformtest.Configuration(4, zones[:3]))
	var mu sync.Mutex
	var violations []string
	fleet := platformtest.NewFleet(w.store, heartbeat, func(guarantee, detail string) {
		mu.Lock()
		defer mu.Unlock()
		violations = append(violations, guarantee+": "+detail)
		w.record.write("a stand-in complains: %s: %s", guarantee, detail)
	})
	engines := map[string]*platformtest.Engine{}
	start := func(kind platformtest.Accelerator) error {
		e, err := fleet.StartEngine(platformtest.ModelService, zones[0], kind, rand.New(rand.NewPCG(w.random.Uint64(), 1)), func(address string) string { return address })
		if err != nil {
			return err
		}
		e.SetUnframed(true)
		engines[e.ID()] = e
		return nil
	}
	// 72, 36, 36 and 21.6 GB hold the model's 140 GB once.
	kinds := platformtest.Accelerators
	for _, kind := range []platformtest.Accelerator{kinds[0], kinds[1], kinds[1], kinds[2]} {
		if err := start(kind); err != nil {
			return nil, err
		}
	}
	for range 4 {
		if err := w.startEntry(o.program); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(ctx); err != nil {
		return nil, err
	}
	last, err := w.awaitPlan(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var clients, background sync.WaitGroup
	complete := 0
	background.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			clients.Go(func() {
				line, whole := w.stream(context.WithoutCancel(ctx), w.entries[n%len(w.entries)], attemptID(n))
				mu.Lock()
				defer mu.Unlock()
				if line != "" {
					broken = append(broken, line)
				}
				if whole {
					complete++
				}
			})
			sleep(ctx, streamInterval)
		}
	})
	sleep(ctx, 5*time.Second)
	if o.trouble {
		w.record.write("engine %s crashes", last.id)
		engines[last.id].Crash()
		sleep(ctx, crashTime)
		if err := start(kindOf(last.kind)); err != nil {
			return nil, err
		}
	}
	sleep(ctx, 6*time.Second)
	cancel()
	background.Wait()
	clients.Wait()
	w.record.write("%d streams were whole", complete)
	if complete == 0 {
		return nil, errors.New("no stream was served")
	}
	return broken, nil
}

func kindOf(name string) platformtest.Accelerator {
	for _, kind := range platformtest.Accelerators {
		if kind.Name == name {
			return kind
		}
	}
	return platformtest.Accelerators[0]
}

// placedEngine is what an engine's record says.
type placedEngine struct {
	id, kind      string
	first, target int
}

// awaitPlan waits until the engines hold all layers, and returns the one with the last.
func (w *world) awaitPlan(ctx context.Context) (placedEngine, error) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, 200*time.Millisecond) {
		placed, err := w.placedEngines(ctx)
		if err != nil {
			return placedEngine{}, err
		}
		sum, last := 0, placedEngine{}
		for _, e := range placed {
			sum += e.target - e.first
			if e.target > last.target {
				last = e
			}
		}
		w.record.write("engines hold %v", placed)
		if sum >= platformtest.Layers && last.target == platformtest.Layers && last.first > 0 {
			sleep(ctx, 2*time.Second)
			return last, nil
		}
	}
	return placedEngine{}, errors.New("the engines do not hold all layers")
}

// placedEngines reads the engines' records.
func (w *world) placedEngines(ctx context.Context) (placed []placedEngine, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, w.storeURL+"/v1/log-newest?topic=keyed.servers&part=0", http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var page struct {
		Items []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"items"`
	}
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return nil, err
	}
	for _, item := range page.Items {
		var value struct {
			Kind   string `json:"route-type"`
			Layers struct {
				From   int `json:"from"`
				Target int `json:"target"`
			} `json:"layers"`
		}
		if err := json.Unmarshal(item.Value, &value); err != nil {
			return nil, err
		}
		placed = append(placed, placedEngine{item.Key, value.Kind, value.Layers.From, value.Layers.Target})
	}
	return placed, nil
}

// stream sends a prompt and reads its events. line says what broke the rule, if anything.
func (w *world) stream(ctx context.Context, entry *process, id string) (line string, whole bool) {
	c := platformtest.ClientRequest{
		ID: id, Method: http.MethodPost, Target: platformtest.PathStream + "x", Body: "prompt", Events: streamEvents, Timeout: streamBudget, Entry: entry.name,
	}
	r, err := c.HTTPRequest(ctx, "http://"+entry.address)
	if err != nil {
		return "", false
	}
	w.record.write("client sends %s to %s", id, entry.name)
	response, err := newClient(streamBudget).Do(r)
	if err != nil {
		w.record.write("client of %s gets no answer: %v", id, err)
		return "", false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	events := strings.Count(string(body), "\n\n")
	w.record.write("client of %s gets %d with %d of %d events, error %v", id, response.StatusCode, events, streamEvents, err)
	if err != nil || response.StatusCode != http.StatusOK || !platformtest.IsResponseTo(response.Header, id) {
		return "", false
	}
	var want strings.Builder
	for n := range streamEvents {
		want.WriteString(platformtest.EventText(id, n))
	}
	if string(body) == want.String() {
		return "", true
	}
	return fmt.Sprintf("ORDER: the stream of %s from %s ended as complete after %d of %d events", id, entry.name, events, streamEvents), false
}
