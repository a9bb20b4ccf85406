package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/platform"
	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// entry is one entry: a program in a process of its own, and the proxies before it
// and between it and the store.
type entry struct {
	settings platformtest.EntrySettings
	program  string
	folder   string
	callers  *proxy
	store    *proxy

	// restarting keeps one restart at a time.
	restarting sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	starts  int
	// disturbed is when the last fault on the entry ended.
	disturbed time.Time
	faults    int
}

// start starts the program.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	file := filepath.Join(e.folder, e.settings.Name+".yaml")
	if err := os.WriteFile(file, []byte(e.settings.YAML()), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	logs, err := os.Create(filepath.Join(e.folder, fmt.Sprintf("%s.%d.log", e.settings.Name, e.starts)))
	if err != nil {
		return errors.Wrap(err, "logs")
	}
	defer logs.Close()
	e.command = exec.Command(e.program, "relay")
	e.command.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	e.command.Stdout, e.command.Stderr = logs, logs
	if err := e.command.Start(); err != nil {
		return errors.Wrap(err, "entry")
	}
	command, exited := e.command, make(chan struct{})
	e.exited = exited
	go func() {
		_ = command.Wait() // the end by a signal is what the soak asks for
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that this entry started.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil && e.command.Process != nil {
		_ = e.command.Process.Signal(s) // a process that has ended takes none
	}
}

// awaitEnd waits for the end of the process, and kills it when that takes too long.
func (e *entry) awaitEnd(limit time.Duration) bool {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-exited:
		return true
	case <-timer.C:
	}
	e.signal(syscall.SIGKILL)
	<-exited
	return false
}

// isReady tells whether the entry says that it can serve callers.
func (e *entry) isReady(client *http.Client) bool {
	response, err := client.Get(e.settings.ReadyURL())
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// begin and end bound a fault on the entry.
func (e *entry) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults++
}

func (e *entry) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults--
	e.disturbed = time.Now()
}

// faultCount counts the present faults on the entry.
func (e *entry) faultCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// calmSince tells whether no fault has touched the entry from a time on.
func (e *entry) calmSince(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults == 0 && e.disturbed.Before(at)
}

// boot is the number of the entry's current process.
func (e *entry) boot() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts
}

func (e *entry) stop() {
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	e.awaitEnd(time.Second)
	e.callers.close()
	e.store.close()
}
