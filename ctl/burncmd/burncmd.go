// Package burncmd implements the subcommand of sapphirectl that reports the burn
// rates of service-level objectives, merged over all processes.
package burncmd

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/burn"
	"github.com/sapphirefield/sapphirefield/ctl/opsclient"
)

// options holds the flags of the subcommand.
type options struct {
	html string
	ops  opsclient.Flags
}

// Command returns the subcommand "burn" of the command "report".
func Command() *ffcli.Command {
	return command(os.Stdout, os.Stderr, time.Now)
}

func command(out, errOut io.Writer, clock func() time.Time) *ffcli.Command {
	var o options
	flags := flag.NewFlagSet("burn", flag.ContinueOnError)
	flags.StringVar(&o.html, "html", "", "also write the report with plots to this HTML file")
	o.ops.Register(flags)
	return &ffcli.Command{
		Name:       "burn",
		ShortUsage: "sapphirectl report burn [flags] URL ...",
		ShortHelp:  "Report how fast service-level objectives burn their error budgets.",
		LongHelp:   "Each URL is the operators' listener of one process, such as https://10.0.0.7:8445. The counts of all are merged.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, urls []string) error {
			return run(ctx, o, urls, out, errOut, clock)
		},
	}
}

func run(ctx context.Context, o options, urls []string, out, errOut io.Writer, clock func() time.Time) error {
	if len(urls) == 0 {
		return errors.New("name at least one operators' listener")
	}
	client, err := opsclient.New(o.ops)
	if err != nil {
		return err
	}
	f := &fetcher{client: client}
	exports, failures := f.fetchAll(ctx, urls)
	for _, failure := range failures {
		fmt.Fprintln(errOut, failure)
	}
	if len(exports) == 0 {
		return errors.New("no process has answered")
	}
	now := clock()
	r := report{now: now, total: len(urls), answered: len(exports), counts: burn.Merge(now, exports...)}
	if err := r.writeTable(out); err != nil {
		return err
	}
	if o.html == "" {
		return nil
	}
	return r.writeHTMLFile(o.html)
}

// report is the data of the table and the HTML page.
type report struct {
	now             time.Time
	total, answered int
	counts          *burn.Aggregate
}

// rows returns the objectives sorted by the number of alerts, the largest first,
// and then by name.
func (r report) rows() []burn.ObjectiveReport {
	rows := r.counts.Report(r.now)
	slices.SortStableFunc(rows, func(a, b burn.ObjectiveReport) int {
		return cmp.Compare(len(b.Alerts), len(a.Alerts))
	})
	return rows
}

func (r report) writeTable(out io.Writer) error {
	rows := r.rows()
	fmt.Fprintf(out, "Burn rates at %s, merged from %d of %d processes. Rate 1 uses up the budget in 30 days.\n",
		r.now.UTC().Format(time.DateTime+" UTC"), r.answered, r.total)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "OBJECTIVE\tMEASURE\tOF\tTARGET\tBAD/ALL 1h")
	for _, window := range burn.Windows {
		fmt.Fprintf(w, "\t%s", burn.WindowName(window))
	}
	fmt.Fprintln(w, "\tALERT")
	for _, row := range rows {
		writeRow(w, row)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, row := range rows {
		for _, a := range row.Alerts {
			fmt.Fprintf(out, "%s: %s: %s.\n", row.Objective.Name, a.Severity, a.Reason)
		}
	}
	return nil
}

func writeRow(w io.Writer, row burn.ObjectiveReport) {
	o := row.Objective
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s", o.Name, measure(row), subject(row), percent(o.Target), lastHour(row))
	for _, window := range row.Windows {
		fmt.Fprintf(w, "\t%.2f", window.Rate)
	}
	fmt.Fprintf(w, "\t%s\n", severity(row))
}

func measure(row burn.ObjectiveReport) string {
	if row.Objective.Threshold == 0 {
		return string(row.Objective.Measure)
	}
	return fmt.Sprintf("%s <= %s", row.Objective.Measure, row.Objective.Threshold)
}

func subject(row burn.ObjectiveReport) string {
	o := row.Objective
	name := o.Model + o.Service
	if o.Team != "" {
		name += ", team " + o.Team
	}
	return name
}

func percent(target float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.4f", 100*target), "0"), ".") + "%"
}

func lastHour(row burn.ObjectiveReport) string {
	for _, w := range row.Windows {
		if w.Window == burn.WindowName(burn.Window1h) {
			return fmt.Sprintf("%d/%d", w.Bad, w.Good+w.Bad)
		}
	}
	return ""
}

// severity returns the severity of the first alert, which is the most urgent one,
// or "-" if there is none.
func severity(row burn.ObjectiveReport) string {
	if len(row.Alerts) == 0 {
		return "-"
	}
	return string(row.Alerts[0].Severity)
}

// fetcher requests exports from operators' listeners.
type fetcher struct{ client *opsclient.Client }
