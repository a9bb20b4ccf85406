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
	tableName := flags.String("table", "", "the one table to write: flood, alone, levels, shares or storm; empty for all")
	length := flags.Duration("length", 2*time.Minute, "virtual time of each run after its warm-up")
	serviceTime := flags.Duration("hold", time.Second, "mean time for which a request holds a slot of a server")
	return &ffcli.Command{
		Name:       "overload",
		ShortUsage: "overload [-seed N] [-length DURATION] [-hold DURATION] [-table NAME]",
		ShortHelp:  "measure fairness, shedding, shared capacity and retries in virtual time",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			return Run(os.Stdout, Options{Seed: *seed, Duration: *length, MeanServiceTime: *serviceTime}, *tableName)
		},
	}
}

// Run writes the named table, or all tables if tableName is empty.
func Run(out io.Writer, setup Options, tableName string) error {
	tables := []struct {
		name  string
		write func(io.Writer, Options)
	}{{"flood", Flood}, {"alone", SingleTeam}, {"levels", LoadLevels}, {"shares", EntryShares}, {"storm", RetryStorm}}
	known := tableName == ""
	for _, t := range tables {
		if tableName == "" || tableName == t.name {
			t.write(out, setup)
			known = true
		}
	}
	if !known {
		return errors.Errorf("unknown table %q", tableName)
	}
	return nil
}
