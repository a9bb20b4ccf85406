package configcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
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
	// Unjudged is the offset of the first record that the process's program
	// version cannot judge, or 0.
	Unjudged int64 `json:"unjudged"`
}

const (
	statusTimeout  = 5 * time.Second
	statusParallel = 16
	maxStatusBytes = 64 << 10
)

func statusCommand(o Options) *ffcli.Command {
	return &ffcli.Command{
		Name: "status", ShortUsage: "sapphirectl config status ADDRESS...", FlagSet: flagSet("status"),
		ShortHelp: "show which revision processes have in force",
		LongHelp: "ADDRESS is the host and port, or the URL, of a process's operators' listener.\n" +
			"Exits with 1 when processes have different revisions or cannot judge a record, and with 4 when one does not answer.\n" + exitCodesHelp,
		Exec: func(ctx context.Context, addresses []string) error {
			if len(addresses) == 0 {
				return exit(ExitUsage, "name at least one address")
			}
			return o.status(ctx, addresses)
		},
	}
}

type statusAnswer struct {
	Status
	err error
}

func (o Options) status(ctx context.Context, addresses []string) error {
	answers := make([]statusAnswer, len(addresses))
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for i, address := range addresses {
		group.Go(func() error {
			answers[i].Status, answers[i].err = o.askStatus(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
	if err := o.printStatus(addresses, answers); err != nil {
		return err
	}
	return judgeStatus(answers)
}

func (o Options) askStatus(ctx context.Context, address string) (Status, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(address, "/")+"/status", nil)
	if err != nil {
		return Status{}, err
	}
	response, err := o.Client.Do(request)
	if err != nil {
		return Status{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Status{}, errors.Errorf("status %d", response.StatusCode)
	}
	var s Status
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&s)
	return s, err
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
	case s.Unjudged != 0:
		return fmt.Sprintf("cannot judge the record at offset %d", s.Unjudged)
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
		case a.Unjudged != 0 || a.Revision != newest.Revision || a.Digest != newest.Digest:
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
