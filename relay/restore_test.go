package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/quarantine"
)

func heartbeat(id string, count int64) Server {
	return Server{Instance: membership.Instance{ID: id, Address: id + ":1"}, StartTimeMillis: 1, HeartbeatCount: count}
}

// Guards against an entry that goes on reading at an offset that was given out again
// for other records, and so misses a configuration.
func TestConfigurationAfterRestore(t *testing.T) {
	store := newScriptedStore()
	for revision := 1; revision <= 3; revision++ {
		store.add(TopicConfiguration, "c", revision)
	}
	e := newStoreEntry(store)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = e.followConfiguration(ctx) }()
	<-e.Configured()
	store.restore(TopicConfiguration, 1)
	// The operator writes again what was lost, in one record more than the entry had
	// read, then a new revision.
	for _, revision := range []int{2, 2, 3, 4} {
		store.add(TopicConfiguration, "c", revision)
	}
	for e.Revision() < 4 {
		time.Sleep(time.Millisecond)
	}
	// An older copy never brings an older configuration back.
	store.restore(TopicConfiguration, 1)
	store.add(TopicConfiguration, "c", 2)
	time.Sleep(10 * time.Millisecond)
	assert.Equal(t, e.Revision(), int64(4))
}

// Guards against sound servers that are dropped because an older copy of the store
// lacks their records, and against servers that are gone and come back with it.
func TestServersAfterRestore(t *testing.T) {
	e := newStoreEntry(newScriptedStore())
	records := func(servers ...Server) (list []Record) {
		for _, s := range servers {
			list = append(list, serverRecord(t, s))
		}
		return list
	}
	e.directory.apply(update{records: records(heartbeat("old", 5), heartbeat("stays", 5), heartbeat("new", 5), heartbeat("dies", 5)), complete: true})
	e.directory.apply(update{records: []Record{{Key: "old"}}})
	// The copy still holds the server that is gone and lacks two that are not.
	e.directory.apply(update{records: records(heartbeat("old", 4), heartbeat("stays", 3)), complete: true, restored: true})
	_, known := e.fleet.snapshot()["old"]
	assert.Assert(t, !known)
	assert.Equal(t, len(e.fleet.snapshot()), 3)
	assert.Equal(t, e.fleet.snapshot()["stays"].HeartbeatCount, int64(5))
	// One of the two writes its record again.
	e.directory.apply(update{records: records(heartbeat("new", 6))})
	e.directory.expireUnconfirmed(bootclock.Now())
	assert.Equal(t, len(e.fleet.snapshot()), 3)
	e.directory.expireUnconfirmed(bootclock.Now().Add(2 * confirmTime))
	_, known = e.fleet.snapshot()["dies"]
	assert.Assert(t, !known)
	assert.Equal(t, len(e.fleet.snapshot()), 2)
	// A server that was taken for gone returns with its next record.
	e.directory.apply(update{records: records(heartbeat("old", 6))})
	_, known = e.fleet.snapshot()["old"]
	assert.Assert(t, known)
}

// Guards against an entry that the others no longer find, and against blocks that
// are lost, because the store has lost the records.
func TestLostRecordsAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newScriptedStore()
		e := newStoreEntry(store)
		e.crashes.adopt(time.Now(), quarantine.Block{Part: "bad", Remaining: 5 * time.Minute}, "test")
		p := &peers{Entry: e}
		p.applyEntries(update{records: []Record{{Key: "a", Value: []byte("{}")}, {Key: "b", Value: []byte("{}")}}, complete: true})
		assert.Equal(t, e.knownEntries.Load(), int64(3))
		p.applyEntries(update{records: []Record{{Key: "a", Value: []byte("{}")}}, complete: true, restored: true})
		// The share of the retry budget must not grow because records are missing.
		assert.Equal(t, e.knownEntries.Load(), int64(3))

		ctx, cancel := context.WithCancel(t.Context())
		var writers errgroup.Group
		writers.Go(func() error { return p.keepRegistered(ctx) })
		writers.Go(func() error { return e.crashes.runStore(ctx) })
		time.Sleep(time.Minute)
		assert.Equal(t, len(store.topics[TopicEntries])+len(store.topics[TopicBlockedParts]), 0)
		// The entry's next read of a topic may be 30 s away, so the store's client tells.
		store.restore(TopicEntries, 0)
		time.Sleep(time.Second)
		cancel()
		_ = writers.Wait() // they end with the context
		assert.Equal(t, store.topics[TopicEntries][0].Key, "e")
		assert.Equal(t, store.topics[TopicBlockedParts][0].Key, "bad")
	})
}

// Guards against an entry that goes on giving orders under a claim that the store
// has lost.
func TestHolderClaimsLeaseAgainAfterRestore(t *testing.T) {
	store := newScriptedStore()
	e := newStoreEntry(store)
	p := newPlacer(e)
	next := fromStart
	for !p.holdsLease() {
		next = p.leaseStep(t.Context(), next)
	}
	term := p.lease.Term()
	store.restore(TopicLease, 0)
	assert.Assert(t, !p.holdsLease())
	p.lease.ObserveEra(bootclock.Now(), store.Era())
	for !p.holdsLease() {
		next = p.leaseStep(t.Context(), next)
	}
	assert.Assert(t, p.lease.Term() > term)
	assert.Equal(t, len(store.topics[TopicLease]), 1)
}

// Guards against entries that learn seconds late that a server is gone: the watcher
// finds it missing in a complete read, after changes have expired or a read has failed.
func TestRemovalFoundByCompleteReadIsAnnounced(t *testing.T) {
	watcher, other := newStoreEntry(newScriptedStore()), newStoreEntry(newScriptedStore())
	first := update{records: []Record{serverRecord(t, heartbeat("gone", 1)), serverRecord(t, heartbeat("stays", 1))}, complete: true}
	watcher.directory.apply(first)
	other.directory.apply(first)
	watcher.directory.nextChanges()
	watcher.directory.apply(update{records: first.records[1:], complete: true})
	changes, _ := watcher.directory.nextChanges()
	other.directory.applyPeerChanges(changes)
	_, known := other.fleet.snapshot()["gone"]
	assert.Assert(t, !known)
	assert.Equal(t, len(other.fleet.snapshot()), 1)
}

// Guards against a server that stays in use for seconds after it has left, because the
// watcher that read of it ended before it told the others, and the next one has never
// known the server.
func TestEntryReadsItselfWhenWatcherChanges(t *testing.T) {
	e := newStoreEntry(newScriptedStore())
	now := time.Now()
	watching := func(startNanos, sequence, term int64) {
		e.fleet.applyPeerMessage(now, message{sender: "w", startNanos: startNanos, sequence: sequence, term: term})
	}
	assert.Assert(t, e.readsItself(watcherTerm{}))
	watching(1, 1, 1)
	first, known := e.freshWatcher()
	assert.Assert(t, known)
	watching(1, 2, 1)
	assert.Assert(t, !e.readsItself(first))
	watching(2, 1, 2)
	assert.Assert(t, e.readsItself(first))
	second, _ := e.freshWatcher()
	assert.Assert(t, !e.readsItself(second))
	// The same process, which has lost the lease in between.
	watching(2, 2, 3)
	assert.Assert(t, e.readsItself(second))
}
