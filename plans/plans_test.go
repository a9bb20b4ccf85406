package plans_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/entry"
)

func always(int) bool { return true }
func even(i int) bool { return i%2 == 0 }

// Engines that start empty must get layers and serve a request. This fails if any
// part of planning, ordering or reporting doesn't work.
func TestFirstPlacementServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 6, even)
		t.Log("converged after", c.waitUntil("first placement", time.Minute, func() bool { return c.converged("1") }))
		assert.NilError(t, c.requestCompletion("entry-0", "a flange", 40))
	})
}

// Requests in progress must succeed while a lost engine's layers move to others.
func TestLossMovesLayersUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 8, always)
		c.waitUntil("first placement", time.Minute, func() bool { return c.converged("1") })
		stop := c.startLoad(6, 80)
		time.Sleep(5 * time.Second)
		d, before := c.directive(0)
		lost := c.nodes[0]
		layers, _ := d.AssignedRange(lost.id)
		lost.stop()
		for _, n := range c.nodes[1:] {
			if r, _ := d.AssignedRange(n.id); r == layers {
				// The range loses two engines, so that those left have too little
				// throughput for the plan to stay as it is.
				n.stop()
				break
			}
		}
		t.Log("new plan active after", c.waitUntil("new plan", time.Minute, func() bool { _, now := c.directive(0); return now > before }))
		t.Log("converged after", c.waitUntil("moves", 2*time.Minute, func() bool { return c.converged("1") }))
		moved := 0
		for _, n := range c.nodes {
			moved += max(0, n.engine.WeightLoads()-1)
		}
		assert.Assert(t, moved > 0, "no engine moved")
		time.Sleep(5 * time.Second)
		exact, failed := stop()
		t.Log("exact answers", exact, "recoveries", c.entries[0].Recoveries())
		assert.Equal(t, len(failed), 0, "%v", failed)
	})
}

// Planners of several entries must not revert each other's plans.
func TestPlannersConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, 6, always)
		c.waitUntil("first placement", time.Minute, func() bool { return c.converged("1") })
		c.nodes[2].stop()
		time.Sleep(2 * time.Minute)
		assert.Assert(t, c.converged("1"))
		_, offset := c.directive(0)
		appended := c.plansAppended.Load()
		time.Sleep(2 * time.Minute)
		assert.Equal(t, c.plansAppended.Load(), appended, "planning does not converge")
		for i := range c.entries {
			_, other := c.directive(i)
			assert.Equal(t, other, offset)
			assert.NilError(t, c.requestCompletion("entry-0", "a die", 20))
		}
	})
}

// During a version's rollout and its rollback, no request may fail and no answer
// may be inexact.
func TestRolloutAndRollbackUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 8, even)
		c.waitUntil("first placement", time.Minute, func() bool { return c.converged("1") })
		// These answers take longer than the grace period before an order.
		stop := c.startLoad(2, 100)
		for _, version := range []string{"2", "1"} {
			c.publish(func(d *config.Document) { d.Models[0].ServingVersion = version })
			t.Log("version", version, "after", c.waitUntil("rollout", 5*time.Minute, func() bool { return c.converged(version) }))
		}
		exact, failed := stop()
		t.Log("exact answers", exact, "recoveries", c.entries[0].Recoveries(), "version changes", c.versionChanges.Load())
		assert.Equal(t, len(failed), 0, "%v", failed)
		assert.Equal(t, c.versionMismatches.Load(), int64(0), "an engine of another version served a request")
	})
}

// During an outage of the log, entries must propose no plans, and engines must go
// on serving.
func TestNoProposalsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 6, even)
		c.waitUntil("first placement", time.Minute, func() bool { return c.converged("1") })
		c.log.SetOutage(true)
		time.Sleep(time.Second)
		attempted := c.appendsTried.Load()
		_, before := c.directive(0)
		c.nodes[0].stop()
		time.Sleep(time.Minute)
		assert.Equal(t, c.appendsTried.Load(), attempted)
		assert.NilError(t, c.requestCompletion("entry-0", "a hammer", 20))
		c.log.SetOutage(false)
		c.waitUntil("plan after the outage", time.Minute, func() bool { _, now := c.directive(0); return now > before })
	})
}

// If a model has more engines than an entry connects to, the entry must not count
// the others as lost.
func TestEntryConnectedToSomeEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 8, always, func(o *entry.Options) { o.MaxSidecarsPerService = 4 })
		c.waitUntil("first placement", time.Minute, func() bool { return c.converged("1") })
		appended := c.plansAppended.Load()
		_, first := c.directive(0)
		time.Sleep(time.Minute)
		d, offset := c.directive(0)
		assert.Equal(t, offset, first, "a new plan was made although no engine was lost")
		assert.Equal(t, c.plansAppended.Load(), appended, "planning does not converge")
		assert.Equal(t, len(d.Wanted), 8)
	})
}
