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

// memoryLog is an in-memory log service. Reads wait as long as they ask for.
type memoryLog struct {
	mutex    sync.Mutex
	first    int64
	records  []logservice.Record
	appended chan struct{}
	down     bool
	// loseReply makes the next append take effect but return an unknown outcome.
	loseReply bool
}

func newMemoryLog() *memoryLog { return &memoryLog{appended: make(chan struct{})} }

func (l *memoryLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return 0, logservice.ErrUnavailable
	}
	offset := int64(len(l.records))
	l.records = append(l.records, logservice.Record{Offset: offset, Data: data})
	close(l.appended)
	l.appended = make(chan struct{})
	if l.loseReply {
		l.loseReply = false
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
		appended := l.appended
		l.mutex.Unlock()
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-appended:
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

func (l *memoryLog) update(change func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	change()
}

func (l *memoryLog) length() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.records)
}

// localPeers returns the states of other processes of the test.
type localPeers []*Sync

func (p localPeers) States(_ context.Context, after int64) (states [][]byte) {
	for _, s := range p {
		if _, _, state, err := s.State(after); err == nil && state != nil {
			states = append(states, state)
		}
	}
	return states
}

func startSync(ctx context.Context, l Log, seed uint64, peers Peers) *Sync {
	s := New(Options{
		Log: l, Peers: peers, Random: rand.New(rand.NewPCG(seed, 1)), CheckpointRecords: 8,
		Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
	})
	go s.Run(ctx)
	return s
}

func withTeamWeight(doc *config.Document, weight float64) *config.Document {
	changed := doc.Canonical()
	changed.Teams[0].Weight = weight
	return changed
}

func publish(t *testing.T, s *Sync, doc *config.Document) PublishResult {
	result, err := s.Publish(t.Context(), Proposal{Base: s.Current(), Document: doc})
	assert.NilError(t, err)
	return result
}

// An accepted change must become active in all processes at once, also when the
// reply to the append is lost, and must be signalled to waiters.
func TestChangeReachesAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newMemoryLog()
		a, b := startSync(ctx, l, 1, nil), startSync(ctx, l, 2, nil)
		synctest.Wait()
		assert.Assert(t, !b.Status().Ready)
		doc := configtest.Document(46)
		assert.Equal(t, publish(t, a, doc).Result, configlog.ResultAccepted)
		synctest.Wait()
		changed := b.Changed()
		l.update(func() { l.loseReply = true })
		assert.Equal(t, publish(t, a, withTeamWeight(doc, 42)).Result, configlog.ResultAccepted)
		<-changed
		synctest.Wait()
		assert.Equal(t, b.Current().Number, int64(2))
		assert.Equal(t, b.Current().Document.Teams[0].Weight, 42.0)
		assert.Equal(t, b.Status().Digest, a.Status().Digest)
	})
}

// A second operator must not silently overwrite the change of the first.
func TestStaleProposalIsSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a := startSync(ctx, newMemoryLog(), 1, nil)
		doc := configtest.Document(46)
		publish(t, a, doc)
		synctest.Wait()
		base := a.Current()
		publish(t, a, withTeamWeight(doc, 42))
		synctest.Wait()
		result, err := a.Publish(ctx, Proposal{Base: base, Document: withTeamWeight(doc, 43)})
		assert.NilError(t, err)
		assert.Equal(t, result.Result, configlog.ResultSuperseded)
		assert.Equal(t, result.Revision, int64(2))
	})
}

