// Package explaincmd implements the subcommand of sapphirectl that explains where a
// process would send a request now, and why, without sending it.
package explaincmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/ctl/opsclient"
	"github.com/sapphirefield/sapphirefield/explain"
)

// maxAnswerBytes bounds the answer of one process.
const maxAnswerBytes = 4 << 20

// options holds the flags of the subcommand.
type options struct {
	query explain.Query
	json  bool
	ops   opsclient.Flags
}

// Command returns the subcommand "explain".
func Command() *ffcli.Command { return command(os.Stdout) }

func command(out io.Writer) *ffcli.Command {
	var o options
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	flags.StringVar(&o.query.Host, "host", "", "host of the request")
	flags.StringVar(&o.query.Path, "path", "", "path of the request, with a slash at its begin")
	flags.StringVar(&o.query.Team, "team", "", "name of the client's team; empty for a client without a key")
	flags.IntVar(&o.query.PromptTokens, "prompt-tokens", 0, "length of the prompt")
	flags.IntVar(&o.query.AnswerTokens, "answer-tokens", 0, "expected length of the answer; the model's mean when 0")
	flags.BoolVar(&o.json, "json", false, "print the answers as JSON")
	o.ops.Register(flags)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "sapphirectl explain -host HOST -path PATH [flags] ADDRESS ...",
		ShortHelp:  "Explain where a request would go now, and why, without sending it.",
		LongHelp:   "Each ADDRESS is the listener for metrics of one relaying entry, such as 10.0.0.7:9464. Entries decide with what each has heard, so their answers may differ.",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, addresses []string) error { return run(ctx, o, addresses, out) },
	}
}

func run(ctx context.Context, o options, addresses []string, out io.Writer) error {
	if len(addresses) == 0 {
		return errors.New("name the listener for metrics of at least one entry")
	}
	if _, err := explain.ParseQuery(o.query.Values()); err != nil {
		return err
	}
	client, err := opsclient.New(o.ops)
	if err != nil {
		return err
	}
	for i, address := range addresses {
		data, err := client.Get(ctx, address, explain.Path+"?"+o.query.Values().Encode(), maxAnswerBytes)
		if err != nil {
			return err
		}
		if i > 0 {
			fmt.Fprintln(out)
		}
		if err := printAnswer(out, data, o.json); err != nil {
			return errors.Wrap(err, address)
		}
	}
	return nil
}

func printAnswer(out io.Writer, data []byte, asJSON bool) error {
	var answer explain.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return errors.Wrap(err, "the answer cannot be read")
	}
	if asJSON {
		_, err := out.Write(data)
		return errors.WithStack(err)
	}
	return answer.Print(out)
}
