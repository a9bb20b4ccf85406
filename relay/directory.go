package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// watchInterval is how often an entry that watches for the others reads the
	// servers' records, and checkInterval how often one does that hears of changes
	// from a watcher.
	watchInterval = 400 * time.Millisecond
	checkInterval = 5 * time.Second
	// watchFresh is the age of a watcher's last read up to which others rely on it.
	watchFresh = 900 * time.Millisecond
	// changeRepeats is how many messages carry a change.
	changeRepeats = 4
)

// directory is what an entry knows of the servers' records. It is safe for concurrent use.
type directory struct {
	*Entry
	mu    sync.Mutex
	known map[string]Server
	// read is when the records were last read from the store.
	read time.Time
	// changes are records that other entries are to hear of, with the number of
	// messages that still carry them.
	changes map[string]*outgoingChange
}

type outgoingChange struct {
	Record
	left int
}

func newDirectory(e *Entry) *directory {
	return &directory{Entry: e, known: map[string]Server{}, changes: map[string]*outgoingChange{}}
}

// apply takes records from the store; all says that there are no others.
func (d *directory) apply(records []Record, all bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if all {
		d.dropMissing(records)
	}
	for _, r := range records {
		if d.applyOne(r) {
			d.changes[r.Key] = &outgoingChange{r, changeRepeats}
		}
	}
	d.fleet.replace(time.Now(), maps.Clone(d.known))
}

func (d *directory) dropMissing(records []Record) {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	for id := range d.known {
		if !present[id] {
			d.applyOne(Record{Key: id})
		}
	}
}

// hear takes changes that another entry has read.
func (d *directory) hear(records []Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = d.applyOne(r) || changed
	}
	if changed {
		d.fleet.replace(time.Now(), maps.Clone(d.known))
	}
}

// answered notes that the store was read.
func (d *directory) answered(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.read = now
}

// age is how long ago the store was read.
func (d *directory) age(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.read.IsZero() {
		return noWatch
	}
	return now.Sub(d.read)
}

// outgoing returns the changes for the next message.
func (d *directory) outgoing() (records []Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, c := range d.changes {
		records = append(records, c.Record)
		if c.left--; c.left <= 0 {
			delete(d.changes, key)
		}
	}
	return records
}

// applyOne takes a server's record and tells whether it changes more than the
// count of records. A record that is older than the known one, or that cannot be
// read, changes nothing.
func (d *directory) applyOne(r Record) bool {
	old, present := d.known[r.Key]
	if r.Value == nil {
		delete(d.known, r.Key)
		if present {
			logevent.Write(d.logger, logevent.ServerRecordRemoved).Str("server", r.Key).Int64("beat", old.HeartbeatCount).Msg("")
		}
		return present
	}
	s, err := d.store.DecodeServer(r.Key, r.Value)
	if err != nil {
		logevent.Write(d.logger, logevent.ServerRecordUnreadable).Str("server", r.Key).Str("cause", err.Error()).Msg("")
		return false
	}
	if present && (s.StartTimeMillis < old.StartTimeMillis || s.StartTimeMillis == old.StartTimeMillis && s.HeartbeatCount < old.HeartbeatCount) {
		return false
	}
	d.known[r.Key] = s
	if present && s.StartTimeMillis == old.StartTimeMillis && s.Leaving == old.Leaving && s.Layers == old.Layers && s.Address == old.Address {
		return false
	}
	logevent.Write(d.logger, logevent.ServerChanged).Str("server", s.ID).Str("service", s.Service).Str("zone", s.Zone).
		Str("address", s.Address).Bool("leaving", s.Leaving).Int("first", s.Layers.First).Int("limit", s.Layers.Limit).
		Int64("born", s.StartTimeMillis).Int64("beat", s.HeartbeatCount).Msg("")
	return true
}
