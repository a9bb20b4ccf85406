package relay

import (
	"context"
	"fmt"
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
