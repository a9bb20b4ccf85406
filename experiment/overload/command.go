package overload

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Command returns the subcommand "overload".
func Command() *ffcli.Command {
	flags := flag.NewFlagSet("overload", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "seed of arrivals and service times")
	only := flags.String("table", "", "the one table to write: flood, alone, levels, shares or storm; empty for all")
	length := flags.Duration("length", 2*time.Minute, "virtual time of each run after its warm-up")
	return &ffcli.Command{
		Name:       "overload",
		ShortUsage: "overload [-seed N] [-length DURATION] [-table NAME]",
		ShortHelp:  "measure fairness, shedding, shared capacity and retries in virtual time",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			return Run(os.Stdout, *seed, *length, *only)
		},
	}
}

// Run writes all tables, or the one that is named.
func Run(out io.Writer, seed uint64, length time.Duration, only string) error {
	tables := []struct {
		name  string
		write func(io.Writer, uint64, time.Duration)
	}{{"flood", Flood}, {"alone", Alone}, {"levels", Levels}, {"shares", Shares}, {"storm", Storm}}
	known := only == ""
	for _, t := range tables {
		if only == "" || only == t.name {
			t.write(out, seed, length)
			known = true
		}
	}
	if !known {
		return errors.Errorf("there is no table %q", only)
	}
	return nil
}
