package entry

import (
	"io"
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

// RequestsInProgress names the requests in progress by method, path and start.
func (s *Server) RequestsInProgress() []string {
	s.unfinished.mu.Lock()
	defer s.unfinished.mu.Unlock()
	var names []string
	for r, since := range s.unfinished.requests {
		names = append(names, r.Method+" "+r.URL.Path+" since "+since.UTC().Format(time.RFC3339Nano))
	}
	sort.Strings(names)
	return names
}

// callerTimeout is how long a caller may take no part of its answer, or send no
// part of its body. A stuck caller would otherwise hold its request for ever.
const callerTimeout = 30 * time.Second

// callerWriter bounds each write to a caller. Once the entry drains it asks
// callers to close their connections, so that a kept one brings no further requests.
type callerWriter struct {
	http.ResponseWriter
	server  *Server
	control *http.ResponseController
	begun   bool
}

func newCallerWriter(server *Server, w http.ResponseWriter) *callerWriter {
	return &callerWriter{ResponseWriter: w, server: server, control: http.NewResponseController(w)}
}

// WriteHeader sends the head of an answer.
func (w *callerWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of an answer.
func (w *callerWriter) Write(p []byte) (int, error) {
	w.begin()
	// An error means that the connection has no deadlines, as in some tests.
	_ = w.control.SetWriteDeadline(now().Add(callerTimeout))
	return w.ResponseWriter.Write(p)
}

func (w *callerWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if w.server.Draining() {
		w.Header().Set("Connection", "close")
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// callerBody bounds each read of a request's body.
type callerBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads a part of the body.
func (b *callerBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(now().Add(callerTimeout))
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		// The server goes on reading to notice that the caller leaves.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
