package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// watchInterval is how often the watcher, the entry that polls the store on
	// behalf of all others, reads the servers' records. relaxedInterval is how
	// often the other entries read them while the watcher sends them changes.
	watchInterval   = 400 * time.Millisecond
	relaxedInterval = 10 * time.Second
	// maxWatchAge is the maximum age of the watcher's last read at which other
	// entries rely on it.
	maxWatchAge = 900 * time.Millisecond
	// changeSends is the number of messages that carry a change.
	changeSends = 4
	// maxChangeBytes bounds the changes in a message. It leaves room for the usage of a
	// thousand servers in a datagram.
	maxChangeBytes = 24 << 10
	// selfReadTime is how long the other entries read the records themselves after there
	// were too many changes. It is several messages, any of which may be lost.
	selfReadTime = 1800 * time.Millisecond
	// maxLoggedChanges is the number of servers of an update that are logged one by one.
	maxLoggedChanges = 200
)

// readsAfterMiss is how often the records are read after a change was missed: a read that
// is under way may have begun before the change.
const readsAfterMiss = 2

// directory is an entry's copy of the servers' records. It is safe for
// concurrent use.
type directory struct {
	*Entry
	mu      sync.Mutex
	servers map[string]Server
	// lastRead is when the records were last read from the store, by bootclock.
	lastRead time.Time
	// unconfirmed are the servers whose records were missing after the store came back
	// from an older copy or did not answer for a while, with the time until which they
	// may be written again.
	unconfirmed map[string]time.Time
	// distrustUntil is the time until which a missing record says nothing: records lapse
	// while servers cannot write them.
	distrustUntil time.Time
	// removed are the last records of servers that are gone: an older copy of the
	// store may hold them.
	removed map[string]removedServer
	// pendingChanges are the changed records to be sent to other entries, each with
	// the number of messages left to carry it.
	pendingChanges map[string]*outgoingChange
	// tooManyChangesAt is when there were last more changes than messages can carry.
	tooManyChangesAt time.Time
	// announced counts the changes that this entry has told others.
	announced uint64
	// heard is the last message of the watcher, and readsDue how often the records must be
	// read because its messages showed that this entry has missed a change.
	heard    watcherMessage
	readsDue int
	// changesInUpdate counts the servers that the current update has changed.
	changesInUpdate int
}

type outgoingChange struct {
	Record
	sendsLeft int
}

func newDirectory(e *Entry) *directory {
	return &directory{
		Entry: e, servers: map[string]Server{}, pendingChanges: map[string]*outgoingChange{},
		unconfirmed: map[string]time.Time{}, removed: map[string]removedServer{},
	}
}

// removedServer is the last record of a server that is gone.
type removedServer struct {
	Server
	at time.Time
}

const (
	// confirmTime is how long a server that works may take to write its record again
	// after the store has come back, with all that it had or as an older copy.
	confirmTime = 2500 * time.Millisecond
	// removedTTL is how long the last record of a server that is gone is remembered.
	removedTTL = 5 * time.Minute
)

// apply adds records from the store. Servers without a record are removed if the
// records are complete; after the store came back from an older copy they have
// some time to write it again.
func (d *directory) apply(u update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := bootclock.Now()
	if u.afterOutage {
		d.observeOutage(now)
	}
	if u.complete {
		d.removeMissing(now, u)
	}
	for _, r := range u.records {
		if r.Value == nil && d.mayReturn(now, r.Key) {
			d.unconfirmed[r.Key] = d.distrustUntil
			continue
		}
		delete(d.unconfirmed, r.Key)
		d.applyAndAnnounce(r)
	}
	d.endUpdate()
	d.fleet.setServers(time.Now(), maps.Clone(d.servers))
}

// endUpdate logs how many changes of an update were not logged one by one.
func (d *directory) endUpdate() {
	if left := d.changesInUpdate - maxLoggedChanges; left > 0 {
		logevent.Write(d.logger, logevent.ServersChanged).Int("servers", d.changesInUpdate).Int("left_out", left).Int("known", len(d.servers)).Msg("")
	}
	d.changesInUpdate = 0
}

// mayReturn reports whether a server whose record is missing may only have been unable
// to write it. One that was about to stop is gone.
func (d *directory) mayReturn(now time.Time, id string) bool {
	server, known := d.servers[id]
	return known && !server.Leaving && now.Before(d.distrustUntil)
}

func (d *directory) applyAndAnnounce(r Record) bool {
	changed := d.applyRecord(r)
	if changed {
		d.pendingChanges[r.Key] = &outgoingChange{r, changeSends}
		d.announced++
	}
	return changed
}

func (d *directory) removeMissing(now time.Time, u update) {
	present := make(map[string]bool, len(u.records))
	for _, r := range u.records {
		present[r.Key] = true
	}
	for id := range d.servers {
		_, waits := d.unconfirmed[id]
		switch {
		case present[id] || waits:
		case u.restored:
			d.unconfirmed[id] = now.Add(confirmTime)
		case d.mayReturn(now, id):
			d.unconfirmed[id] = d.distrustUntil
		default:
			d.applyAndAnnounce(Record{Key: id})
		}
	}
}

