package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a server of a plain service. It registers in the store, runs
// requests that name it and refuses all others. It writes a line to standard output for
// each thing that it does.
type server struct {
	id, service, zone, store string
	address                  string
	heartbeat                time.Duration
	slots                    int
	answerBytes, pieces      int
	gap                      time.Duration
	unframed                 bool
	born                     int64

	mu      sync.Mutex
	running int
	out     sync.Mutex
}

// runServer runs a server until ctx ends or the process is killed.
func runServer(ctx context.Context, args []string) error {
	s := &server{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	flags.StringVar(&s.id, "id", "", "instance ID")
	flags.StringVar(&s.service, "service", "", "name of the service")
	flags.StringVar(&s.zone, "zone", "", "zone")
	flags.StringVar(&s.address, "address", "", "address to listen on")
	flags.StringVar(&s.store, "store", "", "URL of the store")
	flags.DurationVar(&s.heartbeat, "heartbeat", 1200*time.Millisecond, "interval of the records")
	flags.IntVar(&s.slots, "slots", 6, "requests that run at a time")
	flags.IntVar(&s.answerBytes, "answer-bytes", 800, "size of an answer's body")
	flags.IntVar(&s.pieces, "pieces", 1, "parts in which a body is written")
	flags.DurationVar(&s.gap, "gap", 60*time.Millisecond, "work before each part")
	flags.BoolVar(&s.unframed, "unframed", false, "answer with neither a length nor chunks")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	go s.writeRecords(ctx)
	httpServer := &http.Server{Handler: s}
	context.AfterFunc(ctx, func() { httpServer.Close() })
	if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// writeRecords writes the server's record at each heartbeat.
func (s *server) writeRecords(ctx context.Context) {
	ticker := time.NewTicker(s.heartbeat)
	defer ticker.Stop()
	for count := int64(1); ; count++ {
		s.writeRecord(ctx, count)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *server) writeRecord(ctx context.Context, count int64) {
	value, err := json.Marshal(map[string]any{
		"service-name": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slot-count": s.slots,
		"phase": "ready", "cold-remaining-ms": 0, "sequence": count, "born": s.born,
	})
	if err != nil {
		panic(err)
	}
	if err := putRecord(ctx, s.store, "keyed.servers", s.id, value); err != nil {
		s.log("record", "", err.Error())
	}
}

// putRecord appends a keyed record to a topic of the store.
func putRecord(ctx context.Context, store, topic, key string, value []byte) error {
	body := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	body = append(append(append(body, byte(len(key))), key...), value...)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, store+"/v1/log-append?topic="+topic+"&part=0", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// event is a line that a server writes.
type event struct {
	At      time.Time `json:"at"`
	Server  string    `json:"server"`
	Kind    string    `json:"kind"`
	Request string    `json:"request,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

func (s *server) log(kind, request, detail string) {
	s.out.Lock()
	defer s.out.Unlock()
	// The reader may be gone when the case ends.
	_ = json.NewEncoder(os.Stdout).Encode(event{time.Now(), s.id, kind, request, detail})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	switch {
	case id == "":
		s.refuse(w, id, http.StatusBadRequest)
		return
	case r.Header.Get("X-Expect-Instance") != s.id:
		s.refuse(w, id, http.StatusMisdirectedRequest)
		return
	case !s.takeSlot():
		s.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	defer s.freeSlot()
	s.log("runs", id, fmt.Sprintf("%s %s with a body of %d bytes", r.Method, r.RequestURI, len(body)))
	s.answer(w, id)
}

func (s *server) refuse(w http.ResponseWriter, id string, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
	s.log("refuses", id, strconv.Itoa(status))
}

func (s *server) takeSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) freeSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// answer writes the body in parts, each once its work is done.
func (s *server) answer(w http.ResponseWriter, id string) {
	body := wholeBody(id, s.answerBytes)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("X-Response-Signature", "signed "+id)
	w.Header().Set("X-Instance-Load", "1,0,6")
	if s.unframed {
		// net/http then neither states a length nor sends chunks, and ends the connection.
		w.Header().Set("Transfer-Encoding", "identity")
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	controller := http.NewResponseController(w)
	part := (len(body) + s.pieces - 1) / s.pieces
	for n := 1; len(body) > 0; n++ {
		time.Sleep(s.gap)
		size := min(part, len(body))
		if _, err := w.Write(body[:size]); err != nil {
			s.log("is left", id, err.Error())
			return
		}
		if err := controller.Flush(); err != nil {
			s.log("is left", id, err.Error())
			return
		}
		body = body[size:]
		s.log("has sent", id, fmt.Sprintf("part %d of %d", n, s.pieces))
	}
	s.log("has answered", id, fmt.Sprintf("%d bytes", s.answerBytes))
}

// wholeBody returns the body of a server's answer to a request.
func wholeBody(id string, size int) []byte {
	var b bytes.Buffer
	for line := 1; b.Len() < size; line++ {
		fmt.Fprintf(&b, "%s line %d\n", id, line)
	}
	return b.Bytes()[:size]
}
