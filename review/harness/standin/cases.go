package main

import (
	"context"
	"flag"
	"fmt"
	"os"
)

// caseRun is a case: it returns what broke the rule, one line each.
type caseRun func(ctx context.Context, w *world, o caseOptions) (broken []string, err error)

type caseOptions struct {
	program string
	// trouble is false if the disruption is left out.
	trouble bool
}

var cases = map[string]caseRun{
	"crash-mid-answer":    crashMidAnswer,
	"lost-stage":          lostStage,
	"pipelined-stop":      pipelinedStop,
	"stop-while-starting": stopWhileStarting,
}

// runCase runs a case and returns the exit code.
func runCase(ctx context.Context, name string, args []string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "there is no case", name)
		return exitNotRun
	}
	o := caseOptions{trouble: os.Getenv("TROUBLE") != "0"}
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	recordPath := flags.String("record", "record.txt", "file for what was sent, answered and run")
	flags.StringVar(&o.program, "program", "target/sapphired", "program under review")
	if flags.Parse(args) != nil {
		return exitNotRun
	}
	w, err := newWorld(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	broken, err := run(ctx, w, o)
	if err != nil || ctx.Err() != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err, ctx.Err())
		w.record.write("could not run: %v", err)
		return exitNotRun
	}
	for _, line := range broken {
		fmt.Println("broken:", line)
		w.record.write("BROKEN: %s", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	w.record.write("the rule held")
	return exitHeld
}
