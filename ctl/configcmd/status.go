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

// Status is the response of the operators' listener of a process to GET /status.
type Status struct {
	ID          string `json:"id"`
	Role        string `json:"role"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Revision    int64  `json:"revision"`
	Digest      string `json:"digest"`
	Draining    bool   `json:"draining"`
	// NewerSchemaOffset is the offset of the first record whose schema is too new for the
	// process, or 0.
	NewerSchemaOffset int64 `json:"unjudged"`
}

const (
	maxStatusRequests = 16
	maxStatusBytes    = 64 << 10
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
				return exitErrorf(ExitUsage, "name at least one address")
			}
			client, err := opsclient.New(ops)
			if err != nil {
				return exitErrorf(ExitUsage, "%v", err)
			}
			return o.status(ctx, client, addresses)
		},
	}
}

type statusResult struct {
	Status
	err error
}

func (o Options) status(ctx context.Context, client *opsclient.Client, addresses []string) error {
	results := make([]statusResult, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxStatusRequests)
	for i, address := range addresses {
		group.Go(func() error {
			results[i].Status, results[i].err = fetchStatus(ctx, client, address)
			return nil
		})
	}
	_ = group.Wait()
	if err := o.printStatus(addresses, results); err != nil {
		return err
	}
	return checkStatus(results)
}

func fetchStatus(ctx context.Context, client *opsclient.Client, address string) (Status, error) {
	data, err := client.Get(ctx, address, "/status", maxStatusBytes)
	if err != nil {
		return Status{}, err
	}
	var s Status
	return s, errors.WithStack(json.Unmarshal(data, &s))
}

func (o Options) printStatus(addresses []string, results []statusResult) error {
	table := tabwriter.NewWriter(o.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ADDRESS\tID\tROLE\tZONE\tINCARNATION\tREVISION\tDIGEST\tSTATE")
	for i, r := range results {
		if r.err != nil {
			fmt.Fprintf(table, "%s\t\t\t\t\t\t\tno answer: %v\n", addresses[i], r.err)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%.12s\t%s\n", addresses[i], r.ID, r.Role, r.Zone, r.Incarnation, r.Revision, r.Digest, r.state())
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

// checkStatus returns an error if a process did not answer, or if not all of them
// have the newest revision.
func checkStatus(results []statusResult) error {
	unanswered, different, newest := 0, 0, newestStatus(results)
	for _, r := range results {
		switch {
		case r.err != nil:
			unanswered++
		case r.NewerSchemaOffset != 0 || r.Revision != newest.Revision || r.Digest != newest.Digest:
			different++
		}
	}
	switch {
	case unanswered > 0:
		return exitErrorf(ExitUnavailable, "%d of %d processes did not answer", unanswered, len(results))
	case different > 0:
		return exitErrorf(ExitFindings, "%d of %d processes do not have revision %d in force", different, len(results), newest.Revision)
	}
	return nil
}

func newestStatus(results []statusResult) (newest Status) {
	for _, r := range results {
		if r.err == nil && r.Revision >= newest.Revision {
			newest = r.Status
		}
	}
	return newest
}
