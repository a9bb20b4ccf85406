// Command sapphired is the daemon. It runs as an entry or a sidecar, depending on
// its settings; "sapphired relay" runs the entry of the operators' platform.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/sapphirefield/sapphirefield/daemon"
	"github.com/sapphirefield/sapphirefield/machine"
	"github.com/sapphirefield/sapphirefield/settings"
)

const (
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:], os.Environ(), os.Stdout, os.Stderr)) }

// run returns the exit code of the process.
func run(args, environ []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "relay" {
		return runRelay(args[1:], stdout, stderr)
	}
	s, err := settings.Load(args, environ)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(stdout, settings.Usage())
		return 0
	case err != nil:
		fmt.Fprintln(stderr, err)
		return exitSettings
	case s.CheckOnly:
		fmt.Fprintln(stdout, "settings are valid")
		return 0
	}
	local := machine.Local()
	local.LimitHeap()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := daemon.Run(context.Background(), s, daemon.Options{LogWriter: stderr, Signals: signals, Machine: local}); err != nil {
		fmt.Fprintln(stderr, "sapphired:", err)
		return exitFailed
	}
	return 0
}
