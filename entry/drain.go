package entry

import (
	"net/http"
	"sort"
	"sync"
	"time"
)

// unfinished holds the requests in progress, so that a process that is ended
// early can name what it cut off.
type unfinished struct {
	mu       sync.Mutex
	requests map[*http.Request]time.Time
}

func (u *unfinished) add(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.requests == nil {
		u.requests = make(map[*http.Request]time.Time)
	}
	u.requests[r] = now()
}

func (u *unfinished) remove(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.requests, r)
}

// Unfinished names the requests in progress by method, path and start.
func (s *Server) Unfinished() []string {
	s.unfinished.mu.Lock()
	defer s.unfinished.mu.Unlock()
	var names []string
	for r, since := range s.unfinished.requests {
		names = append(names, r.Method+" "+r.URL.Path+" since "+since.UTC().Format(time.RFC3339Nano))
	}
	sort.Strings(names)
	return names
}

// drainWriter asks callers to close their connections once the entry drains,
// so that a kept connection does not bring further requests.
type drainWriter struct {
	http.ResponseWriter
	server *Server
	begun  bool
}

// WriteHeader sends the head of an answer.
func (w *drainWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of an answer.
func (w *drainWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

func (w *drainWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if w.server.Draining() {
		w.Header().Set("Connection", "close")
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
