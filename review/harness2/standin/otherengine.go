package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["order-to-other"] = orderToOther }

// reuseRounds is how often an engine is added, and its address used again. Each round has an
// other service that takes the address.
const reuseRounds = 3

func smallService(round int) string { return fmt.Sprintf("llm-small-%d", round) }

// lifeOfAdded is how long an added engine lives.
const lifeOfAdded = 500 * time.Millisecond

// orderToOther: a new engine crashes for good before it has got layers, and its address goes
// to an engine of another service, which has less memory.
func orderToOther(w *world, trouble bool) (broken bool, err error) {
	const layerMB = 1000
	config := smallConfig(1)
	routes, services := []any{streamRoute("quote", "llm-large")}, []any{modelService("llm-large", 80, layerMB)}
	for round := range reuseRounds {
		routes = append(routes, streamRoute(fmt.Sprintf("label-%d", round), smallService(round)))
		services = append(services, modelService(smallService(round), 12, layerMB))
	}
	config["routes"], config["services"] = routes, services
	if err := w.putConfig(config); err != nil {
		return false, err
	}
	var large []*modelEngine
	for _, id := range []string{"i-large-1", "i-large-2"} {
		e, err := w.startEngine(id, "llm-large", "h100", 72000, layerMB, w.prefix+".202:0")
		if err != nil {
			return false, err
		}
		large = append(large, e)
	}
	for n := range 2 {
		if _, err := w.startEntry(n + 1); err != nil {
			return false, err
		}
	}
	if !await(15*time.Second, func() bool { return large[0].holdsLayers() && large[1].holdsLayers() }) {
		return false, errors.New("the first engines got no layers")
	}
	time.Sleep(time.Second)
	for round := range reuseRounds {
		// An engine is added.
		added, err := w.startEngine(fmt.Sprintf("i-large-new-%d", round), "llm-large", "h100", 72000, layerMB, w.prefix+".202:0")
		if err != nil {
			return false, err
		}
		time.Sleep(lifeOfAdded)
		address := w.prefix + ".202:0"
		if trouble {
			added.crash()
			address = added.address
		}
		time.Sleep(reuseTime + 50*time.Millisecond)
		small, err := w.startEngine(fmt.Sprintf("i-small-%d", round), smallService(round), "t4", 14400, layerMB, address)
		if err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
		broken = broken || small.wasOver()
		added.crash()
		small.crash()
		time.Sleep(recordLife + time.Second)
	}
	return broken, nil
}
