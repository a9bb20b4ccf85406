// Package compare plays the same days on two commits and says whether their figures
// differ by more than chance.
package compare

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Options configures a comparison.
type Options struct {
	// Repository is the folder of the repository. Commits are the two that are compared.
	Repository string
	Commits    [2]string
	// Build is a shell command that is run once in the clone of each commit; empty for none.
	Build string
	// Command is played in the clone. In its arguments {seed} and {day} are replaced.
	Command []string
	// Days are played with Plays seeds each, from Seed on.
	Days  []string
	Seed  uint64
	Plays int
	// Parallel is the number of pairs that are played at the same time. They share
	// Processors equally.
	Parallel, Processors int
	Figures              []Figure
	// Dir is where clones, outputs, plots and the result are written.
	Dir string
}

const maxPlays = 10_000

func (o Options) check() error {
	switch {
	case len(o.Command) == 0:
		return errors.New("no command to play; write it after --")
	case len(o.Figures) == 0:
		return errors.New("no figure to compare; name one with -figure")
	case o.Plays < 1 || o.Plays > maxPlays:
		return errors.Errorf("plays is %d; must be 1 to %d", o.Plays, maxPlays)
	case o.Processors < 1:
		return errors.Errorf("processors is %d; must be at least 1", o.Processors)
	case o.Parallel < 1 || o.Parallel > o.Processors:
		return errors.Errorf("parallel is %d; must be 1 to the number of processors, %d", o.Parallel, o.Processors)
	case len(o.Days) > 1 && !o.uses("{day}"):
		return errors.New("several days are named, but the command has no {day}")
	case o.Plays > 1 && !o.uses("{seed}"):
		return errors.New("several plays are asked for, but the command has no {seed}")
	}
	return checkNames(o.Figures)
}

// uses reports whether the command's arguments hold a placeholder.
func (o Options) uses(placeholder string) bool {
	return slices.ContainsFunc(o.Command, func(argument string) bool { return strings.Contains(argument, placeholder) })
}

// arguments returns the command of a play.
func (o Options) arguments(p pair) []string {
	replacer := strings.NewReplacer("{seed}", fmt.Sprint(p.Seed), "{day}", p.Day)
	var result []string
	for _, argument := range o.Command {
		result = append(result, replacer.Replace(argument))
	}
	return result
}

// pair is a day that is played on both commits with one seed.
type pair struct {
	Day  string `json:"day,omitempty"`
	Seed uint64 `json:"seed"`
	// first is the commit that is played first, 0 or 1.
	first int
}

func (p pair) String() string { return strings.TrimSpace(fmt.Sprintf("%s seed %d", p.Day, p.Seed)) }

// pairs returns the pairs in the order in which they are played. The commits take turns
// at being first, so that a load that changes with time favours neither.
func (o Options) pairs() (result []pair) {
	days := o.Days
	if len(days) == 0 {
		days = []string{""}
	}
	for play := range o.Plays {
		for i, day := range days {
			result = append(result, pair{Day: day, Seed: o.Seed + uint64(play), first: (play + i) % 2})
		}
	}
	return result
}

// timeLeft estimates how long the other pairs take, once some are done.
func timeLeft(elapsed time.Duration, done, total int) time.Duration {
	return elapsed / time.Duration(done) * time.Duration(total-done)
}
