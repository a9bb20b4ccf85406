package relay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/retry"
)

// budgetFleet are entries that hear each other's messages.
type budgetFleet struct {
	entries []*peers
	taken   int
}

const budgetService = "app"

// start starts a process of an entry.
func (f *budgetFleet) start(i int) {
	time.Sleep(time.Millisecond)
	e := New(Options{
		Settings: Settings{Instance: fmt.Sprint("entry-", i), RetryRatio: 0.2, RetryExtra: 200, RetryWindow: 10 * time.Second},
		Store:    newScriptedStore(), Logger: &log.Logger{Level: log.PanicLevel}, Random: rand.New(rand.NewPCG(1, 2)),
	})
	f.entries[i] = &peers{Entry: e, startNanos: time.Now().UnixNano(), addresses: map[string]peerAddress{}, recordsRead: true}
	for other := range f.entries {
		if other != i {
			f.entries[i].addresses[fmt.Sprint("entry-", other)] = peerAddress{}
		}
	}
	f.entries[i].updateShares()
}

// exchange lets all entries hear each other once. lost reports whether a message is lost.
func (f *budgetFleet) exchange(t *testing.T, lost func(from, to int) bool) {
	time.Sleep(time.Millisecond)
	for from, sender := range f.entries {
		m := sender.message(time.Now().UnixNano())
		for to, receiver := range f.entries {
			if from == to || lost(from, to) {
				continue
			}
			received, err := decodeMessage(m.encode(newestVersion))
			assert.NilError(t, err)
			receiver.handleMessage(received, netip.AddrPort{})
		}
	}
}

// spend takes all retries that an entry has left.
func (f *budgetFleet) spend(i int) {
	for f.entries[i].budget(budgetService).Take(time.Now(), false) {
		f.taken++
	}
}

// Guards against entries that restart in turn and spend the fleet's retries again, since
// a new process knows nothing of the retries of the one before.
func TestRestartedEntriesDoNotSpendRetriesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 8
		f := &budgetFleet{entries: make([]*peers, entries)}
		for i := range f.entries {
			f.start(i)
		}
		none := func(int, int) bool { return false }
		f.exchange(t, none)
		share := f.entries[0].settings.RetryExtra * budgetShare
		for i := range f.entries {
			f.spend(i)
		}
		assert.Assert(t, f.taken > 0 && float64(f.taken) <= share, "%d of %f", f.taken, share)
		f.exchange(t, none)
		for i := range f.entries {
			time.Sleep(500 * time.Millisecond)
			f.start(i)
			f.entries[i].budget(budgetService) // in use before the others are heard, or after
			f.exchange(t, func(from, to int) bool { return from > i && to == i && from%2 == 0 })
			f.exchange(t, none)
			f.spend(i)
			// Twice within the window, the second process without having been told.
			if i%2 == 0 {
				f.start(i)
				f.exchange(t, func(_, to int) bool { return to == i })
				f.start(i)
				f.exchange(t, none)
				f.exchange(t, none)
				f.spend(i)
			}
		}
		assert.Assert(t, float64(f.taken) <= share, "%d retries in a window, %f allowed", f.taken, share)

		// Retries count no longer than their window.
		time.Sleep(f.entries[0].settings.RetryWindow)
		f.taken = 0
		for i := range f.entries {
			f.spend(i)
		}
		assert.Assert(t, float64(f.taken) > share-entries, "%d of %f", f.taken, share)
	})
}

// Guards against retries that are refused in a calm start, or once a process restarts
// that has taken none beyond those that its requests earn.
func TestCalmRestartLeavesRetries(t *testing.T) {
	f := &budgetFleet{entries: make([]*peers, 2)}
	f.start(0)
	f.start(1)
	before := f.entries[0].budget(budgetService).Left(time.Now())
	assert.Assert(t, before >= 1)
	for range 100 {
		f.entries[0].budget(budgetService).RecordRequest(time.Now())
	}
	assert.Assert(t, f.entries[0].budget(budgetService).Take(time.Now(), false))
	f.exchange(t, func(int, int) bool { return false })
	f.start(0)
	for range 2 {
		f.exchange(t, func(int, int) bool { return false })
	}
	assert.Equal(t, f.entries[0].budget(budgetService).Left(time.Now()), before)
}

// Guards against messages that do not fit into a datagram, and are lost with all that they
// say, once the entries of a large fleet have restarted.
func TestLegaciesOfLargeFleetFitIntoMessages(t *testing.T) {
	const entries, services = 400, 10
	f := budgetFleet{entries: make([]*peers, 1)}
	f.start(0)
	e, now := f.entries[0], time.Now()
	for process := int64(1); process <= 2; process++ {
		for i := range entries {
			spent := retry.Spending{}
			for service := range uint64(services) {
				spent[service<<56] = 3
			}
			e.ledger.Observe(now, fmt.Sprint("other-", i), process, spent)
		}
	}
	assert.Assert(t, len(e.message(now.UnixNano()).encode(newestVersion)) <= maxDatagram)
}
