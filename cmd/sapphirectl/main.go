// Command sapphirectl is the operators' tool.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirefield/sapphirefield/ctl/burncmd"
	"github.com/sapphirefield/sapphirefield/ctl/chartcmd"
	"github.com/sapphirefield/sapphirefield/ctl/configcmd"
	"github.com/sapphirefield/sapphirefield/ctl/passwordcmd"
)

func main() {
	root := &ffcli.Command{
		Name:       "sapphirectl",
		ShortUsage: "sapphirectl <subcommand> [flags]",
		Subcommands: []*ffcli.Command{
			configcmd.Command(configcmd.Options{Stdout: os.Stdout, Client: http.DefaultClient}),
			reportCommand(),
			chartcmd.Command(),
			passwordcmd.Command(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	var exit *configcmd.ExitError
	switch {
	case errors.Is(err, flag.ErrHelp):
		os.Exit(configcmd.ExitUsage)
	case errors.As(err, &exit):
		fmt.Fprintln(os.Stderr, "sapphirectl:", err)
		os.Exit(exit.Code)
	case err != nil:
		fmt.Fprintln(os.Stderr, "sapphirectl:", err)
		os.Exit(1)
	}
}

func reportCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "report",
		ShortUsage:  "sapphirectl report burn [flags] ADDRESS...",
		ShortHelp:   "report on service levels",
		Subcommands: []*ffcli.Command{burncmd.Command()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}
