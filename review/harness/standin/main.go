// Command standin holds the stand-ins and the drivers of the cases in this folder. A
// driver starts entries of the program under review and stand-in servers as processes of
// their own, sends requests like the clients of a small deployment, and judges only what
// clients and servers have seen. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin server|CASE [options]")
		os.Exit(exitNotRun)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if os.Args[1] == "server" {
		if err := runServer(ctx, os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "server:", err)
			os.Exit(exitNotRun)
		}
		return
	}
	os.Exit(runCase(ctx, os.Args[1], os.Args[2:]))
}
