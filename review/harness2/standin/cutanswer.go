package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cut-answer"] = cutAnswer }

// cutAnswer: a plain server crashes in the middle of an answer that has neither a length nor
// chunks, and its supervisor starts it again at once.
func cutAnswer(w *world, trouble bool) (broken bool, err error) {
	if err := w.putConfig(smallConfig(1)); err != nil {
		return false, err
	}
	var servers []*supervisor
	for n := range 3 {
		s, err := w.supervise(fmt.Sprintf("i-orders-%d", n), "orderbook")
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	var entries []*entryProcess
	for n := range 2 {
		e, err := w.startEntry(n + 1)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	time.Sleep(2 * time.Second)
	const rounds, clients = 8, 6
	var mu sync.Mutex
	for round := range rounds {
		var requests sync.WaitGroup
		for client := range clients {
			requests.Go(func() {
				id := fmt.Sprintf("%04x%04x", round, client)
				r := exchange(entries[client%2].settings.ClientAddr(), http.MethodPost, appRequest(http.MethodPost, "/book/slot", id, "slot "+id), 5*time.Second)
				w.log("answer to POST %s: %v", id, r)
				if r.status/100 == 2 && r.whole && string(r.body) != appBody(id) {
					w.log("MIXED: %s got a complete success with %d of the %d bytes of the body", id, len(r.body), len(appBody(id)))
					mu.Lock()
					defer mu.Unlock()
					broken = true
				}
			})
		}
		if trouble {
			// In the middle of the pause in the answers.
			time.Sleep(appWork + appPause/2)
			w.log("kill the process of %s", servers[0].id)
			servers[0].kill()
		}
		requests.Wait()
		time.Sleep(2 * time.Second)
	}
	return broken, nil
}
