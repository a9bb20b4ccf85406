package relay

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/ratelimit"
)

const (
	// usageInterval is how often entries send each other the load that they have in
	// progress.
	usageInterval = 100 * time.Millisecond
	// fullRateEntries is the number of entries above which messages are sent less
	// often. maxUsageInterval bounds the time between two messages.
	fullRateEntries  = 10
	maxUsageInterval = 300 * time.Millisecond
	// entriesInterval is how often the entries' records are read. Changes need not
	// be noticed sooner: a starting entry sends messages to the entries that it
	// finds there.
	entriesInterval = 30 * time.Second
	// earlyReads is the number of initial reads done every earlyInterval, because
	// entries start at the same time.
	earlyReads    = 3
	earlyInterval = time.Second
	// maxDatagram bounds the size of a message.
	maxDatagram = 60 << 10
	// registerRetry is the delay after an entry failed to write its record.
	registerRetry = 500 * time.Millisecond
)

// entryRecord is the record that an entry writes about itself.
type entryRecord struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	// MessageVersion is the newest version of messages that the process which started
	// at StartNanos reads. Older programs write neither.
	MessageVersion int   `json:"message_version,omitempty"`
	StartNanos     int64 `json:"started,omitempty"`
}

// peerAddress is where another entry receives messages, and the newest version that
// its process reads, as of its record. heard is the start time of the process that
// was heard last: it may be another program under the same name.
type peerAddress struct {
	netip.AddrPort
	version           int
	startNanos, heard int64
}

// messageVersion returns the version of the messages to send.
func (a peerAddress) messageVersion() int {
	if a.heard != 0 && a.heard != a.startNanos {
		return messageVersion
	}
	return a.version
}

// peers exchanges load information with the other entries.
type peers struct {
	*Entry
	conn       *net.UDPConn
	startNanos int64

	mu        sync.Mutex
	addresses map[string]peerAddress
	// recordsRead is set once the entries' records have been read.
	recordsRead bool
}

// runPeers discovers the other entries through the store and sends them this
// entry's load.
func (e *Entry) runPeers(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.settings.PeerAddr))
	if err != nil {
		return errors.Wrap(err, "listen for messages from other entries")
	}
	p := &peers{Entry: e, conn: conn, startNanos: time.Now().UnixNano(), addresses: map[string]peerAddress{}}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		// If two entries start at the same time, the one that reads after the other's
		// record was written sends it messages, which make it known.
		if p.writeRecord(ctx) != nil {
			p.registerAgain.fire()
		}
		group.Go(func() error { return p.keepRegistered(ctx) })
		return p.followEntries(ctx)
	})
	group.Go(func() error { return p.receive(ctx) })
	group.Go(func() error { return p.send(ctx) })
	return group.Wait()
}

// keepRegistered writes this entry's record again whenever that is triggered, until
// the store accepts it.
func (p *peers) keepRegistered(ctx context.Context) error {
	for {
		select {
		case <-p.registerAgain:
		case <-ctx.Done():
			return ctx.Err()
		}
		sleep(ctx, registerRetry)
		if p.writeRecord(ctx) != nil {
			p.registerAgain.fire()
		}
	}
}

func (p *peers) writeRecord(ctx context.Context) error {
	value, err := json.Marshal(entryRecord{p.settings.PeerAddr, p.settings.Zone, newestVersion, p.startNanos})
	if err != nil {
		return err
	}
	_, err = p.store.Append(ctx, TopicEntries, Record{Key: p.settings.Instance, Value: value}, AnyPosition)
	return err
}

func (p *peers) followEntries(ctx context.Context) error {
	reads := 0
	return p.follow(ctx, followOptions{
		topic: TopicEntries, readWait: func() time.Duration { return 0 }, apply: p.applyEntries, isToldByOthers: p.hasReadRecords,
		pause: func(ctx context.Context) {
			interval := entriesInterval
			if reads++; reads <= earlyReads {
				interval = earlyInterval
			}
			sleep(ctx, interval)
		},
	})
}

func (p *peers) applyEntries(u update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The records of others may be lost as well.
	if u.complete && !u.restored {
		p.addresses = map[string]peerAddress{}
	}
	for _, r := range u.records {
		p.applyEntry(r)
	}
	p.recordsRead = true
	p.updateShares()
}

// hasReadRecords reports whether the entries' records have been read. Entries that start
// later send messages to this one.
func (p *peers) hasReadRecords() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recordsRead
}

func (p *peers) applyEntry(r Record) {
	if r.Value == nil {
		delete(p.addresses, r.Key)
		return
	}
	var e entryRecord
	if err := json.Unmarshal(r.Value, &e); err != nil {
		logevent.Write(p.logger, logevent.EntryRecordUnreadable).Str("entry", r.Key).Str("cause", err.Error()).Msg("")
		return
	}
	if r.Key != p.settings.Instance {
		p.addresses[r.Key] = peerAddress{e.Address, e.MessageVersion, e.StartNanos, p.addresses[r.Key].heard}
	}
}

