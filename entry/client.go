package entry

import (
	"io"
	"net/http"
	"sort"
	"sync"
	"time"
)

// requestTracker holds the requests in progress, so that a process that is ended
// early can name what it cut off.
type requestTracker struct {
	mu       sync.Mutex
	requests map[*http.Request]time.Time
}

func (u *requestTracker) add(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.requests == nil {
		u.requests = make(map[*http.Request]time.Time)
	}
	u.requests[r] = now()
}

func (u *requestTracker) remove(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.requests, r)
}

// Unfinished names the requests in progress by method, path and start.
func (s *Server) Unfinished() []string {
	s.activeRequests.mu.Lock()
	defer s.activeRequests.mu.Unlock()
	var names []string
	for r, since := range s.activeRequests.requests {
		names = append(names, r.Method+" "+r.URL.Path+" since "+since.UTC().Format(time.RFC3339Nano))
	}
	sort.Strings(names)
	return names
}

// clientTimeout is how long a caller may take no part of its answer, or send no
// part of its body. A stuck caller would otherwise hold its request for ever.
const clientTimeout = 30 * time.Second

// clientWriter bounds each write to a caller. Once the entry drains it asks
// callers to close their connections, so that a kept one brings no further requests.
type clientWriter struct {
	http.ResponseWriter
	server        *Server
	control       *http.ResponseController
	headerStarted bool
}

func newClientWriter(server *Server, w http.ResponseWriter) *clientWriter {
	return &clientWriter{ResponseWriter: w, server: server, control: http.NewResponseController(w)}
}

// WriteHeader sends the head of an answer.
func (w *clientWriter) WriteHeader(status int) {
	w.beforeHeader()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of an answer.
func (w *clientWriter) Write(p []byte) (int, error) {
	w.beforeHeader()
	// An error means that the connection has no deadlines, as in some tests.
	_ = w.control.SetWriteDeadline(now().Add(clientTimeout))
	return w.ResponseWriter.Write(p)
}

func (w *clientWriter) beforeHeader() {
	if w.headerStarted {
		return
	}
	w.headerStarted = true
	if w.server.Draining() {
		w.Header().Set("Connection", "close")
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *clientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// clientBody bounds each read of a request's body.
type clientBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads a part of the body.
func (b *clientBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(now().Add(clientTimeout))
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		// The server goes on reading to notice that the caller leaves.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