// During an outage of the log, a new process must get the configuration from its
// peers and must not go back to an older one afterwards. A publisher must not
// report an outcome that it cannot know.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newMemoryLog()
		a := startSync(ctx, l, 1, nil)
		doc := configtest.Document(46)
		publish(t, a, doc)
		synctest.Wait()
		l.update(func() { l.down = true })
		time.Sleep(time.Minute)
		fresh := startSync(ctx, l, 2, localPeers{a})
		isolated := startSync(ctx, l, 3, nil)
		// The outage lasts ten minutes, including the minute above.
		time.Sleep(9 * time.Minute)
		assert.Equal(t, fresh.Current().Number, int64(1))
		assert.Assert(t, !fresh.Status().LogAvailable)
		assert.Assert(t, !isolated.Status().Ready)
		publishCtx, cancelPublish := context.WithTimeout(ctx, 5*time.Second)
		defer cancelPublish()
		result, err := a.Publish(publishCtx, Proposal{Base: a.Current(), Document: withTeamWeight(doc, 42)})
		assert.NilError(t, err)
		assert.Equal(t, result.Result, configlog.ResultNotSent)
		l.update(func() { l.down = false })
		time.Sleep(DefaultMaxBackoff)
		publish(t, a, withTeamWeight(doc, 43))
		time.Sleep(DefaultMaxBackoff)
		synctest.Wait()
		assert.Equal(t, fresh.Current().Number, int64(2))
		assert.Equal(t, isolated.Current().Number, int64(2))
	})
}

// Of several processes, exactly one must write a checkpoint, and a new process
// must be able to start from it once the records before it have expired.
func TestCheckpointsAreFewAndUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newMemoryLog()
		var syncs []*Sync
		for seed := range 20 {
			syncs = append(syncs, startSync(ctx, l, uint64(seed), nil))
		}
		doc := configtest.Document(46)
		for i := range 10 {
			publish(t, syncs[0], withTeamWeight(doc, float64(i+10)))
			synctest.Wait()
		}
		assert.Equal(t, l.length(), 10)
		time.Sleep(DefaultCheckpointWindow)
		synctest.Wait()
		assert.Equal(t, l.length(), 11)
		l.update(func() { l.first = 10 })
		fresh := startSync(ctx, l, 99, nil)
		time.Sleep(time.Second)
		assert.Equal(t, fresh.Current().Number, int64(10))
		l.update(func() { l.first = 11 })
		late := startSync(ctx, l, 100, nil)
		time.Sleep(time.Minute)
		assert.Assert(t, !late.Status().Ready)
		assert.Assert(t, !late.Status().Following)
	})
}

// A record with a newer schema must be reported, and nothing may be published
// after it.
func TestNewerSchemaIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newMemoryLog()
		a := startSync(ctx, l, 1, nil)
		doc := configtest.Document(46)
		publish(t, a, doc)
		_, err := l.Append(ctx, configlog.Stream, []byte(`{"schema":2,"id":"x","kind":"revision"}`))
		assert.NilError(t, err)
		synctest.Wait()
		status := a.Status()
		assert.Assert(t, status.NewerSchema && status.NewerSchemaOffset == 1)
		assert.Equal(t, status.Revision, int64(1))
		assert.Equal(t, publish(t, a, withTeamWeight(doc, 42)).Result, configlog.ResultNotSent)
	})
}

// BenchmarkPropagation measures the time from the call of Publish until the
// revision is active in ten other processes, with an in-memory log.
func BenchmarkPropagation(b *testing.B) {
	for _, teams := range configtest.TeamCounts {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			l := newMemoryLog()
			syncs := make([]*Sync, 11)
			for i := range syncs {
				syncs[i] = startSync(ctx, l, uint64(i), nil)
			}
			doc := configtest.Document(teams)
			for i := 0; b.Loop(); i++ {
				result, err := syncs[0].Publish(ctx, Proposal{Base: syncs[0].Current(), Document: withTeamWeight(doc, float64(i+10))})
				assert.NilError(b, err)
				assert.Equal(b, result.Result, configlog.ResultAccepted)
				for _, s := range syncs {
					waitForRevision(s, result.Revision)
				}
			}
		})
	}
}

func waitForRevision(s *Sync, number int64) {
	for {
		changed := s.Changed()
		if current := s.Current(); current != nil && current.Number >= number {
			return
		}
		<-changed
	}
}
