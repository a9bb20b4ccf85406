// Command sapphiredev runs experiments and stand-ins for development.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sapphirefield/sapphirefield/experiment/fleet"
)

func main() {
	root := &ffcli.Command{
		ShortUsage:  "sapphiredev <command>",
		Subcommands: []*ffcli.Command{fleet.Command()},
		Exec:        func(context.Context, []string) error { return nil },
	}
	if err := root.ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
