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

// Options size a measurement.
type Options struct {
	// Binary is the path of the sapphired program.
	Binary            string
	Sidecars, Entries int
	Teams, Changes    int
	// Idle is how long the idle processes are watched.
	Idle time.Duration
}

const (
	startTimeout  = 60 * time.Second
	changeTimeout = 20 * time.Second
	pollInterval  = 50 * time.Millisecond
	// settleTime lets connections and the garbage collector come to rest.
	settleTime = 5 * time.Second
	// maxLatency bounds what the histogram holds, in microseconds.
	maxLatency = int64(time.Minute / time.Microsecond)
)

// Run starts the processes, measures them and ends them.
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
	if err := f.measureIdle(out, o.Idle); err != nil {
		return err
	}
	return f.measureChanges(ctx, out, doc, o.Changes)
}

// publish brings a document to the log the way sapphirectl does.
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
		return errors.Errorf("publication: %s %s", report.Result, report.Reason)
	}
	return nil
}

// waitForRevision waits until every process reports a revision.
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
				return errors.Errorf("%s has no revision %d in time (%v)", p.id, revision, err)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// cost is the mean over the processes of one role.
type cost struct {
	processes                int
	core                     float64
	resident, sent, received int64
}

func (f *fleet) measureIdle(out io.Writer, idle time.Duration) error {
	time.Sleep(settleTime)
	before, err := f.usages()
	if err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(idle)
	after, err := f.usages()
	if err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	costs := map[string]*cost{"entry": {}, "sidecar": {}}
	for i, p := range f.processes {
		c := costs[p.role]
		c.processes++
		c.core += (after[i].cpu - before[i].cpu).Seconds() / took
		c.resident += after[i].resident
		c.sent += int64(float64(after[i].sent-before[i].sent) / took)
		c.received += int64(float64(after[i].received-before[i].received) / took)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "idle role\tprocesses\tcore\tresident MB\tsent B/s\treceived B/s")
	for _, role := range []string{"entry", "sidecar"} {
		c := costs[role]
		n := int64(max(c.processes, 1))
		fmt.Fprintf(w, "%s\t%d\t%.2f%%\t%.1f\t%d\t%d\n", role, c.processes, 100*c.core/float64(n),
			float64(c.resident)/float64(n)/(1<<20), c.sent/n, c.received/n)
	}
	return w.Flush()
}

func (f *fleet) usages() ([]usage, error) {
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

// measureChanges publishes changes of one team and times when each process has
// each of them in force.
func (f *fleet) measureChanges(ctx context.Context, out io.Writer, doc *config.Document, changes int) error {
	histogram := hdrhistogram.New(1, maxLatency, 3)
	bytes := f.log.Bytes(configlog.Stream)
	for i := range changes {
		revision := int64(i + 2)
		next := *doc
		next.Teams = append([]config.Team(nil), doc.Teams...)
		next.Teams[i%len(next.Teams)].Weight += float64(i + 1)
		began := time.Now()
		if err := f.publish(ctx, &next); err != nil {
			return err
		}
		if err := f.collect(began, revision, histogram); err != nil {
			return err
		}
		doc = &next
	}
	millis := func(p float64) float64 { return float64(histogram.ValueAtQuantile(p)) / 1000 }
	_, err := fmt.Fprintf(out, "%d changes on %d processes, from the start of the publication to in force: p50 %.1f ms, p99 %.1f ms, max %.1f ms; %d bytes a change on the log\n",
		changes, len(f.processes), millis(50), millis(99), float64(histogram.Max())/1000,
		(f.log.Bytes(configlog.Stream)-bytes)/int64(max(changes, 1)))
	return errors.WithStack(err)
}

// collect waits until every process has logged the revision.
func (f *fleet) collect(began time.Time, revision int64, histogram *hdrhistogram.Histogram) error {
	waiting := make(map[string]bool, len(f.processes))
	for _, p := range f.processes {
		waiting[p.id] = true
	}
	timeout := time.After(changeTimeout)
	for len(waiting) > 0 {
		select {
		case line := <-f.events:
			if line.Event != int(logevent.RevisionActivated) || line.Revision != revision || !waiting[line.id] {
				continue
			}
			delete(waiting, line.id)
			if err := histogram.RecordValue(max(1, line.Time.Sub(began).Microseconds())); err != nil {
				return errors.WithStack(err)
			}
		case <-timeout:
			return errors.Errorf("%d processes did not report revision %d in time", len(waiting), revision)
		}
	}
	return nil
}
