// Package fleet measures placement, chain choice and recovery with a small
// discrete-event simulation in virtual time. Engines are modeled by a service
// rate and a minimum iteration time, links by a delay and a bandwidth. The
// decisions are made by the production code in packages placement and pipeline.
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
	add := func(name, help string, run func(ctx context.Context, opts options) error) {
		fs := flag.NewFlagSet(name, flag.ContinueOnError)
		opts := options{out: out}
		fs.Uint64Var(&opts.seed, "seed", 1, "seed of the first fleet")
		fs.IntVar(&opts.fleets, "fleets", 10, "number of fleets")
		fs.IntVar(&opts.entries, "entries", defaultEntries, "number of entries (throughput and latency)")
		fs.DurationVar(&opts.measureTime, "counted", 8*time.Second, "virtual time that is counted")
		root.Subcommands = append(root.Subcommands, &ffcli.Command{
			Name: name, ShortUsage: "fleet " + name + " [flags]", ShortHelp: help, FlagSet: fs,
			Exec: func(ctx context.Context, _ []string) error { return run(ctx, opts) },
		})
	}
	add("throughput", "throughput as a fraction of the hardware's bound", func(ctx context.Context, opts options) error {
		return throughput(ctx, opts)
	})
	add("latency", "time to the first token and between tokens under bursts", func(ctx context.Context, opts options) error {
		return latency(ctx, opts)
	})
	add("recovery", "recovery time after the loss of stages", func(ctx context.Context, opts options) error {
		return recovery(ctx, opts.out, opts.seed, opts.fleets)
	})
	add("planning", "time and memory of plans and re-plans", func(_ context.Context, opts options) error {
		return planning(opts.out, opts.seed)
	})
	add("cases", "slow link, busy engine, popular prefix, gaps in cache events", func(_ context.Context, opts options) error {
		return cases(opts.out, opts.seed, opts.measureTime)
	})
	return root
}

// options holds the flags that all experiments share.
type options struct {
	out         io.Writer
	seed        uint64
	fleets      int
	entries     int
	measureTime time.Duration
}
