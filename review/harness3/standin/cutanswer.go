package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	// burst is the number of calls that come at once, after which each server has some
	// idle connections.
	burst = 18
	// calmTime is how long calls come one after another then, each on the connection that was used last.
	calmTime = 2500 * time.Millisecond
	// idleTime is how long a connection has rested that goes silent.
	idleTime = 1500 * time.Millisecond
)

// crashOnly is the value of TROUBLE that plays the crash without the silent connections.
const crashOnly = "crash"

// cutAnswer lets a server crash in the middle of an answer that has neither a length nor chunks, after
// connections that rested have gone silent. It checks that no client takes a part of the answer for all of it.
func cutAnswer(w *world, trouble bool) (bool, error) {
	w.store.PutConfiguration(platformtest.VariedConfiguration(1, zones, platformtest.ConfigurationVariant{RouteTimeout: routeTimeout}))
	var servers []*plainServer
	for i, zone := range zones {
		s := newPlainServer(w, fmt.Sprintf("i-orderbook-%d", i+1), platformtest.ServiceA, zone, 60*time.Millisecond)
		if err := s.startBehindProxy(); err != nil {
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
	e := w.entries[0]
	call := func(name, suffix string) answer {
		request := platformtest.ClientRequest{
			ID: name, Method: http.MethodPost, Target: platformtest.PathAtMostOnce + "slot" + suffix, Body: "press 7", Timeout: 1500 * time.Millisecond,
		}
		a := w.send(e, request, unchanged)
		ran := 0
		for _, s := range servers {
			ran += s.ran(name)
		}
		w.logRequest("booking", name, e, a, ran)
		return a
	}
	var calls sync.WaitGroup
	for i := range burst {
		calls.Go(func() { call(fmt.Sprintf("burst-%d", i), "") })
	}
	calls.Wait()
	for n, until := 0, time.Now().Add(calmTime); time.Now().Before(until); n++ {
		call(fmt.Sprintf("calm-%d", n), "")
	}
	if trouble {
		for _, s := range servers {
			s.onHalf = func(s *plainServer, _ string) { s.crash() }
			if os.Getenv("TROUBLE") == crashOnly {
				continue
			}
			w.log("%d connections to %s that have rested for %s go silent for good; the others and new ones work", s.proxy.silence(idleTime), s.id, idleTime)
		}
	}
	const id = "confirmation"
	a := call(id, unframedSuffix)
	whole := strings.Join(unframedBody(id), "")
	w.log("the client got status %d and %d bytes of %d, error %v", a.status, len(a.body), len(whole), a.err)
	if !trouble && a.body != whole {
		return false, fmt.Errorf("the answer is not whole without a disruption")
	}
	return a.err != nil || a.status != http.StatusOK || a.body == whole, nil
}

// startBehindProxy starts the server behind a proxy of its own.
func (s *plainServer) startBehindProxy() error {
	var err error
	if s.proxy, err = newProxy("127.0.0.1", ""); err != nil {
		return err
	}
	if err := s.start(); err != nil {
		return err
	}
	s.proxy.target = s.address
	return nil
}
