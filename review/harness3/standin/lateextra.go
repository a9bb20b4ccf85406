package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	// garbledEvery is the number of answers of the server in trouble of which one is garbled: a
	// share of 0.025.
	garbledEvery = 40
	// bookingTime is how long bookings are sent.
	bookingTime = 25 * time.Second
)

// lateExtra lets one of three servers send, now and then, the beginning of a refusal after a complete
// answer. It checks that no booking runs twice, and that none that has run is refused.
func lateExtra(w *world, trouble bool) (bool, error) {
	w.store.PutConfiguration(platformtest.VariedConfiguration(1, zones, platformtest.ConfigurationVariant{RouteTimeout: routeTimeout}))
	var servers []*plainServer
	for i, zone := range zones {
		s := newPlainServer(w, fmt.Sprintf("i-orderbook-%d", i+1), platformtest.ServiceA, zone, 60*time.Millisecond)
		if err := s.start(); err != nil {
			return false, err
		}
		servers = append(servers, s)
		if _, err := w.fleet.StartEngine(platformtest.ModelService, zone, platformtest.Accelerators[0], w.random(), sameAddress); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		var answers atomic.Int64
		servers[0].isGarbled = func() bool { return answers.Add(1)%garbledEvery == 0 }
	}
	var mu sync.Mutex
	held, sent := true, 0
	stop := make(chan struct{})
	time.AfterFunc(bookingTime, func() { close(stop) })
	var clients sync.WaitGroup
	for i, e := range w.entries {
		clients.Go(func() {
			w.sendEvery(stop, bookingInterval, func(n int) {
				request := platformtest.ClientRequest{
					ID: fmt.Sprintf("b%d-%d", i, n), Method: http.MethodPost, Target: platformtest.PathAtMostOnce + "slot", Body: "press 7", Timeout: 1500 * time.Millisecond,
				}
				a := w.send(e, request, unchanged)
				ran := 0
				for _, s := range servers {
					ran += s.ran(request.ID)
				}
				w.logRequest("booking", request.ID, e, a, ran)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if ran > 1 {
					held = false
					w.log("TWICE: %s was run %d times", request.ID, ran)
				}
				if ran > 0 && a.err == nil && platformtest.ImpliesNotExecuted(a.status) {
					held = false
					w.log("REFUSED: %s was refused with %d and has run", request.ID, a.status)
				}
			})
		})
	}
	clients.Wait()
	w.log("%d bookings sent", sent)
	return held, nil
}
