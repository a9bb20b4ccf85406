package configcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/ctl/opsclient"
)

// Status is the answer of a process's operators' listener to GET /status.
type Status struct {
	ID          string `json:"id"`
	Role        string `json:"role"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Revision    int64  `json:"revision"`
	Digest      string `json:"digest"`
	Draining    bool   `json:"draining"`
	// NewerSchemaOffset is the offset of the first record that the process's program
	// version cannot judge, or 0.
	NewerSchemaOffset int64 `json:"unjudged"`
}

const (
	statusParallel = 16
	maxStatusBytes = 64 << 10
)

func statusCommand(o Options) *ffcli.Command {
	flags := flagSet("status")
	var ops opsclient.Flags
	ops.Register(flags)
	return &ffcli.Command{
		Name: "status", ShortUsage: "sapphirectl config status [flags] ADDRESS...", FlagSet: flags,
		ShortHelp: "show which revision processes have in force",
		LongHelp: "ADDRESS is the host and port, or the URL, of a process's operators' listener.\n" +
			"Exits with 1 when processes have different revisions or cannot judge a record, and with 4 when one does not answer.\n" + exitCodesHelp,
		Exec: func(ctx context.Context, addresses []string) error {
			if len(addresses) == 0 {
				return exit(ExitUsage, "name at least one address")
			}
			client, err := opsclient.New(ops)
			if err != nil {
				return exit(ExitUsage, "%v", err)
			}
			return o.status(ctx, client, addresses)
		},
	}
}

type statusAnswer struct {
	Status
	err error
}

func (o Options) status(ctx context.Context, client *opsclient.Client, addresses []string) error {
	answers := make([]statusAnswer, len(addresses))
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for i, address := range addresses {
		group.Go(func() error {
			answers[i].Status, answers[i].err = askStatus(ctx, client, address)
			return nil
		})
	}
	_ = group.Wait()
	if err := o.printStatus(addresses, answers); err != nil {
		return err
	}
	return judgeStatus(answers)
}

func askStatus(ctx context.Context, client *opsclient.Client, address string) (Status, error) {
	data, err := client.Get(ctx, address, "/status", maxStatusBytes)
	if err != nil {
		return Status{}, err
	}
	var s Status
	return s, errors.WithStack(json.Unmarshal(data, &s))
}

func (o Options) printStatus(addresses []string, answers []statusAnswer) error {
	table := tabwriter.NewWriter(o.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ADDRESS\tID\tROLE\tZONE\tINCARNATION\tREVISION\tDIGEST\tSTATE")
	for i, a := range answers {
		if a.err != nil {
			fmt.Fprintf(table, "%s\t\t\t\t\t\t\tno answer: %v\n", addresses[i], a.err)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%.12s\t%s\n", addresses[i], a.ID, a.Role, a.Zone, a.Incarnation, a.Revision, a.Digest, a.state())
	}
	return table.Flush()
}

func (s Status) state() string {
	switch {
	case s.NewerSchemaOffset != 0:
		return fmt.Sprintf("cannot judge the record at offset %d", s.NewerSchemaOffset)
	case s.Draining:
		return "draining"
	default:
		return "ok"
	}
}

func judgeStatus(answers []statusAnswer) error {
	silent, differ, newest := 0, 0, newestOf(answers)
	for _, a := range answers {
		switch {
		case a.err != nil:
			silent++
		case a.NewerSchemaOffset != 0 || a.Revision != newest.Revision || a.Digest != newest.Digest:
			differ++
		}
	}
	switch {
	case silent > 0:
		return exit(ExitUnavailable, "%d of %d processes did not answer", silent, len(answers))
	case differ > 0:
		return exit(ExitFindings, "%d of %d processes do not have revision %d in force", differ, len(answers), newest.Revision)
	}
	return nil
}

func newestOf(answers []statusAnswer) (newest Status) {
	for _, a := range answers {
		if a.err == nil && a.Revision >= newest.Revision {
			newest = a.Status
		}
	}
	return newest
}
