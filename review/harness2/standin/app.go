package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// serveCommand runs a plain server as a process of its own. Its listener is inherited from
// the supervisor, which keeps the port open over restarts.
const serveCommand = "serve"

// listenerFile is the descriptor of the inherited listener, and runsFile that of the pipe
// to which a line is written for each run.
const (
	listenerFile = 3
	runsFile     = 4
)

// appBody is the whole body of the answer to a request.
func appBody(id string) string { return strings.Repeat("row of "+id+"\n", 40) }

const (
	// appWork is how long a server works on a request before the head of its answer, and
	// appPause how long it pauses in the middle of the body.
	appWork  = 60 * time.Millisecond
	appPause = 150 * time.Millisecond
	appSlots = 6
)

// app is a plain server that answers with neither a length nor chunks.
type app struct {
	id, service, zone, address, store string
	born                              int64
	runs                              *os.File
	mu                                sync.Mutex
	running                           int
}

func serveApp(args []string) {
	flags := flag.NewFlagSet(serveCommand, flag.ExitOnError)
	a := &app{born: time.Now().UnixMilli(), runs: os.NewFile(runsFile, "runs")}
	flags.StringVar(&a.id, "id", "", "instance ID")
	flags.StringVar(&a.service, "service", "", "service")
	flags.StringVar(&a.zone, "zone", "", "zone")
	flags.StringVar(&a.store, "store", "", "URL of the store")
	_ = flags.Parse(args)
	listener, err := net.FileListener(os.NewFile(listenerFile, "listener"))
	if err != nil {
		os.Exit(1)
	}
	a.address = listener.Addr().String()
	go a.beat()
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(1)
		}
		go a.serve(conn)
	}
}

// beat writes the server's record at each heartbeat.
func (a *app) beat() {
	for sequence := 1; ; sequence++ {
		value, _ := json.Marshal(map[string]any{
			"service-name": a.service, "address": a.address, "zone": a.zone, "version": "v1", "slot-count": appSlots, "phase": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": a.born,
		})
		_ = putRecord(a.store, "keyed.servers", a.id, value)
		time.Sleep(heartbeat)
	}
}

// take takes a slot, and reports whether one was free.
func (a *app) take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running >= appSlots {
		return false
	}
	a.running++
	return true
}

func (a *app) give() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
}

// serve answers the requests on a channel until one answer ends it.
func (a *app) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		head := "X-Attempt-Id: " + id + "\r\nX-Instance-Id: " + a.id + "\r\n"
		if status := a.refusal(r); status != 0 {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d Refused\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, head); err != nil {
				return
			}
			continue
		}
		fmt.Fprintf(a.runs, "%s %s %s\n", a.id, r.Method, id)
		time.Sleep(appWork)
		body := appBody(id)
		// Neither a length nor chunks: the answer ends with the channel.
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sX-Response-Signature: signed.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", head, id, body[:len(body)/2])
		time.Sleep(appPause)
		_, _ = io.WriteString(conn, body[len(body)/2:])
		a.give()
		return
	}
}

// refusal returns the status of a refusal, or 0 if the request runs.
func (a *app) refusal(r *http.Request) int {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != a.id {
		return http.StatusMisdirectedRequest
	}
	if !a.take() {
		return http.StatusServiceUnavailable
	}
	return 0
}

// supervisor keeps a plain server running: it holds the port, and starts the process again
// as soon as it has ended.
type supervisor struct {
	*world
	id, service string
	listener    *os.File
	address     string

	mu      sync.Mutex
	command *exec.Cmd
	ended   bool
}

func (w *world) supervise(id, service string) (*supervisor, error) {
	listener, err := net.Listen("tcp4", w.prefix+".200:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	s := &supervisor{world: w, id: id, service: service, listener: file, address: listener.Addr().String()}
	if err := s.start(); err != nil {
		return nil, err
	}
	w.ends = append(w.ends, s.end)
	return s, nil
}

// start starts the process; it is started again whenever it ends.
func (s *supervisor) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	defer writer.Close()
	command := exec.Command(os.Args[0], serveCommand, "-id", s.id, "-service", s.service, "-zone", "a", "-store", s.url)
	command.ExtraFiles = []*os.File{s.listener, writer}
	if err := command.Start(); err != nil {
		return err
	}
	s.command = command
	s.log("server %s at %s: process %d has started", s.id, s.address, command.Process.Pid)
	go func() {
		lines := bufio.NewScanner(reader)
		for lines.Scan() {
			s.log("run at %s", lines.Text())
		}
		reader.Close()
	}()
	go func() {
		err := command.Wait()
		s.log("server %s: process %d has ended: %v", s.id, command.Process.Pid, err)
		_ = s.start()
	}()
	return nil
}

// kill kills the process; the supervisor starts another one at once.
func (s *supervisor) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.command.Process.Signal(syscall.SIGKILL)
}

func (s *supervisor) end() {
	s.mu.Lock()
	s.ended = true
	process := s.command.Process
	s.mu.Unlock()
	_ = process.Signal(syscall.SIGKILL)
	s.listener.Close()
}

// smallConfig is a configuration with one plain service.
func smallConfig(version int) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "hostname": "shop.example", "path-prefix": prefix, "route-type": kind, "timeout-ms": 1500, "target-latency-ms": 300,
			"priority-class": 2, "service-name": "orderbook", "max-attempts": 2, "allow-anonymous": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("book", "/book/", "non_idempotent"), route("read", "/read/", "idempotent")},
		"services": []any{map[string]any{"name": "orderbook", "health-path": "/health", "max-connections": 100, "protocol": "h1", "use-tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "team-1", "api-keys": []string{"key-1"}, "priority-class": 1}},
	}
}

// appRequest returns the bytes of a request of a client.
func appRequest(method, path, id, body string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\nX-Key: key-1\r\n"
	if method == http.MethodPost {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return text + "\r\n" + body
}