// expireUnconfirmed removes the servers that have not written their records again.
func (d *directory) expireUnconfirmed(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for id, until := range d.unconfirmed {
		if now.After(until) {
			delete(d.unconfirmed, id)
			changed = d.applyAndAnnounce(Record{Key: id}) || changed
		}
	}
	for id, r := range d.removed {
		if now.Sub(r.at) > removedTTL {
			delete(d.removed, id)
		}
	}
	if changed {
		d.fleet.setServers(time.Now(), maps.Clone(d.servers))
	}
}

// applyPeerChanges adds changes that another entry has read. What this entry has read
// before about the same servers is not sent any more.
func (d *directory) applyPeerChanges(records []Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, r := range records {
		delete(d.pendingChanges, r.Key)
		changed = d.applyRecord(r) || changed
	}
	d.endUpdate()
	if changed {
		d.fleet.setServers(time.Now(), maps.Clone(d.servers))
	}
}

// markRead records that the store was read.
func (d *directory) markRead(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRead = now
	d.readsDue = max(d.readsDue-1, 0)
}

// watcherMessage is what tells a message of the watcher from the one before it.
type watcherMessage struct {
	sender               string
	startNanos, sequence int64
	announced            uint64
}

// misses reports whether a change may have been announced only in messages between two:
// each is sent in changeSends messages.
func (m watcherMessage) misses(next watcherMessage) bool {
	return m.sender == next.sender && m.startNanos == next.startNanos && next.sequence-m.sequence > changeSends && next.announced != m.announced
}

// observeWatcher finds out from a message whether this entry has missed a change.
func (d *directory) observeWatcher(m message) {
	if m.watchAge > maxWatchAge {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	next := watcherMessage{m.sender, m.startNanos, m.sequence, m.announced}
	if d.heard.misses(next) {
		d.readsDue = readsAfterMiss
	}
	d.heard = next
}

// hasMissedChange reports whether the records must be read for a change that was missed.
func (d *directory) hasMissedChange() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readsDue > 0
}

// announcedChanges counts the changes that this entry has told others. Those of a message
// may be newer.
func (d *directory) announcedChanges() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.announced
}

// observeOutage records that the store has answered for the first time after an outage. The
// servers that were waited for after an earlier one could not write their records since.
// The caller holds the lock.
func (d *directory) observeOutage(now time.Time) {
	d.distrustUntil = now.Add(confirmTime)
	for id := range d.unconfirmed {
		d.unconfirmed[id] = d.distrustUntil
	}
}

// forgetChanges drops the changes that were to be sent: an entry that is not the watcher
// sends none, and when it becomes the watcher later, they may have been overtaken by what
// others have told it.
func (d *directory) forgetChanges() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.pendingChanges)
}

// readAge returns the time since the store was last read.
func (d *directory) readAge(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastRead.IsZero() {
		return notWatching
	}
	return now.Sub(d.lastRead)
}

// nextChanges returns the changes for the next message. It returns false if there are
// more than messages can carry, as while a large fleet starts: the others must then read
// the records themselves.
func (d *directory) nextChanges() (records []Record, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, bytes := bootclock.Now(), 0
	for _, c := range d.pendingChanges {
		bytes += len(c.Key) + len(c.Value)
	}
	if bytes > maxChangeBytes {
		clear(d.pendingChanges)
		d.tooManyChangesAt = now
	}
	if !d.tooManyChangesAt.IsZero() && now.Sub(d.tooManyChangesAt) < selfReadTime {
		return nil, false
	}
	for key, c := range d.pendingChanges {
		records = append(records, c.Record)
		if c.sendsLeft--; c.sendsLeft <= 0 {
			delete(d.pendingChanges, key)
		}
	}
	return records, true
}

// applyRecord adds a server's record and reports whether more than its
// heartbeat count changed. A record that is outdated or cannot be decoded is
// ignored.
func (d *directory) applyRecord(r Record) bool {
	old, present := d.servers[r.Key]
	if r.Value == nil {
		delete(d.servers, r.Key)
		if present {
			d.removed[r.Key] = removedServer{old, bootclock.Now()}
			logevent.Write(d.logger, logevent.ServerRecordRemoved).Str("server", r.Key).Int64("beat", old.HeartbeatCount).Msg("")
		}
		return present
	}
	s, err := d.store.DecodeServer(r.Key, r.Value)
	if err != nil {
		logevent.Write(d.logger, logevent.ServerRecordUnreadable).Str("server", r.Key).Str("cause", err.Error()).Msg("")
		return false
	}
	if present && s.isOlderThan(old) {
		return false
	}
	if gone, known := d.removed[r.Key]; known && !gone.isOlderThan(s) {
		return false
	}
	delete(d.removed, r.Key)
	d.servers[r.Key] = s
	if present && s.StartTimeMillis == old.StartTimeMillis && s.Leaving == old.Leaving && s.Layers == old.Layers && s.Address == old.Address {
		return false
	}
	if d.changesInUpdate++; d.changesInUpdate > maxLoggedChanges {
		return true
	}
	logevent.Write(d.logger, logevent.ServerChanged).Str("server", s.ID).Str("service", s.Service).Str("zone", s.Zone).
		Str("address", s.Address).Bool("leaving", s.Leaving).Int("first", s.Layers.First).Int("limit", s.Layers.Limit).
		Int64("born", s.StartTimeMillis).Int64("beat", s.HeartbeatCount).Msg("")
	return true
}
