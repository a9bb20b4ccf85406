package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/lease"
	"github.com/sapphirefield/sapphirefield/membership"
)

// mutedEngines are engines of which some do not answer.
type mutedEngines struct {
	testEngines
	muted map[string]bool
}

func (e *mutedEngines) Report(_ context.Context, address string) (Report, error) {
	if e.muted[address] {
		return Report{}, errors.New("connection refused")
	}
	return Report{}, nil
}

// Guards against an engine that is known to be gone only when its record
// expires, and against an entry that takes its own cut for the loss of all engines.
func TestSurveyTellsLostEnginesFromOwnCut(t *testing.T) {
	for muted, lost := range map[int]int{0: 0, 2: 2, 5: 0, 8: 0} {
		e := storeEntry(newScriptedStore())
		engines := &mutedEngines{muted: map[string]bool{}}
		e.engines = engines
		e.current.Store(newRevision(Configuration{Document: &config.Document{Models: []config.Model{{Name: "llm", Layers: 8}}}}))
		servers := map[string]Server{}
		for i := range 8 {
			id := fmt.Sprintf("s%d", i)
			servers[id] = Server{Instance: membership.Instance{ID: id, Service: "llm", Address: id}}
			engines.muted[id] = i < muted
		}
		e.fleet.setServers(time.Now(), servers)
		p := &placer{Entry: e, lease: lease.New("e", lease.DefaultOptions())}
		p.pollEngines(t.Context())
		assert.Equal(t, len(e.fleet.lost), lost, "%d of 8 silent", muted)
	}
}
