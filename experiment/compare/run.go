package compare

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// maxFirstFailures is the number of pairs that may fail before one has succeeded: the
// command itself is wrong then.
const maxFirstFailures = 3

// Result is what a comparison has found.
type Result struct {
	Commits [2]string    `json:"commits"`
	Command []string     `json:"command"`
	Pairs   []pairResult `json:"pairs"`
	// Figures are the differences by the name of the figure.
	Figures map[string]Difference `json:"figures"`
}

// pairResult holds the plays of a pair, in the order of the commits.
type pairResult struct {
	pair
	Plays [2]play `json:"plays"`
}

// failure returns why the pair cannot be compared, or "".
func (r pairResult) failure() string {
	for _, p := range r.Plays {
		if p.Error != "" {
			return fmt.Sprintf("%s on %.12s: %s", r.pair, p.Commit, p.Error)
		}
	}
	return ""
}

// comparison is a comparison in progress.
type comparison struct {
	Options
	clones   [2]string
	progress io.Writer
	started  time.Time

	mu     sync.Mutex
	result Result
}

// Run plays all pairs and returns what they show. What has been played is in Dir, also if
// ctx ends or a play fails. Progress is written to the given writer.
func Run(ctx context.Context, o Options, progress io.Writer) (Result, error) {
	c := &comparison{Options: o, progress: progress, started: time.Now(), result: Result{Command: o.Command}}
	if err := o.check(); err != nil {
		return c.result, err
	}
	if err := os.MkdirAll(filepath.Join(o.Dir, "plays"), 0o700); err != nil {
		return c.result, errors.WithStack(err)
	}
	for i := range o.Commits {
		var err error
		if c.clones[i], c.result.Commits[i], err = o.clone(ctx, i); err != nil {
			return c.result, err
		}
	}
	err := c.playPairs(ctx, o.pairs())
	if err == nil {
		err = c.failures()
	}
	return c.result, err
}

// playPairs plays the pairs in their order until one returns an error.
func (c *comparison) playPairs(ctx context.Context, pairs []pair) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.Parallel)
	for _, p := range pairs {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return c.playPair(ctx, p, len(pairs))
		})
	}
	return group.Wait()
}

// playPair plays a day on both commits, one after the other, and keeps the result.
func (c *comparison) playPair(ctx context.Context, p pair, total int) error {
	result := pairResult{pair: p}
	for _, i := range []int{p.first, 1 - p.first} {
		var err error
		if result.Plays[i], err = c.playOn(ctx, p, i); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Pairs = append(c.result.Pairs, result)
	c.result.Figures = differences(c.Options.Figures, c.result.Pairs, c.Seed)
	c.reportProgress(result, total)
	if err := c.save(); err != nil {
		return err
	}
	if failed := c.failedPairs(); len(failed) >= maxFirstFailures && len(failed) == len(c.result.Pairs) {
		return errors.Errorf("the first %d pairs have failed: %s", len(failed), failed[0])
	}
	return nil
}

func (c *comparison) reportProgress(r pairResult, total int) {
	done := len(c.result.Pairs)
	left := timeLeft(time.Since(c.started), done, total).Round(time.Second)
	fmt.Fprintf(c.progress, "pair %d of %d, %s: ", done, total, r.pair)
	if failure := r.failure(); failure != "" {
		fmt.Fprint(c.progress, failure)
	}
	for _, f := range c.Options.Figures {
		first, second, known := r.values(f)
		if known {
			fmt.Fprintf(c.progress, "%s %g and %g; ", f.Name, first, second)
		}
	}
	fmt.Fprintf(c.progress, "about %s left\n", left)
}

// values returns a figure of both plays.
func (r pairResult) values(f Figure) (first, second float64, known bool) {
	first, knownFirst := r.Plays[0].Figures[f.Name]
	second, knownSecond := r.Plays[1].Figures[f.Name]
	return first, second, knownFirst && knownSecond
}

// differences estimates the difference of each figure from the pairs that have it.
func differences(figures []Figure, pairs []pairResult, seed uint64) map[string]Difference {
	result := map[string]Difference{}
	for _, f := range figures {
		var values []float64
		for _, p := range pairs {
			if first, second, known := p.values(f); known {
				values = append(values, second-first)
			}
		}
		result[f.Name] = estimate(values, f.HigherIsBetter, seed)
	}
	return result
}

func (c *comparison) failedPairs() (failed []string) {
	for _, p := range c.result.Pairs {
		if failure := p.failure(); failure != "" {
			failed = append(failed, failure)
		}
	}
	return failed
}

// failures returns an error if plays have failed or have not printed all figures.
func (c *comparison) failures() error {
	failed := c.failedPairs()
	if len(failed) == 0 {
		return nil
	}
	return errors.Errorf("%d of %d pairs are incomplete; the first: %s", len(failed), len(c.result.Pairs), failed[0])
}

// resultFile is the name of the file with the result.
const resultFile = "result.json"

// save replaces the result file, so that no play that has ended is lost.
func (c *comparison) save() error {
	text, err := json.MarshalIndent(c.result, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	file := filepath.Join(c.Dir, resultFile)
	if err := os.WriteFile(file+".new", text, 0o600); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.Rename(file+".new", file))
}
