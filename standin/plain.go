package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// PlainServer is a backend server for bookings: POST books, GET looks a booking up.
// It counts the executions of each booking reference, so that tests detect a
// duplicate.
type PlainServer struct {
	mu         sync.Mutex
	executions map[string]int
	delay      time.Duration
	// lookupDelay is the response time of a lookup.
	lookupDelay time.Duration
	// truncate ends responses before their Content-Length.
	truncate bool
	crashes  crashTrigger
	// fails reports whether a booking is answered with an error; nil means that none is.
	fails func(reference string) bool
}

// crashTrigger ends a backend server under requests with one content.
type crashTrigger struct {
	content string
	crash   func()
}

// fire ends the server, and the request without an answer, if the content is the one
// that crashes it.
func (c crashTrigger) fire(content string) {
	if c.crash == nil || content != c.content {
		return
	}
	c.crash()
	panic(http.ErrAbortHandler)
}

// CrashOn calls crash when a booking with the given reference is begun.
func (s *PlainServer) CrashOn(reference string, crash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = crashTrigger{reference, crash}
}

// FailWhen makes the server answer bookings with an error if fails says so.
func (s *PlainServer) FailWhen(fails func(reference string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails = fails
}

// NewPlainServer returns a server that responds to bookings after a delay.
func NewPlainServer(delay time.Duration) *PlainServer {
	return &PlainServer{executions: make(map[string]int), delay: delay}
}

// Truncate sets whether responses to bookings end before their Content-Length.
func (s *PlainServer) Truncate(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncate = on
}

// SetLookupDelay sets the response time of a lookup.
func (s *PlainServer) SetLookupDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookupDelay = delay
}

// Executions returns how often a booking was executed.
func (s *PlainServer) Executions(reference string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[reference]
}

// Handler serves POST /bookings with {"reference": "..."} and GET /bookings/{reference}.
func (s *PlainServer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.serveBook)
	mux.HandleFunc("GET /bookings/{reference}", s.serveLookup)
	mux.HandleFunc("GET /large", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("0123456789abcdef", 1<<14))
	})
	return mux
}

func (s *PlainServer) serveBook(w http.ResponseWriter, r *http.Request) {
	var booking struct {
		Reference string `json:"reference"`
	}
	if err := json.NewDecoder(r.Body).Decode(&booking); err != nil || booking.Reference == "" {
		http.Error(w, "a booking needs a reference", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fails := s.fails
	s.mu.Unlock()
	if fails != nil && fails(booking.Reference) {
		http.Error(w, "failed before the booking began", http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	s.executions[booking.Reference]++
	executions, truncate, crashes := s.executions[booking.Reference], s.truncate, s.crashes
	s.mu.Unlock()
	crashes.fire(booking.Reference)
	time.Sleep(s.delay)
	answer := fmt.Sprintf("{\"reference\":%q,\"status\":\"booked\",\"runs\":%d}\n", booking.Reference, executions)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	w.WriteHeader(http.StatusCreated)
	if truncate {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

func (s *PlainServer) serveLookup(w http.ResponseWriter, r *http.Request) {
	reference := r.PathValue("reference")
	s.mu.Lock()
	delay := s.lookupDelay
	s.mu.Unlock()
	time.Sleep(delay)
	if s.Executions(reference) == 0 {
		http.Error(w, "no such booking", http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]string{"reference": reference, "status": "booked"})
}
