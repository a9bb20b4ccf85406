// Command sapphiredev is the developers' tool: the demo with simulated services and
// engines, experiments, fuzzing and soak tests.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirefield/sapphirefield/demo"
	"github.com/sapphirefield/sapphirefield/demo/local"
	"github.com/sapphirefield/sapphirefield/experiment/capacity"
	"github.com/sapphirefield/sapphirefield/experiment/compare"
	"github.com/sapphirefield/sapphirefield/experiment/control"
	"github.com/sapphirefield/sapphirefield/experiment/fleet"
	"github.com/sapphirefield/sapphirefield/experiment/load"
	"github.com/sapphirefield/sapphirefield/experiment/overload"
	"github.com/sapphirefield/sapphirefield/fuzz"
	"github.com/sapphirefield/sapphirefield/soak"
)

func main() {
	root := &ffcli.Command{
		Name:       "sapphiredev",
		ShortUsage: "sapphiredev <subcommand> [flags]",
		Subcommands: []*ffcli.Command{
			demoCommand(), local.Command(), load.Command(),
			fleet.Command(), overload.Command(), fuzz.Command(), capacity.Command(), control.Command(), soak.Command(), compare.Command(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "sapphiredev:", err)
		os.Exit(1)
	}
}

func demoCommand() *ffcli.Command {
	flags := flag.NewFlagSet("sapphiredev demo", flag.ContinueOnError)
	showLogs := flags.Bool("logs", false, "write the processes' log lines to standard error")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "sapphiredev demo [-logs]",
		ShortHelp:  "run all roles in one process and show a prompt, a booking and the loss of a stage",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			var logs io.Writer
			if *showLogs {
				logs = os.Stderr
			}
			return demo.Run(ctx, os.Stdout, logs)
		},
	}
}
