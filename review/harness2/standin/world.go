package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// world is a small deployment on loopback addresses: the platform's store, servers and
// entries. The record file gets one line for each thing that is sent, answered or run.
type world struct {
	folder string
	prefix string // the first three numbers of all addresses
	store  *platformtest.Store
	// storeMu guards url, the store's address.
	storeMu     sync.Mutex
	url         string
	storeServer *http.Server

	mu      sync.Mutex
	record  *os.File
	began   time.Time
	entries []*entryProcess
	ends    []func()

	// engines are the model engines by address.
	enginesMu sync.Mutex
	engines   map[string]*modelEngine
}

func newWorld(record string) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		folder: folder, record: file, began: time.Now(), prefix: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
		engines: map[string]*modelEngine{}, store: platformtest.NewStore(rand.New(rand.NewPCG(1, 2))),
	}
	listener, err := net.Listen("tcp4", w.prefix+".250:0")
	if err != nil {
		return nil, err
	}
	w.url = "http://" + listener.Addr().String()
	w.storeServer = &http.Server{Handler: w.store.Handler()}
	go func() { _ = w.storeServer.Serve(listener) }()
	w.ends = append(w.ends, func() { _ = w.storeServer.Close() })
	return w, nil
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// end ends all processes and removes the temporary folder.
func (w *world) end() {
	for _, e := range w.entries {
		e.kill()
	}
	for i := len(w.ends) - 1; i >= 0; i-- {
		w.ends[i]()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// storeURL returns the address at which the platform's servers reach the store now.
func (w *world) storeURL() string {
	w.storeMu.Lock()
	defer w.storeMu.Unlock()
	return w.url
}

// putRecord appends a keyed record to the store, as a server or the operator does.
func putRecord(url, topic, key string, value []byte) error {
	body := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	body = append(append(append(body, byte(len(key))), key...), value...)
	response, err := http.Post(url+"/v1/log-append?part=0&topic="+topic, "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", response.StatusCode)
	}
	return nil
}

// putConfig writes a version of the configuration.
func (w *world) putConfig(config map[string]any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return putRecord(w.url, "keyed.op", "config", value)
}

// entryProcess is a process of the deploy file's role on an edge machine.
type entryProcess struct {
	*world
	settings platformtest.EntrySettings
	file     string
	command  *exec.Cmd
	done     chan struct{}
}

const program = "target/sapphired"

// startEntry starts an entry and waits until it is ready.
func (w *world) startEntry(number int) (*entryProcess, error) {
	e := &entryProcess{world: w, settings: platformtest.EntrySettings{
		Name: fmt.Sprintf("edge-a-%d", number), IP: fmt.Sprintf("%s.%d", w.prefix, number), Zone: "a", StoreAddr: strings.TrimPrefix(w.url, "http://"),
		Heartbeat: heartbeat, GracePeriod: 8 * time.Second,
	}}
	w.entries = append(w.entries, e)
	e.file = filepath.Join(w.folder, e.settings.Name+".yaml")
	if err := os.WriteFile(e.file, []byte(e.settings.YAML()), 0o600); err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		return nil, err
	}
	return e, e.awaitReady()
}

func (e *entryProcess) start() error {
	logs, err := os.OpenFile(filepath.Join(e.folder, e.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	command := exec.Command(program, "relay")
	command.Env = append(os.Environ(), "SAPPHIREFIELD_SETTINGS="+e.file)
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.command, e.done = command, done
	go func() {
		err := command.Wait()
		e.log("%s: process %d has ended: %v", e.settings.Name, command.Process.Pid, err)
		close(done)
	}()
	return nil
}

func (e *entryProcess) awaitReady() error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(e.settings.ReadyURL())
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.settings.Name)
}

func (e *entryProcess) signal(s syscall.Signal) { _ = e.command.Process.Signal(s) }

func (e *entryProcess) kill() {
	if e.command == nil {
		return
	}
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	<-e.done
}

// reply is what a client gets on its socket.
type reply struct {
	status int
	header http.Header
	body   []byte
	// whole is set if the answer has ended as its framing says.
	whole bool
	err   error
}

func (r reply) String() string {
	if r.err != nil && r.status == 0 {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes of body, whole %v", r.status, r.header.Get("X-Response-Signature"), len(r.body), r.whole)
}

// exchange sends the bytes of a request over a new channel and reads the answer.
func exchange(address, method, request string, timeout time.Duration) reply {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: body, whole: err == nil, err: err}
}

// await waits until a condition holds.
func await(limit time.Duration, holds func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
