package fuzz

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// traceLines is the number of trace lines printed before a violation.
const traceLines = 60

// Command returns the fuzz subcommand, for runs that are longer than those of the tests.
func Command() *ffcli.Command {
	flags := flag.NewFlagSet("fuzz", flag.ContinueOnError)
	steps := flags.Int("steps", 1_000_000, "number of steps")
	seed := flags.Uint64("seed", 1, "random seed")
	worldSteps := flags.Int("world-steps", 20_000, "number of steps after which a new world starts")
	return &ffcli.Command{
		Name:       "fuzz",
		ShortUsage: "fuzz [-steps N] [-seed N] [-world-steps N]",
		ShortHelp:  "drive attempts, steps and claims through random faults and check the invariants seen by clients",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return Run(ctx, os.Stdout, *seed, *steps, *worldSteps)
		},
	}
}

// Run executes the given number of steps in worlds of at most worldSteps each and
// writes a summary. Each world is seeded from seed and its number, so a violation
// can be reproduced from the values that are printed.
func Run(ctx context.Context, out io.Writer, seed uint64, steps, worldSteps int) error {
	start := time.Now()
	var total Stats
	for done, world := 0, uint64(0); done < steps; world++ {
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
		n := min(worldSteps, steps-done)
		stats, err := runWorld(seed, world, n, nil)
		total.add(stats)
		done += n
		if err != nil {
			fmt.Fprintf(out, "invariant violated after %d steps, seed %d, world %d: %v\n", total.Steps, seed, world, err)
			lines := Replay(seed, world, stats.Steps)
			for _, line := range lines[max(0, len(lines)-traceLines):] {
				fmt.Fprintln(out, " ", line)
			}
			return errors.Errorf("an invariant was violated after %d steps with seed %d", total.Steps, seed)
		}
	}
	fmt.Fprintf(out, "%d steps with seed %d: no violation, %.1f s\n", total.Steps, seed, time.Since(start).Seconds())
	fmt.Fprintf(out, "%+v\n", total)
	return nil
}

// Replay repeats a world and returns its trace, one line for each event.
func Replay(seed, world uint64, steps int) []string {
	var lines []string
	_, _ = runWorld(seed, world, steps, func(line string) { lines = append(lines, line) })
	return lines
}

func runWorld(seed, world uint64, steps int, trace func(string)) (Stats, error) {
	w := New(rand.New(rand.NewPCG(seed, world)), trace)
	for range steps {
		if err := w.Step(); err != nil {
			return w.Stats(), err
		}
	}
	return w.Stats(), nil
}

func (s *Stats) add(other Stats) {
	s.Steps += other.Steps
	s.Requests += other.Requests
	s.Runs += other.Runs
	s.LanguageRuns += other.LanguageRuns
	s.Tokens += other.Tokens
	s.Yes += other.Yes
	s.No += other.No
	s.Unknown += other.Unknown
	s.Replays += other.Replays
	s.Lost += other.Lost
	s.Duplicated += other.Duplicated
	s.Deaths += other.Deaths
	s.Restarts += other.Restarts
	s.Pauses += other.Pauses
	s.Drains += other.Drains
	s.Outages += other.Outages
	s.LateWithdrawals += other.LateWithdrawals
}
