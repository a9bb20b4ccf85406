package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards against an entry that is ready at its first connection and refuses
// prompts for want of a whole chain, and against one that is unready again
// whenever the list names a new instance.
func TestEntrySettlesBeforeItIsReady(t *testing.T) {
	ps := newPeerSet(t.Context(), nil)
	assert.Assert(t, !ps.settled(), "settled before the first list")
	first, slow := &peer{queue: link.NewQueue[*wire.WorkUp](1)}, &peer{}
	ps.byID["first"], ps.byID["slow"] = first, slow
	assert.Assert(t, !ps.settled(), "settled before every sidecar was tried")
	slow.setTried()
	assert.Assert(t, ps.settled())
	ps.byID["new"] = &peer{}
	assert.Assert(t, ps.settled(), "unsettled by a new instance")
}
