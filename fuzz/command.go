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

// traceLines is how many of the last events are shown for a broken promise.
const traceLines = 60

// Command runs the fuzzing for longer than the tests do.
func Command() *ffcli.Command {
	flags := flag.NewFlagSet("fuzz", flag.ContinueOnError)
	steps := flags.Int("steps", 1_000_000, "number of steps")
	seed := flags.Uint64("seed", 1, "seed of the choices")
	worldSteps := flags.Int("world-steps", 20_000, "steps after which a fresh world begins")
	return &ffcli.Command{
		Name:       "fuzz",
		ShortUsage: "fuzz [-steps N] [-seed N] [-world-steps N]",
		ShortHelp:  "drive attempts, steps and claims through random faults and check the promises to callers",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return Run(ctx, os.Stdout, *seed, *steps, *worldSteps)
		},
	}
}

// Run makes a number of steps in worlds of a limited length and writes what
// happened. The seed of each world follows from the first, so a broken promise
// repeats from the seed that is printed.
func Run(ctx context.Context, out io.Writer, seed uint64, steps, worldSteps int) error {
	began := time.Now()
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
			fmt.Fprintf(out, "broken promise after %d steps, seed %d, world %d: %v\n", total.Steps, seed, world, err)
			lines := Replay(seed, world, stats.Steps)
			for _, line := range lines[max(0, len(lines)-traceLines):] {
				fmt.Fprintln(out, " ", line)
			}
			return errors.Errorf("a promise was broken after %d steps with seed %d", total.Steps, seed)
		}
	}
	fmt.Fprintf(out, "%d steps with seed %d: no broken promise, %.1f s\n", total.Steps, seed, time.Since(began).Seconds())
	fmt.Fprintf(out, "%+v\n", total)
	return nil
}

// Replay repeats a world and returns one line for each event.
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

func (s *Stats) add(o Stats) {
	s.Steps += o.Steps
	s.Requests += o.Requests
	s.Runs += o.Runs
	s.LanguageRuns += o.LanguageRuns
	s.Tokens += o.Tokens
	s.Yes += o.Yes
	s.No += o.No
	s.Unknown += o.Unknown
	s.Replays += o.Replays
	s.Lost += o.Lost
	s.Duplicated += o.Duplicated
	s.Deaths += o.Deaths
	s.Restarts += o.Restarts
	s.Pauses += o.Pauses
	s.Drains += o.Drains
	s.Outages += o.Outages
	s.LateWithdrawals += o.LateWithdrawals
}
