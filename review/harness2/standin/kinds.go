package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["two-profiles"] = twoProfiles }

const (
	// singleCard and doubleCard are the memory in MB that an engine of kind l4 has: in the first
	// service, and in the second one, whose engines have two cards each.
	singleCard, doubleCard = 21600, 43200
	profileLayers          = 80
	profileLayerMB         = 1000
	profileEngines         = 5
	profileClients         = 8
)

// twoProfiles: a version of the configuration adds a service whose profile lists a kind of
// engine with more memory than the profile of the first one does. Then an engine of the
// first service is replaced as planned.
func twoProfiles(w *world, trouble bool) (broken bool, err error) {
	if err := w.putConfig(profileConfig(1, false)); err != nil {
		return false, err
	}
	var engines []*modelEngine
	add := func(id, service string, memory int) (*modelEngine, error) {
		e, err := w.startEngine(id, service, "l4", memory, profileLayerMB, w.prefix+".202:0")
		if err == nil {
			engines = append(engines, e)
		}
		return e, err
	}
	for n := range profileEngines {
		if _, err := add(fmt.Sprintf("i-quote-%d", n), "llm-quote", singleCard); err != nil {
			return false, err
		}
	}
	for n := range 2 {
		if _, err := w.startEntry(n + 1); err != nil {
			return false, err
		}
	}
	allHold := func() bool {
		for _, e := range engines {
			if !e.holdsLayers() {
				return false
			}
		}
		return true
	}
	if !await(20*time.Second, allHold) {
		return false, errors.New("the first engines got no layers")
	}
	w.log("all engines of llm-quote hold layers")
	if err := w.putConfig(profileConfig(2, trouble)); err != nil {
		return false, err
	}
	w.log("the store has acknowledged version 2; it has a second service with engines: %v", trouble)
	time.Sleep(configTime + time.Second)
	stop, clients := make(chan struct{}), sync.WaitGroup{}
	var mu sync.Mutex
	complete, lost := 0, 0
	for client := range profileClients {
		clients.Go(func() {
			for n := 0; !isClosed(stop); n++ {
				id := fmt.Sprintf("%04x%04x", client, n)
				events, whole, err := readStream(w.entries[client%2].settings.ClientAddr(), "/quote/draft", id)
				w.log("answer to stream %s: %d of %d events, whole %v, %v", id, events, streamEvents, whole, err)
				mu.Lock()
				if whole && events == streamEvents {
					complete++
				} else if events > 0 {
					lost++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	w.log("%s is replaced as planned: the new engine starts first", engines[2].id)
	if _, err := add("i-quote-new", "llm-quote", singleCard); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	w.log("%s leaves", engines[2].id)
	engines[2].leave()
	time.Sleep(14 * time.Second)
	close(stop)
	clients.Wait()
	w.log("%d streams were complete, %d broke off after some events", complete, lost)
	for _, e := range engines {
		broken = broken || e.wasOver()
	}
	return broken, nil
}

// profileConfig is a version of the configuration with one or two model services.
func profileConfig(version int, second bool) map[string]any {
	config := smallConfig(version)
	routes := []any{streamRoute("quote", "llm-quote")}
	services := []any{withKind(modelService("llm-quote", profileLayers, profileLayerMB), singleCard)}
	if second {
		routes = append(routes, streamRoute("summary", "llm-summary"))
		services = append(services, withKind(modelService("llm-summary", profileLayers, profileLayerMB), doubleCard))
	}
	config["routes"], config["services"] = routes, services
	return config
}

// withKind sets the only kind of engine that the profile of a service lists.
func withKind(service map[string]any, memoryMB int) map[string]any {
	service["engine-profile"].(map[string]any)["kinds"] = []any{map[string]any{"name": "l4", "mb": memoryMB, "pace": 16.0, "read-x": 8.2}}
	return service
}
