package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
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

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// world is a small deployment on loopback addresses: a store, entries and servers.
type world struct {
	dir    string
	random *rand.Rand
	// network is the part of 127.0.0.0/8 that this run uses: 127.A.B.x.
	network  string
	store    *platformtest.Store
	storeURL string
	entries  []*process
	servers  []*process
	record   *record
	// onEvent is called for each line of a server.
	onEvent func(event)
	// entryZones are the zones of the entries, in turn.
	entryZones []string
}

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// process is a process that this run has started.
type process struct {
	name, address string
	command       *exec.Cmd
	exited        chan struct{}
	args          []string
	environ       []string
}

const readyTimeout = 20 * time.Second

// newWorld starts the store of a deployment.
func newWorld(recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 44)),
		record: &record{file: file, began: time.Now()}, onEvent: func(event) {},
		entryZones: zones,
	}
	w.store = platformtest.NewStore(rand.New(rand.NewPCG(1, 2)))
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d", 20+w.random.IntN(200), 1+w.random.IntN(250))
		listener, err := net.Listen("tcp4", w.network+".250:8223")
		if err != nil {
			continue
		}
		w.storeURL = "http://" + listener.Addr().String()
		go func() { _ = http.Serve(listener, w.store.Handler()) }() // ends with this process
		return w, nil
	}
	return nil, errors.New("no free loopback address")
}

// close ends all processes of the run.
func (w *world) close() {
	for _, p := range append(w.entries, w.servers...) {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	_ = os.RemoveAll(w.dir)
	w.record.file.Close()
}

func (p *process) signal(s syscall.Signal) {
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s) // fails if the process has ended
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// start starts the process. Lines that it writes go to lines, or to a file without it.
func (w *world) start(p *process, lines func(text []byte)) error {
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir}, p.environ...)
	p.exited = make(chan struct{})
	log, err := os.Create(filepath.Join(w.dir, p.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	p.command.Stderr = log
	command, exited, read := p.command, p.exited, make(chan struct{})
	if lines == nil {
		command.Stdout = log
		close(read)
	} else {
		out, err := command.StdoutPipe()
		if err != nil {
			return err
		}
		go readLines(out, lines, read)
	}
	if err := command.Start(); err != nil {
		close(exited)
		return err
	}
	go func() {
		<-read
		_ = command.Wait() // returns an error for the signals that the run sends
		close(exited)
	}()
	return nil
}

func readLines(out io.Reader, lines func([]byte), done chan<- struct{}) {
	defer close(done)
	scanner := bufio.NewScanner(out)
	for scanner.Scan() {
		lines(scanner.Bytes())
	}
}

const (
	clientPort = 8227
	readyPort  = 8220
	serverPort = 8120
)

var zones = []string{"changwon-a", "ulsan-b", "gimhae-c", "changwon-a"}

// settings returns the settings file of an entry, with the bounds of a small deployment.
func (w *world) settings(name, ip, zone string) string {
	return fmt.Sprintf(`node: %q
node-role: "entry"
machine-class: "edge"
serves: ["edge"]
ip-addr: %q
zone: %q
region: "kr-south"
zones: {changwon-a: "kr-south", ulsan-b: "kr-south", gimhae-c: "kr-south"}
bind-addrs: {frontend: "%s:%d", ready: "%s:%d"}
internal-ports: [7340, 7355]
bootstrap: true
limits: {cpu-share: 0.304, cpu-cores: 1, memory-mb: 284, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}
discovery-mode: "platform"
entry-mode: "vip"
heartbeat-ms: 1200
contract-bounds: {seed-lag-s: 3, reuse-after-s: 2, contact-ms: 3000, ack-ms: 4000, catch-up-s: 4, drain-ms: 2000, grace-period-s: 8, loss-slack-ms: 200, config-ms: 2000, rollback-slack-ms: 250, max-skew-ms: 5000, retry-budget-ratio: 0.2, budget-window-s: 10, budget-extra: 198, recover-s: 12, pass-ms: 120, stall_ms: 2000}
platform: {address: "%s", form: "log", writes-per-s: 400, reads-per-s: 2000}
`, name, ip, zone, ip, clientPort, ip, readyPort, w.storeURL[len("http://"):])
}

// startEntry starts an entry with the command of the deploy file.
func (w *world) startEntry(program string) error {
	n := len(w.entries)
	zone := w.entryZones[n%len(w.entryZones)]
	name, ip := fmt.Sprintf("edge-%s-%d", zone, n+1), fmt.Sprintf("%s.%d", w.network, 1+n)
	file := filepath.Join(w.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(w.settings(name, ip, zone)), 0o600); err != nil {
		return err
	}
	p := &process{
		name: name, address: fmt.Sprintf("%s:%d", ip, clientPort), args: []string{program, "relay"},
		environ: []string{"SAPPHIREFIELD_SETTINGS=" + file},
	}
	w.entries = append(w.entries, p)
	return w.start(p, nil)
}

// readyURL returns the address of the platform's question whether an entry is ready.
func (w *world) readyURL(n int) string {
	return fmt.Sprintf("http://%s.%d:%d/v1/ready", w.network, 1+n, readyPort)
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyTimeout)
	for n := range w.entries {
		for {
			response, err := client.Get(w.readyURL(n))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", w.entries[n].name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// startServer starts a server of a service. options are those of the server command.
func (w *world) startServer(service string, options ...string) (*process, error) {
	n := len(w.servers)
	p := &process{
		name: fmt.Sprintf("i-%08x", w.random.Uint32()), address: fmt.Sprintf("%s.%d:%d", w.network, 101+n, serverPort),
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p.args = append([]string{
		program, "server", "-id", p.name, "-service", service, "-zone", zones[n%len(zones)], "-address", p.address, "-store", w.storeURL,
	}, options...)
	w.servers = append(w.servers, p)
	return p, w.start(p, w.handleLine)
}

// restartServer starts an ended server again, at its address and under another ID.
func (w *world) restartServer(p *process) error {
	old := p.name
	p.name = fmt.Sprintf("i-%08x", w.random.Uint32())
	for i := range p.args {
		if p.args[i] == old {
			p.args[i] = p.name
		}
	}
	return w.start(p, w.handleLine)
}

func (w *world) handleLine(text []byte) {
	var e event
	if json.Unmarshal(text, &e) != nil {
		return
	}
	w.record.write("server %s %s %s %s", e.Server, e.Kind, e.Request, e.Detail)
	w.onEvent(e)
}

const (
	routeHost = "forge.example"
	bookPath  = "/book/"
	readPath  = "/read/"
	appName   = "orderbook-app"
	apiKey    = "n2ctnfzs989anu6wsjnb"
)

// publish publishes a configuration with the routes of the press order book service.
func (w *world) publish(version int) error {
	type object = map[string]any
	route := func(name, prefix, kind string) object {
		return object{
			"name": name, "hostname": routeHost, "path-prefix": prefix, "route-type": kind, "timeout-ms": 1500,
			"target-latency-ms": 300, "max-attempts": 2, "service-name": appName, "priority-class": 2,
		}
	}
	value, err := json.Marshal(object{
		"version":  version,
		"routes":   []object{route("slot-book", bookPath, "non_idempotent"), route("slot-read", readPath, "idempotent")},
		"services": []object{{"name": appName, "max-connections": 100}},
		"limits":   object{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
		"tenants":  []object{{"name": "hule930", "api-keys": []string{apiKey}}},
	})
	if err != nil {
		return err
	}
	w.store.PutConfiguration(value)
	return nil
}
