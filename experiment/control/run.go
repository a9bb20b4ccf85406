package control

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/config/configtest"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/configsync"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/logservice"
)

// Options configures a measurement.
type Options struct {
	// Binary is the path of the sapphired program.
	Binary            string
	Sidecars, Entries int
	Teams, Changes    int
	// IdleDuration is how long the idle processes are observed.
	IdleDuration time.Duration
}

const (
	startTimeout  = 60 * time.Second
	changeTimeout = 20 * time.Second
	pollInterval  = 50 * time.Millisecond
	// settleTime is the wait after startup for connections and the garbage collector to settle.
	settleTime = 5 * time.Second
	// maxLatencyMicros is the upper limit of the histogram in microseconds.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
)

// Run starts the processes, measures them, writes the results and stops the processes.
func Run(ctx context.Context, out io.Writer, o Options) error {
	dir, err := os.MkdirTemp("", "sapphirefield-control")
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary, err := filepath.Abs(o.Binary)
	if err != nil {
		return errors.WithStack(err)
	}
	f, err := newFleet(binary, dir)
	if err != nil {
		return err
	}
	defer f.stop()
	return f.measure(ctx, out, o)
}

func (f *fleet) measure(ctx context.Context, out io.Writer, o Options) error {
	for i := range o.Sidecars {
		if err := f.addSidecar(ctx, i); err != nil {
			return err
		}
	}
	for i := range o.Entries {
		if err := f.addEntry(ctx, i); err != nil {
			return err
		}
	}
	doc := configtest.Document(o.Teams)
	if err := f.publish(ctx, doc); err != nil {
		return err
	}
	if err := f.waitForRevision(ctx, 1, startTimeout); err != nil {
		return err
	}
	if err := f.measureIdle(out, o.IdleDuration); err != nil {
		return err
	}
	return f.measureChanges(ctx, out, doc, o.Changes)
}

// publish publishes a configuration document to the log as sapphirectl does.
func (f *fleet) publish(ctx context.Context, doc *config.Document) error {
	log := logservice.NewLog(f.logURL, http.DefaultClient)
	reader, err := configsync.CatchUp(ctx, log, nil, nil)
	if err != nil {
		return err
	}
	report, err := configsync.Publish(ctx, log, reader, configsync.Proposal{Base: reader.ActiveRevision(), Document: doc})
	if err != nil {
		return err
	}
	if report.Result != configlog.ResultAccepted {
		return errors.Errorf("configuration not accepted: %s %s", report.Result, report.Reason)
	}
	return nil
}

// waitForRevision waits until every process reports at least the given revision.
func (f *fleet) waitForRevision(ctx context.Context, revision int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, p := range f.processes {
		for {
			status, err := p.status()
			if err == nil && status.Revision >= revision {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Errorf("%s did not reach revision %d in time, last error: %v", p.id, revision, err)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// roleUsage is the total over the processes of one role. Cores and traffic are
// means over the idle time.
type roleUsage struct {
	processes                                       int
	cores                                           float64
	residentBytes, sentPerSecond, receivedPerSecond int64
}

func (f *fleet) measureIdle(out io.Writer, duration time.Duration) error {
	time.Sleep(settleTime)
	before, err := f.allUsage()
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(duration)
	after, err := f.allUsage()
	if err != nil {
		return err
	}
	took := time.Since(start).Seconds()
	usageByRole := map[string]*roleUsage{"entry": {}, "sidecar": {}}
	for i, p := range f.processes {
		c := usageByRole[p.role]
		c.processes++
		c.cores += (after[i].cpu - before[i].cpu).Seconds() / took
		c.residentBytes += after[i].residentBytes
		c.sentPerSecond += int64(float64(after[i].sentBytes-before[i].sentBytes) / took)
		c.receivedPerSecond += int64(float64(after[i].receivedBytes-before[i].receivedBytes) / took)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "idle role\tprocesses\tcore\tresident MB\tsent B/s\treceived B/s")
	for _, role := range []string{"entry", "sidecar"} {
		c := usageByRole[role]
		n := int64(max(c.processes, 1))
		fmt.Fprintf(w, "%s\t%d\t%.2f%%\t%.1f\t%d\t%d\n", role, c.processes, 100*c.cores/float64(n),
			float64(c.residentBytes)/float64(n)/(1<<20), c.sentPerSecond/n, c.receivedPerSecond/n)
	}
	return w.Flush()
}

func (f *fleet) allUsage() ([]usage, error) {
	usages := make([]usage, len(f.processes))
	for i, p := range f.processes {
		u, err := p.usage()
		if err != nil {
			return nil, err
		}
		usages[i] = u
	}
	return usages, nil
}

// measureChanges publishes changes to one team and measures how long each takes
// to become active on each process.
func (f *fleet) measureChanges(ctx context.Context, out io.Writer, doc *config.Document, changes int) error {
	histogram := hdrhistogram.New(1, maxLatencyMicros, 3)
	bytesBefore := f.log.Bytes(configlog.Stream)
	for i := range changes {
		revision := int64(i + 2)
		next := *doc
		next.Teams = append([]config.Team(nil), doc.Teams...)
		next.Teams[i%len(next.Teams)].Weight += float64(i + 1)
		start := time.Now()
		if err := f.publish(ctx, &next); err != nil {
			return err
		}
		if err := f.recordActivations(start, revision, histogram); err != nil {
			return err
		}
		doc = &next
	}
	millis := func(p float64) float64 { return float64(histogram.ValueAtQuantile(p)) / 1000 }
	_, err := fmt.Fprintf(out, "%d changes on %d processes, from the start of the publication to in force: p50 %.1f ms, p99 %.1f ms, max %.1f ms; %d bytes a change on the log\n",
		changes, len(f.processes), millis(50), millis(99), float64(histogram.Max())/1000,
		(f.log.Bytes(configlog.Stream)-bytesBefore)/int64(max(changes, 1)))
	return errors.WithStack(err)
}

// recordActivations waits until every process has logged the activation of the
// revision and records the times since start.
func (f *fleet) recordActivations(start time.Time, revision int64, histogram *hdrhistogram.Histogram) error {
	pending := make(map[string]bool, len(f.processes))
	for _, p := range f.processes {
		pending[p.id] = true
	}
	timeout := time.After(changeTimeout)
	for len(pending) > 0 {
		select {
		case line := <-f.logLines:
			if line.Event != int(logevent.RevisionActivated) || line.Revision != revision || !pending[line.id] {
				continue
			}
			delete(pending, line.id)
			if err := histogram.RecordValue(max(1, line.Time.Sub(start).Microseconds())); err != nil {
				return errors.WithStack(err)
			}
		case <-timeout:
			return errors.Errorf("%d processes did not report revision %d in time", len(pending), revision)
		}
	}
	return nil
}
