package control

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Command returns the subcommand "control".
func Command() *ffcli.Command {
	flags := flag.NewFlagSet("sapphiredev control", flag.ContinueOnError)
	var o Options
	flags.StringVar(&o.Binary, "binary", "bin/sapphired", "sapphired program to run")
	flags.IntVar(&o.Sidecars, "sidecars", 50, "number of sidecars")
	flags.IntVar(&o.Entries, "entries", 4, "number of entries")
	flags.IntVar(&o.Teams, "teams", 46, "number of teams in the configuration")
	flags.IntVar(&o.Changes, "changes", 40, "number of changes to publish")
	flags.DurationVar(&o.IdleDuration, "idle", 20*time.Second, "how long idle processes are watched")
	return &ffcli.Command{
		Name:       "control",
		ShortUsage: "sapphiredev control [-binary PATH] [-sidecars N] [-entries N] [-teams N] [-changes N]",
		ShortHelp:  "measure idle processes and the way of a configuration change to all of them",
		LongHelp:   "Build the program first: go build -o bin/ ./cmd/sapphired",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return Run(ctx, os.Stdout, o) },
	}
}
