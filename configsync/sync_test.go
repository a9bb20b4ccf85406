package configsync

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/config/configtest"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/logservice"
)

// memoryLog is a log service in memory. It honours the wait of a read.
type memoryLog struct {
	mutex   sync.Mutex
	first   int64
	records []logservice.Record
	grown   chan struct{}
	down    bool
	// lose makes the next append take effect without an answer.
	lose bool
}

func newMemoryLog() *memoryLog { return &memoryLog{grown: make(chan struct{})} }

func (l *memoryLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return 0, logservice.ErrUnavailable
	}
	offset := int64(len(l.records))
	l.records = append(l.records, logservice.Record{Offset: offset, Data: data})
	close(l.grown)
	l.grown = make(chan struct{})
	if l.lose {
		l.lose = false
		return 0, logservice.ErrUnknownOutcome
	}
	return offset, nil
}

func (l *memoryLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (logservice.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mutex.Lock()
		batch, err := l.readNow(from)
		grown := l.grown
		l.mutex.Unlock()
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, logservice.ErrUnavailable
		}
	}
}

func (l *memoryLog) readNow(from int64) (logservice.Batch, error) {
	switch {
	case l.down:
		return logservice.Batch{}, logservice.ErrUnavailable
	case from < l.first:
		return logservice.Batch{}, &logservice.ExpiredError{FirstOffset: l.first}
	}
	from = min(from, int64(len(l.records)))
	return logservice.Batch{FirstOffset: l.first, NextOffset: int64(len(l.records)), Records: l.records[from:]}, nil
}

func (l *memoryLog) set(change func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	change()
}

func (l *memoryLog) length() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.records)
}

// peersOf asks the given processes.
type peersOf []*Sync

func (p peersOf) States(_ context.Context, after int64) (states [][]byte) {
	for _, s := range p {
		if _, _, state, err := s.State(after); err == nil && state != nil {
			states = append(states, state)
		}
	}
	return states
}

func start(ctx context.Context, l Log, seed uint64, peers Peers) *Sync {
	s := New(Options{
		Log: l, Peers: peers, Random: rand.New(rand.NewPCG(seed, 1)), CheckpointRecords: 8,
		Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
	})
	go s.Run(ctx)
	return s
}

func edited(doc *config.Document, weight float64) *config.Document {
	changed := doc.Canonical()
	changed.Teams[0].Weight = weight
	return changed
}

func publish(t *testing.T, s *Sync, doc *config.Document) PublishResult {
	report, err := s.Publish(t.Context(), Proposal{Base: s.Current(), Document: doc})
	assert.NilError(t, err)
	return report
}

// Guards against a change that is not in force everywhere at once after it was
// accepted, also when the answer to the append is lost, and against a waiter
// that is not told.
func TestChangeReachesAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newMemoryLog()
		a, b := start(ctx, l, 1, nil), start(ctx, l, 2, nil)
		synctest.Wait()
		assert.Assert(t, !b.Status().Ready)
		doc := configtest.Document(46)
		assert.Equal(t, publish(t, a, doc).Result, configlog.ResultAccepted)
		synctest.Wait()
		changed := b.Changed()
		l.set(func() { l.lose = true })
		assert.Equal(t, publish(t, a, edited(doc, 42)).Result, configlog.ResultAccepted)
		<-changed
		synctest.Wait()
		assert.Equal(t, b.Current().Number, int64(2))
		assert.Equal(t, b.Current().Document.Teams[0].Weight, 42.0)
		assert.Equal(t, b.Status().Digest, a.Status().Digest)
	})
}

// Guards against a second operator who silently overwrites the first.
func TestSecondPublisherIsOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a := start(ctx, newMemoryLog(), 1, nil)
		doc := configtest.Document(46)
		publish(t, a, doc)
		synctest.Wait()
		base := a.Current()
		publish(t, a, edited(doc, 42))
		synctest.Wait()
		report, err := a.Publish(ctx, Proposal{Base: base, Document: edited(doc, 43)})
		assert.NilError(t, err)
		assert.Equal(t, report.Result, configlog.ResultSuperseded)
		assert.Equal(t, report.Revision, int64(2))
	})
}

