package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a large model that no entry plans, and against a large fleet in
// which every entry connects to every engine.
func TestFewEntriesPlanLargeModels(t *testing.T) {
	const entries = 400
	for m := range 9 {
		model := fmt.Sprintf("model-%d", m)
		planners := 0
		for i := range entries {
			name := fmt.Sprintf("entry-%03d", i)
			if isPlanner(name, model, entries, false) {
				planners++
				assert.Assert(t, isPlanner(name, model, 1.9*entries, true), "a small change in the number of entries changes the planners")
			}
			assert.Assert(t, isPlanner(name, model, plannersPerModel, false), "few entries must all plan")
			assert.Assert(t, !isPlanner(name, model, 0, false), "planner before the number of entries is known")
		}
		assert.Assert(t, planners >= 1 && planners <= 4*plannersPerModel, "%d entries plan %s", planners, model)
	}
}
