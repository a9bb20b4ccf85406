package plans_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/entry"
)

func all(int) bool    { return true }
func even(i int) bool { return i%2 == 0 }

// Guards the way from empty engines to an answer: without any of its parts no
// engine gets a range or no entry learns of it.
func TestFirstPlacementServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, 6, even)
		t.Log("settled after", w.wait("first placement", time.Minute, func() bool { return w.settled("1") }))
		assert.NilError(t, w.complete("entry-0", "a flange", 40))
	})
}

// Guards answers in progress while a lost engine's layers move to others.
func TestLossMovesLayersUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, 8, all)
		w.wait("first placement", time.Minute, func() bool { return w.settled("1") })
		stop := w.load(6, 80)
		time.Sleep(5 * time.Second)
		d, before := w.directive(0)
		lost := w.nodes[0]
		layers, _ := d.AssignedRange(lost.id)
		lost.stop()
		for _, n := range w.nodes[1:] {
			if r, _ := d.AssignedRange(n.id); r == layers {
				// Without two engines of the range, its other engines carry too
				// little for the plan to stay as it is.
				n.stop()
				break
			}
		}
		t.Log("new plan in force after", w.wait("new plan", time.Minute, func() bool { _, now := w.directive(0); return now > before }))
		t.Log("settled after", w.wait("moves", 2*time.Minute, func() bool { return w.settled("1") }))
		moved := 0
		for _, n := range w.nodes {
			moved += max(0, n.engine.Moves()-1)
		}
		assert.Assert(t, moved > 0, "no engine moved")
		time.Sleep(5 * time.Second)
		exact, failed := stop()
		t.Log("exact answers", exact, "recoveries", w.entries[0].Recoveries())
		assert.Equal(t, len(failed), 0, "%v", failed)
	})
}

// Guards against two planners that undo each other's plans.
func TestTwoPlannersAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 3, 6, all)
		w.wait("first placement", time.Minute, func() bool { return w.settled("1") })
		w.nodes[2].stop()
		time.Sleep(2 * time.Minute)
		assert.Assert(t, w.settled("1"))
		_, offset := w.directive(0)
		sent := w.appends.Load()
		time.Sleep(2 * time.Minute)
		assert.Equal(t, w.appends.Load(), sent, "planning does not come to rest")
		for i := range w.entries {
			_, other := w.directive(i)
			assert.Equal(t, other, offset)
			assert.NilError(t, w.complete("entry-0", "a die", 20))
		}
	})
}

// Guards a version's rollout and its way back: callers get no failed and no
// inexact answer.
func TestVersionForwardAndBackUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, 8, even)
		w.wait("first placement", time.Minute, func() bool { return w.settled("1") })
		// These answers outlast the grace before an order.
		stop := w.load(2, 100)
		for _, version := range []string{"2", "1"} {
			w.publish(func(d *config.Document) { d.Models[0].ServingVersion = version })
			t.Log("version", version, "after", w.wait("rollout", 5*time.Minute, func() bool { return w.settled(version) }))
		}
		exact, failed := stop()
		t.Log("exact answers", exact, "recoveries", w.entries[0].Recoveries(), "changes of version", w.switched.Load())
		assert.Equal(t, len(failed), 0, "%v", failed)
		assert.Equal(t, w.mixed.Load(), int64(0), "an engine of another version took part in a chain")
	})
}

// Guards against proposals without contact to the log, and against engines that
// stop serving because it is down.
func TestNoProposalsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 2, 6, even)
		w.wait("first placement", time.Minute, func() bool { return w.settled("1") })
		w.log.SetOutage(true)
		time.Sleep(time.Second)
		sent := w.tried.Load()
		_, before := w.directive(0)
		w.nodes[0].stop()
		time.Sleep(time.Minute)
		assert.Equal(t, w.tried.Load(), sent)
		assert.NilError(t, w.complete("entry-0", "a hammer", 20))
		w.log.SetOutage(false)
		w.wait("plan after the outage", time.Minute, func() bool { _, now := w.directive(0); return now > before })
	})
}

// Guards a model with more engines than an entry watches: an entry that sees a
// part of them must not take the others for lost.
func TestEntryThatWatchesAPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 2, 8, all, func(o *entry.Options) { o.MaxSidecarsPerService = 4 })
		w.wait("first placement", time.Minute, func() bool { return w.settled("1") })
		sent := w.appends.Load()
		_, first := w.directive(0)
		time.Sleep(time.Minute)
		d, offset := w.directive(0)
		assert.Equal(t, offset, first, "a plan follows without a loss")
		assert.Equal(t, w.appends.Load(), sent, "planning does not come to rest")
		assert.Equal(t, len(d.Wanted), 8)
	})
}
