// Package control measures what a fleet of real sapphired processes costs and
// how fast a configuration change reaches all of them. It starts the daemon's
// binary on loopback with stand-ins for the platform.
package control

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/ops"
	"github.com/sapphirefield/sapphirefield/standin"
)

// process is one running sapphired.
type process struct {
	id        string
	role      string
	operators string
	command   *exec.Cmd
}

// logLine is the part of a log line that the measurement needs.
type logLine struct {
	id       string
	Event    int       `json:"event"`
	Time     time.Time `json:"time"`
	Revision int64     `json:"revision"`
}

// spec describes a process to start.
type spec struct {
	id, role, zone string
	// lines are further lines of the settings file.
	lines []string
}

// Ports of each process on its loopback address.
const (
	operatorsPort = 7001
	peersPort     = 7002
	callersPort   = 7003
)

// host returns the loopback address of the n-th process. Each process has an
// address of its own, because a free port of a shared one can be taken by an
// outgoing connection before the process listens on it.
func host(n int) string {
	const perByte = 250
	return fmt.Sprintf("127.77.%d.%d", n/perByte, 1+n%perByte)
}

func address(n, port int) string { return fmt.Sprintf("%s:%d", host(n), port) }

// fleet is a set of processes with the platform's stand-ins.
type fleet struct {
	binary, dir string
	logURL      string
	listURL     string
	log         *standin.LogService
	list        *standin.InstanceList
	processes   []*process
	instances   []standin.Instance
	events      chan logLine
	servers     []*http.Server
}

func newFleet(binary, dir string) (*fleet, error) {
	f := &fleet{binary: binary, dir: dir, log: standin.NewLogService(), list: &standin.InstanceList{}, events: make(chan logLine, 1<<16)}
	var err error
	if f.logURL, err = f.serve(f.log.Handler()); err != nil {
		return nil, err
	}
	f.listURL, err = f.serve(f.list.Handler())
	return f, err
}

func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// addSidecar starts an engine stand-in and a sidecar beside it.
func (f *fleet) addSidecar(ctx context.Context, i int) error {
	engine := standin.NewEngine(standin.EngineOptions{Model: "model", Version: "1", First: 0, Limit: 1, Layers: 1})
	url, err := f.serve(engine.Handler())
	if err != nil {
		return err
	}
	peers := address(len(f.processes), peersPort)
	id := fmt.Sprintf("engine-%d", i)
	f.instances = append(f.instances, standin.Instance{ID: id, Service: "model", Zone: "z", Address: peers, State: standin.StateLive})
	f.list.Set(f.instances)
	return f.start(ctx, spec{id: id, role: "sidecar", zone: "z", lines: []string{
		"  peers: " + peers,
		"backend:",
		"  address: " + strings.TrimPrefix(url, "http://"),
		"  kind: engine",
		"  model: model",
		"  layers:",
		"    first: 0",
		"    limit: 1",
	}})
}

func (f *fleet) addEntry(ctx context.Context, i int) error {
	callers := address(len(f.processes), callersPort)
	peers := address(len(f.processes), peersPort)
	return f.start(ctx, spec{id: fmt.Sprintf("entry-%d", i), role: "entry", zone: "z", lines: []string{
		"  callers: " + callers,
		"  peers: " + peers,
	}})
}

// start writes the settings of a process and runs it.
func (f *fleet) start(ctx context.Context, s spec) error {
	operators := address(len(f.processes), operatorsPort)
	lines := []string{
		"role: " + s.role, "id: " + s.id, "region: r", "zone: " + s.zone,
		"platform:", "  log: " + f.logURL, "  instances: " + f.listURL,
		"tls:", "  plain_text: true", "log:", "  level: info",
		"listen:", "  operators: " + operators,
	}
	path := filepath.Join(f.dir, s.id+".yaml")
	if err := os.WriteFile(path, []byte(strings.Join(append(lines, s.lines...), "\n")+"\n"), 0o600); err != nil {
		return errors.WithStack(err)
	}
	p := &process{id: s.id, role: s.role, operators: operators, command: exec.CommandContext(ctx, f.binary, "-settings", path)}
	stderr, err := p.command.StderrPipe()
	if err != nil {
		return errors.WithStack(err)
	}
	if err := p.command.Start(); err != nil {
		return errors.Wrap(err, "start sapphired")
	}
	f.processes = append(f.processes, p)
	go f.follow(p.id, stderr)
	return nil
}

// follow reads a process's log lines.
func (f *fleet) follow(id string, r io.Reader) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := logLine{id: id}
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %s\n", id, scanner.Text())
			continue
		}
		select {
		case f.events <- line:
		default:
		}
	}
}

// stop ends all processes that this fleet started.
func (f *fleet) stop() {
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		_ = p.command.Wait()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// usage is what a process has used since its start.
type usage struct {
	cpu      time.Duration
	resident int64
	// sent and received are the bytes on the process's own connections.
	sent, received int64
}

const (
	// clockTick is the kernel's unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	statUser  = 13
	statSys   = 14
)

// usage reads the kernel's counters and the process's own byte counters.
func (p *process) usage() (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	// The cut removed the first two fields.
	user, _ := strconv.ParseInt(fields[statUser-2], 10, 64)
	system, _ := strconv.ParseInt(fields[statSys-2], 10, 64)
	u := usage{cpu: time.Duration(user+system) * clockTick}
	u.resident, err = residentBytes(p.command.Process.Pid)
	if err != nil {
		return usage{}, err
	}
	u.sent, u.received, err = p.linkBytes()
	return u, err
}

func residentBytes(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10, errors.WithStack(err)
		}
	}
	return 0, errors.New("no VmRSS in the process's status")
}

// linkBytes reads the byte counters from the operators' listener.
func (p *process) linkBytes() (sent, received int64, err error) {
	var metrics map[string]struct {
		Count int64 `json:"count"`
	}
	if err := p.get("/metrics", &metrics); err != nil {
		return 0, 0, err
	}
	return metrics["net.sent_bytes"].Count, metrics["net.received_bytes"].Count, nil
}

func (p *process) get(path string, into any) error {
	resp, err := http.Get("http://" + p.operators + path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s to %s", p.id, resp.Status, path)
	}
	return errors.WithStack(json.NewDecoder(resp.Body).Decode(into))
}

func (p *process) status() (ops.Status, error) {
	var status ops.Status
	err := p.get("/status", &status)
	return status, err
}
