// Package fleet measures placement, chain choice and recovery with a small
// discrete-event model in virtual time. Engines have only a service rate and a
// least iteration time, links a delay and a bandwidth; the decisions are made
// by the packages placement and pipeline themselves.
package fleet

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Command returns the "fleet" command with a subcommand for each experiment.
func Command() *ffcli.Command {
	return command(os.Stdout)
}

func command(out io.Writer) *ffcli.Command {
	root := &ffcli.Command{
		Name:       "fleet",
		ShortUsage: "fleet <experiment> [flags]",
		ShortHelp:  "measure placement, chain choice and recovery in virtual time",
		FlagSet:    flag.NewFlagSet("fleet", flag.ContinueOnError),
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
	}
	add := func(name, help string, run func(ctx context.Context, c options) error) {
		fs := flag.NewFlagSet(name, flag.ContinueOnError)
		c := options{out: out}
		fs.Uint64Var(&c.seed, "seed", 1, "seed of the first fleet")
		fs.IntVar(&c.fleets, "fleets", 10, "number of fleets")
		fs.IntVar(&c.entries, "entries", defaultEntries, "number of entries (throughput and latency)")
		fs.DurationVar(&c.counted, "counted", 8*time.Second, "virtual time that is counted")
		root.Subcommands = append(root.Subcommands, &ffcli.Command{
			Name: name, ShortUsage: "fleet " + name + " [flags]", ShortHelp: help, FlagSet: fs,
			Exec: func(ctx context.Context, _ []string) error { return run(ctx, c) },
		})
	}
	add("throughput", "throughput as a fraction of the hardware's bound", func(ctx context.Context, c options) error {
		return throughput(ctx, c)
	})
	add("latency", "time to the first token and between tokens under bursts", func(ctx context.Context, c options) error {
		return latency(ctx, c)
	})
	add("recovery", "recovery time after the loss of stages", func(ctx context.Context, c options) error {
		return recovery(ctx, c.out, c.seed, c.fleets)
	})
	add("planning", "time and memory of plans and re-plans", func(_ context.Context, c options) error {
		return planning(c.out, c.seed)
	})
	add("cases", "slow link, busy engine, popular prefix, gaps in cache events", func(_ context.Context, c options) error {
		return cases(c.out, c.seed, c.counted)
	})
	return root
}

// options are the flags that all experiments share.
type options struct {
	out     io.Writer
	seed    uint64
	fleets  int
	entries int
	counted time.Duration
}