// Guards against a fresh process that stays without configuration during an
// outage although peers have it, that goes back afterwards, and against a
// publisher that claims an outcome it cannot know.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newMemoryLog()
		a := start(ctx, l, 1, nil)
		doc := configtest.Document(46)
		publish(t, a, doc)
		synctest.Wait()
		l.set(func() { l.down = true })
		time.Sleep(time.Minute)
		fresh := start(ctx, l, 2, peersOf{a})
		lonely := start(ctx, l, 3, nil)
		// With the minute before the outage lasts ten minutes.
		time.Sleep(9 * time.Minute)
		assert.Equal(t, fresh.Current().Number, int64(1))
		assert.Assert(t, !fresh.Status().LogAvailable)
		assert.Assert(t, !lonely.Status().Ready)
		deadline, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		report, err := a.Publish(deadline, Proposal{Base: a.Current(), Document: edited(doc, 42)})
		assert.NilError(t, err)
		assert.Equal(t, report.Result, configlog.ResultNotSent)
		l.set(func() { l.down = false })
		time.Sleep(DefaultMaxBackoff)
		publish(t, a, edited(doc, 43))
		time.Sleep(DefaultMaxBackoff)
		synctest.Wait()
		assert.Equal(t, fresh.Current().Number, int64(2))
		assert.Equal(t, lonely.Current().Number, int64(2))
	})
}

// Guards against processes that all write a checkpoint, that write none, and
// against one that cannot start from it once the records before have expired.
func TestCheckpointsAreFewAndUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newMemoryLog()
		var all []*Sync
		for seed := range 20 {
			all = append(all, start(ctx, l, uint64(seed), nil))
		}
		doc := configtest.Document(46)
		for i := range 10 {
			publish(t, all[0], edited(doc, float64(i+10)))
			synctest.Wait()
		}
		assert.Equal(t, l.length(), 10)
		time.Sleep(DefaultCheckpointWindow)
		synctest.Wait()
		assert.Equal(t, l.length(), 11)
		l.set(func() { l.first = 10 })
		fresh := start(ctx, l, 99, nil)
		time.Sleep(time.Second)
		assert.Equal(t, fresh.Current().Number, int64(10))
		l.set(func() { l.first = 11 })
		late := start(ctx, l, 100, nil)
		time.Sleep(time.Minute)
		assert.Assert(t, !late.Status().Ready)
		assert.Assert(t, !late.Status().Following)
	})
}

// Guards against a process that ignores or hides a record of a newer program.
func TestNewerSchemaIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newMemoryLog()
		a := start(ctx, l, 1, nil)
		doc := configtest.Document(46)
		publish(t, a, doc)
		_, err := l.Append(ctx, configlog.Stream, []byte(`{"schema":2,"id":"x","kind":"revision"}`))
		assert.NilError(t, err)
		synctest.Wait()
		status := a.Status()
		assert.Assert(t, status.NewerSchema && status.NewerSchemaOffset == 1)
		assert.Equal(t, status.Revision, int64(1))
		assert.Equal(t, publish(t, a, edited(doc, 42)).Result, configlog.ResultNotSent)
	})
}

// BenchmarkPropagation measures the time from the call of Publish until ten
// other processes have the revision in force, with a log in memory.
func BenchmarkPropagation(b *testing.B) {
	for _, teams := range configtest.TeamCounts {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			l := newMemoryLog()
			all := make([]*Sync, 11)
			for i := range all {
				all[i] = start(ctx, l, uint64(i), nil)
			}
			doc := configtest.Document(teams)
			for i := 0; b.Loop(); i++ {
				report, err := all[0].Publish(ctx, Proposal{Base: all[0].Current(), Document: edited(doc, float64(i+10))})
				assert.NilError(b, err)
				assert.Equal(b, report.Result, configlog.ResultAccepted)
				for _, s := range all {
					waitFor(s, report.Revision)
				}
			}
		})
	}
}

func waitFor(s *Sync, number int64) {
	for {
		changed := s.Changed()
		if current := s.Current(); current != nil && current.Number >= number {
			return
		}
		<-changed
	}
}
