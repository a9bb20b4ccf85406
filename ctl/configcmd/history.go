package configcmd

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/configsync"
	"github.com/sapphirefield/sapphirefield/logservice"
)

func historyCommand(o Options) *ffcli.Command {
	fs := flagSet("history")
	log := fs.String("log", "", "base URL of the log service (required)")
	limit := fs.Int("limit", 20, "number of revisions to show; the log's state names the newest 64")
	return &ffcli.Command{
		Name: "history", ShortUsage: "sapphirectl config history --log URL [flags]", FlagSet: fs,
		ShortHelp: "list the newest revisions", LongHelp: exitCodesHelp,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *log == "" {
				return exitErrorf(ExitUsage, "name --log and no file")
			}
			return o.history(ctx, *log, *limit)
		},
	}
}

// recordingLog remembers a summary of each revision that was read, by its ID.
type recordingLog struct {
	configsync.Log
	records map[string]recordSummary
}

type recordSummary struct{ time, author, note, change string }

func (l recordingLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logservice.Batch, error) {
	batch, err := l.Log.Read(ctx, stream, from, wait)
	for _, r := range batch.Records {
		record := configlog.Decode(r.Data, configlog.DefaultRules().Schema)
		if record.Kind == configlog.KindRevision {
			l.records[record.ID] = recordSummary{record.Time, record.Author, record.Note, describeChange(record)}
		}
	}
	return batch, err
}

// describeChange names the first change of a revision and the number of further
// ones.
func describeChange(r configlog.Record) string {
	switch {
	case r.Document != nil:
		return "whole document"
	case len(r.Patch) == 0:
		return ""
	}
	op := r.Patch[0]
	text := op.Section
	if op.Entry != "" {
		text += ": " + op.Entry
	}
	if op.Member != "" {
		text += ": " + op.Member
	}
	if more := len(r.Patch) - 1; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

func (o Options) history(ctx context.Context, url string, limit int) error {
	log := recordingLog{Log: o.log(url), records: map[string]recordSummary{}}
	reader, err := o.readLog(ctx, log)
	if err != nil {
		return err
	}
	recent := reader.State().Recent()
	table := tabwriter.NewWriter(o.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tOFFSET\tTIME\tAUTHOR\tCHANGE\tNOTE")
	for i := len(recent) - 1; i >= 0 && len(recent)-i <= limit; i-- {
		s, ok := log.records[recent[i].ID]
		if !ok {
			s.change = "(record expired)"
		}
		fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\t%s\n", recent[i].Number, recent[i].Offset, s.time, s.author, s.change, s.note)
	}
	return table.Flush()
}
