// Package configcmd implements the subcommands of "sapphirectl config".
package configcmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/configsync"
	"github.com/sapphirefield/sapphirefield/logservice"
)

// The exit codes of the subcommands.
const (
	ExitOK = 0
	// ExitFindings means that a document is invalid or rejected, or that processes
	// have different revisions.
	ExitFindings = 1
	ExitUsage    = 2
	// ExitSuperseded means that nothing was published, because another revision
	// was accepted after the base of the document.
	ExitSuperseded = 3
	// ExitUnavailable means that the log service or a process did not answer, that
	// the log contains a record with a newer schema, or that the outcome of a
	// publication is unknown.
	ExitUnavailable = 4
)

// ExitError is an error with the exit code of the process.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of the underlying error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Err }

func exitErrorf(code int, format string, args ...any) error {
	return &ExitError{Code: code, Err: errors.Errorf(format, args...)}
}

// ExitCode returns the exit code for the error of a command. An error other than
// an ExitError, such as an invalid flag, is a usage error.
func ExitCode(err error) int {
	var e *ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.Code
	default:
		return ExitUsage
	}
}

// Options configures the commands.
type Options struct {
	// Stdout receives the output of the commands.
	Stdout io.Writer
	// Client sends the requests to the log service.
	Client *http.Client
}

const (
	logTimeout    = 30 * time.Second
	exitCodesHelp = `Exit codes: 0 ok, 1 findings, 2 usage, 3 overtaken, 4 platform unavailable or outcome unknown.`
)

// Command returns the command "config" with its subcommands.
func Command(o Options) *ffcli.Command {
	return &ffcli.Command{
		Name:       "config",
		ShortUsage: "sapphirectl config <check|diff|publish|history|status>",
		ShortHelp:  "check, compare, publish and follow the configuration document",
		LongHelp:   exitCodesHelp,
		Subcommands: []*ffcli.Command{
			checkCommand(o), diffCommand(o), publishCommand(o), historyCommand(o), statusCommand(o),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func flagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("sapphirectl config "+name, flag.ContinueOnError)
	return fs
}

func checkCommand(o Options) *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "sapphirectl config check FILE...", FlagSet: flagSet("check"),
		ShortHelp: "report all findings of documents", LongHelp: exitCodesHelp,
		Exec: func(_ context.Context, files []string) error {
			if len(files) == 0 {
				return exitErrorf(ExitUsage, "name at least one file")
			}
			return o.check(files)
		},
	}
}

func (o Options) check(files []string) error {
	invalid := 0
	for _, file := range files {
		doc, err := o.load(file)
		switch {
		case ExitCode(err) == ExitUsage:
			return err
		case err != nil:
			invalid++
			fmt.Fprintln(o.Stdout, err)
		default:
			fmt.Fprintf(o.Stdout, "%s: ok, %d teams, %d servers, digest %s\n", file, len(doc.Teams), len(doc.Servers), doc.Digest())
		}
	}
	if invalid > 0 {
		return exitErrorf(ExitFindings, "%d of %d documents have findings", invalid, len(files))
	}
	return nil
}

func (o Options) load(file string) (*config.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: err}
	}
	doc, findings := config.Parse(file, text)
	if err := findings.Err(); err != nil {
		return nil, &ExitError{Code: ExitFindings, Err: err}
	}
	return doc, nil
}

func diffCommand(o Options) *ffcli.Command {
	fs := flagSet("diff")
	log := fs.String("log", "", "base URL of the log service; compare FILE with the revision in force")
	patch := fs.Bool("patch", false, "print the patch in JSON instead of a summary")
	return &ffcli.Command{
		Name: "diff", ShortUsage: "sapphirectl config diff [flags] OLD NEW | --log URL FILE", FlagSet: fs,
		ShortHelp: "show what changes between two documents", LongHelp: exitCodesHelp,
		Exec: func(ctx context.Context, files []string) error {
			old, next, err := o.diffInputs(ctx, *log, files)
			if err != nil {
				return err
			}
			return o.printDiff(old, next, *patch)
		},
	}
}

func (o Options) diffInputs(ctx context.Context, log string, files []string) (old, next *config.Document, err error) {
	if (log == "" && len(files) != 2) || (log != "" && len(files) != 1) {
		return nil, nil, exitErrorf(ExitUsage, "name two files, or one file and --log")
	}
	if next, err = o.load(files[len(files)-1]); err != nil {
		return nil, nil, err
	}
	if log == "" {
		old, err = o.load(files[0])
		return old, next, err
	}
	reader, err := o.readLog(ctx, o.log(log))
	if err != nil {
		return nil, nil, err
	}
	return documentOf(reader.State().Current()), next, nil
}

