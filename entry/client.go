package entry

import (
	"io"
	"net/http"
	"sort"
	"sync"
	"time"
)

// requestTracker records the requests in progress, so that a process that stops
// before they end can list them.
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

// RequestsInProgress lists the requests in progress with method, path and start time.
func (s *Server) RequestsInProgress() []string {
	s.activeRequests.mu.Lock()
	defer s.activeRequests.mu.Unlock()
	var names []string
	for r, since := range s.activeRequests.requests {
		names = append(names, r.Method+" "+r.URL.Path+" since "+since.UTC().Format(time.RFC3339Nano))
	}
	sort.Strings(names)
	return names
}

// clientTimeout limits each read of the request body and each write of the
// response. Without it a stalled client would keep its request open forever.
const clientTimeout = 30 * time.Second

// clientWriter sets a deadline for each write to the client. While the server
// drains it sends "Connection: close", so that keep-alive connections bring no
// further requests.
type clientWriter struct {
	http.ResponseWriter
	server        *Server
	control       *http.ResponseController
	headerStarted bool
}

func newClientWriter(server *Server, w http.ResponseWriter) *clientWriter {
	return &clientWriter{ResponseWriter: w, server: server, control: http.NewResponseController(w)}
}

// WriteHeader sends the response header.
func (w *clientWriter) WriteHeader(status int) {
	w.beforeHeader()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the response with its own deadline.
func (w *clientWriter) Write(p []byte) (int, error) {
	w.beforeHeader()
	// It fails if the connection does not support deadlines, as in some tests.
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

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *clientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// clientBody sets a deadline for each read of a request body.
type clientBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads a part of the body with its own deadline.
func (b *clientBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(now().Add(clientTimeout))
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		// The HTTP server keeps reading in the background to detect that the client
		// has disconnected.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
