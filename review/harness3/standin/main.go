// Command standin plays the cases of the third review that are scripts: entries as processes
// of their own, on loopback addresses, against stand-ins of the platform.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each reports whether the rule held.
var cases = map[string]func(w *world, trouble bool) (held bool, err error){
	"silent-store":    silentStore,
	"rolling-restart": rollingRestart,
	"late-extra":      lateExtra,
	"cut-answer":      cutAnswer,
	"stalled-bodies":  stalledBodies,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name: PROGRAM CASE RECORD.
func run(args []string) int {
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin PROGRAM CASE RECORD")
		return exitFailed
	}
	w, err := newWorld(args[0], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.stop()
	held, err := cases[args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case held:
		w.log("the rule held")
		return exitHeld
	}
	w.log("the rule was broken")
	return exitBroken
}
