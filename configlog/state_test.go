package configlog

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/config/configtest"
)

func document(weight float64) *config.Document {
	return &config.Document{Schema: 1, Models: []config.Model{{Name: "m"}}, Teams: []config.Team{{Name: "t", Weight: weight}}}
}

func revision(t testing.TB, id string, base *Revision, weight float64) Record {
	t.Helper()
	r, err := NewRevision(id, base, document(weight))
	assert.NilError(t, err)
	return r
}

func plan(id string, base, revision int64) Record {
	return NewPlan(id, PlanProposal{Model: "m", Base: base, Revision: revision, Data: []byte(`{}`)})
}

// roundTrip encodes and decodes a record, unless it is malformed.
func roundTrip(t testing.TB, r Record, maxSchema int) Record {
	if r.malformed != nil {
		return r
	}
	data, err := r.Encode()
	assert.NilError(t, err)
	return Decode(data, maxSchema)
}

// Checks the outcome of each kind of record. The random histories cannot,
// because their oracle uses the same State.Apply.
func TestApplyOutcomes(t *testing.T) {
	s := New(versionRules(1))
	first := revision(t, "a", nil, 1)
	base := &Revision{Number: 1, Document: document(1)}
	wrongDigest := revision(t, "f", base, 3)
	wrongDigest.Digest = first.Digest
	newerCheckpoint := Record{Schema: 9, ID: "k", Kind: KindCheckpoint}
	for i, step := range []struct {
		record Record
		want   Outcome
		reason string
	}{
		{revision(t, "x", base, 2), StaleBase, "based on revision 1"},
		{plan("y", 0, 0), Invalid, "there is no model"},
		{first, Accepted, "revision 1"},
		{first, Duplicate, "accepted before as revision 1"},
		{revision(t, "b", nil, 2), StaleBase, "based on revision 0"},
		{revision(t, "c", base, -1), Invalid, "refused"},
		{wrongDigest, Invalid, "has digest"},
		{Decode([]byte("{"), 1), Invalid, "unexpected end"},
		{Decode([]byte(`{"schema":1,"id":"d","kind":"plan","plans":{}}`), 1), Invalid, "unknown field"},
		{Decode([]byte(`{"schema":1,"id":"d","kind":"revision"}`), 1), Invalid, "either a patch or a document"},
		{Decode([]byte(`{"schema":1,"id":"d","kind":"lease"}`), 1), Invalid, "unknown kind"},
		{plan("e", 0, 1), Accepted, "plan at offset 11"},
		{plan("e", 0, 1), Duplicate, "offset 11"},
		{plan("g", 0, 1), StaleBase, "replaces the plan at offset 0"},
		{plan("h", 11, 2), Invalid, "made for revision 2"},
		{plan("i", 11, 1), Accepted, "plan at offset 15"},
		{newerCheckpoint, NoEffect, ""},
		{revision(t, "j", base, 4), Accepted, "revision 2"},
		{Record{Schema: 2, ID: "l", Kind: KindRevision}, NewerSchema, "schema 2"},
		{revision(t, "m", &Revision{Number: 2, Document: document(4)}, 5), NewerSchema, "record at offset 18"},
	} {
		got := s.Apply(int64(i), roundTrip(t, step.record, 1))
		assert.Equal(t, got, step.want, "offset %d: %s", i, s.Reason())
		assert.Assert(t, strings.Contains(s.Reason(), step.reason), "offset %d: %s", i, s.Reason())
	}
	assert.Equal(t, s.NextOffset(), int64(18))
	assert.Equal(t, s.Apply(3, first), Duplicate)
}

// A plan must be removed with its model, or it would come into force again with
// a later model of the same name.
func TestPlanRemovedWithModel(t *testing.T) {
	s := New(versionRules(1))
	s.Apply(0, revision(t, "a", nil, 1))
	s.Apply(1, plan("b", 0, 1))
	doc := document(1)
	doc.Models = nil
	r, err := NewRevision("c", s.Current(), doc)
	assert.NilError(t, err)
	assert.Equal(t, s.Apply(2, r), Accepted)
	assert.Equal(t, len(s.Plans()), 0)
}

