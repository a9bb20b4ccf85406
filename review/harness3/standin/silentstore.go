package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	// silentAfter is how long after their start the connections of an entry go silent:
	// traffic begins after 10 s.
	silentAfter = 11500 * time.Millisecond
	// contactSlack is added to contact-ms, so that the entry is in touch when it is judged.
	contactSlack = 300 * time.Millisecond
	// watchTime is how long requests are sent after the change, and watchInterval the time
	// between two at each entry.
	watchTime     = 6 * time.Second
	watchInterval = 50 * time.Millisecond
	routeTimeout  = 800 * time.Millisecond
)

// silentStore makes the open connections of one entry to the store go silent for good, while new ones
// work. Longer than contact-ms after that, a route moves to another service. It counts the
// requests of that route that are sent later than config-ms after the ack and run by the old service.
func silentStore(w *world, trouble bool) (bool, error) {
	variant := platformtest.ConfigurationVariant{RouteTimeout: routeTimeout}
	w.store.PutConfiguration(platformtest.VariedConfiguration(1, zones, variant))
	for _, zone := range zones {
		for _, service := range []string{platformtest.ServiceA, platformtest.ServiceB} {
			if _, err := w.fleet.StartApp(service, zone, w.random(), sameAddress); err != nil {
				return false, err
			}
		}
		if _, err := w.fleet.StartEngine(platformtest.ModelService, zone, platformtest.Accelerators[0], w.random(), sameAddress); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(4); err != nil {
		return false, err
	}
	time.Sleep(silentAfter)
	if trouble {
		chosen, err := w.follower()
		if err != nil {
			return false, err
		}
		w.log("%d open connections of %s to the store go silent for good; new ones work", chosen.storeProxy.silence(0), chosen.settings.Name)
	}
	time.Sleep(contactTime + contactSlack)
	w.store.PutConfiguration(platformtest.VariedConfiguration(2, zones, variant))
	acked := time.Now()
	oldService := platformtest.AlternatingService(1)
	w.log("the store has accepted version 2: %s moves from %s to %s", platformtest.PathAlternating, oldService, platformtest.AlternatingService(2))
	return w.watchRoute(acked, oldService), nil
}

// follower returns an entry that did not write to the store under a condition last, as the bench's
// variant of that name does.
func (w *world) follower() (*entry, error) {
	response, err := http.Get("http://" + w.storeAddr + "/v1/log-newest?topic=keyed.sapphirefield-lease&part=0")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var page struct {
		Items []struct {
			Value []byte `json:"value"`
		} `json:"items"`
	}
	var claim struct {
		Holder string `json:"holder"`
	}
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return nil, err
	}
	if len(page.Items) == 0 {
		return nil, errors.New("nobody has written the lease")
	}
	if err := json.Unmarshal(page.Items[0].Value, &claim); err != nil {
		return nil, err
	}
	w.log("%s wrote the lease last", claim.Holder)
	for _, e := range w.entries {
		if e.settings.Name != claim.Holder {
			return e, nil
		}
	}
	return nil, errors.New("all entries hold the lease")
}

// watchRoute sends requests to all entries and reports whether none that was sent later than config-ms
// after the ack was run by the old service.
func (w *world) watchRoute(acked time.Time, oldService string) (held bool) {
	held = true
	latest := map[string]time.Duration{}
	for n := 0; time.Since(acked) < watchTime; n++ {
		for _, e := range w.entries {
			request := platformtest.ClientRequest{
				ID: fmt.Sprintf("%s-%d", e.settings.Name, n), Method: http.MethodGet, Target: platformtest.PathAlternating + "x", Timeout: time.Second,
			}
			sent := time.Since(acked)
			a := w.send(e, request, unchanged)
			runs := w.fleet.Executions(request.ID)
			w.logRequest(fmt.Sprintf("%d ms after the ack:", sent.Milliseconds()), request.ID, e, a, len(runs))
			for _, x := range runs {
				if x.Service != oldService {
					continue
				}
				latest[e.settings.Name] = sent
				if sent > configTime {
					held = false
					w.log("%s, sent %d ms after the ack, was run by %s (%s); status %d", request.ID, sent.Milliseconds(), x.Server, x.Service, a.status)
				}
			}
		}
		time.Sleep(watchInterval)
	}
	for _, e := range w.entries {
		w.log("the last request that %s sent to %s was sent %d ms after the ack", e.settings.Name, oldService, latest[e.settings.Name].Milliseconds())
	}
	return held
}
