package compare

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// figureFlag collects figures from repeated flags.
type figureFlag struct{ figures *[]Figure }

func (f figureFlag) String() string { return "" }

func (f figureFlag) Set(text string) error {
	figure, err := ParseFigure(text)
	if err == nil {
		*f.figures = append(*f.figures, figure)
	}
	return err
}

// Command returns the subcommand "compare".
func Command() *ffcli.Command {
	flags := flag.NewFlagSet("sapphiredev compare", flag.ContinueOnError)
	o := Options{}
	flags.StringVar(&o.Repository, "repository", ".", "folder of the repository")
	flags.StringVar(&o.Commits[0], "first", "", "the commit to compare with")
	flags.StringVar(&o.Commits[1], "second", "HEAD", "the commit that is judged")
	flags.StringVar(&o.Build, "build", "", "shell command that builds the clone of a commit")
	days := flags.String("days", "", "comma-separated days, each of which takes the place of {day}")
	flags.Uint64Var(&o.Seed, "seed", 1, "first seed; each takes the place of {seed}")
	flags.IntVar(&o.Plays, "plays", 8, "number of seeds of each day")
	flags.IntVar(&o.Parallel, "parallel", 1, "number of pairs that are played at the same time")
	flags.IntVar(&o.Processors, "processors", max(1, runtime.NumCPU()/2), "processors that the plays share equally (GOMAXPROCS)")
	flags.Var(figureFlag{&o.Figures}, "figure", "NAME=PATTERN with a group around the number; -NAME=PATTERN if lower is better; may be repeated")
	flags.StringVar(&o.Dir, "dir", "", "new folder for clones, outputs, plots and result.json")
	return &ffcli.Command{
		Name:       "compare",
		ShortUsage: "sapphiredev compare -first COMMIT [-second COMMIT] -figure NAME=PATTERN [flags] -- COMMAND [ARGUMENT...]",
		ShortHelp:  "play the same days on two commits and say whether their figures differ",
		FlagSet:    flags,
		Exec: func(ctx context.Context, command []string) error {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			o.Command = command
			if *days != "" {
				o.Days = strings.Split(*days, ",")
			}
			return compareCommits(ctx, o)
		},
	}
}

func compareCommits(ctx context.Context, o Options) error {
	if o.Commits[0] == "" {
		return errors.New("no commit to compare with; name one with -first")
	}
	if err := makeFolder(&o.Dir); err != nil {
		return err
	}
	result, err := Run(ctx, o, os.Stderr)
	if len(result.Pairs) > 0 {
		writeTable(os.Stdout, o.Figures, result)
		if plotErr := drawPlots(o.Dir, o.Figures, result); err == nil {
			err = plotErr
		}
		fmt.Printf("%s holds all plays\n", filepath.Join(o.Dir, resultFile))
	}
	return err
}

// makeFolder creates the folder, or a temporary one if none is named. An existing one is
// refused: its clones would not be clean.
func makeFolder(dir *string) (err error) {
	if *dir == "" {
		*dir, err = os.MkdirTemp("", "sapphirefield-compare-")
		return errors.WithStack(err)
	}
	if *dir, err = filepath.Abs(*dir); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.Mkdir(*dir, 0o700))
}
