// Command standin runs the scripts of the review: it starts entries as processes with the
// command of the deploy file, stand-ins of the platform and its servers, and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Bounds of the site kfoba-sapphire: the check-in interval, config-ms, contact-ms,
// drain-ms, and reuse-after-s, how long after the end of an engine its address may go to an
// engine of another service.
const (
	heartbeat   = 1200 * time.Millisecond
	configTime  = 2 * time.Second
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	reuseTime   = 2 * time.Second
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) > 1 && os.Args[1] == serveCommand {
		serveApp(os.Args[2:])
		return 0
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.end()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.log("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](w, trouble)
	switch {
	case err != nil:
		w.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		w.log("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
