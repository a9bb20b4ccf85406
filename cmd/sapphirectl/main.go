// Command sapphirectl is the operators' command-line tool: it checks and publishes
// configurations, reports burn rates, shows state charts and hashes passwords.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirefield/sapphirefield/ctl/burncmd"
	"github.com/sapphirefield/sapphirefield/ctl/chartcmd"
	"github.com/sapphirefield/sapphirefield/ctl/configcmd"
	"github.com/sapphirefield/sapphirefield/ctl/passwordcmd"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run returns the exit code of the process.
func run(args []string, stdout, stderr io.Writer) int {
	root := &ffcli.Command{
		Name:       "sapphirectl",
		ShortUsage: "sapphirectl <subcommand> [flags]",
		Subcommands: []*ffcli.Command{
			configcmd.Command(configcmd.Options{Stdout: stdout, Client: http.DefaultClient}),
			reportCommand(),
			chartcmd.Command(),
			passwordcmd.Command(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	// An invalid flag must not have the exit code of findings in a document.
	if err := root.Parse(args); err != nil {
		fmt.Fprintln(stderr, "sapphirectl:", err)
		return configcmd.ExitUsage
	}
	err := root.Run(context.Background())
	var exit *configcmd.ExitError
	switch {
	case err == nil:
		return configcmd.ExitOK
	case errors.Is(err, flag.ErrHelp):
		return configcmd.ExitUsage
	}
	fmt.Fprintln(stderr, "sapphirectl:", err)
	if errors.As(err, &exit) {
		return exit.Code
	}
	return configcmd.ExitFindings
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
