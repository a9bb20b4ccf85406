package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Command returns the soak as a subcommand of sapphiredev.
func Command() *ffcli.Command {
	flags := flag.NewFlagSet("sapphiredev soak", flag.ContinueOnError)
	o := Options{}
	flags.StringVar(&o.Program, "program", "target/sapphired", "path of sapphired")
	flags.Uint64Var(&o.Seed, "seed", 1, "first seed")
	seeds := flags.Int("seeds", 1, "number of seeds")
	flags.IntVar(&o.Entries, "entries", 4, "number of entries, each a process")
	flags.IntVar(&o.Engines, "engines", 18, "number of stand-in engines")
	flags.IntVar(&o.Clients, "callers", 24, "number of clients")
	flags.DurationVar(&o.FaultDuration, "faults", 15*time.Second, "how long faults are injected")
	flags.DurationVar(&o.SettleDuration, "calm", 6*time.Second, "how long the soak goes on after the time allowed for recovery")
	flags.StringVar(&o.Only, "only", "", "names of the only faults to inject, as in the reports, separated by commas; empty for all")
	flags.DurationVar(&o.Gap, "gap", 0, "time before the first fault and after the end of each; 0 for faults that overlap")
	flags.IntVar(&o.AddressBlock, "lane", 0, "block of loopback addresses; soaks that run at the same time need different ones")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "sapphiredev soak [-seed N] [-seeds N] [flags]",
		ShortHelp:  "run entry processes with injected faults and check the router's invariants",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			// Handles the signals so that a stopped soak ends the processes it started.
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runSeeds(ctx, o, *seeds)
		},
	}
}

// runSeeds runs one soak per seed. The directory of a soak with violations is
// kept.
func runSeeds(ctx context.Context, o Options, count int) error {
	failed := 0
	for ; count > 0 && ctx.Err() == nil; count-- {
		dir, err := os.MkdirTemp("", "sapphirefield-soak-")
		if err != nil {
			return err
		}
		o.Dir = dir
		report, err := Run(ctx, o)
		if err != nil {
			return errors.Wrapf(err, "seed %d", o.Seed)
		}
		fmt.Println(report)
		if len(report.Violations()) > 0 {
			failed++
			fmt.Printf("  logs are in %s\n", dir)
		} else if err := os.RemoveAll(dir); err != nil {
			return err
		}
		o.Seed++
	}
	if failed > 0 {
		return errors.Errorf("%d soaks found violations", failed)
	}
	return nil
}
