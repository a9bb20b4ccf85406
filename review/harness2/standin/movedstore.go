package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["moved-store"] = movedStore }

const (
	// overlap is how long the store answers at both of its addresses.
	overlap = 6 * time.Second
	// Of the entries, a share of 0.6 gets SIGHUP within hupTime. The settings files of the
	// others change without a signal, and these entries are not judged.
	movedEntries, signalled = 5, 3
	hupTime                 = 2 * time.Second
)

// movedStore: the platform's store gets another address, which the settings files of the
// entries name from now on. Then a version moves a route to another service and takes a key
// away.
func movedStore(w *world, trouble bool) (broken bool, err error) {
	first := moveConfig(1, "orders-old", "key-1", "key-2")
	if err := w.putConfig(first); err != nil {
		return false, err
	}
	before, err := w.startPlain("i-old-1", "orders-old")
	if err != nil {
		return false, err
	}
	after, err := w.startPlain("i-new-1", "orders-new")
	if err != nil {
		return false, err
	}
	var entries []*entryProcess
	for n := range movedEntries {
		e, err := w.startEntry(n + 1)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	time.Sleep(2 * time.Second)
	w.book(entries[:signalled], "a", "key-1")
	if trouble {
		if err := w.moveStore(entries); err != nil {
			return false, err
		}
	}
	w.book(entries[:signalled], "b", "key-1")
	time.Sleep(contactTime + time.Second)
	if err := w.putConfig(moveConfig(2, "orders-new", "key-1")); err != nil {
		return false, err
	}
	w.log("the store has acknowledged version 2: /book/ belongs to orders-new, key-2 is gone")
	time.Sleep(configTime + 500*time.Millisecond)
	for round := range 5 {
		name := fmt.Sprintf("c%d", round)
		for _, id := range w.book(entries[:signalled], name, "key-1") {
			if before.hasRun(id) {
				w.log("CONFIG: %s was sent later than config-ms after the acknowledgement of version 2 and has run at the old service", id)
				broken = true
			} else if !after.hasRun(id) {
				w.log("%s has not run at the new service", id)
			}
		}
		for _, id := range w.book(entries[:signalled], name+"k", "key-2") {
			if before.hasRun(id) || after.hasRun(id) {
				w.log("CONFIG: %s was sent with a dropped key later than config-ms after the acknowledgement of version 2 and has run", id)
				broken = true
			}
		}
		time.Sleep(2 * time.Second)
	}
	return broken, nil
}

// moveConfig is a version of the configuration with one route for bookings.
func moveConfig(version int, service string, keys ...string) map[string]any {
	config := smallConfig(version)
	for _, route := range config["routes"].([]any) {
		route.(map[string]any)["service-name"] = service
	}
	plain := func(name string) any {
		return map[string]any{"name": name, "health-path": "/health", "max-connections": 100, "protocol": "h1", "use-tls": false}
	}
	config["services"] = []any{plain("orders-old"), plain("orders-new")}
	config["tenants"] = []any{map[string]any{"name": "team-1", "api-keys": keys, "priority-class": 1}}
	return config
}

// book sends a booking to each entry and returns the IDs.
func (w *world) book(entries []*entryProcess, name, key string) (ids []string) {
	for n, e := range entries {
		id := fmt.Sprintf("%s-%d", name, n)
		request := strings.Replace(appRequest(http.MethodPost, "/book/slot", id, "slot "+id), "key-1", key, 1)
		w.log("send POST %s with %s to %s", id, key, e.settings.Name)
		w.log("answer to %s: %v", id, exchange(e.settings.ClientAddr(), http.MethodPost, request, 5*time.Second))
		ids = append(ids, id)
	}
	return ids
}

// moveStore lets the store answer at a second address, tells the entries, and ends the first
// one later.
func (w *world) moveStore(entries []*entryProcess) error {
	listener, err := net.Listen("tcp4", w.prefix+".251:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.store.Handler()}
	go func() { _ = server.Serve(listener) }()
	w.ends = append(w.ends, func() { _ = server.Close() })
	w.storeMu.Lock()
	w.url = "http://" + listener.Addr().String()
	w.storeMu.Unlock()
	w.log("the store answers at %s, too", listener.Addr())
	for n, e := range entries {
		e.settings.StoreAddr = listener.Addr().String()
		if err := os.WriteFile(e.file, []byte(e.settings.YAML()), 0o600); err != nil {
			return err
		}
		w.log("the settings file of %s names %s as the store's address", e.settings.Name, listener.Addr())
		if n < signalled {
			w.log("SIGHUP for %s", e.settings.Name)
			e.signal(syscall.SIGHUP)
			time.Sleep(hupTime / signalled)
		}
	}
	time.Sleep(overlap)
	w.log("the store ends its old address")
	return w.storeServer.Close()
}
