package relay

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/membership"
)

// restoredFleet is a model of servers that write records into a store which may come back
// from an older copy, and of an entry that reads them.
type restoredFleet struct {
	entry *Entry
	// records are the newest ones in the store, by server; older are copies of it.
	records map[string]Server
	older   []map[string]Server
	// alive are the servers that run, with their own newest record.
	alive    map[string]Server
	starts   int64
	restored bool
}

// write lets a server write its next record.
func (f *restoredFleet) write(id string) {
	s, alive := f.alive[id]
	if !alive {
		return
	}
	s.HeartbeatCount++
	f.alive[id], f.records[id] = s, s
}

// start starts a server, or restarts it under the same ID.
func (f *restoredFleet) start(id string) {
	f.starts++
	f.alive[id] = Server{Instance: membership.Instance{ID: id, Service: "app", Address: id + ":1"}, StartTimeMillis: f.starts}
	f.write(id)
}

// read lets the entry read all records.
func (f *restoredFleet) read(t assert.TestingT) {
	var records []Record
	for id, s := range f.records {
		value, err := json.Marshal(s)
		assert.NilError(t, err)
		records = append(records, Record{Key: id, Value: value})
	}
	f.entry.directory.apply(update{records: records, complete: true, restored: f.restored})
	f.restored = false
}

// Guards against an entry that takes an older record of a server for a newer one, keeps a
// server that is gone, or drops one that works, after random restores of the store,
// restarts and losses.
func TestRandomRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &restoredFleet{entry: newStoreEntry(newScriptedStore()), records: map[string]Server{}, alive: map[string]Server{}}
		newest := map[string]Server{}
		for range 60 {
			id := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server"))
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				f.start(id)
			case 1:
				f.write(id)
			case 2: // the server ends, and its record is removed
				delete(f.alive, id)
				delete(f.records, id)
			case 3:
				f.older = append(f.older, maps.Clone(f.records))
			case 4:
				if n := len(f.older); n > 0 {
					f.records = maps.Clone(f.older[rapid.IntRange(0, n-1).Draw(t, "copy")])
					f.restored = true
				}
			case 5:
				f.read(t)
			case 6:
				f.entry.directory.expireUnconfirmed(bootclock.Now().Add(2 * confirmTime))
			}
			for id, s := range f.entry.fleet.snapshot() {
				assert.Assert(t, !s.isOlderThan(newest[id]), "%s went back from start %d, record %d to %d, %d", id,
					newest[id].StartTimeMillis, newest[id].HeartbeatCount, s.StartTimeMillis, s.HeartbeatCount)
				newest[id] = s
			}
		}
		// Those that work write again; the records of the others lapse.
		for id := range f.records {
			if _, alive := f.alive[id]; !alive {
				delete(f.records, id)
			}
		}
		for id := range f.alive {
			f.write(id)
		}
		f.read(t)
		f.entry.directory.expireUnconfirmed(bootclock.Now().Add(2 * confirmTime))
		f.read(t)
		known := f.entry.fleet.snapshot()
		assert.Equal(t, len(known), len(f.alive))
		for id, s := range f.alive {
			assert.Equal(t, known[id].StartTimeMillis, s.StartTimeMillis)
			assert.Equal(t, known[id].HeartbeatCount, s.HeartbeatCount)
		}
	})
}
