// Package control measures the resource usage of a fleet of sapphired processes
// and how fast a configuration change reaches all of them. It runs the daemon's
// binary on loopback with stand-ins for the platform services.
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

// process is one running sapphired process.
type process struct {
	id           string
	role         string
	operatorAddr string
	command      *exec.Cmd
}

// logLine holds the fields of a log line that the measurement uses.
type logLine struct {
	id       string
	Event    int       `json:"event"`
	Time     time.Time `json:"time"`
	Revision int64     `json:"revision"`
}

// processSpec describes a process to start.
type processSpec struct {
	id, role, zone string
	// settingsLines are appended to the settings file, whose last section is "listen".
	settingsLines []string
}

// Ports that each process listens on at its own loopback address.
const (
	operatorPort = 7001
	peerPort     = 7002
	clientPort   = 7003
)

// modelCount is the number of models that the engines serve.
const modelCount = 9

// loopbackHost returns the loopback address of the n-th process. Each process has
// its own address, because on a shared one an outgoing connection could take the
// port before the process listens on it.
func loopbackHost(n int) string {
	const perByte = 250
	return fmt.Sprintf("127.77.%d.%d", n/perByte, 1+n%perByte)
}

func loopbackAddr(n, port int) string { return fmt.Sprintf("%s:%d", loopbackHost(n), port) }

// fleet is a set of processes with stand-ins for the platform services.
type fleet struct {
	binary, dir     string
	logURL          string
	instanceListURL string
	log             *standin.LogService
	instanceList    *standin.InstanceList
	processes       []*process
	instances       []standin.Instance
	logLines        chan logLine
	servers         []*http.Server
}

func newFleet(binary, dir string) (*fleet, error) {
	f := &fleet{binary: binary, dir: dir, log: standin.NewLogService(), instanceList: &standin.InstanceList{}, logLines: make(chan logLine, 1<<16)}
	var err error
	if f.logURL, err = f.serve(f.log.Handler()); err != nil {
		return nil, err
	}
	f.instanceListURL, err = f.serve(f.instanceList.Handler())
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
	// Several models, because an entry connects to a limited number of sidecars per model.
	model := fmt.Sprintf("model-%d", i%modelCount)
	engine := standin.NewEngine(standin.EngineOptions{Model: model, Version: "1", First: 0, Limit: 1, Layers: 1})
	url, err := f.serve(engine.Handler())
	if err != nil {
		return err
	}
	peerAddr := loopbackAddr(len(f.processes), peerPort)
	id := fmt.Sprintf("engine-%d", i)
	f.instances = append(f.instances, standin.Instance{ID: id, Service: model, Zone: "z", Address: peerAddr, State: standin.StateLive})
	f.instanceList.Set(f.instances)
	return f.start(ctx, processSpec{id: id, role: "sidecar", zone: "z", settingsLines: []string{
		"  peers: " + peerAddr,
		"backend:",
		"  address: " + strings.TrimPrefix(url, "http://"),
		"  kind: engine",
		"  model: " + model,
		"  layers:",
		"    first: 0",
		"    limit: 1",
	}})
}

func (f *fleet) addEntry(ctx context.Context, i int) error {
	clientAddr := loopbackAddr(len(f.processes), clientPort)
	peerAddr := loopbackAddr(len(f.processes), peerPort)
	return f.start(ctx, processSpec{id: fmt.Sprintf("entry-%d", i), role: "entry", zone: "z", settingsLines: []string{
		"  callers: " + clientAddr,
		"  peers: " + peerAddr,
	}})
}

// start writes the settings of a process and runs it.
func (f *fleet) start(ctx context.Context, s processSpec) error {
	operatorAddr := loopbackAddr(len(f.processes), operatorPort)
	lines := []string{
		"role: " + s.role, "id: " + s.id, "region: r", "zone: " + s.zone,
		"platform:", "  log: " + f.logURL, "  instances: " + f.instanceListURL,
		"tls:", "  plain_text: true", "log:", "  level: info",
		"listen:", "  operators: " + operatorAddr,
	}
	path := filepath.Join(f.dir, s.id+".yaml")
	if err := os.WriteFile(path, []byte(strings.Join(append(lines, s.settingsLines...), "\n")+"\n"), 0o600); err != nil {
		return errors.WithStack(err)
	}
	p := &process{id: s.id, role: s.role, operatorAddr: operatorAddr, command: exec.CommandContext(ctx, f.binary, "-settings", path)}
	stderr, err := p.command.StderrPipe()
	if err != nil {
		return errors.WithStack(err)
	}
	if err := p.command.Start(); err != nil {
		return errors.Wrap(err, "start sapphired")
	}
	f.processes = append(f.processes, p)
	go f.readLog(p.id, stderr)
	return nil
}

// readLog parses a process's log lines. Lines that are not JSON go to standard
// error; lines that exceed the channel's capacity are dropped.
func (f *fleet) readLog(id string, r io.Reader) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := logLine{id: id}
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %s\n", id, scanner.Text())
			continue
		}
		select {
		case f.logLines <- line:
		default:
		}
	}
}

// stop kills all processes and closes the stand-ins.
func (f *fleet) stop() {
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		_ = p.command.Wait()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// usage is the resource usage of a process: processor time and traffic since its
// start, and its current memory.
type usage struct {
	cpu           time.Duration
	residentBytes int64
	// sentBytes and receivedBytes count traffic on the process's own connections.
	sentBytes, receivedBytes int64
}

const (
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	// Indices of the fields of /proc/PID/stat, from 0.
	statUserTime   = 13
	statSystemTime = 14
)

// usage reads the kernel's counters and the process's own byte counters.
func (p *process) usage() (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	// The first two fields, PID and command, were cut off.
	user, _ := strconv.ParseInt(fields[statUserTime-2], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemTime-2], 10, 64)
	u := usage{cpu: time.Duration(user+system) * clockTick}
	u.residentBytes, err = residentBytes(p.command.Process.Pid)
	if err != nil {
		return usage{}, err
	}
	u.sentBytes, u.receivedBytes, err = p.connectionBytes()
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
	return 0, errors.New("no VmRSS in /proc/PID/status")
}

// connectionBytes reads the byte counters from the process's operator listener.
func (p *process) connectionBytes() (sent, received int64, err error) {
	var metrics map[string]struct {
		Count int64 `json:"count"`
	}
	if err := p.get("/metrics", &metrics); err != nil {
		return 0, 0, err
	}
	return metrics["net.sent_bytes"].Count, metrics["net.received_bytes"].Count, nil
}

func (p *process) get(path string, into any) error {
	resp, err := http.Get("http://" + p.operatorAddr + path)
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
