package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// eventGap is the time between two events of a stream, streamEvents their number.
	eventGap     = 30 * time.Millisecond
	streamEvents = 100
	// stallTime is stall_ms: how long work that depends on a dead engine stalls before it is
	// cut off.
	stallTime = 2 * time.Second
)

// part is an engine of a path with its layers.
type part struct {
	address  string
	from, to int
}

// stream is a request in progress at its first engine.
type stream struct {
	mu   sync.Mutex
	path []part
	at   string // the address of the engine that it waits for, or empty
}

func (s *stream) stalledAt() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

func parsePath(text string) (path []part) {
	for _, field := range strings.Split(text, ",") {
		address, layers, _ := strings.Cut(field, "=")
		from, to, _ := strings.Cut(layers, "-")
		first, _ := strconv.Atoi(from)
		limit, err := strconv.Atoi(to)
		if err != nil {
			return nil
		}
		path = append(path, part{address, first, limit})
	}
	return path
}

// unable returns the status that an engine of a path answers because it cannot run its part,
// and its address, or 0.
func (w *world) unable(path []part) (int, string) {
	for _, p := range path {
		w.enginesMu.Lock()
		e := w.engines[p.address]
		w.enginesMu.Unlock()
		if e == nil {
			return http.StatusServiceUnavailable, p.address
		}
		e.mu.Lock()
		ended, draining, holds := e.ended, e.draining, e.from <= p.from && p.to <= e.to
		e.mu.Unlock()
		switch {
		case ended, draining:
			return http.StatusServiceUnavailable, p.address
		case !holds:
			return http.StatusMisdirectedRequest, p.address
		}
	}
	return 0, ""
}

// lost returns the address of an engine of a path that is gone, or nothing.
func (w *world) lost(path []part) string {
	for _, p := range path {
		w.enginesMu.Lock()
		e := w.engines[p.address]
		w.enginesMu.Unlock()
		e.mu.Lock()
		ended := e.ended
		e.mu.Unlock()
		if ended {
			return p.address
		}
	}
	return ""
}

func (e *modelEngine) repath(rw http.ResponseWriter, id, text string) {
	path := parsePath(text)
	e.mu.Lock()
	s := e.streams[id]
	e.mu.Unlock()
	if s == nil {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	current := s.path
	s.mu.Unlock()
	var added []part
	for _, p := range path {
		if !contains(current, p) {
			added = append(added, p)
		}
	}
	if status, at := e.unable(added); status != 0 {
		rw.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(rw).Encode(map[string]string{"address": at})
		return
	}
	s.mu.Lock()
	s.path = path
	s.mu.Unlock()
	rw.WriteHeader(http.StatusAccepted)
}

func contains(path []part, p part) bool {
	for _, other := range path {
		if other == p {
			return true
		}
	}
	return false
}

// serveStream runs a request as the first engine of its path.
func (e *modelEngine) serveStream(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	path := parsePath(r.Header.Get("X-Hop-Count"))
	status, at := e.unable(path)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id || len(path) == 0 {
		status, at = http.StatusMisdirectedRequest, e.address
	}
	if status != 0 {
		rw.Header().Set("X-Not-Executed", "1")
		rw.Header().Set("At-Server", at)
		rw.WriteHeader(status)
		return
	}
	s := &stream{path: path}
	e.mu.Lock()
	e.streams[id] = s
	crashes := e.crashes
	e.mu.Unlock()
	if crashes != nil && crashes(r) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, id)
	}()
	first, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		first = -1
	}
	e.log("run at %s: stream %s from event %d along %s", e.id, id, first+1, r.Header.Get("X-Hop-Count"))
	rw.Header().Set("X-Response-Signature", "signed."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := first + 1; n < streamEvents; n++ {
		if !e.await(r, s) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_ = http.NewResponseController(rw).Flush()
	}
}

// await waits for the next event, and reports whether the engines of the path work. Work
// that depends on one that is gone stalls, and is cut off then.
func (e *modelEngine) await(r *http.Request, s *stream) bool {
	for began := time.Now(); ; {
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return false
		case <-e.stop:
			return false
		}
		s.mu.Lock()
		path := s.path
		s.mu.Unlock()
		at := e.lost(path)
		s.mu.Lock()
		s.at = at
		s.mu.Unlock()
		if at == "" {
			return true
		}
		if time.Since(began) > stallTime {
			return false
		}
	}
}

// readStream sends a request for a stream and reads its events. It returns their number, and
// whether the stream ended as complete.
func readStream(address, path, id string) (events int, whole bool, err error) {
	return readStreamOf(address, path, id, "5c1e07a2:40,"+id+":360")
}

// readStreamOf is readStream for a prompt with the given parts.
func readStreamOf(address, path, id, parts string) (events int, whole bool, err error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Count: 400,100\r\n"+
		"X-Prompt-Prefix: %s\r\nX-Deadline-Ms: 20000\r\nX-Key: key-1\r\nContent-Length: 2\r\n\r\nhi", path, id, parts)
	if err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, false, fmt.Errorf("status %d", response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
		}
	}
	return events, lines.Err() == nil, lines.Err()
}