// A publisher whose reader's state was replaced must not report more than the
// new state shows, which lists only the newest revisions.
func TestPublisherAfterStateReplaced(t *testing.T) {
	s := New(versionRules(1))
	s.Apply(0, revision(t, "r1", nil, 1))
	base := s.Current()
	mine := revision(t, "mine", base, 2)
	stateAt := func(id string, until int) *State {
		data, err := s.Checkpoint().Encode()
		assert.NilError(t, err)
		c, err := DecodeCheckpoint(data, 1)
		assert.NilError(t, err)
		copied, err := Restore(versionRules(1), c)
		assert.NilError(t, err)
		for i := 2; i <= until; i++ {
			assert.Equal(t, copied.Apply(int64(i-1), revision(t, id+fmt.Sprint(i), copied.Current(), float64(i))), Accepted)
		}
		restored, err := Restore(versionRules(1), copied.Checkpoint())
		assert.NilError(t, err)
		return restored
	}
	for _, c := range []struct {
		id    string
		until int
		sent  bool
		want  Result
	}{
		{"other", 3, true, ResultSuperseded},
		{"other", maxRecentRevisions + 1, true, ResultSuperseded},
		{"other", maxRecentRevisions + 2, true, ResultUnknown},
		{"other", maxRecentRevisions + 2, false, ResultSuperseded},
		{"mine", maxRecentRevisions + 1, true, ResultAccepted},
	} {
		record := mine
		if c.id == "mine" {
			record.ID = "mine2"
		}
		p := NewPublisher(record, s)
		if c.sent {
			p.OnAppendUnconfirmed()
		}
		p.OnStateReplaced(stateAt(c.id, c.until))
		result, _, _ := p.Result()
		assert.Equal(t, result, c.want, "%+v", c)
	}
}

// Decoding bytes from the log or from a peer must not panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"schema":1,"id":"a","kind":"revision","patch":[{"section":"teams","entry":"t","member":"weight","value":2}],"digest":"x","base":1}`))
	f.Add([]byte(`{"schema":1,"next":1,"number":1,"document":{},"recent":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(DefaultRules())
		s.Apply(0, revision(t, "a", nil, 1))
		s.Apply(1, Decode(data, 1))
		_ = NewReader(DefaultRules()).OnPeer(data)
	})
}

// BenchmarkApply reports the time to decode and apply a record that changes one
// team, and the sizes of such a record and of a checkpoint.
func BenchmarkApply(b *testing.B) {
	for _, teams := range configtest.TeamCounts {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			s := New(DefaultRules())
			first, err := NewRevision("first", nil, configtest.Document(teams))
			assert.NilError(b, err)
			assert.Equal(b, s.Apply(0, first), Accepted)
			weights := []float64{7.25, 9.5}
			var recordBytes int
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				changed := s.Current().Document.Canonical()
				changed.Teams[i%teams].Weight = weights[i/teams%2]
				record, err := NewRevision(fmt.Sprint("id-", i), s.Current(), changed)
				assert.NilError(b, err)
				data, err := record.Encode()
				assert.NilError(b, err)
				recordBytes = len(data)
				b.StartTimer()
				assert.Equal(b, s.Apply(s.NextOffset(), Decode(data, 1)), Accepted)
			}
			checkpoint, err := json.Marshal(s.Checkpoint())
			assert.NilError(b, err)
			b.ReportMetric(float64(recordBytes), "record-bytes")
			b.ReportMetric(float64(len(checkpoint)), "checkpoint-bytes")
		})
	}
}

// BenchmarkStateMemory reports the heap that a restored state occupies.
func BenchmarkStateMemory(b *testing.B) {
	for _, teams := range configtest.TeamCounts {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			s := New(DefaultRules())
			first, err := NewRevision("first", nil, configtest.Document(teams))
			assert.NilError(b, err)
			assert.Equal(b, s.Apply(0, first), Accepted)
			data, err := s.Checkpoint().Encode()
			assert.NilError(b, err)
			var kept uint64
			for b.Loop() {
				before := heapInUse()
				c, err := DecodeCheckpoint(data, 1)
				assert.NilError(b, err)
				restored, err := Restore(DefaultRules(), c)
				assert.NilError(b, err)
				c = Checkpoint{}
				kept = heapInUse() - before
				runtime.KeepAlive(restored)
			}
			b.ReportMetric(float64(kept), "kept-bytes")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
