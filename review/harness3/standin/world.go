package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sapphirefield/sapphirefield/platform"
	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// Bounds of the deployment kfoba-sapphire.
const (
	heartbeat   = 1200 * time.Millisecond
	gracePeriod = 8 * time.Second
	contactTime = 3000 * time.Millisecond
	configTime  = 2000 * time.Millisecond
	memoryMB    = 284
	descriptors = 4100
)

var zones = []string{"changwon-a", "ulsan-b", "gimhae-c"}

// world is a small deployment: a stand-in of the store, stand-ins of servers, and entries as
// processes of their own.
type world struct {
	dir, program string
	record       *os.File
	recordMu     sync.Mutex
	began        time.Time
	store        *platformtest.Store
	storeAddr    string
	fleet        *platformtest.Fleet
	entries      []*entry
	block        int
	seeds        uint64
}

// entry is an entry process and the proxy of its connections to the store.
type entry struct {
	settings   platformtest.EntrySettings
	process    *platformtest.Process
	storeProxy *proxy
}

// newWorld starts the store. Its record goes to record.txt of the case's folder.
func newWorld(program, recordFile string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, program: program, record: record, began: time.Now(), seeds: 1}
	w.store = platformtest.NewStore(w.random())
	w.fleet = platformtest.NewFleet(w.store, heartbeat, func(guarantee, detail string) { w.log("stand-in reports %s: %s", guarantee, detail) })
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store.Handler()) }() // ends with the process
	return w, w.chooseBlock()
}

// chooseBlock finds a block of loopback addresses that no other process uses.
func (w *world) chooseBlock() error {
	for block := 20 + os.Getpid()%100; block < 250; block++ {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1:8227", block))
		if err == nil {
			listener.Close()
			w.block = block
			return nil
		}
	}
	return fmt.Errorf("no free block of loopback addresses")
}

func (w *world) random() *rand.Rand {
	w.seeds++
	return rand.New(rand.NewPCG(w.seeds, 65))
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// startEntries starts entries and waits until all are ready.
func (w *world) startEntries(n int) error {
	for i := range n {
		e := &entry{settings: platformtest.EntrySettings{
			Name: fmt.Sprintf("edge-%d", i+1), IP: fmt.Sprintf("127.%d.1.%d", w.block, i+1), Zone: zones[i%len(zones)],
			Heartbeat: heartbeat, GracePeriod: gracePeriod, MemoryMB: memoryMB, MaxDescriptors: descriptors,
		}}
		var err error
		if e.storeProxy, err = newProxy("127.0.0.1", w.storeAddr); err != nil {
			return err
		}
		e.settings.StoreAddr = e.storeProxy.address()
		w.entries = append(w.entries, e)
		if err := w.start(e); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if err := w.awaitReady(e); err != nil {
			return err
		}
	}
	return nil
}

// start starts an entry's process.
func (w *world) start(e *entry) error {
	file := filepath.Join(w.dir, e.settings.Name+".yaml")
	if err := os.WriteFile(file, []byte(e.settings.YAML()), 0o600); err != nil {
		return err
	}
	command := exec.Command(w.program, "relay")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", platform.SettingsVariable + "=" + file}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	e.process, err = platformtest.StartProcess(command, filepath.Join(w.dir, e.settings.Name+".log"))
	w.log("%s started", e.settings.Name)
	return err
}

func (w *world) awaitReady(e *entry) error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(e.settings.ReadyURL())
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			w.log("%s is ready", e.settings.Name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.settings.Name)
}

// stop ends all processes and removes the temporary folder.
func (w *world) stop() {
	for _, e := range w.entries {
		if e.process != nil {
			e.process.Signal(syscall.SIGKILL)
			e.process.WaitExit(time.Second)
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
	w.record.Close()
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	err    error
}

// send sends a request to an entry over a connection of its own.
func (w *world) send(e *entry, request platformtest.ClientRequest, change func(http.Header)) answer {
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout+time.Second)
	defer cancel()
	r, err := request.HTTPRequest(ctx, "http://"+e.settings.ClientAddr())
	if err != nil {
		return answer{err: err}
	}
	change(r.Header)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, string(body), err}
}

// logRequest records what a client got, and how often its request was run.
func (w *world) logRequest(kind, id string, e *entry, a answer, ran int) {
	got := fmt.Sprintf("status %d %s", a.status, problemDetail(a))
	if a.err != nil {
		got = "no answer: " + a.err.Error()
	}
	w.log("%s %s to %s: %s; run %d times", kind, id, e.settings.Name, got, ran)
}
