// Command sapphired is the daemon: an entry or a sidecar, as its settings say.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sapphirefield/sapphirefield/daemon"
	"github.com/sapphirefield/sapphirefield/settings"
)

func main() {
	s, err := settings.Load(os.Args[1:], os.Environ())
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Print(settings.Usage())
		return
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case s.CheckOnly:
		fmt.Println("settings are valid")
		return
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := daemon.Run(context.Background(), s, daemon.Options{Logs: os.Stderr, Signals: signals}); err != nil {
		fmt.Fprintln(os.Stderr, "sapphired:", err)
		os.Exit(1)
	}
}
