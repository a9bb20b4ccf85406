package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// plainServer is a stand-in of a server of a plain service. It can leave and start again under
// the ID and at the address that it had.
type plainServer struct {
	w                 *world
	id, service, zone string
	address           string
	workTime          time.Duration

	mu       sync.Mutex
	leaving  bool
	born     int64
	sequence int64
	server   *http.Server
	stop     chan struct{}
	// runs counts the runs of each request.
	runs map[string]int
	// proxy is between the entries and the server; nil means that there is none.
	proxy *proxy
	// conns are the connections of answers without a length that are being written.
	conns map[net.Conn]struct{}
	// isGarbled decides whether an answer is followed by the beginning of another one, which comes
	// where the next answer is expected; nil means never.
	isGarbled func() bool
	// onHalf is called when a half of such an answer has been sent.
	onHalf func(s *plainServer, id string)
}

// newPlainServer returns a server that is not started yet.
func newPlainServer(w *world, id, service, zone string, workTime time.Duration) *plainServer {
	return &plainServer{w: w, id: id, service: service, zone: zone, workTime: workTime, runs: map[string]int{}, conns: map[net.Conn]struct{}{}}
}

// start starts the server, on a free port the first time and at the same address later.
func (s *plainServer) start() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.leaving, s.born, s.sequence = listener.Addr().String(), false, time.Now().UnixMilli(), 0
	s.server, s.stop = &http.Server{Handler: s}, make(chan struct{})
	server, stop := s.server, s.stop
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with the server
	if err := s.writeRecord(); err != nil {
		return err
	}
	s.w.log("%s started at %s, born %d", s.id, s.address, s.born)
	go s.beat(stop)
	return nil
}

// beat writes the record at each heartbeat.
func (s *plainServer) beat(stop chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			if err := s.writeRecord(); err != nil {
				s.w.log("%s could not write its record: %v", s.id, err)
			}
		}
	}
}

// leave reports that the server is about to stop: in its record and in all its answers.
func (s *plainServer) leave() error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.w.log("%s reports draining, and Server-Leaving in its answers", s.id)
	return s.writeRecord()
}

// end stops the server and removes its record.
func (s *plainServer) end() error {
	s.mu.Lock()
	close(s.stop)
	server := s.server
	s.mu.Unlock()
	server.Close()
	s.w.log("%s has ended, its record is removed", s.id)
	return s.w.appendRecord("keyed.servers", s.id, nil)
}

func (s *plainServer) writeRecord() error {
	s.mu.Lock()
	s.sequence++
	phase := "ready"
	if s.leaving {
		phase = "draining"
	}
	address := s.address
	if s.proxy != nil {
		address = s.proxy.address()
	}
	record, err := json.Marshal(map[string]any{
		"service-name": s.service, "address": address, "zone": s.zone, "version": "v1", "slot-count": 6, "phase": phase,
		"cold-remaining-ms": 0, "sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.w.appendRecord("keyed.servers", s.id, record)
}

// appendRecord appends a record to a keyed topic of the store. Without a value it drops the key.
func (w *world) appendRecord(topic, key string, value []byte) error {
	size := 1 + len(key) + len(value)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(size)), byte(len(key)))
	body = append(append(body, key...), value...)
	response, err := http.Post("http://"+w.storeAddr+"/v1/log-append?topic="+topic+"&part=0", "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", response.StatusCode)
	}
	return nil
}

// ServeHTTP runs a request.
func (s *plainServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body) // the body says nothing
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	header := rw.Header()
	header.Set("X-Attempt-Id", id)
	if leaving {
		header.Set("Server-Leaving", "1")
		header.Set("Connection", "close")
	}
	if r.Header.Get("X-Expect-Instance") != s.id {
		header.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	time.Sleep(s.workTime)
	if strings.HasSuffix(r.URL.Path, unframedSuffix) {
		s.answerUnframed(rw, id)
		return
	}
	if s.isGarbled != nil && s.isGarbled() {
		s.answerGarbled(rw, r, id)
		return
	}
	platformtest.Sign(header, id)
	_, _ = io.WriteString(rw, platformtest.AppResponseBody(id)) // fails if the caller has left
}

// unframedSuffix ends the paths of requests whose answers have neither a length nor chunks.
const unframedSuffix = "/unframed"

const (
	// unframedParts is the number of parts of such an answer, and partInterval the time between two.
	unframedParts = 6
	partInterval  = 40 * time.Millisecond
)

// unframedBody returns the whole body of an answer with neither a length nor chunks.
func unframedBody(id string) (parts []string) {
	for i := range unframedParts {
		parts = append(parts, fmt.Sprintf("part %d of %d of the confirmation of %s: %s\n", i+1, unframedParts, id, strings.Repeat("x", 300)))
	}
	return parts
}

// answerUnframed writes an answer that ends with its connection.
func (s *plainServer) answerUnframed(rw http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: signed %s\r\n\r\n", id, id)
	for i, part := range unframedBody(id) {
		if i == unframedParts/2 && s.onHalf != nil {
			s.onHalf(s, id)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		time.Sleep(partInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// lateRefusal is the beginning of a refusal that an engine in trouble sends after a complete answer. It is cut
// off inside a field.
const lateRefusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Instance-Load: 6,24,"

// answerGarbled answers a request, and the others on its connection. The beginning of a refusal comes right
// before the second answer.
func (s *plainServer) answerGarbled(rw http.ResponseWriter, r *http.Request, id string) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if !writeAnswer(conn, id) {
		return
	}
	for late := lateRefusal; ; late = "" {
		r, err := http.ReadRequest(buffered.Reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // the body says nothing
		id := r.Header.Get("X-Attempt-Id")
		if r.Header.Get("X-Expect-Instance") != s.id {
			return
		}
		if late != "" {
			s.w.log("%s sends %q, then runs %s", s.id, late, id)
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
		}
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		time.Sleep(s.workTime)
		if !writeAnswer(conn, id) {
			return
		}
	}
}

// writeAnswer writes a complete answer and reports whether that was possible.
func writeAnswer(conn net.Conn, id string) bool {
	body := platformtest.AppResponseBody(id)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: signed %s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	return err == nil
}

// crash ends the server as a kill does: its system closes all connections and refuses new ones. Its
// record stays until it lapses.
func (s *plainServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proxy != nil {
		s.proxy.stopListening()
	}
	close(s.stop)
	s.server.Close()
	for conn := range s.conns {
		conn.Close()
	}
	s.w.log("%s has crashed", s.id)
}

// ran returns how often the server has run a request.
func (s *plainServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
