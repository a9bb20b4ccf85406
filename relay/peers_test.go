package relay

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against store reads by all entries at each restart of an entry: with
// 22 entries, the number of reads grows with the square of that.
func TestPeerRestartsCauseNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newScriptedStore()
		e := newStoreEntry(store)
		p := &peers{Entry: e, addresses: nil}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go func() {
			for i := range 100 {
				store.add(TopicEntries, fmt.Sprintf("other-%d", i%5), entryRecord{Zone: "a"})
				time.Sleep(500 * time.Millisecond)
			}
		}()
		assert.ErrorIs(t, p.followEntries(ctx), context.DeadlineExceeded)
		assert.Equal(t, e.entryCount(), 6)
		store.mu.Lock()
		defer store.mu.Unlock()
		assert.Check(t, store.reads <= 10, "%d reads", store.reads)
	})
}

// Guards against an entry that does not know for up to 10 s that a server has changed,
// because it missed all messages that told it in less time than a silent sender takes to
// be noticed; and against reads for messages that were missed in calm times.
func TestMissedChangeIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newScriptedStore()
		e := newStoreEntry(store)
		e.settings.Heartbeat = time.Second
		p := &peers{Entry: e, addresses: map[string]peerAddress{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sequence, announced := int64(0), uint64(0)
		pass := func(messages int, heard bool) {
			for range messages {
				sequence++
				if heard {
					p.handleMessage(message{sender: "watcher", startNanos: 1, sequence: sequence, term: 1, announced: announced}, netip.AddrPort{})
				}
				time.Sleep(usageInterval)
			}
		}
		pass(1, true)
		go func() { _ = e.followServers(ctx) }()
		pass(15, true)
		reads := func() int {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.reads
		}
		before := reads()
		pass(changeSends+1, false)
		pass(5, true)
		assert.Equal(t, reads(), before, "nothing has changed")

		store.add(TopicServers, "s", heartbeat("s", 1))
		announced++
		pass(changeSends-1, false)
		pass(5, true)
		assert.Equal(t, reads(), before, "a message has told the change")

		announced++
		pass(changeSends, false)
		pass(5, true)
		assert.Assert(t, reads() > before)
		assert.Equal(t, len(e.directory.servers), 1)
		pass(10, true)
		after := reads()
		pass(20, true)
		assert.Equal(t, reads(), after)
	})
}
