package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainServer is a plain server in the process of the script. It answers with a length.
type plainServer struct {
	*world
	id, service, address string
	server               *http.Server
	stop                 chan struct{}
	// crashes reports whether a request crashes the server that begins to run it.
	crashes func(r *http.Request, body string) bool
	mu      sync.Mutex
	runs    map[string]time.Time
	stopped bool
}

// startPlain starts a plain server that writes its record to the store at each heartbeat.
func (w *world) startPlain(id, service string) (*plainServer, error) {
	return w.startPlainAt(id, service, w.prefix+".201:0", nil)
}

func (w *world) startPlainAt(id, service, address string, crashes func(*http.Request, string) bool) (*plainServer, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &plainServer{
		world: w, id: id, service: service, address: listener.Addr().String(), crashes: crashes, runs: map[string]time.Time{}, stop: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	w.ends = append(w.ends, s.close)
	go s.beat(time.Now().UnixMilli())
	return s, nil
}

func (s *plainServer) beat(born int64) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		value, _ := json.Marshal(map[string]any{
			"service-name": s.service, "address": s.address, "zone": "a", "version": "v1", "slot-count": appSlots, "phase": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": born,
		})
		_ = putRecord(s.storeURL(), "keyed.servers", s.id, value)
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
	}
}

// close ends the server at once, and reports whether it was running.
func (s *plainServer) close() { s.end() }

func (s *plainServer) end() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.stopped = true
	close(s.stop)
	_ = s.server.Close()
	return true
}

func (s *plainServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("X-Instance-Id", s.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id] = time.Now()
	s.mu.Unlock()
	s.log("run at %s of %s: %s %s %s, tenant %q", s.id, s.service, r.Method, r.RequestURI, id, r.Header.Get("X-Tenant-Id"))
	if s.crashes != nil && s.crashes(r, string(body)) {
		s.end()
		return
	}
	time.Sleep(appWork)
	if s.hasStopped() {
		return
	}
	rw.Header().Set("X-Response-Signature", "signed."+id)
	fmt.Fprintf(rw, "done %s", id)
}

// hasRun reports whether the server has run a request.
func (s *plainServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ran := s.runs[id]
	return ran
}

func (s *plainServer) hasStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}
