package capacity

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Command returns the subcommand "capacity".
func Command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "sapphiredev capacity",
		ShortHelp:  "measure the cost of state and decisions at several sizes",
		Exec:       func(context.Context, []string) error { return Run(os.Stdout) },
	}
}
