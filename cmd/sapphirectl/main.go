// Command sapphirectl is the operators' tool.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirefield/sapphirefield/ctl/chartcmd"
)

func main() {
	root := &ffcli.Command{
		Name:        "sapphirectl",
		ShortUsage:  "sapphirectl <subcommand> [flags]",
		Subcommands: []*ffcli.Command{chartcmd.Command()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "sapphirectl:", err)
		os.Exit(1)
	}
}
