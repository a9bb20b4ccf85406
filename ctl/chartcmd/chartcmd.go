// Package chartcmd implements the subcommand of sapphirectl that renders state
// charts.
package chartcmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirefield/sapphirefield/chart"
)

// Command returns the subcommand "charts", which prints to standard output.
func Command() *ffcli.Command {
	return command(os.Stdout)
}

func command(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("charts", flag.ContinueOnError)
	format := flags.String("format", "mermaid", "output format: mermaid (diagrams only) or markdown (the page docs/state-charts.md)")
	return &ffcli.Command{
		Name:       "charts",
		ShortUsage: "sapphirectl charts [-format mermaid|markdown] [name ...]",
		ShortHelp:  "Render the state charts that the programs interpret.",
		FlagSet:    flags,
		Exec: func(_ context.Context, names []string) error {
			return render(out, *format, names)
		},
	}
}

func render(out io.Writer, format string, names []string) error {
	files := chart.Files()
	if format == "markdown" && len(names) == 0 {
		page, err := chart.MarkdownPage(files)
		if err != nil {
			return err
		}
		_, err = io.WriteString(out, page)
		return err
	}
	if len(names) == 0 {
		all, err := chart.Names(files)
		if err != nil {
			return err
		}
		names = all
	}
	for _, name := range names {
		if err := renderOne(out, format, name); err != nil {
			return err
		}
	}
	return nil
}

func renderOne(out io.Writer, format, name string) error {
	c, err := chart.Load(chart.Files(), name)
	if err != nil {
		return err
	}
	switch format {
	case "mermaid":
		_, err = fmt.Fprintf(out, "%%%% %s\n%s", c.Name(), c.Mermaid())
	case "markdown":
		_, err = io.WriteString(out, c.Markdown())
	default:
		err = fmt.Errorf("unknown format %q: allowed are mermaid and markdown", format)
	}
	return err
}
