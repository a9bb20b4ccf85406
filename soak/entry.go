package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/platform"
	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// entry is an entry process with the proxies on its connections from clients and
// to the store.
type entry struct {
	settings    platformtest.EntrySettings
	program     string
	folder      string
	clientProxy *proxy
	storeProxy  *proxy

	// restarting serializes restarts.
	restarting sync.Mutex

	mu         sync.Mutex
	process    *platformtest.Process
	startCount int
	// stoppedAt is when the entry was last asked to stop.
	stoppedAt time.Time

	// faults are all faults on the entry, unplanned those that are neither planned work
	// nor the store's.
	faults, unplanned platformtest.Disruptions
}

// start writes the settings file and starts the process.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startCount++
	file := filepath.Join(e.folder, e.settings.Name+".yaml")
	if err := os.WriteFile(file, []byte(e.settings.YAML()), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	command := exec.Command(e.program, "relay")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	process, err := platformtest.StartProcess(command, e.logFile(e.startCount))
	if err != nil {
		return err
	}
	e.process = process
	return nil
}

// current returns the current process, or nil before the first one.
func (e *entry) current() *platformtest.Process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// signal sends a signal to the current process, if any.
func (e *entry) signal(s syscall.Signal) {
	if process := e.current(); process != nil {
		process.Signal(s)
	}
}

// waitExit reports whether the process exits within timeout; if not, it kills the
// process.
func (e *entry) waitExit(timeout time.Duration) bool { return e.current().WaitExit(timeout) }

// isReady reports whether the entry's readiness check succeeds.
func (e *entry) isReady(client *http.Client) bool {
	response, err := client.Get(e.settings.ReadyURL())
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// beginFault marks the start of a fault on the entry; the returned function marks its end.
func (e *entry) beginFault() (end func()) { return e.faults.Begin() }

// beginUnplanned does the same for an unplanned fault.
func (e *entry) beginUnplanned() (end func()) {
	endFault, endUnplanned := e.faults.Begin(), e.unplanned.Begin()
	return func() {
		endUnplanned()
		endFault()
	}
}

// askToStop sends SIGTERM.
func (e *entry) askToStop() {
	e.mu.Lock()
	e.stoppedAt = time.Now()
	e.mu.Unlock()
	e.signal(syscall.SIGTERM)
}

func (e *entry) lastStop() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stoppedAt
}

// activeFaultCount returns the number of faults in progress on the entry.
func (e *entry) activeFaultCount() int { return e.faults.Active() }

// faultFreeSince reports whether the entry has had no fault since t.
func (e *entry) faultFreeSince(t time.Time) bool { return e.faults.NoneSince(t) }

// logFile returns the path of the log of one of the entry's processes.
func (e *entry) logFile(processNumber int) string {
	return filepath.Join(e.folder, fmt.Sprintf("%s.%d.log", e.settings.Name, processNumber))
}

// hasNotLogged reports whether a process has written no line of a request, and has left out
// no lines of requests.
func (e *entry) hasNotLogged(processNumber int, request string) bool {
	lines, err := os.ReadFile(e.logFile(processNumber))
	if err != nil {
		return false
	}
	leftOut := fmt.Appendf(nil, `"event":%d`, logevent.LogLinesSkipped)
	return !bytes.Contains(lines, leftOut) && !bytes.Contains(lines, fmt.Appendf(nil, `"request":%q`, request))
}

// processName names the entry's current process.
func (e *entry) processName() string {
	return fmt.Sprintf("%s/%d", e.settings.Name, e.processNumber())
}

// processNumber returns the number of the entry's current process, counted from 1.
func (e *entry) processNumber() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startCount
}

func (e *entry) stop() {
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	e.waitExit(time.Second)
	e.clientProxy.close()
	e.storeProxy.close()
}