func (p *peers) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			// A read may return the error of an earlier datagram to an entry that is
			// gone.
			continue
		}
		// Ignore datagrams from other programs.
		if m, err := decodeMessage(buffer[:n]); err == nil {
			p.handleMessage(m, from)
		}
	}
}

// handleMessage processes another entry's message.
func (p *peers) handleMessage(m message, from netip.AddrPort) {
	p.learnAddress(m, from)
	p.stallChecker.hear(time.Now(), "")
	if !p.fleet.applyPeerMessage(time.Now(), m) {
		return
	}
	p.directory.applyPeerChanges(m.changes)
	p.directory.observeWatcher(m)
	p.fleet.applyPeerSuspects(time.Now(), m.suspects)
	p.crashes.applyPeerEvidence(time.Now(), m.evidence)
	p.applyPeerLimits(m.sender, m.limits)
	p.demand.observe(time.Now(), m.sender, m.demand)
	self := processID(p.settings.Instance, p.startNanos)
	p.applyPeerSpending(time.Now(), m, self)
	p.fleet.applyPeerSlots(time.Now(), processID(m.sender, m.startNanos), self, m)
	if m.revision > p.Revision() {
		select {
		case p.newerRevision <- struct{}{}:
		default:
		}
	}
}

// processID identifies a process of an entry for the others.
func processID(entry string, startNanos int64) uint64 {
	return xxhash.Sum64String(entry + " " + strconv.FormatInt(startNanos, 10))
}

// learnAddress stores the address of an entry whose record has not been read
// yet, and which process of an entry is heard.
func (p *peers) learnAddress(m message, from netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.sender == p.settings.Instance {
		return
	}
	address, known := p.addresses[m.sender]
	if !known {
		address = peerAddress{AddrPort: from, version: messageVersion}
	}
	address.heard = m.startNanos
	if m.version >= demandVersion {
		// Whoever sends this version reads it, and may read a newer one.
		if address.startNanos == m.startNanos {
			m.version = max(m.version, address.version)
		}
		address.version, address.startNanos = m.version, m.startNanos
	}
	p.addresses[m.sender] = address
	if !known {
		p.updateShares()
	}
}

// updateShares derives this entry's part of the retry budgets and rate limits from the
// entries that it knows, itself included. Until it has read their records, there may
// be more of them than it has heard. The caller holds the lock.
func (p *peers) updateShares() {
	entries := len(p.addresses) + 1
	if !p.recordsRead {
		entries = max(entries, assumedEntries)
	}
	rank := 0
	for name := range p.addresses {
		if name < p.settings.Instance {
			rank++
		}
	}
	p.knownEntries.Store(int64(entries))
	p.fleet.setLimitShare(time.Now(), ratelimit.Share{Rank: rank, Entries: entries})
}

func (p *peers) send(ctx context.Context) error {
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		sleep(ctx, minMessageInterval)
		p.sendNow.wait(ctx, messageInterval(int(p.knownEntries.Load()))-minMessageInterval)
		p.broadcast(p.message(sequence))
	}
	return ctx.Err()
}

// minMessageInterval limits how often an entry notifies the others of
// suspects.
const minMessageInterval = 30 * time.Millisecond

// trigger requests a message before the next one is due.
type trigger chan struct{}

func (t trigger) fire() {
	select {
	case t <- struct{}{}:
	default:
	}
}

// wait blocks until the trigger fires, but no longer than limit.
func (t trigger) wait(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-t:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// messageInterval bounds the rate of received messages as the number of
// entries grows, because every entry sends to all others.
func messageInterval(entries int) time.Duration {
	return min(usageInterval*time.Duration(max(entries, fullRateEntries))/fullRateEntries, maxUsageInterval)
}

func (p *peers) message(sequence int64) message {
	now := time.Now()
	m := message{
		sender: p.settings.Instance, startNanos: p.startNanos, sequence: sequence, revision: p.Revision(), term: p.leaseTerm.Load(),
		watchAge: notWatching, servers: p.fleet.localUsage(now), suspects: p.fleet.suspectHashes(now),
		evidence: p.crashes.evidence(now), limits: p.fleet.limitReports(now), demand: p.demand.report(now),
		spent: p.spentRetries(now), legacies: p.retryLegacies(now),
	}
	m.wants, m.gifts = p.fleet.slotExchange(now)
	if p.isWatcher() {
		m.announced = p.directory.announcedChanges()
		if changes, complete := p.directory.nextChanges(); complete {
			m.watchAge, m.changes = p.directory.readAge(bootclock.Now()), changes
		}
	} else {
		p.directory.forgetChanges()
	}
	return m
}

// broadcast sends a message to all other entries. Send errors are ignored,
// because the next message follows soon.
func (p *peers) broadcast(m message) {
	encoded := map[int][]byte{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range p.addresses {
		version := min(address.messageVersion(), newestVersion)
		if encoded[version] == nil {
			encoded[version] = m.encode(version)
		}
		_, _ = p.conn.WriteToUDPAddrPort(encoded[version], address.AddrPort)
	}
}