// documentOf returns the document of a revision, or an empty one for nil.
func documentOf(r *configlog.Revision) *config.Document {
	if r == nil {
		return &config.Document{Schema: config.SchemaVersion}
	}
	return r.Document
}

func (o Options) printDiff(old, next *config.Document, asPatch bool) error {
	patch, err := config.Diff(old, next)
	if err != nil {
		return &ExitError{Code: ExitFindings, Err: err}
	}
	if asPatch {
		return json.NewEncoder(o.Stdout).Encode(patch)
	}
	lines, err := config.Summary(old, next)
	if err != nil {
		return &ExitError{Code: ExitFindings, Err: err}
	}
	for _, line := range lines {
		fmt.Fprintln(o.Stdout, line)
	}
	return nil
}

func (o Options) log(url string) *logservice.Log { return logservice.NewLog(url, o.Client) }

// readLog reads the log to its end and returns the resulting state. It returns an
// error if the log contains a record with a newer schema.
func (o Options) readLog(ctx context.Context, log configsync.Log) (*configlog.Reader, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	reader, err := configsync.CatchUp(ctx, log, nil, nil)
	if err != nil {
		return nil, &ExitError{Code: ExitUnavailable, Err: errors.Wrap(err, "log service")}
	}
	if offset, newer := reader.NewerSchema(); newer {
		return nil, exitErrorf(ExitUnavailable, "the record at offset %d has a newer schema; use a newer sapphirectl", offset)
	}
	return reader, nil
}

func publishCommand(o Options) *ffcli.Command {
	fs := flagSet("publish")
	p := publisher{options: o}
	fs.StringVar(&p.log, "log", "", "base URL of the log service (required)")
	fs.Int64Var(&p.base, "base", -1, "revision the document was made from; publish only if it is still in force")
	fs.StringVar(&p.author, "author", currentUser(), "name shown in the history")
	fs.StringVar(&p.note, "note", "", "reason shown in the history")
	fs.DurationVar(&p.timeout, "timeout", 20*time.Second, "longest time to wait for the outcome")
	return &ffcli.Command{
		Name: "publish", ShortUsage: "sapphirectl config publish --log URL [flags] FILE", FlagSet: fs,
		ShortHelp: "publish a document as the next revision", LongHelp: exitCodesHelp,
		Exec: func(ctx context.Context, files []string) error {
			if len(files) != 1 || p.log == "" {
				return exitErrorf(ExitUsage, "name one file and --log")
			}
			return p.run(ctx, files[0])
		},
	}
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// publisher holds the arguments of the subcommand "publish".
type publisher struct {
	options      Options
	log          string
	base         int64
	author, note string
	timeout      time.Duration
}

func (p publisher) run(ctx context.Context, file string) error {
	doc, err := p.options.load(file)
	if err != nil {
		return err
	}
	log := p.options.log(p.log)
	reader, err := p.options.readLog(ctx, log)
	if err != nil {
		return err
	}
	base := reader.State().Current()
	if active := reader.State().Number(); p.base >= 0 && p.base != active {
		return exitErrorf(ExitSuperseded, "revision %d is in force, not %d; nothing was published", active, p.base)
	}
	if err := p.options.printDiff(documentOf(base), doc, false); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	result, err := configsync.Publish(ctx, log, reader, configsync.Proposal{Base: base, Document: doc, Author: p.author, Note: p.note})
	if errors.Is(err, configlog.ErrNoDifference) {
		fmt.Fprintf(p.options.Stdout, "revision %d is this document; nothing to publish\n", base.Number)
		return nil
	}
	if err != nil {
		return &ExitError{Code: ExitFindings, Err: err}
	}
	return p.options.printPublishResult(result, doc)
}

func (o Options) printPublishResult(result configsync.PublishResult, doc *config.Document) error {
	switch result.Result {
	case configlog.ResultAccepted:
		fmt.Fprintf(o.Stdout, "accepted as revision %d, digest %s\n", result.Revision, doc.Digest())
		return nil
	case configlog.ResultSuperseded:
		return exitErrorf(ExitSuperseded, "overtaken by revision %d; nothing was published", result.Revision)
	case configlog.ResultInvalid:
		return exitErrorf(ExitFindings, "refused: %s", result.Reason)
	case configlog.ResultNotSent:
		return exitErrorf(ExitUnavailable, "the log service is unavailable; nothing was published: %s", result.Reason)
	default:
		return exitErrorf(ExitUnavailable, "the outcome is unknown: %s; look at the history before publishing again", result.Reason)
	}
}
