package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against many restarts of entries that each make all others read the
// store: with 22 entries that is the square of it.
func TestRestartsOfOthersCauseNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newScriptedStore()
		e := storeEntry(store)
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
