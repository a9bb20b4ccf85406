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
	// entriesWait is how long a read of the entries' records waits for a change.
	entriesWait = 5 * time.Second
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
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.settings.Peers))
	if err != nil {
		return errors.Wrap(err, "listen for other entries")
	}
	p := &peers{Entry: e, conn: conn, born: time.Now().UnixNano(), addresses: map[string]netip.AddrPort{}}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.register(ctx) })
	group.Go(func() error { return p.followEntries(ctx) })
	group.Go(func() error { return p.receive(ctx) })
	group.Go(func() error { return p.send(ctx) })
	return group.Wait()
}

// register writes this entry's record until the store has taken it.
func (p *peers) register(ctx context.Context) error {
	value, err := json.Marshal(entryRecord{p.settings.Peers, p.settings.Zone})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		_, err := p.store.Append(ctx, TopicEntries, Record{Key: p.settings.Instance, Value: value}, AnyOffset)
		if err == nil {
			return nil
		}
		sleep(ctx, registerRetry)
	}
	return ctx.Err()
}

func (p *peers) followEntries(ctx context.Context) error {
	return p.follow(ctx, TopicEntries, entriesWait, 0, func(records []Record, all bool) {
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
	})
}

func (p *peers) applyEntry(r Record) {
	if r.Value == nil {
		delete(p.addresses, r.Key)
		return
	}
	var e entryRecord
	if err := json.Unmarshal(r.Value, &e); err != nil {
		logevent.Write(p.logger, logevent.EntryUnreadable).Str("entry", r.Key).Str("cause", err.Error()).Msg("")
		return
	}
	if r.Key != p.settings.Instance {
		p.addresses[r.Key] = e.Address
	}
}

func (p *peers) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := p.conn.Read(buffer)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			// A datagram to an entry that is gone may come back as an error of the next read.
			continue
		}
		// Datagrams that are no messages come from programs that are no entries.
		if m, err := decodeUsage(buffer[:n]); err == nil {
			p.fleet.observeOther(time.Now(), m)
		}
	}
}

func (p *peers) send(ctx context.Context) error {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for sequence := int64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		m := usageMessage{
			entry: p.settings.Instance, born: p.born, sequence: sequence, servers: p.fleet.ownUsage(time.Now()),
		}
		p.tell(m.encode())
	}
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
