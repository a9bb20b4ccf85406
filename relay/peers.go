package relay

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// usageInterval is how often entries tell each other what they have in progress.
	usageInterval = 100 * time.Millisecond
	// manyEntries is the number of entries from which on they do so less often, and
	// maxUsageInterval the longest time between two messages.
	manyEntries      = 10
	maxUsageInterval = 300 * time.Millisecond
	// entriesInterval is how often the entries' records are read. An entry that starts
	// makes itself known to those that it finds there, so a change is not waited for.
	entriesInterval = 12 * time.Second
	// earlyReads is the number of reads after the start that come every earlyInterval,
	// because entries start at the same time.
	earlyReads    = 3
	earlyInterval = time.Second
	// maxDatagram bounds a message.
	maxDatagram = 60 << 10
	// registerRetry is the pause after an entry could not write its record.
	registerRetry = 500 * time.Millisecond
)

// entryRecord is what an entry writes about itself.
type entryRecord struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
}

// peers exchanges usage with the other entries.
type peers struct {
	*Entry
	conn *net.UDPConn
	born int64

	mu        sync.Mutex
	addresses map[string]netip.AddrPort
}

// exchangeUsage finds the other entries through the store and tells them what
// this one has in progress.
func (e *Entry) exchangeUsage(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.settings.PeerAddr))
	if err != nil {
		return errors.Wrap(err, "listen for other entries")
	}
	p := &peers{Entry: e, conn: conn, born: time.Now().UnixNano(), addresses: map[string]netip.AddrPort{}}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		// Of two entries that start at once, the one that reads after the other's
		// record was written makes itself known to it.
		if p.writeRecord(ctx) != nil {
			group.Go(func() error { return p.register(ctx) })
		}
		return p.followEntries(ctx)
	})
	group.Go(func() error { return p.receive(ctx) })
	group.Go(func() error { return p.send(ctx) })
	return group.Wait()
}

// register writes this entry's record until the store has taken it.
func (p *peers) register(ctx context.Context) error {
	for sleep(ctx, registerRetry); ctx.Err() == nil; sleep(ctx, registerRetry) {
		if p.writeRecord(ctx) == nil {
			return nil
		}
	}
	return ctx.Err()
}

func (p *peers) writeRecord(ctx context.Context) error {
	value, err := json.Marshal(entryRecord{p.settings.PeerAddr, p.settings.Zone})
	if err != nil {
		return err
	}
	_, err = p.store.Append(ctx, TopicEntries, Record{Key: p.settings.Instance, Value: value}, AnyOffset)
	return err
}

func (p *peers) followEntries(ctx context.Context) error {
	reads := 0
	return p.follow(ctx, following{
		topic: TopicEntries, wait: func() time.Duration { return 0 }, apply: p.applyEntries,
		pause: func(ctx context.Context) {
			interval := entriesInterval
			if reads++; reads <= earlyReads {
				interval = earlyInterval
			}
			sleep(ctx, interval)
		},
	})
}

func (p *peers) applyEntries(records []Record, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if all {
		p.addresses = map[string]netip.AddrPort{}
	}
	for _, r := range records {
		p.applyEntry(r)
	}
	// This entry counts whether or not its own record has been written.
	p.registered.Store(int64(len(p.addresses) + 1))
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
		p.addresses[r.Key] = e.Address
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
			// A datagram to an entry that is gone may come back as an error of the next read.
			continue
		}
		// Datagrams that are no messages come from programs that are no entries.
		if m, err := decodeMessage(buffer[:n]); err == nil {
			p.hear(m, from)
		}
	}
}

// hear takes another entry's message.
func (p *peers) hear(m message, from netip.AddrPort) {
	p.learn(m.entry, from)
	if !p.fleet.observeOther(time.Now(), m) {
		return
	}
	p.directory.hear(m.changes)
	p.fleet.hearSuspects(time.Now(), m.suspects)
	if m.revision > p.Revision() {
		select {
		case p.newer <- struct{}{}:
		default:
		}
	}
}

// learn keeps the address of an entry whose record was not read yet.
func (p *peers) learn(entry string, from netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.addresses[entry]; known || entry == p.settings.Instance {
		return
	}
	p.addresses[entry] = from
	p.registered.Store(int64(len(p.addresses) + 1))
}

func (p *peers) send(ctx context.Context) error {
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		sleep(ctx, leastMessageInterval)
		p.alarm.await(ctx, messageInterval(int(p.registered.Load()))-leastMessageInterval)
		p.tell(p.message(sequence).encode())
	}
	return ctx.Err()
}

// leastMessageInterval bounds how often an entry tells the others of suspects.
const leastMessageInterval = 30 * time.Millisecond

// alarm asks for a message before the next one is due.
type alarm chan struct{}

func (a alarm) raise() {
	select {
	case a <- struct{}{}:
	default:
	}
}

// await waits for an alarm, for at most a time.
func (a alarm) await(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-a:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// messageInterval keeps what an entry receives bounded while there are more
// entries: each of them tells all others.
func messageInterval(entries int) time.Duration {
	return min(usageInterval*time.Duration(max(entries, manyEntries))/manyEntries, maxUsageInterval)
}

func (p *peers) message(sequence int64) message {
	now := time.Now()
	m := message{
		entry: p.settings.Instance, born: p.born, sequence: sequence, revision: p.Revision(), term: p.term.Load(),
		watchAge: noWatch, servers: p.fleet.ownUsage(now), suspects: p.fleet.suspectHashes(now),
	}
	if p.watches() {
		m.watchAge, m.changes = p.directory.age(now), p.directory.outgoing()
	}
	return m
}

// tell sends a message to all other entries. A message that does not go out is
// followed by the next one.
func (p *peers) tell(text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range p.addresses {
		_, _ = p.conn.WriteToUDPAddrPort(text, address)
	}
}
