package demand

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against room that is kept for an entry that has terminated.
func TestSilentEntryIsForgotten(t *testing.T) {
	b := NewBook()
	b.Observe(start, "a", Report{1: {{Urgency: 2, Waiting: 800}}})
	assert.DeepEqual(t, b.Totals(start.Add(ReportTTL), 1, Room, nil), []Total{{Urgency: 2, Unserved: 800, Entries: 1}})
	assert.Equal(t, len(b.Totals(start.Add(ReportTTL+1), 1, Room, nil)), 0)
	b.Observe(start, "a", Report{1: {{Urgency: 2, Waiting: 800}}})
	b.Observe(start, "a", nil)
	assert.Equal(t, len(b.Totals(start, 1, Room, nil)), 0)
}

// Guards against an entry with wrong figures that hides what others lack.
func TestStartedWorkOfOneEntryIsBounded(t *testing.T) {
	b := NewBook()
	for entry, started := range map[string]float64{"a": 100, "b": 200, "liar": math.Inf(1)} {
		b.Observe(start, entry, Report{1: {{Started: started}, {Started: started}, {Refused: started}}})
	}
	totals := b.Totals(start, 1, Room, []Load{{Refused: 50, Started: 300}})
	assert.DeepEqual(t, totals, []Total{{Unserved: 50, Started: 1200, Entries: 1}})
}

// Guards against reports that exceed the size of a message.
func TestReportsAreBounded(t *testing.T) {
	load := rapid.Custom(func(t *rapid.T) Load {
		value := rapid.Float64Range(-10, 1e12)
		return Load{rapid.IntRange(-3, 1<<30).Draw(t, "urgency"), value.Draw(t, "waiting"), value.Draw(t, "started"), value.Draw(t, "refused"), value.Draw(t, "denied")}
	})
	rapid.Check(t, func(t *rapid.T) {
		report := Report(rapid.MapOfN(rapid.Custom(func(t *rapid.T) ModelID { return ModelID(rapid.Uint32().Draw(t, "model")) }), rapid.SliceOfN(load, 0, 20), 0, 30).Draw(t, "report"))
		bounded := report.Bounded()
		assert.Assert(t, len(bounded) <= MaxModels)
		for _, loads := range bounded {
			assert.Assert(t, len(loads) > 0 && len(loads) <= MaxUrgencies)
			for i, l := range loads {
				assert.Assert(t, i == 0 || l.Urgency > loads[i-1].Urgency)
				assert.Assert(t, l.Urgency >= 0 && l.Urgency <= MaxUrgency && min(l.Waiting, l.Started, l.Refused, l.Denied) >= 0 && max(l.Waiting, l.Started, l.Refused, l.Denied) <= MaxTokens)
			}
		}
	})
}
