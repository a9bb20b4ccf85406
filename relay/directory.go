package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// watchInterval is how often an entry that watches for the others reads the
	// servers' records, and relaxedInterval how often one does that hears of changes
	// from a watcher.
	watchInterval   = 400 * time.Millisecond
	relaxedInterval = 5 * time.Second
	// maxWatchAge is the age of a watcher's last read up to which others rely on it.
	maxWatchAge = 900 * time.Millisecond
	// changeSends is how many messages carry a change.
	changeSends = 4
)

// directory is what an entry knows of the servers' records. It is safe for concurrent use.
type directory struct {
	*Entry
	mu      sync.Mutex
	servers map[string]Server
	// lastRead is when the records were last read from the store.
	lastRead time.Time
	// pendingChanges are records that other entries are to hear of, with the number of
	// messages that still carry them.
	pendingChanges map[string]*outgoingChange
}

type outgoingChange struct {
	Record
	sendsLeft int
}

func newDirectory(e *Entry) *directory {
	return &directory{Entry: e, servers: map[string]Server{}, pendingChanges: map[string]*outgoingChange{}}
}

// apply takes records from the store; all says that there are no others.
func (d *directory) apply(records []Record, all bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if all {
		d.removeMissing(records)
	}
	for _, r := range records {
		if d.applyRecord(r) {
			d.pendingChanges[r.Key] = &outgoingChange{r, changeSends}
		}
	}
	d.fleet.setServers(time.Now(), maps.Clone(d.servers))
}

func (d *directory) removeMissing(records []Record) {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	for id := range d.servers {
		if !present[id] {
			d.applyRecord(Record{Key: id})
		}
	}
}

// applyPeerChanges takes changes that another entry has read.
func (d *directory) applyPeerChanges(records []Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = d.applyRecord(r) || changed
	}
	if changed {
		d.fleet.setServers(time.Now(), maps.Clone(d.servers))
	}
}

// markRead notes that the store was read.
func (d *directory) markRead(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRead = now
}

// readAge is how long ago the store was read.
func (d *directory) readAge(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastRead.IsZero() {
		return notWatching
	}
	return now.Sub(d.lastRead)
}

// nextChanges returns the changes for the next message.
func (d *directory) nextChanges() (records []Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, c := range d.pendingChanges {
		records = append(records, c.Record)
		if c.sendsLeft--; c.sendsLeft <= 0 {
			delete(d.pendingChanges, key)
		}
	}
	return records
}

// applyRecord takes a server's record and tells whether it changes more than the
// count of records. A record that is older than the known one, or that cannot be
// read, changes nothing.
func (d *directory) applyRecord(r Record) bool {
	old, present := d.servers[r.Key]
	if r.Value == nil {
		delete(d.servers, r.Key)
		if present {
			logevent.Write(d.logger, logevent.ServerGone).Str("server", r.Key).Int64("beat", old.Beat).Msg("")
		}
		return present
	}
	s, err := d.store.Server(r.Key, r.Value)
	if err != nil {
		logevent.Write(d.logger, logevent.ServerUnreadable).Str("server", r.Key).Str("cause", err.Error()).Msg("")
		return false
	}
	if present && (s.Born < old.Born || s.Born == old.Born && s.Beat < old.Beat) {
		return false
	}
	d.servers[r.Key] = s
	if present && s.Born == old.Born && s.Leaving == old.Leaving && s.Holds == old.Holds && s.Address == old.Address {
		return false
	}
	logevent.Write(d.logger, logevent.ServerChanged).Str("server", s.ID).Str("service", s.Service).Str("zone", s.Zone).
		Str("address", s.Address).Bool("leaving", s.Leaving).Int("first", s.Holds.First).Int("limit", s.Holds.Limit).
		Int64("born", s.Born).Int64("beat", s.Beat).Msg("")
	return true
}
